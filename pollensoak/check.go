package pollensoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// maxNotes bounds the breaches that are described.
const maxNotes = 20

// A check counts breaches of the promises.
type check struct {
	mu sync.Mutex
	// breaches is keyed by the promise that was broken.
	breaches map[string]int
	notes    []string
	// runs counts how often each request that may not be repeated ran.
	runs map[uint64]int
	// asked, answered and excused count requests, those that were answered, and
	// resets of open flows while a fault was present.
	asked, answered, excused int
	// late counts the requests of the calm end, and lateAnswered those answered.
	late, lateAnswered int
}

func newCheck() *check { return &check{breaches: map[string]int{}, runs: map[uint64]int{}} }

func (c *check) found(promise, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches[promise]++
	if len(c.notes) < maxNotes {
		c.notes = append(c.notes, promise+": "+note)
	}
}

func (c *check) ran(id uint64) {
	c.mu.Lock()
	c.runs[id]++
	twice := c.runs[id] == 2
	c.mu.Unlock()
	if twice {
		c.found("doubled", fmt.Sprintf("request %d ran twice", id))
	}
}

func (c *check) request(calmEnd, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if answered {
		c.answered++
	}
	if calmEnd {
		c.late++
		if answered {
			c.lateAnswered++
		}
	}
}

// A Result is what came of a run.
type Result struct {
	Seed                     uint64
	Asked, Answered, Excused int
	Faults                   int
	// Breaches counts the broken promises by name; it is empty after a good run.
	Breaches map[string]int
	Notes    []string
}

// Sound reports whether every promise was kept.
func (r *Result) Passed() bool { return len(r.Breaches) == 0 }

// Line describes the run in one line.
func (r *Result) Summary() string {
	text := fmt.Sprintf("seed=%d faults=%d requests=%d answered=%d excused=%d", r.Seed, r.Faults, r.Asked, r.Answered, r.Excused)
	for _, name := range slices.Sorted(maps.Keys(r.Breaches)) {
		text += fmt.Sprintf(" %s=%d", name, r.Breaches[name])
	}
	return strings.TrimSpace(text)
}
