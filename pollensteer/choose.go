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
		now.Sub(g.heard) < pollenpeer.FreshAge && !b.domainEmptied(g.domain) &&
		(!g.server.Cold || g.server.ColdCapacity > g.sent)
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
	return (float64(g.server.Running)+g.server.AverageRunning)/2 + float64(g.sent)
}

// choose returns a gate for a new flow of the route, or nil. The service is
// drawn by the weights, among those that have a usable gate.
func (b *Balancer) choose(now time.Time, k key, r *route, tries int, without *gate) *gate {
	draw := b.random.IntN(r.weight)
	first := 0
	for first < len(r.Shares)-1 && draw >= r.Shares[first].Weight {
		draw -= r.Shares[first].Weight
		first++
	}
	for i := range r.Shares {
		share := r.Shares[(first+i)%len(r.Shares)]
		gates := b.services[share.Service]
		if len(gates) == 0 {
			continue
		}
		if g := b.policy(b, &choice{now: now, key: k, gates: gates, tries: tries, without: without}); g != nil {
			return g
		}
	}
	return nil
}
