package pollenpeer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
)

// Timing of the table.
const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 400 * time.Millisecond
	// SeedInterval is the time between two heartbeats to a seed that is not known
	// as a peer, while others are.
	SeedInterval = time.Second
	// FreshAge is the age below which a heartbeat counts as current: two of them
	// may be lost.
	FreshAge = 3 * HeartbeatInterval
	// PeerTimeout is the time without a heartbeat after which a peer is removed.
	PeerTimeout = 10 * time.Second
	// candidateTimeout is how long heartbeats are sent to an address that is known
	// only from the heartbeats of others.
	candidateTimeout = 3 * time.Second
)

// maxBalancerSample bounds the addresses of balancers in a heartbeat.
const maxBalancerSample = 8

// A Table holds the peers known to a process and schedules the heartbeats to
// them. It is not safe for concurrent use.
type Table struct {
	self  Peer
	seeds []netip.AddrPort
	// domains holds the failure domains of the system.
	domains []pollendocument.DomainName
	// seedAttempts is the number of heartbeats to seeds since a peer was last known, and
	// nextSeedAt when the next one is due.
	seedAttempts int
	nextSeedAt   time.Time
	// peers is keyed by address. Expire removes entries that are PeerTimeout old.
	peers map[netip.AddrPort]*Entry
	// candidates holds the addresses that are known only from the heartbeats of
	// others, with the time until which heartbeats are sent to them.
	candidates map[netip.AddrPort]time.Time
	// order holds the addresses of all peers and balancers those of the balancers
	// among them, both sorted.
	order, balancers []netip.AddrPort
	// sampleOffset is the index of the last balancer in the previous sample.
	sampleOffset int
	// nextDue holds the time of the next heartbeat to each address.
	nextDue map[netip.AddrPort]time.Time
	// newCandidates is set when a candidate was added.
	newCandidates bool

	// listed is set once another balancer that knows every gate has listed them to this
	// process, and awaited holds the listed gates that are not known yet, with the time
	// until which they count.
	listed  bool
	awaited map[netip.AddrPort]time.Time

	// restarted is set once the whole system was seen to have just started.
	restarted bool

	// relayed is set while heartbeats are sent to relays only. The fields below are
	// used only then.
	relayed bool
	// relays holds the relays of each failure domain, the first one first.
	relays map[pollendocument.DomainName][]netip.AddrPort
	// reportedSince holds since when heartbeats are sent to each relay, and
	// silentRelays until when each relay that did not answer is not used.
	reportedSince, silentRelays map[netip.AddrPort]time.Time
	vouches                     map[vouchKey]heldVouch
	// serving holds the domains that this process is a relay of and has heard.
	serving map[pollendocument.DomainName]relayedDomain
	// gone holds the peers that have expired, so that others which still pass them on
	// are not believed.
	gone map[netip.AddrPort]tombstone
	// unknownSince is since when gates may be missing in this table, and incompleteSince
	// since when some are missing that a relay hears; zero if none are.
	unknownSince, incompleteSince time.Time
	// nextRound is when the next regular round is due. factOffset and
	// candidateOffset are the positions of the last peers that were passed on in turn.
	nextRound                   time.Time
	factOffset, candidateOffset int
}

// A tombstone is what is kept of a peer that has expired.
type tombstone struct {
	domain          pollendocument.DomainName
	lastSeen, until time.Time
}

// NewTable returns a new Table of the process that self describes, in a system with
// these failure domains. The own address is ignored among the seeds.
func NewTable(self Peer, domains []pollendocument.DomainName, seeds []netip.AddrPort) *Table {
	t := &Table{
		self: self, domains: domains, peers: map[netip.AddrPort]*Entry{}, candidates: map[netip.AddrPort]time.Time{},
		serving: map[pollendocument.DomainName]relayedDomain{},
		nextDue: map[netip.AddrPort]time.Time{}, relays: map[pollendocument.DomainName][]netip.AddrPort{},
		reportedSince: map[netip.AddrPort]time.Time{}, silentRelays: map[netip.AddrPort]time.Time{},
		vouches: map[vouchKey]heldVouch{}, gone: map[netip.AddrPort]tombstone{}, awaited: map[netip.AddrPort]time.Time{},
	}
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the seeds: the addresses that heartbeats are sent to without
// having received one from them. The own address is ignored.
func (t *Table) SetSeeds(seeds []netip.AddrPort) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == t.self.Address })
	t.seedAttempts, t.nextSeedAt = 0, time.Time{}
}

// Self returns the description of this process that its heartbeats carry. The
// caller may change it in place.
func (t *Table) Self() *Peer { return &t.self }

// A Change is the effect of a heartbeat on the table.
type Change string

// Values of Change.
const (
	ChangeNone Change = "none"
	// ChangeNew means that the peer was not known, or is a new incarnation.
	ChangeNew Change = "new"
	// ChangeState means that a field that matters for placement has changed: the
	// state, service or coldness of the server, whether it is starting or failing, or
	// Leaving.
	ChangeState Change = "state"
)

// Receive records a heartbeat. One of this process itself, or one that is not
// newer than the last of its incarnation, does not change the peer's entry.
func (t *Table) Receive(now time.Time, heartbeat *Heartbeat) Change {
	if heartbeat.Peer.Address == t.self.Address || !heartbeat.Peer.Address.IsValid() {
		return ChangeNone
	}
	for _, a := range heartbeat.Balancers {
		t.addCandidate(now, a)
	}
	for _, a := range heartbeat.Gates {
		t.addCandidate(now, a)
		if t.peers[a] == nil && a != t.self.Address {
			t.awaited[a] = now.Add(PeerTimeout)
		}
	}
	t.listed = t.listed || heartbeat.Listed
	delete(t.candidates, heartbeat.Peer.Address)
	delete(t.awaited, heartbeat.Peer.Address)
	delete(t.gone, heartbeat.Peer.Address)
	known, ok := t.peers[heartbeat.Peer.Address]
	if !ok {
		known = &Entry{Peer: heartbeat.Peer}
		t.peers[heartbeat.Peer.Address] = known
		t.rebuild()
	} else if known.Peer.Incarnation == heartbeat.Peer.Incarnation && heartbeat.Peer.Sequence <= known.Peer.Sequence {
		if heartbeat.Peer.Sequence == known.Peer.Sequence {
			// A relay has already passed on this heartbeat.
			t.hear(now, known, heartbeat)
		}
		return ChangeNone
	}
	change := t.update(known, &heartbeat.Peer)
	if !ok {
		change = ChangeNew
	}
	if change != ChangeNone {
		known.passes = changeRepeats
	}
	t.hear(now, known, heartbeat)
	return change
}

// hear records that a heartbeat was received from the peer itself.
func (t *Table) hear(now time.Time, e *Entry, heartbeat *Heartbeat) {
	e.LastSeen, e.HeardAt, e.ReceivedAt = now, now, now
	delete(t.silentRelays, e.Peer.Address)
	if heartbeat.Report {
		e.ReportedAt = now
	}
	if e.knownBalancers != heartbeat.KnownBalancers {
		e.knownBalancers = heartbeat.KnownBalancers
		t.updateRelayed()
	}
	e.MissesSelf = slices.Contains(heartbeat.Unheard, t.self.Address)
	for i := range heartbeat.Vouches {
		v := &heartbeat.Vouches[i]
		if v.Relay == e.Peer.Address && v.Domain == t.self.Domain {
			e.MissesSelf = e.MissesSelf || slices.Contains(v.Unheard, t.self.Address)
		}
	}
	if t.self.Role == RoleGate && e.Peer.Role == RoleBalancer {
		t.relayed = heartbeat.Relayed
	}
}

// update replaces the description of a peer by a newer one and returns what has
// changed.
func (t *Table) update(e *Entry, p *Peer) Change {
	previous := e.Peer
	e.Peer = *p
	if previous.Role != p.Role {
		t.rebuild()
	}
	switch {
	case previous.Incarnation != p.Incarnation || e.ReceivedAt.IsZero():
		return ChangeNew
	case previous.Server.State != p.Server.State || previous.Leaving != p.Leaving ||
		previous.Server.Service != p.Server.Service || previous.Server.Cold != p.Server.Cold ||
		previous.Server.Starting != p.Server.Starting || previous.Server.Failing != p.Server.Failing:
		return ChangeState
	}
	return ChangeNone
}

// addCandidate adds an address from the heartbeat of another process.
func (t *Table) addCandidate(now time.Time, a netip.AddrPort) {
	if _, known := t.peers[a]; known || a == t.self.Address || !a.IsValid() {
		return
	}
	if _, known := t.candidates[a]; !known {
		t.candidates[a] = now.Add(candidateTimeout)
		t.newCandidates = true
	}
}

// Expire removes the peers without a sign of life for PeerTimeout and returns them,
// sorted by address. It also removes expired candidates.
func (t *Table) Expire(now time.Time) []Peer {
	var expired []Peer
	for a, e := range t.peers {
		if t.hasExpired(now, e) {
			delete(t.peers, a)
			delete(t.nextDue, a)
			t.gone[a] = tombstone{domain: e.Peer.Domain, lastSeen: e.LastSeen, until: now.Add(goneTimeout)}
			expired = append(expired, e.Peer)
		}
	}
	for a, g := range t.gone {
		if now.After(g.until) {
			delete(t.gone, a)
		}
	}
	for a, until := range t.awaited {
		if !now.Before(until) {
			delete(t.awaited, a)
		}
	}
	for a, until := range t.silentRelays {
		if !now.Before(until) {
			delete(t.silentRelays, a)
		}
	}
	for key, v := range t.vouches {
		if now.Sub(v.madeAt) >= PeerTimeout {
			delete(t.vouches, key)
		}
	}
	slices.SortFunc(expired, func(a, b Peer) int { return a.Address.Compare(b.Address) })
	for a, until := range t.candidates {
		if now.After(until) {
			delete(t.candidates, a)
			delete(t.nextDue, a)
		}
	}
	if len(expired) > 0 {
		t.rebuild()
	}
	return expired
}

// hasExpired reports whether the peer is to be removed. A gate that relays pass on is
// removed only once they have removed it: they may not hear it in both directions and
// so not vouch for it, while it serves its flows.
func (t *Table) hasExpired(now time.Time, e *Entry) bool {
	if now.Sub(e.ReceivedAt) >= factTimeout {
		return true
	}
	if now.Sub(e.LastSeen) < PeerTimeout {
		return false
	}
	relay, _ := t.IsRelay(e.Peer.Domain)
	return !t.relayed || relay || e.Peer.Role != RoleGate || t.removedByRelays(now, e)
}

// rebuild brings order and balancers up to date after a peer was added or removed
// or has changed its role.
func (t *Table) rebuild() {
	t.order, t.balancers = t.order[:0], t.balancers[:0]
	for a := range t.peers {
		t.order = append(t.order, a)
	}
	slices.SortFunc(t.order, netip.AddrPort.Compare)
	for _, a := range t.order {
		if t.peers[a].Peer.Role == RoleBalancer {
			t.balancers = append(t.balancers, a)
		}
	}
	t.updateRelayed()
}

// Get returns the entry of the peer at the address, and false if it is unknown.
func (t *Table) Get(a netip.AddrPort) (Entry, bool) {
	e, ok := t.peers[a]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// EachSeen calls visit with the address of each peer of the role and the time of its
// last sign of life, in the order of addresses.
func (t *Table) EachSeen(role Role, visit func(a netip.AddrPort, seen time.Time)) {
	for _, a := range t.order {
		if e := t.peers[a]; e.Peer.Role == role {
			visit(a, e.LastSeen)
		}
	}
}

// Balancers returns the addresses of the known balancers, sorted. The caller
// must not modify the slice, and it is valid until the next change of the
// table.
func (t *Table) Balancers() []netip.AddrPort { return t.balancers }

// All returns the entries of all known peers, sorted by address.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.peers))
	for _, e := range t.peers {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.Peer.Address.Compare(b.Peer.Address) })
	return all
}

// IsNearest reports whether this balancer is among the count nearest ones to
// the peer at the address, which forward updates to it. Distance is a hash of both
// addresses; where heartbeats are relayed, only balancers of the peer's failure
// domain count. While the tables of balancers differ, more than count of them may
// report true.
func (t *Table) IsNearest(a netip.AddrPort, count int) bool {
	return t.isNearest(a, count, func(_ *Peer, near bool) bool { return near })
}

// IsNearestHolder is IsNearest among the balancers that have a view, of which those
// with faster links count as nearer. After all processes have restarted at once, few
// have one, the nearest of all balancers may wait for it itself, and a thin link does
// not carry it to hundreds.
func (t *Table) IsNearestHolder(a netip.AddrPort, count int) bool {
	return t.isNearest(a, count, func(p *Peer, near bool) bool {
		return p.Revision > 0 && (p.LinkRate > t.self.LinkRate || near && p.LinkRate == t.self.LinkRate)
	})
}

// isNearest counts the balancers that precede this one. precedes is called for each
// balancer, with whether its distance to the address is shorter.
func (t *Table) isNearest(a netip.AddrPort, count int, precedes func(p *Peer, near bool) bool) bool {
	domain := t.self.Domain
	if e := t.peers[a]; e != nil && t.relayed {
		domain = e.Peer.Domain
	}
	if t.relayed && domain != t.self.Domain {
		return false
	}
	own := distance(t.self.Address, a)
	nearer := 0
	for _, b := range t.balancers {
		p := &t.peers[b].Peer
		if (!t.relayed || p.Domain == domain) && precedes(p, distance(b, a) < own) {
			nearer++
		}
	}
	return nearer < count
}

func distance(balancer, to netip.AddrPort) uint64 {
	text := balancer.AppendTo(make([]byte, 0, 64))
	return xxhash.Sum64(to.AppendTo(text))
}

func hashOf(a netip.AddrPort, text string) uint64 {
	return xxhash.Sum64(append(a.AppendTo(make([]byte, 0, 64)), text...))
}
