package pollensteer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenview"
)

var (
	begun   = time.Unix(1000, 0)
	settled = begun.Add(time.Minute)
	feed    = netip.MustParseAddrPort("198.51.100.1:443")
	sheets  = netip.MustParseAddrPort("198.51.100.1:80")
)

func view(revision pollenview.Revision, emptied ...pollendocument.DomainName) *pollenview.View {
	v := pollenview.NewView()
	v.Revision = revision
	v.Evacuated = emptied
	v.Declared = pollendocument.Declaration{
		Version: uint64(revision),
		Routes: []pollendocument.Route{
			{Name: "feed", Address: feed, Shares: []pollendocument.Share{{Service: "rings", Weight: 1}}},
			{Name: "sheets", Address: sheets, Shares: []pollendocument.Share{{Service: "sheets", Weight: 1}}},
		},
	}
	return v
}

func address(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", n)) }

func gate(n int, service pollendocument.ServiceName) *pollenpeer.Peer {
	return &pollenpeer.Peer{
		Address: address(n), Role: pollenpeer.RoleGate, Domain: "a",
		Server: pollenpeer.Server{Service: service, State: pollenpeer.ServerReady, Slots: 2},
	}
}

// balancer returns a Balancer with two gates of rings and one of sheets.
func balancer() *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1})
	b.SetView(view(1))
	b.SetGate(settled, gate(1, "rings"))
	b.SetGate(settled, gate(2, "rings"))
	b.SetGate(settled, gate(3, "sheets"))
	return b
}

func packet(port uint16) *pollenpacket.Packet {
	caller := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)
	return &pollenpacket.Packet{Flow: pollenpacket.Flow{Caller: caller, Service: feed}, ACK: true, Acknowledged: 7}
}

func opening(port uint16, copies uint32) *pollenpacket.Packet {
	p := packet(port)
	p.SYN, p.ACK, p.Acknowledged = true, false, copies
	return p
}

func want(t *testing.T, d pollensteer.Decision, verdict pollensteer.Verdict, why pollenkernel.Refusal) {
	t.Helper()
	if d.Verdict != verdict || d.Reason != why {
		t.Fatalf("decision %+v; want %s for %q", d, verdict, why)
	}
}

func TestPacketsFollowTheOpening(t *testing.T) {
	b := balancer()
	first := b.Steer(settled, opening(1, 0))
	want(t, first, pollensteer.VerdictPass, "")
	for _, p := range []*pollenpacket.Packet{opening(1, 1), packet(1)} {
		d := b.Steer(settled, p)
		if want(t, d, pollensteer.VerdictPass, ""); d.Gate != first.Gate {
			t.Fatalf("packet passed to %s; the opening went to %s", d.Gate, first.Gate)
		}
	}
	// The last copy goes elsewhere: nothing has answered the ones before.
	last := b.Steer(settled, opening(1, 2))
	if last.Gate == first.Gate || last.Retry != pollenkernel.RetryOpening {
		t.Fatalf("last copy: %+v", last)
	}
}

func TestSilentGateGetsNoOpening(t *testing.T) {
	b := balancer()
	later := settled.Add(pollenpeer.FreshAge)
	b.SetGate(later, gate(2, "rings"))
	for port := range uint16(50) {
		if d := b.Steer(later, opening(port, 0)); d.Gate != address(2) {
			t.Fatalf("flow opened at %s, which was not heard of for %s", d.Gate, pollenpeer.FreshAge)
		}
	}
}

func TestEmptiedDomainAndDrainingGetNoOpening(t *testing.T) {
	b := balancer()
	draining := gate(1, "rings")
	draining.Server.State = pollenpeer.ServerDraining
	b.SetGate(settled, draining)
	if d := b.Steer(settled, opening(1, 0)); d.Gate != address(2) {
		t.Fatalf("flow opened at %s", d.Gate)
	}
	b.SetView(view(2, "a"))
	want(t, b.Steer(settled, opening(2, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
	// The flow that is open stays where it is.
	want(t, b.Steer(settled, packet(1)), pollensteer.VerdictPass, "")
}

// TestRestart replays the wave after all processes start at once: callers have
// few retries, so nothing is reset that a moment later would be served.
func TestRestart(t *testing.T) {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1})
	want(t, b.Steer(begun, opening(1, 0)), pollensteer.VerdictBuffer, pollenkernel.RefusalStaleView)
	want(t, b.Steer(begun, packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalStaleView)
	b.SetView(view(1))
	soon := begun.Add(300 * time.Millisecond)
	want(t, b.Steer(soon, opening(1, 0)), pollensteer.VerdictBuffer, pollenkernel.RefusalNotReady)
	unknown := opening(1, 0)
	unknown.Flow.Service = netip.MustParseAddrPort("198.51.100.9:1")
	want(t, b.Steer(soon, unknown), pollensteer.VerdictBuffer, pollenkernel.RefusalNoRoute)
	want(t, b.Steer(settled, opening(1, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
	want(t, b.Steer(settled, unknown), pollensteer.VerdictReset, pollenkernel.RefusalNoRoute)
}

// restarting returns a Balancer that started with its three gates.
func restarting() *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1})
	b.SetView(view(1))
	b.SetGate(begun, gate(1, "rings"))
	b.SetGate(begun, gate(2, "rings"))
	b.SetGate(begun, gate(3, "sheets"))
	return b
}

// searchAll has every gate say that it does not hold the flow, and returns the
// last decision.
func searchAll(b *pollensteer.Balancer, now time.Time, p *pollenpacket.Packet) pollensteer.Decision {
	b.Steer(now, p)
	var d pollensteer.Decision
	for n := 1; n <= 3; n++ {
		d = b.HandleNotFound(now, address(n), p)
	}
	return d
}

// TestPowerReturns replays the return of power: callers go on with flows whose
// backend servers are new, and are told so at once.
func TestPowerReturns(t *testing.T) {
	soon := begun.Add(300 * time.Millisecond)
	b := restarting()
	want(t, searchAll(b, soon, packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	b.SetSystemRestarted(true)
	want(t, searchAll(b, soon, packet(2)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	// A host that came back without its server has nothing to answer.
	b = restarting()
	empty := gate(4, "rings")
	empty.Server.State = pollenpeer.ServerUnknown
	b.SetGate(begun, empty)
	b.SetSystemRestarted(true)
	want(t, searchAll(b, soon, packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	// Peers that did not restart may not have answered yet.
	b = restarting()
	b.SetSystemRestarted(true)
	want(t, searchAll(b, begun.Add(299*time.Millisecond), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
}

// TestSearchEndedTooEarly has every gate answer before the balancer can know
// that there are no others.
func TestSearchEndedTooEarly(t *testing.T) {
	b := restarting()
	soon := begun.Add(300 * time.Millisecond)
	searchAll(b, soon, packet(1))
	searchAll(b, soon, packet(2))
	b.Steer(soon, opening(3, 0))
	// The retransmission finds no gate left to ask.
	want(t, b.Steer(begun.Add(time.Second), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	if gone := b.TakeLostFlows(begun.Add(time.Second)); len(gone) != 0 {
		t.Fatalf("flows %v are taken for gone while gates may be unknown", gone)
	}
	later := begun.Add(2 * time.Second)
	want(t, b.Steer(later, packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	gone := b.TakeLostFlows(later)
	if len(gone) != 1 || gone[0].Flow != packet(2).Flow || gone[0].Acknowledged != packet(2).Acknowledged {
		t.Fatalf("gone: %v; want the other flow that was searched", gone)
	}
	if gone = b.TakeLostFlows(later); len(gone) != 0 {
		t.Fatalf("told twice: %v", gone)
	}
}

func TestSearchFindsTheHolder(t *testing.T) {
	b := balancer()
	d := b.Steer(settled, packet(1))
	if want(t, d, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(d.Gates) != 2 {
		t.Fatalf("searched %v; want the gates of the route's service", d.Gates)
	}
	b.RecordHolder(settled, address(2), packet(1).Flow)
	if d := b.Steer(settled, packet(1)); d.Verdict != pollensteer.VerdictPass || d.Gate != address(2) {
		t.Fatalf("after the holder answered: %+v", d)
	}
	// An absent gate changes nothing once the holder is known.
	want(t, b.HandleNotFound(settled, address(1), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
}

func TestFlowThatNobodyHoldsIsReset(t *testing.T) {
	b := balancer()
	b.Steer(settled, packet(1))
	want(t, b.HandleNotFound(settled, address(1), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	d := b.HandleNotFound(settled, address(2), packet(1))
	if want(t, d, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(d.Gates) != 1 || d.Gates[0] != address(3) {
		t.Fatalf("after the route's gates, searched %v; want every other one", d.Gates)
	}
	want(t, b.HandleNotFound(settled, address(3), packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestFlowIsNotResetWhileAGateIsSilent has a gate that was searched in vain go
// away: it must not stand for the one that did not answer.
func TestFlowIsNotResetWhileAGateIsSilent(t *testing.T) {
	b := balancer()
	b.SetGate(settled, gate(4, "sheets"))
	b.Steer(settled, packet(1))
	b.HandleNotFound(settled, address(1), packet(1))
	b.HandleNotFound(settled, address(2), packet(1))
	b.RemoveGate(address(1))
	want(t, b.HandleNotFound(settled, address(3), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	want(t, b.HandleNotFound(settled, address(4), packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestSearchIsNotHeldUpByAnEmptyHost has a host come back after a power loss
// without its server, and then vanish.
func TestSearchIsNotHeldUpByAnEmptyHost(t *testing.T) {
	b := balancer()
	empty := gate(4, "rings")
	empty.Server.State = pollenpeer.ServerUnknown
	b.SetGate(settled, empty)
	later := settled.Add(pollenpeer.FreshAge)
	for n := 1; n <= 3; n++ {
		service := pollendocument.ServiceName("rings")
		if n == 3 {
			service = "sheets"
		}
		b.SetGate(later, gate(n, service))
	}
	b.Steer(later, packet(1))
	want(t, b.HandleNotFound(later, address(1), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	want(t, b.HandleNotFound(later, address(2), packet(1)), pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow)
	want(t, b.HandleNotFound(later, address(3), packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

func TestAbsentFlowIsResetWhereTheCallerIs(t *testing.T) {
	b := balancer()
	b.Steer(settled, packet(1))
	p := &pollenpacket.Packet{Flow: packet(1).Flow}
	want(t, b.HandleFlowNotFound(settled, address(1), p), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	want(t, b.HandleFlowNotFound(settled, address(2), p), pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow)
	want(t, b.HandleFlowNotFound(settled, address(3), p), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	if p.Acknowledged != packet(1).Acknowledged {
		t.Fatalf("reset at %d; the caller acknowledged %d", p.Acknowledged, packet(1).Acknowledged)
	}
}

// TestReusedAddress has the address of a gate go to another service.
func TestReusedAddress(t *testing.T) {
	b := balancer()
	d := b.Steer(settled, opening(1, 0))
	for n := 1; n <= 2; n++ {
		b.SetGate(settled, gate(n, "sheets"))
	}
	if again := b.Steer(settled, packet(1)); again.Verdict == pollensteer.VerdictPass {
		t.Fatalf("packet still passed to %s, which serves another service than at %s", again.Gate, d.Gate)
	}
}

func BenchmarkForward(b *testing.B) {
	s := balancer()
	s.Steer(settled, opening(1, 0))
	p := packet(1)
	b.ReportAllocs()
	for b.Loop() {
		s.Steer(settled, p)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 65, 5800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1})
			s.SetView(view(1))
			for i := range n {
				p := gate(1, "rings")
				p.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
				s.SetGate(settled, p)
			}
			b.ReportAllocs()
			port := uint16(0)
			for b.Loop() {
				port++
				s.Steer(settled, opening(port, 0))
			}
		})
	}
}
