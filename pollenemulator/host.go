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

// reportInterval is the time between two reports of a backend server.
const reportInterval = 1200 * time.Millisecond

// A host runs one program, with pauses.
type host struct {
	w      *world
	domain pollendocument.DomainName
	node   netip.AddrPort
	// server is set on the host of a gate.
	server *server
	disk   *disk
	// starts counts the programs that ran here; the functions of an earlier one
	// that are still due do nothing.
	incarnation int
	balancer    *pollennode.Balancer
	gate        *pollennode.Gate
	// thaw is until when the host stands still.
	frozenUntil time.Time
	// away is set while the host is down or removed.
	down bool
}

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

// start runs a new program.
func (h *host) start(firstStart bool) {
	h.incarnation++
	h.down = false
	s := pollennode.Settings{
		Name: h.node.String(), Domain: h.domain, Node: h.node, Seeds: h.w.seeds, FirstStart: firstStart, CallerPort: callerPort,
		Callers: netip.AddrPortFrom(h.node.Addr(), callerPort), Format: pollenpacket.Plain{},
		Bounds: pollengate.Bounds{ColdFactor: 1.5, ColdSlack: 5, ReportInterval: reportInterval},
	}
	metrics, err := pollenmetric.NewSet("emulated", s.Name, nil)
	if err != nil {
		// The same instruments are made at every start.
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
	if h.disk != nil {
		h.runEvery(pollennode.ControlTickInterval, h.balancer.TickControl)
	}
}

// every calls step at the interval, from a random moment on, while the present
// program runs.
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

func (h *host) frozen() bool { return h.w.now.Before(h.frozenUntil) }

// whenAwake runs what arrives at the host, once it is not frozen, unless the
// program that it was meant for has ended.
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

// kill ends the program; it starts again after the time, unless that is
// negative.
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

// stop ends the program with notice.
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

// outlet is the Outlet of one start of a program.
type transport struct {
	h           *host
	incarnation int
}

// SendToNode implements pollennode.Outlet.
func (o *transport) SendToNode(to netip.AddrPort, datagram []byte) {
	datagram = slices.Clone(datagram)
	o.h.w.sendToNode(o.h, to, func(h *host) {
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

// SendMessage implements pollennode.Outlet.
func (o *transport) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	message = slices.Clone(message)
	for _, a := range to {
		o.sendMessage(kind, message, a)
	}
}

func (o *transport) sendMessage(kind pollenlink.Kind, message []byte, to netip.AddrPort) {
	if to == operatorAddress {
		o.h.w.operator.handleMessage(kind, message)
		return
	}
	o.h.w.sendToNode(o.h, to, func(h *host) {
		switch {
		case h.balancer != nil:
			h.balancer.HandleMessage(o.h.w.now, o.h.node, kind, message)
		case h.gate != nil:
			h.gate.HandleMessage(o.h.w.now, o.h.node, kind, message)
		}
	})
}

// SendToCaller implements pollennode.Outlet.
func (o *transport) SendToCaller(_ netip.AddrPort, packet []byte) { o.h.w.sendToCaller(packet) }

// SendToServer implements pollennode.Outlet.
func (o *transport) SendToServer(packet []byte) {
	packet = slices.Clone(packet)
	s := o.h.server
	o.h.w.after(localDelay, func() { s.handlePacket(packet) })
}
