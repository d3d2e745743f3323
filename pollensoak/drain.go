package pollensoak

import (
	"time"

	"pollenstep.example/pollenstep/pollenpeer"
)

// A Drain is the acknowledged drain of one incarnation of a backend server.
type Drain struct {
	// incarnation is the only one whose reports count.
	incarnation int64
	// acknowledgedAt is when the gate first acknowledged the drain, and zero before.
	acknowledgedAt time.Time
}

// NewDrain returns the drain of the incarnation, which is not acknowledged.
func NewDrain(incarnation int64) Drain { return Drain{incarnation: incarnation} }

// Acknowledge records that the gate has acknowledged a report of the incarnation in
// that state.
func (d *Drain) Acknowledge(now time.Time, incarnation int64, state pollenpeer.ServerState) {
	// The answer to the last report of a replaced server arrives at its successor.
	if incarnation == d.incarnation && state == pollenpeer.ServerDraining && d.acknowledgedAt.IsZero() {
		d.acknowledgedAt = now
	}
}

// Since returns how long ago the drain was acknowledged, and zero if it was not.
func (d *Drain) Since(now time.Time) time.Duration {
	if d.acknowledgedAt.IsZero() {
		return 0
	}
	return now.Sub(d.acknowledgedAt)
}
