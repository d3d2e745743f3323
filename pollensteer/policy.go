package pollensteer

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A PolicyName is the name of a policy that chooses the gates of new flows.
type PolicyName string

// Names of policies.
const (
	// PolicyTwoChoices takes the less loaded of two gates that are picked by a hash
	// of the flow's addresses.
	PolicyTwoChoices PolicyName = "two-choices"
	// PolicyLeastWork takes the gate with the least unfinished work.
	PolicyLeastWork PolicyName = "least-work"
	// PolicyLeastFlows takes the gate with the fewest open flows.
	PolicyLeastFlows PolicyName = "least-flows"
	// PolicyHash takes the gate that a hash of the flow's addresses selects.
	PolicyHash PolicyName = "hash"
	// PolicyRandom takes a random gate.
	PolicyRandom PolicyName = "random"
)

// A choice is the input of a policy for one new flow.
type choice struct {
	now time.Time
	key key
	// gates is not empty.
	gates []*gate
	// tries is the number of gates that were tried for the flow before; excluded
	// is the last of them and may be nil.
	tries    int
	excluded *gate
}

// A policy returns a usable gate other than excluded, or nil if there is none.
type policy func(b *Balancer, c *choice) *gate

// policies holds the placement policies. The first is the default; the others
// exist for comparison.
var policies = pollenkernel.NewRegistry[policy]("placement policy")

func init() {
	policies.Register(string(PolicyTwoChoices), 0, (*Balancer).twoChoices)
	policies.Register(string(PolicyLeastWork), 1, func(b *Balancer, c *choice) *gate { return b.least(c, lessLoaded) })
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

// twoChoices returns the less loaded of two usable gates. Taking the least
// loaded of all would send the flows of every balancer to the same gate until
// its next heartbeat. The two are the highest-ranked gates for the flow that
// were not tried yet, so that a balancer without a cached entry for the flow
// finds its holder by querying a few gates.
func (b *Balancer) twoChoices(c *choice) *gate {
	s := b.groupOf(c.gates[0].server.Service)
	b.update(c.now, s)
	if b.local(s) {
		if g := b.nearHome(c, s); g != nil {
			return g
		}
		return b.least(c, lessLoaded)
	}
	if g := b.twoOf(c, c.gates, skipped(c.tries)); g != nil {
		return g
	}
	return b.least(c, lessLoaded)
}

// least compares the usable gates pairwise with better, which returns the
// preferred one of two, and returns the gate that remains, or nil if there is no
// usable gate. The comparison starts at a random gate, so that ties are broken
// at random.
func (b *Balancer) least(c *choice, better func(a, b *gate) *gate) *gate {
	var best *gate
	start := b.random.IntN(len(c.gates))
	for i := range c.gates {
		g := c.gates[(start+i)%len(c.gates)]
		switch {
		case g == c.excluded || !b.usable(c.now, g):
		case best == nil:
			best = g
		default:
			best = better(best, g)
		}
	}
	return best
}

// lessLoaded returns the gate with less unfinished work per slot. A gate whose
// backend server fails requests is taken only if the other one's does as well.
// This covers backend servers whose health checks pass while their responses
// are errors, and still leaves a gate to choose when all backend servers of a
// service fail.
func lessLoaded(a, b *gate) *gate {
	if a.server.Failing != b.server.Failing {
		if a.server.Failing {
			return b
		}
		return a
	}
	if a.relative > 0 && b.relative > 0 {
		return sooner(a, b)
	}
	if b.load()/float64(max(1, b.server.Slots)) < a.load()/float64(max(1, a.server.Slots)) {
		return b
	}
	return a
}

func fewerFlows(a, b *gate) *gate {
	if b.server.Flows+b.sentOpenings < a.server.Flows+a.sentOpenings {
		return b
	}
	return a
}

// byHash returns the highest-ranked usable gate for the flow.
func (b *Balancer) byHash(c *choice) *gate {
	for _, g := range b.rank(c.key, c.gates) {
		if g != c.excluded && b.usable(c.now, g) {
			return g
		}
	}
	return b.least(c, func(a, _ *gate) *gate { return a })
}
