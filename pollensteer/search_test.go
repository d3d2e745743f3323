package pollensteer_test

import (
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollensteer"
)

// TestSearchesAreBounded replays the return of power at a host with a thin link:
// packets of 500 old flows come within a second, some of them to close.
func TestSearchesAreBounded(t *testing.T) {
	const link, gates = 3.7e6, 65
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1, LinkRate: link})
	b.SetView(view(1))
	for n := range gates {
		b.SetGate(begun, gate(n+1, "rings"))
	}
	questions, closing, refused := 0, 0, 0
	for i := range 500 {
		p := packet(uint16(i))
		p.FIN = i%5 == 0
		switch d := b.Steer(begun.Add(time.Duration(i)*2*time.Millisecond), p); {
		case d.Verdict == pollensteer.VerdictSearch && p.FIN:
			closing += len(d.Gates)
			questions += len(d.Gates)
		case d.Verdict == pollensteer.VerdictSearch:
			questions += len(d.Gates)
		default:
			want(t, d, pollensteer.VerdictDrop, pollenkernel.RefusalSearchLimit)
			refused++
		}
	}
	// A question takes 78 bytes of the link, and a quarter of a second's may be
	// asked at once.
	if bits := float64(questions * 78 * 8); bits > 0.4*link*1.25 || bits < 0.4*link {
		t.Errorf("%d questions take %.2g Mbit of a link of %.2g Mbit/s", questions, bits/1e6, link/1e6)
	}
	if closing > questions/10 || refused == 0 {
		t.Errorf("%d of %d questions are about flows that their callers close; %d searches refused", closing, questions, refused)
	}
}

// TestGatesAreNotAskedTwice has copies of a packet come while its flow is
// searched.
func TestGatesAreNotAskedTwice(t *testing.T) {
	b := balancer()
	want(t, b.Steer(settled, packet(1)), pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow)
	want(t, b.Steer(settled.Add(149*time.Millisecond), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	b.HandleNotFound(settled.Add(150*time.Millisecond), address(1), packet(1))
	again := b.Steer(settled.Add(300*time.Millisecond), packet(1))
	if want(t, again, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(again.Gates) != 1 || again.Gates[0] != address(2) {
		t.Fatalf("asked %v; want the gate that did not answer", again.Gates)
	}
}

// TestNearGatesAreAskedFirst has a balancer that knows nothing of the flows look
// for the gates that another one chose among 52, some of them at the second or
// third try.
func TestNearGatesAreAskedFirst(t *testing.T) {
	const gates, flows, most = 52, 200, 10
	fill := func() *pollensteer.Balancer {
		b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1})
		b.SetView(view(1))
		for n := range gates {
			b.SetGate(settled, gate(n+1, "rings"))
		}
		return b
	}
	first, second := fill(), fill()
	busy := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalDraining}
	for i := range uint16(flows) {
		d := first.Steer(settled, opening(i, 0))
		for busy.Hops = 1; busy.Hops <= uint8(i%3); busy.Hops++ {
			d = first.HandleDeclined(settled, d.Gate, busy, opening(i, 0))
		}
		want(t, d, pollensteer.VerdictPass, "")
		asked := second.Steer(settled, packet(i)).Gates
		if len(asked) > most || !slices.Contains(asked, d.Gate) {
			t.Fatalf("flow %d, opened at try %d: %d gates asked, the holder among them: %t",
				i, i%3, len(asked), slices.Contains(asked, d.Gate))
		}
		// First is told again of the gates that it has learned to avoid.
		for n := range gates {
			first.SetGate(settled, gate(n+1, "rings"))
		}
	}
}

// TestSearchGoesOn has the first gates of a flow not hold it, or not answer.
func TestSearchGoesOn(t *testing.T) {
	const gates = 52
	for name, answer := range map[string]bool{"absent": true, "silent": false} {
		b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: begun, Seed: 1})
		b.SetView(view(1))
		for n := range gates {
			b.SetGate(settled, gate(n+1, "rings"))
		}
		near := slices.Clone(b.Steer(settled, packet(1)).Gates)
		var rest pollensteer.Decision
		if answer {
			for _, a := range near {
				rest = b.HandleNotFound(settled, a, packet(1))
			}
		} else {
			rest = b.Steer(settled.Add(200*time.Millisecond), packet(1))
		}
		expected := gates
		if answer {
			expected = gates - len(near)
		}
		if rest.Verdict != pollensteer.VerdictSearch || len(rest.Gates) != expected {
			t.Errorf("%s: %s with %d gates; want %d", name, rest.Verdict, len(rest.Gates), expected)
		}
	}
}
