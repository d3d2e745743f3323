// Package pollenlocality decides which share of a failure domain's new flows of a service
// leaves the domain, and to which domains they go. It is computed from the loads that
// gates state in their heartbeats, so that all balancers of a domain come to nearly the
// same result without messages among them.
package pollenlocality

import (
	"math"
	"time"
)

// Limits of the decision.
const (
	// stayLoad is the load per slot up to which all flows stay, and fullLoad the one from
	// which as many leave as make the loads equal. The time that a request waits at
	// stayLoad is about that of a round trip between failure domains.
	stayLoad = 0.7
	fullLoad = 1
	// smoothing is the time constant of the share and of the rooms: several heartbeat
	// intervals, so that the balancers react to each other's flows before they send more.
	smoothing = 2 * time.Second
	// UpdateInterval is the minimum time between two computations for a service.
	UpdateInterval = 200 * time.Millisecond
	// minCarried bounds the estimate of the demand while nearly all flows are away.
	minCarried = 0.1
	// lostMargin keeps a small room in the fullest domain where the flows of a domain
	// without a usable gate have to go anyway.
	lostMargin = 0.1
)

// A Domain is the state of one failure domain with respect to a service.
type Domain struct {
	// Capacity is the sum of the slots of the usable gates, weighted by their speed. It is
	// zero if the domain has no usable gate.
	Capacity float64
	// Load is the mean load per slot over these gates, weighted by capacity.
	Load float64
	// Carried is the share of the home domain's own traffic that is in this domain.
	Carried float64
}

// A Spill holds the share of one service that leaves the home domain. The zero value is
// ready to use.
type Spill struct {
	share float64
	// rooms has one entry for each other domain, in the order given to Update.
	rooms []float64
	// target backs the result of targetOf.
	target  []float64
	updated time.Time
}

// Due reports whether UpdateInterval has passed since the last update.
func (s *Spill) Due(now time.Time) bool { return now.Sub(s.updated) >= UpdateInterval }

// Share returns the share of the new flows that leaves the home domain, from 0 to 1.
func (s *Spill) Share() float64 { return s.share }

// Room returns the spare capacity of the other domain at the index, for comparison with
// those of the others.
func (s *Spill) Room(i int) float64 {
	if i >= len(s.rooms) {
		return 0
	}
	return s.rooms[i]
}

// Reset discards the rooms because the list of other domains has changed. The next update
// computes them without smoothing; the share is kept.
func (s *Spill) Reset() { s.rooms, s.updated = nil, time.Time{} }

// Update computes the share and the rooms from the home domain and the other domains.
func (s *Spill) Update(now time.Time, home Domain, away []Domain) {
	target := s.targetOf(home, away)
	weight := 1.0
	if !s.updated.IsZero() && len(s.rooms) == len(away) {
		weight = 1 - math.Exp(-now.Sub(s.updated).Seconds()/smoothing.Seconds())
	} else {
		s.rooms = make([]float64, len(away))
	}
	s.updated = now
	usable := false
	for i := range away {
		usable = usable || away[i].Capacity > 0
		s.rooms[i] += (s.target[i] - s.rooms[i]) * weight
		if away[i].Capacity == 0 {
			s.rooms[i] = 0
		}
	}
	switch {
	case !usable:
		s.share = 0
	case home.Capacity == 0:
		s.share = 1
	default:
		s.share += (target - s.share) * weight
	}
}

// targetOf returns the share that is right for the present loads and sets s.target to the
// rooms. The loads are first taken back to what they would be without this domain's spill;
// the share would otherwise fall to zero as soon as it has taken effect, and rise again.
func (s *Spill) targetOf(home Domain, away []Domain) float64 {
	s.target = append(s.target[:0], make([]float64, len(away))...)
	if home.Capacity == 0 {
		highest := 1.0
		for _, d := range away {
			highest = max(highest, d.Load)
		}
		for i, d := range away {
			s.target[i] = (highest + lostMargin - d.Load) * d.Capacity
		}
		return 1
	}
	demand := home.Load * home.Capacity / max(minCarried, home.Carried)
	without := func(d Domain) float64 { return max(0, d.Load*d.Capacity-demand*d.Carried) }
	// level is the load per slot at which the home domain and the domains below the level
	// are equal. A domain above it receives nothing.
	level := demand / home.Capacity
	for range away {
		work, capacity := demand, home.Capacity
		for _, d := range away {
			if d.Capacity > 0 && without(d) < level*d.Capacity {
				work += without(d)
				capacity += d.Capacity
			}
		}
		level = work / capacity
	}
	total := 0.0
	for i, d := range away {
		s.target[i] = max(0, level*d.Capacity-without(d))
		total += s.target[i]
	}
	if demand == 0 || total == 0 {
		return 0
	}
	ramp := (demand/home.Capacity - stayLoad) / (fullLoad - stayLoad)
	return min(1, total/demand) * min(1, max(0, ramp))
}

// Leaves reports whether the flow with the hash leaves the home domain. Flows that leave at
// a share also leave at any higher one.
func (s *Spill) Leaves(hash uint64) bool { return unit(hash) < s.share }

// Score returns the score of an other domain for a flow, by weighted rendezvous hashing:
// the flow belongs to the domain with the highest score, and domains get flows in
// proportion to their rooms. The hash is that of the flow and the domain.
func (s *Spill) Score(i int, hash uint64) float64 {
	const minRoom = 1e-9
	return math.Log(unit(hash)) / max(minRoom, s.Room(i))
}

// unit maps a hash to a number above 0 and below 1.
func unit(hash uint64) float64 { return (float64(hash>>12) + 0.5) / (1 << 52) }
