package pollensteer_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollensteer"
)

// Priority of the route feed in these tests.
const feedPriority = 2

// closableBalancer returns a balancer that has known its gates for long, as a reset
// requires, and whose route feed has feedPriority. Gates 1 and 2 admit priorities below
// the given ones.
func closableBalancer(now time.Time, admitBelow ...int) *pollensteer.Balancer {
	b := balancer()
	v := view(2)
	v.Declared.Routes[0].Priority = feedPriority
	b.SetView(v)
	stateLevels(b, now, admitBelow...)
	return b
}

// stateLevels handles heartbeats of gates 1 and 2.
func stateLevels(b *pollensteer.Balancer, now time.Time, admitBelow ...int) {
	for i, below := range admitBelow {
		p := gate(i+1, "rings")
		p.Server.AdmitBelow = below
		b.SetGate(now, p)
	}
}

// Load pattern: more requests than slots at some gates. Flows must go to the gates that
// admit their priority, however loaded, or each is declined before it reaches one of them.
func TestGatesThatAdmitThePriorityArePreferred(t *testing.T) {
	b := closableBalancer(afterGrace, feedPriority, feedPriority+1)
	for i := range uint16(100) {
		d := b.Steer(afterGrace, opening(i, 0))
		wantDecision(t, d, pollensteer.VerdictPass, "")
		if d.Gate != address(2) || d.Minimum {
			t.Fatalf("decision %+v; want gate %s, which admits the flow", d, address(2))
		}
	}
}

// Load pattern: more requests than slots at all gates. Flows that no gate admits must be
// reset at once instead of being passed to three gates, one in ten excepted, which must
// not be reset on their way. Flows of other priorities are placed as usual.
func TestFlowsThatNoGateAdmitsAreReset(t *testing.T) {
	b := closableBalancer(afterGrace, feedPriority, feedPriority)
	passed := 0
	for i := range uint16(200) {
		d := b.Steer(afterGrace, opening(i, 0))
		if d.Verdict != pollensteer.VerdictPass {
			wantDecision(t, d, pollensteer.VerdictReset, pollenkernel.RefusalPriority)
			continue
		}
		passed++
		busy := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots, Hops: 1}
		again := b.HandleDeclined(afterGrace, d.Gate, busy, opening(i, 0))
		wantDecision(t, again, pollensteer.VerdictPass, "")
		retransmitted := b.Steer(afterGrace, opening(i, 1))
		if !d.Minimum || !again.Minimum || !retransmitted.Minimum {
			t.Fatalf("decisions %+v, %+v, %+v; want all to be marked as the minimum", d, again, retransmitted)
		}
	}
	if passed != 20 {
		t.Fatalf("%d of 200 flows passed to a gate; want one in ten", passed)
	}
	p := opening(1, 0)
	p.Flow.Service = sheets
	wantDecision(t, b.Steer(afterGrace, p), pollensteer.VerdictPass, "")
	stateLevels(b, afterGrace, feedPriority+1, feedPriority-1)
	if d := b.Steer(afterGrace, opening(999, 0)); d.Gate != address(1) {
		t.Fatalf("decision %+v after a gate admits the priority again; want gate %s", d, address(1))
	}
}

// A flow that may have opened must not be reset: a retransmission is passed to a gate
// that does not admit it, and is dropped once that gate declines it; a first transmission
// that waited for longer than the caller's first interval is dropped.
func TestPriorityNeverResetsFlowsThatMayHaveOpened(t *testing.T) {
	b := closableBalancer(afterGrace, 0, 0)
	first := b.Steer(afterGrace, opening(1, 0))
	stateLevels(b, afterGrace, feedPriority, feedPriority)
	again := b.Steer(afterGrace, opening(1, 1))
	if wantDecision(t, again, pollensteer.VerdictPass, ""); again.Gate != first.Gate {
		t.Fatalf("retransmission passed to %s; want %s", again.Gate, first.Gate)
	}
	b.Steer(afterGrace, opening(3, 0)) // Passed as the minimum, which is then used up.
	wantDecision(t, b.Steer(afterGrace, opening(2, 1)), pollensteer.VerdictPass, "")
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalPriority, Hops: 1}
	wantDecision(t, b.HandleDeclined(afterGrace, first.Gate, h, opening(1, 1)), pollensteer.VerdictDrop, pollenkernel.RefusalPriority)
	b = closableBalancer(afterGrace, 0, 0)
	first = b.Steer(afterGrace, opening(4, 0))
	stateLevels(b, afterGrace, feedPriority, feedPriority)
	b.Steer(afterGrace, opening(5, 0))
	late := afterGrace.Add(200 * time.Millisecond)
	wantDecision(t, b.HandleDeclined(late, first.Gate, h, opening(4, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalPriority)
}

// The heartbeat that states a level is lost, and the balancer has the old one. The first
// declined flows must tell it, and the next heartbeat must open the gates again.
func TestLostLevel(t *testing.T) {
	b := closableBalancer(afterGrace, 0, 0)
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalPriority, Hops: 1}
	d := b.Steer(afterGrace, opening(1, 0))
	other := b.HandleDeclined(afterGrace, d.Gate, h, opening(1, 0))
	if wantDecision(t, other, pollensteer.VerdictPass, ""); other.Gate == d.Gate {
		t.Fatalf("flow passed to %s again, which declined it", d.Gate)
	}
	h.Hops = 2
	// The first flow that no gate admits is passed as the minimum, the next ones are reset.
	wantDecision(t, b.HandleDeclined(afterGrace, other.Gate, h, opening(1, 0)), pollensteer.VerdictPass, "")
	wantDecision(t, b.Steer(afterGrace, opening(2, 0)), pollensteer.VerdictReset, pollenkernel.RefusalPriority)
	stateLevels(b, afterGrace, 0, 0)
	for i := range uint16(20) {
		if d := b.Steer(afterGrace, opening(10+i, 0)); d.Verdict != pollensteer.VerdictPass || d.Minimum {
			t.Fatalf("decision %+v after the level opened; want the flow passed", d)
		}
	}
}

// Load pattern: the gates of one failure domain decline a priority while its servers have
// room. The share of flows that leave the domain must not depend on the priority of the
// flow that is placed when it is computed, or urgent flows leave too.
func TestClosedGatesAreRoomForUrgentFlows(t *testing.T) {
	b := closableBalancer(afterGrace)
	now := afterGrace
	for n := range 8 {
		p := gate(n+10, "rings")
		if n >= 4 {
			p.Domain = "b"
		} else {
			p.Server.AdmitBelow = feedPriority
		}
		b.SetGate(now, p)
	}
	stateLevels(b, now, feedPriority, feedPriority)
	for i := range uint16(50) {
		now = now.Add(20 * time.Millisecond)
		b.Steer(now, opening(i, 0))
	}
	for _, change := range b.SpillChanges(now) {
		t.Errorf("%s: share of %.2f leaves, load at home %.2f", change.Service, change.New, change.HomeLoad)
	}
}

// Load pattern: the only gate that admits a flow is busy. The opening packet must be left to
// its retransmission, since a reset would use up one of the caller's tries.
func TestBusyGateIsTriedAgain(t *testing.T) {
	b := closableBalancer(afterGrace, feedPriority, feedPriority)
	// The first flow that no gate admits is passed as the minimum share.
	b.Steer(afterGrace, opening(0, 0))
	stateLevels(b, afterGrace, 0, feedPriority)
	d := b.Steer(afterGrace, opening(1, 0))
	busy := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots, Hops: 1}
	wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, busy, opening(1, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalNoSlots)
}
