package pollengate

import "time"

// An eventWindow counts the events of the last second.
type eventWindow struct {
	// times is a ring buffer of the last events; next is the index for the next
	// event.
	times [windowSize]time.Time
	next  int
}

// windowSize is the capacity of the window in events and bounds the count. No
// backend server may get more requests per second than that in a cold start.
const windowSize = 128

// windowSpan is the time that an eventWindow covers.
const windowSpan = time.Second

func (w *eventWindow) add(now time.Time) {
	w.times[w.next] = now
	w.next = (w.next + 1) % windowSize
}

func (w *eventWindow) count(now time.Time) int {
	n := 0
	for i := range w.times {
		at := w.times[(w.next-1-i+2*windowSize)%windowSize]
		if at.IsZero() || now.Sub(at) >= windowSpan {
			break
		}
		n++
	}
	return n
}

// A meanCount is the mean of a changing number, approximately over the last
// second.
type meanCount struct {
	value   float64
	current int
	updated time.Time
}

func (a *meanCount) set(now time.Time, current int) {
	a.value = a.valueAt(now)
	a.updated, a.current = now, current
}

// valueAt returns the mean at the time now.
func (a *meanCount) valueAt(now time.Time) float64 {
	share := min(1, max(0, now.Sub(a.updated).Seconds()/windowSpan.Seconds()))
	return a.value + (float64(a.current)-a.value)*share
}

// A meanDuration is the exponentially weighted mean of request times.
type meanDuration struct {
	value time.Duration
	// measured is set once value includes a sample.
	measured bool
}

// durationSamples sets the weight of one request in the mean: 1/durationSamples.
const durationSamples = 16

// maxSample bounds the time that one request contributes to the mean: a server
// that stalled for seconds does not take seconds for the next request.
const maxSample = time.Second

func (d *meanDuration) add(took time.Duration) {
	d.measured = true
	d.value += (min(took, maxSample) - d.value) / durationSamples
}

// silence detects that a backend server no longer answers, as opposed to having
// nothing to answer.
type silence struct {
	// first is when the first packet was delivered since the last sign of life of
	// the backend server.
	first time.Time
	// unanswered counts the packets delivered since then, the first included.
	unanswered int
}

// A backend server is silent after silencePackets unanswered packets and
// silenceTime. Three packets lost in a row must not count as silence: their
// retransmissions arrive after 200 ms.
const (
	silenceTime    = 400 * time.Millisecond
	silencePackets = 4
)

// sent records a packet that was delivered to the backend server.
func (s *silence) sent(now time.Time) {
	if s.unanswered == 0 {
		s.first = now
	}
	s.unanswered++
}

// received records a sign of life of the backend server.
func (s *silence) received(time.Time) { s.unanswered = 0 }

func (s *silence) silent(now time.Time) bool {
	return s.unanswered >= silencePackets && now.Sub(s.first) >= silenceTime
}
