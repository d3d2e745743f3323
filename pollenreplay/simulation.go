// Package pollenreplay replays a trace with the state machines of balancers and
// agents in virtual time and measures what callers and backend servers would
// observe. Consensus is not simulated: committed commands reach each process
// after a random delay.
package pollenreplay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollentrace"
	"pollenstep.example/pollenstep/pollenview"
)

// A Variant is a policy for finding the holder of a flow.
type Variant string

// The variants: the system itself and the baselines with which it is compared.
const (
	VariantSystem Variant = "pollenstep"
	// VariantHash sends a flow to the agent at the hash of its key modulo the
	// number of agents that take new work.
	VariantHash Variant = "hash"
	// VariantTable uses rendezvous hashing with a flow table at each balancer.
	VariantTable Variant = "table"
	// VariantOneGeneration stores only the latest of the past directory owners,
	// and agents do not register their flows with new owners.
	VariantOneGeneration Variant = "one-generation"
)

// Variants returns all variants. The system is the first.
func Variants() []Variant {
	return []Variant{VariantSystem, VariantHash, VariantTable, VariantOneGeneration}
}

// A Result holds the measured values of a replay.
type Result struct {
	Trace   string
	Variant Variant
	// Figures holds the value of each measure.
	Figures map[pollentrace.Measure]float64
	// Refusals counts the packets and requests that agents refused, by reason.
	Refusals map[pollenkernel.Refusal]int
	// FailedExpectations lists the expectations that do not hold, with the
	// measured value.
	FailedExpectations []string
	// Notes describes the first occurrences of faults that must never happen, for
	// troubleshooting; at most 20.
	Notes []string
}

// maxNotes is the maximum number of notes in a result.
const maxNotes = 20

// Run replays the trace with the variant. The same trace, with the same seed,
// always gives the same result.
func Run(t *pollentrace.Trace, variant Variant) *Result {
	sim := newSimulation(t, variant)
	sim.run()
	return sim.result()
}

// simulation is the state of the simulated system in virtual time.
type simulation struct {
	trace   *pollentrace.Trace
	variant Variant
	random  *rand.Rand
	// plannedRandom draws the planned changes. It is separate from random, so
	// that other draws, which differ between variants, do not affect them.
	plannedRandom *rand.Rand
	start         time.Time
	now           time.Time
	end           time.Time

	tasks    taskQueue
	sequence uint64

	// commands holds the committed commands; the first one produced revision 1.
	// committedView is the view after all of them.
	commands      []pollenview.Command
	committedView *pollenview.View
	processes     []*process
	balancers     []*balancer
	agents        []*agent
	byAddress     map[netip.AddrPort]*process
	services      []*serviceLoad
	measures      measures
	loadPercent   int
}

// process is the common part of balancers and agents.
type process struct {
	name    string
	domain  pollendocument.DomainName
	address netip.AddrPort
	up      bool
	// partitioned is set while no views reach the process because of EventPartition.
	partitioned bool
	replica     *pollenview.Replica
	// fetching is set while the process fetches a newer view.
	fetching bool
	member   pollenview.Member
	// balancer is nil for an agent, and agent is nil for a balancer.
	balancer *balancer
	agent    *agent
	// drainStart is when EventDrain drained the backend server; zero if it is
	// not drained.
	drainStart time.Time
}

// task is a function that is to run at a virtual time. Tasks that are due at
// the same time run in the order of their sequence numbers.
type task struct {
	due      time.Time
	sequence uint64
	run      func()
}

type taskQueue []task

// Len implements heap.Interface.
func (s taskQueue) Len() int { return len(s) }

// Less implements heap.Interface.
func (s taskQueue) Less(i, j int) bool {
	if !s[i].due.Equal(s[j].due) {
		return s[i].due.Before(s[j].due)
	}
	return s[i].sequence < s[j].sequence
}

// Swap implements heap.Interface.
func (s taskQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *taskQueue) Push(x any) { *s = append(*s, x.(task)) }

// Pop implements heap.Interface.
func (s *taskQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// after calls run after the duration d.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.tasks, task{due: sim.now.Add(d), sequence: sim.sequence, run: run})
}

// runEvery calls run at the interval until the end of the replay, first after one
// interval.
func (sim *simulation) runEvery(interval time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		sim.after(interval, next)
	}
	sim.after(interval, next)
}

// deliver calls run, the receipt of a datagram, after the latency. With the
// trace's loss probability the datagram is lost and run is not called.
func (sim *simulation) deliver(run func()) {
	if sim.trace.LossPercent > 0 && sim.random.IntN(100) < sim.trace.LossPercent {
		return
	}
	sim.after(sim.trace.Latency, run)
}

const (
	processPort = 7000
	// leaseTimeout is how long a killed process remains a member.
	leaseTimeout   = 2 * time.Second
	ledgerInterval = 200 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	// startupTime is how long the system runs before the load starts.
	startupTime = 6 * time.Second
)

func newSimulation(t *pollentrace.Trace, variant Variant) *simulation {
	start := time.Unix(1_000_000_000, 0).UTC()
	sim := &simulation{
		trace: t, variant: variant, random: rand.New(rand.NewPCG(t.Seed, 1)),
		plannedRandom: rand.New(rand.NewPCG(t.Seed, 2)), start: start, now: start,
		committedView: pollenview.NewView(), byAddress: map[netip.AddrPort]*process{}, loadPercent: 100,
	}
	sim.measures = newMeasures()
	sim.end = start.Add(startupTime + t.Duration)
	sim.commit(sim.initialDocument())
	for i := range t.BalancerCount {
		sim.addBalancer(i)
	}
	for i := range t.Services {
		l := &serviceLoad{sim: sim, service: &t.Services[i]}
		sim.services = append(sim.services, l)
		for j := range t.Services[i].ServerCount {
			sim.addAgent(l, j)
		}
	}
	return sim
}

func (sim *simulation) initialDocument() pollenview.Command {
	c := pollenview.Command{Kind: pollenview.CommandSubmit, Submission: pollenview.Submission{ID: "first"}}
	domains := pollendocument.Section{Team: pollendocument.DomainsTeam}
	for _, name := range sim.trace.Domains {
		domains.Domains = append(domains.Domains, pollendocument.Domain{Name: name, State: pollendocument.DomainIn})
	}
	domains.Sort()
	team := pollendocument.Section{Team: "team"}
	for _, s := range sim.trace.Services {
		team.Services = append(team.Services, s.Settings)
	}
	team.Sort()
	for _, s := range []*pollendocument.Section{&domains, &team} {
		c.Submission.Changes = append(c.Submission.Changes, pollenview.NewChange(&pollendocument.Section{}, s))
	}
	return c
}

// commit applies a command to the committed view and sends the view to all
// processes.
func (sim *simulation) commit(c pollenview.Command) {
	sim.commands = append(sim.commands, c)
	outcome, submitted := sim.committedView.Apply(pollenview.Revision(len(sim.commands)), &c)
	if submitted && outcome.State != pollenview.OutcomeAccepted {
		sim.measures.addNote("submission %s was not accepted: %+v", c.Submission.ID, outcome)
	}
	for _, p := range sim.processes {
		if p.up {
			sim.sendView(p)
		}
	}
}

// sendView lets the committed view reach a process after the latency and a
// random delay of less than the trace's skew.
func (sim *simulation) sendView(p *process) {
	delay := sim.trace.Latency
	if sim.trace.Skew > 0 {
		delay += time.Duration(sim.random.Int64N(int64(sim.trace.Skew)))
	}
	revision := len(sim.commands)
	incarnation := p.member.Incarnation
	sim.after(delay, func() {
		if p.up && !p.partitioned && p.member.Incarnation == incarnation {
			sim.catchUp(p, pollenview.Revision(revision))
		}
	})
}

// catchUp updates the view of a process to the revision.
func (sim *simulation) catchUp(p *process, revision pollenview.Revision) {
	have := p.replica.Revision()
	if revision <= have {
		return
	}
	p.replica.ApplyUpdate(pollenview.Update{FirstRevision: have + 1, Commands: sim.commands[have:revision]})
	if p.balancer != nil {
		p.balancer.changeView()
	}
	if p.agent != nil {
		p.agent.changeView()
	}
}

// fetchRevision lets a process fetch the revision that a received message
// contains, if it is newer than the process's own.
func (sim *simulation) fetchRevision(p *process, revision pollenview.Revision) {
	if revision <= p.replica.Revision() || p.fetching {
		return
	}
	p.fetching = true
	sim.after(2*sim.trace.Latency, func() {
		p.fetching = false
		if p.up {
			sim.catchUp(p, revision)
		}
	})
}

// join makes the process a member, or updates its state, as its heartbeats would.
func (sim *simulation) join(p *process) {
	sim.commit(pollenview.Command{Kind: pollenview.CommandMembers, Joins: []pollenview.Member{p.member}})
}

// leave removes the current incarnation of the process from the view.
func (sim *simulation) leave(p *process) {
	sim.commit(pollenview.Command{Kind: pollenview.CommandMembers, Leaves: []pollenview.MemberRef{memberRef(p.member)}})
}

func memberRef(m pollenview.Member) pollenview.MemberRef {
	return pollenview.MemberRef{Name: m.Name, Incarnation: m.Incarnation}
}

func (sim *simulation) newProcess(name string, role pollenview.Role, domain int, address netip.AddrPort) *process {
	p := &process{
		name: name, domain: sim.trace.Domains[domain%len(sim.trace.Domains)], address: address,
		member: pollenview.Member{
			Name: pollendocument.ServerName(name), Role: role, Address: address, State: pollendocument.ServerActive,
		},
	}
	p.member.Domain = p.domain
	sim.processes = append(sim.processes, p)
	sim.byAddress[address] = p
	return p
}

// boot starts a new incarnation of the process with an empty view. It fetches the
// committed view, which takes one round trip.
func (sim *simulation) boot(p *process) {
	p.up = true
	p.member.Incarnation = pollenview.Incarnation(sim.now.UnixNano())
	p.replica = pollenview.NewReplica(pollenview.NewView())
	incarnation := p.member.Incarnation
	sim.after(2*sim.trace.Latency, func() {
		if p.up && p.member.Incarnation == incarnation {
			sim.catchUp(p, pollenview.Revision(len(sim.commands)))
		}
	})
}

func agentAddress(service, number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(service), byte(number + 1)}), processPort)
}

func (sim *simulation) run() {
	sim.runEvery(ledgerInterval, sim.updateLedgers)
	sim.after(startupTime, func() {
		sim.measures.loadStart = sim.now
		for _, l := range sim.services {
			l.start()
		}
		for _, e := range sim.trace.Events {
			sim.after(e.At, func() { sim.applyEvent(e) })
		}
		sim.runEvery(sampleInterval, sim.sampleFlowImbalance)
	})
	for len(sim.tasks) > 0 && !sim.tasks[0].due.After(sim.end) {
		next := heap.Pop(&sim.tasks).(task)
		sim.now = next.due
		next.run()
	}
}

// updateLedgers changes the ledger groups as the leader of the control hosts
// does. A group changes only after all its live replicas have synchronized.
func (sim *simulation) updateLedgers() {
	c := pollenview.Command{Kind: pollenview.CommandLedgers}
	for _, l := range sim.services {
		name := l.service.Settings.Name
		group := sim.committedView.Ledgers[name]
		if !sim.ledgerSynced(group) {
			continue
		}
		var available []pollenview.Member
		for _, m := range sim.committedView.Agents(name) {
			if sim.committedView.TakesNewWork(m) {
				available = append(available, m)
			}
		}
		if len(available) == 0 {
			continue
		}
		next := pollenview.ChooseReplicas(name, group, available)
		if fmt.Sprint(next) != fmt.Sprint(group.Replicas) {
			c.Ledgers = append(c.Ledgers, pollenview.LedgerChange{Service: name, Epoch: group.Epoch + 1, Replicas: next})
		}
	}
	if len(c.Ledgers) > 0 {
		sim.commit(c)
	}
}

// ledgerSynced reports whether all live replicas of the group have synchronized
// with it.
func (sim *simulation) ledgerSynced(group pollenview.LedgerGroup) bool {
	for _, r := range group.Replicas {
		if !sim.committedView.Live(r) {
			continue
		}
		p := sim.byAddress[sim.committedView.Members[r.Name].Address]
		if !p.up || p.member.Incarnation != r.Incarnation || p.agent.ledger.SyncedEpoch() < group.Epoch {
			return false
		}
	}
	return true
}
