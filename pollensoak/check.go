package pollensoak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// maxNotes is the maximum number of violations that a Result describes.
const maxNotes = 20

// A check counts requests and violations of the guarantees.
type check struct {
	mu sync.Mutex
	// violations is keyed by the name of the violated guarantee.
	violations map[string]int
	notes      []string
	// runs counts the runs of each request that may not be repeated, by its ID.
	runs map[uint64]int
	// sent counts requests, answered those that were answered, and excusedResets the
	// resets of open flows during or shortly after an unplanned fault.
	sent, answered, excusedResets int
	// lostResets counts the resets of flows whose backend server was gone, and refusals
	// the resets of opening packets by route.
	lostResets int
	refusals   map[string]int
	// uploads counts the runs of uploads, which were complete at their backend servers.
	uploads int
	// finalSent counts the requests of the final phase without faults, and
	// finalAnswered those of them that were answered.
	finalSent, finalAnswered int
}

func newCheck() *check {
	return &check{violations: map[string]int{}, refusals: map[string]int{}, runs: map[uint64]int{}}
}

// addViolation counts a violation of the guarantee, and describes it if fewer than
// maxNotes are described.
func (c *check) addViolation(guarantee, note string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[guarantee]++
	if len(c.notes) < maxNotes {
		c.notes = append(c.notes, guarantee+": "+note)
	}
}

// countRun counts a run of a request that may not be repeated, and records a violation
// when it runs for the second time.
func (c *check) countRun(id uint64, upload bool) {
	c.mu.Lock()
	if upload {
		c.uploads++
	}
	c.runs[id]++
	twice := c.runs[id] == 2
	c.mu.Unlock()
	if twice {
		c.addViolation("doubled", fmt.Sprintf("request %d ran twice", id))
	}
}

// countRequest counts the end of a request.
func (c *check) countRequest(finalPhase, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if answered {
		c.answered++
	}
	if finalPhase {
		c.finalSent++
		if answered {
			c.finalAnswered++
		}
	}
}

// A Result holds the counts of a run and the violations that it found.
type Result struct {
	Seed uint64
	// Sent counts requests, Answered those that were answered, and ExcusedResets the
	// resets of open flows during or shortly after an unplanned fault.
	Sent, Answered, ExcusedResets int
	// LostResets counts the resets of flows whose backend server was gone, and Uploads
	// the runs of uploads.
	LostResets, Uploads int
	// Refusals counts the resets of opening packets by route.
	Refusals map[string]int
	// Faults is the number of faults that were injected.
	Faults int
	// Violations counts the violations by the name of the guarantee. It is empty if the
	// run passed.
	Violations map[string]int
	// Notes describes the first violations.
	Notes []string
}

// Passed reports whether no guarantee was violated.
func (r *Result) Passed() bool { return len(r.Violations) == 0 }

// Summary returns the counts and violations of the run in one line.
func (r *Result) Summary() string {
	text := fmt.Sprintf("seed=%d faults=%d requests=%d answered=%d excused=%d gone=%d uploads=%d", r.Seed, r.Faults, r.Sent, r.Answered, r.ExcusedResets, r.LostResets, r.Uploads)
	for _, name := range slices.Sorted(maps.Keys(r.Refusals)) {
		text += fmt.Sprintf(" refused-%s=%d", name, r.Refusals[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Violations)) {
		text += fmt.Sprintf(" %s=%d", name, r.Violations[name])
	}
	return strings.TrimSpace(text)
}
