package pollenreplay

import (
	"fmt"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollentrace"
	"pollenstep.example/pollenstep/pollenview"
)

// downTime is how long a planned restart leaves a process down.
const downTime = 500 * time.Millisecond

// happen carries out an event of the trace.
func (w *world) happen(e pollentrace.Event) {
	switch e.Kind {
	case pollentrace.EventPlanned:
		w.planned(e)
	case pollentrace.EventRate:
		w.rate = e.Count
	case pollentrace.EventOut:
		w.setDomain(pollendocument.DomainName(e.Target), pollendocument.DomainOut)
	case pollentrace.EventIn:
		w.setDomain(pollendocument.DomainName(e.Target), pollendocument.DomainIn)
	default:
		if p := w.find(e.Target); p != nil {
			w.happenTo(p, e.Kind)
		} else {
			w.measures.note("event %s: no process %q", e.Kind, e.Target)
		}
	}
}

func (w *world) find(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (w *world) happenTo(p *process, kind pollentrace.EventKind) {
	switch kind {
	case pollentrace.EventDrain:
		w.setServer(p, func(s *pollendocument.Server) { s.State = pollendocument.ServerDraining })
		p.drainedAt = w.now
	case pollentrace.EventUndrain:
		p.drainedAt = time.Time{}
		w.setServer(p, func(s *pollendocument.Server) { s.State = pollendocument.ServerActive })
	case pollentrace.EventWeight:
		const least, spread = 50, 101
		weight := least + w.drawn.IntN(spread)
		w.setServer(p, func(s *pollendocument.Server) { s.Weight = weight })
	case pollentrace.EventRestart:
		w.restart(p)
	case pollentrace.EventKill:
		w.kill(p)
	case pollentrace.EventStart:
		w.startAgain(p)
	case pollentrace.EventCold:
		p.agent.backendRestarted()
	case pollentrace.EventCut:
		p.cut = true
	case pollentrace.EventHeal:
		p.cut = false
		w.pushView(p)
	}
}

// planned draws planned changes, one every interval. A target that is still
// busy with an earlier change is passed over.
func (w *world) planned(e pollentrace.Event) {
	kinds := []pollentrace.EventKind{
		pollentrace.EventWeight, pollentrace.EventRestart, pollentrace.EventDrain, pollentrace.EventUndrain,
	}
	for i := range e.Count {
		w.after(time.Duration(i)*e.Interval, func() {
			for {
				p := w.processes[w.drawn.IntN(len(w.processes))]
				kind := kinds[w.drawn.IntN(len(kinds))]
				if w.mayHappen(p, kind) {
					w.happenTo(p, kind)
					return
				}
			}
		})
	}
}

// mayHappen keeps planned changes to what a careful operator does: nothing to
// a process that is down, and half of a service's backend servers stay.
func (w *world) mayHappen(p *process, kind pollentrace.EventKind) bool {
	if !p.up || w.truth.Members[p.member.Name].State == pollendocument.ServerDraining {
		return false
	}
	if p.agent == nil {
		return kind == pollentrace.EventRestart && w.balancersUp() > 1
	}
	drained := w.truth.ServerSetting(p.member.Name).State == pollendocument.ServerDraining
	switch kind {
	case pollentrace.EventUndrain:
		return drained
	case pollentrace.EventDrain:
		taking := 0
		for _, m := range w.truth.Agents(p.member.Service) {
			if w.truth.TakesNewWork(m) {
				taking++
			}
		}
		return !drained && taking > p.agent.load.service.Targets/2+1
	default:
		return true
	}
}

func (w *world) balancersUp() int {
	n := 0
	for _, b := range w.balancers {
		if b.up {
			n++
		}
	}
	return n
}

// setServer submits a document that changes one backend server's setting.
func (w *world) setServer(p *process, change func(s *pollendocument.Server)) {
	const team = pollendocument.Team("servers")
	current := pollendocument.Section{Team: team}
	if s := w.truth.Document.Section(team); s != nil {
		current = s.Clone()
	}
	wanted := current.Clone()
	setting := w.truth.ServerSetting(p.member.Name)
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
	w.submit(pollenview.NewChange(&current, &wanted))
}

func (w *world) setDomain(name pollendocument.DomainName, state pollendocument.DomainState) {
	current := w.truth.Document.Section(pollendocument.DomainsTeam).Clone()
	wanted := current.Clone()
	for i := range wanted.Domains {
		if wanted.Domains[i].Name == name {
			wanted.Domains[i].State = state
		}
	}
	if state == pollendocument.DomainOut {
		w.measures.out[name] = w.now
	} else {
		delete(w.measures.out, name)
	}
	w.measures.outEver[name] = true
	w.submit(pollenview.NewChange(&current, &wanted))
}

func (w *world) submit(change pollenview.SectionChange) {
	w.commit(pollenview.Command{Kind: pollenview.CommandSubmit, Submission: pollenview.Submission{
		ID: fmt.Sprintf("change-%d", len(w.commands)), Submitter: "trace", Changes: []pollenview.SectionChange{change},
	}})
}

// kill ends a process at once; control notices when its lease lapses.
func (w *world) kill(p *process) {
	if !p.up {
		return
	}
	p.up = false
	gone := p.member
	if p.agent != nil {
		p.agent.killed()
	}
	w.after(lapseTime, func() {
		if w.truth.Live(reference(gone)) {
			w.commit(pollenview.Command{Kind: pollenview.CommandMembers, Leaves: []pollenview.ReplicaRef{reference(gone)}})
		}
	})
}

// startAgain starts a process that is down.
func (w *world) startAgain(p *process) {
	if p.up {
		return
	}
	w.boot(p)
	if p.agent != nil {
		p.agent.boot()
		return
	}
	p.balancer.boot()
	w.join(p)
}

// restart stops a process as planned and starts it again.
func (w *world) restart(p *process) {
	if p.agent != nil {
		p.agent.drainAndStop(func() {
			w.after(downTime, func() { w.startAgain(p) })
		})
		return
	}
	// The fabric no longer sends to the balancer while it relays on.
	p.balancer.leaving = true
	w.leave(p)
	w.after(downTime, func() {
		p.up = false
		w.after(downTime, func() { w.startAgain(p) })
	})
}
