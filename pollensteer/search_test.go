package pollensteer_test

import (
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollensteer"
)

// TestSearchBudget guards against searches that saturate a slow link after a
// power loss: packets of 1,250 old flows, each of which is first searched at four
// gates, arrive within a second. Some of them close their flow.
func TestSearchBudget(t *testing.T) {
	const link, gates = 3.7e6, 65
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1, LinkRate: link})
	b.SetView(view(1))
	for n := range gates {
		b.SetGate(startTime, gate(n+1, "rings"))
	}
	queries, closing, refused := 0, 0, 0
	for i := range 1250 {
		p := packet(uint16(i))
		p.FIN = i%5 == 0
		switch d := b.Steer(startTime.Add(time.Duration(i)*800*time.Microsecond), p); {
		case d.Verdict == pollensteer.VerdictSearch && p.FIN:
			closing += len(d.Gates)
			queries += len(d.Gates)
		case d.Verdict == pollensteer.VerdictSearch:
			queries += len(d.Gates)
		default:
			wantDecision(t, d, pollensteer.VerdictDrop, pollenkernel.RefusalSearchLimit)
			refused++
		}
	}
	// A query takes 78 bytes on the link. Queries may use 0.4 of the link, plus an
	// initial burst of 250 ms.
	if bits := float64(queries * 78 * 8); bits > 0.4*link*1.25 || bits < 0.4*link {
		t.Errorf("%d queries in a second take %.2g Mbit of a link of %.2g Mbit/s", queries, bits/1e6, link/1e6)
	}
	if closing > queries/10 || refused == 0 {
		t.Errorf("%d of %d queries are for flows that their callers close; %d searches refused", closing, queries, refused)
	}
}

// TestGatesAreNotQueriedTwice guards against repeated queries when packets are
// retransmitted during a search: gates are queried again only after the query
// timeout, and only if they did not answer.
func TestGatesAreNotQueriedTwice(t *testing.T) {
	b := balancer()
	wantDecision(t, b.Steer(afterGrace, packet(1)), pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow)
	wantDecision(t, b.Steer(afterGrace.Add(149*time.Millisecond), packet(1)), pollensteer.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	b.HandleNotFound(afterGrace.Add(150*time.Millisecond), address(1), packet(1))
	again := b.Steer(afterGrace.Add(300*time.Millisecond), packet(1))
	if wantDecision(t, again, pollensteer.VerdictSearch, pollenkernel.RefusalUnknownFlow); len(again.Gates) != 1 || again.Gates[0] != address(2) {
		t.Fatalf("queried %v; want only %s, which did not answer", again.Gates, address(2))
	}
}

// TestRankedGatesAreQueriedFirst guards against searches that query all gates.
// One balancer places flows among 52 gates, some of them only at the second or
// third try. Another balancer, which has no cached flows, must find the holder of
// each flow with at most ten queries.
func TestRankedGatesAreQueriedFirst(t *testing.T) {
	const gates, flows, maxQueried = 52, 200, 10
	newBalancer := func() *pollensteer.Balancer {
		b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
		b.SetView(view(1))
		for n := range gates {
			b.SetGate(afterGrace, gate(n+1, "rings"))
		}
		return b
	}
	first, second := newBalancer(), newBalancer()
	declined := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalDraining}
	for i := range uint16(flows) {
		d := first.Steer(afterGrace, opening(i, 0))
		for declined.Hops = 1; declined.Hops <= uint8(i%3); declined.Hops++ {
			d = first.HandleDeclined(afterGrace, d.Gate, declined, opening(i, 0))
		}
		wantDecision(t, d, pollensteer.VerdictPass, "")
		queried := second.Steer(afterGrace, packet(i)).Gates
		if len(queried) > maxQueried || !slices.Contains(queried, d.Gate) {
			t.Fatalf("flow %d, placed after %d refusals: %d gates queried, the holder among them: %t",
				i, i%3, len(queried), slices.Contains(queried, d.Gate))
		}
		// The first balancer receives heartbeats of the gates that it marked as
		// draining.
		for n := range gates {
			first.SetGate(afterGrace, gate(n+1, "rings"))
		}
	}
}

// TestSearchScopeWidens guards against searches that end although more gates may
// hold the flow: the highest-ranked gates do not hold it, or do not answer.
func TestSearchScopeWidens(t *testing.T) {
	const gates = 52
	for name, answer := range map[string]bool{"absent": true, "silent": false} {
		b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
		b.SetView(view(1))
		for n := range gates {
			b.SetGate(afterGrace, gate(n+1, "rings"))
		}
		near := slices.Clone(b.Steer(afterGrace, packet(1)).Gates)
		var rest pollensteer.Decision
		if answer {
			for _, a := range near {
				rest = b.HandleNotFound(afterGrace, a, packet(1))
			}
		} else {
			rest = b.Steer(afterGrace.Add(200*time.Millisecond), packet(1))
		}
		expected := gates
		if answer {
			expected = gates - len(near)
		}
		if rest.Verdict != pollensteer.VerdictSearch || len(rest.Gates) != expected {
			t.Errorf("%s: %s of %d gates; want a search of %d", name, rest.Verdict, len(rest.Gates), expected)
		}
	}
}
