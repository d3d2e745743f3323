package pollenpeer

import (
	"net/netip"
	"slices"
	"time"
)

// Limits of the list of gates in one heartbeat.
const (
	// maxGates bounds the addresses and maxSilentGates the descriptions of gates.
	maxGates       = 96
	maxSilentGates = 64
)

// ListGates returns what a new balancer is told of the gates where heartbeats are not
// relayed: the sorted addresses of those that sent a heartbeat lately, what is known of
// those that did not, and whether these are all gates of the system. A gate that is
// silent for a moment has not lost its flows, and the newcomer hears nothing of it
// otherwise.
func (t *Table) ListGates(now time.Time) (fresh []netip.AddrPort, silent []Fact, all bool) {
	for _, a := range t.order {
		switch e := t.peers[a]; {
		case e.Peer.Role != RoleGate:
		case now.Sub(e.LastSeen) < FreshAge:
			fresh = append(fresh, a)
		default:
			silent = append(silent, e.fact(now))
		}
	}
	all = t.listsAll() && len(fresh) <= maxGates && len(silent) <= maxSilentGates
	return slices.Clip(fresh[:min(len(fresh), maxGates)]), silent[:min(len(silent), maxSilentGates)], all
}

// MarkRestarted records that the whole system has just started, see Restarted: no gate is
// remembered from before that others could list.
func (t *Table) MarkRestarted() { t.restarted = true }

// knowsList reports whether this process knows, where heartbeats are not relayed, which
// gates there are: from one that knew it, or because it has run for so long that each
// gate has sent it a heartbeat or is removed everywhere.
func (t *Table) knowsList() bool {
	return t.listed || t.restarted || t.self.Uptime >= PeerTimeout
}

// listsAll reports whether this process knows every gate where heartbeats are not relayed.
func (t *Table) listsAll() bool { return t.knowsList() && len(t.awaited) == 0 }
