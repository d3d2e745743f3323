package pollenagent

import "time"

// A budget allows rate events a second on average and burst at once.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	lastRefill  time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.lastRefill.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
