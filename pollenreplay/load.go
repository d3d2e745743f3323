package pollenreplay

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollentrace"
)

// serviceLoad is the load on one service.
type serviceLoad struct {
	world    *world
	service  *pollentrace.Service
	agents   []*agent
	flows    []*flow
	clients  []*client
	nextPort uint16
	sent     uint64
	// executions counts the runs of each key.
	executions map[string]int
}

// Parameters of callers.
const (
	// silence is how long a flow may go unanswered before it counts as broken;
	// QUIC's usual idle timeout is three times as long.
	silence = 10 * time.Second
	// openRetry is the time between two opening packets, and openBound how
	// long a caller tries from one address.
	openRetry = 300 * time.Millisecond
	openBound = 3 * time.Second
	// openSpread is the time over which the first flows open.
	openSpread = 5 * time.Second
)

// begin starts the load.
func (l *serviceLoad) begin() {
	w := l.world
	l.executions = map[string]int{}
	for range l.service.Flows {
		w.after(time.Duration(w.random.Int64N(int64(openSpread))), l.openFlow)
	}
	if l.service.Rate > 0 {
		l.beginRequests()
	}
}

func (l *serviceLoad) newKey() pollenflow.Key {
	l.nextPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(l.nextPort >> 8), byte(l.nextPort)}), 1024+l.nextPort)
}

// flow is a caller's flow under relay delivery.
type flow struct {
	load *serviceLoad
	key  pollenflow.Key
	// holder is the agent whose backend server first answered.
	holder *agent
	began  time.Time
	// opened is when the first answer came.
	opened   time.Time
	answered time.Time
	closed   bool
}

func (l *serviceLoad) openFlow() {
	f := &flow{load: l, key: l.newKey(), began: l.world.now}
	l.flows = append(l.flows, f)
	l.world.measures.flows++
	f.send()
}

// send sends a packet and plans the next one.
func (f *flow) send() {
	w := f.load.world
	if f.closed {
		return
	}
	if f.broken() {
		return
	}
	pause := f.load.service.Interval
	if f.holder == nil {
		pause = openRetry
	}
	f.spray()
	w.after(pause, f.send)
}

// broken notices a flow that is no longer answered and opens another one.
func (f *flow) broken() bool {
	w := f.load.world
	switch {
	case f.holder == nil:
		if w.now.Sub(f.began) < openBound {
			return false
		}
		f.close()
		w.measures.flows--
	case w.now.Sub(f.answered) < silence:
		return false
	default:
		f.close()
		f.classify()
	}
	w.after(openRetry, f.load.openFlow)
	return true
}

// classify counts a broken flow by its cause.
func (f *flow) classify() {
	m := &f.load.world.measures
	switch {
	case m.outEver[f.holder.domain]:
		m.brokenOut++
	case f.unkept() || f.holder.wasKilled.After(f.answered.Add(-f.load.service.Interval)):
		m.brokenUnplanned++
	default:
		m.brokenPlanned++
		m.note("%s: flow %s held by %s is silent since %s", f.load.world.now.Sub(f.load.world.start),
			f.key, f.holder.name, f.answered.Sub(f.load.world.start))
	}
}

// keepInterval is the time between two copies of an agent's records to its
// keepers.
const keepInterval = time.Second

// unkept reports whether the flow's holder was killed before the record of the
// flow can have reached a keeper.
func (f *flow) unkept() bool {
	killed := f.holder.wasKilled
	return killed.After(f.began) && killed.Sub(f.opened) <= keepInterval+f.load.world.trace.Latency
}

func (f *flow) close() {
	f.closed = true
	for _, a := range f.load.agents {
		if a.backend.flows[f.key] == f {
			delete(a.backend.flows, f.key)
		}
	}
}

// spray sends a packet through a random balancer.
func (f *flow) spray() {
	w := f.load.world
	b := w.pickBalancer()
	if b == nil {
		return
	}
	opens := f.holder == nil
	w.deliver(func() {
		if !b.up {
			return
		}
		target, ok := b.decide(f.load.service.Document.Name, f.key)
		if !ok {
			return
		}
		p := packet{flow: f, Packet: pollenagent.Packet{
			Key: f.key, Service: pollenflow.DigestOf(f.load.service.Document.Name), Target: target.Digest,
			From: b.address, Balancer: b.address, Revision: b.replica.Revision(), MayOpenFlow: opens,
		}}
		w.deliver(func() {
			to := w.byAddress[target.Address]
			w.checkOut(to)
			to.agent.take(p)
		})
	})
}

func (w *world) pickBalancer() *balancer {
	start := w.random.IntN(len(w.balancers))
	for i := range w.balancers {
		if b := w.balancers[(start+i)%len(w.balancers)]; b.takes() {
			return b
		}
	}
	return nil
}

// handshake is how long a backend server works on a new flow.
const handshake = 5 * time.Millisecond

// reached delivers a packet to the agent's backend server.
func (f *flow) reached(a *agent, opens bool) {
	w := f.load.world
	if a.load != f.load {
		w.measures.misrouted++
		w.measures.note("a packet of %s reached %s", f.load.service.Document.Name, a.name)
		return
	}
	w.checkOut(a.process)
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
	if !a.backend.begin() {
		return
	}
	a.backend.flows[f.key] = f
	w.after(handshake, func() {
		a.backend.end()
		f.answerFrom(a)
	})
}

// answerFrom lets the backend server answer the caller.
func (f *flow) answerFrom(a *agent) {
	w := f.load.world
	if !a.up {
		return
	}
	through, ok := a.flows.RouteAnswer(w.now, f.key)
	if !ok {
		return
	}
	w.deliver(func() {
		if !w.byAddress[through].up {
			return
		}
		w.deliver(func() { f.receive(a) })
	})
}

func (f *flow) receive(a *agent) {
	if f.closed {
		return
	}
	if f.holder == nil {
		f.holder = a
		f.opened = f.load.world.now
	}
	if f.holder == a {
		f.answered = f.load.world.now
	}
}

// finish counts what is still open at the end.
func (l *serviceLoad) finish() {
	for _, f := range l.flows {
		if !f.closed && f.holder != nil && l.world.now.Sub(f.answered) >= silence {
			f.classify()
		}
	}
}

// domainLeft tells the callers of an agent whose domain was taken out.
func (l *serviceLoad) domainLeft(a *agent) { l.edgeLost(a) }
