package pollenemulator

import (
	"fmt"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Times after which an acknowledged order must hold everywhere.
const (
	drainBound = 3 * time.Second
	emptyBound = 5 * time.Second
)

// windowSpan is the length of the spans of which the worst is measured.
const windowSpan = 2 * time.Second

// A Result is what came of a day.
type Result struct {
	Plan    string
	Figures map[Measure]float64
	// Failed holds the expectations that were not met.
	FailedExpectations []string
	// Notes describes the first requests that were not answered.
	Notes []string
}

// measure counts what callers, backend servers and the operator saw.
type measure struct {
	w        *world
	begun    time.Time
	requests uint64
	ports    uint32
	asks     int
	inTime   int
	answers  int
	messages int
	// windows holds the requests and those in time by their span.
	windows map[int]*window
	runs    map[uint64]int
	routes  map[uint64]*route
	broken  int
	strayed int
	drained int
	emptied int
	notes   []string
	// times holds how long each answered request took.
	times []time.Duration
}

type window struct{ asked, inTime int }

func newMeasure(w *world) *measure {
	return &measure{w: w, windows: map[int]*window{}, runs: map[uint64]int{}, routes: map[uint64]*route{}}
}

// settle is how long before the end no request is asked any more.
const settle = 3 * time.Second

func (m *measure) over() bool { return m.w.now.Sub(m.begun) > m.w.plan.Duration-settle }

func (m *measure) window(at time.Time) *window {
	i := int(at.Sub(m.begun) / windowSpan)
	if m.windows[i] == nil {
		m.windows[i] = &window{}
	}
	return m.windows[i]
}

// asked counts a request and returns its identity.
func (m *measure) asked(r *route) uint64 {
	m.requests++
	m.asks++
	m.window(m.w.now).asked++
	if r.Kind == pollendocument.RouteUnsafe {
		m.routes[m.requests] = r
	}
	return m.requests
}

func (m *measure) finished(c *caller, answered bool) {
	if !answered {
		m.note(c)
		return
	}
	m.answers++
	m.times = append(m.times, m.w.now.Sub(c.begun))
	if m.w.now.Sub(c.begun) <= c.r.Objective {
		m.inTime++
		m.window(c.begun).inTime++
	}
}

// maxNotes bounds the requests that a result describes.
const maxNotes = 20

// note describes a request that was not answered.
func (m *measure) note(c *caller) {
	if len(m.notes) >= maxNotes {
		return
	}
	text := fmt.Sprintf("%s: request %d of %s in %s, asked at %s, not answered after %d tries",
		m.w.now.Sub(m.begun), c.id, c.r.Name, c.domain, c.begun.Sub(m.begun), c.tries)
	if c.flow != nil {
		text += fmt.Sprintf("; flow of %s, open %t", c.flow.ends.Caller, c.flow.open)
	}
	m.notes = append(m.notes, text)
}

func (m *measure) ran(s *server, id uint64) {
	s.ran++
	if m.routes[id] != nil {
		m.runs[id]++
	}
}

// opened notes that a backend server took an opening packet.
func (m *measure) opened(s *server, f pollenpacket.Flow) {
	for _, r := range m.w.routes {
		if r.address == f.Service && r.Service != s.service.Name {
			m.strayed++
		}
	}
	if !s.drained.IsZero() && m.w.now.Sub(s.drained) > drainBound {
		m.drained++
	}
	if at, out := m.w.operator.emptied[s.host.domain]; out && m.w.now.Sub(at) > emptyBound {
		m.emptied++
	}
}

// sawReset notes that the system reset a flow.
func (m *measure) sawReset(f pollenpacket.Flow) {
	for _, s := range m.w.servers {
		if h := s.flows[f]; s.alive && h != nil && h.opened {
			m.broken++
		}
	}
}

func (w *world) result() *Result {
	m, o := w.measure, w.operator
	r := &Result{Plan: w.plan.Name, Notes: m.notes, Figures: map[Measure]float64{
		MeasureServed:    share(m.inTime, m.asks),
		MeasureAnswered:  share(m.answers, m.asks),
		MeasureWorst:     1,
		MeasureBroken:    float64(m.broken),
		MeasureMisrouted: float64(m.strayed),
		MeasureDrained:   float64(m.drained),
		MeasureEmptied:   float64(m.emptied),
		MeasureUndecided: float64(o.undecided + len(o.orders)),
		MeasureSlowest:   o.slowest.Seconds(),
		MeasureMessages:  float64(m.messages) / (w.plan.Duration + lead).Seconds(),
		MeasureImbalance: w.imbalance(),
		MeasureMedian:    m.quantile(0.5),
		MeasureTail:      m.quantile(0.99),
	}}
	for _, v := range m.windows {
		r.Figures[MeasureWorst] = min(r.Figures[MeasureWorst], share(v.inTime, v.asked))
	}
	for _, n := range m.runs {
		if n > 1 {
			r.Figures[MeasureDoubled]++
		}
	}
	if o.read < o.acknowledged {
		r.Figures[MeasureLost] = float64(o.acknowledged - o.read)
	}
	for _, e := range w.plan.Expect {
		got := r.Figures[e.Measure]
		if e.AtLeast && got < e.Bound {
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.4g; at least %g is expected", e.Measure, got, e.Bound))
		}
		if !e.AtLeast && got > e.Bound {
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.4g; at most %g is expected", e.Measure, got, e.Bound))
		}
	}
	return r
}

// quantile returns the time of that share of the answered requests, in
// milliseconds.
func (m *measure) quantile(share float64) float64 {
	if len(m.times) == 0 {
		return 0
	}
	slices.Sort(m.times)
	return float64(m.times[int(share*float64(len(m.times)-1))]) / float64(time.Millisecond)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// imbalance returns the most requests that a server of the first service ran,
// over the mean, of those that lived all day.
func (w *world) imbalance() float64 {
	most, sum, n := 0, 0, 0
	for _, s := range w.servers {
		if s.service == &w.plan.Services[0] && s.alive && s.born.Equal(epoch) {
			most, sum, n = max(most, s.ran), sum+s.ran, n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}
