package pollengate

import (
	"math"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// lastHop is the hop from which on a gate takes an opening packet although
// requests wait there: the gates before it were no better.
const lastHop = 2

// open decides on an opening packet.
func (g *Gate) open(now time.Time, h *pollenlink.Header, p *pollenpacket.Packet, f *flow) Decision {
	if why := g.closed(now, h, p); why != pollenkernel.RefusalNone {
		return Decision{Verdict: VerdictDecline, Reason: why, Opened: true}
	}
	if f != nil {
		// A copy: the first one may have been lost on its way to the server.
		f.used = now
		g.silence.sent(now)
		return Decision{Verdict: VerdictDeliver, Reason: pollenkernel.RefusalNone, Opened: true}
	}
	wait := g.wait()
	if g.cold(now) && g.coldRoom(now) <= 0 {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalColdLimit, Opened: true, Wait: wait}
	}
	late := g.late(p)
	if late && g.pressed(now) {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalNoSlots, Opened: true, Wait: wait}
	}
	if h.Hops < lastHop && g.failed.failing(now) {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalBackendFailed, Opened: true, Wait: wait}
	}
	if h.Hops < lastHop && g.running >= g.slots() {
		if h.Hops > 0 && !late {
			g.crowded = now
		}
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalNoSlots, Opened: true, Wait: wait}
	}
	if r := g.routes[p.Flow.Service]; r != nil && wait > 0 {
		// A copy may be of a flow that was opened elsewhere meanwhile, and a reset
		// would end that one.
		if wait > r.Timeout && p.Acknowledged == 0 {
			return Decision{Verdict: VerdictReset, Reason: pollenkernel.RefusalNoSlots, Opened: true, Wait: wait}
		}
		if wait > g.patience(r, p.Acknowledged) {
			if !late {
				g.crowded = now
			}
			return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalNoSlots, Opened: true, Wait: wait}
		}
	}
	made := &flow{opened: true, stage: stageIdle, used: now, since: now, highest: p.Sequence + 1}
	g.flows[p.Flow] = made
	g.setStage(now, made, stageOpening)
	g.starts.add(now)
	g.silence.sent(now)
	return Decision{Verdict: VerdictDeliver, Reason: pollenkernel.RefusalNone, Opened: true, Wait: wait}
}

// closed says why no new flow of the packet's kind may be opened here, if so.
func (g *Gate) closed(now time.Time, h *pollenlink.Header, p *pollenpacket.Packet) pollenkernel.Refusal {
	switch {
	case h.Service != g.hash:
		return pollenkernel.RefusalWrongService
	case g.leaving:
		return pollenkernel.RefusalNotReady
	case g.revision < h.Revision:
		// The balancer has checked route and failure domain against a newer view.
	case g.emptied:
		return pollenkernel.RefusalDomainOut
	case g.routes[p.Flow.Service] == nil:
		return pollenkernel.RefusalNoRoute
	}
	switch g.State(now) {
	case pollenpeer.ServerDraining:
		return pollenkernel.RefusalDraining
	case pollenpeer.ServerSilent:
		return pollenkernel.RefusalServerSilent
	case pollenpeer.ServerUnknown:
		return pollenkernel.RefusalNotReady
	}
	return pollenkernel.RefusalNone
}

func (g *Gate) slots() int { return max(1, g.report.Slots) }

// wait estimates how long a request that comes now waits for a slot: the
// unfinished requests beyond the slots, each taking the measured time.
func (g *Gate) wait() time.Duration {
	beyond := g.running + 1 - g.slots()
	if beyond <= 0 {
		return 0
	}
	return time.Duration(float64(beyond) / float64(g.slots()) * float64(g.work.value))
}

// copyDelays are the times after which callers send copies of an opening packet.
var copyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// patience returns how long a request of the route may wait for a slot and
// still be answered within its objective, by the time that its caller has
// waited already.
//
// It answers the wave after many flows broke at once: more requests come than
// can be in time, and a long queue would make all of them late, newcomers too.
// Those that would be late are left to their next copy, so that newcomers are
// served in time and the others as slots fall free.
func (g *Gate) patience(r *pollendocument.Route, copies uint32) time.Duration {
	waited := copyDelays[min(int(copies), len(copyDelays)-1)]
	return max(0, r.Objective-waited-2*g.work.value)
}

// late reports whether a request would miss its objective by what its caller has
// waited already.
func (g *Gate) late(p *pollenpacket.Packet) bool {
	r := g.routes[p.Flow.Service]
	return r != nil && p.Acknowledged > 0 && g.patience(r, p.Acknowledged) == 0
}

// pressedFor is how long after it declined a request that could be in time a
// gate takes none that cannot: a few times the work of a request, within which
// another one comes for the same slot.
const pressedFor = 50 * time.Millisecond

// pressed reports whether requests that could be in time are declined here, and
// at the gate that was asked before.
//
// It answers the backlog after an outage: the requests that waited it out would
// take the slots of newcomers, so that both are late. Those that cannot be in
// time any more wait until the newcomers find room.
func (g *Gate) pressed(now time.Time) bool {
	return !g.crowded.IsZero() && now.Sub(g.crowded) < pressedFor
}

// cold reports whether the backend server is held to a rate because it started
// lately. A document that declares no rate holds it to none: such a server is
// slower at first, which its measured work shows.
func (g *Gate) cold(now time.Time) bool { return g.pool.ColdRate > 0 && now.Before(g.coldUntil) }

// coldMargin is kept free below the bound of a cold backend server, in
// requests, since packets that left in one second may arrive in the next.
const coldMargin = 2

// coldRoom returns the number of flows that a cold backend server may still
// take: its bound for one second less the requests of the last second and the
// requests that its open flows are about to bring.
func (g *Gate) coldRoom(now time.Time) int {
	bound := g.pool.ColdRate*g.config.Bounds.ColdFactor + g.config.Bounds.ColdSlack - coldMargin
	return int(math.Floor(bound)) - g.starts.count(now) - g.running
}
