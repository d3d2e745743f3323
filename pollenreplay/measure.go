package pollenreplay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollentrace"
)

// measures collects what is counted during a replay.
type measures struct {
	began   time.Time
	out     map[pollendocument.DomainName]time.Time
	outEver map[pollendocument.DomainName]bool

	flows, brokenPlanned, brokenOut, brokenUnplanned int
	requests, answered, refused, unknown             int
	doubled, notRunFalse, wrongAnswer, misrouted     int
	afterOut, afterDrain, coldOverrun, overrun       int
	cutRequests, hops, retries, queuePeak            int
	flowSamples, imbalanceCount                      float64
	seconds                                          map[int]*second
	completed                                        int
	notes                                            []string
	// refusals counts what agents refused, by reason.
	refusals map[pollenkernel.Refusal]int
}

// second counts the requests that were sent in one second.
type second struct{ sent, answered int }

func newMeasures() measures {
	return measures{
		out: map[pollendocument.DomainName]time.Time{}, outEver: map[pollendocument.DomainName]bool{},
		seconds: map[int]*second{}, refusals: map[pollenkernel.Refusal]int{},
	}
}

func (m *measures) note(format string, args ...any) {
	if len(m.notes) < maxNotes {
		m.notes = append(m.notes, fmt.Sprintf(format, args...))
	}
}

// second returns the counts of the second in which a request was sent.
func (m *measures) second(sent time.Time) *second {
	n := int(sent.Sub(m.began) / time.Second)
	if m.seconds[n] == nil {
		m.seconds[n] = &second{}
	}
	return m.seconds[n]
}

// outBound is the users' bound for "a few seconds".
const outBound = 3 * time.Second

// checkOut counts a packet or request that reaches a domain after it is out.
func (w *world) checkOut(p *process) {
	if at, ok := w.measures.out[p.domain]; ok && w.now.Sub(at) > outBound {
		w.measures.afterOut++
		w.measures.note("%s: work reached %s %s after its domain was taken out", w.now.Sub(w.start), p.name, w.now.Sub(at))
	}
}

// checkDrain counts new work for a backend server that leaves.
func (w *world) checkDrain(p *process) {
	if !p.drainedAt.IsZero() && w.now.Sub(p.drainedAt) > outBound {
		w.measures.afterDrain++
		w.measures.note("%s: new work reached %s %s after it began to drain", w.now.Sub(w.start), p.name, w.now.Sub(p.drainedAt))
	}
}

// sample measures the imbalance of flows over the backend servers that may
// take work.
func (w *world) sample() {
	for _, l := range w.services {
		var counts []float64
		for _, m := range w.truth.Agents(l.service.Document.Name) {
			if w.truth.TakesNewWork(m) {
				b := w.byAddress[m.Address].agent.backend
				b.eligible += sampleInterval
				counts = append(counts, float64(len(b.flows)))
			}
		}
		if ratio, ok := imbalance(counts); ok {
			w.measures.flowSamples += ratio
			w.measures.imbalanceCount++
		}
	}
}

// imbalance returns the highest count divided by the mean.
func imbalance(counts []float64) (ratio float64, ok bool) {
	highest, sum := 0.0, 0.0
	for _, c := range counts {
		highest = max(highest, c)
		sum += c
	}
	if sum == 0 {
		return 0, false
	}
	return highest * float64(len(counts)) / sum, true
}

// runImbalance returns the imbalance of the requests that ran on average on
// each backend server while it might take work, of the worst service.
func (w *world) runImbalance() float64 {
	worst := 0.0
	for _, l := range w.services {
		var busy []float64
		for _, a := range l.agents {
			if a.backend.eligible >= time.Second {
				busy = append(busy, a.backend.busy.Seconds()/a.backend.eligible.Seconds())
			}
		}
		if ratio, ok := imbalance(busy); ok {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// warmUpSeconds is the time at the start, when every backend server is cold,
// that the service is not measured.
const warmUpSeconds = 5

// service returns the least and the mean share of requests answered, by the
// second in which they were sent.
func (m *measures) service() (least, mean float64) {
	least = 1
	measured := 0
	for _, at := range slices.Sorted(maps.Keys(m.seconds)) {
		s := m.seconds[at]
		if s.sent == 0 || at < warmUpSeconds {
			continue
		}
		share := float64(s.answered) / float64(s.sent)
		least = min(least, share)
		mean += share
		measured++
	}
	if measured == 0 {
		return 1, 1
	}
	return least, mean / float64(measured)
}

func (w *world) result() *Result {
	m := &w.measures
	for _, l := range w.services {
		l.finish()
	}
	least, mean := m.service()
	flowImbalance := 0.0
	if m.imbalanceCount > 0 {
		flowImbalance = m.flowSamples / m.imbalanceCount
	}
	r := &Result{Trace: w.trace.Name, Variant: w.variant, Notes: m.notes, Refusals: m.refusals, Figures: map[pollentrace.Measure]float64{
		pollentrace.MeasureFlows: float64(m.flows), pollentrace.MeasureBrokenPlanned: float64(m.brokenPlanned),
		pollentrace.MeasureBrokenOut: float64(m.brokenOut), pollentrace.MeasureBrokenUnplanned: float64(m.brokenUnplanned),
		pollentrace.MeasureFlowImbalance: flowImbalance, pollentrace.MeasureRunImbalance: w.runImbalance(),
		pollentrace.MeasureRequests: float64(m.requests), pollentrace.MeasureAnswered: float64(m.answered),
		pollentrace.MeasureRefused: float64(m.refused), pollentrace.MeasureUnknown: float64(m.unknown),
		pollentrace.MeasureServiceMin: least, pollentrace.MeasureServiceMean: mean,
		pollentrace.MeasureDoubled: float64(m.doubled), pollentrace.MeasureNotRunFalse: float64(m.notRunFalse),
		pollentrace.MeasureWrongAnswer: float64(m.wrongAnswer), pollentrace.MeasureMisrouted: float64(m.misrouted),
		pollentrace.MeasureAfterOut: float64(m.afterOut), pollentrace.MeasureAfterDrain: float64(m.afterDrain),
		pollentrace.MeasureColdOverrun: float64(m.coldOverrun), pollentrace.MeasureOverrun: float64(m.overrun),
		pollentrace.MeasureCutRequests: float64(m.cutRequests), pollentrace.MeasureHops: float64(m.hops),
		pollentrace.MeasureRetries: float64(m.retries), pollentrace.MeasureQueuePeak: float64(m.queuePeak),
		pollentrace.MeasureThroughput: float64(m.completed) / w.trace.Duration.Seconds(),
	}}
	for _, e := range w.trace.Expect {
		if figure := r.Figures[e.Measure]; !e.Holds(figure) {
			word := "at most"
			if e.AtLeast {
				word = "at least"
			}
			r.FailedExpectations = append(r.FailedExpectations, fmt.Sprintf("%s is %.4g, expected %s %.4g", e.Measure, figure, word, e.Bound))
		}
	}
	return r
}
