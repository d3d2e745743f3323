package pollengate

import (
	"time"

	"pollenstep.example/pollenstep/pollenpacket"
)

// A stage says what a flow waits for.
type stage string

const (
	// stageOpening lasts from the opening packet to the first request.
	stageOpening stage = "opening"
	// stageRunning lasts from a request to the start of its answer.
	stageRunning stage = "running"
	stageIdle    stage = "idle"
)

type flow struct {
	stage stage
	// since is when the stage began.
	since time.Time
	// used is when the last packet came.
	used time.Time
	// highest is the end of the stream that the caller has sent.
	highest uint32
	// opened is set if the flow's opening packet was seen here, and answered once
	// the backend server has answered that. From then on its stream runs from
	// serverFirst to serverNext.
	opened, answered        bool
	serverFirst, serverNext uint32
	// callerDone and serverDone are set once that end has closed its stream.
	callerDone, serverDone bool
}

// acknowledgedBy reports whether a caller's packet can belong to the flow that
// the backend server opened: it acknowledges something of that one's stream.
func (f *flow) acknowledgedBy(p *pollenpacket.Packet) bool {
	if !f.opened || p.RST {
		return true
	}
	return f.answered && int32(p.Acknowledged-f.serverFirst) > 0 && int32(f.serverNext-p.Acknowledged) >= 0
}

// follow notes a caller's packet of a flow that is held here.
func (g *Gate) follow(now time.Time, f *flow, p *pollenpacket.Packet) {
	f.used = now
	end := p.Sequence + uint32(p.Size)
	if p.Size > 0 && int32(end-f.highest) > 0 {
		f.highest = end
		if f.stage != stageRunning {
			g.starts.add(now)
		}
		g.setStage(now, f, stageRunning)
	}
	if p.Size > 0 || p.FIN {
		g.silence.sent(now)
	}
	f.callerDone = f.callerDone || p.FIN
	if p.RST || (f.callerDone && f.serverDone) {
		g.forget(now, p.Flow)
	}
}

func (g *Gate) setStage(now time.Time, f *flow, s stage) {
	before, after := f.stage != stageIdle, s != stageIdle
	if !before && after {
		g.running++
	}
	if before && !after {
		g.running--
	}
	if before != after {
		g.load.set(now, g.running)
	}
	if f.stage != s {
		f.stage, f.since = s, now
	}
}

func (g *Gate) forget(now time.Time, f pollenpacket.Flow) {
	if known := g.flows[f]; known != nil {
		g.setStage(now, known, stageIdle)
		delete(g.flows, f)
	}
}

// followServer notes how far the backend server's stream goes.
func (f *flow) followServer(p *pollenpacket.Packet) {
	next := p.Sequence + uint32(p.Size)
	if p.SYN || p.FIN {
		next++
	}
	switch {
	case p.SYN && p.ACK && !f.answered:
		f.answered, f.serverFirst, f.serverNext = true, p.Sequence, next
	case f.answered && int32(next-f.serverNext) > 0:
		f.serverNext = next
	}
}

// Times after which a flow is given up in the gate's own books; the backend
// server's are not touched by it.
const (
	// openingTimeout is past the caller's own, which ends at 1.4 s.
	openingTimeout = 1500 * time.Millisecond
	// runningTimeout bounds a request whose answer was never seen.
	runningTimeout = 10 * time.Second
	// idleTimeout is past any idle time that documents set.
	idleTimeout   = 65 * time.Second
	sweepInterval = time.Second
	// askTimeout bounds the wait for what the server says of a flow.
	askTimeout = time.Second
)

// Sweep gives up flows that came to nothing.
func (g *Gate) Sweep(now time.Time) {
	if now.Sub(g.swept) < sweepInterval {
		return
	}
	g.swept = now
	for key, q := range g.asked {
		if now.Sub(q.at) >= askTimeout {
			delete(g.asked, key)
		}
	}
	for key, f := range g.flows {
		age := now.Sub(f.used)
		switch {
		case f.stage == stageOpening && now.Sub(f.since) >= openingTimeout,
			f.stage == stageRunning && now.Sub(f.since) >= runningTimeout:
			g.setStage(now, f, stageIdle)
		case age >= idleTimeout:
			delete(g.flows, key)
		}
	}
}
