package pollengate

import (
	"math"
	"time"
)

// Parameters of failure detection.
const (
	// failureSamples sets the weight of one response in the mean: 1/failureSamples.
	failureSamples = 16
	// failingThreshold is the share of failed responses from which a backend server
	// is avoided. Four failures in a row reach it, and so does a lasting failure of
	// every third response. A server that sheds a request occasionally stays below.
	failingThreshold = 0.22
	// failureHalfLife is the time in which the mean halves while there are no
	// responses, so that a server that was avoided is tried again.
	failureHalfLife = 2 * time.Second
)

// A failureRate is the exponentially weighted mean share of responses that report
// a failure of the backend server or are a reset. The health that a server
// reports of itself is not used: it may be wrong in either direction.
type failureRate struct {
	rate    float64
	updated time.Time
}

func (f *failureRate) add(now time.Time, failed bool) {
	f.rate = f.rateAt(now)
	f.updated = now
	value := 0.0
	if failed {
		value = 1
	}
	f.rate += (value - f.rate) / failureSamples
}

// rateAt returns the mean share at the time now, between 0 and 1.
func (f *failureRate) rateAt(now time.Time) float64 {
	if f.rate == 0 {
		return 0
	}
	return f.rate * math.Exp2(-float64(now.Sub(f.updated))/float64(failureHalfLife))
}

func (f *failureRate) failing(now time.Time) bool { return f.rateAt(now) >= failingThreshold }
