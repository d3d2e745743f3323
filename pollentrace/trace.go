// Package pollentrace holds recorded traces: a small system, the load on it,
// what happens to it, and the outcomes that must follow.
package pollentrace

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// FormatVersion is the version of the trace's layout.
const FormatVersion = 1

// A Trace is one recorded run.
type Trace struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	// Latency is the one-way time between two processes.
	Latency time.Duration
	// Skew is the longest time by which a new view reaches one process later
	// than another.
	Skew time.Duration
	// LossPercent is the share of datagrams that are lost, in percent.
	LossPercent   int
	BalancerCount int
	Domains       []pollendocument.DomainName
	Services      []Service
	Events        []Event
	Expectations  []Expectation
}

// A Service is a service with its backend servers and its load.
type Service struct {
	Settings    pollendocument.Service
	ServerCount int
	// FlowCount is the number of flows that are open at a time, for relay
	// delivery, and Interval the time between two packets of one.
	FlowCount      int
	PacketInterval time.Duration
	// RequestRate is the number of requests a second, for http delivery.
	RequestRate int
	// WorkTime is the time a request runs; draws are between half and one and a
	// half of it.
	WorkTime time.Duration
	// KeyedPercent is the share of requests with an idempotency key, in percent.
	KeyedPercent int
	// RepeatPercent is the share of keyed requests that the caller sends once more after
	// it got the answer, in percent.
	RepeatPercent int
	// ColdDuration is how long a backend server's start is cold.
	ColdDuration time.Duration
}

// An EventKind says what happens.
type EventKind string

// Kinds of events. A target is an agent, a balancer or a failure domain.
const (
	// EventDrain lets a backend server leave; EventUndrain takes it back.
	EventDrain   EventKind = "drain"
	EventUndrain EventKind = "undrain"
	// EventWeight changes a backend server's weight at random.
	EventWeight EventKind = "weight"
	// EventRestart stops a process as planned and starts it after a while.
	EventRestart EventKind = "restart"
	// EventKill ends a process at once; EventStart starts it again.
	EventKill  EventKind = "kill"
	EventStart EventKind = "start"
	// EventDomainOut takes a failure domain out and EventIn brings it back.
	EventDomainOut EventKind = "out"
	EventDomainIn  EventKind = "in"
	// EventCold makes a backend server cold without a word.
	EventCold EventKind = "cold"
	// EventPlanned draws Count planned changes, one every Interval.
	EventPlanned EventKind = "planned"
	// EventRate multiplies every load by Count percent from then on.
	EventRate EventKind = "rate"
	// EventCut keeps views from a process until EventHeal.
	EventCut  EventKind = "cut"
	EventHeal EventKind = "heal"
)

// EventKinds returns every kind of event.
func EventKinds() []EventKind {
	return []EventKind{
		EventDrain, EventUndrain, EventWeight, EventRestart, EventKill, EventStart,
		EventDomainOut, EventDomainIn, EventCold, EventPlanned, EventRate, EventCut, EventHeal,
	}
}

// An Event is something that happens at a time.
type Event struct {
	At     time.Duration
	Kind   EventKind
	Target string
	// Count and Interval are for EventPlanned and EventRate.
	Count    int
	Interval time.Duration
}

// A Measure names a figure of a replay.
type Measure string

// Measures. Those marked never must be zero in every sound system.
const (
	MeasureFlows             Measure = "flows"
	MeasureBrokenPlanned     Measure = "broken-planned" // never
	MeasureBrokenDomainOut   Measure = "broken-out"
	MeasureBrokenUnplanned   Measure = "broken-unplanned"
	MeasureFlowImbalance     Measure = "flow-imbalance"
	MeasureRunImbalance      Measure = "run-imbalance"
	MeasureRequests          Measure = "requests"
	MeasureAnswered          Measure = "answered"
	MeasureRefused           Measure = "refused"
	MeasureMinAnsweredShare  Measure = "service-min"
	MeasureMeanAnsweredShare Measure = "service-mean"
	MeasureDuplicateRuns     Measure = "doubled"      // never
	MeasureFalseNotRun       Measure = "notrun-false" // never
	MeasureWrongAnswer       Measure = "wrong-answer" // never
	MeasureMisrouted         Measure = "misrouted"    // never
	MeasureAfterDomainOut    Measure = "after-out"    // never
	MeasureAfterDrain        Measure = "after-drain"  // never
	MeasureColdOverrun       Measure = "cold-overrun" // never
	MeasureOverrun           Measure = "overrun"      // never
	MeasureCutRequests       Measure = "cut-requests" // never
	MeasureHops              Measure = "hops"
	MeasureRetries           Measure = "retries"
	MeasureUnknown           Measure = "unknown"
	MeasureThroughput        Measure = "throughput"
	MeasureQueuePeak         Measure = "queue-peak"
)

// Measures returns every measure in the order in which they are printed.
func Measures() []Measure {
	return []Measure{
		MeasureFlows, MeasureBrokenPlanned, MeasureBrokenDomainOut, MeasureBrokenUnplanned,
		MeasureFlowImbalance, MeasureRunImbalance, MeasureRequests, MeasureAnswered, MeasureRefused,
		MeasureMinAnsweredShare, MeasureMeanAnsweredShare, MeasureThroughput, MeasureDuplicateRuns, MeasureFalseNotRun,
		MeasureWrongAnswer, MeasureMisrouted, MeasureAfterDomainOut, MeasureAfterDrain, MeasureColdOverrun,
		MeasureOverrun, MeasureCutRequests, MeasureUnknown, MeasureHops, MeasureRetries, MeasureQueuePeak,
	}
}

// An Expectation bounds a measure.
type Expectation struct {
	Measure Measure
	// Bound is the least figure allowed when AtLeast is set, else the most.
	Bound   float64
	AtLeast bool
}

// Holds reports whether a figure is within the bound.
func (e Expectation) Holds(figure float64) bool {
	if e.AtLeast {
		return figure >= e.Bound
	}
	return figure <= e.Bound
}
