package pollensteer

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpeer"
)

// usable reports whether a new flow may be opened at the gate.
func (b *Balancer) usable(now time.Time, g *gate) bool {
	return !g.gone && !g.leaving && g.server.State == pollenpeer.ServerReady &&
		now.Sub(g.heard) < pollenpeer.Fresh && !b.domainEmptied(g.domain) &&
		(!g.server.Cold || g.server.Room > g.sent)
}

func (b *Balancer) domainEmptied(name pollendocument.DomainName) bool {
	_, found := slices.BinarySearch(b.emptied, name)
	return found
}

// load estimates the work that is unfinished at the gate, in requests: the
// present number is often outdated by the time it is used, so it counts half,
// and the average over a second, which holds the work that its open flows will
// bring, the other half. Opening packets sent since then are added.
func (g *gate) load() float64 {
	return (float64(g.server.Running)+g.server.Average)/2 + float64(g.sent)
}

// choose returns a gate for a new flow of the route, or nil. The service is
// drawn by the weights, among those that have a usable gate.
func (b *Balancer) choose(now time.Time, r *route, without *gate) *gate {
	draw := b.random.IntN(r.weight)
	first := 0
	for first < len(r.Shares)-1 && draw >= r.Shares[first].Weight {
		draw -= r.Shares[first].Weight
		first++
	}
	for i := range r.Shares {
		share := r.Shares[(first+i)%len(r.Shares)]
		if g := b.chooseOf(now, b.services[share.Service], without); g != nil {
			return g
		}
	}
	return nil
}

// maxDraws bounds the gates that are looked at before the whole list is: with
// half of the gates usable, one choice in 30,000 needs the list.
const maxDraws = 16

// chooseOf draws two usable gates and returns the one with less unfinished
// work. Taking the best of all would send the flows of every balancer to the
// same gate until its next beat.
func (b *Balancer) chooseOf(now time.Time, gates []*gate, without *gate) *gate {
	if len(gates) == 0 {
		return nil
	}
	var first *gate
	for range maxDraws {
		g := gates[b.random.IntN(len(gates))]
		switch {
		case g == first || g == without || !b.usable(now, g):
		case first == nil:
			first = g
		default:
			return lighter(first, g)
		}
	}
	return b.lightest(now, gates, without)
}

// lightest returns the usable gate with the least unfinished work of all, from
// a random place on.
func (b *Balancer) lightest(now time.Time, gates []*gate, without *gate) *gate {
	var best *gate
	start := b.random.IntN(len(gates))
	for i := range gates {
		g := gates[(start+i)%len(gates)]
		switch {
		case g == without || !b.usable(now, g):
		case best == nil:
			best = g
		default:
			best = lighter(best, g)
		}
	}
	return best
}

// lighter returns the gate with less unfinished work for each slot.
func lighter(a, b *gate) *gate {
	if b.load()/float64(max(1, b.server.Slots)) < a.load()/float64(max(1, a.server.Slots)) {
		return b
	}
	return a
}
