package pollensteer

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpeer"
)

// available reports whether new flows may be opened at the gate, without regard to the
// limits that depend on the flow and on what was sent since the last heartbeat.
func (b *Balancer) available(now time.Time, g *gate) bool {
	return !g.removed && !g.leaving && !g.unreachable && g.server.State == pollenpeer.ServerReady &&
		now.Sub(g.lastSeen) < b.freshAge && !b.domainEvacuated(g.domain)
}

// usable reports whether a new flow may be opened at the gate. While
// priority.admitting is set, the gate must also admit the priority of that route.
func (b *Balancer) usable(now time.Time, g *gate) bool {
	return b.available(now, g) && (!g.server.Cold || g.server.ColdCapacity > g.sentOpenings) &&
		(b.priority.admitting == nil || g.admits(b.priority.admitting.Priority))
}

func (b *Balancer) domainEvacuated(name pollendocument.DomainName) bool {
	_, found := slices.BinarySearch(b.evacuated, name)
	return found
}

// load estimates the unfinished work at the gate, in requests. The current
// number is often stale by the time it is used, so it counts half; the other
// half is the average over a second, which covers the work that the open flows
// will bring. Opening packets sent since the last heartbeat are added.
func (g *gate) load() float64 {
	return (float64(g.server.Running)+g.server.AverageRunning)/2 + float64(g.sentOpenings)
}

// choose returns a gate for a new flow of the route, or nil if there is none.
// The service is drawn at random by weight; if it has no usable gate, the next
// service of the route that has one is taken. tries and excluded have the same
// meaning as the fields of choice.
func (b *Balancer) choose(now time.Time, k key, r *route, tries int, excluded *gate) *gate {
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
		if g := b.policy(b, &choice{now: now, key: k, gates: gates, tries: tries, excluded: excluded}); g != nil {
			return g
		}
	}
	return nil
}
