// Package pollentrace reads recorded traces. A trace describes a small system,
// the load on it, the events that happen to it, and the expected results.
package pollentrace

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// FormatVersion is the version of the trace file format.
const FormatVersion = 1

// A Trace describes one run of a system.
type Trace struct {
	Name string
	// Seed is the seed of all random draws.
	Seed uint64
	// Duration is the time for which there is load.
	Duration time.Duration
	// Latency is the one-way delay between two processes.
	Latency time.Duration
	// Skew is the maximum difference between the times at which a new view
	// reaches two processes.
	Skew time.Duration
	// LossPercent is the percentage of datagrams that are lost.
	LossPercent   int
	BalancerCount int
	Domains       []pollendocument.DomainName
	Services      []Service
	Events        []Event
	// Expectations bound the measures of a replay.
	Expectations []Expectation
}

// A Service describes a service, its backend servers and the load on it.
type Service struct {
	Settings    pollendocument.Service
	ServerCount int
	// FlowCount is the number of concurrently open flows, for relay delivery.
	// PacketInterval is the time between two packets of a flow.
	FlowCount      int
	PacketInterval time.Duration
	// RequestRate is the number of requests per second, for HTTP delivery.
	RequestRate int
	// WorkTime is the mean run time of a request. The actual run time is random,
	// between half and one and a half of it.
	WorkTime time.Duration
	// KeyedPercent is the percentage of requests that have an idempotency key.
	KeyedPercent int
	// RepeatPercent is the percentage of answered keyed requests that the caller
	// sends again.
	RepeatPercent int
	// ColdDuration is how long a backend server stays cold after its start.
	ColdDuration time.Duration
}

// An EventKind is the kind of an event.
type EventKind string

// Kinds of events. The target of an event is an agent, a balancer or a failure
// domain.
const (
	// EventDrain drains a backend server; EventUndrain ends the drain.
	EventDrain   EventKind = "drain"
	EventUndrain EventKind = "undrain"
	// EventWeight sets a backend server's weight to a random value from 50 to 150.
	EventWeight EventKind = "weight"
	// EventRestart stops a process as planned and starts it again.
	EventRestart EventKind = "restart"
	// EventKill stops a process abruptly; EventStart starts it again.
	EventKill  EventKind = "kill"
	EventStart EventKind = "start"
	// EventDomainOut evacuates a failure domain; EventDomainIn ends the
	// evacuation.
	EventDomainOut EventKind = "out"
	EventDomainIn  EventKind = "in"
	// EventCold restarts a backend server without notice, so that it is cold.
	EventCold EventKind = "cold"
	// EventPlanned makes Count random planned changes, one every Interval.
	EventPlanned EventKind = "planned"
	// EventRate sets the request rate of all services to Count percent of their
	// RequestRate.
	EventRate EventKind = "rate"
	// EventPartition stops the delivery of views to a process until EventHeal.
	EventPartition EventKind = "cut"
	EventHeal      EventKind = "heal"
)

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		EventDrain, EventUndrain, EventWeight, EventRestart, EventKill, EventStart,
		EventDomainOut, EventDomainIn, EventCold, EventPlanned, EventRate, EventPartition, EventHeal,
	}
}

// An Event is a planned change or a fault.
type Event struct {
	// At is the time since the start of the load.
	At   time.Duration
	Kind EventKind
	// Target is the name of the target; unused by EventPlanned and EventRate.
	Target string
	// Count is used by EventPlanned and EventRate, Interval by EventPlanned.
	Count    int
	Interval time.Duration
}

// A Measure is the name of a value that a replay measures.
type Measure string

// The measures. Some must be zero in every run of a correct system.
const (
	// MeasureFlows counts the flows that callers opened.
	MeasureFlows Measure = "flows"
	// MeasureBrokenPlanned counts the broken flows whose holder was not killed
	// and whose failure domain was never evacuated; must be zero.
	MeasureBrokenPlanned Measure = "broken-planned"
	// MeasureBrokenDomainOut counts the broken flows whose holder's failure
	// domain was evacuated at any time.
	MeasureBrokenDomainOut Measure = "broken-out"
	// MeasureBrokenUnplanned counts the flows that broke because their holder
	// was killed.
	MeasureBrokenUnplanned Measure = "broken-unplanned"
	// MeasureFlowImbalance is the highest number of flows on a backend server
	// divided by the mean, averaged over all samples.
	MeasureFlowImbalance Measure = "flow-imbalance"
	// MeasureRunImbalance is the highest mean number of running requests on a
	// backend server divided by the mean of its service, for the service with
	// the highest ratio.
	MeasureRunImbalance Measure = "run-imbalance"
	// MeasureRequests counts the requests that callers sent, without retries
	// and repetitions.
	MeasureRequests Measure = "requests"
	// MeasureAnswered counts the answered requests.
	MeasureAnswered Measure = "answered"
	// MeasureRefused counts the requests that callers gave up.
	MeasureRefused Measure = "refused"
	// MeasureMinAnsweredShare is the lowest share of requests that were
	// answered before their deadline in any second.
	MeasureMinAnsweredShare Measure = "service-min"
	// MeasureMeanAnsweredShare is the mean of these shares.
	MeasureMeanAnsweredShare Measure = "service-mean"
	// MeasureDuplicateRuns counts the repeated runs of keyed requests; must be
	// zero.
	MeasureDuplicateRuns Measure = "doubled"
	// MeasureFalseNotRun counts the refusals that report a request as not run
	// although it had run; must be zero.
	MeasureFalseNotRun Measure = "notrun-false"
	// MeasureWrongAnswer counts the requests that received the answer of
	// another request; must be zero.
	MeasureWrongAnswer Measure = "wrong-answer"
	// MeasureMisrouted counts the packets that reached an agent of another
	// service; must be zero.
	MeasureMisrouted Measure = "misrouted"
	// MeasureAfterDomainOut counts the packets and requests that reached a
	// failure domain after its evacuation should have taken effect; must be
	// zero.
	MeasureAfterDomainOut Measure = "after-out"
	// MeasureAfterDrain counts the new work that reached a backend server after
	// its drain should have taken effect; must be zero.
	MeasureAfterDrain Measure = "after-drain"
	// MeasureColdOverrun counts the units of work that exceeded a backend
	// server's cold limit; must be zero.
	MeasureColdOverrun Measure = "cold-overrun"
	// MeasureOverrun counts the units of work that exceeded a backend server's
	// slots; must be zero.
	MeasureOverrun Measure = "overrun"
	// MeasureAfterStop counts the requests that reached an agent after its
	// planned stop; must be zero.
	MeasureAfterStop Measure = "cut-requests"
	// MeasureHops counts the packets that an agent forwarded to another agent.
	MeasureHops Measure = "hops"
	// MeasureRetries counts the retries that agents made.
	MeasureRetries Measure = "retries"
	// MeasureUnknown counts the refusals that leave open whether the request
	// has run.
	MeasureUnknown Measure = "unknown"
	// MeasureThroughput is the mean number of answered requests per second.
	MeasureThroughput Measure = "throughput"
	// MeasureQueuePeak is the highest number of requests that waited at one
	// agent.
	MeasureQueuePeak Measure = "queue-peak"
)

// Measures returns all measures in the order in which they are printed.
func Measures() []Measure {
	return []Measure{
		MeasureFlows, MeasureBrokenPlanned, MeasureBrokenDomainOut, MeasureBrokenUnplanned,
		MeasureFlowImbalance, MeasureRunImbalance, MeasureRequests, MeasureAnswered, MeasureRefused,
		MeasureMinAnsweredShare, MeasureMeanAnsweredShare, MeasureThroughput, MeasureDuplicateRuns, MeasureFalseNotRun,
		MeasureWrongAnswer, MeasureMisrouted, MeasureAfterDomainOut, MeasureAfterDrain, MeasureColdOverrun,
		MeasureOverrun, MeasureAfterStop, MeasureUnknown, MeasureHops, MeasureRetries, MeasureQueuePeak,
	}
}

// An Expectation bounds a measure.
type Expectation struct {
	Measure Measure
	// Bound is the minimum if AtLeast is set, else the maximum.
	Bound   float64
	AtLeast bool
}

// Holds reports whether a measured value is within the bound.
func (e Expectation) Holds(figure float64) bool {
	if e.AtLeast {
		return figure >= e.Bound
	}
	return figure <= e.Bound
}
