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
	startTime  = time.Unix(1000, 0)
	afterGrace = startTime.Add(time.Minute)
	feed       = netip.MustParseAddrPort("198.51.100.1:443")
	sheets     = netip.MustParseAddrPort("198.51.100.1:80")
)

func view(revision pollenview.Revision, evacuated ...pollendocument.DomainName) *pollenview.View {
	v := pollenview.NewView()
	v.Revision = revision
	v.Evacuated = evacuated
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
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
	b.SetView(view(1))
	b.SetGate(afterGrace, gate(1, "rings"))
	b.SetGate(afterGrace, gate(2, "rings"))
	b.SetGate(afterGrace, gate(3, "sheets"))
	return b
}

func packet(port uint16) *pollenpacket.Packet {
	caller := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)
	return &pollenpacket.Packet{Flow: pollenpacket.Flow{Caller: caller, Service: feed}, ACK: true, Acknowledged: 7}
}

func opening(port uint16, retransmissions uint32) *pollenpacket.Packet {
	p := packet(port)
	p.SYN, p.ACK, p.Acknowledged = true, false, retransmissions
	return p
}

func wantDecision(t *testing.T, d pollensteer.Decision, verdict pollensteer.Verdict, reason pollenkernel.Refusal) {
	t.Helper()
	if d.Verdict != verdict || d.Reason != reason {
		t.Fatalf("decision %+v; want verdict %s, reason %q", d, verdict, reason)
	}
}

// TestFlowPacketsFollowOpeningPacket guards against packets of one flow that
// reach different gates. Only the last retransmission of the opening packet
// changes the gate, since the earlier ones got no answer.
func TestFlowPacketsFollowOpeningPacket(t *testing.T) {
	b := balancer()
	first := b.Steer(afterGrace, opening(1, 0))
	wantDecision(t, first, pollensteer.VerdictPass, "")
	for _, p := range []*pollenpacket.Packet{opening(1, 1), packet(1)} {
		d := b.Steer(afterGrace, p)
		if wantDecision(t, d, pollensteer.VerdictPass, ""); d.Gate != first.Gate {
			t.Fatalf("packet passed to %s; want %s, the gate of the opening packet", d.Gate, first.Gate)
		}
	}
	// The last retransmission goes to another gate, since the earlier
	// transmissions got no answer.
	last := b.Steer(afterGrace, opening(1, 2))
	if last.Gate == first.Gate || last.Retry != pollenkernel.RetryOpening {
		t.Fatalf("last retransmission: decision %+v; want another gate than %s", last, first.Gate)
	}
}

// TestNoNewFlowsAtSilentGate guards against opening flows at a gate whose last
// heartbeat is too old.
func TestNoNewFlowsAtSilentGate(t *testing.T) {
	b := balancer()
	later := afterGrace.Add(pollenpeer.FreshAge)
	b.SetGate(later, gate(2, "rings"))
	for port := range uint16(50) {
		if d := b.Steer(later, opening(port, 0)); d.Gate != address(2) {
			t.Fatalf("flow opened at %s, whose last heartbeat is %s old", d.Gate, pollenpeer.FreshAge)
		}
	}
}

// TestNoNewFlowsAtDrainingServerOrEvacuatedDomain guards against opening flows
// at a draining backend server or in an evacuated failure domain. Open flows
// stay.
func TestNoNewFlowsAtDrainingServerOrEvacuatedDomain(t *testing.T) {
	b := balancer()
	draining := gate(1, "rings")
	draining.Server.State = pollenpeer.ServerDraining
	b.SetGate(afterGrace, draining)
	if d := b.Steer(afterGrace, opening(1, 0)); d.Gate != address(2) {
		t.Fatalf("flow opened at %s; want %s, since the other backend server is draining", d.Gate, address(2))
	}
	b.SetView(view(2, "a"))
	wantDecision(t, b.Steer(afterGrace, opening(2, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
	// The open flow stays at its gate.
	wantDecision(t, b.Steer(afterGrace, packet(1)), pollensteer.VerdictPass, "")
}

// TestStartupGracePeriod guards against resets right after a start. When all
// processes start at once, balancers lack the view, routes or gates for a
// moment; a reset would use up one of the few retries of a caller that could be
// served shortly after.
func TestStartupGracePeriod(t *testing.T) {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
	wantDecision(t, b.Steer(startTime, opening(1, 0)), pollensteer.VerdictBuffer, pollenkernel.RefusalStaleView)
	wantDecision(t, b.Steer(startTime, packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalStaleView)
	b.SetView(view(1))
	soon := startTime.Add(300 * time.Millisecond)
	wantDecision(t, b.Steer(soon, opening(1, 0)), pollensteer.VerdictBuffer, pollenkernel.RefusalNotReady)
	unknown := opening(1, 0)
	unknown.Flow.Service = netip.MustParseAddrPort("198.51.100.9:1")
	wantDecision(t, b.Steer(soon, unknown), pollensteer.VerdictBuffer, pollenkernel.RefusalNoRoute)
	wantDecision(t, b.Steer(afterGrace, opening(1, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
	wantDecision(t, b.Steer(afterGrace, unknown), pollensteer.VerdictReset, pollenkernel.RefusalNoRoute)
}

// startupBalancer returns a Balancer that received heartbeats of its three gates
// at its start.
func startupBalancer() *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
	b.SetView(view(1))
	b.SetGate(startTime, gate(1, "rings"))
	b.SetGate(startTime, gate(2, "rings"))
	b.SetGate(startTime, gate(3, "sheets"))
	return b
}

// notFoundAtAllGates steers the packet and reports for each gate that it does
// not hold the flow. It returns the last decision.
func notFoundAtAllGates(b *pollensteer.Balancer, now time.Time, p *pollenpacket.Packet) pollensteer.Decision {
	b.Steer(now, p)
	var d pollensteer.Decision
	for n := 1; n <= 3; n++ {
		d = b.HandleNotFound(now, address(n), p)
	}
	return d
}

// TestLostFlowsAreResetAfterSystemRestart guards against callers that wait for
// flows lost in a power loss: the flows are reset as soon as a restart of the
// whole system is known and no gate holds them, but not before.
func TestLostFlowsAreResetAfterSystemRestart(t *testing.T) {
	soon := startTime.Add(300 * time.Millisecond)
	b := startupBalancer()
	wantDecision(t, notFoundAtAllGates(b, soon, packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	b.SetSystemRestarted(true)
	wantDecision(t, notFoundAtAllGates(b, soon, packet(2)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	// A host that came back without its server holds no flow.
	b = startupBalancer()
	withoutServer := gate(4, "rings")
	withoutServer.Server.State = pollenpeer.ServerUnknown
	b.SetGate(startTime, withoutServer)
	b.SetSystemRestarted(true)
	wantDecision(t, notFoundAtAllGates(b, soon, packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	// Peers that did not restart may not have answered yet at 299 ms.
	b = startupBalancer()
	b.SetSystemRestarted(true)
	wantDecision(t, notFoundAtAllGates(b, startTime.Add(299*time.Millisecond), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
}

// TestNoResetAfterPause guards against a balancer that was paused for seconds and resets
// the flows of gates that started meanwhile, whose heartbeats it has not read yet.
func TestNoResetAfterPause(t *testing.T) {
	b := startupBalancer()
	now := startTime
	tick := func(d time.Duration) {
		now = now.Add(d)
		b.SetGateKnowledge(now, pollenpeer.FreshAge, true)
	}
	for range 30 {
		tick(100 * time.Millisecond)
	}
	wantDecision(t, notFoundAtAllGates(b, now, packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	now = now.Add(5 * time.Second)
	wantDecision(t, notFoundAtAllGates(b, now, packet(2)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	tick(0)
	wantDecision(t, notFoundAtAllGates(b, now, packet(3)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	for range 20 {
		tick(100 * time.Millisecond)
	}
	wantDecision(t, notFoundAtAllGates(b, now, packet(4)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestNoResetBeforeAllGatesAreKnown guards against resetting a flow whose holder
// is not known yet: all known gates report that they do not hold it while the
// balancer cannot know yet whether there are others.
func TestNoResetBeforeAllGatesAreKnown(t *testing.T) {
	b := startupBalancer()
	soon := startTime.Add(300 * time.Millisecond)
	notFoundAtAllGates(b, soon, packet(1))
	notFoundAtAllGates(b, soon, packet(2))
	b.Steer(soon, opening(3, 0))
	// The retransmission finds no gate left to query.
	wantDecision(t, b.Steer(startTime.Add(time.Second), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	if lost := b.TakeLostFlows(startTime.Add(time.Second)); len(lost) != 0 {
		t.Fatalf("flows %v are reported as lost while gates may be unknown", lost)
	}
	later := startTime.Add(2 * time.Second)
	wantDecision(t, b.Steer(later, packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	lost := b.TakeLostFlows(later)
	if len(lost) != 1 || lost[0].Flow != packet(2).Flow || lost[0].Acknowledged != packet(2).Acknowledged {
		t.Fatalf("lost flows: %v; want only the other flow that was searched", lost)
	}
	if lost = b.TakeLostFlows(later); len(lost) != 0 {
		t.Fatalf("flows %v are reported as lost twice", lost)
	}
}

// TestSearchFindsHolder guards against losing the holder that a search found,
// also when a gate that does not hold the flow reports later.
func TestSearchFindsHolder(t *testing.T) {
	b := balancer()
	d := b.Steer(afterGrace, packet(1))
	if wantDecision(t, d, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(d.Gates) != 2 {
		t.Fatalf("queried %v; want the two gates of the route's service", d.Gates)
	}
	b.RecordHolder(afterGrace, address(2), packet(1).Flow)
	if d := b.Steer(afterGrace, packet(1)); d.Verdict != pollensteer.VerdictPass || d.Gate != address(2) {
		t.Fatalf("decision %+v after the holder answered; want a pass to %s", d, address(2))
	}
	// Once the holder is known, a report of another gate changes nothing.
	wantDecision(t, b.HandleNotFound(afterGrace, address(1), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
}

// TestFlowWithoutHolderIsReset guards against callers that wait for a lost
// flow: after the gates of the route's service all others are searched, then
// the flow is reset.
func TestFlowWithoutHolderIsReset(t *testing.T) {
	b := balancer()
	b.Steer(afterGrace, packet(1))
	wantDecision(t, b.HandleNotFound(afterGrace, address(1), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	d := b.HandleNotFound(afterGrace, address(2), packet(1))
	if wantDecision(t, d, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(d.Gates) != 1 || d.Gates[0] != address(3) {
		t.Fatalf("queried %v after the route's gates; want the only other one, %s", d.Gates, address(3))
	}
	wantDecision(t, b.HandleNotFound(afterGrace, address(3), packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestFlowIsNotResetWhileAGateIsSilent guards against a wrong count of the
// gates that do not hold a flow: one of them is removed during the search, and
// must not be counted in place of the one that did not answer.
func TestFlowIsNotResetWhileAGateIsSilent(t *testing.T) {
	b := balancer()
	b.SetGate(afterGrace, gate(4, "sheets"))
	b.Steer(afterGrace, packet(1))
	b.HandleNotFound(afterGrace, address(1), packet(1))
	b.HandleNotFound(afterGrace, address(2), packet(1))
	b.RemoveGate(address(1))
	wantDecision(t, b.HandleNotFound(afterGrace, address(3), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	wantDecision(t, b.HandleNotFound(afterGrace, address(4), packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestSearchSkipsHostWithoutServer guards against a search that waits forever
// for a host that came back without its server after a power loss and then fell
// silent.
func TestSearchSkipsHostWithoutServer(t *testing.T) {
	b := balancer()
	withoutServer := gate(4, "rings")
	withoutServer.Server.State = pollenpeer.ServerUnknown
	b.SetGate(afterGrace, withoutServer)
	later := afterGrace.Add(pollenpeer.FreshAge)
	for n := 1; n <= 3; n++ {
		service := pollendocument.ServiceName("rings")
		if n == 3 {
			service = "sheets"
		}
		b.SetGate(later, gate(n, service))
	}
	b.Steer(later, packet(1))
	wantDecision(t, b.HandleNotFound(later, address(1), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	wantDecision(t, b.HandleNotFound(later, address(2), packet(1)), pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow)
	wantDecision(t, b.HandleNotFound(later, address(3), packet(1)), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestResetUsesLastAcknowledgedPosition guards against resets that the caller
// ignores: a gate that reports only the flow sends no packet back, so the
// position of the reset has to come from the caller's last packet.
func TestResetUsesLastAcknowledgedPosition(t *testing.T) {
	b := balancer()
	b.Steer(afterGrace, packet(1))
	p := &pollenpacket.Packet{Flow: packet(1).Flow}
	wantDecision(t, b.HandleFlowNotFound(afterGrace, address(1), p), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	wantDecision(t, b.HandleFlowNotFound(afterGrace, address(2), p), pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow)
	wantDecision(t, b.HandleFlowNotFound(afterGrace, address(3), p), pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
	if p.Acknowledged != packet(1).Acknowledged {
		t.Fatalf("reset at position %d; the caller acknowledged %d", p.Acknowledged, packet(1).Acknowledged)
	}
}

// TestGateAddressReusedByOtherService guards against passing packets of an open
// flow to another service: the address of the flow's gate is taken over by a
// gate of that service.
func TestGateAddressReusedByOtherService(t *testing.T) {
	b := balancer()
	d := b.Steer(afterGrace, opening(1, 0))
	for n := 1; n <= 2; n++ {
		b.SetGate(afterGrace, gate(n, "sheets"))
	}
	if again := b.Steer(afterGrace, packet(1)); again.Verdict == pollensteer.VerdictPass {
		t.Fatalf("packet passed to %s, which now serves another service; the flow was opened at %s", again.Gate, d.Gate)
	}
}

// BenchmarkForward measures the steering of a packet of an open flow.
func BenchmarkForward(b *testing.B) {
	s := balancer()
	s.Steer(afterGrace, opening(1, 0))
	p := packet(1)
	b.ReportAllocs()
	for b.Loop() {
		s.Steer(afterGrace, p)
	}
}

// BenchmarkPlace measures the placement of a new flow by the number of gates.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 65, 5800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
			s.SetView(view(1))
			for i := range n {
				p := gate(1, "rings")
				p.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
				s.SetGate(afterGrace, p)
			}
			b.ReportAllocs()
			port := uint16(0)
			for b.Loop() {
				port++
				s.Steer(afterGrace, opening(port, 0))
			}
		})
	}
}
