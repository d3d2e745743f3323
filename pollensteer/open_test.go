package pollensteer_test

import (
	"net/netip"
	"testing"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollensteer"
)

// TestOpeningIsDroppedAfterThreeBusyGates guards against overloading all gates
// when many flows are opened at once: an opening packet that three gates
// declined as busy is dropped, and its retransmission is placed anew.
func TestOpeningIsDroppedAfterThreeBusyGates(t *testing.T) {
	b := balancer()
	d := b.Steer(afterGrace, opening(1, 0))
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots}
	for hops := uint8(1); hops < 3; hops++ {
		h.Hops = hops
		d = b.HandleDeclined(afterGrace, d.Gate, h, opening(1, 0))
		wantDecision(t, d, pollensteer.VerdictPass, "")
	}
	h.Hops = 3
	wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, h, opening(1, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalNoSlots)
	if again := b.Steer(afterGrace, opening(1, 1)); !again.Placed {
		t.Fatalf("decision %+v on the retransmission; want it placed anew", again)
	}
}

// TestLastRetransmissionIsReset guards against callers that wait for their own
// timeout while every gate is busy: the flow is reset after the last
// retransmission of its opening packet, provided that every transmission was
// declined.
func TestLastRetransmissionIsReset(t *testing.T) {
	busy := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots, Hops: 3}
	b := balancer()
	for retransmissions := range uint32(3) {
		d := b.Steer(afterGrace, opening(1, retransmissions))
		verdict := pollensteer.VerdictDrop
		if retransmissions == 2 {
			verdict = pollensteer.VerdictReset
		}
		wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, busy, opening(1, retransmissions)), verdict, pollenkernel.RefusalNoSlots)
	}
	// One transmission was not declined: a backend server may have accepted it.
	b = balancer()
	for retransmissions := range uint32(3) {
		d := b.Steer(afterGrace, opening(1, retransmissions))
		if retransmissions != 1 {
			wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, busy, opening(1, retransmissions)), pollensteer.VerdictDrop, pollenkernel.RefusalNoSlots)
		}
	}
}

// TestDeclinedOpeningHopLimit guards against opening packets that circulate
// between gates: after four hops the flow is reset.
func TestDeclinedOpeningHopLimit(t *testing.T) {
	b := balancer()
	d := b.Steer(afterGrace, opening(1, 0))
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalConnectionLimit}
	b.SetGate(afterGrace, gate(4, "rings"))
	b.SetGate(afterGrace, gate(5, "rings"))
	for hops := uint8(1); hops < 4; hops++ {
		h.Hops = hops
		before := d.Gate
		if d = b.HandleDeclined(afterGrace, before, h, opening(1, 0)); d.Gate == before || d.Verdict != pollensteer.VerdictPass {
			t.Fatalf("hop %d: decision %+v; want a pass to another gate than %s", hops, d, before)
		}
	}
	h.Hops = 4
	wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, h, opening(1, 0)), pollensteer.VerdictReset, pollenkernel.RefusalHopLimit)
}

// TestFailingServerIsAvoided guards against opening flows at a backend server
// that fails its requests while another one is healthy.
func TestFailingServerIsAvoided(t *testing.T) {
	b := balancer()
	failing := gate(1, "rings")
	failing.Server.Failing = true
	busy := gate(2, "rings")
	busy.Server.Running, busy.Server.AverageRunning = 9, 9
	b.SetGate(afterGrace, failing)
	b.SetGate(afterGrace, busy)
	for i := range uint16(50) {
		if d := b.Steer(afterGrace, opening(i, 0)); d.Gate != address(2) {
			t.Fatalf("flow opened at %s, whose backend server fails; want %s", d.Gate, address(2))
		}
	}
	busy.Server.Failing = true
	b.SetGate(afterGrace, busy)
	b.SetGate(afterGrace, failing)
	if d := b.Steer(afterGrace, opening(100, 0)); d.Gate != address(1) {
		t.Fatalf("flow opened at %s; want %s, since both backend servers fail and it is less loaded", d.Gate, address(1))
	}
	// A gate that declines is not chosen again while another one is healthy.
	b.SetGate(afterGrace, gate(1, "rings"))
	b.SetGate(afterGrace, gate(2, "rings"))
	b.SetGate(afterGrace, gate(4, "rings"))
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalBackendFailed, Hops: 1}
	d := b.Steer(afterGrace, opening(200, 0))
	failed := d.Gate
	wantDecision(t, b.HandleDeclined(afterGrace, failed, h, opening(200, 0)), pollensteer.VerdictPass, "")
	for i := range uint16(50) {
		if d := b.Steer(afterGrace, opening(300+i, 0)); d.Gate == failed {
			t.Fatalf("flow opened at %s, which declined as failing before", d.Gate)
		}
	}
}

// TestRetransmissionIsNotReset guards against resetting a flow that a gate may
// have accepted: all gates of the service are removed between the opening packet
// and its retransmission.
func TestRetransmissionIsNotReset(t *testing.T) {
	b := balancer()
	b.Steer(afterGrace, opening(1, 0))
	b.RemoveGate(address(1))
	b.RemoveGate(address(2))
	wantDecision(t, b.Steer(afterGrace, opening(1, 1)), pollensteer.VerdictDrop, pollenkernel.RefusalNoMember)
	wantDecision(t, b.Steer(afterGrace, opening(2, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
}

// TestSpreadOverStaleLoads guards against uneven placement when the load reports
// are stale: the balancer places 20 flows between two heartbeats.
func TestSpreadOverStaleLoads(t *testing.T) {
	b := balancer()
	counts := map[netip.AddrPort]int{}
	for i := range 1000 {
		if i%20 == 0 {
			for n := 1; n <= 2; n++ {
				p := gate(n, "rings")
				p.Server.Running = counts[address(n)] % 7
				b.SetGate(afterGrace, p)
			}
		}
		counts[b.Steer(afterGrace, opening(uint16(i), 0)).Gate]++
	}
	for a, n := range counts {
		if n < 400 || n > 600 {
			t.Errorf("%s got %d of 1000 flows", a, n)
		}
	}
}
