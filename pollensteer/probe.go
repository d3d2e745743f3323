package pollensteer

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenpacket"
)

// Limits of searches with gates that need a packet.
const (
	// maxRounds is the number of rounds of queries after which gates that need a packet
	// are sent it although others have not answered: each gate was queried three times.
	maxRounds = 3
	// repeatTimeout is how long after the last packet of a flow its unanswered queries
	// are repeated. The first three retransmissions of a caller are closer together.
	repeatTimeout = time.Second
	// maxRepeating bounds the flows whose queries are repeated; it is the number of
	// packets that a node buffers for searches.
	maxRepeating = 512
)

// An unsureGate is a gate that needs a packet of a flow to decide whether it holds it.
type unsureGate struct {
	gate *gate
	// waiting is set while the gate is to be sent a packet.
	waiting bool
	// sentAt is when the gate was last sent a packet; zero before.
	sentAt time.Time
}

// unsureGates holds the gates that need a packet of one flow, each once.
type unsureGates struct{ gates []unsureGate }

func (u *unsureGates) find(g *gate) *unsureGate {
	if u == nil {
		return nil
	}
	for i := range u.gates {
		if u.gates[i].gate == g {
			return &u.gates[i]
		}
	}
	return nil
}

// waiting reports whether a gate is still to be sent a packet.
func (e *flowEntry) waiting() bool {
	return e.unsure != nil && slices.ContainsFunc(e.unsure.gates, func(u unsureGate) bool {
		return u.waiting && !u.gate.removed && !slices.Contains(e.notFound, u.gate)
	})
}

// HandleNeedsPacket records that a gate needs a packet of the flow to decide whether it
// holds it. Where several gates have just started on new hosts, none of them can rule out
// any flow for a second; if each was sent the packet at once while the query to the holder
// was lost, an open flow would reach only other servers.
func (b *Balancer) HandleNeedsPacket(now time.Time, from netip.AddrPort, f pollenpacket.Flow) {
	k := keyOf(f)
	e, searching := b.flowCache[k]
	g := b.gates[from]
	if !searching || g == nil || (e.gate != nil && !e.gate.removed) || slices.Contains(e.notFound, g) {
		return
	}
	if e.unsure == nil {
		e.unsure = &unsureGates{}
	}
	switch u := e.unsure.find(g); {
	case u == nil:
		e.unsure.gates = append(e.unsure.gates, unsureGate{gate: g, waiting: true})
	case now.Sub(u.sentAt) >= queryTimeout:
		u.waiting = true
	}
	b.repeat(k, &e)
	b.flowCache[k] = e
}

// TakeProbes returns the gates to send a packet of the flow now, because they need one to
// decide whether they hold it: once all other gates within the scope of the search have
// answered that they do not hold the flow, or did not answer maxRounds queries. The latter
// allows one packet to each gate. A gate is returned again, to replace a lost packet, only
// if all others have answered. The node must have a packet of the flow at hand.
func (b *Balancer) TakeProbes(now time.Time, f pollenpacket.Flow) []netip.AddrPort {
	k := keyOf(f)
	e, searching := b.flowCache[k]
	r, routed := b.routes[f.Service]
	if !searching || !routed || (e.gate != nil && !e.gate.removed) || !e.waiting() {
		return nil
	}
	answered := b.onlyUnsureLeft(now, k, r, &e)
	if !answered && !e.exhausted(now) {
		return nil
	}
	var probes []netip.AddrPort
	for i := range e.unsure.gates {
		u := &e.unsure.gates[i]
		if !u.waiting || u.gate.removed || slices.Contains(e.notFound, u.gate) || (!answered && !u.sentAt.IsZero()) {
			continue
		}
		u.waiting, u.sentAt = false, now
		probes = append(probes, u.gate.address)
	}
	return probes
}

// exhausted reports whether gates within the widest scope that a search reaches without
// their answers have left all queries unanswered.
func (e *flowEntry) exhausted(now time.Time) bool {
	return !e.scope.narrow() && e.rounds >= maxRounds && now.Sub(e.queriedAt) >= queryTimeout
}

// onlyUnsureLeft reports whether each gate within the scope either is ruled out as the
// holder of the flow or needs a packet to decide.
func (b *Balancer) onlyUnsureLeft(now time.Time, k key, r *route, e *flowEntry) bool {
	only := true
	b.eachGate(k, r, e.scope, func(g *gate) bool {
		only = slices.Contains(e.notFound, g) || e.unsure.find(g) != nil || !b.mayHold(now, g)
		return only
	})
	return only
}
