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
		delete(b.updated, p.Address)
		delete(b.behind, p.Address)
		b.record.Info("peer lost", peerFields(&p))
	}
	b.steer.Sweep(now)
	b.noteRestart(now)
	for _, p := range b.steer.TakeLostFlows(now) {
		b.reset(&p)
		b.metrics.CountRefusal(pollenkernel.RefusalUnknownFlow)
		b.logDecision(now, &p, &pollensteer.Decision{
			Verdict: pollensteer.VerdictReset, Reason: pollenkernel.RefusalUnknownFlow,
		}, pollenlink.Header{Revision: b.steer.Revision()})
	}
	forget(now, b.pending, pendingFor)
	forget(now, b.held, heldFor)
	b.nameFounder(now)
	b.beat(now)
	b.record.ReportDropped(now)
}

// noteRestart tells the decisions whether the whole system has just started. The
// lock is held.
func (b *Balancer) noteRestart(now time.Time) {
	restarted := b.table.Restarted(now)
	b.steer.SetSystemRestarted(restarted)
	if restarted != b.restarted {
		b.restarted = restarted
		b.record.Info("restart of the whole system", pollenrecord.Fields{
			"restarted": restarted, "peers": len(b.table.All()), "uptime": now.Sub(b.began).String(),
		})
	}
}

// beat sends the beats that are due. The lock is held.
func (b *Balancer) beat(now time.Time) {
	due := b.table.DuePeers(now)
	if len(due) == 0 {
		return
	}
	own := b.ownBeat(now)
	b.sendBeat(&own, due...)
}

// nameFounder lets the first seed of a new system choose, once, the host that
// founds it. The lock is held.
func (b *Balancer) nameFounder(now time.Time) {
	s := &b.settings
	if !s.FirstStart || b.founder.IsValid() || len(s.Seeds) == 0 || s.Seeds[0] != s.Node || now.Sub(b.began) < foundDelay {
		return
	}
	if b.control != nil {
		b.founder = s.Node
		return
	}
	for _, k := range b.table.All() {
		if k.Peer.Disk && k.Peer.FirstStart {
			b.founder = k.Peer.Address
			return
		}
	}
}

// mayFound reports whether this host was named as the founder.
func (b *Balancer) mayFound(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settings.FirstStart && b.founder == b.settings.Node
}
