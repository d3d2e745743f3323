package pollensteer_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollensteer"
)

// declinedBy passes an opening packet that the gate returned because its server is
// silent.
func declinedBy(b *pollensteer.Balancer, now time.Time, from netip.AddrPort, retransmissions uint32) pollensteer.Decision {
	h := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalServerSilent, Hops: 1}
	return b.HandleDeclined(now, from, h, opening(1, retransmissions))
}

// TestLateDecline guards against an opening packet that a gate declines late, after a
// pause, when a retransmission has opened the flow at another gate: the open flow must
// be neither reset nor sent elsewhere.
func TestLateDecline(t *testing.T) {
	b := balancer()
	first := b.Steer(afterGrace, opening(1, 0)).Gate
	b.Steer(afterGrace.Add(200*time.Millisecond), opening(1, 1))
	opened := b.Steer(afterGrace.Add(600*time.Millisecond), opening(1, 2)).Gate
	if opened == first {
		t.Fatal("the last retransmission went to the same gate")
	}
	b.SetGate(afterGrace, gate(4, "rings"))
	wantDecision(t, declinedBy(b, afterGrace.Add(700*time.Millisecond), first, 1), pollensteer.VerdictDrop, pollenkernel.RefusalServerSilent)
	b.SetView(view(2, "a"))
	late := afterGrace.Add(3500 * time.Millisecond)
	wantDecision(t, declinedBy(b, late, first, 0), pollensteer.VerdictDrop, pollenkernel.RefusalServerSilent)
	if d := b.Steer(late, packet(1)); d.Verdict != pollensteer.VerdictPass || d.Gate != opened {
		t.Fatalf("decision %+v on a packet of the open flow; want it passed to %s", d, opened)
	}
}

// TestLateDeclineElsewhere guards against the same at a balancer that has not seen the
// retransmissions, since they came through others: once the caller may have sent one,
// an opening packet that no gate accepts is not reset.
func TestLateDeclineElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		// another is set if one gate still takes new flows, and declines this one
		// at once.
		another bool
		want    pollensteer.Verdict
	}{
		"at once":                     {after: time.Millisecond, want: pollensteer.VerdictReset},
		"at once, by both":            {after: time.Millisecond, another: true, want: pollensteer.VerdictReset},
		"after a retransmission":      {after: 200 * time.Millisecond, want: pollensteer.VerdictDrop},
		"after a pause":               {after: 3500 * time.Millisecond, want: pollensteer.VerdictDrop},
		"after a pause, then by both": {after: 3500 * time.Millisecond, another: true, want: pollensteer.VerdictDrop},
	} {
		t.Run(name, func(t *testing.T) {
			b := balancer()
			decliner := b.Steer(afterGrace, opening(1, 0)).Gate
			now := afterGrace.Add(c.after)
			if c.another {
				b.SetGate(now, gate(1, "rings"))
				b.SetGate(now, gate(2, "rings"))
				decliner = declinedBy(b, now, decliner, 0).Gate
			}
			b.SetView(view(2, "a"))
			if d := declinedBy(b, now, decliner, 0); d.Verdict != c.want {
				t.Fatalf("decision %+v; want verdict %s", d, c.want)
			}
		})
	}
}

// TestOpeningReadAfterPause guards against a balancer that was paused and resets the
// opening packets that have waited in its socket: their flows may be open by now.
func TestOpeningReadAfterPause(t *testing.T) {
	b := balancer()
	b.SetView(view(2, "a"))
	now := afterGrace
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		b.SetGateKnowledge(now, pollenpeer.FreshAge, true)
	}
	wantDecision(t, b.Steer(now, opening(1, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
	now = now.Add(3500 * time.Millisecond)
	wantDecision(t, b.Steer(now, opening(2, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalNoMember)
	b.SetGateKnowledge(now, pollenpeer.FreshAge, true)
	wantDecision(t, b.Steer(now, opening(3, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalNoMember)
	for range 14 {
		now = now.Add(100 * time.Millisecond)
		b.SetGateKnowledge(now, pollenpeer.FreshAge, true)
	}
	wantDecision(t, b.Steer(now, opening(4, 0)), pollensteer.VerdictReset, pollenkernel.RefusalNoMember)
}
