package pollenpeer

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

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
	// relayedIsolationWindow is isolationWindow where only relays send heartbeats to
	// this process: when both are lost, the next ones answer within FreshAge and two
	// ticks.
	relayedIsolationWindow = FreshAge + HeartbeatInterval
	// isolationMinPeers is the number of known peers below which a process never
	// counts as isolated.
	isolationMinPeers = 4
)

// Isolated reports whether this process must be partitioned from its peers, so that
// others should take over its work: so few of them sent a heartbeat recently, or
// most of the balancers that did report that they receive none from this process.
// This covers hosts that callers can reach and other hosts cannot, also where
// packets pass in one direction only.
func (t *Table) Isolated(now time.Time) bool {
	if len(t.peers) < isolationMinPeers {
		return false
	}
	recent, heard, missing := 0, 0, 0
	for _, e := range t.peers {
		age := now.Sub(e.HeardAt)
		if age < isolationWindow {
			recent++
		}
		if e.Peer.Role == RoleBalancer && age < relayedIsolationWindow {
			heard++
			if e.MissesSelf && t.self.Uptime >= relayedIsolationWindow {
				// Just after its start a process has not sent heartbeats to all yet.
				missing++
			}
		}
	}
	if t.relayed {
		return heard == 0 || missing == heard
	}
	return recent*isolationShare < len(t.peers) || missing*2 > heard
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
// flow from before exists. It returns false while no gate is known, or no peer in one
// of the failure domains: only some of them may have been down.
func (t *Table) Restarted(now time.Time) bool {
	gates, empty := 0, 0
	unheard := slices.Clone(t.domains)
	for _, e := range t.peers {
		if now.Sub(e.LastSeen) >= t.FreshAge() {
			continue
		}
		unheard = slices.DeleteFunc(unheard, func(domain pollendocument.DomainName) bool { return domain == e.Peer.Domain })
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
			if e.Peer.Uptime+now.Sub(e.ReceivedAt) >= maxRestartUptime {
				return false
			}
		}
	}
	return len(unheard) == 0 && gates > 0 && empty*maxEmptyShare <= gates
}
