package pollenagent

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenview"
)

// A Packet describes a caller's packet as received by this agent.
type Packet struct {
	Key pollenflow.Key
	// Service and Target are the digests of the names of the service and of
	// the agent that the packet is addressed to.
	Service pollenflow.Digest
	Target  pollenflow.Digest
	// From is the process that sent the packet to this agent, and Balancer the
	// balancer that received it from the caller.
	From, Balancer netip.AddrPort
	// Revision is the revision of the sender's view.
	Revision pollenview.Revision
	// MayOpenFlow is set when the packet may open a flow.
	MayOpenFlow bool
	// Assigned is set when the directory owner chose this agent as the holder
	// of the new flow.
	Assigned bool
	// Search is set while the directory owner sends the packet to one agent
	// after another to find the holder. SearchIndex is the index of the next
	// candidate.
	Search      bool
	SearchIndex uint8
	// Hops is the number of times that agents have forwarded the packet;
	// steps of a search are not counted.
	Hops uint8
}

// A DecisionKind is the way in which a packet is handled.
type DecisionKind string

// Kinds of decisions.
const (
	DecisionDeliver DecisionKind = "deliver"
	DecisionForward DecisionKind = "forward"
	DecisionDrop    DecisionKind = "drop"
)

// A Decision specifies how to handle a packet.
type Decision struct {
	Kind DecisionKind
	// Record is the flow to deliver to. New is set when this packet opened it.
	Record *Record
	New    bool
	// To and Target are the address and digest of the agent to forward to.
	// Assigned, Search, SearchIndex and Hops replace the packet's fields when
	// it is forwarded.
	To          netip.AddrPort
	Target      pollenflow.Digest
	Assigned    bool
	Search      bool
	SearchIndex uint8
	Hops        uint8
	// Refusal is the reason for dropping the packet.
	Refusal pollenkernel.Refusal
	// Notify, when valid, is the process to send a registration that names
	// this agent as the holder of the flow; Decline makes that registration
	// withdraw this agent instead.
	Notify  netip.AddrPort
	Decline bool
}

// MaxHops is the maximum number of times that agents forward a packet.
const MaxHops = 4

// Decide returns how to handle a packet. It allocates only when it opens a
// flow.
func (f *Flows) Decide(now time.Time, p *Packet) Decision {
	switch {
	case p.Service != f.service:
		return drop(pollenkernel.RefusalWrongService)
	case p.Target != f.self:
		return drop(pollenkernel.RefusalWrongMember)
	}
	f.observeRevision(now, p.Revision)
	if !f.serving {
		return drop(f.notServingReason())
	}
	if r, ok := f.records[p.Key]; ok {
		r.LastSeen = now
		r.Balancer = p.Balancer
		d := Decision{Kind: DecisionDeliver, Record: r}
		if p.Search {
			d.Notify = p.From
		}
		return d
	}
	if p.Assigned {
		return f.openAssigned(now, p)
	}
	if p.Hops >= MaxHops {
		return drop(pollenkernel.RefusalHopLimit)
	}
	if to, ok := f.otherHolder(now, p.Key); ok {
		return Decision{Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name), Hops: p.Hops + 1}
	}
	if p.Search && p.SearchIndex > 0 && !f.isSearchReturn(p) {
		// This agent is a search candidate that does not hold the flow, so it
		// returns the packet to the directory owner.
		return Decision{
			Kind: DecisionForward, To: p.From, Target: f.digestAt(p.From),
			Search: true, SearchIndex: p.SearchIndex, Hops: p.Hops,
		}
	}
	return f.decideByOwner(now, p)
}

func drop(reason pollenkernel.Refusal) Decision {
	return Decision{Kind: DecisionDrop, Refusal: reason}
}

// notServingReason returns the refusal of a packet while the agent does not
// serve: its failure domain is out, or it has no view that declares its
// service yet.
func (f *Flows) notServingReason() pollenkernel.Refusal {
	if f.view.Revision > 0 && !f.view.DomainTakesTraffic(f.config.Self.Domain) {
		return pollenkernel.RefusalDomainOut
	}
	return pollenkernel.RefusalNotReady
}

// observeRevision records that another process has the view of a revision.
func (f *Flows) observeRevision(now time.Time, revision pollenview.Revision) {
	if revision > f.latestRevision {
		if f.latestRevision <= f.view.Revision {
			f.latestRevisionAt = now
		}
		f.latestRevision = revision
	}
}

// viewIsStale reports whether a newer view exists that this agent is still
// expected to receive, because less than MaxViewSkew has passed since it first
// observed the newer revision.
func (f *Flows) viewIsStale(now time.Time) bool {
	return f.latestRevision > f.view.Revision && now.Sub(f.latestRevisionAt) < f.config.MaxViewSkew
}

// otherHolder returns the agent that the directory records as holder of the
// flow, if it is another agent and its incarnation is still a member.
func (f *Flows) otherHolder(now time.Time, key pollenflow.Key) (*pollenview.Member, bool) {
	ref, ok := f.directory.Get(now, key)
	if !ok || ref.Name == f.config.Self.Name {
		return nil, false
	}
	m, ok := f.agent(ref.Name)
	return m, ok && m.Incarnation == ref.Incarnation
}

// MemberRef returns the reference to this incarnation of the agent.
func (f *Flows) MemberRef() pollenview.MemberRef { return memberRef(f.config.Self) }

func memberRef(m pollenview.Member) pollenview.MemberRef {
	return pollenview.MemberRef{Name: m.Name, Incarnation: m.Incarnation}
}

// agent returns the agent of the service with the name.
func (f *Flows) agent(name pollendocument.ServerName) (*pollenview.Member, bool) {
	for i := range f.agents {
		if f.agents[i].Name == name {
			return &f.agents[i], true
		}
	}
	return nil, false
}

// digestAt returns the digest of the name of the agent at an address, or 0 if
// there is none.
func (f *Flows) digestAt(address netip.AddrPort) pollenflow.Digest {
	for i := range f.agents {
		if f.agents[i].Address == address {
			return pollenflow.DigestOf(f.agents[i].Name)
		}
	}
	return 0
}

// isSearchReturn reports whether a search packet has returned to the directory
// owner, that is, whether this agent owns the packet's bucket.
func (f *Flows) isSearchReturn(p *Packet) bool {
	owner, ok := f.owners.Owner(pollenflow.BucketOf(f.service, p.Key))
	return ok && owner.Name == f.config.Self.Name
}
