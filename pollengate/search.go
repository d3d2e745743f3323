package pollengate

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
)

// A probe is a packet of a flow that the gate does not track, delivered to find
// out whether the backend server holds the flow.
type probe struct {
	// balancer is the balancer that passed the packet.
	balancer netip.AddrPort
	sentAt   time.Time
}

// unseenFlowTimeout is how long after its own start a gate must assume that its
// backend server holds flows that the gate has not seen. It is longer than any
// flow may be idle.
const unseenFlowTimeout = 65 * time.Second

// firstReportIntervals is the number of report intervals after its start after
// which a gate that received no report assumes that it has no backend server.
const firstReportIntervals = 2

// mayHoldUnseenFlow reports whether the backend server may hold flows that were
// opened before this process started.
func (g *Gate) mayHoldUnseenFlow(now time.Time) bool {
	age := now.Sub(g.startTime)
	if g.allFlowsSeen || g.startedTogether() {
		return false
	}
	if g.lastReport.IsZero() && age >= firstReportIntervals*g.config.Bounds.ReportInterval {
		return false
	}
	return age < unseenFlowTimeout
}

// Query decides whether this gate holds the flow whose caller last acknowledged
// the given position. Held is set in the decision if it does, and the verdict is
// otherwise VerdictNotFound, or VerdictNeedsPacket if the flow may be older than
// the gate.
func (g *Gate) Query(now time.Time, f pollenpacket.Flow, acknowledged uint32) Decision {
	p := pollenpacket.Packet{Flow: f, ACK: true, Acknowledged: acknowledged}
	tracked := g.lookup(now, &p)
	switch {
	case tracked != nil && tracked.matches(&p):
		return Decision{Verdict: VerdictDrop, Held: true}
	case tracked != nil:
		g.remove(now, f)
		return Decision{Verdict: VerdictNotFound, Reason: pollenkernel.RefusalUnknownFlow}
	case g.mayHoldUnseenFlow(now):
		return Decision{Verdict: VerdictNeedsPacket}
	}
	return Decision{Verdict: VerdictNotFound, Reason: pollenkernel.RefusalUnknownFlow}
}

// endProbe ends the probe of a flow that the backend server does not hold and
// returns the decision that notifies the balancer. Without a probe the packet
// is dropped.
func (g *Gate) endProbe(p *pollenpacket.Packet) Decision {
	q, probed := g.probes[p.Flow]
	delete(g.probes, p.Flow)
	if !probed {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	return Decision{Verdict: VerdictNotFound, Reason: pollenkernel.RefusalUnknownFlow, Balancer: q.balancer}
}

// minRestartTime is shorter than the time any process needs to restart after it
// was killed.
const minRestartTime = 100 * time.Millisecond

// startedTogether reports whether the backend server started after this process,
// or so shortly before it that no earlier gate process can have opened a flow
// there, as after a power loss of the whole host. The start time of the server
// is derived from the remaining cold-start time that it reports.
func (g *Gate) startedTogether() bool {
	if g.firstReport.IsZero() || g.firstColdRemaining <= 0 || g.pool.ColdDuration < g.firstColdRemaining {
		return false
	}
	started := g.firstReport.Add(g.firstColdRemaining - g.pool.ColdDuration)
	return started.After(g.startTime.Add(-minRestartTime))
}
