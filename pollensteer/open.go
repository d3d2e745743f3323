package pollensteer

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// maxHops bounds the gates that an opening packet is passed to, so that the
// decision on it is final before the caller retransmits it.
const maxHops = 4

// maxBusyHops is the number of gates that must decline an opening packet as busy
// before it is dropped. The caller's retransmission is then placed anew. When
// many flows broke at once, the first gates that a balancer discovers would
// otherwise receive all of the reconnects.
const maxBusyHops = 3

// reassignRetransmission is the number of the retransmission of an opening
// packet that is sent to another gate even if the current one seems healthy: by
// then neither of the two earlier transmissions was answered.
const reassignRetransmission = 2

// firstTransmission is the bit of the opening packet itself, and allTransmissions has those
// of the opening packet and its retransmissions.
const (
	firstTransmission = 1
	allTransmissions  = 1<<(reassignRetransmission+1) - 1
)

// Timing of a caller's opening packets.
const (
	// retransmitAfter is when a caller first retransmits an opening packet.
	retransmitAfter = 200 * time.Millisecond
	// openingTimeout is when a caller gives up a flow that has not opened.
	openingTimeout = 1400 * time.Millisecond
)

// transmissionBit returns the bit of an opening packet in the sets of transmissions.
func transmissionBit(p *pollenpacket.Packet) uint8 {
	return 1 << min(p.Acknowledged, reassignRetransmission)
}

// steerOpening decides what to do with an opening packet. A retransmission goes
// to the same gate as the transmission before it, unless that transmission has
// probably failed.
func (b *Balancer) steerOpening(now time.Time, k key, r *route, p *pollenpacket.Packet, e flowEntry, known bool) Decision {
	e.lastPacket = now
	e.transmissions |= transmissionBit(p)
	if known && p.Acknowledged < reassignRetransmission && b.usable(now, e.gate) {
		b.flowCache[k] = e
		d := b.pass(now, k, r, p, e.gate)
		d.Service = ServiceHash(e.gate.server.Service)
		d.Minimum = e.minimum
		return d
	}
	if !known {
		if d, full := b.linkFull(now, r, p, &e); full {
			return d
		}
		return b.recordTaken(now, r, p, b.recordPlaced(now, k, r, b.place(now, k, r, p, e, 0, nil)))
	}
	d := b.place(now, k, r, p, e, 1, e.gate)
	d.Retry = pollenkernel.RetryOpening
	return d
}

// place chooses a gate for a new flow with the cached entry e. tries is the
// number of gates that were tried before, and excluded the last one of them, if
// known.
func (b *Balancer) place(now time.Time, k key, r *route, p *pollenpacket.Packet, e flowEntry, tries int, excluded *gate) Decision {
	g, refused := b.chooseByPriority(now, k, r, p, &e, tries, excluded)
	if g == nil && now.Sub(b.config.StartTime) < startupGrace {
		return bufferOrDrop(p, pollenkernel.RefusalNotReady)
	}
	if refused == pollenkernel.RefusalPriority && excluded != nil && excluded.admits(r.Priority) {
		// The only gate that admits the priority is busy; it may take the retransmission.
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalNoSlots}
	}
	if refused != pollenkernel.RefusalNone {
		return b.rejectOpening(now, p, &e, refused)
	}
	if g == nil {
		return b.rejectOpening(now, p, &e, pollenkernel.RefusalNoMember)
	}
	load, age := g.load(), now.Sub(g.lastSeen)
	g.sentOpenings++
	g.countPacket()
	b.cacheFlow(k, flowEntry{
		gate: g, lastPacket: e.lastPacket, transmissions: e.transmissions, declinedTransmissions: e.declinedTransmissions,
		minimum: e.minimum,
	})
	return Decision{
		Verdict: VerdictPass, Gate: g.address, Service: ServiceHash(g.server.Service),
		Placed: true, Load: load, LoadAge: age, Class: r.class(p), Route: r.id, Minimum: e.minimum,
		Away: g.domain != b.config.Domain,
	}
}

// openedElsewhere reports whether a later transmission of an opening packet that a gate
// declined was received here and the flow is now at another gate, where it may be open.
func openedElsewhere(e *flowEntry, p *pollenpacket.Packet, decliner *gate) bool {
	return e.gate != nil && !e.gate.removed && e.gate != decliner && e.transmissions >= 2*transmissionBit(p)
}

// rejectOpening resets a flow that no gate accepts. It drops the packet instead once the
// caller may have sent a retransmission, which may have opened the flow at a gate: also
// through another balancer, and while the packet waited in the socket of a paused
// process.
func (b *Balancer) rejectOpening(now time.Time, p *pollenpacket.Packet, e *flowEntry, reason pollenkernel.Refusal) Decision {
	retransmitted := (transmissionBit(p)|e.transmissions)&^firstTransmission != 0 || now.Sub(e.lastPacket) >= retransmitAfter
	if retransmitted || b.paused(now) || now.Sub(b.steadySince) < openingTimeout {
		return Decision{Verdict: VerdictDrop, Reason: reason}
	}
	return Decision{Verdict: VerdictReset, Reason: reason}
}

// handleAllBusy decides what to do with an opening packet that maxBusyHops
// gates declined as busy. It is dropped, since the caller retransmits it. After
// the last retransmission the flow is reset instead, so that the caller does not
// wait for its own timeout. That requires that all transmissions were returned
// to this balancer, since a server may have accepted one that was not.
func (b *Balancer) handleAllBusy(k key, p *pollenpacket.Packet, cached flowEntry) Decision {
	declinedTransmissions := cached.declinedTransmissions | transmissionBit(p)
	if declinedTransmissions == allTransmissions {
		delete(b.flowCache, k)
		return Decision{Verdict: VerdictReset, Reason: pollenkernel.RefusalNoSlots}
	}
	b.cacheFlow(k, flowEntry{
		lastPacket: cached.lastPacket, transmissions: cached.transmissions, declinedTransmissions: declinedTransmissions,
		minimum: cached.minimum,
	})
	return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalNoSlots}
}

// applyRefusal updates the state of a gate by its reason for declining a packet,
// until its next heartbeat.
func (g *gate) applyRefusal(reason pollenkernel.Refusal) {
	switch reason {
	case pollenkernel.RefusalDraining:
		g.server.State = pollenpeer.ServerDraining
	case pollenkernel.RefusalServerSilent, pollenkernel.RefusalNotReady, pollenkernel.RefusalConnectionLimit:
		g.server.State = pollenpeer.ServerSilent
	case pollenkernel.RefusalColdLimit:
		g.server.Cold, g.server.ColdCapacity = true, 0
	case pollenkernel.RefusalBackendFailed:
		g.server.Failing = true
	case pollenkernel.RefusalNoSlots:
		g.sentOpenings += max(1, g.server.Slots)
	}
}

// bufferOrDrop buffers an opening packet that a balancer cannot place yet
// because it has just started, and drops any other packet. When all processes
// restart at once, most balancers lack a view or gates for only a fraction of
// the time between two transmissions.
func bufferOrDrop(p *pollenpacket.Packet, reason pollenkernel.Refusal) Decision {
	if p.Opening() {
		return Decision{Verdict: VerdictBuffer, Reason: reason}
	}
	return Decision{Verdict: VerdictDrop, Reason: reason}
}

// resetOrDrop resets a flow, except for the retransmission of an opening packet,
// which it drops: an earlier transmission may just have opened the flow, and the
// reset would end it.
func resetOrDrop(p *pollenpacket.Packet, reason pollenkernel.Refusal) Decision {
	if p.Opening() && p.Acknowledged > 0 {
		return Decision{Verdict: VerdictDrop, Reason: reason}
	}
	return Decision{Verdict: VerdictReset, Reason: reason}
}
