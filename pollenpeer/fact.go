package pollenpeer

import (
	"net/netip"
	"time"
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
			delete(t.awaited, f.Peer.Address)
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

// Snapshot returns what a peer is sent that reports to this process for the first
// time. A relay sends a balancer of its failure domain facts about all peers and the
// statements of all relays. Any other process sends the relays of its own domain,
// and who would be the next.
func (t *Table) Snapshot(now time.Time, p *Peer) ([]Fact, []Vouch) {
	t.updateRelays(now)
	if relay, _ := t.IsRelay(p.Domain); !relay || p.Role == RoleGate {
		return t.candidateFacts(now, relayCandidates), nil
	}
	facts := make([]Fact, 0, len(t.order))
	for _, a := range t.order {
		facts = append(facts, t.peers[a].fact(now))
	}
	return facts, t.heldVouches(now)
}

// SnapshotDue reports whether the peer at the address, which says that it lacks
// peers, is to be sent a snapshot by this process, at most every snapshotInterval.
func (t *Table) SnapshotDue(now time.Time, a netip.AddrPort) bool {
	e := t.peers[a]
	if e == nil || now.Sub(e.snapshotAt) < snapshotInterval {
		return false
	}
	if relay, _ := t.IsRelay(e.Peer.Domain); t.relayed && !relay || !t.relayed && !t.knowsList() {
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
