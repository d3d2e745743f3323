package pollenemulator

import (
	"container/heap"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenrecord"
)

// Delays of the emulated network, one way.
const (
	// localDelay is the delay between a gate and its backend server, domainDelay
	// between hosts of one failure domain, and crossDelay between hosts of two.
	localDelay  = 50 * time.Microsecond
	domainDelay = 200 * time.Microsecond
	crossDelay  = time.Millisecond
	// callerDelay is the delay between callers and the system.
	callerDelay = 3 * time.Millisecond
)

// Times of a run.
const (
	// warmUp is the time that the system runs before the callers start.
	warmUp = 5 * time.Second
	// restartDelay is the minimum time between the end of a program and its next
	// start.
	restartDelay = 150 * time.Millisecond
)

// datagramOverhead is the size of the headers of UDP and IP in bytes.
const datagramOverhead = 28

// maxDatagram is the size in bytes above which a message takes several datagrams.
const maxDatagram = 1200

// Ports of the emulated hosts.
const (
	nodePort   = 7000
	callerPort = 7001
)

// epoch is the virtual time at which a run begins.
var epoch = time.Unix(1_700_000_000, 0)

// A world is the state of a run.
type world struct {
	plan   *Plan
	random *rand.Rand
	// now is the virtual time, queue holds the scheduled tasks, and taskCount is the
	// number of tasks that were ever scheduled.
	now       time.Time
	queue     taskQueue
	taskCount uint64

	logger *pollenrecord.Logger
	hosts  []*host
	// nodes holds the hosts by their address as nodes.
	nodes   map[netip.AddrPort]*host
	seeds   []netip.AddrPort
	routers map[pollendocument.DomainName]*router
	servers []*server
	routes  []*route
	// flows holds the callers' flows that are not closed, by their endpoints.
	flows        map[pollenpacket.Flow]*flow
	operator     *operator
	measurements *measurements
	// domainCuts has an entry for each failure domain, with the partitions between it
	// and the others.
	domainCuts map[pollendocument.DomainName]*cuts
}

// task is a function scheduled for a virtual time. Tasks of the same time run in the
// order in which they were scheduled, so that runs are reproducible.
type task struct {
	at    time.Time
	order uint64
	run   func()
}

// taskQueue is a heap of tasks, the earliest first.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) {
	if v, ok := x.(task); ok {
		*q = append(*q, v)
	}
}

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules run for the time d from now.
func (w *world) after(d time.Duration, run func()) {
	w.taskCount++
	heap.Push(&w.queue, task{at: w.now.Add(d), order: w.taskCount, run: run})
}

// runUntil runs the tasks scheduled up to and including end, and advances the virtual
// time to end.
func (w *world) runUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		t, ok := heap.Pop(&w.queue).(task)
		if !ok {
			return
		}
		w.now = t.at
		t.run()
	}
	w.now = end
}

// Run runs the plan and returns its figures. Runs of equal plans return equal figures.
func Run(p *Plan) *Result {
	w := newWorld(p)
	w.runUntil(epoch.Add(warmUp))
	w.startCallers()
	for _, e := range p.Events {
		w.after(e.At, func() { w.runEvent(e) })
	}
	w.runUntil(epoch.Add(warmUp + p.Duration))
	w.operator.readBack()
	w.runUntil(w.now.Add(callTimeout))
	return w.result()
}

// newWorld returns a world with all hosts of the plan started at epoch, in which the
// operator declares the first document after a fifth of the warm-up.
func newWorld(p *Plan) *world {
	w := &world{
		plan: p, random: rand.New(rand.NewPCG(p.Seed, 2)), now: epoch,
		logger: pollenrecord.New(io.Discard, logrus.PanicLevel, nil),
		nodes:  map[netip.AddrPort]*host{}, routers: map[pollendocument.DomainName]*router{},
		flows: map[pollenpacket.Flow]*flow{}, domainCuts: map[pollendocument.DomainName]*cuts{},
	}
	w.measurements = newMeasurements(w)
	w.operator = newOperator(w)
	for z, d := range p.Domains {
		w.seeds = append(w.seeds, netip.AddrPortFrom(hostAddress(z, 1), nodePort))
		w.routers[d] = newRouter(w)
		w.domainCuts[d] = &cuts{}
	}
	w.seeds = w.seeds[:min(len(w.seeds), 3)]
	for range p.Balancers {
		w.addBalancers(true, 0)
	}
	n := 0
	for i := range p.Services {
		for range p.Services[i].Servers {
			w.addServer(&p.Services[i], n%len(p.Domains))
			n++
		}
	}
	for i := range p.Routes {
		w.routes = append(w.routes, newRoute(w, i))
	}
	w.after(warmUp/5, func() { w.operator.declare() })
	return w
}

// hostAddress returns the address of a host by the index of its failure domain and its
// number in it. The address contains both.
func hostAddress(domain, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(domain + 1), byte(number >> 8), byte(number)})
}

// addBalancers adds a balancer to each failure domain, with a disk if the domain has
// fewer than plan.Disks balancers. Long messages do not reach it while it is choked.
func (w *world) addBalancers(firstStart bool, choked time.Duration) {
	for z, d := range w.plan.Domains {
		r := w.routers[d]
		number := len(r.balancers) + 1
		h := newHost(w, z, number)
		h.chokedUntil = w.now.Add(choked)
		if number <= w.plan.Disks {
			h.disk = newDisk(w.random.Uint64())
		}
		r.balancers = append(r.balancers, &probedBalancer{host: h})
		h.start(firstStart)
	}
}

// delay returns the delay of a datagram between two failure domains; ok is false if
// the datagram is lost.
func (w *world) delay(from, to pollendocument.DomainName) (d time.Duration, ok bool) {
	if from != to && (w.domainCuts[from].out > 0 || w.domainCuts[to].in > 0) {
		return 0, false
	}
	if w.random.IntN(thousand) < w.plan.LossPerMille {
		return 0, false
	}
	if from == to {
		return domainDelay, true
	}
	return crossDelay, true
}

// sendToNode delivers a datagram or message of size bytes from one host to another, by
// calling handle at the other one after the network's delay.
func (w *world) sendToNode(from *host, to netip.AddrPort, size int, handle func(h *host)) {
	from.sentBytes += size + datagramOverhead
	h, known := w.nodes[to]
	d, ok := w.delay(from.domain, w.domainOf(to))
	if known {
		lostHere, lostThere := from.misses(), h.misses()
		ok = ok && !lostHere && !lostThere
	}
	if !known || !ok || from.cuts.out > 0 || h.cuts.in > 0 || size > maxDatagram && w.now.Before(h.chokedUntil) {
		return
	}
	w.measurements.messages++
	w.after(d, func() { h.runWhenThawed(func() { handle(h) }) })
}

// domainOf returns the failure domain of a node's address, see hostAddress.
func (w *world) domainOf(a netip.AddrPort) pollendocument.DomainName {
	return w.plan.Domains[int(a.Addr().As4()[1])-1]
}

// sendToCaller delivers a packet to the caller of its flow. Resets that are not lost
// are counted by countReset.
func (w *world) sendToCaller(packet []byte) {
	p, ok := pollenpacket.Plain{}.ParseFromServer(packet)
	if !ok || w.random.IntN(thousand) < w.plan.LossPerMille {
		return
	}
	if p.RST {
		w.measurements.countReset(p.Flow)
	}
	stream := slices.Clone(packet[pollenpacket.PlainHeaderSize:])
	w.after(callerDelay, func() {
		if f := w.flows[p.Flow]; f != nil {
			f.handlePacket(&p, stream)
		}
	})
}

// sendFromCaller delivers a caller's packet to the balancer that the router of the
// caller's failure domain selects.
func (w *world) sendFromCaller(domain pollendocument.DomainName, p *pollenpacket.Packet, stream []byte) {
	if w.random.IntN(thousand) < w.plan.LossPerMille {
		return
	}
	h := w.routers[domain].selectBalancer(p.Flow)
	if h == nil {
		return
	}
	datagram := pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, false, stream)
	w.after(callerDelay, func() {
		h.runWhenThawed(func() {
			if h.balancer != nil {
				h.balancer.HandleCallerPacket(w.now, datagram)
			}
		})
	})
}
