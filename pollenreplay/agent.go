package pollenreplay

import (
	"fmt"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollenview"
)

// Timing of the agents, as in the shell of an agent.
const (
	tickInterval = 20 * time.Millisecond
	drainPoll    = 50 * time.Millisecond
	drainBound   = 20 * time.Second
)

// agent runs the state machines of one agent.
type agent struct {
	*process
	world   *world
	load    *serviceLoad
	backend *backend

	limiter  *pollenadmission.Limiter
	flows    *pollenagent.Flows
	requests *pollenrequest.Node
	ledger   *pollenledger.Replica
	vault    *pollenagent.BackupStore
	restored bool
	// planned is set while the agent is down by a planned stop, and wasKilled
	// once it was ever killed.
	planned   bool
	wasKilled time.Time
	calls     map[pollenrequest.ID]*call
	nextID    pollenrequest.ID
	nextPort  uint16
}

func (w *world) addAgent(l *serviceLoad, number int) {
	at := len(w.services) - 1
	name := fmt.Sprintf("%s-%d", l.service.Document.Name, number+1)
	p := w.newProcess(name, pollenview.RoleAgent, number, agentAddress(at, number))
	p.member.Service = l.service.Document.Name
	a := &agent{process: p, world: w, load: l}
	p.agent = a
	a.backend = newBackend(a)
	l.agents = append(l.agents, a)
	w.agents = append(w.agents, a)
	w.boot(p)
	a.boot()
	w.every(tickInterval, a.tick)
}

// boot makes the state machines of a new incarnation.
func (a *agent) boot() {
	w := a.world
	a.planned = false
	a.restored = false
	a.member.State = pollendocument.ServerActive
	placement, ramp := pollenflow.PlacementLeast, pollenadmission.RampSuccess
	if w.variant == VariantHash || w.variant == VariantTable {
		placement = pollenflow.PlacementOwner
	}
	policy, err := pollenflow.Placements.Lookup(placement)
	if err != nil {
		panic(err)
	}
	growth, err := pollenadmission.Ramps.Lookup(ramp)
	if err != nil {
		panic(err)
	}
	a.limiter = pollenadmission.NewLimiter(w.now, pollenadmission.Limits{Slots: 1, Cold: 1, Connections: 1}, growth)
	config := pollenagent.NewConfig(a.member, a.limiter, policy, w.trace.Seed)
	if w.variant == VariantOne {
		config.MaxPastOwners = 1
	}
	a.flows = pollenagent.NewFlows(w.now, config)
	a.requests = pollenrequest.NewNode(pollenrequest.NewConfig(a.member, a.limiter, a.flows.Loads(), policy, w.trace.Seed))
	a.ledger = pollenledger.NewReplica(reference(a.member), a.member.Service)
	a.vault = pollenagent.NewBackupStore()
	a.calls = map[pollenrequest.ID]*call{}
	incarnation := a.member.Incarnation
	w.after(4*w.trace.Latency, func() {
		if a.up && a.member.Incarnation == incarnation {
			a.restore()
		}
	})
}

// restore takes back the flows that peers kept, and joins.
func (a *agent) restore() {
	w := a.world
	var latest pollenagent.Backup
	for _, other := range a.load.agents {
		if other == a || !other.up {
			continue
		}
		if k, ok := other.vault.Get(a.member.Name, a.member.Service); ok && k.IsNewerThan(latest) {
			latest = k
		}
	}
	a.limiter.ObserveStart(w.now, a.backend.stampText())
	if w.variant == VariantSystem || w.variant == VariantOne {
		a.limiter.Resume(latest.StartStamp, latest.Limit)
		for _, k := range latest.Records {
			a.flows.Restore(w.now, k)
		}
	}
	a.restored = true
	a.flows.EnableBackups()
	w.join(a.process)
}

func (a *agent) changeView() {
	w := a.world
	before := a.flows.Serving()
	a.act(a.flows.ChangeView(w.now, a.replica.View()))
	if before && !a.flows.Serving() {
		a.load.domainLeft(a)
	}
	a.step(pollenrequest.ViewChanged{View: a.replica.View()})
	a.ledger.ChangeView(w.now, a.replica.View())
}

func (a *agent) tick() {
	w := a.world
	if !a.up {
		return
	}
	a.act(a.flows.Tick(w.now))
	a.step(pollenrequest.Tick{})
	a.ledger.Tick(w.now)
	w.measures.queuePeak = max(w.measures.queuePeak, a.requests.Waiting())
	epoch := a.ledger.Group().Epoch
	for _, m := range a.ledger.SyncTargets(w.now) {
		a.sync(epoch, m)
	}
}

// sync asks a replica of the previous ledger group for its claims.
func (a *agent) sync(epoch uint64, from pollenview.Member) {
	w := a.world
	incarnation := a.member.Incarnation
	w.deliver(func() {
		other := w.byAddress[from.Address]
		if !other.up || other.member.Incarnation != from.Incarnation {
			return
		}
		w.hear(other, a.replica.Revision())
		reply := other.agent.ledger.HandleSync(w.now, pollenledger.SyncRequest{Service: a.member.Service, Epoch: epoch})
		w.deliver(func() {
			if a.up && a.member.Incarnation == incarnation {
				a.ledger.HandleSyncReply(w.now, epoch, reference(from), reply)
			}
		})
	})
}

// act carries out what the flows ask for.
func (a *agent) act(actions []pollenagent.Action) {
	w := a.world
	for _, action := range actions {
		switch action := action.(type) {
		case pollenagent.SendRegistrations:
			if w.variant == VariantSystem {
				a.tell(action.To, action.Registrations)
			}
		case pollenagent.SendLoad:
			load := action.Load
			load.Waiting = a.requests.Waiting()
			w.deliver(func() {
				if p := w.byAddress[action.To]; p.up {
					w.hear(p, a.replica.Revision())
					p.agent.flows.HandleLoad(w.now, load)
				}
			})
		case pollenagent.SendBackup:
			w.after(w.trace.Latency, func() {
				p := w.byAddress[action.To]
				if kept := p.up && p.agent.vault.Put(w.now, action.Backup); !kept && a.up {
					a.flows.BackupFailed(action.Peer)
				}
			})
		}
	}
}

func (a *agent) tell(to netip.AddrPort, registrations []pollenflow.Registration) {
	w := a.world
	w.deliver(func() {
		if p := w.byAddress[to]; p != nil && p.up && p.agent != nil {
			w.hear(p, a.replica.Revision())
			p.agent.flows.HandleRegistrations(w.now, registrations)
		}
	})
}

// packet is a caller's packet on its way.
type packet struct {
	pollenagent.Packet
	flow *flow
}

// take decides about a packet and carries the decision out.
func (a *agent) take(p packet) {
	w := a.world
	if !a.up || !a.restored {
		return
	}
	if p.Revision > a.replica.Revision() {
		w.hear(a.process, p.Revision)
	}
	d := a.decide(&p.Packet)
	switch d.Kind {
	case pollenagent.DecisionDeliver:
		if d.New {
			a.nextPort++
			d.Record.Port = a.nextPort
			w.checkDrain(a.process)
		}
		p.flow.reached(a, p.MayOpenFlow)
	case pollenagent.DecisionForward:
		w.measures.hops++
		next := p
		next.From, next.Target, next.Revision = a.address, d.Target, a.replica.Revision()
		next.Assigned, next.Search, next.SearchIndex, next.Hops = d.Assigned, d.Search, d.SearchIndex, d.Hops
		w.deliver(func() { w.byAddress[d.To].agent.take(next) })
	}
	if d.Kind == pollenagent.DecisionDrop {
		w.measures.refusals[d.Refusal]++
	}
	if d.Notify.IsValid() {
		a.tell(d.Notify, []pollenflow.Registration{{Key: p.Key, Holder: a.flows.Reference(), Withdrawn: d.Decline}})
	}
}

// decide is that of the system, or that of a baseline, whose agents deliver
// what reaches them.
func (a *agent) decide(p *pollenagent.Packet) pollenagent.Decision {
	if a.world.variant == VariantSystem || a.world.variant == VariantOne {
		return a.flows.Decide(a.world.now, p)
	}
	assigned := *p
	assigned.Assigned = p.MayOpenFlow
	if !p.MayOpenFlow {
		assigned.Hops = pollenagent.MaxHops
	}
	d := a.flows.Decide(a.world.now, &assigned)
	d.Notify = netip.AddrPort{}
	if d.Kind == pollenagent.DecisionForward {
		return pollenagent.Decision{Kind: pollenagent.DecisionDrop}
	}
	return d
}

// killed drops what the agent held in memory.
func (a *agent) killed() {
	a.wasKilled = a.world.now
	a.restored = false
	for _, c := range a.calls {
		c.lost = true
	}
	a.load.edgeLost(a)
}

// drainAndStop stops the agent as planned and then calls done.
func (a *agent) drainAndStop(done func()) {
	w := a.world
	a.flows.Drain()
	a.step(pollenrequest.Stop{})
	a.member.State = pollendocument.ServerDraining
	w.join(a.process)
	a.load.edgeLost(a)
	incarnation := a.member.Incarnation
	began := w.now
	var poll func()
	poll = func() {
		if !a.up || a.member.Incarnation != incarnation {
			return
		}
		if !a.mayLeave() && w.now.Sub(began) < drainBound {
			w.after(drainPoll, poll)
			return
		}
		a.handOver()
		a.up = false
		a.planned = true
		if a.load.service.Document.Delivery == pollendocument.DeliveryHTTP {
			w.leave(a.process)
		}
		done()
	}
	w.after(drainPoll, poll)
}

func (a *agent) mayLeave() bool {
	view := a.replica.View()
	if m, ok := view.Members[a.member.Name]; ok && m.State != pollendocument.ServerDraining {
		return false
	}
	if a.requests.Len() > 0 || len(a.calls) > 0 {
		return false
	}
	others := 0
	for _, m := range view.Agents(a.member.Service) {
		if m.Name != a.member.Name && view.TakesNewWork(m) {
			others++
		}
	}
	if others == 0 {
		return true
	}
	for _, r := range view.Ledgers[a.member.Service].Replicas {
		if r == reference(a.member) {
			return false
		}
	}
	return true
}

func (a *agent) handOver() {
	kept := a.flows.FullBackup()
	for _, to := range a.flows.BackupPeers() {
		if p := a.world.byAddress[to]; p.up {
			p.agent.vault.Put(a.world.now, kept)
		}
	}
}
