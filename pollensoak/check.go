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
	violations map[string]int
	notes      []string
	// runs counts how often each request that may not be repeated ran.
	runs map[uint64]int
	// asked, answered and excused count requests, those that were answered, and
	// resets of open flows while a fault was present.
	sent, answered, excusedResets int
	// late counts the requests of the calm end, and lateAnswered those answered.
	finalSent, finalAnswered int
}

func newCheck() *check { return &check{violations: map[string]int{}, runs: map[uint64]int{}} }

func (c *check) addViolation(promise, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[promise]++
	if len(c.notes) < maxNotes {
		c.notes = append(c.notes, promise+": "+note)
	}
}

func (c *check) countRun(id uint64) {
	c.mu.Lock()
	c.runs[id]++
	twice := c.runs[id] == 2
	c.mu.Unlock()
	if twice {
		c.addViolation("doubled", fmt.Sprintf("request %d ran twice", id))
	}
}

func (c *check) countRequest(calmEnd, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if answered {
		c.answered++
	}
	if calmEnd {
		c.finalSent++
		if answered {
			c.finalAnswered++
		}
	}
}

// A Result is what came of a run.
type Result struct {
	Seed                          uint64
	Sent, Answered, ExcusedResets int
	Faults                        int
	// Breaches counts the broken promises by name; it is empty after a good run.
	Violations map[string]int
	Notes      []string
}

// Sound reports whether every promise was kept.
func (r *Result) Passed() bool { return len(r.Violations) == 0 }

// Line describes the run in one line.
func (r *Result) Summary() string {
	text := fmt.Sprintf("seed=%d faults=%d requests=%d answered=%d excused=%d", r.Seed, r.Faults, r.Sent, r.Answered, r.ExcusedResets)
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		text += fmt.Sprintf(" %s=%d", name, r.Violations[name])
	}
	return strings.TrimSpace(text)
}
