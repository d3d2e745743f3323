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

// Timing of the simulated agents.
const (
	// tickInterval is that of a real agent process.
	tickInterval = 20 * time.Millisecond
	// drainPoll is the interval at which a draining agent checks whether it can
	// stop, and a forwarding agent whether the other agent was killed.
	drainPoll    = 50 * time.Millisecond
	drainTimeout = 20 * time.Second
)

// agent simulates one agent with its state machines and its backend server.
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
	// restored is set when the flow records have been restored from the backup
	// peers. Before that the agent drops packets.
	restored bool
	// stoppedAsPlanned is set while the agent is down because of a planned stop.
	// lastKill is the time of the last kill; zero if the agent was never killed.
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
	sim.runEvery(tickInterval, a.tick)
}

// boot creates the state machines of a new incarnation and schedules the restore.
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
	a.limiter = pollenadmission.NewLimiter(sim.now, pollenadmission.Limits{Slots: 1, Cold: 1, ConnectionLimit: 1}, growth)
	config := pollenagent.NewConfig(a.member, a.limiter, policy, sim.trace.Seed)
	if sim.variant == VariantOneGeneration {
		config.MaxPastOwners = 1
	}
	a.flows = pollenagent.NewFlows(sim.now, config)
	a.requests = pollenrequest.NewNode(pollenrequest.NewConfig(a.member, a.limiter, a.flows.Loads(), policy, sim.trace.Seed))
	a.ledger = pollenledger.NewReplica(memberRef(a.member), a.member.Service)
	a.backups = pollenagent.NewBackupStore()
	a.calls = map[pollenrequest.ID]*call{}
	incarnation := a.member.Incarnation
	sim.after(4*sim.trace.Latency, func() {
		if a.up && a.member.Incarnation == incarnation {
			a.restore()
		}
	})
}

// restore restores the flows and the limit from the newest backup among the
// peers and joins the view. VariantHash and VariantTable restore nothing.
func (a *agent) restore() {
	sim := a.sim
	var latest pollenagent.Backup
	for _, other := range a.load.agents {
		if other == a || !other.up {
			continue
		}
		if backup, ok := other.backups.Get(a.member.Name, a.member.Service); ok && backup.IsNewerThan(latest) {
			latest = backup
		}
	}
	a.limiter.ObserveStart(sim.now, a.backend.startStamp())
	if sim.variant == VariantSystem || sim.variant == VariantOneGeneration {
		a.limiter.Resume(latest.StartStamp, latest.Limit)
		for _, record := range latest.Records {
			a.flows.Restore(sim.now, record)
		}
	}
	a.restored = true
	a.flows.EnableBackups()
	sim.join(a.process)
}

// changeView passes the process's view to the agent's state machines.
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
	sim.measures.queuePeak = max(sim.measures.queuePeak, a.requests.Queued())
	epoch := a.ledger.Group().Epoch
	for _, m := range a.ledger.SyncTargets(sim.now) {
		a.requestSync(epoch, m)
	}
}

// requestSync requests the claims that a replica of the previous ledger group
// holds.
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
				a.ledger.HandleSyncReply(sim.now, epoch, memberRef(from), reply)
			}
		})
	})
}

// execute executes the actions that the flow state machine returned.
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
			load.Queued = a.requests.Queued()
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

// sendRegistrations sends flow registrations to the agent at the address to.
func (a *agent) sendRegistrations(to netip.AddrPort, registrations []pollenflow.Registration) {
	sim := a.sim
	sim.deliver(func() {
		if p := sim.byAddress[to]; p != nil && p.up && p.agent != nil {
			sim.fetchRevision(p, a.replica.Revision())
			p.agent.flows.HandleRegistrations(sim.now, registrations)
		}
	})
}

// packet is a caller's packet in transit.
type packet struct {
	pollenagent.Packet
	flow *flow
}

// handlePacket decides what to do with a packet and executes the decision.
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
		a.sendRegistrations(d.Notify, []pollenflow.Registration{{Key: p.Key, Holder: a.flows.MemberRef(), Withdrawn: d.Decline}})
	}
}

// decide returns the decision for a packet. In VariantSystem and
// VariantOneGeneration it is that of the flow state machine. The agents of the
// other baselines deliver every packet that they can and forward none.
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

// handleKill records the time of the kill, marks the open calls and closes the
// callers' connections to the agent.
func (a *agent) handleKill() {
	a.lastKill = a.sim.now
	a.restored = false
	for _, c := range a.calls {
		c.agentKilled = true
	}
	a.load.disconnectCallers(a)
}

// drainAndStop stops the agent as planned: it drains the agent until it can
// stop or drainTimeout has passed, sends a full backup to the peers and calls
// done.
func (a *agent) drainAndStop(done func()) {
	sim := a.sim
	a.flows.Drain()
	a.step(pollenrequest.Stop{})
	a.member.State = pollendocument.ServerDraining
	sim.join(a.process)
	a.load.disconnectCallers(a)
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

// canStop reports whether the agent can stop without harm: its draining state
// is in its view, it serves no requests and, if other agents take new work, it
// is no longer a ledger replica.
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
		if r == memberRef(a.member) {
			return false
		}
	}
	return true
}

// sendFullBackup sends all flow records to the backup peers.
func (a *agent) sendFullBackup() {
	backup := a.flows.FullBackup()
	for _, to := range a.flows.BackupPeers() {
		if p := a.sim.byAddress[to]; p.up {
			p.agent.backups.Put(a.sim.now, backup)
		}
	}
}
