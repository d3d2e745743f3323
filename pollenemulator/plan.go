// Package pollenemulator runs whole systems in virtual time: the balancers and gates
// of pollennode with an emulated network, disks, routers, callers and backend servers.
// A plan specifies the load, the faults and the expected figures. A run depends only on
// its plan, which contains the random seed.
package pollenemulator

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenyaml"
)

// FormatVersion is the version of the format of plan files.
const FormatVersion = 1

// A Scheme is the way in which routers distribute flows over balancers.
type Scheme string

// Schemes.
const (
	// SchemeSteady is rendezvous hashing: when a balancer joins or leaves, only the
	// flows move that it gains or loses.
	SchemeSteady Scheme = "steady"
	// SchemeModulo is the flow's hash modulo the number of balancers: nearly all flows
	// move when a balancer joins or leaves.
	SchemeModulo Scheme = "modulo"
)

// A Plan describes one run.
type Plan struct {
	Name string
	Seed uint64
	// Duration is the time from the start of the callers on. No request starts in its
	// last 3 s.
	Duration time.Duration
	Scheme   Scheme
	// Policy selects the gates of new flows; empty means the default policy.
	Policy pollensteer.PolicyName
	// Domains holds the failure domains. Hosts and callers are distributed over them.
	Domains []pollendocument.DomainName
	// Balancers is the number of balancers in each failure domain; the first Disks of
	// them have a disk.
	Balancers, Disks int
	// LossPerMille is the number of datagrams lost out of 1000.
	LossPerMille int
	Services     []Service
	Routes       []Route
	Events       []Event
	// Expectations holds the bounds within which the run's figures must be.
	Expectations []Expectation
}

// A Service is a group of identical backend servers.
type Service struct {
	Name    pollendocument.ServiceName
	Servers int
	// Slots is the number of requests that one server runs at a time.
	Slots int
	// Queue is the number of requests that can wait at one server; it sheds any
	// further one.
	Queue int
	// Work is the mean time that a request runs. Cold is the time after its start in
	// which a server is slower by coldFactor.
	Work, Cold time.Duration
}

// A Route is an address of a service, with the load that callers put on it.
type Route struct {
	Name    string
	Service pollendocument.ServiceName
	Kind    pollendocument.RouteKind
	// Flows is the number of callers that keep a flow open and send a request about
	// every Interval. Rate is the number of requests a second that each use a flow of
	// their own.
	Flows    int
	Interval time.Duration
	Rate     int
	// Objective is the time within which a request should be answered, and Timeout
	// the time after which its caller gives it up.
	Objective time.Duration
	Timeout   time.Duration
}

// An EventKind is the kind of a fault or an operation.
type EventKind string

// Kinds of events.
const (
	// EventStop ends a program in an orderly way, and EventKill without notice. It
	// starts again after 150 ms, or after Event.For if it is killed and that is longer.
	EventStop EventKind = "stop"
	EventKill EventKind = "kill"
	// EventMiss is EventKill of a host that, in repetition n, loses the n-th datagram that
	// it sends to another host or receives from one after its next start.
	EventMiss EventKind = "miss"
	// EventFreeze pauses a host for Event.For; what arrives is handled afterwards.
	EventFreeze EventKind = "freeze"
	// EventLoseDisk kills a balancer, which starts again with an empty disk. It has no
	// effect on a host without a disk.
	EventLoseDisk EventKind = "wipe"
	// EventDiskFull makes writes to a disk fail for Event.For. It has no effect on a
	// host without a disk.
	EventDiskFull EventKind = "disk-full"
	// EventPowerOff stops all hosts and backend servers for Event.For and up to 400 ms
	// more; disks lose what was not synced.
	EventPowerOff EventKind = "power-off"
	// EventPartition disconnects a failure domain from the others for Event.For, and
	// EventIsolate a host from all other hosts; callers still reach both. Event.Direction
	// limits the partition to one direction.
	EventPartition EventKind = "cut"
	EventIsolate   EventKind = "isolate"
	// EventReplaceServer replaces a backend server: a new one starts, and the old one drains
	// and leaves.
	EventReplaceServer EventKind = "drain"
	// EventCrash ends a backend server without notice; it starts again after
	// Event.For.
	EventCrash EventKind = "crash"
	// EventEvacuate evacuates a failure domain for Event.For.
	EventEvacuate EventKind = "empty"
	// EventDeclare submits a document with a higher version.
	EventDeclare EventKind = "declare"
	// EventAddBalancers adds a balancer to each failure domain. For Event.For no message
	// of several datagrams reaches them, as over a link that is full.
	EventAddBalancers EventKind = "add"
)

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		EventStop, EventKill, EventMiss, EventFreeze, EventLoseDisk, EventDiskFull, EventPowerOff, EventPartition, EventIsolate,
		EventReplaceServer, EventCrash, EventEvacuate, EventDeclare, EventAddBalancers,
	}
}

// A Direction is the direction in which a partition loses datagrams, seen from what is
// cut off.
type Direction string

// Directions of partitions.
const (
	DirectionBoth Direction = "both"
	DirectionOut  Direction = "out"
	DirectionIn   Direction = "in"
)

// An Event is a fault or an operation at one time of a run.
type Event struct {
	// At is the time since the start of the callers.
	At   time.Duration
	Kind EventKind
	// Target names a service for EventReplaceServer and EventCrash (empty means any) and a
	// failure domain for EventPartition and EventEvacuate (an unknown name means a
	// random one). For events at hosts it names one of the groups balancers, gates,
	// disks and leader, of which a random running host is selected each time; any
	// other value means balancers.
	Target string
	// Count is the number of repetitions, Gap apart. EventAddBalancers, EventPowerOff,
	// EventPartition and EventEvacuate ignore both.
	Count int
	Gap   time.Duration
	// For is the duration of the fault.
	For time.Duration
	// Direction applies to EventPartition and EventIsolate.
	Direction Direction
}

// A Measure names a figure of a run.
type Measure string

// Measures.
const (
	// MeasureServed is the fraction of requests that were answered within their
	// objective, and MeasureAnswered the fraction that were answered at all.
	MeasureServed   Measure = "served"
	MeasureAnswered Measure = "answered"
	// MeasureMinServed is the lowest MeasureServed of any span of two seconds.
	MeasureMinServed Measure = "worst"
	// MeasureBroken counts open flows that were reset although their backend server
	// still held them.
	MeasureBroken Measure = "broken"
	// MeasureMisrouted counts opening packets that reached a server of another
	// service.
	MeasureMisrouted Measure = "misrouted"
	// MeasureAfterDrain counts opening packets that reached a draining server more than
	// 3 s after its gate acknowledged the drain; MeasureAfterEvacuation counts those that
	// reached an evacuated failure domain more than 5 s after the acknowledgement.
	MeasureAfterDrain      Measure = "drained"
	MeasureAfterEvacuation Measure = "emptied"
	// MeasureDuplicateRuns counts requests of unsafe routes that ran more than once.
	MeasureDuplicateRuns Measure = "doubled"
	// MeasureLostVersions is the highest acknowledged document version minus the version
	// in force at the end, or 0 if no acknowledged document was lost.
	MeasureLostVersions Measure = "lost"
	// MeasureUndecided counts calls of the operator that were not acknowledged within
	// 10 s, or were still pending at the end.
	MeasureUndecided Measure = "undecided"
	// MeasureMaxAckTime is the longest time until a call was acknowledged, in seconds.
	MeasureMaxAckTime Measure = "slowest"
	// MeasureMedian and MeasureP99 are the 50th and 99th percentile of the latency of
	// answered requests, in milliseconds.
	MeasureMedian Measure = "median"
	MeasureP99    Measure = "tail"
	// MeasureImbalance is the maximum number of requests that a server of the first
	// service ran, divided by the mean. It includes only the servers that ran without a
	// restart for the whole run.
	MeasureImbalance Measure = "imbalance"
	// MeasureMessages is the number of datagrams and messages between nodes per
	// second.
	MeasureMessages Measure = "messages"
	// MeasureBytes is the mean number of bytes per second that a balancer sent to
	// other nodes, and MeasureMaxBytes that of the balancer that sent most.
	MeasureBytes    Measure = "bytes"
	MeasureMaxBytes Measure = "busiest"
)

// Measures returns all measures in the order in which they are reported.
func Measures() []Measure {
	return []Measure{
		MeasureServed, MeasureAnswered, MeasureMinServed, MeasureBroken, MeasureMisrouted, MeasureAfterDrain,
		MeasureAfterEvacuation, MeasureDuplicateRuns, MeasureLostVersions, MeasureUndecided, MeasureMaxAckTime, MeasureMedian,
		MeasureP99, MeasureImbalance, MeasureMessages, MeasureBytes, MeasureMaxBytes,
	}
}

// An Expectation is a lower or upper bound of a measure.
type Expectation struct {
	Measure Measure
	Bound   float64
	// AtLeast is true if Bound is the minimum of the measure, and false if it is the
	// maximum.
	AtLeast bool
}

// Scale multiplies the number of callers and the request rates by percent/100,
// rounding down.
func (p *Plan) Scale(percent int) {
	const whole = 100
	for i := range p.Routes {
		p.Routes[i].Flows = p.Routes[i].Flows * percent / whole
		p.Routes[i].Rate = p.Routes[i].Rate * percent / whole
	}
}

// Limits of a plan's values.
const (
	maxHosts    = 2000
	maxCount    = 100_000
	maxDuration = time.Hour
	// thousand is the denominator of Plan.LossPerMille, and the maximum length of a name in
	// bytes.
	thousand = 1000
)

// Load reads a plan from a file. The error names the file, and lists all problems of
// its content.
func Load(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	return Read(file, text)
}

// Read parses and validates the text of a plan; file is used in messages only. The
// error lists every problem with its line.
func Read(file string, text []byte) (*Plan, error) {
	report := &pollenyaml.Report{File: file}
	root := pollenyaml.Parse(report, text)
	if root == nil {
		return nil, report.Err()
	}
	p := &Plan{Scheme: SchemeSteady, Balancers: 2, Disks: 1}
	format := 0
	pollenyaml.Required(root, "format", &format, pollenyaml.Integer(FormatVersion, FormatVersion))
	pollenyaml.Required(root, "name", &p.Name, pollenyaml.Text(thousand))
	pollenyaml.Required(root, "seed", &p.Seed, pollenyaml.Integer[uint64](0, 1<<62))
	pollenyaml.Required(root, "duration", &p.Duration, pollenyaml.Duration(time.Second, maxDuration))
	pollenyaml.Optional(root, "scheme", &p.Scheme, pollenyaml.Enum(SchemeSteady, SchemeModulo))
	pollenyaml.ScalarList(root, "domains", true, &p.Domains, pollenyaml.Name[pollendocument.DomainName]())
	pollenyaml.Optional(root, "balancers", &p.Balancers, pollenyaml.Integer(1, maxHosts))
	pollenyaml.Optional(root, "disks", &p.Disks, pollenyaml.Integer(1, maxHosts))
	pollenyaml.Optional(root, "loss", &p.LossPerMille, pollenyaml.Integer(0, thousand))
	root.List("services", true, func(m *pollenyaml.Mapping) { p.Services = append(p.Services, readService(m)) })
	root.List("routes", true, func(m *pollenyaml.Mapping) { p.Routes = append(p.Routes, readRoute(m)) })
	root.List("events", false, func(m *pollenyaml.Mapping) { p.Events = append(p.Events, readEvent(m)) })
	root.List("expect", false, func(m *pollenyaml.Mapping) { p.Expectations = append(p.Expectations, readExpectation(m)) })
	root.ReportUnknown("format", "name", "seed", "duration", "scheme", "domains", "balancers", "disks", "loss", "services",
		"routes", "events", "expect")
	return p, report.Err()
}

func readService(m *pollenyaml.Mapping) Service {
	s := Service{Slots: 2, Queue: 20, Work: 20 * time.Millisecond}
	pollenyaml.Required(m, "service", &s.Name, pollenyaml.Name[pollendocument.ServiceName]())
	pollenyaml.Required(m, "servers", &s.Servers, pollenyaml.Integer(1, maxHosts))
	pollenyaml.Optional(m, "slots", &s.Slots, pollenyaml.Integer(1, maxCount))
	pollenyaml.Optional(m, "queue", &s.Queue, pollenyaml.Integer(0, maxCount))
	pollenyaml.Optional(m, "work", &s.Work, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Optional(m, "cold", &s.Cold, pollenyaml.Duration(0, time.Minute))
	m.ReportUnknown("service", "servers", "slots", "queue", "work", "cold")
	return s
}

func readRoute(m *pollenyaml.Mapping) Route {
	r := Route{Interval: time.Second, Kind: pollendocument.RouteSafe}
	pollenyaml.Required(m, "route", &r.Name, pollenyaml.Text(thousand))
	pollenyaml.Required(m, "service", &r.Service, pollenyaml.Name[pollendocument.ServiceName]())
	pollenyaml.Optional(m, "kind", &r.Kind, pollenyaml.Enum(pollendocument.RouteKinds()...))
	pollenyaml.Optional(m, "flows", &r.Flows, pollenyaml.Integer(0, maxCount))
	pollenyaml.Optional(m, "interval", &r.Interval, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Optional(m, "rate", &r.Rate, pollenyaml.Integer(0, maxCount))
	pollenyaml.Required(m, "objective", &r.Objective, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Required(m, "timeout", &r.Timeout, pollenyaml.Duration(time.Millisecond, time.Minute))
	m.ReportUnknown("route", "service", "kind", "flows", "interval", "rate", "objective", "timeout")
	return r
}

func readEvent(m *pollenyaml.Mapping) Event {
	e := Event{Count: 1, Gap: time.Second, Direction: DirectionBoth}
	pollenyaml.Required(m, "at", &e.At, pollenyaml.Duration(0, maxDuration))
	pollenyaml.Required(m, "do", &e.Kind, pollenyaml.Enum(EventKinds()...))
	pollenyaml.Optional(m, "target", &e.Target, pollenyaml.Name[string]())
	pollenyaml.Optional(m, "count", &e.Count, pollenyaml.Integer(1, maxHosts))
	pollenyaml.Optional(m, "gap", &e.Gap, pollenyaml.Duration(0, time.Minute))
	pollenyaml.Optional(m, "for", &e.For, pollenyaml.Duration(0, maxDuration))
	pollenyaml.Optional(m, "direction", &e.Direction, pollenyaml.Enum(DirectionBoth, DirectionOut, DirectionIn))
	m.ReportUnknown("at", "do", "target", "count", "gap", "for", "direction")
	return e
}

func readExpectation(m *pollenyaml.Mapping) Expectation {
	e := Expectation{AtLeast: m.Has("least")}
	pollenyaml.Required(m, "measure", &e.Measure, pollenyaml.Enum(Measures()...))
	if e.AtLeast == m.Has("most") {
		m.AddProblem("most", "", fmt.Sprintf("specify either most or least for %s", e.Measure))
	}
	pollenyaml.Optional(m, "least", &e.Bound, pollenyaml.Number())
	pollenyaml.Optional(m, "most", &e.Bound, pollenyaml.Number())
	m.ReportUnknown("measure", "most", "least")
	return e
}
