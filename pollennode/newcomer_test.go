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

// A memoryNetwork carries the messages between balancers. Messages to other addresses
// are lost.
type memoryNetwork struct {
	balancers map[netip.AddrPort]*pollennode.Balancer
	queue     []networkMessage
	// lost is the number of messages that are still to be lost.
	lost int
}

type networkMessage struct {
	from, to netip.AddrPort
	kind     pollenlink.Kind
	message  []byte
}

func (n *memoryNetwork) deliver(now time.Time) {
	for len(n.queue) > 0 {
		m := n.queue[0]
		n.queue = n.queue[1:]
		if b := n.balancers[m.to]; b != nil {
			b.HandleMessage(now, m.from, m.kind, m.message)
		}
	}
}

// A memoryTransport is the transport of one balancer. It counts the resets.
type memoryTransport struct {
	network *memoryNetwork
	address netip.AddrPort
	resets  int
}

func (m *memoryTransport) SendToNode(netip.AddrPort, []byte)   {}
func (m *memoryTransport) SendToCaller(netip.AddrPort, []byte) { m.resets++ }
func (m *memoryTransport) SendToServer([]byte)                 {}
func (m *memoryTransport) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	for _, a := range to {
		if m.network.lost > 0 {
			m.network.lost--
			continue
		}
		m.network.queue = append(m.network.queue, networkMessage{from: m.address, to: a, kind: kind, message: message})
	}
}

// TestNewcomerLearnsOfSilentGates guards against a balancer that starts while a gate is
// down for a planned restart, hears nothing of that gate, and resets the flows that its
// backend server still holds.
func TestNewcomerLearnsOfSilentGates(t *testing.T) {
	for name, c := range map[string]struct {
		// gone is how long the gate has been down when the balancer starts.
		gone time.Duration
		// lost is the number of the newcomer's first messages and of the answers to
		// them that are lost.
		lost int
		// after is the uptime of the newcomer at which a packet of a flow arrives.
		after time.Duration
		reset bool
	}{
		"heard just before the start":    {gone: 500 * time.Millisecond, after: 2500 * time.Millisecond},
		"silent at the start":            {gone: 3 * time.Second, after: 2500 * time.Millisecond},
		"silent, first answers are lost": {gone: 3 * time.Second, lost: 6, after: 3500 * time.Millisecond},
		"expired at the others":          {gone: 3 * time.Second, after: 7500 * time.Millisecond, reset: true},
		"gone for long":                  {gone: 11 * time.Second, after: 2500 * time.Millisecond, reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			network := &memoryNetwork{balancers: map[netip.AddrPort]*pollennode.Balancer{}}
			service := netip.MustParseAddrPort("198.51.100.1:443")
			gates := []netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:7000"), netip.MustParseAddrPort("10.0.1.2:7000")}
			old, newcomer := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
			now := time.Unix(1000, 0)
			view := pollenview.NewView()
			view.Revision = 1
			view.Declared = pollendocument.Declaration{Version: 1, Routes: []pollendocument.Route{{
				Name: "feed", Address: service, Kind: pollendocument.RouteSafe, Timeout: time.Second,
				Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
			}}}
			update := pollenview.Update{Full: view}
			start := func(a netip.AddrPort, seed uint64) (*pollennode.Balancer, *memoryTransport) {
				transport := &memoryTransport{network: network, address: a}
				b := newSeededBalancer(t, now, pollennode.Settings{Node: a, Seeds: []netip.AddrPort{old, newcomer}}, transport, seed)
				network.balancers[a] = b
				b.HandleMessage(now, a, pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
				return b, transport
			}
			sequence := uint64(0)
			beat := func(gate netip.AddrPort) {
				sequence++
				heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
					Address: gate, Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: sequence, Uptime: time.Minute,
					Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 1},
				}}
				for _, b := range network.balancers {
					b.HandleMessage(now, gate, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
				}
			}
			run := func(d time.Duration, live ...netip.AddrPort) {
				for end := now.Add(d); now.Before(end); {
					now = now.Add(pollennode.TickInterval)
					for _, g := range live {
						beat(g)
					}
					for _, b := range network.balancers {
						b.Tick(now)
					}
					network.deliver(now)
				}
			}
			start(old, 1)
			run(12*time.Second, gates...)
			run(c.gone, gates[0])
			b, transport := start(newcomer, 2)
			network.lost = c.lost
			run(c.after, gates[0])
			p := &pollenpacket.Packet{
				Flow: pollenpacket.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: service}, ACK: true, Acknowledged: 7,
			}
			b.HandleCallerPacket(now, pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, false, nil))
			notice := make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize)
			h := pollenlink.Header{Kind: pollenlink.KindNotFound, Revision: 1}
			h.Put(notice)
			notice = pollenlink.AppendFlow(notice, p.Flow)
			b.HandlePacket(now, gates[0], h, notice)
			if got := transport.resets > 0; got != c.reset {
				t.Fatalf("%d resets of a flow that the live gate does not hold; want a reset: %t", transport.resets, c.reset)
			}
		})
	}
}
