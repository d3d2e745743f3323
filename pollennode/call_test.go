package pollennode_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenwire"
)

// A recordingTransport records the calls to other nodes.
type recordingTransport struct {
	countingTransport
	calls chan pollenlink.Call
}

func (s *recordingTransport) SendMessage(kind pollenlink.Kind, message []byte, _ ...netip.AddrPort) {
	var call pollenlink.Call
	if kind == pollenlink.KindCall && pollenwire.Unmarshal(message, &call, pollenwire.MapCall) == nil {
		s.calls <- call
	}
}

// TestAnswerToEarlierRun guards against an answer to a call of an earlier run of the
// process that is taken for the answer to a call of this run: the operator would be
// told that a change is in force which was never decided.
func TestAnswerToEarlierRun(t *testing.T) {
	leader := netip.MustParseAddrPort("10.0.0.2:7000")
	ids := map[uint64]bool{}
	for run := range uint64(2) {
		transport := &recordingTransport{calls: make(chan pollenlink.Call, 16)}
		start := time.Now()
		b := newSeededBalancer(t, start, pollennode.Settings{Node: netip.MustParseAddrPort("10.0.0.1:7000")}, transport, run+1)
		heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
			Address: leader, Role: pollenpeer.RoleBalancer, Domain: "a", Incarnation: 1, Sequence: 1, Disk: true,
		}}
		heartbeat.SetLeadership(start, pollenpeer.Leadership{Leader: leader, Term: pollenlog.Term(1), ConfirmedAt: start})
		b.HandleMessage(start, leader, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- b.Declare(ctx, &pollendocument.Declaration{Version: 1}) }()
		call := <-transport.calls
		cancel()
		if err := <-done; err == nil {
			t.Fatal("a call without an answer was decided")
		}
		if ids[call.ID] {
			t.Fatalf("call ID %d is used by two runs", call.ID)
		}
		ids[call.ID] = true
	}
}
