package pollenpeer

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// TakeNewCandidates reports whether candidates were added since the last call.
func (t *Table) TakeNewCandidates() bool {
	taken := t.newCandidates
	t.newCandidates = false
	return taken
}

// DuePeers returns the addresses to send a heartbeat to now, and schedules the
// next one to each. These are the balancers that this process reports to, unknown
// seeds and candidates; known gates get their heartbeats as replies. A process that
// has relays does not look for further balancers.
func (t *Table) DuePeers(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	addDue := func(a netip.AddrPort, every time.Duration) {
		if at, ok := t.nextDue[a]; !ok || !now.Before(at) {
			t.nextDue[a] = now.Add(every)
			due = append(due, a)
		}
	}
	targets := t.ReportTargets(now)
	for _, a := range targets {
		addDue(a, HeartbeatInterval)
	}
	if t.reporting(now, targets) {
		return due
	}
	if len(t.peers) == 0 {
		return append(due, t.nextSeed(now)...)
	}
	t.seedAttempts = 0
	for _, a := range t.seeds {
		if _, known := t.peers[a]; !known || t.relayed {
			addDue(a, SeedInterval)
		}
	}
	if t.relayed {
		// No relay answers, and those that were known may have been replaced: any
		// balancer of the own failure domain names the present ones.
		for _, a := range t.balancers {
			if t.peers[a].Peer.Domain == t.self.Domain {
				addDue(a, SeedInterval)
			}
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(t.candidates), netip.AddrPort.Compare) {
		addDue(a, HeartbeatInterval)
	}
	return due
}

// reporting reports whether this process is known to the relays that it reports to
// and need not look for others. Relays themselves do, since they alone find the other
// part of the system again after a long partition.
func (t *Table) reporting(now time.Time, targets []netip.AddrPort) bool {
	if relay, _ := t.IsRelay(t.self.Domain); !t.relayed || relay {
		return false
	}
	return slices.ContainsFunc(targets, func(a netip.AddrPort) bool { return now.Sub(t.peers[a].HeardAt) < FreshAge })
}

// Intervals between the heartbeats to seeds while no peer is known.
const (
	minSeedInterval = HeartbeatInterval / 4
	maxSeedInterval = 2 * HeartbeatInterval
)

// nextSeed returns the seed to contact while no peer is known, or none if it is not
// time yet. The seeds take turns, each process begins with another one, and the
// interval grows: after a restart of all processes at once hundreds of them know only
// the same few seeds, which may have the thinnest links.
func (t *Table) nextSeed(now time.Time) []netip.AddrPort {
	if len(t.seeds) == 0 || now.Before(t.nextSeedAt) {
		return nil
	}
	hash := hashOf(t.self.Address, "seed")
	a := t.seeds[(hash+uint64(t.seedAttempts))%uint64(len(t.seeds))]
	interval := minSeedInterval
	for range t.seedAttempts / len(t.seeds) {
		interval = min(maxSeedInterval, 2*interval)
	}
	t.seedAttempts++
	// Up to a quarter more, different for each process and attempt.
	const jitterSteps = 64
	jitter := hashOf(t.self.Address, strconv.Itoa(t.seedAttempts)) % jitterSteps
	t.nextSeedAt = now.Add(interval + interval*time.Duration(jitter)/(4*jitterSteps))
	t.nextDue[a] = now.Add(HeartbeatInterval)
	return []netip.AddrPort{a}
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
	heartbeat := Heartbeat{
		Peer: t.self, Relayed: t.relayed, Unheard: t.unheard(now),
		Incomplete: t.lacking(now),
	}
	if t.self.Role == RoleBalancer {
		heartbeat.KnownBalancers = len(t.balancers)
	}
	if t.relayed {
		return heartbeat
	}
	for range min(maxBalancerSample, len(t.balancers)) {
		t.sampleOffset = (t.sampleOffset + 1) % len(t.balancers)
		if a := t.balancers[t.sampleOffset]; now.Sub(t.peers[a].LastSeen) < FreshAge {
			heartbeat.Balancers = append(heartbeat.Balancers, a)
		}
	}
	return heartbeat
}

// unheard returns the balancers from which this process expects heartbeats and has
// received none for FreshAge.
func (t *Table) unheard(now time.Time) []netip.AddrPort {
	var unheard []netip.AddrPort
	for _, a := range t.balancers {
		e := t.peers[a]
		since, reported := t.reportedSince[a]
		if t.relayed && !reported {
			continue
		}
		if !e.HeardAt.IsZero() && now.Sub(later(e.HeardAt, since)) >= FreshAge && len(unheard) < maxUnheard {
			unheard = append(unheard, a)
		}
	}
	return unheard
}
