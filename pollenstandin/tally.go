package pollenstandin

import (
	"fmt"
	"sync"
)

// A Count names something that the stand-ins count.
type Count string

// Counts.
const (
	CountRequests    Count = "requests"
	CountAnswered    Count = "answered"
	CountRefused     Count = "refused"
	CountMisrouted   Count = "misrouted"
	CountBroken      Count = "broken"
	CountGivenUp     Count = "givenup"
	CountNotRunFalse Count = "notrun_false"
	CountWrongAnswer Count = "wronganswer"
	CountUnknown     Count = "unknown"
	CountShed        Count = "shed"
	CountColdOverrun Count = "coldoverrun"
	CountRepeated    Count = "repeated"
)

// A Tally counts what backend servers and callers saw. It is safe for
// concurrent use.
type Tally struct {
	mu     sync.Mutex
	counts map[Count]int
	// executions holds how often each key ran, and attempts which attempts did.
	executions map[string]int
	attempts   map[string]bool
}

// NewTally returns a new Tally.
func NewTally() *Tally {
	return &Tally{counts: map[Count]int{}, executions: map[string]int{}, attempts: map[string]bool{}}
}

// Add counts n more.
func (t *Tally) Add(c Count, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[c] += n
}

// Get returns a count.
func (t *Tally) Get(c Count) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[c]
}

// Executed counts the run of a keyed request by a backend server.
func (t *Tally) RecordExecution(key, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[key]++
	t.attempts[attempt] = true
}

// RefusedNotRun checks a refusal that says that the key was not run.
func (t *Tally) CheckNotRun(key, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[attempt] || t.executions[key] > 0 {
		t.counts[CountNotRunFalse]++
	}
}

// Doubled returns the number of keys that ran more than once.
func (t *Tally) DuplicatedKeys() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubled := 0
	for _, n := range t.executions {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}

// Sound reports whether nothing happened that never may.
func (t *Tally) Passed() bool {
	return t.DuplicatedKeys() == 0 && t.Get(CountMisrouted) == 0 && t.Get(CountBroken) == 0 &&
		t.Get(CountNotRunFalse) == 0 && t.Get(CountWrongAnswer) == 0 && t.Get(CountAnswered) > 0
}

// Line returns the summary on one line.
func (t *Tally) Summary() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d doubled=%d misrouted=%d broken=%d notrun_false=%d",
		t.Get(CountRequests), t.Get(CountAnswered), t.Get(CountRefused), t.DuplicatedKeys(),
		t.Get(CountMisrouted), t.Get(CountBroken), t.Get(CountNotRunFalse))
}
