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

// queriedGates is a transport to gates that answer queries after a round trip. The test
// fills in the answer of each gate; an empty kind stands for a lost query.
type queriedGates struct {
	countingTransport
	answer  func(gate netip.AddrPort) pollenlink.Kind
	answers []func(now time.Time)
	b       *pollennode.Balancer
	// age is the time since the first packet of the flow, and firstProbe its value at the
	// first probe.
	age, firstProbe time.Duration
	// probes lists the gates that were sent a packet to find out whether they hold its
	// flow, and passed those that it was passed to.
	probes, passed []netip.AddrPort
}

func (s *queriedGates) SendToNode(to netip.AddrPort, datagram []byte) {
	h, _ := pollenlink.ReadHeader(datagram)
	switch h.Kind {
	case pollenlink.KindSearch:
		if len(s.probes) == 0 {
			s.firstProbe = s.age
		}
		s.probes = append(s.probes, to)
	case pollenlink.KindPass:
		s.passed = append(s.passed, to)
	case pollenlink.KindQuery:
		if h.Kind = s.answer(to); h.Kind == "" {
			return
		}
		notice := make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize)
		h.Put(notice)
		notice = append(notice, datagram[pollenlink.HeaderSize:pollenlink.HeaderSize+12]...)
		s.answers = append(s.answers, func(now time.Time) { s.b.HandlePacket(now, to, h, notice) })
	default:
	}
}

// deliver delivers the answers, also those to queries that they cause.
func (s *queriedGates) deliver(now time.Time) {
	for len(s.answers) > 0 {
		answer := s.answers[0]
		s.answers = s.answers[1:]
		answer(now)
	}
}

// searchRun sends the packets of a caller that gets no response, at 0, 200, 600 and 1,400
// ms, to a balancer that has no entry for their flow and knows the gates 1 to n. Ticks come
// every 100 ms.
func searchRun(t *testing.T, n int, answer func(gate netip.AddrPort, age time.Duration) pollenlink.Kind) *queriedGates {
	t.Helper()
	start := time.Unix(1000, 0)
	transport := &queriedGates{}
	b := newBalancer(t, start, pollennode.Settings{Node: netip.MustParseAddrPort("10.0.0.200:7000")}, transport)
	transport.b = b
	service := netip.MustParseAddrPort("198.51.100.1:443")
	sendRingsView(b, start, service)
	for i := range n {
		heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
			Address: probedGate(i + 1), Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: 1,
			Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 1},
		}}
		b.HandleMessage(start, probedGate(i+1), pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
	}
	p := &pollenpacket.Packet{
		Flow: pollenpacket.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:1"), Service: service}, ACK: true, Acknowledged: 7,
	}
	for age := time.Duration(0); age <= 1500*time.Millisecond; age += 100 * time.Millisecond {
		now := start.Add(time.Second + age)
		transport.age = age
		transport.answer = func(gate netip.AddrPort) pollenlink.Kind { return answer(gate, age) }
		if slices.Contains([]time.Duration{0, 200, 600, 1400}, age/time.Millisecond) {
			b.HandleCallerPacket(now, pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, false, nil))
		}
		transport.deliver(now.Add(3 * time.Millisecond))
		b.Tick(now.Add(50 * time.Millisecond))
		transport.deliver(now.Add(53 * time.Millisecond))
	}
	return transport
}

// sendRingsView sends the balancer a view with one route, to the service rings.
func sendRingsView(b *pollennode.Balancer, now time.Time, service netip.AddrPort) {
	view := pollenview.NewView()
	view.Revision, view.Declared.Version = 1, 1
	view.Declared.Routes = []pollendocument.Route{{
		Name: "rings", Address: service, Kind: pollendocument.RouteSafe, Timeout: time.Second,
		Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
	}}
	update := pollenview.Update{Full: view}
	b.HandleMessage(now, probedGate(1), pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
}

func probedGate(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// TestNewGatesDoNotReplaceTheHolder guards against an open flow that is broken: the first
// queries to the gate that holds it are lost on a full link, while gates that have just
// started on new hosts cannot rule it out, and its packets are sent to them instead.
func TestNewGatesDoNotReplaceTheHolder(t *testing.T) {
	holder := probedGate(1)
	for _, lostFor := range []time.Duration{300 * time.Millisecond, 400 * time.Millisecond} {
		transport := searchRun(t, 14, func(gate netip.AddrPort, age time.Duration) pollenlink.Kind {
			switch {
			case gate == holder && age < lostFor:
				return ""
			case gate == holder:
				return pollenlink.KindHolder
			case gate.Addr().As4()[3] > 10:
				return pollenlink.KindNeedsPacket
			}
			return pollenlink.KindNotFound
		})
		if len(transport.probes) > 0 {
			t.Errorf("queries lost for %s: packet sent to %v, which do not hold the flow", lostFor, transport.probes)
		}
		if len(transport.passed) == 0 || slices.ContainsFunc(transport.passed, func(a netip.AddrPort) bool { return a != holder }) {
			t.Errorf("queries lost for %s: packets passed to %v; want only %s", lostFor, transport.passed, holder)
		}
	}
}

// TestPacketIsSentOncePerSearch guards against the packets of a flow that are sent to the
// servers of new gates at each retransmission while its holder does not answer.
func TestPacketIsSentOncePerSearch(t *testing.T) {
	transport := searchRun(t, 14, func(gate netip.AddrPort, _ time.Duration) pollenlink.Kind {
		switch {
		case gate == probedGate(1):
			return ""
		case gate.Addr().As4()[3] > 10:
			return pollenlink.KindNeedsPacket
		}
		return pollenlink.KindNotFound
	})
	slices.SortFunc(transport.probes, netip.AddrPort.Compare)
	if want := []netip.AddrPort{probedGate(11), probedGate(12), probedGate(13), probedGate(14)}; !slices.Equal(transport.probes, want) {
		t.Fatalf("packet sent to %v; want once to each gate that needs it, %v", transport.probes, want)
	}
}

// TestFlowAtRestartedGateIsFoundAtOnce guards against flows that are delayed because their
// gate process was restarted beside a running backend server: when the other gates rule
// them out, the packet is sent within the first round trip, and again if it was lost.
func TestFlowAtRestartedGateIsFoundAtOnce(t *testing.T) {
	restarted := probedGate(1)
	var queriedAt []time.Duration
	transport := searchRun(t, 10, func(gate netip.AddrPort, age time.Duration) pollenlink.Kind {
		if gate == restarted {
			queriedAt = append(queriedAt, age)
			return pollenlink.KindNeedsPacket
		}
		return pollenlink.KindNotFound
	})
	if len(transport.probes) < 2 || slices.ContainsFunc(transport.probes, func(a netip.AddrPort) bool { return a != restarted }) {
		t.Fatalf("packet sent to %v; want repeatedly to %s, since all others rule the flow out", transport.probes, restarted)
	}
	if transport.firstProbe > 0 {
		t.Errorf("packet first sent after %s; want within the first round trip", transport.firstProbe)
	}
	if len(queriedAt) > 5 {
		t.Errorf("gate queried at %v; want one query for each packet of the caller", queriedAt)
	}
}
