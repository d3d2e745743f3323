package pollenreplay

import (
	"fmt"
	"time"

	"pollenstep.example/pollenstep/pollenflow"
)

// fallTime is how long a backend server that fell over refuses everything.
const fallTime = 2 * time.Second

// backend models a backend server.
type backend struct {
	agent   *agent
	running int
	// busy sums the time that requests ran, for the imbalance.
	busy time.Duration
	// eligible sums the time during which the backend server might take work.
	eligible  time.Duration
	coldUntil time.Time
	// started is when the present cold start began; work that was running then
	// does not count against it.
	started int
	fallen  time.Time
	// stamp tells one start from another.
	stamp int
	// flows holds the flows that the backend server knows.
	flows map[pollenflow.Key]*flow
}

func newBackend(a *agent) *backend {
	b := &backend{agent: a, flows: map[pollenflow.Key]*flow{}}
	b.coldUntil = a.world.now.Add(a.load.service.ColdTime)
	return b
}

// backendRestarted restarts the agent's backend server. What ran there fails,
// and the agent's idle connection to it breaks.
func (a *agent) backendRestarted() {
	a.backend.goCold()
	if a.up {
		a.limiter.ObserveStart(a.world.now, a.backend.stampText())
	}
}

// stampText returns the start stamp as the backend server announces it.
func (b *backend) stampText() string { return fmt.Sprintf("start %d", b.stamp) }

// goCold begins a cold start. What runs ends when it would have, and fails.
func (b *backend) goCold() {
	b.coldUntil = b.agent.world.now.Add(b.agent.load.service.ColdTime)
	b.started = b.running
	b.stamp++
}

// begin takes a unit of work; ok is false when the backend server refuses it.
func (b *backend) begin() (ok bool) {
	w := b.agent.world
	document := &b.agent.load.service.Document
	if w.now.Before(b.fallen) {
		return false
	}
	fresh := b.running - b.started
	if w.now.Before(b.coldUntil) && fresh >= document.ColdLimit {
		w.measures.coldOverrun++
		w.measures.note("%s is cold and got %d at once", b.agent.name, fresh+1)
		b.fallen = w.now.Add(fallTime)
		return false
	}
	if b.running >= document.Slots {
		w.measures.overrun++
		w.measures.note("%s got %d at once", b.agent.name, b.running+1)
		return false
	}
	b.running++
	return true
}

func (b *backend) end() {
	b.running--
	if b.started > 0 {
		b.started--
	}
}

// workTime draws how long a unit of work takes; a cold backend server is
// slower.
func (b *backend) workTime() time.Duration {
	w := b.agent.world
	work := b.agent.load.service.Work
	d := work/2 + time.Duration(w.random.Int64N(int64(work)))
	if w.now.Before(b.coldUntil) {
		d *= 2
	}
	return d
}
