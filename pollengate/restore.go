package pollengate

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Checkpoint returns the checkpoint of the confirmed flows that no end has closed,
// without the address of the gate and the counter. ok is false until the backend server
// has reported.
func (g *Gate) Checkpoint(time.Time) (c pollencheckpoint.Checkpoint, ok bool) {
	if g.lastReport.IsZero() {
		return c, false
	}
	c.Server, c.Incarnation = g.report.Name, g.report.Incarnation
	c.Flows = make([]pollencheckpoint.Flow, 0, len(g.flows))
	for key, f := range g.flows {
		if f.confirmed && !f.callerDone && !f.serverDone {
			c.Flows = append(c.Flows, pollencheckpoint.Flow{Flow: key, Position: f.serverNext})
		}
	}
	slices.SortFunc(c.Flows, func(a, b pollencheckpoint.Flow) int { return a.Flow.Compare(b.Flow) })
	c.Flows = c.Flows[:min(len(c.Flows), pollencheckpoint.MaxFlows)]
	return c, true
}

// Restore handles a checkpoint that an earlier process of this gate has sent, now or at
// the first report of the backend server. If the server has restarted since, the flows
// are lost, see TakeLostFlows. If it has not, the gate tracks them again. Flows that the
// gate already tracks are left as they are. A checkpoint that is not newer than an
// earlier one is ignored.
func (g *Gate) Restore(now time.Time, c *pollencheckpoint.Checkpoint) {
	if g.checkpoint != nil && !c.Newer(g.checkpoint) {
		return
	}
	g.checkpoint = c
	if !g.lastReport.IsZero() {
		g.applyCheckpoint(now)
	}
}

// applyCheckpoint applies the checkpoint to be restored, if there is one, after the
// first report of the backend server. A checkpoint of a later start, or of a server
// with another name that has not started since, is not of this server.
func (g *Gate) applyCheckpoint(now time.Time) {
	if g.checkpoint == nil || g.checkpoint.Incarnation > g.report.Incarnation {
		// A delayed report of an earlier start may come first.
		return
	}
	flows := g.checkpoint.Flows
	// The rest of the checkpoint is kept for the comparison with later ones.
	g.checkpoint.Flows = nil
	switch c := g.checkpoint; {
	case c.Incarnation < g.report.Incarnation:
		for _, f := range flows {
			if g.flows[f.Flow] == nil {
				g.lost.Packets = append(g.lost.Packets, lostPacket(f.Flow, f.Position))
			}
		}
		g.lost.Before, g.lost.After = c.Incarnation, g.report.Incarnation
	case c.Incarnation == g.report.Incarnation && c.Server == g.report.Name:
		for _, f := range flows {
			if g.flows[f.Flow] == nil {
				g.flows[f.Flow] = &flow{
					stage: stageIdle, stageStart: now, lastUsed: now, answered: true, serverFirst: f.Position, serverNext: f.Position,
					confirmed: true, restored: true, receipt: g.newReceipt(f.Flow),
				}
				g.restoredFlows++
			}
		}
	}
}

// TakeRestoredFlows returns the number of flows that Restore has made the gate track
// again since the last call.
func (g *Gate) TakeRestoredFlows() int {
	n := g.restoredFlows
	g.restoredFlows = 0
	return n
}

// restoreTolerance is the difference in bytes between the position of a restored flow
// and the one that its caller acknowledges up to which both can be the same flow:
// callers accept a reset within that range. A larger one means that the caller has used
// its port for another flow since.
const restoreTolerance = 76_800

// lookup returns the flow of a caller's packet, or nil if it is not tracked. A restored
// flow that the packet cannot belong to is removed: it has ended since the checkpoint.
func (g *Gate) lookup(now time.Time, p *pollenpacket.Packet) *flow {
	f := g.flows[p.Flow]
	if f == nil || !f.restored || p.RST {
		return f
	}
	difference := int32(p.Acknowledged - f.serverNext)
	if !p.Opening() && difference <= restoreTolerance && difference >= -restoreTolerance {
		return f
	}
	g.remove(now, p.Flow)
	return nil
}

// probeRestored records that a packet of a restored flow is delivered, so that the
// balancer is notified if the backend server does not hold the flow.
func (g *Gate) probeRestored(now time.Time, from netip.AddrPort, f *flow, p *pollenpacket.Packet) {
	if f.restored {
		g.probes[p.Flow] = probe{balancer: from, sentAt: now}
	}
}

// verifyRestored updates a restored flow from a packet of the backend server, and
// returns the flow or nil if the server does not hold it. A reset must not reach the
// caller in that case, since another server may hold the flow.
func (g *Gate) verifyRestored(now time.Time, p *pollenpacket.Packet) *flow {
	f := g.flows[p.Flow]
	if f == nil || !f.restored {
		return f
	}
	if p.RST {
		g.remove(now, p.Flow)
		return nil
	}
	f.restored = false
	return f
}
