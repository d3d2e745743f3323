package pollenagent

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
)

// place chooses the holder of a new flow among the owners with a known load,
// and opens the flow here or forwards its packet.
func (f *Flows) place(now time.Time, p *Packet) Decision {
	f.loadScratch = append(f.loadScratch[:0], f.Load())
	for _, m := range f.owners.Members() {
		if m.Name == f.config.Self.Name {
			continue
		}
		if load, ok := f.loads.Get(now, m.Name); ok {
			f.loadScratch = append(f.loadScratch, load)
		}
	}
	if f.Draining() {
		f.loadScratch[0].Limit = 0
	}
	at, ok := f.config.Placement.Choose(f.random, f.loadScratch, pollenflow.FlowUtilization)
	if !ok {
		return drop(f.noRoomReason())
	}
	if at == 0 {
		return f.open(now, p)
	}
	to, ok := f.agent(f.loadScratch[at].Name)
	if !ok {
		return drop(pollenkernel.RefusalNoMember)
	}
	f.directory.Put(now, p.Key, memberRef(*to))
	f.loads.AddFlow(now, to.Name)
	return Decision{
		Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name),
		Assigned: true, Hops: p.Hops + 1,
	}
}

// noRoomReason returns the refusal of a new flow for which no agent has room,
// derived from this agent's own limits.
func (f *Flows) noRoomReason() pollenkernel.Refusal {
	u := f.config.Limiter.Usage()
	switch {
	case f.Draining():
		return pollenkernel.RefusalDraining
	case u.Flows >= u.ConnectionLimit:
		return pollenkernel.RefusalConnectionLimit
	default:
		return pollenkernel.RefusalColdLimit
	}
}

// openAssigned opens a flow that the directory owner assigned to this agent, or
// declines it, and notifies the owner.
func (f *Flows) openAssigned(now time.Time, p *Packet) Decision {
	d := drop(pollenkernel.RefusalDraining)
	if !f.Draining() {
		d = f.open(now, p)
	}
	d.Notify = p.From
	d.Decline = d.Kind == DecisionDrop
	return d
}

// open opens a flow here if the limits allow it.
func (f *Flows) open(now time.Time, p *Packet) Decision {
	l := f.config.Limiter
	if !l.OpenFlow() {
		return drop(pollenkernel.RefusalConnectionLimit)
	}
	relay := f.delivery == pollendocument.DeliveryRelay
	if relay && !l.Begin() {
		l.CloseFlow()
		return drop(pollenkernel.RefusalColdLimit)
	}
	r := &Record{
		Key: p.Key, Balancer: p.Balancer, LastSeen: now, OpenedAt: now, Established: !relay, registeredAt: now,
	}
	f.records[p.Key] = r
	f.directory.Delete(p.Key)
	f.backups.markChanged(r.Key)
	return Decision{Kind: DecisionDeliver, Record: r, New: true}
}
