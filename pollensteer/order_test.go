package pollensteer_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollensteer"
)

// slowBalancer returns a balancer on a host with a link of 2.8 Mbit/s that knows the
// number of gates of rings, and two of sheets.
func slowBalancer(gates int) *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1, LinkRate: 2.8e6})
	b.SetView(view(1))
	for n := range gates {
		b.SetGate(afterGrace, gate(n+1, "rings"))
	}
	b.SetGate(afterGrace, gate(201, "sheets"))
	b.SetGate(afterGrace, gate(202, "sheets"))
	return b
}

// TestSlowLinkSearchesInSteps guards against searches that fill a low-bandwidth link with
// queries: the four highest-ranked gates are queried first, then ten, then those of the
// route, then all, as the gates rule the flow out.
func TestSlowLinkSearchesInSteps(t *testing.T) {
	b := slowBalancer(20)
	d := b.Steer(afterGrace, packet(1))
	for step, want := range []int{4, 6, 10, 2} {
		if repeats := b.RepeatSearches(afterGrace); step > 1 && len(repeats) == 1 {
			// Queries of wide scopes wait for the next batch.
			d = repeats[0].Decision
		}
		if d.Verdict != pollensteer.VerdictSearch || len(d.Gates) != want {
			t.Fatalf("step %d: %s of %v; want a search of %d gates", step, d.Verdict, d.Gates, want)
		}
		for _, a := range slices.Clone(d.Gates) {
			d = b.HandleFlowNotFound(afterGrace, a, packet(1))
		}
	}
	wantDecision(t, d, pollensteer.VerdictReset, pollenkernel.RefusalUnknownFlow)
}

// TestSlowLinkRepeatsBeforeItWidens guards against lost queries that widen a search: each
// scope is queried twice before the next, driven by ticks and not by the caller, whose
// retransmissions are up to 800 ms apart. Ticks continue for a second and query the wide
// scope three times at most.
func TestSlowLinkRepeatsBeforeItWidens(t *testing.T) {
	b := slowBalancer(20)
	sizes := []int{len(b.Steer(afterGrace, packet(1)).Gates)}
	last := time.Duration(0)
	for age := 100 * time.Millisecond; age < 3*time.Second; age += 100 * time.Millisecond {
		for _, r := range b.RepeatSearches(afterGrace.Add(age)) {
			if r.Decision.Verdict == pollensteer.VerdictSearch {
				sizes, last = append(sizes, len(r.Decision.Gates)), age
			}
		}
	}
	if want := []int{4, 4, 10, 10, 20, 20, 20}; !slices.Equal(sizes, want) {
		t.Errorf("rounds of %v gates; want %v", sizes, want)
	}
	if last >= time.Second {
		t.Errorf("last queries %s after the caller's only packet; want less than a second", last)
	}
}

// TestQueriesOfWideScopeRotate guards against a full link that drops the end of each burst
// of queries and thus loses those to the same gates in every round: no gate may be in the
// last third of all three rounds.
func TestQueriesOfWideScopeRotate(t *testing.T) {
	const gates = 60
	b := slowBalancer(gates)
	b.Steer(afterGrace, packet(1))
	ends := map[netip.AddrPort]int{}
	rounds := 0
	for age := 200 * time.Millisecond; rounds < 3 && age < 5*time.Second; age += 200 * time.Millisecond {
		b.Steer(afterGrace.Add(age), packet(1))
		for _, r := range b.RepeatSearches(afterGrace.Add(age)) {
			if len(r.Decision.Gates) < gates {
				continue
			}
			rounds++
			for _, a := range r.Decision.Gates[2*gates/3:] {
				ends[a]++
			}
		}
	}
	for a, n := range ends {
		if n == 3 {
			t.Errorf("%s is in the last third of all three rounds", a)
		}
	}
	if rounds != 3 {
		t.Errorf("%d rounds of the wide scope; want 3", rounds)
	}
}

// TestLostQueriesDoNotMultiply guards against searches that widen because a full link lost
// their first queries, and thereby fill it: 150 flows move to a balancer at once, and every
// second query of the first two rounds is lost.
func TestLostQueriesDoNotMultiply(t *testing.T) {
	const flows, gates = 150, 50
	b := slowBalancer(gates)
	queries, found := 0, map[uint16]bool{}
	var ask func(now time.Time, port uint16, d pollensteer.Decision, holder netip.AddrPort, lost bool)
	ask = func(now time.Time, port uint16, d pollensteer.Decision, holder netip.AddrPort, lost bool) {
		queries += len(d.Gates)
		for i, a := range d.Gates {
			switch {
			case lost && i%2 == 0:
			case a == holder:
				b.RecordHolder(now, a, packet(port).Flow)
				found[port] = true
			default:
				ask(now, port, b.HandleFlowNotFound(now, a, packet(port)), holder, lost)
			}
		}
	}
	holders := map[uint16]netip.AddrPort{}
	for port := range uint16(flows) {
		// The flow was placed by another balancer.
		holders[port] = slowBalancer(gates).Steer(afterGrace, opening(port, 0)).Gate
		ask(afterGrace, port, b.Steer(afterGrace, packet(port)), holders[port], true)
	}
	for tick := range 10 {
		now := afterGrace.Add(time.Duration(tick+1) * 100 * time.Millisecond)
		for _, r := range b.RepeatSearches(now) {
			port := r.Packet.Flow.Caller.Port()
			ask(now, port, r.Decision, holders[port], tick == 0)
		}
	}
	if len(found) < flows {
		t.Errorf("%d of %d flows found within a second", len(found), flows)
	}
	t.Logf("%d queries for %d flows", queries, flows)
	if queries > 12*flows {
		t.Errorf("%d queries for %d flows; want at most 12 for each", queries, flows)
	}
}

// TestSlowLinkSearchBudget guards against searches that saturate a low-bandwidth link: the
// packets of 2,000 old flows arrive within a second, some of which close their flow. It
// covers the order of queries in which TestSearchBudget's 500 flows no longer exhaust the
// budget.
func TestSlowLinkSearchBudget(t *testing.T) {
	const link, flows = 2.8e6, 2000
	b := slowBalancer(62)
	size, queries, closing, refused := 0, 0, 0, 0
	for i := range flows {
		now := afterGrace.Add(time.Duration(i) * time.Second / flows)
		p := packet(uint16(i))
		p.FIN = i%5 == 0
		d := b.Steer(now, p)
		queries += len(d.Gates)
		size += 78 * len(d.Gates)
		switch {
		case d.Verdict == pollensteer.VerdictSearch && p.FIN:
			closing += len(d.Gates)
		case d.Verdict != pollensteer.VerdictSearch:
			wantDecision(t, d, pollensteer.VerdictDrop, pollenkernel.RefusalSearchLimit)
			refused++
		}
		if i%(flows/10) == flows/10-1 {
			batch := map[netip.AddrPort]int{}
			for _, r := range b.RepeatSearches(now) {
				queries += len(r.Decision.Gates)
				for _, a := range r.Decision.Gates {
					if batch[a]%60 == 0 {
						size += 62
					}
					size += 16
					batch[a]++
				}
			}
		}
	}
	if bits := float64(size * 8); bits > 0.4*link*1.25 || bits < 0.4*link {
		t.Errorf("%d queries in a second take %.2g Mbit of a link of %.2g Mbit/s", queries, bits/1e6, link/1e6)
	}
	if closing > queries/10 || refused == 0 {
		t.Errorf("%d of %d queries are for flows that their callers close; %d searches refused", closing, queries, refused)
	}
}
