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

// leaveDelay is how long a stopping gate still passes packets, so that the
// balancers have received its last heartbeat before it stops.
const leaveDelay = 60 * time.Millisecond

// A Gate is the program beside one backend server that decides which packets reach
// the server. Its methods are safe for concurrent use.
type Gate struct {
	*base

	// The fields below are guarded by base.mu.
	gate *pollengate.Gate
	// lastSent is the state of the backend server in the last heartbeat.
	lastSent pollenpeer.Server
	// lastLevel is the admission level at the last tick.
	lastLevel    pollengate.Level
	checkpointer checkpointer
}

// NewGate returns a new Gate that started at now.
func NewGate(now time.Time, s Settings, deps Dependencies) *Gate {
	return &Gate{
		base: newBase(now, s, pollenpeer.Peer{Role: pollenpeer.RoleGate}, deps),
		gate: pollengate.New(now, pollengate.Config{Domain: s.Domain, Service: s.Service, Bounds: s.Bounds, FirstStart: s.FirstStart}),

		checkpointer: newCheckpointer(now),
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
		"left":    func() int64 { return g.log.Dropped() },
	}
}

// Ready reports whether the backend server takes new flows through this gate.
func (g *Gate) Ready(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.State(now) == pollenpeer.ServerReady && !g.table.Self().Leaving
}

// HandleReport handles a report of the backend server. The report is in effect
// when HandleReport returns. It returns false if the report is out of date or
// names another service, and then ignores it.
func (g *Gate) HandleReport(now time.Time, r pollengate.Report) bool {
	accepted, lost := g.handleReport(now, r)
	g.resetLostFlows(&lost)
	return accepted
}

func (g *Gate) handleReport(now time.Time, r pollengate.Report) (accepted bool, lost pollengate.LostFlows) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.gate.Server(now)
	if !g.gate.HandleReport(now, r) {
		g.log.Info("backend server report ignored", pollenrecord.Fields{
			"server": r.Name, "service": r.Service, "sequence": r.Sequence, "born": r.Incarnation,
		})
		return false, lost
	}
	if after := g.gate.Server(now); after.State != before.State || after.Cold != before.Cold {
		g.log.Info("backend server state changed", pollenrecord.Fields{
			"server": r.Name, "state": after.State, "before": before.State, "cold": r.ColdRemaining.String(),
			"sequence": r.Sequence, "born": r.Incarnation, "slots": r.Slots,
		})
	}
	g.logRestored()
	g.broadcastHeartbeat(now)
	return true, g.gate.TakeLostFlows(now)
}

// Deregister handles the deregistration of the backend server called name, which
// is shutting down.
func (g *Gate) Deregister(now time.Time, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Deregister(now)
	g.log.Info("backend server deregistered", pollenrecord.Fields{"server": name})
	g.broadcastHeartbeat(now)
}

// HandleServerPacket handles a packet that the backend server sent or returned,
// which begins at offset pollenlink.HeaderSize of the datagram.
func (g *Gate) HandleServerPacket(now time.Time, datagram []byte) {
	p, ok := g.settings.Format.ParseFromServer(datagram[pollenlink.HeaderSize:])
	if !ok {
		g.countMalformed(now, netip.AddrPort{}, len(datagram)-pollenlink.HeaderSize, "backend server's packet")
		return
	}
	g.metrics.CountEvent(pollenmetric.EventAnswerIn, 1)
	g.mu.Lock()
	d := g.gate.HandleServerPacket(now, &p)
	g.mu.Unlock()
	origin := netip.AddrPortFrom(addrOfMark(p.Mark), g.settings.Node.Port())
	g.execute(now, origin, &p, &d, pollenlink.Header{}, datagram)
}

// addrOfMark returns the address that markOf encoded.
func addrOfMark(mark uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(mark >> 24), byte(mark >> 16), byte(mark >> 8), byte(mark)})
}

// execute carries out the decision on a packet. balancer is the balancer to notify
// or to return the packet to, unless the decision names another.
func (g *Gate) execute(
	now time.Time, balancer netip.AddrPort, p *pollenpacket.Packet, d *pollengate.Decision, h pollenlink.Header, datagram []byte,
) {
	packet := datagram[pollenlink.HeaderSize:]
	if d.Opening || d.Verdict == pollengate.VerdictDecline {
		g.logDecision(now, balancer, p, d, h)
	}
	if d.Reason != pollenkernel.RefusalNone {
		g.metrics.CountRefusal(d.Reason)
	}
	switch d.Verdict {
	case pollengate.VerdictDeliver:
		g.metrics.CountEvent(pollenmetric.EventPacketOut, 1)
		g.transport.SendToServer(packet)
	case pollengate.VerdictCaller:
		g.metrics.CountEvent(pollenmetric.EventAnswerOut, 1)
		g.transport.SendToCaller(netip.AddrPortFrom(p.Flow.Caller.Addr(), g.settings.CallerPort), packet)
	case pollengate.VerdictDecline, pollengate.VerdictNotFound:
		h.Kind, h.Reason = pollenlink.KindDeclined, d.Reason
		if d.Verdict == pollengate.VerdictNotFound {
			h.Kind = pollenlink.KindNotFound
		}
		if d.Balancer.IsValid() {
			balancer = d.Balancer
		}
		if d.Verdict == pollengate.VerdictNotFound && p.RST {
			// There is no caller's packet to send back.
			g.sendFlowNotice(balancer, h, p.Flow)
			return
		}
		h.Put(datagram)
		g.settings.Format.SetMark(packet, 0)
		g.transport.SendToNode(balancer, datagram)
	case pollengate.VerdictReset:
		g.sendReset(p)
	case pollengate.VerdictDrop:
	}
	if d.Held {
		h.Kind = pollenlink.KindHolder
		g.sendFlowNotice(balancer, h, p.Flow)
	}
}

// sendFlowNotice sends a balancer a notice about a flow that carries no packet of
// the flow.
func (g *Gate) sendFlowNotice(balancer netip.AddrPort, h pollenlink.Header, f pollenpacket.Flow) {
	datagram := make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize)
	h.Put(datagram)
	g.transport.SendToNode(balancer, pollenlink.AppendFlow(datagram, f))
}

func (g *Gate) logDecision(
	now time.Time, balancer netip.AddrPort, p *pollenpacket.Packet, d *pollengate.Decision, h pollenlink.Header,
) {
	if !g.log.AllowDecision(now) {
		return
	}
	g.mu.Lock()
	s := g.gate.Server(now)
	revision := g.gate.Revision()
	g.mu.Unlock()
	g.log.Decision("flow admission", pollenrecord.Fields{
		"caller": p.Flow.Caller, "service": p.Flow.Service, "copy": p.Acknowledged, "opening": p.Opening(),
		"verdict": d.Verdict, "reason": d.Reason, "wait": d.Wait.String(), "running": s.Running, "slots": s.Slots,
		"state": s.State, "cold": s.Cold, "hops": h.Hops, "balancer": balancer, "revision": revision, "routed": h.Revision,
	})
}

// HandlePacket implements pollenlink.Handler.
func (g *Gate) HandlePacket(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	switch h.Kind {
	case pollenlink.KindQuery:
		g.handleQuery(now, from, h, datagram)
		return
	case pollenlink.KindQueries:
		g.handleQueries(now, from, h, datagram)
		return
	default:
	}
	p, ok := g.settings.Format.ParseFromCaller(datagram[pollenlink.HeaderSize:])
	if !ok || p.Returned || (h.Kind != pollenlink.KindPass && h.Kind != pollenlink.KindSearch) {
		g.countMalformed(now, from, len(datagram), string(h.Kind))
		return
	}
	g.metrics.CountEvent(pollenmetric.EventPacketIn, 1)
	g.mu.Lock()
	d := g.gate.HandleCallerPacket(now, from, &h, &p)
	g.mu.Unlock()
	g.execute(now, from, &p, &d, h, datagram)
}

// handleQuery answers a query whether this gate holds a flow.
func (g *Gate) handleQuery(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	f, acknowledged, ok := pollenlink.ReadQuery(datagram[pollenlink.HeaderSize:])
	if !ok {
		g.countMalformed(now, from, len(datagram), string(h.Kind))
		return
	}
	g.mu.Lock()
	h.Kind = g.query(now, f, acknowledged)
	g.mu.Unlock()
	g.sendFlowNotice(from, h, f)
}

// query returns the kind of the answer to a query. mu must be held.
func (g *Gate) query(now time.Time, f pollenpacket.Flow, acknowledged uint32) pollenlink.Kind {
	d := g.gate.Query(now, f, acknowledged)
	switch {
	case d.Held:
		return pollenlink.KindHolder
	case d.Verdict == pollengate.VerdictNeedsPacket:
		return pollenlink.KindNeedsPacket
	default:
		return pollenlink.KindNotFound
	}
}

// handleQueries answers queries for several flows in one datagram.
func (g *Gate) handleQueries(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	queries, ok := pollenlink.ReadQueries(datagram[pollenlink.HeaderSize:])
	if !ok {
		g.countMalformed(now, from, len(datagram), string(h.Kind))
		return
	}
	h.Kind = pollenlink.KindAnswers
	answers := make([]byte, pollenlink.HeaderSize, pollenlink.HeaderSize+len(queries))
	h.Put(answers)
	g.mu.Lock()
	for _, q := range queries {
		answers = pollenlink.AppendAnswer(answers, g.query(now, q.Flow, q.Acknowledged))
	}
	g.mu.Unlock()
	g.transport.SendToNode(from, answers)
}

// HandleMessage implements pollenlink.Handler.
func (g *Gate) HandleMessage(now time.Time, from netip.AddrPort, kind pollenlink.Kind, message []byte) {
	switch kind {
	case pollenlink.KindHeartbeat:
		if heartbeat, ok := decode(now, g.base, from, kind, message, pollenwire.MapPeerHeartbeat); ok {
			g.mu.Lock()
			change := g.table.Receive(now, &heartbeat)
			g.logPeerChange(now, change, &heartbeat.Peer)
			g.table.MergeFacts(now, heartbeat.Facts)
			if change == pollenpeer.ChangeNew || g.table.TakeNewCandidates() {
				g.sendHeartbeats(g.table.DuePeers(now), now)
			}
			g.mu.Unlock()
		}
	case pollenlink.KindUpdate:
		if u, ok := decode(now, g.base, from, kind, message, pollenwire.MapUpdate); ok {
			g.mu.Lock()
			if g.applyUpdate(u, from) {
				g.gate.SetView(g.view.View())
			}
			g.mu.Unlock()
		}
	case pollenlink.KindRestored:
		if c, ok := decode(now, g.base, from, kind, message, pollenwire.MapCheckpoint); ok {
			g.handleRestored(now, from, &c)
		}
	default:
		g.countMalformed(now, from, len(message), string(kind))
	}
}

// Tick runs the periodic work of the gate. It must be called at every
// TickInterval.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.table.Expire(now) {
		g.log.Info("peer lost", peerFields(&p))
	}
	g.gate.Sweep(now)
	g.tickCheckpoint(now)
	s := g.gate.Server(now)
	if s.Failing != g.lastSent.Failing {
		g.log.Info("backend server failure state changed", pollenrecord.Fields{"failing": s.Failing, "running": s.Running, "flows": s.Flows})
	}
	g.logLevel()
	if s.State != g.lastSent.State || s.Cold != g.lastSent.Cold || s.Failing != g.lastSent.Failing ||
		s.Starting != g.lastSent.Starting || s.AdmitBelow != g.lastSent.AdmitBelow {
		g.broadcastHeartbeat(now)
	} else {
		g.sendHeartbeats(g.table.DuePeers(now), now)
	}
	g.log.ReportDropped(now)
}

// logLevel logs a change of the admission level since the last tick. mu must be held.
func (g *Gate) logLevel() {
	before := g.lastLevel
	g.lastLevel = g.gate.Level()
	if l := g.lastLevel; l.Step != before.Step {
		g.log.Info("admission level changed", pollenrecord.Fields{
			"level": l.Step, "before": before.Step, "admit": l.AdmitBelow, "wait": l.Wait.String(), "objective": l.Objective.String(),
		})
	}
}

// broadcastHeartbeat sends a heartbeat at once to every balancer that this gate
// reports to. mu must be held.
func (g *Gate) broadcastHeartbeat(now time.Time) {
	due := g.table.DuePeers(now)
	targets := g.table.ReportTargets(now)
	for _, a := range targets {
		g.table.MarkSent(now, a)
	}
	g.sendHeartbeats(append(due, targets...), now)
}

// sendHeartbeats sends a heartbeat with the current state of the backend server to
// the addresses, which it sorts in place. mu must be held.
func (g *Gate) sendHeartbeats(to []netip.AddrPort, now time.Time) {
	if len(to) == 0 {
		return
	}
	g.lastSent = g.gate.Server(now)
	g.table.Self().Server = g.lastSent
	heartbeat := g.table.NextHeartbeat(now)
	heartbeat.Report = heartbeat.Relayed
	slices.SortFunc(to, netip.AddrPort.Compare)
	g.sendHeartbeat(&heartbeat, slices.Compact(to)...)
}

// Leave makes the balancers send new flows elsewhere before the program stops. Open
// flows continue after a restart of the gate, or end with their backend server.
func (g *Gate) Leave(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Leave()
	g.table.Self().Leaving = true
	g.broadcastHeartbeat(now)
}
