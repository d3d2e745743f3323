package pollenpeer

import (
	"net/netip"
	"slices"
	"time"
)

// A Round is what a relay sends at one time.
type Round struct {
	// Relays are the relays of all failure domains. They are sent RelayFacts, which
	// are about the domains that this process is a relay of. A process that is none
	// but is reported to tells the relays of its own domain about those peers.
	Relays     []netip.AddrPort
	RelayFacts []Fact
	// Balancers are the balancers that report to this process. They are sent
	// BalancerFacts, which are about all peers.
	Balancers     []netip.AddrPort
	BalancerFacts []Fact
	// Gates are the gates that report to this process. They are sent GateFacts,
	// which are about balancers that may be their next relay.
	Gates     []netip.AddrPort
	GateFacts []Fact
	// Own holds the statements of this process, and Vouches those of all relays. Both
	// are empty in a round that only passes on changes.
	Own, Vouches []Vouch
}

// NextRound returns what this process sends as a relay now. ok is false if it is
// no relay or if nothing is due: a round is due after each HeartbeatInterval, and at
// the first relay of a failure domain at once when a peer has changed.
func (t *Table) NextRound(now time.Time) (r Round, ok bool) {
	if !t.relayed || t.self.Role != RoleBalancer {
		return Round{}, false
	}
	t.updateRelays(now)
	subscribers := t.Subscribers(now)
	domains := t.ownDomains()
	if len(subscribers) == 0 && len(domains) == 0 {
		return Round{}, false
	}
	regular := !now.Before(t.nextRound)
	if !regular && (!t.isFirstRelay() || !t.changesPending()) {
		return Round{}, false
	}
	if len(domains) > 0 {
		r.Relays = t.Relays()
	} else if regular {
		// The relays do not hear the subscribers of a process that is none.
		r.Relays = slices.Clone(t.relays[t.self.Domain])
	}
	for _, e := range subscribers {
		if len(domains) == 0 {
			r.RelayFacts = append(r.RelayFacts, e.fact(now))
		}
		if e.Peer.Role == RoleGate {
			r.Gates = append(r.Gates, e.Peer.Address)
		} else {
			r.Balancers = append(r.Balancers, e.Peer.Address)
		}
	}
	for _, e := range t.nextFacts(regular) {
		f := e.fact(now)
		r.BalancerFacts = append(r.BalancerFacts, f)
		if slices.Contains(domains, e.Peer.Domain) {
			r.RelayFacts = append(r.RelayFacts, f)
		}
	}
	if !regular {
		r.Gates = nil
		return r, true
	}
	t.nextRound = now.Add(HeartbeatInterval)
	r.Own, r.Vouches = t.ownVouches(now), t.heldVouches(now)
	r.GateFacts = t.candidateFacts(now, 1)
	return r, true
}

// isFirstRelay reports whether this process is the first relay of a failure domain.
func (t *Table) isFirstRelay() bool {
	for _, relays := range t.relays {
		if relays[0] == t.self.Address {
			return true
		}
	}
	return false
}

// changesPending reports whether a change was not passed on yet.
func (t *Table) changesPending() bool {
	for _, e := range t.peers {
		if e.passes == changeRepeats {
			return true
		}
	}
	return false
}

// nextFacts returns the entries to pass on in this round: changes that were not
// passed on yet, and in a regular round also earlier changes and the next entries in
// turn.
func (t *Table) nextFacts(regular bool) []*Entry {
	var next []*Entry
	for _, a := range t.order {
		if e := t.peers[a]; (e.passes == changeRepeats || regular && e.passes > 0) && len(next) < maxChanges {
			e.passes--
			next = append(next, e)
		}
	}
	if !regular || len(t.order) == 0 {
		return next
	}
	for range (len(t.order) + factRounds - 1) / factRounds {
		t.factOffset = (t.factOffset + 1) % len(t.order)
		if e := t.peers[t.order[t.factOffset]]; !slices.Contains(next, e) {
			next = append(next, e)
		}
	}
	return next
}

// candidateFacts returns facts about the next count of the balancers of the own
// failure domain that come first as relays.
func (t *Table) candidateFacts(now time.Time, count int) []Fact {
	ranked := t.rankRelays(now, t.self.Domain)
	ranked = ranked[:min(len(ranked), relayCandidates)]
	var facts []Fact
	for range min(count, len(ranked)) {
		t.candidateOffset = (t.candidateOffset + 1) % len(ranked)
		if e := t.peers[ranked[t.candidateOffset]]; e != nil {
			facts = append(facts, e.fact(now))
		}
	}
	return facts
}
