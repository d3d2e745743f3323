package pollengate

import (
	"time"

	"pollenstep.example/pollenstep/pollenpacket"
)

// A stage is the state of a flow in its sequence of requests and responses.
type stage string

const (
	// stageOpening lasts from the opening packet to the first request.
	stageOpening stage = "opening"
	// stageReceiving lasts from the first packet of a request of an upload route to the
	// end of the request. Requests of other routes are not received in a stage of their
	// own.
	stageReceiving stage = "receiving"
	// stageRunning lasts from a request to the start of its response.
	stageRunning stage = "running"
	// stageIdle lasts while no request is waiting for its response.
	stageIdle stage = "idle"
)

// A flow is the state that a gate tracks for one flow.
type flow struct {
	stage stage
	// stageStart is when the current stage began. ahead is the number of requests
	// that were waiting for a slot then, this one included.
	stageStart time.Time
	ahead      int
	// lastUsed is when the last packet of the flow arrived, in either direction.
	lastUsed time.Time
	// callerNext is the sequence number after the last byte that the caller sent.
	callerNext uint32
	// callerKnown is set once callerNext is valid. It is not on a flow that this gate did
	// not see open, before its first data.
	callerKnown bool
	// opened is set if this gate saw the opening packet of the flow, and answered
	// once the backend server has answered it. From then on, serverFirst and
	// serverNext are the first and the next sequence number of the server's stream.
	opened, answered        bool
	serverFirst, serverNext uint32
	// callerDone and serverDone are set once the respective end has closed its
	// stream.
	callerDone, serverDone bool
	// confirmed is set once the flow is known to be open at this gate's backend
	// server: the gate has delivered a packet of the caller that acknowledges the
	// server's stream. An opening packet alone may have reached several gates.
	confirmed bool
	// restored is set while the flow is known only from a checkpoint. Its position is
	// that of the checkpoint.
	restored bool
	// receipt is set if the flow belongs to an upload route.
	receipt *receipt
}

// matches reports whether a caller's packet can belong to the flow that the
// backend server opened, which requires that it acknowledges a position within
// the server's stream. Resets always match, and so do all packets if this gate
// did not see the opening packet of the flow.
func (f *flow) matches(p *pollenpacket.Packet) bool {
	if !f.opened || p.RST {
		return true
	}
	return f.answered && int32(p.Acknowledged-f.serverFirst) > 0 && int32(f.serverNext-p.Acknowledged) >= 0
}

// trackCaller updates a flow from a caller's packet and removes it if the packet
// ends it.
func (g *Gate) trackCaller(now time.Time, f *flow, p *pollenpacket.Packet) {
	f.lastUsed = now
	end := p.Sequence + uint32(p.Size)
	switch {
	case p.Size > 0 && f.receipt != nil:
		g.receive(now, f, p)
	case p.Size > 0 && (!f.callerKnown || int32(end-f.callerNext) > 0):
		f.callerNext, f.callerKnown = end, true
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
		g.remove(now, p.Flow)
	}
}

// setStage moves a flow to a stage and updates the numbers of running and of received
// requests.
func (g *Gate) setStage(now time.Time, f *flow, s stage) {
	if f.receipt != nil {
		g.countReceived(f, s)
	}
	before, after := f.takesSlot(f.stage), f.takesSlot(s)
	if !before && after {
		g.running++
	}
	if before && !after {
		g.running--
	}
	if before != after {
		g.meanRunning.set(now, g.running)
	}
	if f.stage != s {
		f.stage, f.stageStart = s, now
		f.ahead = max(0, g.running-g.slots())
	}
}

// serviceTime estimates how long the request of the flow ran, without the time for
// which it waited for a slot behind others. With the wait, the mean would grow with
// the queue, and the gate would decline requests that it could serve in time.
func (g *Gate) serviceTime(now time.Time, f *flow) time.Duration {
	slots := time.Duration(g.slots())
	return now.Sub(f.stageStart) * slots / (slots + time.Duration(f.ahead))
}

// remove stops tracking a flow. The flow need not be tracked.
func (g *Gate) remove(now time.Time, f pollenpacket.Flow) {
	if tracked := g.flows[f]; tracked != nil {
		g.setStage(now, tracked, stageIdle)
		delete(g.flows, f)
	}
}

// trackServer records how far the backend server's stream extends.
func (f *flow) trackServer(p *pollenpacket.Packet) {
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

// Times after which the gate gives up the state that it tracks for a flow. They
// do not affect the flow at the backend server.
const (
	// openingTimeout is longer than the caller's own timeout of 1.4 s.
	openingTimeout = 1500 * time.Millisecond
	// runningTimeout bounds the time for which a request counts as running when
	// its response does not arrive, or as being received when its end does not.
	runningTimeout = 10 * time.Second
	// flowIdleTimeout is longer than any idle timeout that documents may set.
	flowIdleTimeout = 65 * time.Second
	sweepInterval   = time.Second
	// probeTimeout bounds the wait for the backend server's answer to a probe.
	probeTimeout = time.Second
)

// Sweep removes idle flows and unanswered probes, and ends stages that exceed
// their timeout, at most once a second. It must be called at every tick, by which it
// notices pauses of the process.
func (g *Gate) Sweep(now time.Time) {
	if g.paused(now) {
		g.wokeAt = now
	}
	g.tickedAt = now
	g.level.Observe(now, g.expectedWait())
	if now.Sub(g.lastSweep) < sweepInterval {
		return
	}
	g.lastSweep = now
	for key, q := range g.probes {
		if now.Sub(q.sentAt) >= probeTimeout {
			delete(g.probes, key)
		}
	}
	for key, f := range g.flows {
		age := now.Sub(f.lastUsed)
		switch {
		case f.stage == stageOpening && now.Sub(f.stageStart) >= openingTimeout,
			(f.stage == stageRunning || f.stage == stageReceiving) && now.Sub(f.stageStart) >= runningTimeout:
			g.setStage(now, f, stageIdle)
		case age >= flowIdleTimeout:
			delete(g.flows, key)
		}
	}
}
