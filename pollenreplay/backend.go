package pollenreplay

import (
	"fmt"
	"time"

	"pollenstep.example/pollenstep/pollenflow"
)

// crashDowntime is how long a backend server that fell over refuses everything.
const crashDowntime = 2 * time.Second

// backend models a backend server.
type backend struct {
	agent   *agent
	running int
	// busyTime sums the time that requests ran, for the imbalance.
	busyTime time.Duration
	// eligibleTime sums the time during which the backend server might take work.
	eligibleTime time.Duration
	coldUntil    time.Time
	// runningAtStart is when the present cold start began; work that was running then
	// does not count against it.
	runningAtStart int
	downUntil      time.Time
	// startCount tells one start from another.
	startCount int
	// flows holds the flows that the backend server knows.
	flows map[pollenflow.Key]*flow
}

func newBackend(a *agent) *backend {
	b := &backend{agent: a, flows: map[pollenflow.Key]*flow{}}
	b.coldUntil = a.sim.now.Add(a.load.service.ColdDuration)
	return b
}

// backendRestarted restarts the agent's backend server. What ran there fails,
// and the agent's idle connection to it breaks.
func (a *agent) backendRestarted() {
	a.backend.startCold()
	if a.up {
		a.limiter.ObserveStart(a.sim.now, a.backend.startStamp())
	}
}

// startStamp returns the start stamp as the backend server announces it.
func (b *backend) startStamp() string { return fmt.Sprintf("start %d", b.startCount) }

// startCold begins a cold start. What runs ends when it would have, and fails.
func (b *backend) startCold() {
	b.coldUntil = b.agent.sim.now.Add(b.agent.load.service.ColdDuration)
	b.runningAtStart = b.running
	b.startCount++
}

// startWork takes a unit of work; ok is false when the backend server refuses it.
func (b *backend) startWork() (ok bool) {
	sim := b.agent.sim
	document := &b.agent.load.service.Settings
	if sim.now.Before(b.downUntil) {
		return false
	}
	newWork := b.running - b.runningAtStart
	if sim.now.Before(b.coldUntil) && newWork >= document.ColdLimit {
		sim.measures.coldOverrun++
		sim.measures.note("%s is cold and got %d at once", b.agent.name, newWork+1)
		b.downUntil = sim.now.Add(crashDowntime)
		return false
	}
	if b.running >= document.Slots {
		sim.measures.overrun++
		sim.measures.note("%s got %d at once", b.agent.name, b.running+1)
		return false
	}
	b.running++
	return true
}

func (b *backend) endWork() {
	b.running--
	if b.runningAtStart > 0 {
		b.runningAtStart--
	}
}

// drawWorkTime draws how long a unit of work takes; a cold backend server is
// slower.
func (b *backend) drawWorkTime() time.Duration {
	sim := b.agent.sim
	work := b.agent.load.service.WorkTime
	d := work/2 + time.Duration(sim.random.Int64N(int64(work)))
	if sim.now.Before(b.coldUntil) {
		d *= 2
	}
	return d
}
