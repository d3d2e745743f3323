// Package pollenpriority implements the admission level of one backend server: which
// priorities of new flows are declined while requests wait too long for a slot.
package pollenpriority

import (
	"iter"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// Timing of a Level. The level rises within a few request times, and it falls more
// slowly than any round trip or heartbeat interval, so that neither of them can make it
// oscillate.
const (
	riseAfter = 100 * time.Millisecond
	fallAfter = time.Second
	// relapsePeriod is how long after a fall the level rises without waiting for
	// riseAfter. Under a lasting overload, the flows that are admitted within riseAfter after
	// each fall made the gate decline one in ten urgent flows (three times the capacity).
	relapsePeriod = 2 * time.Second
)

// minimumInterval is the number of new flows of a declined priority of which at least
// one is admitted, which prevents starvation.
const minimumInterval = 10

// A Config describes the routes of one service.
type Config struct {
	// Priorities holds the different priorities of the routes, the most urgent first,
	// which is the lowest number.
	Priorities []int
	// Objective is the shortest latency objective of the routes of the most urgent
	// priority.
	Objective time.Duration
}

// ConfigOf returns the Config for the routes of one service.
func ConfigOf(routes iter.Seq[*pollendocument.Route]) Config {
	var c Config
	for r := range routes {
		switch {
		case len(c.Priorities) == 0 || r.Priority < c.Priorities[0]:
			c.Objective = r.Objective
		case r.Priority == c.Priorities[0]:
			c.Objective = min(c.Objective, r.Objective)
		}
		if at, found := slices.BinarySearch(c.Priorities, r.Priority); !found {
			c.Priorities = slices.Insert(c.Priorities, at, r.Priority)
		}
	}
	return c
}

// maxStep returns the highest step: one to decline each priority but the most urgent,
// and one between each two of them. It is zero if the level is not active, because all
// routes have the same priority or the most urgent ones have no objective.
func (c *Config) maxStep() int {
	if len(c.Priorities) < 2 || c.Objective <= 0 {
		return 0
	}
	return 2*(len(c.Priorities)-1) - 1
}

// A Level is the admission level of one backend server. Its zero value admits all flows.
// It is not safe for concurrent use.
type Level struct {
	config Config
	// step is 0 if all flows are admitted. Odd steps decline one more priority than the
	// odd step below, the least urgent first. From step 2 on, retransmissions of all
	// priorities but the most urgent are declined too: their callers have less time left.
	step int
	// aboveSince and belowSince are since when the wait is longer than half and shorter
	// than a quarter of the objective, or when the step last changed; zero if it is not.
	aboveSince, belowSince time.Time
	// fellAt is when the level last fell, unless it has risen since.
	fellAt time.Time
	// declined counts the flows of each priority of config that were declined since the
	// last one that was admitted although its priority is declined.
	declined []int
}

// Configure replaces the routes that the level is based on. A level of other priorities
// stays as far closed as it was.
func (l *Level) Configure(c Config) {
	if !slices.Equal(l.config.Priorities, c.Priorities) {
		l.declined = make([]int, len(c.Priorities))
		for i := range l.declined {
			// The first flow is admitted, so that the minimum holds for short periods too.
			l.declined[i] = minimumInterval - 1
		}
	}
	l.config = c
	if len(c.Priorities) > 0 {
		l.step = min(l.step, c.maxStep())
	}
}

// Close raises an open level by one step. A process that starts beside a cold backend
// server calls it, possibly before Configure.
func (l *Level) Close() {
	if l.step == 0 && (len(l.config.Priorities) == 0 || l.config.maxStep() > 0) {
		l.step = 1
	}
}

// Observe updates the level by the time for which a request that arrives now waits for a
// slot, and reports whether the step changed. The step changes by one at a time.
func (l *Level) Observe(now time.Time, wait time.Duration) bool {
	most := l.config.maxStep()
	if most == 0 {
		return false
	}
	before := l.step
	switch {
	case wait > l.config.Objective/2:
		l.belowSince = time.Time{}
		if l.aboveSince.IsZero() {
			l.aboveSince = now
		}
		relapsed := !l.fellAt.IsZero() && now.Sub(l.fellAt) < relapsePeriod
		if l.step < most && (relapsed || now.Sub(l.aboveSince) >= riseAfter) {
			l.step, l.aboveSince, l.fellAt = l.step+1, now, time.Time{}
		}
	case wait < l.config.Objective/4:
		l.aboveSince = time.Time{}
		if l.belowSince.IsZero() {
			l.belowSince = now
		}
		if l.step > 0 && now.Sub(l.belowSince) >= fallAfter {
			l.step, l.belowSince, l.fellAt = l.step-1, now, now
		}
	default:
		l.aboveSince, l.belowSince = time.Time{}, time.Time{}
	}
	return l.step != before
}

// Step returns the current step; zero if all flows are admitted.
func (l *Level) Step() int { return min(l.step, l.config.maxStep()) }

// Objective returns the objective that the wait is compared with.
func (l *Level) Objective() time.Duration { return l.config.Objective }

// AdmitBelow returns the most urgent priority that is declined, or zero if none is.
func (l *Level) AdmitBelow() int {
	step := l.Step()
	if step == 0 {
		return 0
	}
	return max(0, l.config.Priorities[len(l.config.Priorities)-(step+1)/2])
}

// declines reports whether the level is closed for an opening packet of the priority that
// was transmitted before as often as retransmissions says.
func (l *Level) declines(priority int, retransmissions uint32) bool {
	step := l.Step()
	if step == 0 || priority <= l.config.Priorities[0] {
		return false
	}
	closed := l.config.Priorities[len(l.config.Priorities)-(step+1)/2]
	return priority >= closed || (step >= 2 && retransmissions > 0)
}

// Admit decides on an opening packet of the priority that was transmitted before as
// often as retransmissions says. After minimumInterval-1 declined packets of a priority
// it admits all until Opened is called, since the packet may be refused for another reason.
func (l *Level) Admit(priority int, retransmissions uint32) bool {
	if !l.declines(priority, retransmissions) {
		return true
	}
	i, found := slices.BinarySearch(l.config.Priorities, priority)
	if !found || l.declined[i] >= minimumInterval-1 {
		return true
	}
	l.declined[i]++
	return false
}

// Opened records that a flow whose opening packet Admit admitted was opened.
func (l *Level) Opened(priority int, retransmissions uint32) {
	if !l.declines(priority, retransmissions) {
		return
	}
	if i, found := slices.BinarySearch(l.config.Priorities, priority); found {
		l.declined[i] = 0
	}
}
