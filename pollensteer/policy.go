package pollensteer

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A PolicyName names a way to choose the gate of a new flow.
type PolicyName string

// Names of policies.
const (
	// PolicyTwoChoices takes the less loaded of two gates that the flow's ends
	// hash to.
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

// A choice is what a policy chooses for.
type choice struct {
	now time.Time
	key key
	// gates is not empty.
	gates []*gate
	// tries is the number of gates that were tried before, without the last.
	tries   int
	without *gate
}

// A policy returns a usable gate other than without, or nil when there is none.
type policy func(b *Balancer, c *choice) *gate

// policies holds the ways to choose; the first is the default, the others are
// there to be compared with it.
var policies = pollenkernel.NewRegistry[policy]("placement policy")

func init() {
	policies.Register(string(PolicyTwoChoices), 0, (*Balancer).twoChoices)
	policies.Register(string(PolicyLeastWork), 1, func(b *Balancer, c *choice) *gate { return b.least(c, lighter) })
	policies.Register(string(PolicyLeastFlows), 2, func(b *Balancer, c *choice) *gate { return b.least(c, fewerFlows) })
	policies.Register(string(PolicyHash), 3, (*Balancer).byHash)
	policies.Register(string(PolicyRandom), 4, func(b *Balancer, c *choice) *gate {
		return b.least(c, func(a, _ *gate) *gate { return a })
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

// twoChoices returns the one with less unfinished work of two usable gates.
// Taking the best of all would send the flows of every balancer to the same gate
// until its next beat. The two are the next in the flow's rank that were not
// tried, so that a balancer which knows nothing of the flow finds it by asking a
// few gates.
func (b *Balancer) twoChoices(c *choice) *gate {
	var first *gate
	// The gate that was tried last is not counted.
	skip := max(0, 2*c.tries-1)
	for _, g := range b.rank(c.key, c.gates) {
		if g == c.without || !b.usable(c.now, g) {
			continue
		}
		switch {
		case skip > 0:
			skip--
		case first == nil:
			first = g
		default:
			return lighter(first, g)
		}
	}
	if first != nil {
		return first
	}
	return b.least(c, lighter)
}

// least returns the usable gate that is better than all others, looked at from
// a random place on.
func (b *Balancer) least(c *choice, better func(a, b *gate) *gate) *gate {
	var best *gate
	start := b.random.IntN(len(c.gates))
	for i := range c.gates {
		g := c.gates[(start+i)%len(c.gates)]
		switch {
		case g == c.without || !b.usable(c.now, g):
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

// byHash returns the first usable gate of the flow's rank.
func (b *Balancer) byHash(c *choice) *gate {
	for _, g := range b.rank(c.key, c.gates) {
		if g != c.without && b.usable(c.now, g) {
			return g
		}
	}
	return b.least(c, func(a, _ *gate) *gate { return a })
}
