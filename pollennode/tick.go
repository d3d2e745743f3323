package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
)

// Tick runs the periodic work of the balancer. It must be called at every
// TickInterval.
func (b *Balancer) Tick(now time.Time) {
	b.tick(now)
	if !b.BatchesSearches() {
		b.repeatSearches(now)
	}
}

func (b *Balancer) tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Self().Uptime = now.Sub(b.startTime)
	for _, p := range b.table.Expire(now) {
		if p.Role == pollenpeer.RoleGate {
			b.steer.RemoveGate(p.Address)
		}
		delete(b.lastUpdate, p.Address)
		delete(b.behindSince, p.Address)
		b.log.Info("peer lost", peerFields(&p))
	}
	b.steer.Sweep(now)
	b.observeLink(now)
	b.updateComplete(now)
	b.updateRestarted(now)
	for _, p := range b.steer.TakeLostFlows(now) {
		b.sendReset(&p)
		b.metrics.CountRefusal(pollenkernel.RefusalUnknownFlow)
		b.logDecision(now, &p, &pollensteer.Decision{
			Verdict: pollensteer.VerdictReset, Reason: pollenkernel.RefusalUnknownFlow,
		}, pollenlink.Header{Revision: b.steer.Revision()})
	}
	evictExpired(now, b.searchBuffer, searchBufferTime)
	evictExpired(now, b.openingBuffer, openingBufferTime)
	b.evictBatches(now)
	b.logSpill(now)
	b.chooseBootstrapHost(now)
	b.sendDueHeartbeats(now)
	b.log.ReportDropped(now)
}

// updateComplete detects whether this process may lack gates, so that it must not reset
// a flow that no known gate holds. mu must be held.
func (b *Balancer) updateComplete(now time.Time) {
	b.steer.SetGateKnowledge(now, b.table.FreshAge(), b.table.Complete(now))
	if unsure := b.table.Unsure(now); unsure != b.unsure {
		b.unsure = unsure
		b.log.Info("knowledge of gates changed", pollenrecord.Fields{
			"unsure": unsure, "domains": b.table.UnknownDomains(now), "gates": b.steer.GateCount(), "uptime": now.Sub(b.startTime).String(),
		})
	}
}

// updateRestarted detects whether the whole system has just started, which changes
// how flows are searched. mu must be held.
func (b *Balancer) updateRestarted(now time.Time) {
	restarted := b.table.Restarted(now)
	if restarted {
		b.table.MarkRestarted()
	}
	b.steer.SetSystemRestarted(restarted)
	if restarted != b.restarted {
		b.restarted = restarted
		b.log.Info("system restart state changed", pollenrecord.Fields{
			"restarted": restarted, "peers": len(b.table.All()), "uptime": now.Sub(b.startTime).String(),
		})
	}
}

// sendDueHeartbeats sends the heartbeats that are due. mu must be held.
func (b *Balancer) sendDueHeartbeats(now time.Time) {
	b.sendRound(now)
	due := b.table.DuePeers(now)
	if len(due) == 0 {
		return
	}
	own := b.ownHeartbeat(now)
	own.Report = own.Relayed
	b.sendHeartbeat(&own, due...)
}

// sendRound sends what is due of this process as a relay. Each group of receivers
// gets the same message. mu must be held.
func (b *Balancer) sendRound(now time.Time) {
	r, ok := b.table.NextRound(now)
	if !ok {
		return
	}
	for _, group := range []struct {
		to      []netip.AddrPort
		facts   []pollenpeer.Fact
		vouches []pollenpeer.Vouch
		// report is set for relays: one that does not know this process as a relay
		// answers it as a balancer that reports to it.
		report bool
	}{
		{r.Relays, r.RelayFacts, r.Own, true}, {r.Balancers, r.BalancerFacts, r.Vouches, false}, {r.Gates, r.GateFacts, nil, false},
	} {
		if len(group.to) == 0 {
			continue
		}
		for _, a := range group.to {
			b.table.MarkSent(now, a)
		}
		own := b.ownHeartbeat(now)
		own.Facts, own.Vouches, own.Report = group.facts, group.vouches, group.report
		b.sendHeartbeat(&own, group.to...)
	}
}

// chooseBootstrapHost makes the first seed of a new system choose, once, the host
// that bootstraps the system: itself if it has a data folder, and otherwise a
// peer with a disk. On other hosts it does nothing. mu must be held.
func (b *Balancer) chooseBootstrapHost(now time.Time) {
	s := &b.settings
	if !s.FirstStart || b.bootstrapHost.IsValid() || len(s.Seeds) == 0 || s.Seeds[0] != s.Node || now.Sub(b.startTime) < bootstrapDelay {
		return
	}
	if b.control != nil {
		b.bootstrapHost = s.Node
		return
	}
	for _, e := range b.table.All() {
		if e.Peer.Disk && e.Peer.FirstStart {
			b.bootstrapHost = e.Peer.Address
			return
		}
	}
}

// mayBootstrap reports whether this host was chosen to bootstrap a new system.
func (b *Balancer) mayBootstrap(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.settings.FirstStart && b.bootstrapHost == b.settings.Node
}
