package pollensteer_test

import (
	"net/netip"
	"testing"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollensteer"
)

// TestBusyGates replays a wave: an opening packet that would be late everywhere
// is left to its copy, which is then placed anew.
func TestBusyGates(t *testing.T) {
	b := balancer()
	d := b.Steer(settled, opening(1, 0))
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots}
	for hops := uint8(1); hops < 3; hops++ {
		h.Hops = hops
		d = b.HandleDeclined(settled, d.Gate, h, opening(1, 0))
		want(t, d, pollensteer.VerdictPass, "")
	}
	h.Hops = 3
	want(t, b.HandleDeclined(settled, d.Gate, h, opening(1, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalNoSlots)
	if again := b.Steer(settled, opening(1, 1)); !again.Placed {
		t.Fatalf("the copy was not placed anew: %+v", again)
	}
}

// TestLastCopyIsRefused replays a wave in which every gate stays busy: after the
// last copy of an opening packet its caller is told at once that nothing ran.
func TestLastCopyIsRefused(t *testing.T) {
	busy := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots, Hops: 3}
	b := balancer()
	for copies := range uint32(3) {
		d := b.Steer(settled, opening(1, copies))
		verdict := pollensteer.VerdictDrop
		if copies == 2 {
			verdict = pollensteer.VerdictReset
		}
		want(t, b.HandleDeclined(settled, d.Gate, busy, opening(1, copies)), verdict, pollenkernel.RefusalNoSlots)
	}
	// One copy did not come back: a backend server may have taken it.
	b = balancer()
	for copies := range uint32(3) {
		d := b.Steer(settled, opening(1, copies))
		if copies != 1 {
			want(t, b.HandleDeclined(settled, d.Gate, busy, opening(1, copies)), pollensteer.VerdictDrop, pollenkernel.RefusalNoSlots)
		}
	}
}

func TestDeclinedOpeningComesToRest(t *testing.T) {
	b := balancer()
	d := b.Steer(settled, opening(1, 0))
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalConnectionLimit}
	b.SetGate(settled, gate(4, "rings"))
	b.SetGate(settled, gate(5, "rings"))
	for hops := uint8(1); hops < 4; hops++ {
		h.Hops = hops
		before := d.Gate
		if d = b.HandleDeclined(settled, before, h, opening(1, 0)); d.Gate == before || d.Verdict != pollensteer.VerdictPass {
			t.Fatalf("hop %d: %+v after %s", hops, d, before)
		}
	}
	h.Hops = 4
	want(t, b.HandleDeclined(settled, d.Gate, h, opening(1, 0)), pollensteer.VerdictReset, pollenkernel.RefusalHopLimit)
}

// TestFailingServerIsAvoided has servers fail: they are taken only where no
// other is.
func TestFailingServerIsAvoided(t *testing.T) {
	b := balancer()
	failing := gate(1, "rings")
	failing.Server.Failing = true
	busy := gate(2, "rings")
	busy.Server.Running, busy.Server.AverageRunning = 9, 9
	b.SetGate(settled, failing)
	b.SetGate(settled, busy)
	for i := range uint16(50) {
		if d := b.Steer(settled, opening(i, 0)); d.Gate != address(2) {
			t.Fatalf("flow opened at %s, whose server fails", d.Gate)
		}
	}
	busy.Server.Failing = true
	b.SetGate(settled, busy)
	b.SetGate(settled, failing)
	if d := b.Steer(settled, opening(100, 0)); d.Gate != address(1) {
		t.Fatalf("flow opened at %s; both servers fail, and the other has less to do", d.Gate)
	}
	// A gate that declines is not drawn again while another is well.
	b.SetGate(settled, gate(1, "rings"))
	b.SetGate(settled, gate(2, "rings"))
	b.SetGate(settled, gate(4, "rings"))
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalBackendFailed, Hops: 1}
	d := b.Steer(settled, opening(200, 0))
	failed := d.Gate
	want(t, b.HandleDeclined(settled, failed, h, opening(200, 0)), pollensteer.VerdictPass, "")
	for i := range uint16(50) {
		if d := b.Steer(settled, opening(300+i, 0)); d.Gate == failed {
			t.Fatalf("flow opened at %s, which declined", d.Gate)
		}
	}
}

// TestCopyIsNeverReset has the only gate leave between an opening packet, which
// it may have taken, and its copy.
func TestCopyIsNeverReset(t *testing.T) {
	b := balancer()
	b.Steer(settled, opening(1, 0))
	b.RemoveGate(address(1))
	b.RemoveGate(address(2))
	want(t, b.Steer(settled, opening(1, 1)), pollensteer.VerdictDrop, pollenkernel.RefusalNoMember)
	want(t, b.Steer(settled, opening(2, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
}

// spread counts the flows that each gate gets when one balancer places them by
// beats that are an interval old.
func TestSpreadOverStaleLoads(t *testing.T) {
	b := balancer()
	counts := map[netip.AddrPort]int{}
	for i := range 1000 {
		if i%20 == 0 {
			for n := 1; n <= 2; n++ {
				p := gate(n, "rings")
				p.Server.Running = counts[address(n)] % 7
				b.SetGate(settled, p)
			}
		}
		counts[b.Steer(settled, opening(uint16(i), 0)).Gate]++
	}
	for a, n := range counts {
		if n < 400 || n > 600 {
			t.Errorf("%s got %d of 1000 flows", a, n)
		}
	}
}
