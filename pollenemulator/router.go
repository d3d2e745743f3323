package pollenemulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Readiness probes of a router.
const (
	probeInterval = 500 * time.Millisecond
	// maxMissedProbes is the number of consecutive failed probes after which a balancer
	// is out of rotation.
	maxMissedProbes = 2
)

// A router distributes the callers' packets of one failure domain over the balancers
// of that domain.
type router struct {
	w         *world
	balancers []*probedBalancer
}

// A probedBalancer is a balancer with the number of its last consecutive failed probes.
type probedBalancer struct {
	host         *host
	missedProbes int
}

// newRouter returns a router without balancers that probes those added to it.
func newRouter(w *world) *router {
	r := &router{w: w}
	w.after(0, r.probe)
	return r
}

// probe probes each balancer once and schedules the next round.
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

// selectBalancer returns the balancer that receives the flow's packets now. If more
// than half of the balancers are out of rotation, it selects among all of them.
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
