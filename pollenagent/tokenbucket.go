package pollenagent

import "time"

// A tokenBucket allows rate events per second on average and bursts of up to
// burst events. It starts full.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	lastRefill  time.Time
}

// take removes one token and reports whether there was one.
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
