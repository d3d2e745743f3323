package pollensteer

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// maxHops bounds the gates that an opening packet is passed to, so that it
// comes to rest before the caller's next copy of it.
const maxHops = 4

// busyHops is the number of gates that must say that a request would be late
// there before its opening packet is left to the caller's next copy, which is
// then placed anew. It answers the wave after many flows broke at once: the
// first gates that a balancer hears of would get all of it.
const busyHops = 3

// resendCopy is the copy of an opening packet that goes elsewhere even if the
// gate seems well: by then the caller has waited in vain for both earlier ones.
const resendCopy = 2

// everyCopy has the bits of the opening packet and its copies.
const everyCopy = 1<<(resendCopy+1) - 1

// open decides on an opening packet. A copy follows the one before it, unless
// that has probably come to nothing.
func (b *Balancer) open(now time.Time, k key, r *route, p *pollenpacket.Packet, h hint, known bool) Decision {
	if known && p.Acknowledged < resendCopy && b.usable(now, h.gate) {
		h.used = now
		b.hints[k] = h
		return Decision{Verdict: VerdictPass, Gate: h.gate.address, Service: ServiceHash(h.gate.server.Service)}
	}
	if !known {
		return b.place(now, k, r, p, h, 0, nil)
	}
	d := b.place(now, k, r, p, h, 1, h.gate)
	d.Retry = pollenkernel.RetryOpening
	return d
}

// place chooses a gate for a new flow, of which h is known, after so many tries
// of which without was the last.
func (b *Balancer) place(now time.Time, k key, r *route, p *pollenpacket.Packet, h hint, tries int, without *gate) Decision {
	g := b.choose(now, k, r, tries, without)
	if g == nil && now.Sub(b.config.StartTime) < settleTime {
		return wait(p, pollenkernel.RefusalNotReady)
	}
	if g == nil {
		return refuse(p, pollenkernel.RefusalNoMember)
	}
	load, age := g.load(), now.Sub(g.heard)
	g.sent++
	b.remember(k, hint{gate: g, used: now, declined: h.declined})
	return Decision{
		Verdict: VerdictPass, Gate: g.address, Service: ServiceHash(g.server.Service),
		Placed: true, Load: load, LoadAge: age,
	}
}

// allBusy decides on an opening packet that would be late at every gate that was
// asked. It is left to its next copy; the last has none, and its caller is told
// at once instead of waiting for its own timeout. That needs all of them to have
// come back here, since a server may have taken one that did not.
func (b *Balancer) allBusy(now time.Time, k key, p *pollenpacket.Packet, known hint) Decision {
	declined := known.declined | 1<<min(p.Acknowledged, resendCopy)
	if declined == everyCopy {
		delete(b.hints, k)
		return Decision{Verdict: VerdictReset, Reason: pollenkernel.RefusalNoSlots}
	}
	b.remember(k, hint{used: now, declined: declined})
	return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalNoSlots}
}

// learn corrects what is believed of a gate by its reason for declining, until
// its next beat.
func (g *gate) learn(why pollenkernel.Refusal) {
	switch why {
	case pollenkernel.RefusalDraining:
		g.server.State = pollenpeer.ServerDraining
	case pollenkernel.RefusalServerSilent, pollenkernel.RefusalNotReady, pollenkernel.RefusalConnectionLimit:
		g.server.State = pollenpeer.ServerSilent
	case pollenkernel.RefusalColdLimit:
		g.server.Cold, g.server.ColdCapacity = true, 0
	case pollenkernel.RefusalBackendFailed:
		g.server.Failing = true
	case pollenkernel.RefusalNoSlots:
		g.sent += max(1, g.server.Slots)
	}
}

// wait holds an opening packet that a balancer which has just started cannot
// place yet. It answers the restart of all at once: most balancers lack a view
// or gates for a fraction of the time between two copies.
func wait(p *pollenpacket.Packet, why pollenkernel.Refusal) Decision {
	if p.Opening() {
		return Decision{Verdict: VerdictBuffer, Reason: why}
	}
	return Decision{Verdict: VerdictDrop, Reason: why}
}

// refuse resets a flow, except for a copy of an opening packet: an earlier one
// may just have opened the flow, and the reset would end it.
func refuse(p *pollenpacket.Packet, why pollenkernel.Refusal) Decision {
	if p.Opening() && p.Acknowledged > 0 {
		return Decision{Verdict: VerdictDrop, Reason: why}
	}
	return Decision{Verdict: VerdictReset, Reason: why}
}
