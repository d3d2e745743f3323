package pollensteer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// scopeTop covers the maxTop highest-ranked gates for the flow, from which it was
	// chosen unless some of them were unusable or declined it. Only searches over a
	// low-bandwidth link begin with it.
	scopeTop searchScope = "top"
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
	case "", scopeTop:
		return scopeNear
	case scopeNear:
		return scopeRoute
	case scopeRoute, scopeAll:
	}
	return scopeAll
}

// narrow reports whether a search widens the scope when gates within it do not
// answer, because the holder may be outside of it.
func (s searchScope) narrow() bool { return s == scopeTop || s == scopeNear }

// maxTop is the number of gates within scopeTop: two for each of two times that the
// opening packet is placed.
const maxTop = 4

// maxSlowLinkRate is the rate in bits per second up to which a link is a low-bandwidth one,
// on which searches begin with fewer gates and repeat their queries before they widen.
// Queries of widened searches took up to 40% of such links, and caused the loss of others.
const maxSlowLinkRate = 10e6

// SlowLink reports whether the settings state a low-bandwidth link.
func (b *Balancer) SlowLink() bool {
	return b.config.LinkRate > 0 && b.config.LinkRate <= maxSlowLinkRate
}

// firstScope returns the scope with which searches begin.
func (b *Balancer) firstScope() searchScope {
	if b.SlowLink() {
		return scopeTop
	}
	return scopeNear
}

// narrowRounds returns the rounds of queries within a narrow scope before the search
// widens it. On a low-bandwidth link the loss of a query is likelier than a holder outside
// of the scope.
func (b *Balancer) narrowRounds() uint8 {
	if b.SlowLink() {
		return 2
	}
	return 1
}

// timeout returns the time after which the gates of a search that did not answer are
// queried again.
func (b *Balancer) timeout(s searchScope) time.Duration {
	if b.SlowLink() && s.narrow() {
		return slowQueryTimeout
	}
	return queryTimeout
}

// search returns the gates to query for the flow, or a reason not to query now.
// It widens the scope if no gate within it is left to query, and finishes the
// search if that is the widest one.
func (b *Balancer) search(now time.Time, k key, r *route, e flowEntry, urgent bool) Decision {
	switch {
	case e.scope == "":
		e.scope = b.firstScope()
	case now.Sub(e.queriedAt) < b.timeout(e.scope):
		b.flowCache[k] = e
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	case e.scope.narrow() && e.rounds >= b.narrowRounds():
		e.widen()
	}
	b.listCandidates(now, k, r, &e)
	for len(b.gateBuffer) == 0 && e.scope != scopeAll {
		e.widen()
		b.listCandidates(now, k, r, &e)
	}
	e.gate = nil
	if b.SlowLink() {
		b.repeat(k, &e)
		b.rotate(k, &e)
	}
	b.cacheFlow(k, e)
	if len(b.gateBuffer) == 0 {
		return b.finishSearch(now, k, e)
	}
	if d, waits := b.awaitBatch(now, &e); waits {
		b.flowCache[k] = e
		return d
	}
	if !b.budget.take(now, b.querySize(), urgent) {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalSearchLimit}
	}
	b.addToBatch()
	e.queriedAt, e.due = now, false
	if e.rounds < maxRounds {
		e.rounds++
	}
	b.flowCache[k] = e
	return Decision{Verdict: VerdictSearch, Reason: pollenkernel.RefusalUnknownFlow, Gates: slices.Clone(b.gateBuffer)}
}

// widen moves the search to the next scope.
func (e *flowEntry) widen() { e.scope, e.rounds = e.scope.next(), 0 }

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

// rotate makes a wide scope's queries begin at another gate in each round and for each
// flow. A full link drops the end of each burst of queries, which would lose those to the
// same gates in every round.
func (b *Balancer) rotate(k key, e *flowEntry) {
	n := len(b.gateBuffer)
	if n == 0 || e.scope.narrow() {
		return
	}
	// Rounds begin at 0, 1/2 and 1/4 of the gates, so that the ends of the first rounds
	// have little in common.
	start := int(xxhash.Sum64(k[:])%uint64(n)) + [...]int{0, n / 2, n / 4, 3 * n / 4}[e.rounds]
	start %= n
	b.gateBuffer = append(b.gateBuffer, b.gateBuffer[:start]...)
	b.gateBuffer = slices.Delete(b.gateBuffer, 0, start)
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
		if scope.narrow() {
			gates = b.near(k, s.Service)
		}
		if scope == scopeTop {
			gates = gates[:min(maxTop, len(gates))]
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
		e = flowEntry{notFound: []*gate{g}, acknowledged: p.Acknowledged, lastPacket: now, urgent: urgent(p)}
		b.flowCache[k] = e
		return b.search(now, k, r, e, urgent(p))
	}
	if e.gate != nil && !e.gate.removed {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	e.notFound = append(slices.Clip(e.notFound), g)
	b.flowCache[k] = e
	if e.scope != scopeAll && b.notFoundInScope(now, k, r, &e) {
		e.widen()
		e.queriedAt = time.Time{}
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
