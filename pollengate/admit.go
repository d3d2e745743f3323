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

// lastHop is the hop count from which a gate admits an opening packet even if
// its slots are full or its backend server is failing: the gates tried before
// declined the packet too.
const lastHop = 2

// admit decides on an opening packet. f is the flow of the packet if it is
// already tracked here, or nil.
func (g *Gate) admit(now time.Time, h *pollenlink.Header, p *pollenpacket.Packet, f *flow) Decision {
	if reason := g.refusalReason(now, h, p); reason != pollenkernel.RefusalNone {
		return Decision{Verdict: VerdictDecline, Reason: reason, Opening: true}
	}
	if f != nil {
		// A retransmission: the first packet may have been lost on its way to the
		// backend server.
		f.lastUsed = now
		g.silence.sent(now)
		return Decision{Verdict: VerdictDeliver, Reason: pollenkernel.RefusalNone, Opening: true}
	}
	wait := g.expectedWait()
	route := g.routes[p.Flow.Service]
	g.level.Observe(now, wait)
	if reason := g.limitRefusal(now, h, p, route); reason != pollenkernel.RefusalNone {
		return Decision{Verdict: VerdictDecline, Reason: reason, Opening: true, Wait: wait}
	}
	late := g.missesObjective(p)
	if late && g.overloaded(now) {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalNoSlots, Opening: true, Wait: wait}
	}
	if h.Hops < lastHop && g.failures.failing(now) {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalBackendFailed, Opening: true, Wait: wait}
	}
	if h.Hops < lastHop && g.running >= g.slots() {
		if h.Hops > 0 && !late {
			g.overloadedAt = now
		}
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalNoSlots, Opening: true, Wait: wait}
	}
	if r := g.routes[p.Flow.Service]; r != nil && wait > 0 {
		// Only the first packet is reset, and only if it is new: a retransmission may
		// have opened the flow elsewhere, and a reset would end that flow.
		if wait > r.Timeout && p.Acknowledged == 0 && !g.mayBeOld(now) {
			return Decision{Verdict: VerdictReset, Reason: pollenkernel.RefusalNoSlots, Opening: true, Wait: wait}
		}
		if wait > g.maxWait(r, p.Acknowledged) {
			if !late {
				g.overloadedAt = now
			}
			return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalNoSlots, Opening: true, Wait: wait}
		}
	}
	g.open(now, p, route)
	return Decision{Verdict: VerdictDeliver, Reason: pollenkernel.RefusalNone, Opening: true, Wait: wait}
}

// open tracks the flow of an opening packet that is delivered. route is nil if it is
// unknown here.
func (g *Gate) open(now time.Time, p *pollenpacket.Packet, route *pollendocument.Route) {
	created := &flow{opened: true, stage: stageIdle, lastUsed: now, stageStart: now, callerNext: p.Sequence + 1, callerKnown: true}
	if isUpload(route) {
		// The data begins after the opening packet, even if its first packets are lost.
		created.receipt = &receipt{started: true, next: p.Sequence + 1, last: p.Sequence + 1}
	}
	if route != nil {
		g.level.Opened(route.Priority, p.Acknowledged)
	}
	g.flows[p.Flow] = created
	g.setStage(now, created, stageOpening)
	g.starts.add(now)
	g.silence.sent(now)
}

// limitRefusal returns the reason why a limit of the gate or of its backend server, other
// than the slots, refuses a new flow, or RefusalNone. route is nil if it is unknown here.
func (g *Gate) limitRefusal(
	now time.Time, h *pollenlink.Header, p *pollenpacket.Packet, route *pollendocument.Route,
) pollenkernel.Refusal {
	switch {
	case !g.admitsPriority(h, p, route):
		return pollenkernel.RefusalPriority
	case g.uploadsFull(route):
		// RefusalConnectionLimit would make balancers avoid the gate for other routes too.
		return pollenkernel.RefusalNoSlots
	case g.rateLimited(now) && g.coldCapacity(now) <= 0:
		return pollenkernel.RefusalColdLimit
	}
	return pollenkernel.RefusalNone
}

// refusalReason returns the reason why the flow of an opening packet must not be
// opened here, or RefusalNone.
func (g *Gate) refusalReason(now time.Time, h *pollenlink.Header, p *pollenpacket.Packet) pollenkernel.Refusal {
	switch {
	case h.Service != g.serviceHash:
		return pollenkernel.RefusalWrongService
	case g.leaving:
		return pollenkernel.RefusalNotReady
	case g.revision < h.Revision:
		// The balancer has already checked the route and the failure domain against
		// a newer view.
	case g.evacuated:
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

// expectedWait estimates how long a request that arrives now waits for a slot:
// the unfinished requests in excess of the slots, at the measured mean time of
// a request.
func (g *Gate) expectedWait() time.Duration {
	excess := g.running + 1 - g.slots()
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) / float64(g.slots()) * float64(g.requestTime.value))
}

// retransmissionTimes holds the time since the first opening packet at which a
// caller sends each retransmission, indexed by the number of earlier packets.
var retransmissionTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Limits for packets that waited in the socket of a paused process.
const (
	// pauseTimeout is the time without a call of Sweep that counts as a pause. It is
	// longer than the time to a caller's first retransmission.
	pauseTimeout = 300 * time.Millisecond
	// openingAge is how long an opening packet matters to its caller, who then gives
	// up.
	openingAge = 1400 * time.Millisecond
)

func (g *Gate) paused(now time.Time) bool {
	return !g.tickedAt.IsZero() && now.Sub(g.tickedAt) >= pauseTimeout
}

// mayBeOld reports whether an opening packet may have waited here for so long that its
// caller has retransmitted it.
func (g *Gate) mayBeOld(now time.Time) bool {
	return g.paused(now) || now.Sub(g.wokeAt) < openingAge
}

// maxWait returns how long a request of the route may wait for a slot and still
// be answered within the objective of the route, given the time that its caller
// has already waited. It is never negative.
//
// When many flows break at once, more requests arrive than can be answered in
// time, and a long queue would make all of them late, including new ones. A
// request that would be late is declined and left to its next retransmission,
// so that new requests are served in time and the others as slots become free.
func (g *Gate) maxWait(r *pollendocument.Route, retransmissions uint32) time.Duration {
	waited := retransmissionTimes[min(int(retransmissions), len(retransmissionTimes)-1)]
	return max(0, r.Objective-waited-2*g.requestTime.value)
}

// missesObjective reports whether the caller has already waited so long that its
// request cannot be answered within the objective of the route.
func (g *Gate) missesObjective(p *pollenpacket.Packet) bool {
	r := g.routes[p.Flow.Service]
	return r != nil && p.Acknowledged > 0 && g.maxWait(r, p.Acknowledged) == 0
}

// overloadPeriod is how long a gate declines late requests after it declined one
// that could have been answered in time. It is a few times the time of a
// request, within which another request arrives for the same slot.
const overloadPeriod = 50 * time.Millisecond

// overloaded reports whether requests that could be answered in time were
// recently declined here and at the gate that was tried before.
//
// After an outage, the requests that waited for its end would take the slots of
// new requests, and both would be late. Requests that are already late
// therefore wait until new requests are admitted again.
func (g *Gate) overloaded(now time.Time) bool {
	return !g.overloadedAt.IsZero() && now.Sub(g.overloadedAt) < overloadPeriod
}

// rateLimited reports whether the rate of new flows is limited because the
// backend server started recently. There is no limit if the document declares
// no cold rate: such a server is only slower at first, which the measured
// request time accounts for.
func (g *Gate) rateLimited(now time.Time) bool { return g.pool.ColdRate > 0 && now.Before(g.coldUntil) }

// coldReserve is subtracted from the bound of a cold backend server, in
// requests, because packets sent in one second may arrive in the next.
const coldReserve = 2

// coldCapacity returns the number of flows that a cold backend server may still
// take: its bound for one second, less the flows opened and the requests started
// in the last second, and less the unfinished requests, which include those that
// flows being opened are about to send and those that are being received. It is
// negative if the bound is exceeded.
func (g *Gate) coldCapacity(now time.Time) int {
	bound := g.pool.ColdRate*g.config.Bounds.ColdFactor + g.config.Bounds.ColdSlack - coldReserve
	return int(math.Floor(bound)) - g.starts.count(now) - g.running - g.receiving
}
