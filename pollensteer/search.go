package pollensteer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// urgent reports whether a caller waits for what comes of a packet. One that
// closes its flow does not, but repeats the packet for seconds.
func urgent(p *pollenpacket.Packet) bool { return !p.FIN && !p.RST }

// A reach says which gates a search asks.
type reach string

const (
	// reachNear asks the first gates in the flow's rank, of which one was
	// probably chosen for it.
	reachNear reach = "near"
	// reachRoute asks every gate of the route's services: the others may have
	// been busy, or some gates were not known.
	reachRoute reach = "route"
	// reachAll asks every gate, since the route may have had other services when
	// the flow was opened.
	reachAll reach = "all"
)

// next returns the reach of the next step.
func (r reach) next() reach {
	switch r {
	case "":
		return reachNear
	case reachNear:
		return reachRoute
	case reachRoute, reachAll:
	}
	return reachAll
}

// search lists the gates that are to be asked whether they hold the flow.
func (b *Balancer) search(now time.Time, k key, r *route, h hint, urgent bool) Decision {
	switch {
	case h.reach == "":
		h.reach = reachNear
	case now.Sub(h.asked) < askAgain:
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	case h.reach == reachNear && !h.asked.IsZero():
		// Some did not answer; the holder need not be among them.
		h.reach = reachRoute
	}
	b.listReach(now, k, r, &h)
	for len(b.list) == 0 && h.reach != reachAll {
		h.reach = h.reach.next()
		b.listReach(now, k, r, &h)
	}
	h.gate, h.used = nil, now
	b.remember(k, h)
	if len(b.list) == 0 {
		return b.searched(now, k, h)
	}
	if !b.budget.take(now, len(b.list), urgent) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalSearchLimit}
	}
	h.asked = now
	b.hints[k] = h
	return Decision{Verdict: VerdictSearch, Reason: pollenkernel.RefusalUnknownFlow, Gates: b.list}
}

// listReach lists the gates that a search asks: those that may hold the flow and
// have not said that they do not.
func (b *Balancer) listReach(now time.Time, k key, r *route, h *hint) {
	b.list = b.list[:0]
	b.eachGate(k, r, h.reach, func(g *gate) bool {
		if !slices.Contains(h.absent, g) && b.mayHold(now, g) {
			b.list = append(b.list, g.address)
		}
		return true
	})
}

// eachGate calls visit with the gates of a reach until it returns false.
func (b *Balancer) eachGate(k key, r *route, within reach, visit func(g *gate) bool) {
	if within == reachAll {
		for _, name := range slices.Sorted(maps.Keys(b.services)) {
			for _, g := range b.services[name] {
				if !visit(g) {
					return
				}
			}
		}
		return
	}
	for _, s := range r.Shares {
		gates := b.services[s.Service]
		if within == reachNear {
			gates = b.rank(k, gates)
		}
		for _, g := range gates {
			if !visit(g) {
				return
			}
		}
	}
}

// surelyKnown is how long after its start a balancer knows every gate that
// lives: gates send beats to every balancer, and some may be lost.
const surelyKnown = 5 * pollenpeer.HeartbeatInterval

// restartKnown is how long after its start a balancer knows whether the whole
// system has just started: old peers answer its first beats within it.
const restartKnown = 300 * time.Millisecond

// SetRestarted records whether every known peer has just started. Backend
// servers that have just started hold no older flows, so gates that are still
// missing need not be waited for. It answers the return of power: callers go on
// with flows that are gone.
func (b *Balancer) SetSystemRestarted(restarted bool) { b.restarted = restarted }

// knowsGates reports whether no gate that may hold a flow is unknown.
func (b *Balancer) knowsGates(now time.Time) bool {
	age := now.Sub(b.config.StartTime)
	return age >= surelyKnown || (b.restarted && age >= restartKnown)
}

// Absent records that a gate does not hold the flow of a packet. If it was taken
// for the holder, the others are searched. When every known gate was searched in
// vain, the flow is gone, and its caller is told at once instead of waiting for
// its deadline. A gate that does not answer may still hold it.
func (b *Balancer) HandleNotFound(now time.Time, from netip.AddrPort, p *pollenpacket.Packet) Decision {
	k := keyOf(p.Flow)
	h, searching := b.hints[k]
	r, routed := b.routes[p.Flow.Service]
	g := b.gates[from]
	if !searching || !routed || g == nil || slices.Contains(h.absent, g) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	if h.gate == g {
		h = hint{absent: []*gate{g}, acknowledged: p.Acknowledged, used: now}
		b.hints[k] = h
		return b.search(now, k, r, h, urgent(p))
	}
	if h.gate != nil && !h.gate.gone {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	h.absent = append(slices.Clip(h.absent), g)
	b.hints[k] = h
	if h.reach != reachAll && b.absentWithin(now, k, r, &h) {
		h.reach, h.asked = h.reach.next(), time.Time{}
		if d := b.search(now, k, r, h, urgent(p)); d.Verdict == VerdictSearch {
			return d
		}
	}
	return b.searched(now, k, h)
}

// searched decides on a flow once no gate is left to ask.
func (b *Balancer) searched(now time.Time, k key, h hint) Decision {
	if !b.knowsGates(now) || !b.everyGateAbsent(now, h.absent) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	delete(b.hints, k)
	return Decision{Verdict: VerdictReset, Reason: pollenkernel.RefusalUnknownFlow}
}

// Gone returns the flows that every gate says it does not hold, once, when the
// balancer begins to know every gate: their callers would otherwise wait for
// their next retransmission.
func (b *Balancer) TakeLostFlows(now time.Time) []pollenpacket.Packet {
	if b.settled || !b.knowsGates(now) {
		return nil
	}
	b.settled = true
	var gone []pollenpacket.Packet
	for k, h := range b.hints {
		if h.gate != nil || len(h.absent) == 0 || b.searched(now, k, h).Verdict != VerdictReset {
			continue
		}
		if f, ok := pollenlink.ReadFlow(k[:]); ok {
			gone = append(gone, pollenpacket.Packet{Flow: f, ACK: true, Acknowledged: h.acknowledged})
		}
	}
	slices.SortFunc(gone, func(p, q pollenpacket.Packet) int { return p.Flow.Compare(q.Flow) })
	return gone
}

// AbsentFlow is Absent for a gate that does not send the packet back. It sets
// what the caller acknowledged last.
func (b *Balancer) HandleFlowNotFound(now time.Time, from netip.AddrPort, p *pollenpacket.Packet) Decision {
	p.Acknowledged = b.hints[keyOf(p.Flow)].acknowledged
	return b.HandleNotFound(now, from, p)
}

// everyGateAbsent reports whether every gate that may hold a flow is in the
// list, which may also hold gates that are gone.
func (b *Balancer) everyGateAbsent(now time.Time, absent []*gate) bool {
	for _, g := range b.gates {
		if !slices.Contains(absent, g) && b.mayHold(now, g) {
			return false
		}
	}
	return true
}

// mayHold returns false for a gate that no server has reported to, once it fell
// silent or the whole system has just started: its host came back without a
// server.
func (b *Balancer) mayHold(now time.Time, g *gate) bool {
	return g.server.State != pollenpeer.ServerUnknown || (!b.restarted && now.Sub(g.heard) < pollenpeer.FreshAge)
}

// absentWithin reports whether no gate within the reach of a search may hold the
// flow any more.
func (b *Balancer) absentWithin(now time.Time, k key, r *route, h *hint) bool {
	absent := true
	b.eachGate(k, r, h.reach, func(g *gate) bool {
		absent = slices.Contains(h.absent, g) || !b.mayHold(now, g)
		return absent
	})
	return absent
}
