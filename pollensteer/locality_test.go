package pollensteer_test

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollensteer"
)

const (
	loopWork     = 20 * time.Millisecond
	domainGates  = 8
	domainDemand = domainGates * 2 / 0.02 // requests per second that fill all slots of a domain
)

// fourDomains returns a loop of four failure domains with two balancers and eight gates each.
func fourDomains() *loop {
	l := newLoop(loopWork)
	names := []pollendocument.DomainName{"a", "b", "c", "d"}
	for _, n := range names {
		l.addGates(n, domainGates, 1)
	}
	for _, n := range names {
		l.addBalancers(n, 2)
	}
	return l
}

// A tally counts placed flows by home domain and domain of the gate.
type tally map[[2]pollendocument.DomainName]int

func (c tally) add(from pollendocument.DomainName, g *loopGate, _ time.Duration) {
	if g != nil {
		c[[2]pollendocument.DomainName{from, g.peer.Domain}]++
	}
}

func (c tally) from(d pollendocument.DomainName) (total int) {
	for key, n := range c {
		if key[0] == d {
			total += n
		}
	}
	return total
}

func (c tally) at(d pollendocument.DomainName) (total int) {
	for key, n := range c {
		if key[1] == d {
			total += n
		}
	}
	return total
}

// away returns the share of the domain's flows that left it.
func (c tally) away(d pollendocument.DomainName) float64 {
	return 1 - float64(c[[2]pollendocument.DomainName{d, d}])/float64(max(1, c.from(d)))
}

func constant(a, b, c, d float64) func(pollendocument.DomainName) float64 {
	return func(n pollendocument.DomainName) float64 {
		return map[pollendocument.DomainName]float64{"a": a, "b": b, "c": c, "d": d}[n] * domainDemand
	}
}

// TestFlowsStayWhileHomeHasRoom guards against flows that pay for the network between failure
// domains without need, under a steady load of half of the capacity.
func TestFlowsStayWhileHomeHasRoom(t *testing.T) {
	l, placed := fourDomains(), tally{}
	l.run(6*time.Second, constant(0.5, 0.3, 0.5, 0.1), placed.add)
	for _, d := range []pollendocument.DomainName{"a", "b", "c", "d"} {
		if placed.away(d) > 0.005 {
			t.Errorf("%.3f of the flows of %s leave the domain; want none", placed.away(d), d)
		}
	}
}

// TestSpillEqualisesLoads guards against a full domain beside idle ones, and against several full
// domains that send their flows to the same one.
func TestSpillEqualisesLoads(t *testing.T) {
	for name, demand := range map[string][4]float64{
		"one full":   {1.3, 0.4, 0.5, 0.4},
		"two full":   {1.2, 1.2, 0.3, 0.3},
		"three full": {0.9, 1.0, 1.1, 0.2},
	} {
		l, placed := fourDomains(), tally{}
		rates := constant(demand[0], demand[1], demand[2], demand[3])
		l.run(8*time.Second, rates, nil)
		const measured = 6 * time.Second
		l.run(measured, rates, placed.add)
		for i, d := range []pollendocument.DomainName{"a", "b", "c", "d"} {
			load := float64(placed.at(d)) / measured.Seconds() / domainDemand
			t.Logf("%s: %s demands %.2f and serves %.2f, %.2f of its flows leave", name, d, demand[i], load, placed.away(d))
			if load > 0.97 {
				t.Errorf("%s: domain %s serves %.2f of its capacity", name, d, load)
			}
		}
	}
}

// TestSpillFollowsWave guards against a share that flaps, or follows a periodic load late, where the
// demand varies by 55% with a period of 17 s, out of phase between the domains.
func TestSpillFollowsWave(t *testing.T) {
	l, placed := fourDomains(), tally{}
	begin := l.now
	rates := func(n pollendocument.DomainName) float64 {
		phase := map[pollendocument.DomainName]float64{"a": 0, "b": 0.25, "c": 0.5, "d": 0.75}[n]
		return 0.72 * (1 + 0.55*math.Sin(2*math.Pi*(l.now.Sub(begin).Seconds()/17+phase))) * domainDemand
	}
	turns, logged, late, total := 0, 0, 0, 0
	previous, rising := 0.0, false
	var last time.Time
	for range 340 {
		l.run(100*time.Millisecond, rates, func(from pollendocument.DomainName, g *loopGate, took time.Duration) {
			placed.add(from, g, took)
			total++
			if took > 250*time.Millisecond {
				late++
			}
		})
		for _, c := range l.balancers["a"][0].SpillChanges(l.now) {
			logged++
			if l.now.Sub(last) < time.Second || math.Abs(c.New-c.Previous) <= 0.1 || c.Service != "rings" || c.InputAge > time.Second {
				t.Errorf("change %+v reported %s after the one before it", c, l.now.Sub(last))
			}
			last = l.now
			if up := c.New > previous; up != rising {
				turns++
				rising = up
			}
			previous = c.New
		}
	}
	t.Logf("two periods: %d logged changes with %d turns, %d of %d requests late, %.2f of the flows of a leave", logged, turns, late, total, placed.away("a"))
	if turns > 5 || logged > 16 {
		t.Errorf("the share changed %d times and turned %d times in two periods", logged, turns)
	}
}

// TestCallersShift guards against a domain that stays full for seconds after half of the callers of
// another one have moved to it.
func TestCallersShift(t *testing.T) {
	l := fourDomains()
	l.run(4*time.Second, constant(0.7, 0.7, 0.7, 0.7), nil)
	moved := constant(1.05, 0.35, 0.7, 0.7)
	l.run(4*time.Second, moved, nil)
	late, total := 0, 0
	placed := tally{}
	l.run(4*time.Second, moved, func(from pollendocument.DomainName, g *loopGate, took time.Duration) {
		placed.add(from, g, took)
		total++
		if took > 250*time.Millisecond {
			late++
		}
	})
	t.Logf("%d of %d late, %.2f of the flows of a leave", late, total, placed.away("a"))
	if late > total/100 || placed.away("a") < 0.1 {
		t.Errorf("4 s after the shift %d of %d requests are late and %.2f of the flows leave", late, total, placed.away("a"))
	}
}

// homeBalancer returns a balancer of domain a with eight gates at home and eight in each of b and c.
func homeBalancer(change func(p *pollenpeer.Peer)) *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1})
	b.SetView(view(1))
	for n := range 3 * domainGates {
		p := gate(n+1, "rings")
		p.Domain = []pollendocument.DomainName{"a", "b", "c"}[n/domainGates]
		change(p)
		b.SetGate(afterGrace, p)
	}
	return b
}

// domainOf returns the domain of a gate of homeBalancer.
func domainOf(a netip.AddrPort) pollendocument.DomainName {
	n := int(a.Addr().As4()[3]) - 1
	return []pollendocument.DomainName{"a", "b", "c"}[n/domainGates]
}

// TestDomainsWithoutRoom guards against flows that stay at, or go to, a domain that cannot take them:
// its gates are lost, draining or cold, or the domain is evacuated.
func TestDomainsWithoutRoom(t *testing.T) {
	full := func(p *pollenpeer.Peer) {
		if p.Domain == "a" {
			p.Server.Running, p.Server.AverageRunning = 3, 3
		}
	}
	for name, test := range map[string]struct {
		change func(p *pollenpeer.Peer)
		view   []pollendocument.DomainName
		later  time.Duration
		// never is the domain that gets no flow.
		never pollendocument.DomainName
	}{
		"home lost": {change: func(p *pollenpeer.Peer) {
			if p.Domain == "a" {
				p.Server.State = pollenpeer.ServerSilent
			}
		}, never: "a"},
		"no gate of the service at home": {change: func(p *pollenpeer.Peer) {
			if p.Domain == "a" {
				p.Server.Service = "sheets"
			}
		}, never: "a"},
		"home evacuated": {change: full, view: []pollendocument.DomainName{"a"}, never: "a"},
		"away evacuated": {change: full, view: []pollendocument.DomainName{"b"}, never: "b"},
		"away draining": {change: func(p *pollenpeer.Peer) {
			full(p)
			if p.Domain == "b" {
				p.Server.State = pollenpeer.ServerDraining
			}
		}, never: "b"},
		"away cold": {change: func(p *pollenpeer.Peer) {
			full(p)
			if p.Domain == "b" {
				p.Server.Cold, p.Server.ColdCapacity = true, 5
			}
		}, never: "b"},
		"home stale": {change: full, later: pollenpeer.FreshAge, never: "a"},
	} {
		b := homeBalancer(test.change)
		if len(test.view) > 0 {
			b.SetView(view(2, test.view...))
		}
		now := afterGrace.Add(test.later)
		if test.later > 0 {
			for n := domainGates; n < 3*domainGates; n++ {
				p := gate(n+1, "rings")
				p.Domain = domainOf(p.Address)
				b.SetGate(now, p)
			}
		}
		counts := map[pollendocument.DomainName]int{}
		for n := range uint32(300) {
			d := b.Steer(now, nextOpening(n))
			wantDecision(t, d, pollensteer.VerdictPass, "")
			domain := domainOf(d.Gate)
			counts[domain]++
			if d.Away != (domain != "a") {
				t.Fatalf("%s: flow at %s counts as away: %t", name, domain, d.Away)
			}
		}
		if counts[test.never] > 0 || counts["b"]+counts["c"] < 100 {
			t.Errorf("%s: flows by domain %v; want none at %s", name, counts, test.never)
		}
	}
}

// TestBalancersOfDomainAgree guards against searches that query all gates: a second balancer of the
// domain, which has its heartbeats at other times, finds flows that were placed at home, away and
// after refusals with its first query.
func TestBalancersOfDomainAgree(t *testing.T) {
	l := fourDomains()
	rates := constant(1.3, 0.4, 0.5, 0.4)
	l.run(6*time.Second, rates, nil)
	first, second, other := l.balancers["a"][0], l.balancers["a"][1], l.balancers["b"][0]
	declined := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots}
	const flows = 1000
	found, away, same, wide := 0, 0, 0, 0
	for n := range uint32(flows) {
		p := nextOpening(1<<20 + n)
		d := first.Steer(l.now, p)
		if twin := second.Steer(l.now, nextOpening(1<<20+n)); domainOfLoop(l, twin.Gate) == domainOfLoop(l, d.Gate) {
			same++
		}
		for declined.Hops = 1; declined.Hops <= uint8(n%3); declined.Hops++ {
			d = first.HandleDeclined(l.now, d.Gate, declined, p)
		}
		if d.Away {
			away++
		}
		p.SYN, p.ACK, p.Acknowledged = false, true, 7
		queried := freshTwin(l, "a").Steer(l.now, p).Gates
		if len(queried) > 10 {
			t.Fatalf("%d gates queried", len(queried))
		}
		if slices.Contains(queried, d.Gate) {
			found++
		}
		// A balancer of another domain finds the flow at the latest in the scope of the route.
		q := other.Steer(l.now, p).Gates
		q = append(slices.Clone(q), other.Steer(l.now.Add(200*time.Millisecond), p).Gates...)
		if slices.Contains(q, d.Gate) {
			wide++
		}
		if n%5 == 4 {
			l.refresh()
		}
	}
	t.Logf("%d of %d found with the first query, %d away, %d in the same domain, %d found from another domain", found, flows, away, same, wide)
	if found < flows*99/100 || away < flows/10 || same < flows*9/10 || wide != flows {
		t.Errorf("%d of %d found with the first query, %d away, %d in the same domain, %d found from another domain", found, flows, away, same, wide)
	}
}

func domainOfLoop(l *loop, a netip.AddrPort) pollendocument.DomainName { return l.gates[a].peer.Domain }

// freshTwin returns a balancer of the domain without cached flows and without a share of its own.
func freshTwin(l *loop, d pollendocument.DomainName) *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: d, StartTime: startTime, Seed: 9})
	b.SetView(view(1))
	for _, a := range l.order {
		b.SetGate(l.now, l.gates[a].peer)
	}
	return b
}

// refresh delivers a heartbeat of every gate to every balancer.
func (l *loop) refresh() {
	for _, list := range l.balancers {
		for _, b := range list {
			for _, a := range l.order {
				b.SetGate(l.now, l.gates[a].peer)
			}
		}
	}
}

// TestOneDomainIsRankedAsBefore guards against a changed placement where all gates of a service are in
// one domain: the balancer's domain does not matter then.
func TestOneDomainIsRankedAsBefore(t *testing.T) {
	balancerIn := func(d pollendocument.DomainName) *pollensteer.Balancer {
		b := pollensteer.New(pollensteer.Config{Domain: d, StartTime: startTime, Seed: 1})
		b.SetView(view(1))
		for n := range 20 {
			b.SetGate(afterGrace, gate(n+1, "rings"))
		}
		return b
	}
	home, away, none := balancerIn("a"), balancerIn("b"), balancerIn("")
	for n := range uint32(200) {
		p := nextOpening(n)
		want := none.Steer(afterGrace, p).Gate
		if g, h := home.Steer(afterGrace, p).Gate, away.Steer(afterGrace, p).Gate; g != want || h != want {
			t.Fatalf("flow %d placed at %s and %s; want %s", n, g, h, want)
		}
	}
}
