package pollenflow

import (
	"math/rand/v2"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A Placement chooses the agent for a new flow or request.
type Placement interface {
	// Choose returns the index of the chosen agent's load, or false if no agent
	// has room. The first load is that of the deciding agent itself.
	Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool)
}

// A Utilization is the amount of work of an agent, its capacity in the same
// unit, and whether it has room for more.
type Utilization struct {
	Work, Capacity int
	HasRoom        bool
}

// fraction returns the work plus extra units as a fraction of the capacity.
func (u Utilization) fraction(extra float64) float64 {
	return (float64(u.Work) + extra) / float64(max(1, u.Capacity))
}

// A Measure returns the utilization of an agent.
type Measure func(l Load) Utilization

// FlowUtilization returns the utilization by open flows.
func FlowUtilization(l Load) Utilization {
	return Utilization{Work: l.Flows, Capacity: l.ConnectionLimit, HasRoom: l.HasRoom()}
}

// RequestUtilization returns the utilization by running and queued requests.
func RequestUtilization(l Load) Utilization {
	return Utilization{Work: l.Running + l.Queued, Capacity: l.Limit, HasRoom: l.Running < l.Limit}
}

// Placements holds the registered placement policies.
var Placements = pollenkernel.NewRegistry[Placement]("placement")

// Names of the placements registered here, as used in settings. PlacementOwner
// prefers the deciding agent, which is the directory owner for flows.
const (
	PlacementTwoChoices = "two-choices"
	PlacementLeast      = "least"
	PlacementOwner      = "home"
)

func init() {
	Placements.Register(PlacementLeast, 50, least{})
	Placements.Register(PlacementTwoChoices, 100, twoChoices{})
	Placements.Register(PlacementOwner, 900, ownerFirst{})
}

// ownerFirst chooses the deciding agent unless it has no room, and otherwise
// places like twoChoices.
type ownerFirst struct{}

// Choose implements Placement.
func (ownerFirst) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	if measure(loads[0]).HasRoom {
		return 0, true
	}
	return twoChoices{}.Choose(random, loads, measure)
}

// twoChoices chooses the less utilized of two random agents with room.
type twoChoices struct{}

// Choose implements Placement.
func (twoChoices) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	first, second := -1, -1
	seen := 0
	for i := range loads {
		if !measure(loads[i]).HasRoom {
			continue
		}
		// Reservoir sampling of two positions among those with room.
		seen++
		switch {
		case first < 0:
			first = i
		case second < 0:
			second = i
		default:
			switch at := random.IntN(seen); at {
			case 0:
				first = i
			case 1:
				second = i
			}
		}
	}
	if first < 0 {
		return 0, false
	}
	if second < 0 {
		return first, true
	}
	if measure(loads[second]).fraction(0) < measure(loads[first]).fraction(0) {
		return second, true
	}
	return first, true
}

// leastTolerance makes least prefer the deciding agent, since forwarding costs a
// hop: that agent is chosen while its utilization does not exceed the one that
// the least utilized agent would have with leastTolerance times its work plus
// one unit.
const leastTolerance = 1.05

// least chooses the least utilized agent with room, with a preference for the
// deciding agent. Ties are broken at random.
type least struct{}

// Choose implements Placement.
func (least) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	best, ties := -1, 0
	var bestUtilization Utilization
	for i := range loads {
		utilization := measure(loads[i])
		if !utilization.HasRoom {
			continue
		}
		switch {
		case best < 0 || utilization.fraction(0) < bestUtilization.fraction(0):
			best, bestUtilization, ties = i, utilization, 1
		case utilization.fraction(0) == bestUtilization.fraction(0):
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return 0, false
	}
	own := measure(loads[0])
	slack := float64(bestUtilization.Work)*(leastTolerance-1) + 1
	if own.HasRoom && own.fraction(0) <= bestUtilization.fraction(slack) {
		return 0, true
	}
	return best, true
}
