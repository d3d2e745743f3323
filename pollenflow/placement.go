package pollenflow

import (
	"math/rand/v2"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A Placement chooses where a new flow or request goes.
type Placement interface {
	// Choose returns the index of the chosen load, or false when none has
	// room. The first load is the agent's own.
	Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool)
}

// A Fullness says how much work an agent has, of how much it may have, and
// whether it has room for more.
type Utilization struct {
	Work, Capacity int
	HasRoom        bool
}

// share returns the part of the capacity that the work with extra units more
// takes.
func (f Utilization) fraction(extra float64) float64 {
	return (float64(f.Work) + extra) / float64(max(1, f.Capacity))
}

// A Measure returns how full an agent is.
type Measure func(l Load) Utilization

// FlowFullness measures by open flows.
func FlowUtilization(l Load) Utilization {
	return Utilization{Work: l.Flows, Capacity: l.FlowLimit, HasRoom: l.HasRoom()}
}

// RequestFullness measures by running and waiting requests.
func RequestUtilization(l Load) Utilization {
	return Utilization{Work: l.Running + l.Waiting, Capacity: l.Limit, HasRoom: l.Running < l.Limit}
}

// Placements holds the registered placement policies.
var Placements = pollenkernel.NewRegistry[Placement]("placement")

// Names of the placements registered here.
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

// homeFirst keeps the flow unless the agent has no room.
type ownerFirst struct{}

// Choose implements Placement.
func (ownerFirst) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	if measure(loads[0]).HasRoom {
		return 0, true
	}
	return twoChoices{}.Choose(random, loads, measure)
}

// twoChoices takes the less full of two agents drawn at random.
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

// An agent keeps what it could pass on while it has no more than
// leastTolerance times the work of the least full agent and one unit more,
// since passing on costs a hop.
const leastTolerance = 1.05

// least takes the least full agent, with a preference for the agent itself.
type least struct{}

// Choose implements Placement.
func (least) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	best, ties := -1, 0
	var bestFullness Utilization
	for i := range loads {
		fullness := measure(loads[i])
		if !fullness.HasRoom {
			continue
		}
		switch {
		case best < 0 || fullness.fraction(0) < bestFullness.fraction(0):
			best, bestFullness, ties = i, fullness, 1
		case fullness.fraction(0) == bestFullness.fraction(0):
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
	slack := float64(bestFullness.Work)*(leastTolerance-1) + 1
	if own.HasRoom && own.fraction(0) <= bestFullness.fraction(slack) {
		return 0, true
	}
	return best, true
}
