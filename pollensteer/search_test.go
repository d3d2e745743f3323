package pollensteer_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollensteer"
)

// TestSearchesAreBounded replays the return of power at a host with a thin link:
// packets of 500 old flows come within a second, some of them to close.
func TestSearchesAreBounded(t *testing.T) {
	const link, gates = 3.7e6, 65
	b := pollensteer.New(pollensteer.Config{Domain: "a", Begun: begun, Seed: 1, Link: link})
	b.SetView(view(1))
	for n := range gates {
		b.SetGate(begun, gate(n+1, "rings"))
	}
	questions, closing, refused := 0, 0, 0
	for i := range 500 {
		p := packet(uint16(i))
		p.Finish = i%5 == 0
		switch d := b.Steer(begun.Add(time.Duration(i)*2*time.Millisecond), p); {
		case d.Verdict == pollensteer.VerdictSearch && p.Finish:
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
	b.Absent(settled.Add(150*time.Millisecond), address(1), packet(1))
	again := b.Steer(settled.Add(300*time.Millisecond), packet(1))
	if want(t, again, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(again.Gates) != 1 || again.Gates[0] != address(2) {
		t.Fatalf("asked %v; want the gate that did not answer", again.Gates)
	}
}
