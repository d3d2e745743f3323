package pollenemulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Probes of a router.
const (
	probeInterval = 500 * time.Millisecond
	// probesMissed is the number of misses after which a balancer gets nothing.
	maxMissedProbes = 2
)

// A router spreads the callers' packets of one domain over its balancers.
type router struct {
	w         *world
	balancers []*probedBalancer
}

type probedBalancer struct {
	host         *host
	missedProbes int
}

func newRouter(w *world) *router {
	r := &router{w: w}
	w.after(0, r.probe)
	return r
}

func (r *router) probe() {
	for _, p := range r.balancers {
		if b := p.host.balancer; b != nil && !p.host.frozen() && b.Ready(r.w.now) {
			p.missedProbes = 0
		} else {
			p.missedProbes++
		}
	}
	r.w.after(probeInterval, r.probe)
}

// choose returns the balancer that gets the flow's packets now.
func (r *router) selectBalancer(f pollenpacket.Flow) *host {
	var inRotation []*host
	for _, p := range r.balancers {
		if p.missedProbes < maxMissedProbes {
			inRotation = append(inRotation, p.host)
		}
	}
	if 2*len(inRotation) < len(r.balancers) {
		inRotation = inRotation[:0]
		for _, p := range r.balancers {
			inRotation = append(inRotation, p.host)
		}
	}
	key := pollenlink.AppendFlow(nil, f)
	if r.w.plan.Scheme == SchemeModulo {
		return inRotation[xxhash.Sum64(key)%uint64(len(inRotation))]
	}
	var best *host
	var highest uint64
	for _, h := range inRotation {
		if n := xxhash.Sum64(append(key[:len(key):len(key)], h.node.String()...)); best == nil || n > highest {
			best, highest = h, n
		}
	}
	return best
}
