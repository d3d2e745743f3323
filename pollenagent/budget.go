package pollenagent

import "time"

// A budget allows rate events a second on average and burst at once.
type budget struct {
	rate, burst float64
	tokens      float64
	filled      time.Time
}

func (b *budget) take(now time.Time) bool {
	if b.filled.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
