package pollennode_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// A countingTransport counts the datagrams to other nodes and the packets to
// callers.
type countingTransport struct {
	nodes   map[netip.AddrPort]int
	callers int
}

func (c *countingTransport) SendToNode(to netip.AddrPort, _ []byte)                 { c.nodes[to]++ }
func (c *countingTransport) SendMessage(pollenlink.Kind, []byte, ...netip.AddrPort) {}
func (c *countingTransport) SendToCaller(netip.AddrPort, []byte)                    { c.callers++ }
func (c *countingTransport) SendToServer([]byte)                                    {}

// After a power loss, opening packets reach a balancer before it has a view or
// knows a gate. A reset would use up one of the caller's few retries. The balancer
// must buffer the packet and pass it exactly once when the first gate is known.
func TestOpeningIsBufferedDuringStartup(t *testing.T) {
	transport := &countingTransport{nodes: map[netip.AddrPort]int{}}
	node := netip.MustParseAddrPort("10.0.0.1:7000")
	gate := netip.MustParseAddrPort("10.0.0.2:7000")
	service := netip.MustParseAddrPort("198.51.100.1:443")
	start := time.Unix(1000, 0)
	b := newBalancer(t, start, pollennode.Settings{Node: node}, transport)
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
	if transport.nodes[gate] != 0 || transport.callers != 0 {
		t.Fatalf("%d packets passed, %d resets sent before a gate is known; want none", transport.nodes[gate], transport.callers)
	}
	heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
		Address: gate, Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: 1,
		Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 1},
	}}
	for range 2 {
		b.HandleMessage(soon, gate, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
		heartbeat.Peer.Sequence++
	}
	if transport.nodes[gate] != 1 || transport.callers != 0 {
		t.Fatalf("%d packets passed, %d resets sent; want the one opening packet", transport.nodes[gate], transport.callers)
	}
}
