package pollensteer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A PolicyName names a way to choose the gate of a new flow.
type PolicyName string

// Names of policies.
const (
	// PolicyTwoChoices takes the less loaded of two gates that are drawn.
	PolicyTwoChoices PolicyName = "two-choices"
	// PolicyLeastWork takes the gate with the least unfinished work of all.
	PolicyLeastWork PolicyName = "least-work"
	// PolicyLeastFlows takes the gate with the fewest open flows.
	PolicyLeastFlows PolicyName = "least-flows"
	// PolicyHash takes the gate that the flow's ends hash to.
	PolicyHash PolicyName = "hash"
	// PolicyRandom draws any gate.
	PolicyRandom PolicyName = "random"
)

// A policy returns a usable gate of the list, which is not empty, other than
// without; or nil when there is none.
type policy func(b *Balancer, now time.Time, k key, gates []*gate, without *gate) *gate

// policies holds the ways to choose; the first is the default, the others are
// there to be compared with it.
var policies = pollenkernel.NewRegistry[policy]("placement policy")

func init() {
	policies.Register(string(PolicyTwoChoices), 0, (*Balancer).twoChoices)
	policies.Register(string(PolicyLeastWork), 1, func(b *Balancer, now time.Time, _ key, gates []*gate, without *gate) *gate {
		return b.least(now, gates, without, lighter)
	})
	policies.Register(string(PolicyLeastFlows), 2, func(b *Balancer, now time.Time, _ key, gates []*gate, without *gate) *gate {
		return b.least(now, gates, without, fewerFlows)
	})
	policies.Register(string(PolicyHash), 3, (*Balancer).byHash)
	policies.Register(string(PolicyRandom), 4, func(b *Balancer, now time.Time, _ key, gates []*gate, without *gate) *gate {
		return b.least(now, gates, without, func(a, _ *gate) *gate { return a })
	})
}

// Policies returns the names of all policies, the default first.
func Policies() []PolicyName {
	var names []PolicyName
	for _, n := range policies.Names() {
		names = append(names, PolicyName(n))
	}
	return names
}

// maxDraws bounds the gates that are looked at before the whole list is: with
// half of the gates usable, one choice in 30,000 needs the list.
const maxDraws = 16

// twoChoices draws two usable gates and returns the one with less unfinished
// work. Taking the best of all would send the flows of every balancer to the
// same gate until its next beat.
func (b *Balancer) twoChoices(now time.Time, _ key, gates []*gate, without *gate) *gate {
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
	return b.least(now, gates, without, lighter)
}

// least returns the usable gate that is better than all others, looked at from
// a random place on.
func (b *Balancer) least(now time.Time, gates []*gate, without *gate, better func(a, b *gate) *gate) *gate {
	var best *gate
	start := b.random.IntN(len(gates))
	for i := range gates {
		g := gates[(start+i)%len(gates)]
		switch {
		case g == without || !b.usable(now, g):
		case best == nil:
			best = g
		default:
			best = better(best, g)
		}
	}
	return best
}

// lighter returns the gate with less unfinished work for each slot. A backend
// server that fails is taken only before another one that does: it answers
// backend servers whose health says nothing of their answers, and leaves no
// service without one however many fail.
func lighter(a, b *gate) *gate {
	if a.server.Failing != b.server.Failing {
		if a.server.Failing {
			return b
		}
		return a
	}
	if b.load()/float64(max(1, b.server.Slots)) < a.load()/float64(max(1, a.server.Slots)) {
		return b
	}
	return a
}

func fewerFlows(a, b *gate) *gate {
	if b.server.Flows+b.sent < a.server.Flows+a.sent {
		return b
	}
	return a
}

// byHash returns the usable gate with the highest hash of its address and the
// flow's ends.
func (b *Balancer) byHash(now time.Time, k key, gates []*gate, without *gate) *gate {
	var best *gate
	var most uint64
	for _, g := range gates {
		if g == without || !b.usable(now, g) {
			continue
		}
		text := g.address.AppendTo(make([]byte, 0, 64))
		if n := xxhash.Sum64(append(text, k[:]...)); best == nil || n > most {
			best, most = g, n
		}
	}
	return best
}
