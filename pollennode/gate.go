package pollennode

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenwire"
)

// partTime is how long a gate that stops goes on passing packets, so that the
// balancers have heard of it before it falls silent.
const partTime = 60 * time.Millisecond

// A Gate is the program beside one backend server.
type Gate struct {
	*base

	// The fields below are guarded by base.mu.
	gate *pollengate.Gate
	// told is what the last beat said of the backend server.
	told pollenpeer.Server
}

// NewGate returns a new Gate that works with the parts.
func NewGate(now time.Time, s Settings, parts Dependencies) *Gate {
	return &Gate{
		base: newBase(now, s, pollenpeer.Peer{Role: pollenpeer.RoleGate}, parts),
		gate: pollengate.New(now, pollengate.Config{Domain: s.Domain, Service: s.Service, Bounds: s.Bounds, First: s.FirstStart}),
	}
}

func (g *Gate) gauges() map[string]pollenmetric.Gauge {
	read := func(value func(pollenpeer.Server) int64) pollenmetric.Gauge {
		return func() int64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value(g.gate.Server(time.Now()))
		}
	}
	return map[string]pollenmetric.Gauge{
		"flows":   read(func(s pollenpeer.Server) int64 { return int64(s.Flows) }),
		"running": read(func(s pollenpeer.Server) int64 { return int64(s.Running) }),
		"left":    func() int64 { return g.record.Dropped() },
	}
}

// Ready reports whether the backend server takes new flows through this gate.
func (g *Gate) Ready(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.State(now) == pollenpeer.ServerReady && !g.table.Self().Leaving
}

// HandleReport takes what the backend server says of itself. When it returns, the
// report is in force here; it returns false for one that is out of date or of
// another service.
func (g *Gate) HandleReport(now time.Time, r pollengate.Report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.gate.Server(now)
	if !g.gate.Report(now, r) {
		g.record.Info("report ignored", pollenrecord.Fields{
			"server": r.Name, "service": r.Service, "sequence": r.Sequence, "born": r.Incarnation,
		})
		return false
	}
	if after := g.gate.Server(now); after.State != before.State || after.Cold != before.Cold {
		g.record.Info("backend server changed", pollenrecord.Fields{
			"server": r.Name, "state": after.State, "before": before.State, "cold": r.ColdRemaining.String(),
			"sequence": r.Sequence, "born": r.Incarnation, "slots": r.Slots,
		})
	}
	g.beat(now)
	return true
}

// Deregister takes the goodbye of the backend server.
func (g *Gate) Deregister(now time.Time, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Left(now)
	g.record.Info("backend server left", pollenrecord.Fields{"server": name})
	g.beat(now)
}

// HandleServerPacket takes a packet that the backend server sent or returned, which lies
// from pollenlink.HeaderSize on.
func (g *Gate) HandleServerPacket(now time.Time, datagram []byte) {
	p, ok := g.settings.Format.ParseFromServer(datagram[pollenlink.HeaderSize:])
	if !ok {
		g.malformed(now, netip.AddrPort{}, len(datagram)-pollenlink.HeaderSize, "backend server's packet")
		return
	}
	g.metrics.CountEvent(pollenmetric.EventAnswerIn, 1)
	g.mu.Lock()
	d := g.gate.FromServer(now, &p)
	g.mu.Unlock()
	origin := netip.AddrPortFrom(addrOf(p.Mark), g.settings.Node.Port())
	g.carryOut(now, origin, &p, &d, pollenlink.Header{}, datagram)
}

// addrOf undoes markOf.
func addrOf(mark uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(mark >> 24), byte(mark >> 16), byte(mark >> 8), byte(mark)})
}

// carryOut does what was decided on a packet.
func (g *Gate) carryOut(
	now time.Time, balancer netip.AddrPort, p *pollenpacket.Packet, d *pollengate.Decision, h pollenlink.Header, datagram []byte,
) {
	packet := datagram[pollenlink.HeaderSize:]
	if d.Opened || d.Verdict == pollengate.VerdictDecline {
		g.logDecision(now, balancer, p, d, h)
	}
	if d.Reason != pollenkernel.RefusalNone {
		g.metrics.CountRefusal(d.Reason)
	}
	switch d.Verdict {
	case pollengate.VerdictDeliver:
		g.metrics.CountEvent(pollenmetric.EventPacketOut, 1)
		g.outlet.SendToServer(packet)
	case pollengate.VerdictCaller:
		g.metrics.CountEvent(pollenmetric.EventAnswerOut, 1)
		g.outlet.SendToCaller(netip.AddrPortFrom(p.Flow.Caller.Addr(), g.settings.CallerPort), packet)
	case pollengate.VerdictDecline, pollengate.VerdictAbsent:
		h.Kind, h.Reason = pollenlink.KindDeclined, d.Reason
		if d.Verdict == pollengate.VerdictAbsent {
			h.Kind = pollenlink.KindNotFound
		}
		if d.Balancer.IsValid() {
			balancer = d.Balancer
		}
		if d.Verdict == pollengate.VerdictAbsent && p.RST {
			// There is no caller's packet to send back.
			g.sendFlow(balancer, h, p.Flow)
			return
		}
		h.Put(datagram)
		g.settings.Format.SetMark(packet, 0)
		g.outlet.SendToNode(balancer, datagram)
	case pollengate.VerdictReset:
		g.reset(p)
	case pollengate.VerdictDrop:
	}
	if d.Held {
		h.Kind = pollenlink.KindHolder
		g.sendFlow(balancer, h, p.Flow)
	}
}

// sendFlow tells a balancer of a flow without a packet of it.
func (g *Gate) sendFlow(balancer netip.AddrPort, h pollenlink.Header, f pollenpacket.Flow) {
	datagram := make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize)
	h.Put(datagram)
	g.outlet.SendToNode(balancer, pollenlink.AppendFlow(datagram, f))
}

func (g *Gate) logDecision(
	now time.Time, balancer netip.AddrPort, p *pollenpacket.Packet, d *pollengate.Decision, h pollenlink.Header,
) {
	if !g.record.AllowDecision(now) {
		return
	}
	g.mu.Lock()
	s := g.gate.Server(now)
	revision := g.gate.Revision()
	g.mu.Unlock()
	g.record.Decision("flow admission", pollenrecord.Fields{
		"caller": p.Flow.Caller, "service": p.Flow.Service, "copy": p.Acknowledged, "opening": p.Opening(),
		"verdict": d.Verdict, "reason": d.Reason, "wait": d.Wait.String(), "running": s.Running, "slots": s.Slots,
		"state": s.State, "cold": s.Cold, "hops": h.Hops, "balancer": balancer, "revision": revision, "routed": h.Revision,
	})
}

// HandlePacket implements pollenlink.Handler.
func (g *Gate) HandlePacket(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	if h.Kind == pollenlink.KindQuery {
		g.takeQuery(now, from, h, datagram)
		return
	}
	p, ok := g.settings.Format.ParseFromCaller(datagram[pollenlink.HeaderSize:])
	if !ok || p.Returned || (h.Kind != pollenlink.KindPass && h.Kind != pollenlink.KindSearch) {
		g.malformed(now, from, len(datagram), string(h.Kind))
		return
	}
	g.metrics.CountEvent(pollenmetric.EventPacketIn, 1)
	g.mu.Lock()
	d := g.gate.FromNode(now, from, &h, &p)
	g.mu.Unlock()
	g.carryOut(now, from, &p, &d, h, datagram)
}

// takeQuery answers whether a flow is held here.
func (g *Gate) takeQuery(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	f, acknowledged, ok := pollenlink.ReadQuery(datagram[pollenlink.HeaderSize:])
	if !ok {
		g.malformed(now, from, len(datagram), string(h.Kind))
		return
	}
	g.mu.Lock()
	d := g.gate.Query(now, f, acknowledged)
	g.mu.Unlock()
	switch {
	case d.Held:
		h.Kind = pollenlink.KindHolder
	case d.Verdict == pollengate.VerdictUnsure:
		h.Kind = pollenlink.KindNeedsPacket
	default:
		h.Kind = pollenlink.KindNotFound
	}
	g.sendFlow(from, h, f)
}

// HandleMessage implements pollenlink.Handler.
func (g *Gate) HandleMessage(now time.Time, from netip.AddrPort, kind pollenlink.Kind, message []byte) {
	switch kind {
	case pollenlink.KindHeartbeat:
		if beat, ok := take(now, g.base, from, kind, message, pollenwire.MapPeerHeartbeat); ok {
			g.mu.Lock()
			change := g.table.Receive(now, &beat)
			g.logPeer(now, change, &beat.Peer)
			if change == pollenpeer.ChangeNew {
				g.beat(now)
			}
			g.mu.Unlock()
		}
	case pollenlink.KindUpdate:
		if u, ok := take(now, g.base, from, kind, message, pollenwire.MapUpdate); ok {
			g.mu.Lock()
			if g.accept(u, from) {
				g.gate.SetView(g.view.View())
			}
			g.mu.Unlock()
		}
	default:
		g.malformed(now, from, len(message), string(kind))
	}
}

// Tick does what is due. It is to be called every Interval.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.table.Expire(now) {
		g.record.Info("peer lost", peerFields(&p))
	}
	g.gate.Sweep(now)
	s := g.gate.Server(now)
	if s.Failing != g.told.Failing {
		g.record.Info("backend server's answers changed", pollenrecord.Fields{"failing": s.Failing, "running": s.Running, "flows": s.Flows})
	}
	if s.State != g.told.State || s.Cold != g.told.Cold || s.Failing != g.told.Failing {
		g.beat(now)
	} else {
		g.sendBeats(g.table.DuePeers(now), now)
	}
	g.record.ReportDropped(now)
}

// beat tells every balancer at once. The lock is held.
func (g *Gate) beat(now time.Time) {
	due := g.table.DuePeers(now)
	for _, a := range g.table.Balancers() {
		g.table.MarkSent(now, a)
	}
	g.sendBeats(append(due, g.table.Balancers()...), now)
}

func (g *Gate) sendBeats(to []netip.AddrPort, now time.Time) {
	if len(to) == 0 {
		return
	}
	g.told = g.gate.Server(now)
	g.table.Self().Server = g.told
	beat := g.table.NextHeartbeat(now)
	slices.SortFunc(to, netip.AddrPort.Compare)
	g.sendBeat(&beat, slices.Compact(to)...)
}

// Leave makes the balancers send new flows elsewhere before the program falls
// silent. Open flows go on after the restart, or end with their backend server.
func (g *Gate) Leave(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Leave()
	g.table.Self().Leaving = true
	g.beat(now)
}
