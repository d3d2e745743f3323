package pollensteer

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
)

// querySize returns the bytes on the link of queries to the gates in gateBuffer. Within a
// batch, they are appended to the datagrams of earlier searches to the same gates.
func (b *Balancer) querySize() int {
	if b.batch == nil {
		return len(b.gateBuffer) * querySize
	}
	size := len(b.gateBuffer) * pollenlink.QuerySize
	for _, a := range b.gateBuffer {
		if b.batch[a]%pollenlink.MaxQueries == 0 {
			size += datagramSize
		}
	}
	return size
}

// awaitBatch decides whether a search over a low-bandwidth link waits for the next batch of
// queries, in which a query takes a fifth of the bytes if many searches go to the same
// gates. Those of a wide scope do, and all while others wait or less than half of the budget
// is left, as after a power loss, when each old flow is searched at every gate.
func (b *Balancer) awaitBatch(now time.Time, e *flowEntry) (d Decision, waits bool) {
	if b.batch != nil || !e.repeating || !b.SlowLink() {
		return Decision{}, false
	}
	d = Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	if e.scope.narrow() {
		if b.dueSearches == 0 && b.budget.Level(now) >= b.budget.Capacity()/2 {
			return Decision{}, false
		}
		d.Reason = pollenkernel.RefusalSearchLimit
	}
	e.due = true
	b.dueSearches++
	return d, true
}

// addToBatch counts the queries to the gates in gateBuffer, within a batch.
func (b *Balancer) addToBatch() {
	if b.batch == nil {
		return
	}
	for _, a := range b.gateBuffer {
		b.batch[a]++
	}
}
