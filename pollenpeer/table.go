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
	// Interval is the time between two beats to the same peer.
	HeartbeatInterval = 400 * time.Millisecond
	// SeedInterval is the time between two beats to a seed that was not heard.
	SeedInterval = time.Second
	// Fresh is the age up to which a beat is taken as present: two may be lost.
	FreshAge = 3 * HeartbeatInterval
	// Forget is the age after which a peer is dropped.
	PeerTimeout = 10 * time.Second
	// tryFor is how long an address that only others heard of is tried.
	tryFor = 3 * time.Second
)

// maxSample bounds the addresses of balancers in a beat.
const maxSample = 8

// A Table holds the peers that a process knows. It is not safe for concurrent
// use.
type Table struct {
	self  Peer
	seeds []netip.AddrPort
	// peers is keyed by address; every entry was heard less than Forget ago.
	peers map[netip.AddrPort]*Entry
	// tried holds addresses that others heard of and this process did not, with
	// the time until which they are tried.
	tried map[netip.AddrPort]time.Time
	// balancers is sorted by address and rebuilt when the set changes.
	balancers []netip.AddrPort
	// next is where the next sample of balancers begins.
	next int
	// due holds when each address gets its next beat.
	due map[netip.AddrPort]time.Time
}

// NewTable returns a new Table of a process that describes itself as self.
func NewTable(self Peer, seeds []netip.AddrPort) *Table {
	t := &Table{
		self: self, peers: map[netip.AddrPort]*Entry{}, tried: map[netip.AddrPort]time.Time{},
		due: map[netip.AddrPort]time.Time{},
	}
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the addresses that are tried when nobody else is known.
func (t *Table) SetSeeds(seeds []netip.AddrPort) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.AddrPort) bool { return a == t.self.Address })
}

// Self returns what the process last said of itself, to be changed in place.
func (t *Table) Self() *Peer { return &t.self }

// A Change says what a beat or the passing of time changed.
type Change string

// Changes.
const (
	ChangeNone Change = "none"
	// ChangeNew means that the peer was not known, or is a new incarnation.
	ChangeNew Change = "new"
	// ChangeState means that what bears on placement has changed.
	ChangeState Change = "state"
)

// Hear records a beat. A beat that is older than the last one of its
// incarnation changes nothing.
func (t *Table) Receive(now time.Time, b *Heartbeat) Change {
	if b.Peer.Address == t.self.Address || !b.Peer.Address.IsValid() {
		return ChangeNone
	}
	for _, a := range b.Balancers {
		t.try(now, a)
	}
	for _, a := range b.Gates {
		t.try(now, a)
	}
	delete(t.tried, b.Peer.Address)
	known, ok := t.peers[b.Peer.Address]
	if !ok {
		t.peers[b.Peer.Address] = &Entry{Peer: b.Peer, LastSeen: now}
		t.listBalancers()
		return ChangeNew
	}
	if known.Peer.Incarnation == b.Peer.Incarnation && b.Peer.Sequence <= known.Peer.Sequence {
		return ChangeNone
	}
	before := known.Peer
	known.Peer, known.LastSeen = b.Peer, now
	if before.Role != b.Peer.Role {
		t.listBalancers()
	}
	switch {
	case before.Incarnation != b.Peer.Incarnation:
		return ChangeNew
	case before.Server.State != b.Peer.Server.State || before.Leaving != b.Peer.Leaving ||
		before.Server.Service != b.Peer.Server.Service || before.Server.Cold != b.Peer.Server.Cold:
		return ChangeState
	}
	return ChangeNone
}

// try remembers an address that somebody else heard of.
func (t *Table) try(now time.Time, a netip.AddrPort) {
	if _, known := t.peers[a]; known || a == t.self.Address || !a.IsValid() {
		return
	}
	if _, known := t.tried[a]; !known {
		t.tried[a] = now.Add(tryFor)
	}
}

// Expire drops peers that were silent for Forget and returns them.
func (t *Table) Expire(now time.Time) []Peer {
	var gone []Peer
	for a, k := range t.peers {
		if now.Sub(k.LastSeen) >= PeerTimeout {
			delete(t.peers, a)
			delete(t.due, a)
			gone = append(gone, k.Peer)
		}
	}
	slices.SortFunc(gone, func(a, b Peer) int { return a.Address.Compare(b.Address) })
	for a, until := range t.tried {
		if now.After(until) {
			delete(t.tried, a)
			delete(t.due, a)
		}
	}
	if len(gone) > 0 {
		t.listBalancers()
	}
	return gone
}

func (t *Table) listBalancers() {
	t.balancers = t.balancers[:0]
	for a, k := range t.peers {
		if k.Peer.Role == RoleBalancer {
			t.balancers = append(t.balancers, a)
		}
	}
	slices.SortFunc(t.balancers, netip.AddrPort.Compare)
}

// Due returns the addresses that are to get a beat now, and notes that they
// got it. Gates get theirs as answers, so only balancers are returned.
func (t *Table) DuePeers(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	take := func(a netip.AddrPort, every time.Duration) {
		if at, ok := t.due[a]; !ok || !now.Before(at) {
			t.due[a] = now.Add(every)
			due = append(due, a)
		}
	}
	for _, a := range t.balancers {
		take(a, HeartbeatInterval)
	}
	for _, a := range t.seeds {
		if _, known := t.peers[a]; !known {
			take(a, t.seedInterval())
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(t.tried), netip.AddrPort.Compare) {
		take(a, HeartbeatInterval)
	}
	return due
}

// seedInterval is short while the process knows nobody.
func (t *Table) seedInterval() time.Duration {
	if len(t.peers) == 0 {
		return HeartbeatInterval / 4
	}
	return SeedInterval
}

// Answered notes that a peer got a beat now.
func (t *Table) MarkSent(now time.Time, a netip.AddrPort) { t.due[a] = now.Add(HeartbeatInterval) }

// AnswerDue reports whether a gate should get an answer to its beat.
func (t *Table) ReplyDue(now time.Time, a netip.AddrPort) bool {
	at, ok := t.due[a]
	return !ok || !now.Before(at)
}

// Beat returns the next beat of this process.
func (t *Table) NextHeartbeat(now time.Time) Heartbeat {
	t.self.Sequence++
	b := Heartbeat{Peer: t.self}
	for range min(maxSample, len(t.balancers)) {
		t.next = (t.next + 1) % len(t.balancers)
		if a := t.balancers[t.next]; now.Sub(t.peers[a].LastSeen) < FreshAge {
			b.Balancers = append(b.Balancers, a)
		}
	}
	return b
}

// maxGates bounds the gates that a new balancer is told of at once.
const maxGates = 512

// FreshGates returns the addresses of the gates that were heard lately, sorted.
func (t *Table) FreshGates(now time.Time) []netip.AddrPort {
	var gates []netip.AddrPort
	for a, k := range t.peers {
		if k.Peer.Role == RoleGate && now.Sub(k.LastSeen) < FreshAge {
			gates = append(gates, a)
		}
	}
	slices.SortFunc(gates, netip.AddrPort.Compare)
	return gates[:min(len(gates), maxGates)]
}

// Get returns the peer at the address.
func (t *Table) Get(a netip.AddrPort) (Entry, bool) {
	k, ok := t.peers[a]
	if !ok {
		return Entry{}, false
	}
	return *k, true
}

// Balancers returns the known balancers, sorted by address. The caller must not
// change the list.
func (t *Table) Balancers() []netip.AddrPort { return t.balancers }

// All returns every known peer, sorted by address.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.peers))
	for _, k := range t.peers {
		all = append(all, *k)
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.Peer.Address.Compare(b.Peer.Address) })
	return all
}

// Nearest reports whether this process is one of the so many balancers that
// pass news on to the address. While balancers' tables differ, more may be.
func (t *Table) IsNearest(a netip.AddrPort, among int) bool {
	own := distance(t.self.Address, a)
	nearer := 0
	for _, b := range t.balancers {
		if distance(b, a) < own {
			nearer++
		}
	}
	return nearer < among
}

func distance(balancer, to netip.AddrPort) uint64 {
	text := balancer.AppendTo(make([]byte, 0, 64))
	return xxhash.Sum64(to.AppendTo(text))
}

// Bounds of isolation.
const (
	// isolatedAfter is nearly two intervals: of many peers, some beat is always
	// younger.
	isolatedAfter = 700 * time.Millisecond
	// isolatedShare is the part of the known peers, one in so many, that must be
	// heard: a process in the smallest of three failure domains that are cut
	// apart still hears more.
	isolatedShare = 5
	// isolatedLeast is the number of peers below which nothing is concluded.
	isolatedLeast = 4
)

// Isolated reports whether so few peers are heard that this process itself must
// be cut off, so that its work is better done by others. It answers hosts that
// callers reach and other hosts do not.
func (t *Table) Isolated(now time.Time) bool {
	if len(t.peers) < isolatedLeast {
		return false
	}
	heard := 0
	for _, k := range t.peers {
		if now.Sub(k.LastSeen) < isolatedAfter {
			heard++
		}
	}
	return heard*isolatedShare < len(t.peers)
}

// restartSpan is longer than hosts take, one after the other, to come back when
// the power does, and shorter than a backend server stays cold.
const restartSpan = 2 * time.Second

// emptyShare is the part of the gates, one in so many, that may stand beside no
// backend server when a system restarts: hosts whose servers were taken away.
const emptyShare = 10

// Restarted reports whether every peer that is heard, this process included, has
// just started, with its backend server if it has one: the whole system was
// down, and nothing from before is left.
func (t *Table) Restarted(now time.Time) bool {
	gates, empty := 0, 0
	for _, k := range t.peers {
		age := now.Sub(k.LastSeen)
		if age >= FreshAge {
			continue
		}
		switch k.Peer.Role {
		case RoleGate:
			gates++
			switch {
			case k.Peer.Server.State == ServerUnknown:
				empty++
			case !k.Peer.Server.Starting:
				return false
			}
		case RoleBalancer:
			if k.Peer.Uptime+age >= restartSpan {
				return false
			}
		}
	}
	return gates > 0 && empty*emptyShare <= gates
}
