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

// A Measure returns how full an agent is, from 0 for idle to 1 for full, and
// whether it has room.
type Measure func(l Load) (fullness float64, room bool)

// FlowFullness measures by open flows.
func FlowFullness(l Load) (fullness float64, room bool) {
	return float64(l.Flows) / float64(max(1, l.FlowLimit)), l.Room()
}

// RequestFullness measures by running and waiting requests.
func RequestFullness(l Load) (fullness float64, room bool) {
	return float64(l.Running+l.Waiting) / float64(max(1, l.Limit)), l.Running < l.Limit
}

// Placements holds the registered placement policies.
var Placements = pollenkernel.NewRegistry[Placement]("placement")

// Names of the placements registered here.
const (
	PlacementTwoChoices = "two-choices"
	PlacementLeast      = "least"
	PlacementHome       = "home"
)

func init() {
	Placements.Register(PlacementLeast, 50, least{})
	Placements.Register(PlacementTwoChoices, 100, twoChoices{})
	Placements.Register(PlacementHome, 900, homeFirst{})
}

// homeFirst keeps the flow unless the agent has no room.
type homeFirst struct{}

// Choose implements Placement.
func (homeFirst) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	if _, room := measure(loads[0]); room {
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
		if _, room := measure(loads[i]); !room {
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
	a, _ := measure(loads[first])
	b, _ := measure(loads[second])
	if b < a {
		return second, true
	}
	return first, true
}

// leastTolerance is how much fuller the agent itself may be than the least
// full one before a flow is passed on, since passing on costs a hop.
const leastTolerance = 0.02

// least takes the least full agent, with a preference for the agent itself.
type least struct{}

// Choose implements Placement.
func (least) Choose(random *rand.Rand, loads []Load, measure Measure) (index int, ok bool) {
	best, bestFullness, ties := -1, 0.0, 0
	for i := range loads {
		fullness, room := measure(loads[i])
		if !room {
			continue
		}
		switch {
		case best < 0 || fullness < bestFullness:
			best, bestFullness, ties = i, fullness, 1
		case fullness == bestFullness:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return 0, false
	}
	if own, room := measure(loads[0]); room && own <= bestFullness+leastTolerance {
		return 0, true
	}
	return best, true
}
