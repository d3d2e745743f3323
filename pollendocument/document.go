// Package pollendocument defines the configuration that operators submit, its
// text form and its checks: the failure domains, and for each team its services
// and its settings for individual backend servers.
package pollendocument

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Team is the name of the owner of a section.
type Team string

// DomainsTeam is the reserved owner of the section that lists the failure
// domains.
const DomainsTeam Team = "domains"

// A DomainName is the name of a failure domain.
type DomainName string

// A ServiceName is the name of a service.
type ServiceName string

// A ServerName is the name of a backend server.
type ServerName string

// A DomainState specifies whether a failure domain receives traffic.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// A ServerState specifies whether a backend server accepts new work.
type ServerState string

// States of a backend server.
const (
	ServerActive   ServerState = "active"
	ServerDraining ServerState = "draining"
)

// A Delivery specifies how an agent passes a flow to its backend server.
type Delivery string

// Methods of delivery.
const (
	// DeliveryRelay forwards datagrams to the backend server's UDP socket.
	DeliveryRelay Delivery = "relay"
	// DeliveryHTTP terminates HTTP/3 at the agent, which sends the requests to
	// the backend server over HTTP.
	DeliveryHTTP Delivery = "http"
)

// A Domain is one failure domain and its desired state.
type Domain struct {
	Name  DomainName
	State DomainState
}

// A Service is the address of a service and the limits that apply to it.
type Service struct {
	Name ServiceName
	// Address is where callers send to; it is unique over all services.
	Address  netip.AddrPort
	Delivery Delivery
	// Slots is the largest number of requests that one backend server runs
	// concurrently.
	Slots int
	// ConnectionLimit is the largest number of flows on one backend server.
	ConnectionLimit int
	// ColdLimit is the largest number of concurrent requests, or of flows being
	// opened, on a backend server during its cold start. It is at least 1 and at
	// most Slots.
	ColdLimit int
	// WarmUp is the shortest duration of a cold start.
	WarmUp time.Duration
	// QueueLimit is the largest number of requests that wait at one agent.
	QueueLimit int
	// RequestTimeout is the longest time that a request may take. A request may
	// specify an earlier deadline.
	RequestTimeout time.Duration
	// Retention is how long the outcome of a keyed request is stored.
	Retention time.Duration
	// IdleTimeout is how long a flow may be without packets before its record is
	// evicted.
	IdleTimeout time.Duration
}

// A Server is an operator's setting for one backend server.
type Server struct {
	Name  ServerName
	State ServerState
	// Weight determines how many new flows the backend server receives, relative
	// to one with DefaultWeight.
	Weight int
}

// DefaultWeight is the weight of a backend server for which no section specifies
// one.
const DefaultWeight = 100

// A Section is the part of the document that one team owns.
type Section struct {
	Team Team
	// Version is the number of accepted changes. A submission specifies the
	// version on which it is based.
	Version uint64
	// Domains is sorted by name; it is empty except in the section of
	// DomainsTeam.
	Domains []Domain
	// Services is sorted by name.
	Services []Service
	// Servers is sorted by name.
	Servers []Server
}

// A Document is the configuration of the whole system.
type Document struct {
	// Sections is sorted by team.
	Sections []Section
}

// Sort sorts the domains, services and servers of the section by name.
func (s *Section) Sort() {
	slices.SortFunc(s.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
}

// Hash returns a digest of the section's content without its version, as 16
// hexadecimal digits. It is not a cryptographic digest. The section must be
// sorted.
func (s *Section) Hash() string {
	digest := xxhash.New()
	for _, d := range s.Domains {
		_, _ = fmt.Fprintf(digest, "d %s %s\n", d.Name, d.State)
	}
	for _, v := range s.Services {
		_, _ = fmt.Fprintf(digest, "s %v\n", v)
	}
	for _, v := range s.Servers {
		_, _ = fmt.Fprintf(digest, "b %v\n", v)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Clone returns a copy that shares no memory with the section.
func (s *Section) Clone() Section {
	c := *s
	c.Domains = slices.Clone(s.Domains)
	c.Services = slices.Clone(s.Services)
	c.Servers = slices.Clone(s.Servers)
	return c
}

// Section returns the section of a team, or nil when there is none. It shares
// memory with the document.
func (d *Document) Section(team Team) *Section {
	for i := range d.Sections {
		if d.Sections[i].Team == team {
			return &d.Sections[i]
		}
	}
	return nil
}

// Service returns the service with the name and its team; ok is false when there
// is none. The sections must be sorted.
func (d *Document) Service(name ServiceName) (service Service, team Team, ok bool) {
	for i := range d.Sections {
		s := &d.Sections[i]
		index, found := slices.BinarySearchFunc(s.Services, name, func(v Service, n ServiceName) int {
			return cmp.Compare(v.Name, n)
		})
		if found {
			return s.Services[index], s.Team, true
		}
	}
	return Service{}, "", false
}

// DiffSections returns the names of the fields that differ between two sections,
// as "domains.NAME", "servers.NAME" and "services.NAME" in sorted order.
func DiffSections(old, changed *Section) []string {
	var names []string
	names = appendDifferences(names, "domains", old.Domains, changed.Domains, func(d Domain) string { return string(d.Name) })
	names = appendDifferences(names, "servers", old.Servers, changed.Servers, func(s Server) string { return string(s.Name) })
	names = appendDifferences(names, "services", old.Services, changed.Services, func(s Service) string { return string(s.Name) })
	return names
}

func appendDifferences[T comparable](names []string, kind string, old, changed []T, name func(T) string) []string {
	oldValues := make(map[string]T, len(old))
	for _, v := range old {
		oldValues[name(v)] = v
	}
	start := len(names)
	for _, v := range changed {
		oldValue, ok := oldValues[name(v)]
		if !ok || oldValue != v {
			names = append(names, kind+"."+name(v))
		}
		delete(oldValues, name(v))
	}
	for n := range oldValues {
		names = append(names, kind+"."+n)
	}
	slices.Sort(names[start:])
	return names
}

// A ValidationError is a contradiction between values of a document, which may be in
// several sections.
type ValidationError struct {
	// Team is the owner of the section in which the contradiction was found.
	Team Team
	// Field is "domains", "services.NAME" or "servers.NAME".
	Field string
	// Fault describes the contradiction.
	Fault string
}

// String returns a description of the contradiction in one line.
func (c ValidationError) String() string {
	return fmt.Sprintf("section %q: %s: %s", c.Team, c.Field, c.Fault)
}

// Check returns the contradictions in the document: duplicate names and
// addresses, limits that contradict each other, and failure domains that are all
// out. The result is empty for a valid document.
func (d *Document) Check() []ValidationError {
	var problems []ValidationError
	services := map[ServiceName]Team{}
	addresses := map[netip.AddrPort]ServiceName{}
	servers := map[ServerName]Team{}
	domainsIn := 0
	domainCount := 0
	for i := range d.Sections {
		s := &d.Sections[i]
		add := func(field, format string, args ...any) {
			problems = append(problems, ValidationError{Team: s.Team, Field: field, Fault: fmt.Sprintf(format, args...)})
		}
		for _, v := range s.Domains {
			domainCount++
			if v.State == DomainIn {
				domainsIn++
			}
		}
		for _, v := range s.Services {
			if other, ok := services[v.Name]; ok {
				add("services."+string(v.Name), "the name is used by team %q too", other)
			}
			services[v.Name] = s.Team
			if other, ok := addresses[v.Address]; ok {
				add("services."+string(v.Name), "the address %s is used by service %q too", v.Address, other)
			}
			addresses[v.Address] = v.Name
			if v.ColdLimit > v.Slots {
				add("services."+string(v.Name), "cold %d is more than slots %d", v.ColdLimit, v.Slots)
			}
		}
		for _, v := range s.Servers {
			if other, ok := servers[v.Name]; ok {
				add("servers."+string(v.Name), "the backend server is listed by team %q too", other)
			}
			servers[v.Name] = s.Team
		}
	}
	if domainCount > 0 && domainsIn == 0 {
		problems = append(problems, ValidationError{
			Team: DomainsTeam, Field: "domains", Fault: "every failure domain is out, so nothing could be served",
		})
	}
	return problems
}

// FormatValidationErrors returns the validation errors, one in each line.
func FormatValidationErrors(problems []ValidationError) string {
	lines := make([]string, 0, len(problems))
	for _, c := range problems {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// Put replaces the section of the same team, or inserts the section so that the
// sections stay sorted.
func (d *Document) Put(s Section) {
	index, ok := slices.BinarySearchFunc(d.Sections, s.Team, func(v Section, team Team) int {
		return cmp.Compare(v.Team, team)
	})
	if ok {
		d.Sections[index] = s
		return
	}
	d.Sections = slices.Insert(d.Sections, index, s)
}
