package pollenemulator

import (
	"fmt"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenpacket"
)

// Times after an acknowledgement by which every balancer must apply the change. Flows
// that are opened against it later are counted as errors.
const (
	drainDeadline      = 3 * time.Second
	evacuationDeadline = 5 * time.Second
)

// windowLength is the length of the spans of time for MeasureMinServed.
const windowLength = 2 * time.Second

// A Result holds the measured figures of a run and the expectations that failed.
type Result struct {
	// Plan is the plan's name.
	Plan    string
	Figures map[Measure]float64
	// FailedExpectations describes each expectation that was not met; it is empty
	// if the run passed.
	FailedExpectations []string
	// Notes describes the first requests that were not answered, at most maxNotes.
	Notes []string
}

// measurements counts what callers, backend servers and the operator observe.
type measurements struct {
	w *world
	// startTime is when the callers start.
	startTime     time.Time
	lastRequestID uint64
	// openedFlows also numbers the callers' addresses and ports.
	openedFlows     uint32
	started         int
	withinObjective int
	answered        int
	messages        int
	// windows is keyed by the number of the span in which a request started.
	windows map[int]*window
	// onceRuns counts the runs of each request that may run at most once, and
	// onceRoutes holds the routes of these requests; both by request ID.
	onceRuns              map[uint64]int
	onceRoutes            map[uint64]*route
	broken                int
	misrouted             int
	openedAfterDrain      int
	openedAfterEvacuation int
	notes                 []string
	// latencies holds the time that each answered request took.
	latencies []time.Duration
}

// window counts the requests that were started in one span of windowLength, and
// those of them that were answered within their objective.
type window struct{ started, withinObjective int }

func newMeasurements(w *world) *measurements {
	return &measurements{w: w, windows: map[int]*window{}, onceRuns: map[uint64]int{}, onceRoutes: map[uint64]*route{}}
}

// coolDown is the time before the end of a run in which no request is started, so
// that those in progress can end.
const coolDown = 3 * time.Second

// inCoolDown reports whether the time for new requests is over.
func (m *measurements) inCoolDown() bool {
	return m.w.now.Sub(m.startTime) > m.w.plan.Duration-coolDown
}

func (m *measurements) window(at time.Time) *window {
	i := int(at.Sub(m.startTime) / windowLength)
	if m.windows[i] == nil {
		m.windows[i] = &window{}
	}
	return m.windows[i]
}

// countRequest counts a new request and returns its ID.
func (m *measurements) countRequest(r *route) uint64 {
	m.lastRequestID++
	m.started++
	m.window(m.w.now).started++
	if !r.Kind.Repeatable() {
		m.onceRoutes[m.lastRequestID] = r
	}
	return m.lastRequestID
}

// countFinished counts the end of the caller's request, answered or not.
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

// maxNotes is the maximum number of unanswered requests that a Result describes.
const maxNotes = 20

// addNote records a description of the caller's unanswered request.
func (m *measurements) addNote(c *caller) {
	if len(m.notes) >= maxNotes {
		return
	}
	text := fmt.Sprintf("%s: request %d of %s in %s, started at %s, not answered after %d attempts",
		m.w.now.Sub(m.startTime), c.requestID, c.r.Name, c.domain, c.startTime.Sub(m.startTime), c.attempts)
	if c.flow != nil {
		text += fmt.Sprintf("; flow of caller %s, open=%t", c.flow.endpoints.Caller, c.flow.open)
	}
	m.notes = append(m.notes, text)
}

// countRun counts a request that a backend server runs.
func (m *measurements) countRun(s *server, id uint64) {
	s.runs++
	if m.onceRoutes[id] != nil {
		m.onceRuns[id]++
	}
}

// countOpening checks a flow whose opening packet reached the backend server, and
// counts it if the flow belongs to another service, the server has drained, or its
// failure domain is evacuated.
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

// countReset counts a reset that reached a caller as a broken flow if a running
// backend server still holds the flow.
func (m *measurements) countReset(f pollenpacket.Flow) {
	for _, s := range m.w.servers {
		if held := s.flows[f]; s.alive && held != nil && held.opened {
			m.broken++
		}
	}
}

// sentBytes returns the mean and the highest number of bytes per second that a
// balancer sent to other nodes.
func (w *world) sentBytes() (mean, most float64) {
	seconds := (w.plan.Duration + warmUp).Seconds()
	balancers := 0
	for _, h := range w.hosts {
		if h.server != nil {
			continue
		}
		balancers++
		mean += float64(h.sentBytes) / seconds
		most = max(most, float64(h.sentBytes)/seconds)
	}
	return mean / float64(max(1, balancers)), most
}

// result computes the figures and compares them with the plan's expectations.
func (w *world) result() *Result {
	m, o := w.measurements, w.operator
	r := &Result{Plan: w.plan.Name, Notes: m.notes, Figures: map[Measure]float64{
		MeasureServed:          ratio(m.withinObjective, m.started),
		MeasureAnswered:        ratio(m.answered, m.started),
		MeasureMinServed:       1,
		MeasureBroken:          float64(m.broken),
		MeasureMisrouted:       float64(m.misrouted),
		MeasureAfterDrain:      float64(m.openedAfterDrain),
		MeasureAfterEvacuation: float64(m.openedAfterEvacuation),
		MeasureUndecided:       float64(o.undecided + len(o.pending)),
		MeasureMaxAckTime:      o.slowestAck.Seconds(),
		MeasureMessages:        float64(m.messages) / (w.plan.Duration + warmUp).Seconds(),
		MeasureImbalance:       w.imbalance(),
		MeasureMedian:          m.quantile(0.5),
		MeasureP99:             m.quantile(0.99),
	}}
	r.Figures[MeasureBytes], r.Figures[MeasureMaxBytes] = w.sentBytes()
	for _, v := range m.windows {
		r.Figures[MeasureMinServed] = min(r.Figures[MeasureMinServed], ratio(v.withinObjective, v.started))
	}
	for _, n := range m.onceRuns {
		if n > 1 {
			r.Figures[MeasureDuplicateRuns]++
		}
	}
	if o.readVersion < o.acknowledged {
		r.Figures[MeasureLostVersions] = float64(o.acknowledged - o.readVersion)
	}
	for _, e := range w.plan.Expectations {
		got := r.Figures[e.Measure]
		if e.AtLeast && got < e.Bound {
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.4g, expected at least %g", e.Measure, got, e.Bound))
		}
		if !e.AtLeast && got > e.Bound {
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.4g, expected at most %g", e.Measure, got, e.Bound))
		}
	}
	return r
}

// quantile returns the latency, in milliseconds, within which that fraction of the
// answered requests were answered. It returns 0 if none were.
func (m *measurements) quantile(fraction float64) float64 {
	if len(m.latencies) == 0 {
		return 0
	}
	slices.Sort(m.latencies)
	return float64(m.latencies[int(fraction*float64(len(m.latencies)-1))]) / float64(time.Millisecond)
}

// ratio returns part/whole, and 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// imbalance returns the maximum number of requests that a backend server of the first
// service ran, divided by the mean, or 0 if none ran a request. It includes only the
// servers that ran without a restart for the whole run.
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
