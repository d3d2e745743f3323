package pollenstandin

import (
	"fmt"
	"sync"
)

// A Count is the name of a counter of the stand-ins.
type Count string

// Counts.
const (
	// CountRequests counts the requests and feeds of callers, each one once however
	// often it is resent. CountAnswered counts those that succeeded, CountRefused the
	// requests of which no attempt succeeded.
	CountRequests Count = "requests"
	CountAnswered Count = "answered"
	CountRefused  Count = "refused"
	// CountMisrouted counts requests that reached a backend server of another
	// service.
	CountMisrouted Count = "misrouted"
	// CountBroken counts feeds that failed, except those of CountGivenUp.
	CountBroken Count = "broken"
	// CountGivenUp counts feeds from backend servers in a failure domain that was
	// set to state out.
	CountGivenUp Count = "givenup"
	// CountNotRunFalse counts refusals that reported a request as not run although
	// a backend server had run it.
	CountNotRunFalse Count = "notrun_false"
	// CountWrongAnswer counts answers of another request, and repeated answers that
	// differ from the first.
	CountWrongAnswer Count = "wronganswer"
	// CountUnknown counts refusals that reported the execution as unknown.
	CountUnknown Count = "unknown"
	// CountShed counts requests that a backend server refused because no slot was
	// free.
	CountShed Count = "shed"
	// CountColdOverrun counts requests above the limit of a cold start.
	CountColdOverrun Count = "coldoverrun"
	// CountRepeated counts answers to registrations that were sent again after they
	// had been answered.
	CountRepeated Count = "repeated"
)

// A Tally counts what callers and backend servers observe. It is safe for
// concurrent use.
type Tally struct {
	mu     sync.Mutex
	counts map[Count]int
	// executions holds the number of runs of each idempotency key, and attempts
	// holds the attempts that ran.
	executions map[string]int
	attempts   map[string]bool
}

// NewTally returns a new Tally.
func NewTally() *Tally {
	return &Tally{counts: map[Count]int{}, executions: map[string]int{}, attempts: map[string]bool{}}
}

// Add adds n to a counter.
func (t *Tally) Add(c Count, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[c] += n
}

// Get returns the value of a counter.
func (t *Tally) Get(c Count) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[c]
}

// RecordExecution records that a backend server ran an attempt of the request with
// the key.
func (t *Tally) RecordExecution(key, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[key]++
	t.attempts[attempt] = true
}

// CheckNotRun checks a refusal that reports an attempt as not run. It counts
// CountNotRunFalse if the attempt, or any other one with the key, has run.
func (t *Tally) CheckNotRun(key, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempts[attempt] || t.executions[key] > 0 {
		t.counts[CountNotRunFalse]++
	}
}

// DuplicatedKeys returns the number of idempotency keys that ran more than once.
func (t *Tally) DuplicatedKeys() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	duplicated := 0
	for _, n := range t.executions {
		if n > 1 {
			duplicated++
		}
	}
	return duplicated
}

// Passed reports whether there were answers and no guarantee was violated:
// no key ran twice, no request was misrouted, no feed broke, no request that had run
// was refused as not run, and no answer was wrong.
func (t *Tally) Passed() bool {
	return t.DuplicatedKeys() == 0 && t.Get(CountMisrouted) == 0 && t.Get(CountBroken) == 0 &&
		t.Get(CountNotRunFalse) == 0 && t.Get(CountWrongAnswer) == 0 && t.Get(CountAnswered) > 0
}

// Summary returns the main counters on one line.
func (t *Tally) Summary() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d doubled=%d misrouted=%d broken=%d notrun_false=%d",
		t.Get(CountRequests), t.Get(CountAnswered), t.Get(CountRefused), t.DuplicatedKeys(),
		t.Get(CountMisrouted), t.Get(CountBroken), t.Get(CountNotRunFalse))
}
