package pollenpeer

import (
	"maps"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// Complete reports whether this process knows every gate: in each failure domain, a
// relay that knows all its gates must have vouched lately for exactly those that are
// known here. Without relays, a balancer that knows every gate must have listed them.
func (t *Table) Complete(now time.Time) bool {
	if !t.relayed {
		t.unknownSince = since(now, t.unknownSince, !t.listsAll())
		t.incompleteSince = since(now, t.incompleteSince, !t.knowsList())
		return t.listsAll()
	}
	unknown := t.UnknownDomains(now)
	t.unknownSince = since(now, t.unknownSince, len(unknown) > 0)
	t.incompleteSince = since(now, t.incompleteSince, t.contradicted(now, unknown))
	return len(unknown) == 0
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
		if pending[key.domain] && v.fresh(now) && v.Complete && t.matches(&v.Vouch) {
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

// contradicted reports whether a relay of one of the domains hears other gates there
// than are known here.
func (t *Table) contradicted(now time.Time, domains []pollendocument.DomainName) bool {
	for key, v := range t.vouches {
		if slices.Contains(domains, key.domain) && v.fresh(now) && !t.matches(&v.Vouch) {
			return true
		}
	}
	return false
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
func (t *Table) Unsure(now time.Time) bool { return lasts(now, t.unknownSince) }

// lacking reports whether gates that a relay hears have been missing for so long that
// they do not arrive by themselves.
func (t *Table) lacking(now time.Time) bool { return lasts(now, t.incompleteSince) }

// lasts reports whether a condition that holds since a time, see since, has held for
// incompleteTimeout.
func lasts(now, since time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= incompleteTimeout
}
