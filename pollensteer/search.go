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

// urgent reports whether the caller waits for the response to a packet. A caller
// that closes its flow does not, but retransmits the packet for seconds.
func urgent(p *pollenpacket.Packet) bool { return !p.FIN && !p.RST }

// A searchScope is the set of gates that a search queries.
type searchScope string

const (
	// scopeNear covers the highest-ranked gates for the flow, of which one was
	// probably chosen for it.
	scopeNear searchScope = "near"
	// scopeRoute covers every gate of the route's services: when the flow was
	// placed, the highest-ranked gates may have been busy, or some gates unknown.
	scopeRoute searchScope = "route"
	// scopeAll covers every known gate, since the route may have had other
	// services when the flow was opened.
	scopeAll searchScope = "all"
)

// next returns the scope that follows this one in a search.
func (s searchScope) next() searchScope {
	switch s {
	case "":
		return scopeNear
	case scopeNear:
		return scopeRoute
	case scopeRoute, scopeAll:
	}
	return scopeAll
}

// search returns the gates to query for the flow, or a reason not to query now.
// It widens the scope if no gate within it is left to query, and finishes the
// search if that is the widest one.
func (b *Balancer) search(now time.Time, k key, r *route, e flowEntry, urgent bool) Decision {
	switch {
	case e.scope == "":
		e.scope = scopeNear
	case now.Sub(e.queriedAt) < queryTimeout:
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	case e.scope == scopeNear && !e.queriedAt.IsZero():
		// Some gates did not answer, but the holder may be outside of this scope.
		e.scope = scopeRoute
	}
	b.listCandidates(now, k, r, &e)
	for len(b.gateBuffer) == 0 && e.scope != scopeAll {
		e.scope = e.scope.next()
		b.listCandidates(now, k, r, &e)
	}
	e.gate, e.lastPacket = nil, now
	b.cacheFlow(k, e)
	if len(b.gateBuffer) == 0 {
		return b.finishSearch(now, k, e)
	}
	if !b.budget.take(now, len(b.gateBuffer), urgent) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalSearchLimit}
	}
	e.queriedAt = now
	b.flowCache[k] = e
	return Decision{Verdict: VerdictSearch, Reason: pollenkernel.RefusalUnknownFlow, Gates: slices.Clone(b.gateBuffer)}
}

// listCandidates fills gateBuffer with the addresses of the gates that a search
// queries: those within its scope that may hold the flow and are not in
// notFound.
func (b *Balancer) listCandidates(now time.Time, k key, r *route, e *flowEntry) {
	b.gateBuffer = b.gateBuffer[:0]
	b.eachGate(k, r, e.scope, func(g *gate) bool {
		if !slices.Contains(e.notFound, g) && b.mayHold(now, g) {
			b.gateBuffer = append(b.gateBuffer, g.address)
		}
		return true
	})
}

// eachGate calls visit with each gate within the scope until visit returns false.
func (b *Balancer) eachGate(k key, r *route, scope searchScope, visit func(g *gate) bool) {
	if scope == scopeAll {
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
		if scope == scopeNear {
			gates = b.near(k, s.Service)
		}
		for _, g := range gates {
			if !visit(g) {
				return
			}
		}
	}
}

// allGatesKnownAfter is the uptime after which a balancer knows every live gate, if none
// can be missing for want of a relay.
const allGatesKnownAfter = pollenpeer.SettleTime

// restartKnownAfter is the uptime after which a balancer knows whether the
// whole system has just started: peers that did not restart answer its first
// heartbeats by then.
const restartKnownAfter = 300 * time.Millisecond

// SetSystemRestarted sets whether every known peer has just started. Backend
// servers that have just started hold no older flows, so there is no need to
// wait for gates that are still missing. This lets a balancer reset lost flows
// early after a power loss, when callers continue to send on them.
func (b *Balancer) SetSystemRestarted(restarted bool) { b.systemRestarted = restarted }

// SetGateKnowledge sets the age up to which a gate's last sign of life counts as current,
// and whether no gate can be missing. It is called several times a second. After a pause
// of the process, the gates count as unknown for as long as after its start.
func (b *Balancer) SetGateKnowledge(now time.Time, freshAge time.Duration, complete bool) {
	if b.paused(now) {
		b.steadySince = now
	}
	b.checkedAt, b.freshAge, b.gatesComplete = now, freshAge, complete
}

// pauseTimeout is the time without a call of SetGateKnowledge that counts as a pause: heartbeats
// of new gates may have been lost meanwhile, or not been read yet.
const pauseTimeout = pollenpeer.FreshAge

func (b *Balancer) paused(now time.Time) bool {
	return !b.checkedAt.IsZero() && now.Sub(b.checkedAt) >= pauseTimeout
}

// knowsAllGates reports whether every gate that may hold a flow is known.
func (b *Balancer) knowsAllGates(now time.Time) bool {
	if b.paused(now) || now.Sub(b.steadySince) < allGatesKnownAfter {
		return false
	}
	age := now.Sub(b.config.StartTime)
	return (age >= allGatesKnownAfter && b.gatesComplete) || (b.systemRestarted && age >= restartKnownAfter)
}

// HandleNotFound records that a gate does not hold the flow of a packet. If the
// gate was cached as the holder, the others are searched. When no known gate
// holds the flow, it is lost and reset at once, so that the caller does not
// wait for its deadline. A gate that does not answer may still hold the flow.
func (b *Balancer) HandleNotFound(now time.Time, from netip.AddrPort, p *pollenpacket.Packet) Decision {
	k := keyOf(p.Flow)
	e, searching := b.flowCache[k]
	r, routed := b.routes[p.Flow.Service]
	g := b.gates[from]
	if !searching || !routed || g == nil || slices.Contains(e.notFound, g) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	if e.gate == g {
		e = flowEntry{notFound: []*gate{g}, acknowledged: p.Acknowledged, lastPacket: now}
		b.flowCache[k] = e
		return b.search(now, k, r, e, urgent(p))
	}
	if e.gate != nil && !e.gate.removed {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	e.notFound = append(slices.Clip(e.notFound), g)
	b.flowCache[k] = e
	if e.scope != scopeAll && b.notFoundInScope(now, k, r, &e) {
		e.scope, e.queriedAt = e.scope.next(), time.Time{}
		if d := b.search(now, k, r, e, urgent(p)); d.Verdict == VerdictSearch {
			return d
		}
	}
	return b.finishSearch(now, k, e)
}

// finishSearch resets the flow if every gate is known and none of them holds it,
// and drops the packet otherwise.
func (b *Balancer) finishSearch(now time.Time, k key, e flowEntry) Decision {
	if !b.knowsAllGates(now) || !b.notFoundAnywhere(now, e.notFound) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	delete(b.flowCache, k)
	return Decision{Verdict: VerdictReset, Reason: pollenkernel.RefusalUnknownFlow}
}

// TakeLostFlows returns the flows that no gate holds, sorted, as packets to
// reset. It does so only once, as soon as every gate is known, and returns nil
// before and after: the callers of these flows would otherwise learn of the
// loss only by their next retransmission.
func (b *Balancer) TakeLostFlows(now time.Time) []pollenpacket.Packet {
	if b.lostFlowsTaken || !b.knowsAllGates(now) {
		return nil
	}
	b.lostFlowsTaken = true
	var lost []pollenpacket.Packet
	for k, e := range b.flowCache {
		if e.gate != nil || len(e.notFound) == 0 || b.finishSearch(now, k, e).Verdict != VerdictReset {
			continue
		}
		if f, ok := pollenlink.ReadFlow(k[:]); ok {
			lost = append(lost, pollenpacket.Packet{Flow: f, ACK: true, Acknowledged: e.acknowledged})
		}
	}
	slices.SortFunc(lost, func(p, q pollenpacket.Packet) int { return p.Flow.Compare(q.Flow) })
	return lost
}

// HandleFlowNotFound is HandleNotFound for a report that names only the flow and
// does not return the packet. It sets p.Acknowledged to the position that the
// caller last acknowledged.
func (b *Balancer) HandleFlowNotFound(now time.Time, from netip.AddrPort, p *pollenpacket.Packet) Decision {
	p.Acknowledged = b.flowCache[keyOf(p.Flow)].acknowledged
	return b.HandleNotFound(now, from, p)
}

// notFoundAnywhere reports whether every gate that may hold a flow is in the
// list, which may also contain removed gates.
func (b *Balancer) notFoundAnywhere(now time.Time, notFound []*gate) bool {
	for _, g := range b.gates {
		if !slices.Contains(notFound, g) && b.mayHold(now, g) {
			return false
		}
	}
	return true
}

// mayHold reports whether the gate may hold a flow. It returns false for a gate
// that no server has reported to, if the gate is silent or the whole system has
// just started: its host came back without a server.
func (b *Balancer) mayHold(now time.Time, g *gate) bool {
	return g.server.State != pollenpeer.ServerUnknown || (!b.systemRestarted && now.Sub(g.lastSeen) < b.freshAge)
}

// notFoundInScope reports whether every gate within the scope of the search is
// ruled out as the holder of the flow.
func (b *Balancer) notFoundInScope(now time.Time, k key, r *route, e *flowEntry) bool {
	notFound := true
	b.eachGate(k, r, e.scope, func(g *gate) bool {
		notFound = slices.Contains(e.notFound, g) || !b.mayHold(now, g)
		return notFound
	})
	return notFound
}
