package pollennode_test

import (
	"bytes"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// A shapingTransport is a countingTransport that counts the packets by class.
type shapingTransport struct {
	countingTransport
	on      bool
	classes map[pollenegress.Class]int
	stats   pollenegress.Stats
}

func (s *shapingTransport) SetShaping(on bool)               { s.on = on }
func (s *shapingTransport) Waiting() int                     { return s.stats.Waiting() }
func (s *shapingTransport) ShapingStats() pollenegress.Stats { return s.stats }
func (s *shapingTransport) SendToNodeAs(class pollenegress.Class, _ pollenegress.Route, _ netip.AddrPort, _ []byte) {
	s.classes[class]++
}

// TestShapingFollowsTheDocument opens uploads through a balancer with a link of 5.3 Mbit/s
// and then takes the upload route out of the document. It guards against a queue that is
// not switched with the document, against uncounted drops, and against more than one log
// line a second about the link.
func TestShapingFollowsTheDocument(t *testing.T) {
	transport := &shapingTransport{countingTransport{nodes: map[netip.AddrPort]int{}}, false, map[pollenegress.Class]int{}, pollenegress.Stats{}}
	metrics, err := pollenmetric.NewSet("test", "balancer", nil)
	if err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	log := pollenrecord.New(&lines, logrus.InfoLevel, nil)
	gate, service := netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("198.51.100.1:443")
	now := time.Unix(1000, 0)
	b := pollennode.NewBalancer(now, pollennode.Settings{
		Node: netip.MustParseAddrPort("10.0.0.1:7000"), Domain: "a", Format: pollenpacket.Plain{}, LinkRate: 5.3e6,
	}, pollennode.Dependencies{Transport: transport, Metrics: metrics, Log: log, Seed: 1})
	apply := func(revision pollenview.Revision, kind pollendocument.RouteKind) {
		view := pollenview.NewView()
		view.Revision = revision
		view.Declared = pollendocument.Declaration{Version: uint64(revision), Routes: []pollendocument.Route{{
			Name: "feed", Address: service, Kind: kind, Timeout: time.Second, Objective: 800 * time.Millisecond,
			Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
		}}}
		update := pollenview.Update{Full: view}
		b.HandleMessage(now, gate, pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
	}
	port := uint16(0)
	open := func() {
		port++
		p := &pollenpacket.Packet{Flow: pollenpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: service}, SYN: true}
		b.HandleCallerPacket(now, pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, false, nil))
	}
	apply(1, pollendocument.RouteUpload)
	if !transport.on {
		t.Fatal("the queue is off with an upload route")
	}
	transport.stats[0].Dropped, transport.stats[2].Queued = 3, 5
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		if i%4 == 0 {
			heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
				Address: gate, Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: uint64(i + 1),
				Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 100},
			}}
			b.HandleMessage(now, gate, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
		}
		b.Tick(now)
		// Between 2.6 s, from when on flows are refused, and 3.5 s.
		for n := 0; i >= 26 && i < 34 && n < 20; n++ {
			open()
		}
	}
	if transport.callers == 0 || transport.classes[pollenegress.ClassUrgent] == 0 || transport.nodes[gate] > 0 {
		t.Errorf("%d resets, %v packets by class, %d without one; want some, urgent ones and none", transport.callers, transport.classes, transport.nodes[gate])
	}
	apply(2, pollendocument.RouteUnsafe)
	open()
	if transport.on || transport.nodes[gate] != 1 {
		t.Errorf("queue on: %t, %d packets without a class; want it off and one", transport.on, transport.nodes[gate])
	}
	now = now.Add(2 * time.Second)
	b.Tick(now)
	log.Close(time.Second)
	if n := strings.Count(lines.String(), "link pressure changed"); n != 2 {
		t.Errorf("%d log lines about the link; want 2:\n%s", n, lines.String())
	}
	response := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	for want, count := range map[string]string{`event="dropped-urgent"`: " 3", `event="queued-bulk"`: " 5"} {
		at := strings.Index(response.Body.String(), want)
		line, _, _ := strings.Cut(response.Body.String()[max(0, at):], "\n")
		if at < 0 || !strings.HasSuffix(line, count) {
			t.Errorf("metric %s: %q; want%s", want, line, count)
		}
	}
}
