package pollensteer_test

import (
	"slices"
	"testing"
	"time"
)

// speedRun returns the largest mean completion time of a gate divided by the mean of all, and
// the 99th percentile, for 51 servers of which each third one is faster.
func speedRun(load float64, timed, oracle bool) (imbalance float64, p99 time.Duration) {
	const work, servers, slots = 19 * time.Millisecond, 51, 2
	l := newLoop(work)
	l.timed, l.longOnes = timed, 3
	l.addGates("a", servers, 1/0.7, 1/0.7, 1/1.7)
	l.addBalancers("a", 8)
	capacity := 0.0
	for _, a := range l.order {
		capacity += slots / (l.gates[a].factor * work.Seconds() * 1.18)
	}
	var all []time.Duration
	var sum time.Duration
	for range int(6 * time.Second / loopTick) {
		start := l.now
		for at := l.random.ExpFloat64() / (load * capacity); at < loopTick.Seconds(); at += l.random.ExpFloat64() / (load * capacity) {
			l.now = start.Add(time.Duration(at * float64(time.Second)))
			_, took := l.place("a", oracle)
			all = append(all, took)
			sum += took
		}
		l.now = start
		l.tick()
	}
	mean := float64(sum) / float64(len(all))
	for _, a := range l.order {
		if g := l.gates[a]; g.count > 0 {
			imbalance = max(imbalance, float64(g.took)/float64(g.count)/mean)
		}
	}
	slices.Sort(all)
	return imbalance, all[len(all)*99/100]
}

// TestUnequalSpeeds guards against slow servers that are overloaded while fast ones have room,
// under a steady load of servers at 0.7, 0.7 and 1.7 times the usual speed.
func TestUnequalSpeeds(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 0.95} {
		present, presentP99 := speedRun(load, false, false)
		speed, speedP99 := speedRun(load, true, false)
		best, bestP99 := speedRun(load, true, true)
		t.Logf("load %.2f: busiest/mean and 99th percentile: unfinished work %.2f %s, completion time %.2f %s, oracle %.2f %s",
			load, present, presentP99, speed, speedP99, best, bestP99)
		if load >= 0.7 && float64(speedP99) > 0.9*float64(presentP99) {
			t.Errorf("load %.2f: 99th percentile %s; want less than 0.9 of %s, that of the unfinished work", load, speedP99, presentP99)
		}
	}
}
