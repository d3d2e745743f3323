package pollenpeer

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

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

// fresh reports whether the statement still counts.
func (v *heldVouch) fresh(now time.Time) bool { return now.Sub(v.madeAt) < RelayedFreshAge }

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
		case key.domain != e.Peer.Domain || !v.fresh(now):
		case slices.Contains(v.Unheard, e.Peer.Address):
			return false
		case slices.Contains(v.Gone, e.Peer.Address):
			removed = true
		}
	}
	return removed
}

// heldVouches returns the recent statements of all relays, this process included.
func (t *Table) heldVouches(now time.Time) []Vouch {
	all := t.ownVouches(now)
	for _, v := range t.vouches {
		if v.fresh(now) {
			passed := v.Vouch
			passed.Age = now.Sub(v.madeAt)
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

// twoWay reports whether this process receives heartbeats from the peer and the
// peer does not report that it receives none from this process.
func (t *Table) twoWay(now time.Time, e *Entry) bool {
	return now.Sub(e.HeardAt) < FreshAge && !e.MissesSelf
}

// SettleTime is the time after which a process has heard everyone who sends it
// heartbeats: some of these may be lost.
const SettleTime = 5 * HeartbeatInterval

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
// this process has heard the greater part for SettleTime.
func (t *Table) settles(now time.Time, domain pollendocument.DomainName) bool {
	d := t.serving[domain]
	if now.Sub(d.heardAt) >= FreshAge {
		d = relayedDomain{heardSince: now}
	}
	d.heardAt = now
	d.settled = d.settled || t.confirmed(now, domain, now.Sub(d.heardSince) >= SettleTime)
	t.serving[domain] = d
	return d.settled
}

// confirmed reports whether a relay that knows every gate of the domain vouches for
// exactly those that are known here. Where there is no such relay it returns unopposed.
func (t *Table) confirmed(now time.Time, domain pollendocument.DomainName, unopposed bool) bool {
	for key, v := range t.vouches {
		if key.domain != domain || !v.Complete || !v.fresh(now) {
			continue
		}
		if t.matches(&v.Vouch) {
			return true
		}
		unopposed = false
	}
	return unopposed
}
