// Package pollenemulator runs whole systems in virtual time: the programs of
// pollennode with a network, disks, routers, callers and backend servers in
// memory. A plan says what they meet, and what must come of it.
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

// Format is the version of the plans' format.
const FormatVersion = 1

// A Scheme says how routers spread flows over balancers.
type Scheme string

// Schemes.
const (
	// SchemeSteady moves only the flows of a balancer that joins or leaves.
	SchemeSteady Scheme = "steady"
	// SchemeModulo moves nearly all flows whenever one does.
	SchemeModulo Scheme = "modulo"
)

// A Plan describes one day.
type Plan struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	Scheme   Scheme
	// Policy chooses the gates of new flows; empty means the default.
	Policy pollensteer.PolicyName
	// Domains holds the failure domains; hosts and callers are spread over them.
	Domains []pollendocument.DomainName
	// Balancers is their number in each domain; the first Disks of them have a
	// disk. Spares are the balancers that an event may add in each domain.
	Balancers, Disks int
	// Loss is the share of datagrams that are lost, in thousandths.
	Loss     int
	Services []Service
	Routes   []Route
	Events   []Event
	Expect   []Expectation
}

// A Service is a group of equal backend servers.
type Service struct {
	Name    pollendocument.ServiceName
	Servers int
	Slots   int
	// Queue is the number of requests that wait at one server before it sheds.
	Queue int
	// Work is the mean time of a request; Cold is how long a server is slower by
	// coldFactor after it started.
	Work, Cold time.Duration
}

// A Route is an address with its callers.
type Route struct {
	Name    string
	Service pollendocument.ServiceName
	Kind    pollendocument.RouteKind
	// Flows is the number of callers that keep a flow open and ask every
	// Interval; Rate is the number of single requests a second.
	Flows     int
	Interval  time.Duration
	Rate      int
	Objective time.Duration
	Timeout   time.Duration
}

// An EventKind says what happens.
type EventKind string

// Kinds of events.
const (
	// EventStop and EventKill end a program with and without notice; it starts
	// again at once.
	EventStop EventKind = "stop"
	EventKill EventKind = "kill"
	// EventFreeze lets a program stand still for a time.
	EventFreeze EventKind = "freeze"
	// EventWipe kills a balancer, which comes back with an empty disk.
	EventLoseDisk EventKind = "wipe"
	// EventDisk makes a disk refuse writes for a time.
	EventDiskFull EventKind = "disk-full"
	// EventPower stops everything; disks lose what was not synced.
	EventPowerOff EventKind = "power-off"
	// EventCut separates a domain from the others for a time.
	EventPartition EventKind = "cut"
	// EventDrain replaces a backend server: it drains and leaves.
	EventDrain EventKind = "drain"
	// EventCrash lets a backend server vanish; it starts again after a time.
	EventCrash EventKind = "crash"
	// EventEmpty takes a domain out, and back after a time.
	EventEvacuate EventKind = "empty"
	// EventDeclare submits a document with a higher version.
	EventDeclare EventKind = "declare"
	// EventAdd starts one more balancer in every domain.
	EventAddBalancers EventKind = "add"
)

// EventKinds returns every kind of event.
func EventKinds() []EventKind {
	return []EventKind{
		EventStop, EventKill, EventFreeze, EventLoseDisk, EventDiskFull, EventPowerOff, EventPartition, EventDrain, EventCrash,
		EventEvacuate, EventDeclare, EventAddBalancers,
	}
}

// An Event happens at one time of the day.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Target names a host, a domain, or one of the groups balancers, gates,
	// disks and leader; of a group, Count hosts are meant, one each Gap.
	Target string
	Count  int
	Gap    time.Duration
	For    time.Duration
}

// A Measure names a figure of a run.
type Measure string

// Measures.
const (
	// MeasureServed is the share of requests that were answered in time for
	// their objective, MeasureAnswered that of those answered at all.
	MeasureServed   Measure = "served"
	MeasureAnswered Measure = "answered"
	// MeasureWorst is the least MeasureServed of any two seconds.
	MeasureWorst Measure = "worst"
	// MeasureBroken counts open flows that the system reset while their backend
	// server held them.
	MeasureBroken Measure = "broken"
	// MeasureMisrouted counts flows that another service took.
	MeasureMisrouted Measure = "misrouted"
	// MeasureDrained and MeasureEmptied count flows that were opened at a server
	// that drained, or in an emptied domain, after the time that is allowed.
	MeasureDrained   Measure = "drained"
	MeasureEvacuated Measure = "emptied"
	// MeasureDoubled counts requests of unsafe routes that ran twice.
	MeasureDoubled Measure = "doubled"
	// MeasureLost counts acknowledged orders that were not in force at the end.
	MeasureLostOrders Measure = "lost"
	// MeasureUndecided counts orders that were never acknowledged.
	MeasureUndecided Measure = "undecided"
	// MeasureSlowest is the longest wait for an acknowledgement, in seconds.
	MeasureSlowest Measure = "slowest"
	// MeasureMedian and MeasureTail are the times of half and of 99 in 100 of the
	// answered requests, in milliseconds.
	MeasureMedian Measure = "median"
	MeasureP99    Measure = "tail"
	// MeasureImbalance is the most requests of a server over the mean.
	MeasureImbalance Measure = "imbalance"
	// MeasureMessages is the number of datagrams between nodes a second.
	MeasureMessages Measure = "messages"
)

// Measures returns every measure.
func Measures() []Measure {
	return []Measure{
		MeasureServed, MeasureAnswered, MeasureWorst, MeasureBroken, MeasureMisrouted, MeasureDrained,
		MeasureEvacuated, MeasureDoubled, MeasureLostOrders, MeasureUndecided, MeasureSlowest, MeasureMedian,
		MeasureP99, MeasureImbalance, MeasureMessages,
	}
}

// An Expectation bounds a measure.
type Expectation struct {
	Measure Measure
	Bound   float64
	// AtLeast is false when Bound is the most that is allowed.
	AtLeast bool
}

// Scale changes the number of callers and requests to so many percent.
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
	thousand    = 1000
)

// Load reads a plan from a file.
func Load(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	return Read(file, text)
}

// Read parses and checks a plan. The error lists every problem with its line.
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
	pollenyaml.Optional(root, "loss", &p.Loss, pollenyaml.Integer(0, thousand))
	root.List("services", true, func(m *pollenyaml.Mapping) { p.Services = append(p.Services, readService(m)) })
	root.List("routes", true, func(m *pollenyaml.Mapping) { p.Routes = append(p.Routes, readRoute(m)) })
	root.List("events", false, func(m *pollenyaml.Mapping) { p.Events = append(p.Events, readEvent(m)) })
	root.List("expect", false, func(m *pollenyaml.Mapping) { p.Expect = append(p.Expect, readExpectation(m)) })
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
	pollenyaml.Optional(m, "kind", &r.Kind, pollenyaml.Enum(pollendocument.RouteSafe, pollendocument.RouteUnsafe, pollendocument.RouteDownload))
	pollenyaml.Optional(m, "flows", &r.Flows, pollenyaml.Integer(0, maxCount))
	pollenyaml.Optional(m, "interval", &r.Interval, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Optional(m, "rate", &r.Rate, pollenyaml.Integer(0, maxCount))
	pollenyaml.Required(m, "objective", &r.Objective, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Required(m, "timeout", &r.Timeout, pollenyaml.Duration(time.Millisecond, time.Minute))
	m.ReportUnknown("route", "service", "kind", "flows", "interval", "rate", "objective", "timeout")
	return r
}

func readEvent(m *pollenyaml.Mapping) Event {
	e := Event{Count: 1, Gap: time.Second}
	pollenyaml.Required(m, "at", &e.At, pollenyaml.Duration(0, maxDuration))
	pollenyaml.Required(m, "do", &e.Kind, pollenyaml.Enum(EventKinds()...))
	pollenyaml.Optional(m, "target", &e.Target, pollenyaml.Name[string]())
	pollenyaml.Optional(m, "count", &e.Count, pollenyaml.Integer(1, maxHosts))
	pollenyaml.Optional(m, "gap", &e.Gap, pollenyaml.Duration(0, time.Minute))
	pollenyaml.Optional(m, "for", &e.For, pollenyaml.Duration(0, maxDuration))
	m.ReportUnknown("at", "do", "target", "count", "gap", "for")
	return e
}

func readExpectation(m *pollenyaml.Mapping) Expectation {
	e := Expectation{AtLeast: m.Has("least")}
	pollenyaml.Required(m, "measure", &e.Measure, pollenyaml.Enum(Measures()...))
	if e.AtLeast == m.Has("most") {
		m.AddProblem("most", "", fmt.Sprintf("most or least of %s, one of them", e.Measure))
	}
	pollenyaml.Optional(m, "least", &e.Bound, pollenyaml.Number())
	pollenyaml.Optional(m, "most", &e.Bound, pollenyaml.Number())
	m.ReportUnknown("measure", "most", "least")
	return e
}
