package pollenagent

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenview"
)

// A Packet is a caller's packet as it reached this agent.
type Packet struct {
	Key     pollenflow.Key
	Service pollenflow.Digest
	Target  pollenflow.Digest
	// From is the process that sent it here and Balancer the first one.
	From, Balancer netip.AddrPort
	Revision       pollenview.Revision
	MayOpenFlow    bool
	Assigned       bool
	// Search is set while the home asks agents in turn; SearchIndex is the
	// position of the next one.
	Search      bool
	SearchIndex uint8
	Hops        uint8
}

// A DecisionKind says what happens to a packet.
type DecisionKind string

// Kinds of decisions.
const (
	DecisionDeliver DecisionKind = "deliver"
	DecisionForward DecisionKind = "forward"
	DecisionDrop    DecisionKind = "drop"
)

// A Decision says what to do with a packet.
type Decision struct {
	Kind DecisionKind
	// Record is the flow to deliver to; New is set when it was just opened.
	Record *Record
	New    bool
	// To and Target are set to forward; the other fields replace the packet's.
	To          netip.AddrPort
	Target      pollenflow.Digest
	Assigned    bool
	Search      bool
	SearchIndex uint8
	Hops        uint8
	// Refusal says why a packet is dropped.
	Refusal pollenkernel.Refusal
	// Notify is valid when a process must be told who holds the flow, or that
	// this agent declines it.
	Notify  netip.AddrPort
	Decline bool
}

// MaxHops bounds how often a packet is passed on.
const MaxHops = 4

// Decide returns what to do with a packet. It allocates only when it opens a
// flow.
func (f *Flows) Decide(now time.Time, p *Packet) Decision {
	switch {
	case p.Service != f.service:
		return drop(pollenkernel.RefusalWrongService)
	case p.Target != f.self:
		return drop(pollenkernel.RefusalWrongMember)
	}
	f.hear(now, p.Revision)
	if !f.serving {
		return drop(f.whyNotServing())
	}
	if r, ok := f.records[p.Key]; ok {
		r.Seen = now
		r.Balancer = p.Balancer
		d := Decision{Kind: DecisionDeliver, Record: r}
		if p.Search {
			d.Notify = p.From
		}
		return d
	}
	if p.Assigned {
		return f.takeAssigned(now, p)
	}
	if p.Hops >= MaxHops {
		return drop(pollenkernel.RefusalHopLimit)
	}
	if to, ok := f.holder(now, p.Key); ok {
		return Decision{Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name), Hops: p.Hops + 1}
	}
	if p.Search && p.SearchIndex > 0 && !f.isReturn(p) {
		// Asked in a search, and not the holder: the packet goes back.
		return Decision{
			Kind: DecisionForward, To: p.From, Target: f.digestAt(p.From),
			Search: true, SearchIndex: p.SearchIndex, Hops: p.Hops,
		}
	}
	return f.decideHome(now, p)
}

func drop(why pollenkernel.Refusal) Decision {
	return Decision{Kind: DecisionDrop, Refusal: why}
}

func (f *Flows) whyNotServing() pollenkernel.Refusal {
	if f.view.Revision > 0 && !f.view.DomainTakesTraffic(f.config.Self.Domain) {
		return pollenkernel.RefusalDomainOut
	}
	return pollenkernel.RefusalNotReady
}

// hear notes that another process holds a revision.
func (f *Flows) hear(now time.Time, revision pollenview.Revision) {
	if revision > f.heard {
		if f.heard <= f.view.Revision {
			f.heardAt = now
		}
		f.heard = revision
	}
}

// stale reports whether a newer view is known to exist that this agent should
// soon have.
func (f *Flows) stale(now time.Time) bool {
	return f.heard > f.view.Revision && now.Sub(f.heardAt) < f.config.Window
}

// holder returns the agent that the directory names, if it still is one.
func (f *Flows) holder(now time.Time, key pollenflow.Key) (*pollenview.Member, bool) {
	ref, ok := f.directory.Get(now, key)
	if !ok || ref.Name == f.config.Self.Name {
		return nil, false
	}
	m, ok := f.agent(ref.Name)
	return m, ok && m.Incarnation == ref.Incarnation
}

// Reference names this incarnation of the agent.
func (f *Flows) Reference() pollenview.ReplicaRef { return reference(f.config.Self) }

func reference(m pollenview.Member) pollenview.ReplicaRef {
	return pollenview.ReplicaRef{Name: m.Name, Incarnation: m.Incarnation}
}

func (f *Flows) agent(name pollendocument.ServerName) (*pollenview.Member, bool) {
	for i := range f.agents {
		if f.agents[i].Name == name {
			return &f.agents[i], true
		}
	}
	return nil, false
}

// digestAt returns the digest of the agent at an address.
func (f *Flows) digestAt(address netip.AddrPort) pollenflow.Digest {
	for i := range f.agents {
		if f.agents[i].Address == address {
			return pollenflow.DigestOf(f.agents[i].Name)
		}
	}
	return 0
}

// isReturn reports whether a search packet comes back to its home.
func (f *Flows) isReturn(p *Packet) bool {
	home, ok := f.homes.Home(pollenflow.BucketOf(f.service, p.Key))
	return ok && home.Name == f.config.Self.Name
}
