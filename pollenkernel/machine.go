// Package pollenkernel defines the small interfaces that every role is built on:
// the deterministic state machine, the policy registry, and the vocabulary of
// refusals and retries.
package pollenkernel

import "time"

// A Machine is a deterministic state machine. It reads no clock, socket or
// file and starts no goroutine, so a recorded sequence of events always gives
// the same actions.
type Machine[E any, A any] interface {
	// Step applies one event at the time now and returns the actions that the
	// shell must carry out, in order.
	Step(now time.Time, event E) []A
}
