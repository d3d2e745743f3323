package pollenpeer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// peers is keyed by address. Expire removes entries that are PeerTimeout old.
	peers map[netip.AddrPort]*Entry
	// candidates holds the addresses that are known only from the heartbeats of
	// others, with the time until which heartbeats are sent to them.
	candidates map[netip.AddrPort]time.Time
	// balancers is sorted by address and rebuilt when the set changes.
	balancers []netip.AddrPort
	// sampleOffset is the index of the last balancer in the previous sample.
	sampleOffset int
	// nextDue holds the time of the next heartbeat to each address.
	nextDue map[netip.AddrPort]time.Time
}

// NewTable returns a new Table of the process that self describes. The own
// address is ignored among the seeds.
func NewTable(self Peer, seeds []netip.AddrPort) *Table {
	t := &Table{
		self: self, peers: map[netip.AddrPort]*Entry{}, candidates: map[netip.AddrPort]time.Time{},
		nextDue: map[netip.AddrPort]time.Time{},
	}
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the seeds: the addresses that heartbeats are sent to without
// having received one from them. The own address is ignored.
func (t *Table) SetSeeds(seeds []netip.AddrPort) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == t.self.Address })
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
	// state, service or coldness of the server, or Leaving.
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
	}
	delete(t.candidates, heartbeat.Peer.Address)
	known, ok := t.peers[heartbeat.Peer.Address]
	if !ok {
		t.peers[heartbeat.Peer.Address] = &Entry{Peer: heartbeat.Peer, LastSeen: now}
		t.rebuildBalancers()
		return ChangeNew
	}
	if known.Peer.Incarnation == heartbeat.Peer.Incarnation && heartbeat.Peer.Sequence <= known.Peer.Sequence {
		return ChangeNone
	}
	previous := known.Peer
	known.Peer, known.LastSeen = heartbeat.Peer, now
	if previous.Role != heartbeat.Peer.Role {
		t.rebuildBalancers()
	}
	switch {
	case previous.Incarnation != heartbeat.Peer.Incarnation:
		return ChangeNew
	case previous.Server.State != heartbeat.Peer.Server.State || previous.Leaving != heartbeat.Peer.Leaving ||
		previous.Server.Service != heartbeat.Peer.Server.Service || previous.Server.Cold != heartbeat.Peer.Server.Cold:
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
	}
}

// Expire removes the peers without a heartbeat for PeerTimeout and returns them,
// sorted by address. It also removes expired candidates.
func (t *Table) Expire(now time.Time) []Peer {
	var expired []Peer
	for a, e := range t.peers {
		if now.Sub(e.LastSeen) >= PeerTimeout {
			delete(t.peers, a)
			delete(t.nextDue, a)
			expired = append(expired, e.Peer)
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
		t.rebuildBalancers()
	}
	return expired
}

func (t *Table) rebuildBalancers() {
	t.balancers = t.balancers[:0]
	for a, e := range t.peers {
		if e.Peer.Role == RoleBalancer {
			t.balancers = append(t.balancers, a)
		}
	}
	slices.SortFunc(t.balancers, netip.AddrPort.Compare)
}

// DuePeers returns the addresses to send a heartbeat to now, and schedules the
// next one to each. These are known balancers, unknown seeds and candidates;
// known gates get their heartbeats as replies.
func (t *Table) DuePeers(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	addDue := func(a netip.AddrPort, every time.Duration) {
		if at, ok := t.nextDue[a]; !ok || !now.Before(at) {
			t.nextDue[a] = now.Add(every)
			due = append(due, a)
		}
	}
	for _, a := range t.balancers {
		addDue(a, HeartbeatInterval)
	}
	for _, a := range t.seeds {
		if _, known := t.peers[a]; !known {
			addDue(a, t.seedInterval())
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(t.candidates), netip.AddrPort.Compare) {
		addDue(a, HeartbeatInterval)
	}
	return due
}

// seedInterval returns the time between two heartbeats to an unknown seed. It is
// short while no peer is known.
func (t *Table) seedInterval() time.Duration {
	if len(t.peers) == 0 {
		return HeartbeatInterval / 4
	}
	return SeedInterval
}

// MarkSent records that a heartbeat was sent to the address now.
func (t *Table) MarkSent(now time.Time, a netip.AddrPort) { t.nextDue[a] = now.Add(HeartbeatInterval) }

// ReplyDue reports whether a reply to a gate's heartbeat is due.
func (t *Table) ReplyDue(now time.Time, a netip.AddrPort) bool {
	at, ok := t.nextDue[a]
	return !ok || !now.Before(at)
}

// NextHeartbeat returns the next heartbeat of this process. It increments the
// sequence number and advances the sample of balancers.
func (t *Table) NextHeartbeat(now time.Time) Heartbeat {
	t.self.Sequence++
	heartbeat := Heartbeat{Peer: t.self}
	for range min(maxBalancerSample, len(t.balancers)) {
		t.sampleOffset = (t.sampleOffset + 1) % len(t.balancers)
		if a := t.balancers[t.sampleOffset]; now.Sub(t.peers[a].LastSeen) < FreshAge {
			heartbeat.Balancers = append(heartbeat.Balancers, a)
		}
	}
	return heartbeat
}

// maxGates bounds the gates in the reply to a new balancer.
const maxGates = 512

// FreshGates returns the sorted addresses of the gates whose last heartbeat is
// younger than FreshAge, up to maxGates.
func (t *Table) FreshGates(now time.Time) []netip.AddrPort {
	var gates []netip.AddrPort
	for a, e := range t.peers {
		if e.Peer.Role == RoleGate && now.Sub(e.LastSeen) < FreshAge {
			gates = append(gates, a)
		}
	}
	slices.SortFunc(gates, netip.AddrPort.Compare)
	return gates[:min(len(gates), maxGates)]
}

// Get returns the entry of the peer at the address, and false if it is unknown.
func (t *Table) Get(a netip.AddrPort) (Entry, bool) {
	e, ok := t.peers[a]
	if !ok {
		return Entry{}, false
	}
	return *e, true
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
// the address, which forward updates to it. Distance is a hash of both
// addresses. While the tables of balancers differ, more than count of them may
// report true.
func (t *Table) IsNearest(a netip.AddrPort, count int) bool {
	own := distance(t.self.Address, a)
	nearer := 0
	for _, b := range t.balancers {
		if distance(b, a) < own {
			nearer++
		}
	}
	return nearer < count
}

func distance(balancer, to netip.AddrPort) uint64 {
	text := balancer.AppendTo(make([]byte, 0, 64))
	return xxhash.Sum64(to.AppendTo(text))
}

// Limits of the isolation check.
const (
	// isolationWindow is nearly two heartbeat intervals: with many peers, some
	// heartbeat is always younger.
	isolationWindow = 700 * time.Millisecond
	// isolationShare is the divisor for the minimum share of known peers with a
	// recent heartbeat, 1/5. A process in the smallest of three failure domains
	// that are partitioned from each other still receives heartbeats from more
	// peers than that.
	isolationShare = 5
	// isolationMinPeers is the number of known peers below which a process never
	// counts as isolated.
	isolationMinPeers = 4
)

// Isolated reports whether so few peers sent a heartbeat recently that this
// process itself must be partitioned from them, so that others should take over
// its work. This covers hosts that callers can reach and other hosts cannot.
func (t *Table) Isolated(now time.Time) bool {
	if len(t.peers) < isolationMinPeers {
		return false
	}
	recent := 0
	for _, e := range t.peers {
		if now.Sub(e.LastSeen) < isolationWindow {
			recent++
		}
	}
	return recent*isolationShare < len(t.peers)
}

// maxRestartUptime is the uptime below which a peer counts as just started. It
// is longer than the hosts take, one after the other, to restart after a power
// loss, and shorter than a backend server stays cold.
const maxRestartUptime = 2 * time.Second

// maxEmptyShare is the divisor for the maximum share of gates without a backend
// server in a restarted system, 1/10: hosts whose backend servers were removed.
const maxEmptyShare = 10

// Restarted reports whether every peer with a fresh heartbeat has just started,
// with its backend server if it has one. The whole system was then down, and no
// flow from before exists. It returns false while no gate is known.
func (t *Table) Restarted(now time.Time) bool {
	gates, empty := 0, 0
	for _, e := range t.peers {
		age := now.Sub(e.LastSeen)
		if age >= FreshAge {
			continue
		}
		switch e.Peer.Role {
		case RoleGate:
			gates++
			switch {
			case e.Peer.Server.State == ServerUnknown:
				empty++
			case !e.Peer.Server.Starting:
				return false
			}
		case RoleBalancer:
			if e.Peer.Uptime+age >= maxRestartUptime {
				return false
			}
		}
	}
	return gates > 0 && empty*maxEmptyShare <= gates
}
