package pollennode

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
)

// Tick does what is due. It is to be called every Interval.
func (b *Balancer) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.table.Expire(now) {
		if p.Role == pollenpeer.RoleGate {
			b.steer.RemoveGate(p.Address)
		}
		delete(b.lastUpdate, p.Address)
		delete(b.behindSince, p.Address)
		b.log.Info("peer lost", peerFields(&p))
	}
	b.steer.Sweep(now)
	b.updateRestarted(now)
	for _, p := range b.steer.TakeLostFlows(now) {
		b.sendReset(&p)
		b.metrics.Refused(pollenkernel.RefusalUnknownFlow)
		b.logDecision(now, &p, &pollensteer.Decision{
			Verdict: pollensteer.VerdictReset, Reason: pollenkernel.RefusalUnknownFlow,
		}, pollenlink.Header{Revision: b.steer.Revision()})
	}
	evictExpired(now, b.searchBuffer, searchBufferTime)
	evictExpired(now, b.openingBuffer, openingBufferTime)
	b.chooseBootstrapHost(now)
	b.sendDueHeartbeats(now)
	b.log.ReportDropped(now)
}

// noteRestart tells the decisions whether the whole system has just started. The
// lock is held.
func (b *Balancer) updateRestarted(now time.Time) {
	restarted := b.table.Restarted(now)
	b.steer.SetSystemRestarted(restarted)
	if restarted != b.restarted {
		b.restarted = restarted
		b.log.Info("restart of the whole system", pollenrecord.Fields{
			"restarted": restarted, "peers": len(b.table.All()), "uptime": now.Sub(b.startTime).String(),
		})
	}
}

// beat sends the beats that are due. The lock is held.
func (b *Balancer) sendDueHeartbeats(now time.Time) {
	due := b.table.DuePeers(now)
	if len(due) == 0 {
		return
	}
	own := b.ownHeartbeat(now)
	b.sendHeartbeat(&own, due...)
}

// nameFounder lets the first seed of a new system choose, once, the host that
// founds it. The lock is held.
func (b *Balancer) chooseBootstrapHost(now time.Time) {
	s := &b.settings
	if !s.FirstStart || b.bootstrapHost.IsValid() || len(s.Seeds) == 0 || s.Seeds[0] != s.Node || now.Sub(b.startTime) < bootstrapDelay {
		return
	}
	if b.control != nil {
		b.bootstrapHost = s.Node
		return
	}
	for _, k := range b.table.All() {
		if k.Peer.Disk && k.Peer.FirstStart {
			b.bootstrapHost = k.Peer.Address
			return
		}
	}
}

// mayFound reports whether this host was named as the founder.
func (b *Balancer) mayBootstrap(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settings.FirstStart && b.bootstrapHost == b.settings.Node
}
