package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing of a balancer.
const (
	// foundDelay is how long the first seed waits for the other hosts of a new
	// system; they all start within 0.3 s.
	foundDelay = 700 * time.Millisecond
	// lingerTime is how long a balancer serves on after it has turned unready:
	// until the fabric has missed two of its probes, which come twice a second.
	lingerTime = 1700 * time.Millisecond
	// quietTime is how long no new gate must have been heard before a balancer
	// that has just started knows enough of them: two round trips between the
	// farthest hosts and a little more.
	quietTime = 50 * time.Millisecond
	// aloneAfter is how long a balancer waits for a gate before it calls itself
	// ready without one.
	aloneAfter = 2 * time.Second
)

// A Balancer is the program that takes callers' packets.
type Balancer struct {
	*base
	control *control

	// The fields below are guarded by base.mu.
	steer  *pollensteer.Balancer
	leader netip.AddrPort
	// isolated is set while nearly all peers are silent.
	isolated bool
	// restarted is set while the whole system has just started.
	restarted bool
	// found is when the last new gate was heard.
	found   time.Time
	founder netip.AddrPort
	call    uint64
	calls   map[uint64]chan pollenlink.Answer
	// pending holds the last packet of each flow that is searched.
	pending map[pollenpacket.Flow]pending
	// held holds the last opening packet of each flow that cannot be placed yet.
	held map[pollenpacket.Flow]pending
}

// NewBalancer returns a new Balancer that works with the parts.
func NewBalancer(now time.Time, s Settings, parts Dependencies) *Balancer {
	self := pollenpeer.Peer{Role: pollenpeer.RoleBalancer, Disk: s.DataFolder != "", FirstStart: s.FirstStart}
	b := &Balancer{
		base:  newBase(now, s, self, parts),
		steer: pollensteer.New(pollensteer.Config{Domain: s.Domain, StartTime: now, Seed: parts.Seed, Policy: parts.Policy, LinkRate: s.LinkRate}),
		calls: map[uint64]chan pollenlink.Answer{}, pending: map[pollenpacket.Flow]pending{},
		held: map[pollenpacket.Flow]pending{},
	}
	if s.DataFolder != "" {
		b.control = newControl(b, parts)
	}
	return b
}

func (b *Balancer) gauges() map[string]pollenmetric.Gauge {
	read := func(value func() int64) pollenmetric.Gauge {
		return func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return value()
		}
	}
	return map[string]pollenmetric.Gauge{
		"revision": read(func() int64 { return int64(b.view.Revision()) }),
		"flows":    read(func() int64 { return int64(b.steer.CachedFlows()) }),
		"left":     func() int64 { return b.record.Dropped() },
	}
}

// Ready reports whether callers' packets should be sent here.
func (b *Balancer) Ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.Self().Leaving || b.view.View().Declared.Version == 0 {
		return false
	}
	isolated := b.table.Isolated(now)
	if isolated != b.isolated {
		b.isolated = isolated
		b.record.Info("isolation changed", pollenrecord.Fields{"isolated": isolated, "peers": len(b.table.All())})
	}
	if isolated {
		return false
	}
	settled := b.steer.GateCount() > 0 && now.Sub(b.found) >= quietTime
	return settled || now.Sub(b.began) >= aloneAfter
}

// Leader returns the address of the leading control host, or an invalid one.
func (b *Balancer) Leader() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leader
}

// HandleCallerPacket steers one packet, which lies from pollenlink.HeaderSize on.
func (b *Balancer) HandleCallerPacket(now time.Time, datagram []byte) {
	p, ok := b.settings.Format.ParseFromCaller(datagram[pollenlink.HeaderSize:])
	if !ok || p.Returned {
		b.malformed(now, netip.AddrPort{}, len(datagram)-pollenlink.HeaderSize, "caller's packet")
		return
	}
	b.metrics.CountEvent(pollenmetric.EventPacketIn, 1)
	b.mu.Lock()
	d := b.steer.Steer(now, &p)
	revision := b.steer.Revision()
	b.mu.Unlock()
	b.carryOut(now, &p, &d, pollenlink.Header{Revision: revision}, datagram)
}

// HandlePacket implements pollenlink.Handler.
func (b *Balancer) HandlePacket(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	if f, ok := pollenlink.ReadFlow(datagram[pollenlink.HeaderSize:]); ok && pollenlink.IsFlowOnly(datagram) {
		b.takeFlow(now, from, h, f, datagram)
		return
	}
	p, ok := b.settings.Format.ParseFromCaller(datagram[pollenlink.HeaderSize:])
	if !ok || (h.Kind != pollenlink.KindDeclined && h.Kind != pollenlink.KindNotFound) {
		b.malformed(now, from, len(datagram), string(h.Kind))
		return
	}
	if h.Kind == pollenlink.KindNotFound {
		b.mu.Lock()
		d := b.steer.HandleNotFound(now, from, &p)
		h.Revision = b.steer.Revision()
		b.mu.Unlock()
		b.carryOut(now, &p, &d, h, datagram)
		return
	}
	if h.Reason != pollenkernel.RefusalNone {
		b.metrics.CountRefusal(h.Reason)
	}
	h.Hops++
	b.mu.Lock()
	d := b.steer.HandleDeclined(now, from, h, &p)
	h.Revision = b.steer.Revision()
	b.mu.Unlock()
	b.carryOut(now, &p, &d, h, datagram)
}

// HandleMessage implements pollenlink.Handler.
func (b *Balancer) HandleMessage(now time.Time, from netip.AddrPort, kind pollenlink.Kind, message []byte) {
	switch kind {
	case pollenlink.KindHeartbeat:
		if beat, ok := take(now, b.base, from, kind, message, pollenwire.MapPeerHeartbeat); ok {
			b.hear(now, &beat)
		}
	case pollenlink.KindUpdate:
		if u, ok := take(now, b.base, from, kind, message, pollenwire.MapUpdate); ok {
			b.mu.Lock()
			b.moveForward(now, u, from)
			b.mu.Unlock()
		}
	case pollenlink.KindLog:
		if m, ok := take(now, b.base, from, kind, message, pollenwire.MapMessage); ok && b.control != nil {
			b.control.postMessage(now, pollencontrol.LogMessage{Message: m})
		}
	case pollenlink.KindJoin:
		if j, ok := take(now, b.base, from, kind, message, pollenwire.MapJoin); ok && b.control != nil {
			b.control.postMessage(now, j)
		}
	case pollenlink.KindCall:
		if call, ok := take(now, b.base, from, kind, message, pollenwire.MapCall); ok {
			b.answer(now, call, func(a pollenlink.Answer) {
				b.outlet.SendMessage(pollenlink.KindAnswer, pollenwire.Marshal(&a, pollenwire.MapCallAnswer), from)
			})
		}
	case pollenlink.KindAnswer:
		if a, ok := take(now, b.base, from, kind, message, pollenwire.MapCallAnswer); ok {
			b.mu.Lock()
			waiting := b.calls[a.ID]
			delete(b.calls, a.ID)
			b.mu.Unlock()
			if waiting != nil {
				waiting <- a
			}
		}
	default:
		b.malformed(now, from, len(message), string(kind))
	}
	b.release(now)
}

// hear takes a beat, and answers it when the peer waits for an answer or lacks
// something.
func (b *Balancer) hear(now time.Time, beat *pollenpeer.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.table.Receive(now, beat)
	b.logPeer(now, change, &beat.Peer)
	if beat.BootstrapHost.IsValid() && len(b.settings.Seeds) > 0 && beat.Peer.Address == b.settings.Seeds[0] {
		b.founder = beat.BootstrapHost
	}
	if (b.control == nil || !b.leader.IsValid()) && beat.Peer.Disk && beat.Leader.IsValid() && beat.Leader != b.leader {
		b.leader = beat.Leader
		b.record.Info("leading control host", pollenrecord.Fields{"leader": b.leader, "told": beat.Peer.Address})
	}
	if beat.Peer.Role == pollenpeer.RoleGate {
		b.steer.SetGate(now, &beat.Peer)
		if change == pollenpeer.ChangeNew {
			b.found = now
		}
	}
	if change == pollenpeer.ChangeNew || (beat.Peer.Role == pollenpeer.RoleGate && b.table.ReplyDue(now, beat.Peer.Address)) {
		b.table.MarkSent(now, beat.Peer.Address)
		own := b.ownBeat(now)
		if change == pollenpeer.ChangeNew && beat.Peer.Role == pollenpeer.RoleBalancer {
			own.Gates = b.table.FreshGates(now)
		}
		b.sendBeat(&own, beat.Peer.Address)
	}
	b.catchUp(now, &beat.Peer)
}

// ownBeat returns the next beat. The lock is held.
func (b *Balancer) ownBeat(now time.Time) pollenpeer.Heartbeat {
	b.table.Self().Uptime = now.Sub(b.began)
	beat := b.table.NextHeartbeat(now)
	beat.Leader = b.leader
	beat.BootstrapHost = b.founder
	return beat
}

// ControlTickInterval is the time between two calls of TickControl.
const ControlTickInterval = controlTick

// TickControl does what is due at this host's replica of the log, where Direct
// is set.
func (b *Balancer) TickControl(now time.Time) {
	if b.control != nil && b.control.direct {
		b.control.tick(now)
	}
}

// setLeader records what this host's replica knows of the leader.
func (b *Balancer) setLeader(leader netip.AddrPort, role pollenlog.Role, term pollenlog.Term) {
	b.mu.Lock()
	b.leader = leader
	b.mu.Unlock()
	b.record.Info("leading control host", pollenrecord.Fields{"leader": leader, "role": role, "term": term})
}

// committed takes what this host's replica has committed. A leader tells the
// other balancers at once.
func (b *Balancer) committed(now time.Time, leads bool, since func(pollenview.Revision) pollenview.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := since(b.view.Revision())
	if u.Empty() || !b.moveForward(now, u, b.settings.Node) || !leads {
		return
	}
	b.pushTo(now, func(p *pollenpeer.Peer) bool { return p.Role == pollenpeer.RoleBalancer })
}

// pushTo sends the peers that are meant what they lack, also those that were
// just sent something. The lock is held.
func (b *Balancer) pushTo(now time.Time, meant func(p *pollenpeer.Peer) bool) {
	var peers []pollenpeer.Peer
	for _, k := range b.table.All() {
		if meant(&k.Peer) {
			delete(b.updated, k.Peer.Address)
			peers = append(peers, k.Peer)
		}
	}
	b.sendUpdates(now, peers...)
}

// moveForward takes an update and passes it on to the gates that this balancer
// is nearest to. The lock is held.
func (b *Balancer) moveForward(now time.Time, u pollenview.Update, from netip.AddrPort) bool {
	if !b.accept(u, from) {
		return false
	}
	b.steer.SetView(b.view.View())
	b.pushTo(now, func(p *pollenpeer.Peer) bool {
		return p.Role == pollenpeer.RoleGate && b.table.IsNearest(p.Address, nearestAtChange)
	})
	return true
}

func (b *Balancer) sendLog(to netip.AddrPort, m *pollenlog.Message) {
	b.outlet.SendMessage(pollenlink.KindLog, pollenwire.Marshal(m, pollenwire.MapMessage), to)
}

// sendJoin asks every host with a disk to be taken in.
func (b *Balancer) sendJoin(j pollencontrol.Join) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var disks []netip.AddrPort
	for _, a := range b.table.Balancers() {
		if k, ok := b.table.Get(a); ok && k.Peer.Disk {
			disks = append(disks, a)
		}
	}
	b.outlet.SendMessage(pollenlink.KindJoin, pollenwire.Marshal(&j, pollenwire.MapJoin), disks...)
}

// Leave turns unready and hands leadership over. The program serves on until
// the fabric has noticed.
func (b *Balancer) Leave(now time.Time) {
	b.mu.Lock()
	b.table.Self().Leaving = true
	own := b.ownBeat(now)
	var all []netip.AddrPort
	for _, k := range b.table.All() {
		all = append(all, k.Peer.Address)
	}
	b.sendBeat(&own, all...)
	b.mu.Unlock()
	if b.control != nil {
		b.control.postMessage(now, pollencontrol.TransferLeadership{})
	}
}
