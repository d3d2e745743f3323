// Package pollengateway implements the balancer process. It listens at the service
// addresses and relays callers' packets to agents and answers to callers.
package pollengateway

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenbalancer"
	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenprocess"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// A Gateway is a running balancer.
type Gateway struct {
	base       *pollenprocess.Base
	membership *pollenprocess.Membership
	routes     *pollenbalancer.Routes
	revision   atomic.Uint64
	// listeners maps service digests to open listeners. It is written with the
	// membership's lock held.
	listeners sync.Map
	// bindFailed holds the services whose address could not be bound, so that
	// each failure is logged once.
	bindFailed map[pollendocument.ServiceName]bool
}

// listener is the socket of one service address.
type listener struct {
	conn *net.UDPConn
	// address is the local address of the socket.
	address netip.AddrPort
	// batch is the maximum number of packets per system call.
	batch int
	route atomic.Pointer[pollenbalancer.Route]
}

// New returns a new Gateway with its socket for other processes open. The service
// addresses are bound when the view arrives.
func New(now time.Time, s *pollensettings.Settings) (*Gateway, error) {
	g := &Gateway{routes: pollenbalancer.NewRoutes(), bindFailed: map[pollendocument.ServiceName]bool{}}
	base, err := pollenprocess.NewBase(s, map[string]pollenmetric.Gauge{
		"revision": func() int64 { return int64(g.revision.Load()) },
	})
	if err != nil {
		return nil, err
	}
	g.base = base
	self := pollenview.Member{
		Name: s.Name, Role: pollenview.RoleBalancer, Incarnation: pollenview.Incarnation(now.UnixNano()),
		Domain: s.Domain, Address: s.Address, State: pollendocument.ServerActive,
	}
	g.membership = pollenprocess.NewMembership(base, self, g.applyView)
	base.Socket.Handle(pollenwire.DatagramAnswer, g.handleAnswer)
	base.OnStop(g.stop)
	return g, nil
}

// Run serves until a planned stop and returns nil then, or else the error of the
// actor that failed.
func (g *Gateway) Run() error {
	return g.base.Run(map[pollencall.Method]pollencall.Handler{
		pollencall.MethodFetch: g.membership.HandleFetch,
	})
}

// leaveDelay is how long a stopping balancer continues to relay after it has
// released its lease, so that agents and the network fabric can stop using it.
const leaveDelay = 500 * time.Millisecond

// stop reports to the control hosts that the balancer leaves and continues to
// relay for leaveDelay, so that the views of the other processes can follow.
func (g *Gateway) stop(ctx context.Context) {
	g.membership.Step(time.Now(), pollenmember.Leave{})
	ctx, cancel := context.WithTimeout(ctx, leaveDelay)
	defer cancel()
	<-ctx.Done()
}

// applyView opens, updates and closes listeners for a newer view. The lock is
// held.
func (g *Gateway) applyView(_ time.Time, view *pollenview.View) {
	g.revision.Store(uint64(view.Revision))
	for _, c := range g.routes.Update(view) {
		old, open := g.listeners.Load(c.Route.Digest)
		address := g.bindAddress(c.Route.Address)
		if open && !c.Removed && old.(*listener).address == address {
			old.(*listener).route.Store(c.Route)
			continue
		}
		if open {
			g.listeners.Delete(c.Route.Digest)
			_ = old.(*listener).conn.Close()
		}
		if !c.Removed {
			g.openListener(address, c.Route)
		}
	}
}

// bindAddress returns the local address for a service address: the settings may
// replace its IP address.
func (g *Gateway) bindAddress(service netip.AddrPort) netip.AddrPort {
	if g.base.Settings.Bind.IsValid() {
		return netip.AddrPortFrom(g.base.Settings.Bind, service.Port())
	}
	return service
}

// openListener binds a service address and starts to serve it. The lock is held.
func (g *Gateway) openListener(address netip.AddrPort, route *pollenbalancer.Route) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		if !g.bindFailed[route.Service] {
			g.base.Log.WithError(err).WithField("service", route.Service).Error("cannot bind service address")
		}
		g.bindFailed[route.Service] = true
		return
	}
	delete(g.bindFailed, route.Service)
	const socketBufferSize = 4 << 20
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	l := &listener{conn: conn, address: address, batch: pollenprocess.ReadBatchSize(g.routes.Len())}
	l.route.Store(route)
	g.listeners.Store(route.Digest, l)
	g.base.Log.WithField("service", route.Service).WithField("address", address).Info("listening at service address")
	go g.serve(l)
}

// serve relays the packets of one service address to agents until the socket is
// closed.
func (g *Gateway) serve(l *listener) {
	reader := pollenprocess.NewBatchReader(l.conn, l.batch)
	writer := g.base.Socket.NewBatchWriter(l.batch)
	for {
		n, err := reader.Read()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		relayed := int64(0)
		for i := range n {
			buffer, size, caller := reader.Packet(i)
			if reason, ok := g.relay(l, writer, buffer, size, caller); !ok {
				g.base.Metrics.CountRefusal(reason)
				continue
			}
			relayed++
		}
		writer.Flush()
		g.base.Metrics.CountEvent(pollenmetric.EventPacketIn, int64(n))
		g.base.Metrics.CountEvent(pollenmetric.EventPacketOut, relayed)
	}
}

// relay adds a packet for an agent to the writer's batch; ok is false and reason is
// set when the packet is refused.
func (g *Gateway) relay(
	l *listener, writer *pollenprocess.BatchWriter, buffer []byte, size int, caller netip.AddrPort,
) (reason pollenkernel.Refusal, ok bool) {
	if size > pollenprocess.MaxPacketSize {
		return pollenkernel.RefusalTooLarge, false
	}
	if !g.membership.Started() {
		return pollenkernel.RefusalNotReady, false
	}
	route := l.route.Load()
	target, ok := route.Decide(caller)
	if !ok {
		return pollenkernel.RefusalNoMember, false
	}
	payload := buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+size]
	h := pollenwire.Header{
		Kind: pollenwire.DatagramPacket, MayOpenFlow: pollenbalancer.OpensFlow(payload),
		Service: route.Digest, Target: target.Digest, Revision: pollenview.Revision(g.revision.Load()),
		Caller: caller, Balancer: g.base.Settings.Address,
	}
	writer.Add(target.UDP, &h, buffer, size)
	return "", true
}

// handleAnswer sends a backend server's packet to its caller.
func (g *Gateway) handleAnswer(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	g.base.Metrics.CountEvent(pollenmetric.EventAnswerIn, 1)
	if uint64(h.Revision) > g.revision.Load() {
		g.membership.Step(time.Now(), pollenmember.RevisionReceived{From: from, Revision: h.Revision})
	}
	found, ok := g.listeners.Load(h.Service)
	if !ok || !h.Caller.IsValid() {
		g.base.Metrics.CountRefusal(pollenkernel.RefusalUnknownService)
		return
	}
	payload := buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+size]
	if _, err := found.(*listener).conn.WriteToUDPAddrPort(payload, h.Caller); err != nil {
		g.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
		return
	}
	g.base.Metrics.CountEvent(pollenmetric.EventAnswerOut, 1)
}
