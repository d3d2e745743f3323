package pollenreplay

import (
	"fmt"
	"time"

	"pollenstep.example/pollenstep/pollenflow"
)

// crashDowntime is how long a backend server refuses all work after its cold
// limit was exceeded.
const crashDowntime = 2 * time.Second

// backend models a backend server.
type backend struct {
	agent *agent
	// running is the number of units of work that run now.
	running int
	// busyTime is the total run time of all requests, from which the run
	// imbalance is computed.
	busyTime time.Duration
	// eligibleTime is the total time during which the backend server could take
	// new work.
	eligibleTime time.Duration
	coldUntil    time.Time
	// runningAtStart is the number of units of work that have been running since
	// before the current cold start; they do not count against the cold limit.
	runningAtStart int
	// downUntil is when the backend server accepts work again after a crash.
	downUntil time.Time
	// startCount is the number of starts. It identifies the current one.
	startCount int
	// flows holds the flows that are open on the backend server.
	flows map[pollenflow.Key]*flow
}

func newBackend(a *agent) *backend {
	b := &backend{agent: a, flows: map[pollenflow.Key]*flow{}}
	b.coldUntil = a.sim.now.Add(a.load.service.ColdDuration)
	return b
}

// backendRestarted restarts the agent's backend server. Running requests fail,
// and the agent detects the new start because its idle connection breaks.
func (a *agent) backendRestarted() {
	a.backend.startCold()
	if a.up {
		a.limiter.ObserveStart(a.sim.now, a.backend.startStamp())
	}
}

// startStamp returns the start stamp that the backend server announces. It
// differs for each start.
func (b *backend) startStamp() string { return fmt.Sprintf("start %d", b.startCount) }

// startCold begins a cold start. Running requests end at their normal time, but
// fail.
func (b *backend) startCold() {
	b.coldUntil = b.agent.sim.now.Add(b.agent.load.service.ColdDuration)
	b.runningAtStart = b.running
	b.startCount++
}

// startWork starts a unit of work. ok is false if the backend server refuses
// it: after a crash, or because the cold limit or the number of slots would be
// exceeded.
func (b *backend) startWork() (ok bool) {
	sim := b.agent.sim
	document := &b.agent.load.service.Settings
	if sim.now.Before(b.downUntil) {
		return false
	}
	newWork := b.running - b.runningAtStart
	if sim.now.Before(b.coldUntil) && newWork >= document.ColdLimit {
		sim.measures.coldOverrun++
		sim.measures.addNote("%s: cold backend server received %d units of work at once", b.agent.name, newWork+1)
		b.downUntil = sim.now.Add(crashDowntime)
		return false
	}
	if b.running >= document.Slots {
		sim.measures.overrun++
		sim.measures.addNote("%s: backend server received %d units of work at once", b.agent.name, b.running+1)
		return false
	}
	b.running++
	return true
}

// endWork ends a unit of work. Units from before a cold start are assumed to
// end first.
func (b *backend) endWork() {
	b.running--
	if b.runningAtStart > 0 {
		b.runningAtStart--
	}
}

// drawWorkTime returns a random run time for a unit of work: from half to one
// and a half of the service's WorkTime, and twice that on a cold backend
// server.
func (b *backend) drawWorkTime() time.Duration {
	sim := b.agent.sim
	work := b.agent.load.service.WorkTime
	d := work/2 + time.Duration(sim.random.Int64N(int64(work)))
	if sim.now.Before(b.coldUntil) {
		d *= 2
	}
	return d
}
