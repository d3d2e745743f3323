package pollendocument

import (
	"slices"
	"strconv"
	"time"

	"pollenstep.example/pollenstep/pollenyaml"
)

// FormatVersion is the version of the document's text format.
const FormatVersion = 1

// Ranges of the values in a document.
const (
	maxSlots          = 10_000
	maxConnections    = 1_000_000
	maxQueue          = 10_000
	maxWeight         = 1_000
	maxVersion        = 1 << 62
	minRequestTimeout = 10 * time.Millisecond
	maxRequestTimeout = 10 * time.Minute
	minRetention      = time.Second
	maxRetention      = 24 * time.Hour
	minIdle           = time.Second
	maxIdle           = time.Hour
	maxWarmUp         = time.Hour
)

// Default values of a service's optional fields.
const (
	defaultQueue          = 16
	defaultRequestTimeout = 5 * time.Second
	defaultRetention      = 10 * time.Minute
	defaultIdle           = 90 * time.Second
	defaultWarmUp         = 5 * time.Second
)

// Read parses and checks the text of a document. The error lists every problem
// as "FILE:LINE: ...", one in each line; file is used only for this.
func Read(file string, text []byte) (*Document, error) {
	report := &pollenyaml.Report{File: file}
	root := pollenyaml.Parse(report, text)
	if root == nil {
		return nil, report.Err()
	}
	d := &Document{}
	format := 0
	pollenyaml.Required(root, "format", &format, pollenyaml.Integer(FormatVersion, FormatVersion))
	lines := map[string]int{}
	readDomains(root, d)
	root.List("teams", true, func(m *pollenyaml.Mapping) { readTeam(m, d, lines) })
	root.ReportUnknown("format", "version", "domains", "teams")
	for _, c := range d.Check() {
		report.Add(max(1, lines[string(c.Team)+"."+c.Field]), c.Field, c.Fault, "a document without contradictions")
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(d.Sections, func(a, b Section) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return d, nil
}

func readDomains(root *pollenyaml.Mapping, d *Document) {
	s := Section{Team: DomainsTeam}
	pollenyaml.Optional(root, "version", &s.Version, pollenyaml.Integer[uint64](0, maxVersion))
	seen := map[DomainName]bool{}
	root.List("domains", true, func(m *pollenyaml.Mapping) {
		v := Domain{State: DomainIn}
		pollenyaml.Required(m, "domain", &v.Name, pollenyaml.Name[DomainName]())
		pollenyaml.Optional(m, "state", &v.State, pollenyaml.Enum(DomainIn, DomainOut))
		m.ReportUnknown("domain", "state")
		if seen[v.Name] {
			m.AddProblem("domain", string(v.Name), "each failure domain once")
		}
		seen[v.Name] = true
		s.Domains = append(s.Domains, v)
	})
	s.Sort()
	d.Sections = append(d.Sections, s)
}

// readTeam adds the section of one team to the document. It stores the line of
// each service and server in lines, under the key TEAM.FIELD of a ValidationError.
func readTeam(m *pollenyaml.Mapping, d *Document, lines map[string]int) {
	s := Section{}
	pollenyaml.Required(m, "team", &s.Team, pollenyaml.Name[Team]())
	pollenyaml.Optional(m, "version", &s.Version, pollenyaml.Integer[uint64](0, maxVersion))
	if s.Team == DomainsTeam || d.Section(s.Team) != nil {
		m.AddProblem("team", string(s.Team), "each team once, and not "+strconv.Quote(string(DomainsTeam)))
	}
	m.List("services", false, func(m *pollenyaml.Mapping) {
		v := readService(m)
		lines[string(s.Team)+".services."+string(v.Name)] = m.Line()
		s.Services = append(s.Services, v)
	})
	m.List("servers", false, func(m *pollenyaml.Mapping) {
		v := Server{State: ServerActive, Weight: DefaultWeight}
		pollenyaml.Required(m, "server", &v.Name, pollenyaml.Name[ServerName]())
		pollenyaml.Optional(m, "state", &v.State, pollenyaml.Enum(ServerActive, ServerDraining))
		pollenyaml.Optional(m, "weight", &v.Weight, pollenyaml.Integer(1, maxWeight))
		m.ReportUnknown("server", "state", "weight")
		lines[string(s.Team)+".servers."+string(v.Name)] = m.Line()
		s.Servers = append(s.Servers, v)
	})
	m.ReportUnknown("team", "version", "services", "servers")
	s.Sort()
	d.Sections = append(d.Sections, s)
}

func readService(m *pollenyaml.Mapping) Service {
	v := Service{
		QueueLimit: defaultQueue, RequestTimeout: defaultRequestTimeout, Retention: defaultRetention, IdleTimeout: defaultIdle, ColdLimit: 1,
		WarmUp: defaultWarmUp,
	}
	pollenyaml.Required(m, "service", &v.Name, pollenyaml.Name[ServiceName]())
	pollenyaml.Required(m, "address", &v.Address, pollenyaml.AddrPort())
	pollenyaml.Required(m, "delivery", &v.Delivery, pollenyaml.Enum(DeliveryRelay, DeliveryHTTP))
	pollenyaml.Required(m, "slots", &v.Slots, pollenyaml.Integer(1, maxSlots))
	pollenyaml.Required(m, "connections", &v.ConnectionLimit, pollenyaml.Integer(1, maxConnections))
	pollenyaml.Optional(m, "cold", &v.ColdLimit, pollenyaml.Integer(1, maxSlots))
	pollenyaml.Optional(m, "warm-up", &v.WarmUp, pollenyaml.Duration(0, maxWarmUp))
	pollenyaml.Optional(m, "queue", &v.QueueLimit, pollenyaml.Integer(0, maxQueue))
	pollenyaml.Optional(m, "deadline", &v.RequestTimeout, pollenyaml.Duration(minRequestTimeout, maxRequestTimeout))
	pollenyaml.Optional(m, "retention", &v.Retention, pollenyaml.Duration(minRetention, maxRetention))
	pollenyaml.Optional(m, "idle", &v.IdleTimeout, pollenyaml.Duration(minIdle, maxIdle))
	m.ReportUnknown("service", "address", "delivery", "slots", "connections", "cold", "warm-up", "queue",
		"deadline", "retention", "idle")
	return v
}
