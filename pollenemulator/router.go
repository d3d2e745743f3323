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
	probesMissed = 2
)

// A router spreads the callers' packets of one domain over its balancers.
type router struct {
	w         *world
	balancers []*probed
}

type probed struct {
	host   *host
	missed int
}

func newRouter(w *world) *router {
	r := &router{w: w}
	w.after(0, r.probe)
	return r
}

func (r *router) probe() {
	for _, p := range r.balancers {
		if b := p.host.balancer; b != nil && !p.host.frozen() && b.Ready(r.w.now) {
			p.missed = 0
		} else {
			p.missed++
		}
	}
	r.w.after(probeInterval, r.probe)
}

// choose returns the balancer that gets the flow's packets now.
func (r *router) choose(f pollenpacket.Flow) *host {
	var in []*host
	for _, p := range r.balancers {
		if p.missed < probesMissed {
			in = append(in, p.host)
		}
	}
	if 2*len(in) < len(r.balancers) {
		in = in[:0]
		for _, p := range r.balancers {
			in = append(in, p.host)
		}
	}
	key := pollenlink.AppendFlow(nil, f)
	if r.w.plan.Scheme == SchemeModulo {
		return in[xxhash.Sum64(key)%uint64(len(in))]
	}
	var best *host
	var most uint64
	for _, h := range in {
		if n := xxhash.Sum64(append(key[:len(key):len(key)], h.node.String()...)); best == nil || n > most {
			best, most = h, n
		}
	}
	return best
}
