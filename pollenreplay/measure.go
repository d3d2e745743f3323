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

// measures collects the counts of a replay.
type measures struct {
	// loadStart is when the load started.
	loadStart time.Time
	// evacuatedAt holds the evacuated failure domains and the time of the
	// evacuation; everEvacuated holds those that were evacuated at any time.
	evacuatedAt   map[pollendocument.DomainName]time.Time
	everEvacuated map[pollendocument.DomainName]bool

	flows, brokenPlanned, brokenEvacuated, brokenUnplanned int
	requests, answered, refused, unknown                   int
	duplicateRuns, falseNotRun, wrongAnswer, misrouted     int
	afterEvacuation, afterDrain, coldOverrun, overrun      int
	afterStop, hops, retries, queuePeak                    int
	flowImbalanceSum, flowImbalanceSamples                 float64
	seconds                                                map[int]*second
	completed                                              int
	notes                                                  []string
	// refusals counts the packets and requests that agents refused, by reason.
	refusals map[pollenkernel.Refusal]int
}

// second counts the requests that were sent in one second, and those of them
// that were answered before their deadline.
type second struct{ sent, answered int }

func newMeasures() measures {
	return measures{
		evacuatedAt: map[pollendocument.DomainName]time.Time{}, everEvacuated: map[pollendocument.DomainName]bool{},
		seconds: map[int]*second{}, refusals: map[pollenkernel.Refusal]int{},
	}
}

// addNote adds a formatted note to the result, or drops it after maxNotes notes.
func (m *measures) addNote(format string, args ...any) {
	if len(m.notes) < maxNotes {
		m.notes = append(m.notes, fmt.Sprintf(format, args...))
	}
}

// second returns the counts of the second that contains the time sent.
func (m *measures) second(sent time.Time) *second {
	n := int(sent.Sub(m.loadStart) / time.Second)
	if m.seconds[n] == nil {
		m.seconds[n] = &second{}
	}
	return m.seconds[n]
}

// maxEffectDelay is the time within which an evacuation or a drain must take
// effect. Users require "a few seconds".
const maxEffectDelay = 3 * time.Second

// checkEvacuated counts a packet or request that reaches a process after the
// evacuation of its failure domain should have taken effect.
func (sim *simulation) checkEvacuated(p *process) {
	if at, ok := sim.measures.evacuatedAt[p.domain]; ok && sim.now.Sub(at) > maxEffectDelay {
		sim.measures.afterEvacuation++
		sim.measures.addNote("%s: work reached %s %s after the evacuation of its failure domain", sim.now.Sub(sim.start), p.name, sim.now.Sub(at))
	}
}

// checkDrain counts new work that reaches a backend server after its drain
// should have taken effect.
func (sim *simulation) checkDrain(p *process) {
	if !p.drainStart.IsZero() && sim.now.Sub(p.drainStart) > maxEffectDelay {
		sim.measures.afterDrain++
		sim.measures.addNote("%s: new work reached %s %s after its drain started", sim.now.Sub(sim.start), p.name, sim.now.Sub(p.drainStart))
	}
}

// sampleFlowImbalance samples, for each service, the imbalance of open flows
// among the backend servers that take new work. It also adds up the eligible
// time of these.
func (sim *simulation) sampleFlowImbalance() {
	for _, l := range sim.services {
		var counts []float64
		for _, m := range sim.committedView.Agents(l.service.Settings.Name) {
			if sim.committedView.TakesNewWork(m) {
				b := sim.byAddress[m.Address].agent.backend
				b.eligibleTime += sampleInterval
				counts = append(counts, float64(len(b.flows)))
			}
		}
		if ratio, ok := imbalance(counts); ok {
			sim.measures.flowImbalanceSum += ratio
			sim.measures.flowImbalanceSamples++
		}
	}
}

// imbalance returns the highest count divided by the mean. ok is false if all
// counts are zero.
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

// runImbalance returns the imbalance of the service with the highest one. The
// load of a backend server is the mean number of requests that ran while it
// could take new work; backend servers that could do so for less than 1 s are
// left out.
func (sim *simulation) runImbalance() float64 {
	worst := 0.0
	for _, l := range sim.services {
		var busy []float64
		for _, a := range l.agents {
			if a.backend.eligibleTime >= time.Second {
				busy = append(busy, a.backend.busyTime.Seconds()/a.backend.eligibleTime.Seconds())
			}
		}
		if ratio, ok := imbalance(busy); ok {
			worst = max(worst, ratio)
		}
	}
	return worst
}

// warmUpSeconds is the time in seconds after the start of the load that is left
// out of the answered share, because all backend servers are cold then.
const warmUpSeconds = 5

// answeredShare returns the lowest and the mean share of requests that were
// answered before their deadline, over the seconds in which they were sent.
// Both are 1 if no requests were sent.
func (m *measures) answeredShare() (lowest, mean float64) {
	lowest = 1
	measured := 0
	for _, at := range slices.Sorted(maps.Keys(m.seconds)) {
		s := m.seconds[at]
		if s.sent == 0 || at < warmUpSeconds {
			continue
		}
		share := float64(s.answered) / float64(s.sent)
		lowest = min(lowest, share)
		mean += share
		measured++
	}
	if measured == 0 {
		return 1, 1
	}
	return lowest, mean / float64(measured)
}

// result returns the measured values and checks the trace's expectations.
func (sim *simulation) result() *Result {
	m := &sim.measures
	for _, l := range sim.services {
		l.countBrokenAtEnd()
	}
	lowest, mean := m.answeredShare()
	flowImbalance := 0.0
	if m.flowImbalanceSamples > 0 {
		flowImbalance = m.flowImbalanceSum / m.flowImbalanceSamples
	}
	r := &Result{Trace: sim.trace.Name, Variant: sim.variant, Notes: m.notes, Refusals: m.refusals, Figures: map[pollentrace.Measure]float64{
		pollentrace.MeasureFlows: float64(m.flows), pollentrace.MeasureBrokenPlanned: float64(m.brokenPlanned),
		pollentrace.MeasureBrokenDomainOut: float64(m.brokenEvacuated), pollentrace.MeasureBrokenUnplanned: float64(m.brokenUnplanned),
		pollentrace.MeasureFlowImbalance: flowImbalance, pollentrace.MeasureRunImbalance: sim.runImbalance(),
		pollentrace.MeasureRequests: float64(m.requests), pollentrace.MeasureAnswered: float64(m.answered),
		pollentrace.MeasureRefused: float64(m.refused), pollentrace.MeasureUnknown: float64(m.unknown),
		pollentrace.MeasureMinAnsweredShare: lowest, pollentrace.MeasureMeanAnsweredShare: mean,
		pollentrace.MeasureDuplicateRuns: float64(m.duplicateRuns), pollentrace.MeasureFalseNotRun: float64(m.falseNotRun),
		pollentrace.MeasureWrongAnswer: float64(m.wrongAnswer), pollentrace.MeasureMisrouted: float64(m.misrouted),
		pollentrace.MeasureAfterDomainOut: float64(m.afterEvacuation), pollentrace.MeasureAfterDrain: float64(m.afterDrain),
		pollentrace.MeasureColdOverrun: float64(m.coldOverrun), pollentrace.MeasureOverrun: float64(m.overrun),
		pollentrace.MeasureAfterStop: float64(m.afterStop), pollentrace.MeasureHops: float64(m.hops),
		pollentrace.MeasureRetries: float64(m.retries), pollentrace.MeasureQueuePeak: float64(m.queuePeak),
		pollentrace.MeasureThroughput: float64(m.completed) / sim.trace.Duration.Seconds(),
	}}
	for _, e := range sim.trace.Expectations {
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
