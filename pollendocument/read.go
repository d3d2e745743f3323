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

// An Entry is a team, failure domain, service or backend server in the text of a
// document.
type Entry struct {
	Team Team
	// Field is "domains.NAME", "services.NAME" or "servers.NAME", and empty for the
	// team itself. NAME is empty if it is invalid.
	Field string
	// Path is the field path in the text, such as "teams[0].services[1]".
	Path string
	// Line counts from 1.
	Line int
}

// A Reading is the result of reading the text of a document.
type Reading struct {
	// Document lacks the values that could not be read. Its sections are in the
	// order of the text.
	Document Document
	// Entries are in the order of the text.
	Entries []Entry
	// Values holds the problems of single values.
	Values []pollenyaml.Problem
	// Contradictions holds the results of Document.Check, and Conflicts the same as
	// problems, by the same index.
	Contradictions []ValidationError
	Conflicts      []pollenyaml.Problem
}

// Inspect reads the text of a document as far as possible and returns it with all
// problems; file is used only for these.
func Inspect(file string, text []byte) *Reading {
	r := &Reading{}
	report := &pollenyaml.Report{File: file}
	root := pollenyaml.Parse(report, text)
	if root == nil {
		r.Values = report.Problems
		return r
	}
	format := 0
	pollenyaml.Required(root, "format", &format, pollenyaml.Integer(FormatVersion, FormatVersion))
	r.readDomains(root)
	root.List("teams", true, r.readTeam)
	root.ReportUnknown("format", "version", "domains", "teams")
	r.Values = report.Problems
	report.Problems = nil
	lines := make(map[string]int, len(r.Entries))
	for _, e := range r.Entries {
		lines[string(e.Team)+"."+e.Field] = e.Line
	}
	r.Contradictions = r.Document.Check()
	for _, c := range r.Contradictions {
		report.Add(max(1, lines[string(c.Team)+"."+c.Field]), c.Field, c.Fault, "a document without contradictions")
	}
	r.Conflicts = report.Problems
	return r
}

// Read parses and checks the text of a document. The error lists every problem
// as "FILE:LINE: ...", one in each line; file is used only for this.
func Read(file string, text []byte) (*Document, error) {
	r := Inspect(file, text)
	report := pollenyaml.Report{Problems: slices.Concat(r.Values, r.Conflicts)}
	if err := report.Err(); err != nil {
		return nil, err
	}
	d := &r.Document
	slices.SortFunc(d.Sections, func(a, b Section) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return d, nil
}

func (r *Reading) readDomains(root *pollenyaml.Mapping) {
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
		r.addEntry(DomainsTeam, "domains."+string(v.Name), m)
		s.Domains = append(s.Domains, v)
	})
	s.Sort()
	r.Document.Sections = append(r.Document.Sections, s)
}

func (r *Reading) addEntry(team Team, field string, m *pollenyaml.Mapping) {
	r.Entries = append(r.Entries, Entry{Team: team, Field: field, Path: m.Path(), Line: m.Line()})
}

// readTeam adds the section of one team to the document.
func (r *Reading) readTeam(m *pollenyaml.Mapping) {
	s := Section{}
	pollenyaml.Required(m, "team", &s.Team, pollenyaml.Name[Team]())
	pollenyaml.Optional(m, "version", &s.Version, pollenyaml.Integer[uint64](0, maxVersion))
	if s.Team == DomainsTeam || r.Document.Section(s.Team) != nil {
		m.AddProblem("team", string(s.Team), "each team once, and not "+strconv.Quote(string(DomainsTeam)))
	}
	r.addEntry(s.Team, "", m)
	m.List("services", false, func(m *pollenyaml.Mapping) {
		v := readService(m)
		r.addEntry(s.Team, "services."+string(v.Name), m)
		s.Services = append(s.Services, v)
	})
	m.List("servers", false, func(m *pollenyaml.Mapping) {
		v := Server{State: ServerActive, Weight: DefaultWeight}
		pollenyaml.Required(m, "server", &v.Name, pollenyaml.Name[ServerName]())
		pollenyaml.Optional(m, "state", &v.State, pollenyaml.Enum(ServerActive, ServerDraining))
		pollenyaml.Optional(m, "weight", &v.Weight, pollenyaml.Integer(1, maxWeight))
		m.ReportUnknown("server", "state", "weight")
		r.addEntry(s.Team, "servers."+string(v.Name), m)
		s.Servers = append(s.Servers, v)
	})
	m.ReportUnknown("team", "version", "services", "servers")
	s.Sort()
	r.Document.Sections = append(r.Document.Sections, s)
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
