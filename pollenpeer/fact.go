package pollenpeer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// A Fact is the last heartbeat of a peer as another process passes it on.
type Fact struct {
	Peer Peer
	// Age is the time since the heartbeat was received from the peer itself, and
	// SeenAge the time since its last sign of life.
	Age, SeenAge time.Duration
}

// fact returns the entry as it is passed on.
func (e *Entry) fact(now time.Time) Fact {
	return Fact{Peer: e.Peer, Age: now.Sub(e.ReceivedAt), SeenAge: now.Sub(e.LastSeen)}
}

// A Vouch is a relay's statement about its failure domain: that it receives
// heartbeats from every peer of the domain except those in Unheard.
type Vouch struct {
	Relay  netip.AddrPort
	Domain pollendocument.DomainName
	// Age is the time since the relay made the statement.
	Age time.Duration
	// Unheard lists known peers that the relay does not hear, and Gone those that it
	// has removed lately.
	Unheard, Gone []netip.AddrPort
	// Gates is the sum of the hashes of the gates that the relay hears, by which a
	// receiver finds out whether it knows all of them.
	Gates uint64
	// Complete is set if these and the gates in Unheard are all gates of the domain.
	Complete bool
}

// A vouchKey identifies the statements of which only the newest is kept.
type vouchKey struct {
	relay  netip.AddrPort
	domain pollendocument.DomainName
}

// A heldVouch is a Vouch with the time at which the relay made it.
type heldVouch struct {
	Vouch
	madeAt time.Time
}

// MergeFacts records what another process passes on about peers, and returns the
// entries whose peers are new or have changed their state. A fact that is older
// than what is known is ignored: within an incarnation by its sequence number, and
// otherwise by the time at which the heartbeat was received.
func (t *Table) MergeFacts(now time.Time, facts []Fact) []Entry {
	var changed []Entry
	before := len(t.peers)
	for i := range facts {
		f := &facts[i]
		heardAt, seenAt := now.Add(-max(0, f.Age)), now.Add(-max(0, f.SeenAge))
		known := t.peers[f.Peer.Address]
		expired, gone := t.gone[f.Peer.Address]
		switch {
		case f.Peer.Address == t.self.Address || !f.Peer.Address.IsValid() || now.Sub(heardAt) >= factTimeout,
			now.Sub(seenAt) >= PeerTimeout, gone && !seenAt.After(expired.lastSeen):
			continue
		case known == nil:
			delete(t.candidates, f.Peer.Address)
			known = &Entry{Peer: f.Peer}
			t.peers[f.Peer.Address] = known
		case known.Peer.Incarnation == f.Peer.Incarnation && f.Peer.Sequence <= known.Peer.Sequence:
			known.LastSeen = later(known.LastSeen, seenAt)
			continue
		case known.Peer.Incarnation != f.Peer.Incarnation && !heardAt.After(known.ReceivedAt):
			continue
		}
		change := t.update(known, &f.Peer)
		known.ReceivedAt = heardAt
		known.LastSeen = later(known.LastSeen, seenAt)
		if change != ChangeNone {
			known.passes = changeRepeats
			changed = append(changed, *known)
		}
	}
	if len(t.peers) > before {
		t.rebuild()
	}
	return changed
}

// MergeVouches records the statements of relays in a heartbeat. Peers that a relay
// vouches for count as seen when it did. A relay of another failure domain that
// receives nothing from this process is ignored: packets to its domain are lost.
func (t *Table) MergeVouches(now time.Time, heartbeat *Heartbeat) {
	if e := t.peers[heartbeat.Peer.Address]; e != nil && e.MissesSelf && e.Peer.Domain != t.self.Domain {
		return
	}
	for i := range heartbeat.Vouches {
		v := &heartbeat.Vouches[i]
		madeAt := now.Add(-max(0, v.Age))
		key := vouchKey{relay: v.Relay, domain: v.Domain}
		if v.Relay == t.self.Address || !madeAt.After(t.vouches[key].madeAt) {
			continue
		}
		t.vouches[key] = heldVouch{Vouch: *v, madeAt: madeAt}
		for _, e := range t.peers {
			if v.includes(e) {
				e.LastSeen = later(e.LastSeen, madeAt)
			}
		}
	}
}

// includes reports whether the relay states that it hears the peer.
func (v *Vouch) includes(e *Entry) bool {
	return e.Peer.Domain == v.Domain && !slices.Contains(v.Unheard, e.Peer.Address) && !slices.Contains(v.Gone, e.Peer.Address)
}

// gateSum returns the sum of the hashes of the known gates that the statement
// includes.
func (t *Table) gateSum(v *Vouch) uint64 {
	var sum uint64
	for a, e := range t.peers {
		if e.Peer.Role == RoleGate && v.includes(e) {
			sum += hashOf(a, "")
		}
	}
	return sum
}

// removedByRelays reports whether a relay states that it has removed the peer, and
// none that it still knows it.
func (t *Table) removedByRelays(now time.Time, e *Entry) bool {
	removed := false
	for key, v := range t.vouches {
		switch {
		case key.domain != e.Peer.Domain || now.Sub(v.madeAt) >= RelayedFreshAge:
		case slices.Contains(v.Unheard, e.Peer.Address):
			return false
		case slices.Contains(v.Gone, e.Peer.Address):
			removed = true
		}
	}
	return removed
}

// Complete reports whether this process knows every gate: in each failure domain, a
// relay that knows all its gates must have vouched lately for exactly those that are
// known here. Without relays it returns true.
func (t *Table) Complete(now time.Time) bool {
	var unknown []pollendocument.DomainName
	if t.relayed {
		unknown = t.UnknownDomains(now)
	}
	t.unknownSince = since(now, t.unknownSince, len(unknown) > 0)
	t.incompleteSince = since(now, t.incompleteSince, t.contradicted(now, unknown))
	return len(unknown) == 0
}

// since returns since when a condition holds, given what it returned last; zero if the
// condition does not hold now.
func since(now, last time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case last.IsZero():
		return now
	}
	return last
}

// Unsure reports whether this process has not known for long, when Complete was last
// called, whether gates are missing.
func (t *Table) Unsure(now time.Time) bool {
	return !t.unknownSince.IsZero() && now.Sub(t.unknownSince) >= incompleteTimeout
}

// lacking reports whether gates that a relay hears have been missing for so long that
// they do not arrive by themselves.
func (t *Table) lacking(now time.Time) bool {
	return !t.incompleteSince.IsZero() && now.Sub(t.incompleteSince) >= incompleteTimeout
}

// contradicted reports whether a relay of one of the domains hears other gates there
// than are known here.
func (t *Table) contradicted(now time.Time, domains []pollendocument.DomainName) bool {
	for key, v := range t.vouches {
		if slices.Contains(domains, key.domain) && now.Sub(v.madeAt) < RelayedFreshAge && !t.matches(&v.Vouch) {
			return true
		}
	}
	return false
}

// absentTimeout is the uptime after which a failure domain has no peers if none is known
// or has expired lately.
const absentTimeout = PeerTimeout + goneTimeout

// UnknownDomains returns the failure domains in which gates may be missing in this table
// while heartbeats are relayed, sorted.
func (t *Table) UnknownDomains(now time.Time) []pollendocument.DomainName {
	pending := map[pollendocument.DomainName]bool{}
	if t.self.Uptime < absentTimeout {
		for _, domain := range t.domains {
			pending[domain] = true
		}
	}
	for _, e := range t.peers {
		pending[e.Peer.Domain] = true
	}
	for _, g := range t.gone {
		pending[g.domain] = true
	}
	for key, v := range t.vouches {
		if pending[key.domain] && now.Sub(v.madeAt) < RelayedFreshAge && v.Complete && t.matches(&v.Vouch) {
			delete(pending, key.domain)
		}
	}
	if len(pending) > 0 {
		// A relay itself hears what the statements are made of.
		for _, v := range t.ownVouches(now) {
			if v.Complete {
				delete(pending, v.Domain)
			}
		}
	}
	return slices.SortedFunc(maps.Keys(pending), compareDomains)
}

// matches reports whether the known gates are those that the relay hears, and the
// peers that it does not hear are known as well.
func (t *Table) matches(v *Vouch) bool {
	for _, a := range v.Unheard {
		if t.peers[a] == nil && a != t.self.Address {
			return false
		}
	}
	return t.gateSum(v) == v.Gates
}

// SnapshotDue reports whether the peer at the address, which says that it lacks
// peers, is to be sent a snapshot by this process, at most every snapshotInterval.
func (t *Table) SnapshotDue(now time.Time, a netip.AddrPort) bool {
	e := t.peers[a]
	if e == nil || now.Sub(e.snapshotAt) < snapshotInterval {
		return false
	}
	if relay, _ := t.IsRelay(e.Peer.Domain); !relay {
		return false
	}
	e.snapshotAt = now
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ownVouches returns the statements of this process about the failure domains that
// it is a relay of. It makes none about a domain of which it does not hear the
// greater part, as when it has just become a relay.
func (t *Table) ownVouches(now time.Time) []Vouch {
	var own []Vouch
	for _, domain := range t.sortedDomains() {
		if !slices.Contains(t.relays[domain], t.self.Address) {
			continue
		}
		v := Vouch{Relay: t.self.Address, Domain: domain}
		heard := 0
		for _, a := range t.order {
			switch e := t.peers[a]; {
			case e.Peer.Domain != domain:
			case t.twoWay(now, e):
				heard++
			default:
				v.Unheard = append(v.Unheard, a)
			}
		}
		if heard <= len(v.Unheard) {
			continue
		}
		for a, g := range t.gone {
			if g.domain == domain {
				v.Gone = append(v.Gone, a)
			}
		}
		slices.SortFunc(v.Gone, netip.AddrPort.Compare)
		v.Unheard, v.Gone = v.Unheard[:min(len(v.Unheard), maxUnheard)], v.Gone[:min(len(v.Gone), maxUnheard)]
		v.Gates = t.gateSum(&v)
		v.Complete = t.settles(now, domain)
		own = append(own, v)
	}
	return own
}

// settleTime is the time after which a relay has heard every gate of its domain: some of
// their heartbeats may be lost.
const settleTime = 5 * HeartbeatInterval

// A relayedDomain is the state of a failure domain at one of its relays.
type relayedDomain struct {
	// heardSince is since when the relay has heard the greater part of the domain, and
	// heardAt when it last did. After FreshAge without, as in a pause, it begins anew.
	heardSince, heardAt time.Time
	// settled is set once the relay has known every gate. It hears further ones itself.
	settled bool
}

// settles reports whether this process, a relay of the domain, knows every gate of it:
// another relay that does vouches for exactly these, or there is no such relay and
// this process has heard the greater part for settleTime.
func (t *Table) settles(now time.Time, domain pollendocument.DomainName) bool {
	d := t.serving[domain]
	if now.Sub(d.heardAt) >= FreshAge {
		d = relayedDomain{heardSince: now}
	}
	d.heardAt = now
	d.settled = d.settled || t.confirmed(now, domain, now.Sub(d.heardSince) >= settleTime)
	t.serving[domain] = d
	return d.settled
}

// confirmed reports whether a relay that knows every gate of the domain vouches for
// exactly those that are known here. Where there is no such relay it returns unopposed.
func (t *Table) confirmed(now time.Time, domain pollendocument.DomainName, unopposed bool) bool {
	for key, v := range t.vouches {
		if key.domain != domain || !v.Complete || now.Sub(v.madeAt) >= RelayedFreshAge {
			continue
		}
		if t.matches(&v.Vouch) {
			return true
		}
		unopposed = false
	}
	return unopposed
}

// twoWay reports whether this process receives heartbeats from the peer and the
// peer does not report that it receives none from this process.
func (t *Table) twoWay(now time.Time, e *Entry) bool {
	return now.Sub(e.HeardAt) < FreshAge && !e.MissesSelf
}

// heldVouches returns the recent statements of all relays, this process included.
func (t *Table) heldVouches(now time.Time) []Vouch {
	all := t.ownVouches(now)
	for _, v := range t.vouches {
		if age := now.Sub(v.madeAt); age < RelayedFreshAge {
			passed := v.Vouch
			passed.Age = age
			all = append(all, passed)
		}
	}
	slices.SortFunc(all, func(a, b Vouch) int {
		if c := a.Relay.Compare(b.Relay); c != 0 {
			return c
		}
		return compareDomains(a.Domain, b.Domain)
	})
	return all
}
