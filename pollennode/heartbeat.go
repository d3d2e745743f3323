package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
)

// handleHeartbeat records a heartbeat and what it passes on about other peers. It
// replies to peers that this process has not heard lately and to gates that are due
// a heartbeat, and sends a peer with an older view the update.
func (b *Balancer) handleHeartbeat(now time.Time, heartbeat *pollenpeer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	peer := &heartbeat.Peer
	before, _ := b.table.Get(peer.Address)
	b.recordPeer(now, b.table.Receive(now, heartbeat), peer.Address)
	for _, e := range b.table.MergeFacts(now, heartbeat.Facts) {
		b.recordPeer(now, pollenpeer.ChangeState, e.Peer.Address)
	}
	if len(heartbeat.Vouches) > 0 {
		b.table.MergeVouches(now, heartbeat)
		b.refreshGates()
	}
	if heartbeat.BootstrapHost.IsValid() && len(b.settings.Seeds) > 0 && peer.Address == b.settings.Seeds[0] {
		b.bootstrapHost = heartbeat.BootstrapHost
	}
	b.mergeLeadership(now, heartbeat.LeadershipAt(now), peer.Address)
	b.answerHeartbeat(now, heartbeat, &before)
	if b.table.TakeNewCandidates() && now.Sub(b.startTime) < discoveryTime {
		b.sendDueHeartbeats(now)
	}
	b.catchUp(now, peer)
}

// answerHeartbeat replies to a heartbeat if its sender needs one. before is the
// sender's entry before the heartbeat was recorded. mu must be held.
func (b *Balancer) answerHeartbeat(now time.Time, heartbeat *pollenpeer.Heartbeat, before *pollenpeer.Entry) {
	peer := &heartbeat.Peer
	newcomer := before.Peer.Incarnation != peer.Incarnation || now.Sub(before.HeardAt) >= pollenpeer.FreshAge
	// Where heartbeats are relayed, a sender that does not know that yet, or who the
	// relays are, is answered like a newcomer.
	unaware := b.table.Relayed() && !heartbeat.Relayed || b.table.Misdirected(heartbeat)
	expectsReply := !b.table.Relayed() && (heartbeat.Report || peer.Role == pollenpeer.RoleGate)
	lacking := heartbeat.Incomplete && b.table.SnapshotDue(now, peer.Address)
	if newcomer || lacking || ((unaware || expectsReply) && b.table.ReplyDue(now, peer.Address)) {
		b.reply(now, peer, newcomer || unaware || lacking)
	}
}

// recordPeer tells the steering decisions about a peer in the table that has sent a
// heartbeat or has changed. mu must be held.
func (b *Balancer) recordPeer(now time.Time, change pollenpeer.Change, address netip.AddrPort) {
	e, known := b.table.Get(address)
	if !known {
		return
	}
	b.logPeerChange(now, change, &e.Peer)
	if e.Peer.Role != pollenpeer.RoleGate {
		return
	}
	if !b.steer.HasGate(address) || change == pollenpeer.ChangeNew {
		b.lastNewGate = now
	}
	b.steer.SetGate(e.LastSeen, &e.Peer)
	b.steer.SetReachable(address, !e.MissesSelf)
}

// refreshGates tells the steering decisions when each gate last showed a sign of
// life. mu must be held.
func (b *Balancer) refreshGates() {
	b.table.EachSeen(pollenpeer.RoleGate, b.steer.SetSeen)
}

// reply answers a heartbeat. A newcomer is also told about other peers: about all of
// them by the relays of its failure domain, and otherwise about where to ask. mu
// must be held.
func (b *Balancer) reply(now time.Time, p *pollenpeer.Peer, newcomer bool) {
	b.table.MarkSent(now, p.Address)
	own := b.ownHeartbeat(now)
	switch {
	case !newcomer:
	case b.table.Relayed():
		own.Facts, own.Vouches = b.table.Snapshot(now, p)
		own.Balancers = b.table.RelaysOf(p.Domain)
	case p.Role == pollenpeer.RoleBalancer:
		own.Gates, own.Facts, own.Listed = b.table.ListGates(now)
	}
	b.sendHeartbeat(&own, p.Address)
}

// ownHeartbeat returns the next heartbeat of this process. mu must be held.
func (b *Balancer) ownHeartbeat(now time.Time) pollenpeer.Heartbeat {
	b.table.Self().Uptime = now.Sub(b.startTime)
	heartbeat := b.table.NextHeartbeat(now)
	heartbeat.SetLeadership(now, b.leadership)
	heartbeat.BootstrapHost = b.bootstrapHost
	return heartbeat
}

// mergeLeadership takes over news about the leader that is of a higher term, or
// confirmed later. from is where the news came from. mu must be held.
func (b *Balancer) mergeLeadership(now time.Time, news pollenpeer.Leadership, from netip.AddrPort) {
	b.leadership.Merge(now, news)
	if leader := b.leadership.Current(now); leader != b.loggedLeader {
		b.loggedLeader = leader
		b.log.Info("leading control host changed", pollenrecord.Fields{
			"leader": leader, "term": b.leadership.Term, "age": now.Sub(b.leadership.ConfirmedAt).String(), "told": from,
		})
	}
}

// confirmLeader records what this host's replica knows about the leader. An invalid
// Leader means that the replica knows none.
func (b *Balancer) confirmLeader(now time.Time, l pollenpeer.Leadership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Leader != b.settings.Node {
		b.leadership.Reject(now, b.settings.Node)
	}
	b.mergeLeadership(now, l, b.settings.Node)
}
