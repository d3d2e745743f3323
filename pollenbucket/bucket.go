// Package pollenbucket provides a token bucket whose time is an argument.
package pollenbucket

import "time"

// A Bucket fills at a rate up to a capacity. What a token stands for, such as an event
// or a byte, is up to its user. It is not safe for concurrent use.
type Bucket struct {
	// rate is in tokens per second, and capacity in tokens.
	rate, capacity float64
	// level is at most capacity, and below zero after Take has taken more than there
	// was.
	level float64
	// filledAt is when level was last brought up to date; zero before the first use.
	filledAt time.Time
}

// New returns a full Bucket for a rate in tokens per second and a capacity in tokens.
func New(rate, capacity float64) Bucket {
	return Bucket{rate: rate, capacity: capacity, level: capacity}
}

// Level returns the number of tokens in the bucket now.
func (b *Bucket) Level(now time.Time) float64 {
	if elapsed := now.Sub(b.filledAt); !b.filledAt.IsZero() && elapsed > 0 {
		b.level = min(b.capacity, b.level+elapsed.Seconds()*b.rate)
	}
	b.filledAt = now
	return b.level
}

// Capacity returns the number of tokens that the bucket holds.
func (b *Bucket) Capacity() float64 { return b.capacity }

// Take removes n tokens, also if there are fewer.
func (b *Bucket) Take(n float64) { b.level -= n }

// TakeOne removes one token now and reports whether there was one.
func (b *Bucket) TakeOne(now time.Time) bool {
	if b.Level(now) < 1 {
		return false
	}
	b.Take(1)
	return true
}
