package pollengate

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
)

// A question is a packet of an unknown flow that the backend server was given.
type question struct {
	// balancer is where the packet came from.
	balancer netip.AddrPort
	at       time.Time
}

// unknownFor is how long after its own start a gate must reckon with flows that
// it has not seen: longer than any flow may be silent.
const unknownFor = 65 * time.Second

// firstReports is the number of report intervals after which a gate that has
// heard of no backend server stands beside none.
const firstReports = 2

// mayHoldUnknown reports whether the backend server may hold flows that were
// opened before this process started.
func (g *Gate) mayHoldUnknown(now time.Time) bool {
	age := now.Sub(g.begun)
	if g.complete || g.startedTogether() {
		return false
	}
	if g.reported.IsZero() && age >= firstReports*g.config.Bounds.ReportInterval {
		return false
	}
	return age < unknownFor
}

// Query answers whether the flow is held here, by what its caller acknowledged
// last.
func (g *Gate) Query(now time.Time, f pollenpacket.Flow, acknowledged uint32) Decision {
	known := g.flows[f]
	p := pollenpacket.Packet{Flow: f, ACK: true, Acknowledged: acknowledged}
	switch {
	case known != nil && known.acknowledgedBy(&p):
		return Decision{Verdict: VerdictDrop, Held: true}
	case known != nil:
		g.forget(now, f)
		return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
	case g.mayHoldUnknown(now):
		return Decision{Verdict: VerdictUnsure}
	}
	return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
}

// absent tells the balancer that asked that the backend server does not hold
// the flow.
func (g *Gate) absent(p *pollenpacket.Packet) Decision {
	q, asked := g.asked[p.Flow]
	delete(g.asked, p.Flow)
	if !asked {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow, Balancer: q.balancer}
}

// restartTime is shorter than any process takes to come back after it was
// killed.
const restartTime = 100 * time.Millisecond

// startedTogether reports whether the backend server started so shortly before
// this process, or after it, that no earlier gate can have opened a flow there:
// the power was away from both. What the server says of its cold start tells its
// age.
func (g *Gate) startedTogether() bool {
	if g.first.IsZero() || g.firstCold <= 0 || g.pool.ColdDuration < g.firstCold {
		return false
	}
	started := g.first.Add(g.firstCold - g.pool.ColdDuration)
	return started.After(g.begun.Add(-restartTime))
}
