package pollenpeer

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// Limits of relaying.
const (
	// meshLimit is the number of balancers up to which every process sends heartbeats
	// to every balancer. Above it a process sends them to the relays of its failure
	// domain only, so that the heartbeats of a process do not grow with the system.
	meshLimit = 40
	// relaysPerDomain is the number of relays of a failure domain; one of them may
	// be lost.
	relaysPerDomain = 2
	// relayCandidates is the number of balancers of its failure domain that a gate
	// is told of, so that it finds another relay when both are lost.
	relayCandidates = 2 * relaysPerDomain
	// factRounds is the number of rounds in which a relay passes on every peer once,
	// also those that did not change.
	factRounds = 16
	// changeRepeats is the number of rounds in which a change is passed on, since
	// datagrams may be lost.
	changeRepeats = 3
	// maxChanges bounds the changes that are passed on in one round.
	maxChanges = 128
	// maxUnheard bounds the peers in one list of those that are not heard.
	maxUnheard = 128
	// factTimeout is how long a peer is known without a heartbeat of its own or a
	// newer fact about it: several times what a fact takes over two relays that pass
	// it on once in factRounds rounds, since datagrams may be lost.
	factTimeout = 60 * time.Second
	// goneTimeout is how long others are told of a peer that has expired: until it
	// has expired there too.
	goneTimeout = 2 * PeerTimeout
	// incompleteTimeout is how long a process lacks peers that a relay vouches for
	// until it asks for a snapshot; what has just changed arrives by itself.
	// snapshotInterval is the time between two snapshots to the same peer.
	incompleteTimeout = 2 * HeartbeatInterval
	snapshotInterval  = time.Second
	// silentRelayPeriod is how long a relay that did not answer is not used again,
	// unless it sends a heartbeat.
	silentRelayPeriod = 5 * time.Second
	// RelayedFreshAge is FreshAge where heartbeats are relayed. A process whose relays
	// are lost reports to others after FreshAge, and these pass that on.
	RelayedFreshAge = 7 * HeartbeatInterval
)

// FreshAge is the age below which the last sign of life of a peer counts as
// current.
func (t *Table) FreshAge() time.Duration {
	if t.relayed {
		return RelayedFreshAge
	}
	return FreshAge
}

// Relayed reports whether this process sends its heartbeats to relays only.
func (t *Table) Relayed() bool { return t.relayed }

// updateRelayed decides between heartbeats to all balancers and to relays, with
// hysteresis. Gates know few balancers and follow what these do. A balancer that has
// just started knows few as well, and goes by those that know most.
func (t *Table) updateRelayed() {
	if t.self.Role == RoleGate {
		return
	}
	known := len(t.balancers)
	for _, a := range t.balancers {
		known = max(known, t.peers[a].knownBalancers)
	}
	switch {
	case known > meshLimit:
		t.relayed = true
	case known < meshLimit*3/4:
		t.relayed = false
	}
}

// updateRelays chooses the relays of every failure domain.
func (t *Table) updateRelays(now time.Time) {
	clear(t.relays)
	defer maps.DeleteFunc(t.serving, func(domain pollendocument.DomainName, _ relayedDomain) bool {
		return !slices.Contains(t.relays[domain], t.self.Address)
	})
	if !t.relayed {
		return
	}
	for _, domain := range t.sortedDomains() {
		if ranked := t.rankRelays(now, domain); len(ranked) > 0 {
			t.relays[domain] = ranked[:min(len(ranked), relaysPerDomain)]
		}
	}
	// The peers of a domain without a balancer report to the relays of another one.
	for _, domain := range t.sortedDomains() {
		if t.relays[domain] != nil {
			continue
		}
		for _, other := range t.sortedDomains() {
			if len(t.relays[other]) > 0 {
				t.relays[domain] = t.relays[other]
				break
			}
		}
	}
}

// rankRelays returns the balancers of the domain in the order in which they serve
// as relays: first the one with the fastest link, since a relay sends more than
// others, and then by a hash, so that the second is rarely lost with the first.
func (t *Table) rankRelays(now time.Time, domain pollendocument.DomainName) []netip.AddrPort {
	type scored struct {
		address netip.AddrPort
		score   uint64
		rate    int64
	}
	var ranked []scored
	add := func(p *Peer) {
		ranked = append(ranked, scored{p.Address, hashOf(p.Address, string(domain)), p.LinkRate})
	}
	if t.self.Role == RoleBalancer && t.self.Domain == domain && !t.self.Leaving {
		add(&t.self)
	}
	for _, a := range t.balancers {
		e := t.peers[a]
		if e.Peer.Domain == domain && !e.Peer.Leaving && now.Sub(e.LastSeen) < RelayedFreshAge && !now.Before(t.silentRelays[a]) {
			add(&e.Peer)
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if a.score < b.score {
			return -1
		}
		return 1
	})
	fastest := 0
	for i := range ranked {
		if ranked[i].rate > ranked[fastest].rate {
			fastest = i
		}
	}
	addresses := make([]netip.AddrPort, 0, len(ranked))
	for i := range ranked {
		if i == fastest {
			addresses = slices.Insert(addresses, 0, ranked[i].address)
		} else {
			addresses = append(addresses, ranked[i].address)
		}
	}
	return addresses
}

func compareDomains(a, b pollendocument.DomainName) int { return strings.Compare(string(a), string(b)) }

// sortedDomains returns the failure domains of this process and its peers.
func (t *Table) sortedDomains() []pollendocument.DomainName {
	domains := []pollendocument.DomainName{t.self.Domain}
	for _, a := range t.order {
		if d := t.peers[a].Peer.Domain; !slices.Contains(domains, d) {
			domains = append(domains, d)
		}
	}
	slices.SortFunc(domains, compareDomains)
	return domains
}

// IsRelay reports whether this process is one of the relays of the domain, and
// whether it is the first of them.
func (t *Table) IsRelay(domain pollendocument.DomainName) (relay, first bool) {
	relays := t.relays[domain]
	return slices.Contains(relays, t.self.Address), len(relays) > 0 && relays[0] == t.self.Address
}

// Relays returns the relays of all failure domains other than this process, sorted.
func (t *Table) Relays() []netip.AddrPort {
	var all []netip.AddrPort
	for _, relays := range t.relays {
		all = append(all, relays...)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(all), func(a netip.AddrPort) bool { return a == t.self.Address })
}

// RelaysOf returns the relays that a process of the domain sends heartbeats to.
func (t *Table) RelaysOf(domain pollendocument.DomainName) []netip.AddrPort { return t.relays[domain] }

// ReportTargets returns the balancers that this process sends its heartbeats to,
// sorted. A relay that does not answer is replaced for silentRelayPeriod, also if
// others still hear it.
func (t *Table) ReportTargets(now time.Time) []netip.AddrPort {
	if !t.relayed {
		return slices.Clone(t.balancers)
	}
	for a, since := range t.reportedSince {
		if e := t.peers[a]; e != nil && now.Sub(later(e.HeardAt, since)) >= FreshAge {
			t.silentRelays[a] = now.Add(silentRelayPeriod)
		}
	}
	t.updateRelays(now)
	targets := slices.DeleteFunc(slices.Clone(t.relays[t.self.Domain]), func(a netip.AddrPort) bool { return a == t.self.Address })
	if relay, _ := t.IsRelay(t.self.Domain); relay {
		targets = t.Relays()
	}
	slices.SortFunc(targets, netip.AddrPort.Compare)
	for a := range t.reportedSince {
		if !slices.Contains(targets, a) {
			delete(t.reportedSince, a)
		}
	}
	for _, a := range targets {
		if _, reported := t.reportedSince[a]; !reported {
			t.reportedSince[a] = now
		}
	}
	return targets
}

// Subscribers returns the peers that report to this process as their relay, sorted.
// Peers of the own failure domain count also if this process is no relay of it: the
// relays may not answer them.
func (t *Table) Subscribers(now time.Time) []*Entry {
	var subscribers []*Entry
	relays := t.Relays()
	for _, a := range t.order {
		e := t.peers[a]
		relay, _ := t.IsRelay(e.Peer.Domain)
		own := relay || e.Peer.Domain == t.self.Domain
		if own && now.Sub(e.ReportedAt) < FreshAge && !slices.Contains(relays, a) {
			subscribers = append(subscribers, e)
		}
	}
	return subscribers
}

// Misdirected reports whether a heartbeat was sent to this process as to a relay
// although it is none. The sender is then told who are the relays of this failure
// domain.
func (t *Table) Misdirected(heartbeat *Heartbeat) bool {
	return t.relayed && heartbeat.Report && len(t.ownDomains()) == 0
}

// ownDomains returns the failure domains that this process is a relay of.
func (t *Table) ownDomains() []pollendocument.DomainName {
	var domains []pollendocument.DomainName
	for domain, relays := range t.relays {
		if slices.Contains(relays, t.self.Address) {
			domains = append(domains, domain)
		}
	}
	return domains
}
