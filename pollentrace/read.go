package pollentrace

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenyaml"
)

// Limits of the values in a trace file.
const (
	maxDuration = time.Hour
	maxCount    = 1_000_000
	maxTargets  = 200
	// maxPercent is also the maximum length of a trace's name in bytes.
	maxPercent = 100
	// maxRate is in requests per second.
	maxRate = 100_000
)

// Load reads, parses and checks a trace file.
func Load(file string) (*Trace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read trace file")
	}
	return Read(file, text)
}

// Read parses and checks the text of a trace. file is its name in error
// messages. The error lists every problem with its line.
func Read(file string, text []byte) (*Trace, error) {
	report := &pollenyaml.Report{File: file}
	root := pollenyaml.Parse(report, text)
	if root == nil {
		return nil, report.Err()
	}
	t := &Trace{Latency: time.Millisecond, BalancerCount: 2}
	format := 0
	pollenyaml.Required(root, "format", &format, pollenyaml.Integer(FormatVersion, FormatVersion))
	pollenyaml.Required(root, "name", &t.Name, pollenyaml.Text(maxPercent))
	pollenyaml.Required(root, "seed", &t.Seed, pollenyaml.Integer[uint64](0, 1<<62))
	pollenyaml.Required(root, "duration", &t.Duration, pollenyaml.Duration(time.Second, maxDuration))
	pollenyaml.Optional(root, "latency", &t.Latency, pollenyaml.Duration(0, time.Second))
	pollenyaml.Optional(root, "skew", &t.Skew, pollenyaml.Duration(0, time.Minute))
	pollenyaml.Optional(root, "loss", &t.LossPercent, pollenyaml.Integer(0, maxPercent))
	pollenyaml.Optional(root, "balancers", &t.BalancerCount, pollenyaml.Integer(1, maxTargets))
	pollenyaml.ScalarList(root, "domains", true, &t.Domains, pollenyaml.Name[pollendocument.DomainName]())
	root.List("services", true, func(m *pollenyaml.Mapping) { t.Services = append(t.Services, readService(m, len(t.Services))) })
	root.List("events", false, func(m *pollenyaml.Mapping) { t.Events = append(t.Events, readEvent(m)) })
	root.List("expect", false, func(m *pollenyaml.Mapping) { t.Expectations = append(t.Expectations, readExpectation(m)) })
	root.ReportUnknown("format", "name", "seed", "duration", "latency", "skew", "loss", "balancers", "domains", "services", "events", "expect")
	return t, report.Err()
}

// readService reads the service at the index number. Its address is derived
// from number, so that addresses are unique.
func readService(m *pollenyaml.Mapping, number int) Service {
	const firstPort = 4430
	s := Service{
		PacketInterval: 500 * time.Millisecond, WorkTime: 50 * time.Millisecond, ColdDuration: 2 * time.Second,
		Settings: pollendocument.Service{
			Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, 1}), uint16(firstPort+number)),
			ColdLimit: 1, QueueLimit: 16, RequestTimeout: 2 * time.Second, Retention: time.Minute, IdleTimeout: 90 * time.Second,
		},
	}
	d := &s.Settings
	pollenyaml.Required(m, "service", &d.Name, pollenyaml.Name[pollendocument.ServiceName]())
	pollenyaml.Required(m, "delivery", &d.Delivery, pollenyaml.Enum(pollendocument.DeliveryRelay, pollendocument.DeliveryHTTP))
	pollenyaml.Required(m, "targets", &s.ServerCount, pollenyaml.Integer(1, maxTargets))
	pollenyaml.Required(m, "slots", &d.Slots, pollenyaml.Integer(1, maxCount))
	pollenyaml.Required(m, "connections", &d.ConnectionLimit, pollenyaml.Integer(1, maxCount))
	pollenyaml.Optional(m, "cold", &d.ColdLimit, pollenyaml.Integer(1, maxCount))
	pollenyaml.Optional(m, "queue", &d.QueueLimit, pollenyaml.Integer(0, maxCount))
	pollenyaml.Optional(m, "deadline", &d.RequestTimeout, pollenyaml.Duration(0, time.Minute))
	pollenyaml.Optional(m, "retention", &d.Retention, pollenyaml.Duration(time.Second, time.Hour))
	pollenyaml.Optional(m, "flows", &s.FlowCount, pollenyaml.Integer(0, maxCount))
	pollenyaml.Optional(m, "interval", &s.PacketInterval, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Optional(m, "rate", &s.RequestRate, pollenyaml.Integer(0, maxRate))
	pollenyaml.Optional(m, "work", &s.WorkTime, pollenyaml.Duration(time.Millisecond, time.Minute))
	pollenyaml.Optional(m, "keyed", &s.KeyedPercent, pollenyaml.Integer(0, maxPercent))
	pollenyaml.Optional(m, "again", &s.RepeatPercent, pollenyaml.Integer(0, maxPercent))
	pollenyaml.Optional(m, "cold-time", &s.ColdDuration, pollenyaml.Duration(0, time.Minute))
	d.WarmUp = s.ColdDuration
	pollenyaml.Optional(m, "warm-up", &d.WarmUp, pollenyaml.Duration(0, time.Hour))
	m.ReportUnknown("service", "delivery", "targets", "slots", "connections", "cold", "queue", "deadline", "retention",
		"flows", "interval", "rate", "work", "keyed", "again", "cold-time", "warm-up")
	return s
}

func readEvent(m *pollenyaml.Mapping) Event {
	e := Event{}
	pollenyaml.Required(m, "at", &e.At, pollenyaml.Duration(0, maxDuration))
	pollenyaml.Required(m, "do", &e.Kind, pollenyaml.Enum(EventKinds()...))
	pollenyaml.Optional(m, "target", &e.Target, pollenyaml.Name[string]())
	pollenyaml.Optional(m, "count", &e.Count, pollenyaml.Integer(0, maxCount))
	pollenyaml.Optional(m, "interval", &e.Interval, pollenyaml.Duration(0, maxDuration))
	m.ReportUnknown("at", "do", "target", "count", "interval")
	return e
}

func readExpectation(m *pollenyaml.Mapping) Expectation {
	e := Expectation{}
	pollenyaml.Required(m, "measure", &e.Measure, pollenyaml.Enum(Measures()...))
	e.AtLeast = m.Has("least")
	if e.AtLeast == m.Has("most") {
		m.AddProblem("most", "", fmt.Sprintf("either most or least for measure %s", e.Measure))
	}
	pollenyaml.Optional(m, "least", &e.Bound, pollenyaml.Number())
	pollenyaml.Optional(m, "most", &e.Bound, pollenyaml.Number())
	m.ReportUnknown("measure", "most", "least")
	return e
}
