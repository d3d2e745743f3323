// Package pollenkernel defines what every role is built on: the interface of a
// deterministic state machine, the registry of policies, and the reasons for
// refusals and retries.
package pollenkernel

import "time"

// A Machine is a deterministic state machine. It reads no clock, socket or file
// and starts no goroutine, so that replaying a recorded sequence of events
// always returns the same actions.
type Machine[E any, A any] interface {
	// Step applies one event at the time now and returns the actions that the
	// surrounding process must execute, in order.
	Step(now time.Time, event E) []A
}
