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
func urgent(p *pollenpacket.Packet) bool { return !p.Finish && !p.Reset }

// search sends the packet to the gates that may hold its flow: first those of
// the route's services, then every one, since the route may have had other
// services when the flow was opened.
func (b *Balancer) search(now time.Time, k key, r *route, h hint, urgent bool) Decision {
	b.list = b.list[:0]
	if !h.wide {
		for _, s := range r.Shares {
			b.listGates(b.services[s.Service], h.absent)
		}
		h.wide = len(b.list) == 0
	}
	if h.wide {
		for _, name := range slices.Sorted(maps.Keys(b.services)) {
			b.listGates(b.services[name], h.absent)
		}
	}
	h.gate, h.used = nil, now
	b.remember(k, h)
	if len(b.list) == 0 {
		return b.searched(now, k, h)
	}
	if now.Sub(h.asked) < askAgain {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	if !b.budget.take(now, len(b.list), urgent) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalSearchLimit}
	}
	h.asked = now
	b.hints[k] = h
	return Decision{Verdict: VerdictSearch, Reason: pollenkernel.RefusalUnknownFlow, Gates: b.list}
}

func (b *Balancer) listGates(gates, without []*gate) {
	for _, g := range gates {
		if !slices.Contains(without, g) {
			b.list = append(b.list, g.address)
		}
	}
}

// surelyKnown is how long after its start a balancer knows every gate that
// lives: gates send beats to every balancer, and some may be lost.
const surelyKnown = 5 * pollenpeer.Interval

// restartKnown is how long after its start a balancer knows whether the whole
// system has just started: old peers answer its first beats within it.
const restartKnown = 300 * time.Millisecond

// SetRestarted records whether every known peer has just started. Backend
// servers that have just started hold no older flows, so gates that are still
// missing need not be waited for. It answers the return of power: callers go on
// with flows that are gone.
func (b *Balancer) SetRestarted(restarted bool) { b.restarted = restarted }

// knowsGates reports whether no gate that may hold a flow is unknown.
func (b *Balancer) knowsGates(now time.Time) bool {
	age := now.Sub(b.config.Begun)
	return age >= surelyKnown || (b.restarted && age >= restartKnown)
}

// Absent records that a gate does not hold the flow of a packet. If it was taken
// for the holder, the others are searched. When every known gate was searched in
// vain, the flow is gone, and its caller is told at once instead of waiting for
// its deadline. A gate that does not answer may still hold it.
func (b *Balancer) Absent(now time.Time, from netip.AddrPort, p *pollenpacket.Packet) Decision {
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
	if !h.wide && b.allAbsent(now, r, h.absent) {
		h.wide, h.asked = true, time.Time{}
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
func (b *Balancer) Gone(now time.Time) []pollenpacket.Packet {
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
			gone = append(gone, pollenpacket.Packet{Flow: f, Answer: true, Acknowledged: h.acknowledged})
		}
	}
	return gone
}

// AbsentFlow is Absent for a gate that does not send the packet back. It sets
// what the caller acknowledged last.
func (b *Balancer) AbsentFlow(now time.Time, from netip.AddrPort, p *pollenpacket.Packet) Decision {
	p.Acknowledged = b.hints[keyOf(p.Flow)].acknowledged
	return b.Absent(now, from, p)
}

// everyGateAbsent reports whether every gate that may hold a flow is in the
// list, which may also hold gates that are gone.
func (b *Balancer) everyGateAbsent(now time.Time, absent []*gate) bool {
	for _, g := range b.gates {
		if !slices.Contains(absent, g) && g.mayHold(now) {
			return false
		}
	}
	return true
}

// mayHold returns false for a gate that fell silent before any server had
// reported to it: its host came back without a server and was then taken away.
func (g *gate) mayHold(now time.Time) bool {
	return g.server.State != pollenpeer.ServerUnknown || now.Sub(g.heard) < pollenpeer.Fresh
}

// allAbsent reports whether every gate of the route's services that may hold a
// flow is in the list.
func (b *Balancer) allAbsent(now time.Time, r *route, absent []*gate) bool {
	for _, s := range r.Shares {
		for _, g := range b.services[s.Service] {
			if !slices.Contains(absent, g) && g.mayHold(now) {
				return false
			}
		}
	}
	return true
}
