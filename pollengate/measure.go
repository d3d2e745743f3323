package pollengate

import "time"

// window counts events of the last second.
type window struct {
	// times is a ring of the last events; next is where the next one goes.
	times [windowSize]time.Time
	next  int
}

// windowSize bounds the count: no backend server in a cold start may get more
// requests in a second.
const windowSize = 128

// span is the length of the window.
const span = time.Second

func (w *window) add(now time.Time) {
	w.times[w.next] = now
	w.next = (w.next + 1) % windowSize
}

func (w *window) count(now time.Time) int {
	n := 0
	for i := range w.times {
		at := w.times[(w.next-1-i+2*windowSize)%windowSize]
		if at.IsZero() || now.Sub(at) >= span {
			break
		}
		n++
	}
	return n
}

// average is the exponential mean of a number over about the last second.
type average struct {
	value   float64
	current int
	at      time.Time
}

func (a *average) set(now time.Time, current int) {
	a.value = a.at1s(now)
	a.at, a.current = now, current
}

func (a *average) at1s(now time.Time) float64 {
	share := min(1, max(0, now.Sub(a.at).Seconds()/span.Seconds()))
	return a.value + (float64(a.current)-a.value)*share
}

// duration is the exponential mean of the times of requests.
type duration struct{ value time.Duration }

// durationShare is the weight of one request in the mean: its 1/durationShare.
const durationShare = 16

// longestWork bounds what one request adds: a server that stood still for
// seconds does not take seconds for the next request.
const longestWork = time.Second

func (d *duration) add(took time.Duration) {
	d.value += (min(took, longestWork) - d.value) / durationShare
}

// silence tells a backend server that no longer answers from one that has
// nothing to do.
type silence struct {
	// first is when the first packet was delivered that nothing came back after.
	first time.Time
	// unanswered counts the packets since first.
	unanswered int
}

// Bounds of silence: copies of three packets in a row come after 200 ms.
const (
	silenceTime    = 400 * time.Millisecond
	silencePackets = 4
)

func (s *silence) sent(now time.Time) {
	if s.unanswered == 0 {
		s.first = now
	}
	s.unanswered++
}

func (s *silence) heard(time.Time) { s.unanswered = 0 }

func (s *silence) silent(now time.Time) bool {
	return s.unanswered >= silencePackets && now.Sub(s.first) >= silenceTime
}
