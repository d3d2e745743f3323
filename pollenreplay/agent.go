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
	drainTimeout = 20 * time.Second
)

// agent runs the state machines of one agent.
type agent struct {
	*process
	sim     *simulation
	load    *serviceLoad
	backend *backend

	limiter  *pollenadmission.Limiter
	flows    *pollenagent.Flows
	requests *pollenrequest.Node
	ledger   *pollenledger.Replica
	backups  *pollenagent.BackupStore
	restored bool
	// schedulePlanned is set while the agent is down by a planned stop, and wasKilled
	// once it was ever killed.
	stoppedAsPlanned bool
	lastKill         time.Time
	calls            map[pollenrequest.ID]*call
	nextID           pollenrequest.ID
	nextPort         uint16
}

func (sim *simulation) addAgent(l *serviceLoad, number int) {
	serviceIndex := len(sim.services) - 1
	name := fmt.Sprintf("%s-%d", l.service.Settings.Name, number+1)
	p := sim.newProcess(name, pollenview.RoleAgent, number, agentAddress(serviceIndex, number))
	p.member.Service = l.service.Settings.Name
	a := &agent{process: p, sim: sim, load: l}
	p.agent = a
	a.backend = newBackend(a)
	l.agents = append(l.agents, a)
	sim.agents = append(sim.agents, a)
	sim.boot(p)
	a.boot()
	sim.every(tickInterval, a.tick)
}

// boot makes the state machines of a new incarnation.
func (a *agent) boot() {
	sim := a.sim
	a.stoppedAsPlanned = false
	a.restored = false
	a.member.State = pollendocument.ServerActive
	placement, ramp := pollenflow.PlacementLeast, pollenadmission.RampSuccess
	if sim.variant == VariantHash || sim.variant == VariantTable {
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
	a.limiter = pollenadmission.NewLimiter(sim.now, pollenadmission.Limits{Slots: 1, Cold: 1, Connections: 1}, growth)
	config := pollenagent.NewConfig(a.member, a.limiter, policy, sim.trace.Seed)
	if sim.variant == VariantOneGeneration {
		config.MaxPastOwners = 1
	}
	a.flows = pollenagent.NewFlows(sim.now, config)
	a.requests = pollenrequest.NewNode(pollenrequest.NewConfig(a.member, a.limiter, a.flows.Loads(), policy, sim.trace.Seed))
	a.ledger = pollenledger.NewReplica(replicaRef(a.member), a.member.Service)
	a.backups = pollenagent.NewBackupStore()
	a.calls = map[pollenrequest.ID]*call{}
	incarnation := a.member.Incarnation
	sim.after(4*sim.trace.Latency, func() {
		if a.up && a.member.Incarnation == incarnation {
			a.restore()
		}
	})
}

// restore takes back the flows that peers kept, and joins.
func (a *agent) restore() {
	sim := a.sim
	var latest pollenagent.Backup
	for _, other := range a.load.agents {
		if other == a || !other.up {
			continue
		}
		if k, ok := other.backups.Get(a.member.Name, a.member.Service); ok && k.IsNewerThan(latest) {
			latest = k
		}
	}
	a.limiter.ObserveStart(sim.now, a.backend.startStamp())
	if sim.variant == VariantSystem || sim.variant == VariantOneGeneration {
		a.limiter.Resume(latest.StartStamp, latest.Limit)
		for _, k := range latest.Records {
			a.flows.Restore(sim.now, k)
		}
	}
	a.restored = true
	a.flows.EnableBackups()
	sim.join(a.process)
}

func (a *agent) changeView() {
	sim := a.sim
	before := a.flows.Serving()
	a.execute(a.flows.ChangeView(sim.now, a.replica.View()))
	if before && !a.flows.Serving() {
		a.load.handleEvacuation(a)
	}
	a.step(pollenrequest.ViewChanged{View: a.replica.View()})
	a.ledger.ChangeView(sim.now, a.replica.View())
}

func (a *agent) tick() {
	sim := a.sim
	if !a.up {
		return
	}
	a.execute(a.flows.Tick(sim.now))
	a.step(pollenrequest.Tick{})
	a.ledger.Tick(sim.now)
	sim.measures.queuePeak = max(sim.measures.queuePeak, a.requests.Waiting())
	epoch := a.ledger.Group().Epoch
	for _, m := range a.ledger.SyncTargets(sim.now) {
		a.requestSync(epoch, m)
	}
}

// requestSync asks a replica of the previous ledger group for its claims.
func (a *agent) requestSync(epoch uint64, from pollenview.Member) {
	sim := a.sim
	incarnation := a.member.Incarnation
	sim.deliver(func() {
		other := sim.byAddress[from.Address]
		if !other.up || other.member.Incarnation != from.Incarnation {
			return
		}
		sim.fetchRevision(other, a.replica.Revision())
		reply := other.agent.ledger.HandleSync(sim.now, pollenledger.SyncRequest{Service: a.member.Service, Epoch: epoch})
		sim.deliver(func() {
			if a.up && a.member.Incarnation == incarnation {
				a.ledger.HandleSyncReply(sim.now, epoch, replicaRef(from), reply)
			}
		})
	})
}

// execute carries out what the flows ask for.
func (a *agent) execute(actions []pollenagent.Action) {
	sim := a.sim
	for _, action := range actions {
		switch action := action.(type) {
		case pollenagent.SendRegistrations:
			if sim.variant == VariantSystem {
				a.sendRegistrations(action.To, action.Registrations)
			}
		case pollenagent.SendLoad:
			load := action.Load
			load.Waiting = a.requests.Waiting()
			sim.deliver(func() {
				if p := sim.byAddress[action.To]; p.up {
					sim.fetchRevision(p, a.replica.Revision())
					p.agent.flows.HandleLoad(sim.now, load)
				}
			})
		case pollenagent.SendBackup:
			sim.after(sim.trace.Latency, func() {
				p := sim.byAddress[action.To]
				if stored := p.up && p.agent.backups.Put(sim.now, action.Backup); !stored && a.up {
					a.flows.BackupFailed(action.Peer)
				}
			})
		}
	}
}

func (a *agent) sendRegistrations(to netip.AddrPort, registrations []pollenflow.Registration) {
	sim := a.sim
	sim.deliver(func() {
		if p := sim.byAddress[to]; p != nil && p.up && p.agent != nil {
			sim.fetchRevision(p, a.replica.Revision())
			p.agent.flows.HandleRegistrations(sim.now, registrations)
		}
	})
}

// packet is a caller's packet on its way.
type packet struct {
	pollenagent.Packet
	flow *flow
}

// handlePacket decides about a packet and carries the decision out.
func (a *agent) handlePacket(p packet) {
	sim := a.sim
	if !a.up || !a.restored {
		return
	}
	if p.Revision > a.replica.Revision() {
		sim.fetchRevision(a.process, p.Revision)
	}
	d := a.decide(&p.Packet)
	switch d.Kind {
	case pollenagent.DecisionDeliver:
		if d.New {
			a.nextPort++
			d.Record.Port = a.nextPort
			sim.checkDrain(a.process)
		}
		p.flow.handleDelivery(a, p.MayOpenFlow)
	case pollenagent.DecisionForward:
		sim.measures.hops++
		next := p
		next.From, next.Target, next.Revision = a.address, d.Target, a.replica.Revision()
		next.Assigned, next.Search, next.SearchIndex, next.Hops = d.Assigned, d.Search, d.SearchIndex, d.Hops
		sim.deliver(func() { sim.byAddress[d.To].agent.handlePacket(next) })
	}
	if d.Kind == pollenagent.DecisionDrop {
		sim.measures.refusals[d.Refusal]++
	}
	if d.Notify.IsValid() {
		a.sendRegistrations(d.Notify, []pollenflow.Registration{{Key: p.Key, Holder: a.flows.Reference(), Withdrawn: d.Decline}})
	}
}

// decide is that of the system, or that of a baseline, whose agents deliver
// what reaches them.
func (a *agent) decide(p *pollenagent.Packet) pollenagent.Decision {
	if a.sim.variant == VariantSystem || a.sim.variant == VariantOneGeneration {
		return a.flows.Decide(a.sim.now, p)
	}
	assigned := *p
	assigned.Assigned = p.MayOpenFlow
	if !p.MayOpenFlow {
		assigned.Hops = pollenagent.MaxHops
	}
	d := a.flows.Decide(a.sim.now, &assigned)
	d.Notify = netip.AddrPort{}
	if d.Kind == pollenagent.DecisionForward {
		return pollenagent.Decision{Kind: pollenagent.DecisionDrop}
	}
	return d
}

// handleKill drops what the agent held in memory.
func (a *agent) handleKill() {
	a.lastKill = a.sim.now
	a.restored = false
	for _, c := range a.calls {
		c.agentKilled = true
	}
	a.load.disconnectClients(a)
}

// drainAndStop stops the agent as planned and then calls done.
func (a *agent) drainAndStop(done func()) {
	sim := a.sim
	a.flows.Drain()
	a.step(pollenrequest.Stop{})
	a.member.State = pollendocument.ServerDraining
	sim.join(a.process)
	a.load.disconnectClients(a)
	incarnation := a.member.Incarnation
	start := sim.now
	var poll func()
	poll = func() {
		if !a.up || a.member.Incarnation != incarnation {
			return
		}
		if !a.canStop() && sim.now.Sub(start) < drainTimeout {
			sim.after(drainPoll, poll)
			return
		}
		a.sendFullBackup()
		a.up = false
		a.stoppedAsPlanned = true
		if a.load.service.Settings.Delivery == pollendocument.DeliveryHTTP {
			sim.leave(a.process)
		}
		done()
	}
	sim.after(drainPoll, poll)
}

func (a *agent) canStop() bool {
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
		if r == replicaRef(a.member) {
			return false
		}
	}
	return true
}

func (a *agent) sendFullBackup() {
	backup := a.flows.FullBackup()
	for _, to := range a.flows.BackupPeers() {
		if p := a.sim.byAddress[to]; p.up {
			p.agent.backups.Put(a.sim.now, backup)
		}
	}
}
