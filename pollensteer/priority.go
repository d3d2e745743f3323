package pollensteer

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpriority"
	"pollenstep.example/pollenstep/pollenshare"
)

// A priorityState is the state of a balancer about gates that do not admit every priority.
type priorityState struct {
	// closedGates is the number of those gates.
	closedGates int
	// admitting is the route whose priority a usable gate must admit; nil if any gate will
	// do. It is set only while a gate is chosen.
	admitting *route
	// minimum selects the flows that are passed to a gate that does not admit them.
	minimum pollenpriority.Minimum
	// callers divides those flows between callers.
	callers *pollenshare.Table[netip.Addr]
}

// admits reports whether the gate admits new flows of the priority.
func (g *gate) admits(priority int) bool {
	return g.server.AdmitBelow == 0 || priority < g.server.AdmitBelow
}

// setAdmitBelow sets which priorities the gate admits, as in pollenpeer.Server.
func (b *Balancer) setAdmitBelow(g *gate, admitBelow int) {
	if g.server.AdmitBelow != 0 {
		b.priority.closedGates--
	}
	if admitBelow != 0 {
		b.priority.closedGates++
	}
	g.server.AdmitBelow = admitBelow
}

// recordPriorityRefusal updates which priorities a gate admits, until its next
// heartbeat, if it declined an opening packet for its priority. A retransmission may have
// been declined for its age.
func (b *Balancer) recordPriorityRefusal(g *gate, h *pollenlink.Header, r *route, p *pollenpacket.Packet) {
	if h.Reason == pollenkernel.RefusalPriority && p.Acknowledged == 0 && g.admits(r.Priority) {
		b.setAdmitBelow(g, r.Priority)
	}
}

// chooseByPriority returns a gate for a new flow with the entry e, as choose does, and
// prefers the gates that admit the priority of the route. If there is none, refused
// is the reason to refuse the first transmission of nine in ten flows, and the others are
// passed to a gate that does not admit the priority: one in ten as the minimum share of its
// priority, and retransmissions because an earlier transmission may have opened the flow. A
// caller above its share gets one of the one in ten only if the others leave them unused.
func (b *Balancer) chooseByPriority(
	now time.Time, k key, r *route, p *pollenpacket.Packet, e *flowEntry, tries int, excluded *gate,
) (g *gate, refused pollenkernel.Refusal) {
	if b.priority.closedGates == 0 || e.minimum {
		return b.choose(now, k, r, tries, excluded), pollenkernel.RefusalNone
	}
	b.priority.admitting = r
	g = b.choose(now, k, r, tries, excluded)
	b.priority.admitting = nil
	if g != nil {
		return g, pollenkernel.RefusalNone
	}
	g = b.choose(now, k, r, tries, excluded)
	if g == nil || p.Acknowledged > 0 {
		return g, pollenkernel.RefusalNone
	}
	caller := p.Flow.Caller.Addr()
	b.priority.callers.Ask(now, caller, 1)
	take, reason := b.priority.minimum.Take, pollenkernel.RefusalPriority
	if b.priority.callers.Exceeds(now, caller) {
		take, reason = b.priority.minimum.TakeAbove, pollenkernel.RefusalShare
	}
	if e.minimum = take(r.Priority); e.minimum {
		b.priority.callers.Add(now, caller, 1)
		return g, pollenkernel.RefusalNone
	}
	return nil, reason
}
