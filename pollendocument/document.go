// Package pollendocument holds the declarations that operators submit: the
// failure domains, and for each team its services and its settings for single
// backend servers.
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

// A Team names the owner of a section.
type Team string

// DomainsTeam owns the section that lists the failure domains.
const DomainsTeam Team = "domains"

// A DomainName names a failure domain.
type DomainName string

// A ServiceName names a service.
type ServiceName string

// A ServerName names a backend server.
type ServerName string

// A DomainState says whether a failure domain takes traffic.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// A ServerState says whether a backend server takes new work.
type ServerState string

// States of a backend server.
const (
	ServerActive   ServerState = "active"
	ServerDraining ServerState = "draining"
)

// A Delivery says how an agent passes a flow to its backend server.
type Delivery string

// Deliveries.
const (
	// DeliveryRelay passes datagrams to the backend server's UDP socket.
	DeliveryRelay Delivery = "relay"
	// DeliveryHTTP ends HTTP/3 at the agent and passes requests over HTTP.
	DeliveryHTTP Delivery = "http"
)

// A Domain is one failure domain and its wanted state.
type Domain struct {
	Name  DomainName
	State DomainState
}

// A Service is one service address with its limits.
type Service struct {
	Name ServiceName
	// Address is where callers send; it is unique over all services.
	Address  netip.AddrPort
	Delivery Delivery
	// Slots is the number of requests that one backend server runs at once.
	Slots int
	// ConnectionLimit is the number of flows that one backend server holds at most.
	ConnectionLimit int
	// ColdLimit is the number of requests, or of flows being opened, that a backend
	// server in a cold start bears; at least 1 and at most Slots.
	ColdLimit int
	// WarmUp is how long a cold start lasts at least.
	WarmUp time.Duration
	// QueueLimit is the number of requests that may wait at one agent.
	QueueLimit int
	// DefaultDeadline bounds a request that brings no deadline of its own.
	RequestTimeout time.Duration
	// Retention is how long the outcome of a keyed request is remembered.
	Retention time.Duration
	// IdleTimeout is how long a flow may be silent before its record is dropped.
	IdleTimeout time.Duration
}

// A Server is an operator's setting for one backend server.
type Server struct {
	Name  ServerName
	State ServerState
	// Weight is the share of new flows, relative to DefaultWeight.
	Weight int
}

// DefaultWeight is the weight of a backend server that no section mentions.
const DefaultWeight = 100

// A Section is the part of the document that one team owns.
type Section struct {
	Team Team
	// Version counts the accepted changes; a submission names the version that
	// it was edited from.
	Version uint64
	// Domains is empty except in the section of DomainsTeam; sorted by name.
	Domains []Domain
	// Services is sorted by name.
	Services []Service
	// Servers is sorted by name.
	Servers []Server
}

// A Document is the whole declaration, sorted by team.
type Document struct {
	Sections []Section
}

// Sort puts the parts of a section in their canonical order.
func (s *Section) Sort() {
	slices.SortFunc(s.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
}

// Hash returns a short digest of the section's content, without its version.
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

// Clone returns a copy that shares nothing with the section.
func (s *Section) Clone() Section {
	c := *s
	c.Domains = slices.Clone(s.Domains)
	c.Services = slices.Clone(s.Services)
	c.Servers = slices.Clone(s.Servers)
	return c
}

// Section returns the section of a team, or nil.
func (d *Document) Section(team Team) *Section {
	for i := range d.Sections {
		if d.Sections[i].Team == team {
			return &d.Sections[i]
		}
	}
	return nil
}

// Service returns the service called name and its team; ok is false when there
// is none.
func (d *Document) Service(name ServiceName) (service Service, team Team, ok bool) {
	for i := range d.Sections {
		s := &d.Sections[i]
		at, found := slices.BinarySearchFunc(s.Services, name, func(v Service, n ServiceName) int {
			return cmp.Compare(v.Name, n)
		})
		if found {
			return s.Services[at], s.Team, true
		}
	}
	return Service{}, "", false
}

// DiffSections returns the names of the fields that differ between two sections, as
// "services.NAME", "domains.NAME" and "servers.NAME", sorted.
func DiffSections(old, changed *Section) []string {
	var names []string
	names = diffList(names, "domains", old.Domains, changed.Domains, func(d Domain) string { return string(d.Name) })
	names = diffList(names, "servers", old.Servers, changed.Servers, func(s Server) string { return string(s.Name) })
	names = diffList(names, "services", old.Services, changed.Services, func(s Service) string { return string(s.Name) })
	return names
}

func diffList[T comparable](names []string, kind string, old, changed []T, name func(T) string) []string {
	before := make(map[string]T, len(old))
	for _, v := range old {
		before[name(v)] = v
	}
	start := len(names)
	for _, v := range changed {
		was, ok := before[name(v)]
		if !ok || was != v {
			names = append(names, kind+"."+name(v))
		}
		delete(before, name(v))
	}
	for n := range before {
		names = append(names, kind+"."+n)
	}
	slices.Sort(names[start:])
	return names
}

// A Conflict is a fault that concerns several sections together.
type Conflict struct {
	Team  Team
	Field string
	Fault string
}

// String returns the conflict on one line.
func (c Conflict) String() string {
	return fmt.Sprintf("section %q: %s: %s", c.Team, c.Field, c.Fault)
}

// Check returns the faults of the document as a whole: doubled names and
// addresses, and limits that contradict each other.
func (d *Document) Check() []Conflict {
	var conflicts []Conflict
	services := map[ServiceName]Team{}
	addresses := map[netip.AddrPort]ServiceName{}
	servers := map[ServerName]Team{}
	in := 0
	domains := 0
	for i := range d.Sections {
		s := &d.Sections[i]
		add := func(field, format string, args ...any) {
			conflicts = append(conflicts, Conflict{Team: s.Team, Field: field, Fault: fmt.Sprintf(format, args...)})
		}
		for _, v := range s.Domains {
			domains++
			if v.State == DomainIn {
				in++
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
				add("servers."+string(v.Name), "the backend server is set by team %q too", other)
			}
			servers[v.Name] = s.Team
		}
	}
	if domains > 0 && in == 0 {
		conflicts = append(conflicts, Conflict{
			Team: DomainsTeam, Field: "domains", Fault: "every failure domain is out, so nothing could be served",
		})
	}
	return conflicts
}

// FormatConflicts returns the conflicts joined by line ends.
func FormatConflicts(conflicts []Conflict) string {
	lines := make([]string, 0, len(conflicts))
	for _, c := range conflicts {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// Put replaces the section of the team or adds it in its place.
func (d *Document) Put(s Section) {
	at, ok := slices.BinarySearchFunc(d.Sections, s.Team, func(v Section, team Team) int {
		return cmp.Compare(v.Team, team)
	})
	if ok {
		d.Sections[at] = s
		return
	}
	d.Sections = slices.Insert(d.Sections, at, s)
}
