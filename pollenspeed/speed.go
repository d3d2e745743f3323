// Package pollenspeed compares the expected completion times of a new flow at the
// gates of one service whose backend servers run at different speeds.
package pollenspeed

import (
	"math"
	"slices"
	"time"
)

// Limits of the comparison.
const (
	// activeSpread is the ratio of the third to the first quartile of the request times
	// above which servers count as unequal, and inactiveSpread the one below which they
	// no longer do.
	activeSpread   = 1.3
	inactiveSpread = 1.15
	// minRelative and maxRelative bound a gate's request time relative to the median of
	// its service, so that a cold server, or one that had a very long request, is not
	// excluded and its time is measured again.
	minRelative = 0.4
	maxRelative = 2.5
	// smoothing is the time constant of Smooth. Gates state a mean over about 16 requests. If 3
	// in 100 requests take 7 times as long, its quartiles differ by more than activeSpread in
	// three quarters of the time although the servers are equal.
	smoothing = 8 * time.Second
	// minTimes is the number of measured gates below which quartiles mean nothing.
	minTimes = 3
)

// A Service holds what the request times of a service's gates have in common. The zero
// value is inactive.
type Service struct {
	active bool
	median time.Duration
}

// Smooth returns a gate's mean request time, smoothed over time, from its value a while before and
// the time that the gate states now. Zero means that it is not known.
func Smooth(mean, stated, elapsed time.Duration) time.Duration {
	if mean == 0 || stated == 0 {
		return stated
	}
	return mean + time.Duration(float64(stated-mean)*(1-math.Exp(-elapsed.Seconds()/smoothing.Seconds())))
}

// Update computes the quartiles of the request times of the service's gates. Gates whose
// time is not known are left out by the caller. The slice is sorted in place.
func (s *Service) Update(times []time.Duration) {
	if len(times) < minTimes {
		*s = Service{}
		return
	}
	slices.Sort(times)
	quartile := func(quarters int) time.Duration { return times[quarters*(len(times)-1)/4] }
	s.median = quartile(2)
	threshold := activeSpread
	if s.active {
		threshold = inactiveSpread
	}
	s.active = float64(quartile(3)) > threshold*float64(quartile(1))
}

// Active reports whether the servers of the service are of unequal speed.
func (s *Service) Active() bool { return s.active }

// Relative returns a gate's request time relative to the median of the service, bounded,
// and 1 if the time is not known or the service is inactive.
func (s *Service) Relative(requestTime time.Duration) float64 {
	if !s.active || requestTime <= 0 {
		return 1
	}
	return min(maxRelative, max(minRelative, float64(requestTime)/float64(s.median)))
}

// Completion returns the expected completion time of one more request, in median request
// times, at a gate with the given unfinished requests, slots and relative request time.
// It is at least one request time of the gate.
func Completion(load float64, slots int, relative float64) float64 {
	return max(1, (load+1)/float64(max(1, slots))) * relative
}
