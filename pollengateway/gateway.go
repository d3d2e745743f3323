// Package pollengateway is the shell of a balancer: it listens at the service
// addresses and passes packets to agents and answers to callers.
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
	// listeners holds the open listeners by service digest. It is written with
	// the membership's lock held.
	listeners sync.Map
	failed    map[pollendocument.ServiceName]bool
}

// listener is the socket of one service address.
type listener struct {
	conn *net.UDPConn
	// address is where the socket is bound.
	address netip.AddrPort
	// batch is the number of packets that one system call reads.
	batch int
	route atomic.Pointer[pollenbalancer.Route]
}

// New returns a new Gateway with its sockets open.
func New(now time.Time, s *pollensettings.Settings) (*Gateway, error) {
	g := &Gateway{routes: pollenbalancer.NewRoutes(), failed: map[pollendocument.ServiceName]bool{}}
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
	g.membership = pollenprocess.NewMembership(base, self, g.changeView)
	base.Socket.Handle(pollenwire.DatagramAnswer, g.takeAnswer)
	base.OnStop(g.stop)
	return g, nil
}

// Run serves until a planned stop.
func (g *Gateway) Run() error {
	return g.base.Run(map[pollencall.Method]pollencall.Handler{
		pollencall.MethodFetch: g.membership.HandleFetch,
	})
}

// leaveTime is how long a stopping balancer goes on relaying after it gave up
// its lease, so that agents and the fabric learn of it.
const leaveTime = 500 * time.Millisecond

// stop tells control that the balancer leaves and relays on until every view
// has had time to follow.
func (g *Gateway) stop(ctx context.Context) {
	g.membership.Step(time.Now(), pollenmember.Leave{})
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	<-ctx.Done()
}

// changeView opens, changes and closes listeners. The lock is held.
func (g *Gateway) changeView(_ time.Time, view *pollenview.View) {
	g.revision.Store(uint64(view.Revision))
	for _, c := range g.routes.Update(view) {
		old, open := g.listeners.Load(c.Route.Digest)
		address := g.bind(c.Route.Address)
		if open && !c.Removed && old.(*listener).address == address {
			old.(*listener).route.Store(c.Route)
			continue
		}
		if open {
			g.listeners.Delete(c.Route.Digest)
			_ = old.(*listener).conn.Close()
		}
		if !c.Removed {
			g.open(address, c.Route)
		}
	}
}

func (g *Gateway) bind(service netip.AddrPort) netip.AddrPort {
	if g.base.Settings.Bind.IsValid() {
		return netip.AddrPortFrom(g.base.Settings.Bind, service.Port())
	}
	return service
}

func (g *Gateway) open(address netip.AddrPort, route *pollenbalancer.Route) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		if !g.failed[route.Service] {
			g.base.Log.WithError(err).WithField("service", route.Service).Error("service address cannot be opened")
		}
		g.failed[route.Service] = true
		return
	}
	delete(g.failed, route.Service)
	const socketBuffer = 4 << 20
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	l := &listener{conn: conn, address: address, batch: pollenprocess.BatchFor(g.routes.Len())}
	l.route.Store(route)
	g.listeners.Store(route.Digest, l)
	g.base.Log.WithField("service", route.Service).WithField("address", address).Info("service address opened")
	go g.serve(l)
}

// serve passes the packets of one service address to agents until the socket
// is closed.
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
			if why, ok := g.relay(l, writer, buffer, size, caller); !ok {
				g.base.Metrics.CountRefusal(why)
				continue
			}
			relayed++
		}
		writer.Flush()
		g.base.Metrics.CountEvent(pollenmetric.EventPacketIn, int64(n))
		g.base.Metrics.CountEvent(pollenmetric.EventPacketOut, relayed)
	}
}

// relay adds a packet to what is sent to agents; ok is false when it is
// refused.
func (g *Gateway) relay(
	l *listener, writer *pollenprocess.BatchWriter, buffer []byte, size int, caller netip.AddrPort,
) (why pollenkernel.Refusal, ok bool) {
	if size > pollenprocess.MaxPacket {
		return pollenkernel.RefusalTooLarge, false
	}
	if !g.membership.Current() {
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

// takeAnswer passes a backend server's packet to its caller.
func (g *Gateway) takeAnswer(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
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
