package pollenspeed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenspeed"
)

const usual = 20 * time.Millisecond

func times(relative ...float64) (list []time.Duration) {
	for _, r := range relative {
		list = append(list, time.Duration(r*float64(usual)))
	}
	return list
}

// TestUnequalServersAreDetected guards against a comparison that switches on and off: servers of
// unequal speed are told from equal ones, with a hysteresis between.
func TestUnequalServersAreDetected(t *testing.T) {
	var s pollenspeed.Service
	for i, test := range []struct {
		times  []time.Duration
		active bool
	}{
		{nil, false},
		{times(1, 9), false}, // two gates have no quartiles
		{times(1, 1, 1.1, 1.2, 1.2), false},
		{times(1, 1, 1.1, 1.2, 9), false}, // one outlier
		{times(1.43, 1.43, 0.59, 1.43, 1.43, 0.59, 1.43, 1.43, 0.59), true},
		{times(1, 1, 1.1, 1.2, 1.2), true},
		{times(1, 1, 1.1, 1.14, 1.2), false},
		{times(1, 1, 1.1, 1.2, 1.2), false},
	} {
		if s.Update(test.times); s.Active() != test.active {
			t.Errorf("step %d: active %t with %v; want %t", i, s.Active(), test.times, test.active)
		}
	}
}

// TestTailRequestsAreNotUnequalSpeeds guards against a comparison that is active for equal servers
// whose means over 16 requests differ because 3 in 100 requests take 7 times as long, at 20 requests
// per second and server.
func TestTailRequestsAreNotUnequalSpeeds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	means := times(make([]float64, 51)...)
	for i := range means {
		means[i] = usual
	}
	smoothed := make([]time.Duration, len(means))
	var s pollenspeed.Service
	active := 0
	const rounds, requests = 2000, 4
	for range rounds {
		for i := range means {
			for range requests {
				took := usual
				if random.IntN(100) < 3 {
					took *= 7
				}
				means[i] += (took - means[i]) / 16
			}
			smoothed[i] = pollenspeed.Smooth(smoothed[i], means[i], 200*time.Millisecond)
		}
		if s.Update(slices.Clone(smoothed)); s.Active() {
			active++
		}
	}
	t.Logf("active in %d of %d updates", active, rounds)
	if active > rounds/50 {
		t.Errorf("active in %d of %d updates", active, rounds)
	}
}

// TestRelativeTimeIsBounded guards against the exclusion of a server that is cold or had one very
// long request, and against a preference for servers that were not measured yet.
func TestRelativeTimeIsBounded(t *testing.T) {
	var s pollenspeed.Service
	if got := s.Relative(9 * usual); got != 1 {
		t.Errorf("relative time %g of an inactive service; want 1", got)
	}
	s.Update(times(0.5, 0.5, 1, 1.5, 1.5))
	for requestTime, want := range map[time.Duration]float64{0: 1, usual / 100: 0.4, 2 * usual: 2, 50 * usual: 2.5} {
		if got := s.Relative(requestTime); got != want {
			t.Errorf("relative time %g of %s; want %g", got, requestTime, want)
		}
	}
}

// TestCompletion guards against a slow idle server that is preferred to a fast one with a free slot.
func TestCompletion(t *testing.T) {
	if fast, slow := pollenspeed.Completion(1, 2, 0.5), pollenspeed.Completion(0, 2, 1.5); fast >= slow {
		t.Errorf("completion %g at the fast server with a free slot, %g at the slow idle one", fast, slow)
	}
	if fast, slow := pollenspeed.Completion(9, 2, 0.5), pollenspeed.Completion(0, 2, 1.5); fast <= slow {
		t.Errorf("completion %g at the fast server with a queue, %g at the slow idle one", fast, slow)
	}
}
