// Package pollenview holds the state that is replicated to every process: the
// committed document, the members, the ledger groups, the declaration and the
// evacuated failure domains. It results from applying the committed commands in
// order.
package pollenview

import (
	"cmp"
	"net/netip"
	"slices"

	"pollenstep.example/pollenstep/pollendocument"
)

// A Revision is the log index of the last command applied to a view. It never
// decreases within the life of a process.
type Revision uint64

// An Incarnation distinguishes one start of a process from its other starts. Of
// two incarnations, control hosts take the higher one to be the later start.
type Incarnation uint64

// A Role is the kind of process that a member is.
type Role string

// Roles of members.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)

// A Member is a process that has announced itself by heartbeats.
type Member struct {
	// Name is unique over all members.
	Name        pollendocument.ServerName
	Role        Role
	Incarnation Incarnation
	// Service is the service of an agent's backend server; empty for balancers.
	Service pollendocument.ServiceName
	Domain  pollendocument.DomainName
	// Address receives datagrams over UDP and calls over TCP.
	Address netip.AddrPort
	// State is the state that the backend server announced.
	State pollendocument.ServerState
}

// A MemberRef identifies one incarnation of a member, for instance of an agent
// as a ledger replica.
type MemberRef struct {
	Name        pollendocument.ServerName
	Incarnation Incarnation
}

// A LedgerGroup is the set of agents that store the claims of one service.
type LedgerGroup struct {
	// Epoch counts the changes of the group.
	Epoch uint64
	// Replicas has at most MaxLedgerReplicas entries.
	Replicas []MemberRef
	// Previous lists the replicas of the last non-empty group before this one.
	Previous []MemberRef
}

// MaxLedgerReplicas is the number of replicas in a full ledger group.
const MaxLedgerReplicas = 3

// maxOutcomes is the maximum number of submissions whose outcome is stored.
const maxOutcomes = 4096

// A View is the replicated state at one revision. It is not safe for concurrent
// use.
type View struct {
	Revision Revision
	Document pollendocument.Document
	Members  map[pollendocument.ServerName]Member
	Ledgers  map[pollendocument.ServiceName]LedgerGroup
	// Outcomes holds the last submissions' outcomes, oldest first, at most
	// maxOutcomes.
	Outcomes []Outcome
	// Declared is the declaration with the highest version; its lists are never
	// changed in place.
	Declared pollendocument.Declaration
	// Evacuated lists the evacuated failure domains. It is sorted and never
	// changed in place.
	Evacuated []pollendocument.DomainName
	// EvacuatedAt is the revision at which Evacuated last changed.
	EvacuatedAt Revision
}

// NewView returns a new empty View.
func NewView() *View {
	return &View{
		Members: map[pollendocument.ServerName]Member{},
		Ledgers: map[pollendocument.ServiceName]LedgerGroup{},
	}
}

// Clone returns a copy that shares no data that Apply changes in place.
func (v *View) Clone() *View {
	c := NewView()
	c.Revision = v.Revision
	for i := range v.Document.Sections {
		c.Document.Sections = append(c.Document.Sections, v.Document.Sections[i].Clone())
	}
	for n, m := range v.Members {
		c.Members[n] = m
	}
	for n, g := range v.Ledgers {
		c.Ledgers[n] = g
	}
	c.Outcomes = slices.Clone(v.Outcomes)
	c.Declared = v.Declared
	c.Evacuated, c.EvacuatedAt = v.Evacuated, v.EvacuatedAt
	return c
}

// DomainTakesTraffic reports whether a failure domain is in the document with
// the state pollendocument.DomainIn.
func (v *View) DomainTakesTraffic(name pollendocument.DomainName) bool {
	s := v.Document.Section(pollendocument.DomainsTeam)
	if s == nil {
		return false
	}
	index, ok := slices.BinarySearchFunc(s.Domains, name, func(d pollendocument.Domain, n pollendocument.DomainName) int {
		return cmp.Compare(d.Name, n)
	})
	return ok && s.Domains[index].State == pollendocument.DomainIn
}

// DomainEvacuated reports whether an Evacuation took the failure domain out of
// service.
func (v *View) DomainEvacuated(name pollendocument.DomainName) bool {
	_, found := slices.BinarySearch(v.Evacuated, name)
	return found
}

// ServerSetting returns the setting of a backend server in the document, or the
// default one: active, with pollendocument.DefaultWeight.
func (v *View) ServerSetting(name pollendocument.ServerName) pollendocument.Server {
	for i := range v.Document.Sections {
		s := &v.Document.Sections[i]
		index, ok := slices.BinarySearchFunc(s.Servers, name, func(d pollendocument.Server, n pollendocument.ServerName) int {
			return cmp.Compare(d.Name, n)
		})
		if ok {
			return s.Servers[index]
		}
	}
	return pollendocument.Server{
		Name: name, State: pollendocument.ServerActive, Weight: pollendocument.DefaultWeight,
	}
}

// TakesNewWork reports whether a member is an agent that may get new flows and
// requests: its backend server is active by its own announcement and by the
// document, and its failure domain takes traffic.
func (v *View) TakesNewWork(m Member) bool {
	return m.Role == RoleAgent &&
		m.State == pollendocument.ServerActive &&
		v.DomainTakesTraffic(m.Domain) &&
		v.ServerSetting(m.Name).State == pollendocument.ServerActive
}

// Agents returns the agents of a service in failure domains that take traffic,
// sorted by name.
func (v *View) Agents(service pollendocument.ServiceName) []Member {
	var agents []Member
	for _, m := range v.Members {
		if m.Role == RoleAgent && m.Service == service && v.DomainTakesTraffic(m.Domain) {
			agents = append(agents, m)
		}
	}
	slices.SortFunc(agents, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return agents
}

// Balancers returns the balancers in failure domains that take traffic, sorted
// by name.
func (v *View) Balancers() []Member {
	var balancers []Member
	for _, m := range v.Members {
		if m.Role == RoleBalancer && v.DomainTakesTraffic(m.Domain) {
			balancers = append(balancers, m)
		}
	}
	slices.SortFunc(balancers, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return balancers
}

// Live reports whether the replica's incarnation is a member.
func (v *View) Live(r MemberRef) bool {
	m, ok := v.Members[r.Name]
	return ok && m.Incarnation == r.Incarnation
}

// Outcome returns the stored outcome of the submission with the ID; the result
// is false when none is stored.
func (v *View) Outcome(id string) (Outcome, bool) {
	for i := range v.Outcomes {
		if v.Outcomes[i].ID == id {
			return v.Outcomes[i], true
		}
	}
	return Outcome{}, false
}
