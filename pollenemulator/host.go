package pollenemulator

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
)

// reportInterval is the time between two reports of a backend server to its gate.
const reportInterval = 1200 * time.Millisecond

// A host runs one balancer or gate, which events can stop, kill and freeze.
type host struct {
	w      *world
	domain pollendocument.DomainName
	node   netip.AddrPort
	// server is the backend server beside a gate, and nil beside a balancer.
	server *server
	// disk is nil on a host without persistent state.
	disk *disk
	// incarnation changes with every start and every end of a program. Functions
	// that were scheduled for an earlier incarnation do nothing.
	incarnation int
	balancer    *pollennode.Balancer
	gate        *pollennode.Gate
	// frozenUntil is the end of the host's last freeze.
	frozenUntil time.Time
	// chokedUntil is the time before which messages of several datagrams do not reach
	// the host.
	chokedUntil time.Time
	// exchanged counts the datagrams to and from other hosts since the last start, of
	// which the one numbered missed is lost; zero means none.
	exchanged, missed int
	// cuts counts the partitions of this host that are in effect.
	cuts cuts
	// sentBytes is what the host has sent to other nodes.
	sentBytes int
	// down is set after the program was killed, until it starts again.
	down bool
}

// cuts counts the partitions in effect by the direction in which datagrams are lost.
type cuts struct{ out, in int }

func (c *cuts) add(d Direction, n int) {
	if d != DirectionIn {
		c.out += n
	}
	if d != DirectionOut {
		c.in += n
	}
}

// newHost adds a host to the world. The caller sets its server or disk and starts it.
func newHost(w *world, domain, number int) *host {
	h := &host{
		w: w, domain: w.plan.Domains[domain],
		node: netip.AddrPortFrom(hostAddress(domain, number), nodePort),
	}
	w.hosts = append(w.hosts, h)
	w.nodes[h.node] = h
	return h
}

func (h *host) running() bool { return h.balancer != nil || h.gate != nil }

// start starts the host's program: a gate if it has a backend server, otherwise a
// balancer. firstStart is set for hosts that are present when the run begins.
func (h *host) start(firstStart bool) {
	h.incarnation++
	h.down, h.exchanged = false, 0
	s := pollennode.Settings{
		Name: h.node.String(), Domain: h.domain, Domains: h.w.plan.Domains, Node: h.node, Seeds: h.w.seeds, FirstStart: firstStart, CallerPort: callerPort,
		Callers: netip.AddrPortFrom(h.node.Addr(), callerPort), Format: pollenpacket.Plain{},
		Bounds: pollengate.Bounds{ColdFactor: 1.5, ColdSlack: 5, ReportInterval: reportInterval},
	}
	metrics, err := pollenmetric.NewSet("emulated", s.Name, nil)
	if err != nil {
		// NewSet depends only on the instruments, which are the same at every start.
		panic(err)
	}
	dependencies := pollennode.Dependencies{
		Transport: &transport{h: h, incarnation: h.incarnation}, Metrics: metrics, Log: h.w.logger, Seed: h.w.random.Uint64(), Synchronous: true, Policy: h.w.plan.Policy,
	}
	if h.server != nil {
		s.Service, s.Server, s.Outbound = h.server.service.Name, h.node, h.node
		h.gate = pollennode.NewGate(h.w.now, s, dependencies)
		h.runEvery(pollennode.TickInterval, h.gate.Tick)
		return
	}
	if h.disk != nil {
		s.DataFolder, dependencies.Files = "/data", h.disk
	}
	h.balancer = pollennode.NewBalancer(h.w.now, s, dependencies)
	h.runEvery(pollennode.TickInterval, h.balancer.Tick)
	if h.balancer.BatchesSearches() {
		h.runEvery(pollennode.SearchTickInterval, h.balancer.TickSearches)
	}
	if h.disk != nil {
		h.runEvery(pollennode.ControlTickInterval, h.balancer.TickControl)
	}
}

// runEvery calls step at the interval while the current program runs. The first call
// comes at a random moment within one interval, so that hosts do not tick in step.
func (h *host) runEvery(interval time.Duration, step func(now time.Time)) {
	incarnation := h.incarnation
	var next func()
	next = func() {
		if h.incarnation != incarnation || !h.running() {
			return
		}
		if h.frozen() {
			h.w.after(h.frozenUntil.Sub(h.w.now), next)
			return
		}
		step(h.w.now)
		h.w.after(interval, next)
	}
	h.w.after(time.Duration(h.w.random.Int64N(int64(interval))), next)
}

// misses counts a datagram to or from another host and reports whether it is lost.
func (h *host) misses() bool {
	h.exchanged++
	return h.exchanged == h.missed
}

func (h *host) frozen() bool { return h.w.now.Before(h.frozenUntil) }

// runWhenThawed calls run now, or at the end of the freeze if the host is frozen. It
// drops the call if the program has ended before.
func (h *host) runWhenThawed(run func()) {
	incarnation := h.incarnation
	if !h.running() {
		return
	}
	if !h.frozen() {
		run()
		return
	}
	h.w.after(h.frozenUntil.Sub(h.w.now), func() {
		if h.incarnation == incarnation && h.running() {
			run()
		}
	})
}

// kill ends the program without notice. It starts again after restartAfter, or never
// if that is negative.
func (h *host) kill(restartAfter time.Duration) {
	h.balancer, h.gate = nil, nil
	h.incarnation++
	h.down = true
	incarnation := h.incarnation
	if restartAfter < 0 {
		return
	}
	h.w.after(restartAfter, func() {
		if h.incarnation == incarnation {
			h.start(false)
		}
	})
}

// stop has the program leave in an orderly way, and ends it after the time for which a
// leaving balancer or gate still serves (unreadyServeTime and leaveDelay of pollennode).
// The program starts again after restartDelay.
func (h *host) stop() {
	incarnation := h.incarnation
	wait := 60 * time.Millisecond
	switch {
	case h.balancer != nil:
		h.balancer.Leave(h.w.now)
		wait = 1700 * time.Millisecond
	case h.gate != nil:
		h.gate.Leave(h.w.now)
	default:
		return
	}
	h.w.after(wait, func() {
		if h.incarnation == incarnation {
			h.kill(restartDelay)
		}
	})
}

// transport implements pollennode.Transport for one incarnation of a program.
type transport struct {
	h           *host
	incarnation int
}

// SendToNode implements pollennode.Transport.
func (o *transport) SendToNode(to netip.AddrPort, datagram []byte) {
	datagram = slices.Clone(datagram)
	o.h.w.sendToNode(o.h, to, len(datagram), func(h *host) {
		header, ok := pollenlink.ReadHeader(datagram)
		switch {
		case !ok:
		case h.balancer != nil:
			h.balancer.HandlePacket(o.h.w.now, o.h.node, header, datagram)
		case h.gate != nil:
			h.gate.HandlePacket(o.h.w.now, o.h.node, header, datagram)
		}
	})
}

// SendMessage implements pollennode.Transport.
func (o *transport) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	message = slices.Clone(message)
	for _, a := range to {
		o.sendMessage(kind, message, a)
	}
}

// sendMessage sends a message to one node, or to the operator.
func (o *transport) sendMessage(kind pollenlink.Kind, message []byte, to netip.AddrPort) {
	if to == operatorAddress {
		o.h.w.operator.handleMessage(kind, message)
		return
	}
	o.h.w.sendToNode(o.h, to, pollenlink.HeaderSize+len(message), func(h *host) {
		switch {
		case h.balancer != nil:
			h.balancer.HandleMessage(o.h.w.now, o.h.node, kind, message)
		case h.gate != nil:
			h.gate.HandleMessage(o.h.w.now, o.h.node, kind, message)
		}
	})
}

// SendToCaller implements pollennode.Transport.
func (o *transport) SendToCaller(_ netip.AddrPort, packet []byte) { o.h.w.sendToCaller(packet) }

// SendToServer implements pollennode.Transport.
func (o *transport) SendToServer(packet []byte) {
	packet = slices.Clone(packet)
	s := o.h.server
	o.h.w.after(localDelay, func() { s.handlePacket(packet) })
}
