package pollenlocality_test

import (
	"math"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenlocality"
)

var start = time.Unix(1000, 0)

func domain(load, carried float64) pollenlocality.Domain {
	return pollenlocality.Domain{Capacity: 10, Load: load, Carried: carried}
}

// TestShareByLoad guards against flows that leave without need, and against a share that is forgotten
// once it has taken effect: the loads below include the flows that already leave.
func TestShareByLoad(t *testing.T) {
	none := pollenlocality.Domain{}
	for name, test := range map[string]struct {
		home  pollenlocality.Domain
		away  []pollenlocality.Domain
		share float64
		rooms []float64
	}{
		"room at home":       {domain(0.7, 1), []pollenlocality.Domain{domain(0, 0)}, 0, nil},
		"half way up":        {domain(0.85, 1), []pollenlocality.Domain{domain(0.25, 0)}, 0.5 * 0.3 / 0.85, []float64{3}},
		"home full":          {domain(1.1, 1), []pollenlocality.Domain{domain(0.1, 0)}, 0.5 / 1.1, []float64{5}},
		"in effect":          {domain(0.6, 0.6/1.1), []pollenlocality.Domain{domain(0.6, 0.5/1.1)}, 0.5 / 1.1, []float64{5}},
		"all full":           {domain(1.1, 1), []pollenlocality.Domain{domain(1.1, 0)}, 0, []float64{0}},
		"in proportion":      {domain(1.1, 1), []pollenlocality.Domain{domain(0.2, 0), domain(0.5, 0)}, 0.5 / 1.1, []float64{4, 1}},
		"fuller than home":   {domain(1, 1), []pollenlocality.Domain{domain(0.5, 0), domain(1.2, 0)}, 0.25, []float64{2.5, 0}},
		"away lost":          {domain(1.1, 1), []pollenlocality.Domain{none}, 0, []float64{0}},
		"home lost":          {none, []pollenlocality.Domain{domain(0.5, 0), domain(0.8, 0)}, 1, []float64{6, 3}},
		"home and away lost": {none, []pollenlocality.Domain{none}, 0, []float64{0}},
	} {
		var s pollenlocality.Spill
		s.Update(start, test.home, test.away)
		if math.Abs(s.Share()-test.share) > 1e-9 {
			t.Errorf("%s: share %.3f; want %.3f", name, s.Share(), test.share)
		}
		for i, room := range test.rooms {
			if math.Abs(s.Room(i)-room) > 1e-9 {
				t.Errorf("%s: room %.3f of domain %d; want %.3f", name, s.Room(i), i, room)
			}
		}
	}
}

// TestShareIsSmoothed guards against jumps of the share with every heartbeat: it approaches a new value
// with a time constant of 2 s, and follows the loss of the home domain at once.
func TestShareIsSmoothed(t *testing.T) {
	var s pollenlocality.Spill
	idle, full, now := domain(0.1, 0), domain(1.1, 1), start
	s.Update(now, domain(0.1, 1), []pollenlocality.Domain{idle})
	for range 10 {
		now = now.Add(pollenlocality.UpdateInterval)
		s.Update(now, full, []pollenlocality.Domain{idle})
	}
	if want := (1 - math.Exp(-1)) * 0.5 / 1.1; math.Abs(s.Share()-want) > 1e-9 {
		t.Errorf("share %.3f after 2 s; want %.3f", s.Share(), want)
	}
	s.Update(now.Add(time.Second), pollenlocality.Domain{}, []pollenlocality.Domain{idle})
	if s.Share() != 1 {
		t.Errorf("share %.3f without a usable gate at home; want 1", s.Share())
	}
}

// TestDomainsGetFlowsByRoom guards against a hash that sends more flows away, or to one domain, than
// its share.
func TestDomainsGetFlowsByRoom(t *testing.T) {
	var s pollenlocality.Spill
	s.Update(start, domain(1.1, 1), []pollenlocality.Domain{domain(0.2, 0), domain(0.5, 0)})
	leaving, first := 0, 0
	const flows = 20_000
	for i := range uint64(flows) {
		hash := i * 0x9e3779b97f4a7c15
		if s.Leaves(hash) {
			leaving++
		}
		if s.Score(0, hash) > s.Score(1, hash*0xbf58476d1ce4e5b9+1) {
			first++
		}
	}
	if got := float64(leaving) / flows; math.Abs(got-0.5/1.1) > 0.02 {
		t.Errorf("%.3f of the flows leave; want %.3f", got, 0.5/1.1)
	}
	if got := float64(first) / flows; math.Abs(got-0.8) > 0.02 {
		t.Errorf("%.3f of the flows go to the domain with four fifths of the room", got)
	}
}
