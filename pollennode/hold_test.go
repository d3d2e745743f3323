package pollennode_test

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// outlet counts what a program sends to other nodes and to callers.
type outlet struct {
	nodes   map[netip.AddrPort]int
	callers int
}

func (o *outlet) SendToNode(to netip.AddrPort, _ []byte)                 { o.nodes[to]++ }
func (o *outlet) SendMessage(pollenlink.Kind, []byte, ...netip.AddrPort) {}
func (o *outlet) SendToCaller(netip.AddrPort, []byte)                    { o.callers++ }
func (o *outlet) SendToServer([]byte)                                    {}

// TestOpeningIsHeldWhileStarting sends one opening packet to a balancer that
// has no view and no gate yet, as after the return of power.
func TestOpeningIsHeldWhileStarting(t *testing.T) {
	metrics, err := pollenmetric.NewSet("test", "balancer", nil)
	if err != nil {
		t.Fatal(err)
	}
	o := &outlet{nodes: map[netip.AddrPort]int{}}
	node := netip.MustParseAddrPort("10.0.0.1:7000")
	gate := netip.MustParseAddrPort("10.0.0.2:7000")
	service := netip.MustParseAddrPort("198.51.100.1:443")
	start := time.Unix(1000, 0)
	b := pollennode.NewBalancer(start, pollennode.Settings{Domain: "a", Node: node, Format: pollenpacket.Plain{}}, pollennode.Dependencies{
		Transport: o, Metrics: metrics, Log: pollenrecord.New(io.Discard, logrus.PanicLevel, nil), Seed: 1,
	})
	opening := &pollenpacket.Packet{
		Flow: pollenpacket.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: service}, SYN: true,
	}
	b.HandleCallerPacket(start, pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), opening, false, nil))

	view := pollenview.NewView()
	view.Revision = 1
	view.Declared = pollendocument.Declaration{Version: 1, Routes: []pollendocument.Route{{
		Name: "feed", Address: service, Kind: pollendocument.RouteSafe, Timeout: time.Second,
		Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
	}}}
	update := pollenview.Update{Full: view}
	soon := start.Add(50 * time.Millisecond)
	b.HandleMessage(soon, gate, pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
	if o.nodes[gate] != 0 || o.callers != 0 {
		t.Fatalf("%d packets passed, %d resets sent before a gate is known", o.nodes[gate], o.callers)
	}
	beat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
		Address: gate, Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: 1,
		Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 1},
	}}
	for range 2 {
		b.HandleMessage(soon, gate, pollenlink.KindHeartbeat, pollenwire.Marshal(&beat, pollenwire.MapPeerHeartbeat))
		beat.Peer.Sequence++
	}
	if o.nodes[gate] != 1 || o.callers != 0 {
		t.Fatalf("%d packets passed, %d resets sent; want the one opening packet", o.nodes[gate], o.callers)
	}
}
