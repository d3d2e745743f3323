package pollencheckpoint

import (
	"net/netip"
	"slices"
	"time"
)

// Intervals of a gate's checkpoints.
const (
	// startDelay is the time after its start for which a gate sends no checkpoint, so
	// that it does not replace the one that it asks for.
	startDelay = 3 * time.Second
	// changeInterval is the minimum interval between changed checkpoints.
	changeInterval = 2 * time.Second
	// repeatInterval is the interval of unchanged checkpoints, since messages may be
	// lost.
	repeatInterval = 30 * time.Second
	// maxRate bounds the checkpoints of a gate, to all keepers together, in bytes per
	// second.
	maxRate = 1000
)

// A Schedule decides when a gate sends its checkpoint, and to whom.
type Schedule struct {
	counter uint64
	// sent is the last checkpoint that was sent at sentAt, and keepers its receivers.
	sent    Checkpoint
	sentAt  time.Time
	keepers []netip.AddrPort
	// next is when the next checkpoint may be sent.
	next time.Time
}

// NewSchedule returns the Schedule of a gate that started at now.
func NewSchedule(now time.Time) *Schedule { return &Schedule{next: now.Add(startDelay)} }

// Due reports whether a checkpoint may be sent. While it returns false, none need be
// built.
func (s *Schedule) Due(now time.Time) bool { return !now.Before(s.next) }

// Next reports whether the checkpoint is to be sent to the keepers now, and then sets
// its Counter. It must be called only when Due. It retains the flows.
//
// The counter is derived from the clock, so that it increases across restarts of the
// gate without stored state.
func (s *Schedule) Next(now time.Time, c *Checkpoint, keepers []netip.AddrPort) bool {
	s.next = now.Add(changeInterval)
	same := slices.Equal(s.keepers, keepers) && c.sameFlows(&s.sent)
	if len(keepers) == 0 || same && now.Sub(s.sentAt) < repeatInterval {
		return false
	}
	s.counter = max(s.counter+1, uint64(max(0, now.UnixMilli())))
	c.Counter = s.counter
	s.sent, s.sentAt, s.keepers = *c, now, keepers
	if wait := time.Duration(len(keepers)*c.Size()) * time.Second / maxRate; wait > changeInterval {
		s.next = now.Add(wait)
	}
	return true
}
