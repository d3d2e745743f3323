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
	drainDeadline      = 3 * time.Second
	evacuationDeadline = 5 * time.Second
)

// windowSpan is the length of the spans of which the worst is measured.
const windowLength = 2 * time.Second

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
type measurements struct {
	w               *world
	startTime       time.Time
	lastRequestID   uint64
	openedFlows     uint32
	started         int
	withinObjective int
	answered        int
	messages        int
	// windows holds the requests and those in time by their span.
	windows               map[int]*window
	unsafeRuns            map[uint64]int
	unsafeRoutes          map[uint64]*route
	broken                int
	misrouted             int
	openedAfterDrain      int
	openedAfterEvacuation int
	notes                 []string
	// times holds how long each answered request took.
	latencies []time.Duration
}

type window struct{ started, withinObjective int }

func newMeasurements(w *world) *measurements {
	return &measurements{w: w, windows: map[int]*window{}, unsafeRuns: map[uint64]int{}, unsafeRoutes: map[uint64]*route{}}
}

// settle is how long before the end no request is asked any more.
const coolDown = 3 * time.Second

func (m *measurements) requestsEnded() bool {
	return m.w.now.Sub(m.startTime) > m.w.plan.Duration-coolDown
}

func (m *measurements) window(at time.Time) *window {
	i := int(at.Sub(m.startTime) / windowLength)
	if m.windows[i] == nil {
		m.windows[i] = &window{}
	}
	return m.windows[i]
}

// asked counts a request and returns its identity.
func (m *measurements) countRequest(r *route) uint64 {
	m.lastRequestID++
	m.started++
	m.window(m.w.now).started++
	if r.Kind == pollendocument.RouteUnsafe {
		m.unsafeRoutes[m.lastRequestID] = r
	}
	return m.lastRequestID
}

func (m *measurements) countFinished(c *caller, answered bool) {
	if !answered {
		m.addNote(c)
		return
	}
	m.answered++
	m.latencies = append(m.latencies, m.w.now.Sub(c.startTime))
	if m.w.now.Sub(c.startTime) <= c.r.Objective {
		m.withinObjective++
		m.window(c.startTime).withinObjective++
	}
}

// maxNotes bounds the requests that a result describes.
const maxNotes = 20

// note describes a request that was not answered.
func (m *measurements) addNote(c *caller) {
	if len(m.notes) >= maxNotes {
		return
	}
	text := fmt.Sprintf("%s: request %d of %s in %s, asked at %s, not answered after %d tries",
		m.w.now.Sub(m.startTime), c.requestID, c.r.Name, c.domain, c.startTime.Sub(m.startTime), c.attempts)
	if c.flow != nil {
		text += fmt.Sprintf("; flow of %s, open %t", c.flow.endpoints.Caller, c.flow.open)
	}
	m.notes = append(m.notes, text)
}

func (m *measurements) countRun(s *server, id uint64) {
	s.runs++
	if m.unsafeRoutes[id] != nil {
		m.unsafeRuns[id]++
	}
}

// opened notes that a backend server took an opening packet.
func (m *measurements) countOpening(s *server, f pollenpacket.Flow) {
	for _, r := range m.w.routes {
		if r.address == f.Service && r.Service != s.service.Name {
			m.misrouted++
		}
	}
	if !s.drainedAt.IsZero() && m.w.now.Sub(s.drainedAt) > drainDeadline {
		m.openedAfterDrain++
	}
	if evacuatedAt, evacuated := m.w.operator.evacuatedAt[s.host.domain]; evacuated && m.w.now.Sub(evacuatedAt) > evacuationDeadline {
		m.openedAfterEvacuation++
	}
}

// sawReset notes that the system reset a flow.
func (m *measurements) countReset(f pollenpacket.Flow) {
	for _, s := range m.w.servers {
		if h := s.flows[f]; s.alive && h != nil && h.opened {
			m.broken++
		}
	}
}

func (w *world) result() *Result {
	m, o := w.measurements, w.operator
	r := &Result{Plan: w.plan.Name, Notes: m.notes, Figures: map[Measure]float64{
		MeasureServed:    ratio(m.withinObjective, m.started),
		MeasureAnswered:  ratio(m.answered, m.started),
		MeasureWorst:     1,
		MeasureBroken:    float64(m.broken),
		MeasureMisrouted: float64(m.misrouted),
		MeasureDrained:   float64(m.openedAfterDrain),
		MeasureEvacuated: float64(m.openedAfterEvacuation),
		MeasureUndecided: float64(o.undecided + len(o.pending)),
		MeasureSlowest:   o.slowestAck.Seconds(),
		MeasureMessages:  float64(m.messages) / (w.plan.Duration + warmUp).Seconds(),
		MeasureImbalance: w.imbalance(),
		MeasureMedian:    m.quantile(0.5),
		MeasureP99:       m.quantile(0.99),
	}}
	for _, v := range m.windows {
		r.Figures[MeasureWorst] = min(r.Figures[MeasureWorst], ratio(v.withinObjective, v.started))
	}
	for _, n := range m.unsafeRuns {
		if n > 1 {
			r.Figures[MeasureDoubled]++
		}
	}
	if o.readVersion < o.acknowledged {
		r.Figures[MeasureLostOrders] = float64(o.acknowledged - o.readVersion)
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
func (m *measurements) quantile(fraction float64) float64 {
	if len(m.latencies) == 0 {
		return 0
	}
	slices.Sort(m.latencies)
	return float64(m.latencies[int(fraction*float64(len(m.latencies)-1))]) / float64(time.Millisecond)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// imbalance returns the most requests that a server of the first service ran,
// over the mean, of those that lived all day.
func (w *world) imbalance() float64 {
	maximum, sum, n := 0, 0, 0
	for _, s := range w.servers {
		if s.service == &w.plan.Services[0] && s.alive && s.startTime.Equal(epoch) {
			maximum, sum, n = max(maximum, s.runs), sum+s.runs, n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(maximum) * float64(n) / float64(sum)
}
