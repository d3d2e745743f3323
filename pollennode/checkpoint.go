package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenwire"
)

// restoreTime is the uptime up to which a gate asks balancers for its checkpoint: by
// then the balancers have returned that lost power together with the gate.
const restoreTime = 10 * time.Second

// restoreTimeout is how much longer a gate accepts answers.
const restoreTimeout = 5 * time.Second

// A checkpointer sends the checkpoints of a gate and asks for that of the gate's earlier
// process. base.mu guards it.
type checkpointer struct {
	schedule *pollencheckpoint.Schedule
	// asked holds the incarnations of the balancers that were asked.
	asked map[netip.AddrPort]uint64
}

func newCheckpointer(now time.Time) checkpointer {
	return checkpointer{schedule: pollencheckpoint.NewSchedule(now), asked: map[netip.AddrPort]uint64{}}
}

// tickCheckpoint sends the requests and the checkpoint that are due. mu must be held.
func (g *Gate) tickCheckpoint(now time.Time) {
	if now.Sub(g.startTime) < restoreTime {
		g.requestRestore()
	}
	if !g.checkpointer.schedule.Due(now) {
		return
	}
	c, ok := g.gate.Checkpoint(now)
	if !ok {
		return
	}
	c.Gate = g.settings.Node
	keepers := pollencheckpoint.Choose(g.settings.Node, g.settings.Domain, g.keeperCandidates())
	if g.checkpointer.schedule.Next(now, &c, keepers) {
		g.transport.SendMessage(pollenlink.KindCheckpoint, pollenwire.Marshal(&c, pollenwire.MapCheckpoint), keepers...)
	}
}

// keeperCandidates returns the known balancers with a disk. mu must be held.
func (g *Gate) keeperCandidates() (candidates []pollencheckpoint.Candidate) {
	for _, a := range g.table.Balancers() {
		if e, ok := g.table.Get(a); ok && e.Peer.Disk {
			candidates = append(candidates, pollencheckpoint.Candidate{Address: a, Domain: e.Peer.Domain})
		}
	}
	return candidates
}

// requestRestore asks each known balancer with a disk for the checkpoint, once in each of
// its incarnations. mu must be held.
func (g *Gate) requestRestore() {
	for _, a := range g.table.Balancers() {
		e, ok := g.table.Get(a)
		if !ok || !e.Peer.Disk || g.checkpointer.asked[a] == e.Peer.Incarnation {
			continue
		}
		g.checkpointer.asked[a] = e.Peer.Incarnation
		g.transport.SendMessage(pollenlink.KindRestore, pollenwire.Marshal(&g.settings.Node, pollenwire.MapRestoreRequest), a)
	}
}

// handleRestored handles the answer of a balancer that was asked for the checkpoint.
func (g *Gate) handleRestored(now time.Time, from netip.AddrPort, c *pollencheckpoint.Checkpoint) {
	lost := g.restore(now, from, c)
	g.resetLostFlows(&lost)
}

func (g *Gate) restore(now time.Time, from netip.AddrPort, c *pollencheckpoint.Checkpoint) pollengate.LostFlows {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checkpointer.asked[from] == 0 || c.Gate != g.settings.Node || now.Sub(g.startTime) >= restoreTime+restoreTimeout {
		return pollengate.LostFlows{}
	}
	g.log.Info("checkpoint received", pollenrecord.Fields{
		"from": from, "flows": len(c.Flows), "server": c.Server, "born": c.Incarnation, "counter": c.Counter,
	})
	g.gate.Restore(now, c)
	g.logRestored()
	return g.gate.TakeLostFlows(now)
}

// logRestored counts and logs the flows that the gate tracks again. mu must be held.
func (g *Gate) logRestored() {
	if n := g.gate.TakeRestoredFlows(); n > 0 {
		g.metrics.CountEvent(pollenmetric.EventFlowRestored, int64(n))
		g.log.Info("flows restored from a checkpoint", pollenrecord.Fields{"flows": n})
	}
}
