package pollennode_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenwire"
)

// An answeringTransport answers calls to other nodes with the answer that is set
// for the node, and records to which nodes calls were sent.
type answeringTransport struct {
	countingTransport
	mu       sync.Mutex
	balancer *pollennode.Balancer
	answers  map[netip.AddrPort]pollenlink.Answer
	called   []netip.AddrPort
}

func (s *answeringTransport) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	if kind != pollenlink.KindCall {
		return
	}
	var call pollenlink.Call
	if err := pollenwire.Unmarshal(message, &call, pollenwire.MapCall); err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.called = append(s.called, to...)
	if answer, ok := s.answers[to[0]]; ok {
		answer.ID = call.ID
		go s.balancer.HandleMessage(time.Now(), to[0], pollenlink.KindAnswer, pollenwire.Marshal(&answer, pollenwire.MapCallAnswer))
	}
}

// TestCallFollowsTheLeader guards against calls that are repeated to a host that no
// longer leads or does not answer, until the operator gives up, while other replicas
// know the leader.
func TestCallFollowsTheLeader(t *testing.T) {
	former, follower, leader := netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000"), netip.MustParseAddrPort("10.0.0.4:7000")
	notLeader := pollenlink.Answer{Result: pollenlink.ResultRetry, Reason: "replica is not the leader", Leader: leader}
	done := pollenlink.Answer{Result: pollenlink.ResultDone}
	for name, c := range map[string]struct {
		answers map[netip.AddrPort]pollenlink.Answer
		known   netip.AddrPort
		want    []netip.AddrPort
	}{
		"former leader names the leader": {
			map[netip.AddrPort]pollenlink.Answer{former: notLeader, leader: done},
			former,
			[]netip.AddrPort{former, leader},
		},
		"former leader is silent": {
			map[netip.AddrPort]pollenlink.Answer{follower: notLeader, leader: done},
			former,
			[]netip.AddrPort{former, follower, leader},
		},
		"no leader is known": {
			map[netip.AddrPort]pollenlink.Answer{former: notLeader, follower: notLeader, leader: done},
			netip.AddrPort{},
			[]netip.AddrPort{former, leader},
		},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &answeringTransport{answers: c.answers}
			start := time.Now()
			b := newBalancer(t, start, pollennode.Settings{Node: netip.MustParseAddrPort("10.0.0.1:7000")}, transport)
			transport.balancer = b
			for _, a := range []netip.AddrPort{former, follower, leader} {
				heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
					Address: a, Role: pollenpeer.RoleBalancer, Domain: "a", Incarnation: 1, Sequence: 1, Disk: true,
				}}
				heartbeat.SetLeadership(start, pollenpeer.Leadership{Leader: c.known, Term: pollenlog.Term(1), ConfirmedAt: start})
				b.HandleMessage(start, a, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if err := b.Declare(ctx, &pollendocument.Declaration{Version: 1}); err != nil {
				t.Fatal(err)
			}
			transport.mu.Lock()
			defer transport.mu.Unlock()
			if !slices.Equal(transport.called, c.want) {
				t.Fatalf("calls went to %v; want %v", transport.called, c.want)
			}
		})
	}
}
