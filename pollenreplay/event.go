package pollenreplay

import (
	"fmt"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollentrace"
	"pollenstep.example/pollenstep/pollenview"
)

// restartDowntime is how long a process is down during a planned restart.
const restartDowntime = 500 * time.Millisecond

// applyEvent applies an event of the trace to the simulation.
func (sim *simulation) applyEvent(e pollentrace.Event) {
	switch e.Kind {
	case pollentrace.EventPlanned:
		sim.schedulePlanned(e)
	case pollentrace.EventRate:
		sim.loadPercent = e.Count
	case pollentrace.EventDomainOut:
		sim.setDomainState(pollendocument.DomainName(e.Target), pollendocument.DomainOut)
	case pollentrace.EventDomainIn:
		sim.setDomainState(pollendocument.DomainName(e.Target), pollendocument.DomainIn)
	default:
		if p := sim.findProcess(e.Target); p != nil {
			sim.applyToProcess(p, e.Kind)
		} else {
			sim.measures.addNote("event %s: no process %q", e.Kind, e.Target)
		}
	}
}

func (sim *simulation) findProcess(name string) *process {
	for _, p := range sim.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (sim *simulation) applyToProcess(p *process, kind pollentrace.EventKind) {
	switch kind {
	case pollentrace.EventDrain:
		sim.updateServer(p, func(s *pollendocument.Server) { s.State = pollendocument.ServerDraining })
		p.drainStart = sim.now
	case pollentrace.EventUndrain:
		p.drainStart = time.Time{}
		sim.updateServer(p, func(s *pollendocument.Server) { s.State = pollendocument.ServerActive })
	case pollentrace.EventWeight:
		const minWeight, weightRange = 50, 101
		weight := minWeight + sim.plannedRandom.IntN(weightRange)
		sim.updateServer(p, func(s *pollendocument.Server) { s.Weight = weight })
	case pollentrace.EventRestart:
		sim.restart(p)
	case pollentrace.EventKill:
		sim.kill(p)
	case pollentrace.EventStart:
		sim.startProcess(p)
	case pollentrace.EventCold:
		p.agent.backendRestarted()
	case pollentrace.EventPartition:
		p.partitioned = true
	case pollentrace.EventHeal:
		p.partitioned = false
		sim.sendView(p)
	}
}

// schedulePlanned schedules random planned changes, one every interval. A
// target that an earlier change still affects is skipped and another one drawn.
func (sim *simulation) schedulePlanned(e pollentrace.Event) {
	kinds := []pollentrace.EventKind{
		pollentrace.EventWeight, pollentrace.EventRestart, pollentrace.EventDrain, pollentrace.EventUndrain,
	}
	for i := range e.Count {
		sim.after(time.Duration(i)*e.Interval, func() {
			for {
				p := sim.processes[sim.plannedRandom.IntN(len(sim.processes))]
				kind := kinds[sim.plannedRandom.IntN(len(kinds))]
				if sim.allowsPlanned(p, kind) {
					sim.applyToProcess(p, kind)
					return
				}
			}
		})
	}
}

// allowsPlanned reports whether a careful operator would make the planned
// change now: no change to a process that is down or stopping, no restart of
// the last balancer, and no drain after which half or less of a service's
// backend servers take new work.
func (sim *simulation) allowsPlanned(p *process, kind pollentrace.EventKind) bool {
	if !p.up || sim.committedView.Members[p.member.Name].State == pollendocument.ServerDraining {
		return false
	}
	if p.agent == nil {
		return kind == pollentrace.EventRestart && sim.countBalancersUp() > 1
	}
	drained := sim.committedView.ServerSetting(p.member.Name).State == pollendocument.ServerDraining
	switch kind {
	case pollentrace.EventUndrain:
		return drained
	case pollentrace.EventDrain:
		available := 0
		for _, m := range sim.committedView.Agents(p.member.Service) {
			if sim.committedView.TakesNewWork(m) {
				available++
			}
		}
		return !drained && available > p.agent.load.service.ServerCount/2+1
	default:
		return true
	}
}

func (sim *simulation) countBalancersUp() int {
	n := 0
	for _, b := range sim.balancers {
		if b.up {
			n++
		}
	}
	return n
}

// updateServer submits a change of one backend server's settings.
func (sim *simulation) updateServer(p *process, change func(s *pollendocument.Server)) {
	const team = pollendocument.Team("servers")
	current := pollendocument.Section{Team: team}
	if s := sim.committedView.Document.Section(team); s != nil {
		current = s.Clone()
	}
	wanted := current.Clone()
	setting := sim.committedView.ServerSetting(p.member.Name)
	change(&setting)
	found := false
	for i := range wanted.Servers {
		if wanted.Servers[i].Name == setting.Name {
			wanted.Servers[i] = setting
			found = true
		}
	}
	if !found {
		wanted.Servers = append(wanted.Servers, setting)
	}
	wanted.Sort()
	sim.submit(pollenview.NewChange(&current, &wanted))
}

// setDomainState submits the evacuation of a failure domain or its end, and
// records the time of an evacuation.
func (sim *simulation) setDomainState(name pollendocument.DomainName, state pollendocument.DomainState) {
	current := sim.committedView.Document.Section(pollendocument.DomainsTeam).Clone()
	wanted := current.Clone()
	for i := range wanted.Domains {
		if wanted.Domains[i].Name == name {
			wanted.Domains[i].State = state
		}
	}
	if state == pollendocument.DomainOut {
		sim.measures.evacuatedAt[name] = sim.now
	} else {
		delete(sim.measures.evacuatedAt, name)
	}
	sim.measures.everEvacuated[name] = true
	sim.submit(pollenview.NewChange(&current, &wanted))
}

func (sim *simulation) submit(change pollenview.SectionChange) {
	sim.commit(pollenview.Command{Kind: pollenview.CommandSubmit, Submission: pollenview.Submission{
		ID: fmt.Sprintf("change-%d", len(sim.commands)), Submitter: "trace", Changes: []pollenview.SectionChange{change},
	}})
}

// kill stops a process abruptly. It is removed from the view when its lease
// expires.
func (sim *simulation) kill(p *process) {
	if !p.up {
		return
	}
	p.up = false
	killed := p.member
	if p.agent != nil {
		p.agent.handleKill()
	}
	sim.after(leaseTimeout, func() {
		if sim.committedView.Live(memberRef(killed)) {
			sim.commit(pollenview.Command{Kind: pollenview.CommandMembers, Leaves: []pollenview.MemberRef{memberRef(killed)}})
		}
	})
}

// startProcess starts a process that is down, as a new incarnation.
func (sim *simulation) startProcess(p *process) {
	if p.up {
		return
	}
	sim.boot(p)
	if p.agent != nil {
		p.agent.boot()
		return
	}
	p.balancer.boot()
	sim.join(p)
}

// restart stops a process as planned and starts it again after restartDowntime.
func (sim *simulation) restart(p *process) {
	if p.agent != nil {
		p.agent.drainAndStop(func() {
			sim.after(restartDowntime, func() { sim.startProcess(p) })
		})
		return
	}
	// The network stops sending callers' packets to the balancer before the
	// balancer stops relaying, so that answers in transit still pass.
	p.balancer.leaving = true
	sim.leave(p)
	sim.after(restartDowntime, func() {
		p.up = false
		sim.after(restartDowntime, func() { sim.startProcess(p) })
	})
}
