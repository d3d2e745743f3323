package pollenreplay

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollentrace"
)

// serviceLoad generates the load on one service.
type serviceLoad struct {
	sim      *simulation
	service  *pollentrace.Service
	agents   []*agent
	flows    []*flow
	callers  []*caller
	nextPort uint16
	sent     uint64
	// executions counts the runs of each request, by body.
	executions map[string]int
}

// Parameters of the callers' behavior.
const (
	// answerTimeout is how long a flow may be without an answer before it
	// counts as broken. The usual idle timeout of QUIC is three times as long.
	answerTimeout = 10 * time.Second
	// openResendInterval is the interval between two opening packets. openTimeout is how
	// long a caller tries to open a flow from one address.
	openResendInterval = 300 * time.Millisecond
	openTimeout        = 3 * time.Second
	// openPeriod is the time over which the opening of the first flows is spread.
	openPeriod = 5 * time.Second
)

// start starts the load: the first flows are opened at random times, requests
// at once.
func (l *serviceLoad) start() {
	sim := l.sim
	l.executions = map[string]int{}
	for range l.service.FlowCount {
		sim.after(time.Duration(sim.random.Int64N(int64(openPeriod))), l.openFlow)
	}
	if l.service.RequestRate > 0 {
		l.startRequests()
	}
}

func (l *serviceLoad) newKey() pollenflow.Key {
	l.nextPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(l.nextPort >> 8), byte(l.nextPort)}), 1024+l.nextPort)
}

// flow is a caller's flow to a service with relay delivery.
type flow struct {
	load *serviceLoad
	key  pollenflow.Key
	// holder is the agent whose backend server answered first; nil before that.
	holder    *agent
	startTime time.Time
	// openedAt is when the first answer was received, lastAnswer when the last
	// one was.
	openedAt   time.Time
	lastAnswer time.Time
	closed     bool
}

func (l *serviceLoad) openFlow() {
	f := &flow{load: l, key: l.newKey(), startTime: l.sim.now}
	l.flows = append(l.flows, f)
	l.sim.measures.flows++
	f.send()
}

// send sends a packet and schedules the next one. It stops when the flow is
// closed.
func (f *flow) send() {
	sim := f.load.sim
	if f.closed {
		return
	}
	if f.closeIfBroken() {
		return
	}
	pause := f.load.service.PacketInterval
	if f.holder == nil {
		pause = openResendInterval
	}
	f.sendPacket()
	sim.after(pause, f.send)
}

// closeIfBroken closes a flow that is no longer answered or that could not be
// opened, schedules the opening of another flow and returns true. A flow that
// could not be opened is not counted.
func (f *flow) closeIfBroken() bool {
	sim := f.load.sim
	switch {
	case f.holder == nil:
		if sim.now.Sub(f.startTime) < openTimeout {
			return false
		}
		f.close()
		sim.measures.flows--
	case sim.now.Sub(f.lastAnswer) < answerTimeout:
		return false
	default:
		f.close()
		f.countBroken()
	}
	sim.after(openResendInterval, f.load.openFlow)
	return true
}

// countBroken counts a broken flow by cause: the evacuation of its holder's
// failure domain, a kill of its holder, or planned changes only.
func (f *flow) countBroken() {
	m := &f.load.sim.measures
	switch {
	case m.everEvacuated[f.holder.domain]:
		m.brokenEvacuated++
	case f.lostBeforeBackup() || f.holder.lastKill.After(f.lastAnswer.Add(-f.load.service.PacketInterval)):
		m.brokenUnplanned++
	default:
		m.brokenPlanned++
		m.addNote("%s: flow %s with holder %s has had no answer since %s", f.load.sim.now.Sub(f.load.sim.start),
			f.key, f.holder.name, f.lastAnswer.Sub(f.load.sim.start))
	}
}

// backupInterval is the interval at which an agent sends its changed flow
// records to its backup peers.
const backupInterval = time.Second

// lostBeforeBackup reports whether the flow's holder was killed before the
// flow's record was certain to have reached a backup peer.
func (f *flow) lostBeforeBackup() bool {
	killed := f.holder.lastKill
	return killed.After(f.startTime) && killed.Sub(f.openedAt) <= backupInterval+f.load.sim.trace.Latency
}

func (f *flow) close() {
	f.closed = true
	for _, a := range f.load.agents {
		if a.backend.flows[f.key] == f {
			delete(a.backend.flows, f.key)
		}
	}
}

// sendPacket sends a packet through a random balancer. It opens the flow if the
// flow has no holder yet.
func (f *flow) sendPacket() {
	sim := f.load.sim
	b := sim.pickBalancer()
	if b == nil {
		return
	}
	opens := f.holder == nil
	sim.deliver(func() {
		if !b.up {
			return
		}
		target, ok := b.decide(f.load.service.Settings.Name, f.key)
		if !ok {
			return
		}
		p := packet{flow: f, Packet: pollenagent.Packet{
			Key: f.key, Service: pollenflow.DigestOf(f.load.service.Settings.Name), Target: target.Digest,
			From: b.address, Balancer: b.address, Revision: b.replica.Revision(), MayOpenFlow: opens,
		}}
		sim.deliver(func() {
			to := sim.byAddress[target.Address]
			sim.checkEvacuated(to)
			to.agent.handlePacket(p)
		})
	})
}

// pickBalancer returns a random balancer among those that receive callers'
// packets, or nil if there is none.
func (sim *simulation) pickBalancer() *balancer {
	start := sim.random.IntN(len(sim.balancers))
	for i := range sim.balancers {
		if b := sim.balancers[(start+i)%len(sim.balancers)]; b.receivesTraffic() {
			return b
		}
	}
	return nil
}

// handshakeTime is how long a backend server needs to open a flow.
const handshakeTime = 5 * time.Millisecond

// handleDelivery handles a packet that the agent delivers to its backend
// server. A packet that opens the flow takes a unit of work there; the answer
// follows after handshakeTime.
func (f *flow) handleDelivery(a *agent, opens bool) {
	sim := f.load.sim
	if a.load != f.load {
		sim.measures.misrouted++
		sim.measures.addNote("packet for service %s reached agent %s of another service", f.load.service.Settings.Name, a.name)
		return
	}
	sim.checkEvacuated(a.process)
	if f.closed {
		return
	}
	if a.backend.flows[f.key] == f {
		f.answerFrom(a)
		return
	}
	if !opens || f.holder != nil {
		return
	}
	if !a.backend.startWork() {
		return
	}
	a.backend.flows[f.key] = f
	sim.after(handshakeTime, func() {
		a.backend.endWork()
		f.answerFrom(a)
	})
}

// answerFrom sends an answer of the agent's backend server to the caller
// through the balancer that the agent selects.
func (f *flow) answerFrom(a *agent) {
	sim := f.load.sim
	if !a.up {
		return
	}
	through, ok := a.flows.RouteAnswer(sim.now, f.key)
	if !ok {
		return
	}
	sim.deliver(func() {
		if !sim.byAddress[through].up {
			return
		}
		sim.deliver(func() { f.receive(a) })
	})
}

// receive handles an answer at the caller. Answers of an agent that is not the
// holder are ignored.
func (f *flow) receive(a *agent) {
	if f.closed {
		return
	}
	if f.holder == nil {
		f.holder = a
		f.openedAt = f.load.sim.now
	}
	if f.holder == a {
		f.lastAnswer = f.load.sim.now
	}
}

// countBrokenAtEnd counts the flows that are open at the end of the replay
// although they have had no answer for answerTimeout.
func (l *serviceLoad) countBrokenAtEnd() {
	for _, f := range l.flows {
		if !f.closed && f.holder != nil && l.sim.now.Sub(f.lastAnswer) >= answerTimeout {
			f.countBroken()
		}
	}
}

// handleEvacuation closes the callers' connections to an agent whose failure
// domain is evacuated.
func (l *serviceLoad) handleEvacuation(a *agent) { l.disconnectCallers(a) }
