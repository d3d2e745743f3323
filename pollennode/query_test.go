package pollennode_test

import (
	"net/netip"
	"slices"
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

// An interruptingTransport runs interrupt once, at the first datagram to another node.
type interruptingTransport struct {
	countingTransport
	queried   []netip.AddrPort
	interrupt func()
}

func (s *interruptingTransport) SendToNode(to netip.AddrPort, _ []byte) {
	if interrupt := s.interrupt; interrupt != nil {
		s.interrupt = nil
		interrupt()
	}
	s.queried = append(s.queried, to)
}

// TestConcurrentSearches guards against the queries of one search that go to the gates
// of another one, whose packet arrives while they are sent.
func TestConcurrentSearches(t *testing.T) {
	transport := &interruptingTransport{}
	start := time.Unix(1000, 0)
	b := newBalancer(t, start, pollennode.Settings{Node: netip.MustParseAddrPort("10.0.0.1:7000")}, transport)
	services := map[pollendocument.ServiceName]netip.AddrPort{
		"rings": netip.MustParseAddrPort("198.51.100.1:443"), "sheets": netip.MustParseAddrPort("198.51.100.1:80"),
	}
	gates := map[pollendocument.ServiceName][]netip.AddrPort{
		"rings":  {netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")},
		"sheets": {netip.MustParseAddrPort("10.0.0.4:7000"), netip.MustParseAddrPort("10.0.0.5:7000")},
	}
	view := pollenview.NewView()
	view.Revision, view.Declared.Version = 1, 1
	for name, a := range services {
		view.Declared.Routes = append(view.Declared.Routes, pollendocument.Route{
			Name: string(name), Address: a, Kind: pollendocument.RouteSafe, Timeout: time.Second,
			Shares: []pollendocument.Share{{Service: name, Weight: 1}},
		})
	}
	update := pollenview.Update{Full: view}
	b.HandleMessage(start, gates["rings"][0], pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
	for name, list := range gates {
		for _, a := range list {
			heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
				Address: a, Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: 1,
				Server: pollenpeer.Server{Service: name, State: pollenpeer.ServerReady, Slots: 1},
			}}
			b.HandleMessage(start, a, pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
		}
	}
	later := start.Add(time.Minute)
	send := func(service netip.AddrPort) {
		p := &pollenpacket.Packet{
			Flow: pollenpacket.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: service}, ACK: true, Acknowledged: 7,
		}
		b.HandleCallerPacket(later, pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, false, nil))
	}
	transport.interrupt = func() { send(services["sheets"]) }
	send(services["rings"])
	slices.SortFunc(transport.queried, netip.AddrPort.Compare)
	if want := append(slices.Clone(gates["rings"]), gates["sheets"]...); !slices.Equal(transport.queried, want) {
		t.Fatalf("queries went to %v; want one to each of %v", transport.queried, want)
	}
}
