package pollennode

import (
	"net/netip"
	"slices"
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
	// bootstrapDelay is how long the first seed waits for the other hosts of a new
	// system before it chooses the bootstrap host; they all start within 0.3 s.
	bootstrapDelay = 700 * time.Millisecond
	// unreadyServeTime is how long a stopping balancer still serves after it
	// reports that it is not ready: until two readiness probes of the network
	// fabric have failed, which arrive twice a second.
	unreadyServeTime = 1700 * time.Millisecond
	// gateQuietPeriod is the time without a heartbeat of a new gate after which a
	// balancer that has just started knows enough gates: slightly more than two
	// round trips between the most distant hosts.
	gateQuietPeriod = 50 * time.Millisecond
	// discoveryTime is the uptime up to which a balancer contacts peers that it learns
	// of at once.
	discoveryTime = 2 * time.Second
	// noGateTimeout is how long after its start a balancer reports that it is
	// ready even if it knows no gate, or new ones still arrive.
	noGateTimeout = 2 * time.Second
	// missingGateTimeout is how long after its start a balancer reports that it is
	// ready even if it may lack gates whose flows callers send on.
	missingGateTimeout = 4 * time.Second
)

// A Balancer is the program that receives callers' packets and passes each to a
// gate. Its methods are safe for concurrent use unless Dependencies.Synchronous
// is set.
type Balancer struct {
	*base
	// control and keeper are nil on a balancer without a data folder.
	control *control
	keeper  *keeper

	// The fields below are guarded by base.mu.
	steer      *pollensteer.Balancer
	leadership pollenpeer.Leadership
	// loggedLeader is the leader in the last log line about a change of it.
	loggedLeader netip.AddrPort
	// isolated is set while nearly all peers are silent.
	isolated bool
	// restarted is set while the whole system has just started.
	restarted bool
	// lastNewGate is when the first heartbeat of the newest gate was received.
	lastNewGate time.Time
	// bootstrapHost is the control host that bootstraps a new system; it is invalid
	// until the first seed has chosen it.
	bootstrapHost netip.AddrPort
	// lastCallID is the ID of the last call. The upper half identifies the run of the
	// process, so that answers to calls of an earlier one match none.
	lastCallID uint64
	// gatesKnown is set once this process knows enough gates to serve callers, and
	// unsure while it has not known for long whether it lacks some.
	gatesKnown, unsure bool
	// calls holds the channel for the answer to each open call, by the call's ID.
	calls map[uint64]chan pollenlink.Answer
	// searchBuffer holds the last packet of each flow whose holder is searched.
	searchBuffer map[pollenpacket.Flow]bufferedPacket
	// batches holds the sent datagrams of queries by their number; lastBatch is the last.
	batches   map[uint32]batch
	lastBatch uint32
	// openingBuffer holds the last opening packet of each flow that cannot be
	// placed yet.
	openingBuffer map[pollenpacket.Flow]bufferedPacket
	shaper        linkShaper
}

// NewBalancer returns a new Balancer that started at now. It runs a replica of the
// log if the settings name a data folder.
func NewBalancer(now time.Time, s Settings, deps Dependencies) *Balancer {
	self := pollenpeer.Peer{Role: pollenpeer.RoleBalancer, Disk: s.DataFolder != "", FirstStart: s.FirstStart, LinkRate: int64(s.LinkRate / bitsPerKilobit)}
	b := &Balancer{
		base:  newBase(now, s, self, deps),
		steer: pollensteer.New(pollensteer.Config{Domain: s.Domain, StartTime: now, Seed: deps.Seed, Policy: deps.Policy, LinkRate: s.LinkRate}),
		calls: map[uint64]chan pollenlink.Answer{}, searchBuffer: map[pollenpacket.Flow]bufferedPacket{},
		openingBuffer: map[pollenpacket.Flow]bufferedPacket{}, batches: map[uint32]batch{}, lastCallID: deps.Seed << 32,
		// Answers to batches of an earlier run of the process must match none.
		lastBatch: uint32(deps.Seed),
	}
	b.shaper.transport, _ = deps.Transport.(Shaper)
	if s.DataFolder != "" {
		b.control = newControl(b, deps)
		b.keeper = newKeeper(b, deps)
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
		"left":     func() int64 { return b.log.Dropped() },
	}
}

// Ready reports whether callers' packets should be sent to this balancer. It must
// have a view, have known the gates once, and not be leaving or isolated.
func (b *Balancer) Ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table.Self().Leaving || b.view.View().Declared.Version == 0 {
		return false
	}
	isolated := b.table.Isolated(now)
	if isolated != b.isolated {
		b.isolated = isolated
		b.log.Info("isolation changed", pollenrecord.Fields{"isolated": isolated, "peers": len(b.table.All())})
	}
	if isolated {
		return false
	}
	b.gatesKnown = b.gatesKnown || b.knowsGates(now)
	return b.gatesKnown
}

// knowsGates reports whether this process knows enough gates to serve callers, or has
// waited long enough for them. mu must be held.
func (b *Balancer) knowsGates(now time.Time) bool {
	age := now.Sub(b.startTime)
	if b.steer.GateCount() == 0 {
		return age >= noGateTimeout
	}
	quiet := now.Sub(b.lastNewGate) >= gateQuietPeriod || age >= noGateTimeout
	// Where heartbeats are not relayed, each gate sends its own; a gate that is silent
	// takes no new callers anyway.
	return quiet && (b.restarted || !b.table.Relayed() || b.table.Complete(now)) || age >= missingGateTimeout
}

// Leader returns the address of the leading control host, or an invalid one if none
// is known at the time now.
func (b *Balancer) Leader(now time.Time) netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leadership.Current(now)
}

// HandleCallerPacket steers one packet of a caller, which begins at offset
// pollenlink.HeaderSize of the datagram.
func (b *Balancer) HandleCallerPacket(now time.Time, datagram []byte) {
	p, ok := b.settings.Format.ParseFromCaller(datagram[pollenlink.HeaderSize:])
	if !ok || p.Returned {
		b.countMalformed(now, netip.AddrPort{}, len(datagram)-pollenlink.HeaderSize, "caller's packet")
		return
	}
	b.metrics.CountEvent(pollenmetric.EventPacketIn, 1)
	b.mu.Lock()
	if p.Opening() {
		b.updateQueued()
	}
	d := b.steer.Steer(now, &p)
	revision := b.steer.Revision()
	var probed []netip.AddrPort
	if d.Verdict != pollensteer.VerdictPass {
		probed = b.steer.TakeProbes(now, p.Flow)
		searched := d.Reason == pollenkernel.RefusalUnknownFlow || d.Reason == pollenkernel.RefusalSearchLimit
		if d.Verdict == pollensteer.VerdictDrop && searched && !p.Opening() {
			b.bufferSearched(now, &p, datagram)
		}
	}
	b.mu.Unlock()
	b.execute(now, &p, &d, pollenlink.Header{Revision: revision}, datagram)
	b.sendProbes(probed, revision, datagram)
}

// HandlePacket implements pollenlink.Handler.
func (b *Balancer) HandlePacket(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	if h.Kind == pollenlink.KindAnswers {
		b.handleAnswers(now, from, h, datagram)
		return
	}
	if f, ok := pollenlink.ReadFlow(datagram[pollenlink.HeaderSize:]); ok && pollenlink.IsFlowOnly(datagram) {
		b.handleFlowNotice(now, from, h, f, datagram)
		return
	}
	p, ok := b.settings.Format.ParseFromCaller(datagram[pollenlink.HeaderSize:])
	if !ok || (h.Kind != pollenlink.KindDeclined && h.Kind != pollenlink.KindNotFound) {
		b.countMalformed(now, from, len(datagram), string(h.Kind))
		return
	}
	if h.Kind == pollenlink.KindNotFound {
		b.mu.Lock()
		d := b.steer.HandleNotFound(now, from, &p)
		probed := b.steer.TakeProbes(now, p.Flow)
		h.Revision = b.steer.Revision()
		b.mu.Unlock()
		b.execute(now, &p, &d, h, datagram)
		b.sendProbes(probed, h.Revision, datagram)
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
	b.execute(now, &p, &d, h, datagram)
}

// HandleMessage implements pollenlink.Handler.
func (b *Balancer) HandleMessage(now time.Time, from netip.AddrPort, kind pollenlink.Kind, message []byte) {
	switch kind {
	case pollenlink.KindHeartbeat:
		if heartbeat, ok := decode(now, b.base, from, kind, message, pollenwire.MapPeerHeartbeat); ok {
			b.handleHeartbeat(now, &heartbeat)
		}
	case pollenlink.KindUpdate:
		if u, ok := decode(now, b.base, from, kind, message, pollenwire.MapUpdate); ok {
			b.mu.Lock()
			b.applyAndForward(now, u, from)
			b.mu.Unlock()
		}
	case pollenlink.KindLog:
		if m, ok := decode(now, b.base, from, kind, message, pollenwire.MapMessage); ok && b.control != nil {
			b.control.postMessage(now, pollencontrol.LogMessage{Message: m})
		}
	case pollenlink.KindJoin:
		if j, ok := decode(now, b.base, from, kind, message, pollenwire.MapJoin); ok && b.control != nil {
			b.control.postMessage(now, j)
		}
	case pollenlink.KindCall:
		if call, ok := decode(now, b.base, from, kind, message, pollenwire.MapCall); ok {
			b.handleCall(now, call, func(a pollenlink.Answer) {
				b.transport.SendMessage(pollenlink.KindAnswer, pollenwire.Marshal(&a, pollenwire.MapCallAnswer), from)
			})
		}
	case pollenlink.KindAnswer:
		if a, ok := decode(now, b.base, from, kind, message, pollenwire.MapCallAnswer); ok {
			b.mu.Lock()
			answers := b.calls[a.ID]
			delete(b.calls, a.ID)
			b.mu.Unlock()
			if answers != nil {
				answers <- a
			}
		}
	case pollenlink.KindCheckpoint, pollenlink.KindRestore:
		b.handleKeeperMessage(now, from, kind, message)
	default:
		b.countMalformed(now, from, len(message), string(kind))
	}
	b.releaseBuffered(now)
}

// ControlTickInterval is the interval at which TickControl must be called.
const ControlTickInterval = controlTickInterval

// TickControl runs the due work of this host's replica of the log and of its keeper of
// checkpoints. It does nothing unless Dependencies.Synchronous is set.
func (b *Balancer) TickControl(now time.Time) {
	if b.control != nil && b.control.synchronous {
		b.control.tick(now)
		b.keeper.tickSynchronous(now)
	}
}

// applyCommitted applies what this host's replica has committed. leads is set on
// the leader, which sends the update to the other balancers at once. since
// returns the update from the given revision.
func (b *Balancer) applyCommitted(now time.Time, leads bool, since func(pollenview.Revision) pollenview.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := since(b.view.Revision())
	if u.Empty() || !b.applyAndForward(now, u, b.settings.Node) || !leads {
		return
	}
	relays := b.table.Relays()
	b.pushUpdates(now, func(p *pollenpeer.Peer) bool {
		return p.Role == pollenpeer.RoleBalancer && (!b.table.Relayed() || slices.Contains(relays, p.Address))
	})
}

// pushUpdates sends the selected peers the updates that they lack, without regard
// to catchUpInterval. mu must be held.
func (b *Balancer) pushUpdates(now time.Time, selected func(p *pollenpeer.Peer) bool) {
	var peers []pollenpeer.Peer
	for _, e := range b.table.All() {
		if selected(&e.Peer) {
			delete(b.lastUpdate, e.Peer.Address)
			peers = append(peers, e.Peer)
		}
	}
	b.sendUpdates(now, peers...)
}

// applyAndForward applies an update and forwards it to the gates that this balancer
// is nearest to and, as the first relay of a failure domain, to the balancers that
// report to it. It reports whether the view changed. mu must be held.
func (b *Balancer) applyAndForward(now time.Time, u pollenview.Update, from netip.AddrPort) bool {
	if !b.applyUpdate(u, from) {
		return false
	}
	b.steer.SetView(b.view.View())
	b.updateShaping()
	var subscribers []netip.AddrPort
	if _, first := b.table.IsRelay(b.settings.Domain); first {
		for _, e := range b.table.Subscribers(now) {
			subscribers = append(subscribers, e.Peer.Address)
		}
	}
	b.pushUpdates(now, func(p *pollenpeer.Peer) bool {
		if p.Role == pollenpeer.RoleGate {
			return b.table.IsNearest(p.Address, nearestAtChange)
		}
		_, found := slices.BinarySearchFunc(subscribers, p.Address, netip.AddrPort.Compare)
		return found
	})
	return true
}

func (b *Balancer) sendLog(to netip.AddrPort, m *pollenlog.Message) {
	b.transport.SendMessage(pollenlink.KindLog, pollenwire.Marshal(m, pollenwire.MapMessage), to)
}

// sendJoin sends every known host with a disk the request to add this host's
// replica to the replicas of the log.
func (b *Balancer) sendJoin(j pollencontrol.Join) {
	b.transport.SendMessage(pollenlink.KindJoin, pollenwire.Marshal(&j, pollenwire.MapJoin), b.otherReplicas()...)
}

// disks returns the known balancers with a disk, sorted. mu must be held.
func (b *Balancer) disks() []netip.AddrPort {
	var disks []netip.AddrPort
	for _, a := range b.table.Balancers() {
		if e, ok := b.table.Get(a); ok && e.Peer.Disk {
			disks = append(disks, a)
		}
	}
	return disks
}

// Leave makes the balancer report that it is not ready and transfers leadership.
// The program must continue to serve until the network fabric sends it no more
// packets.
func (b *Balancer) Leave(now time.Time) {
	b.mu.Lock()
	b.table.Self().Leaving = true
	own := b.ownHeartbeat(now)
	told := b.table.ReportTargets(now)
	for _, e := range b.table.All() {
		if !b.table.Relayed() || now.Sub(e.ReportedAt) < pollenpeer.FreshAge {
			told = append(told, e.Peer.Address)
		}
	}
	slices.SortFunc(told, netip.AddrPort.Compare)
	b.sendHeartbeat(&own, slices.Compact(told)...)
	b.mu.Unlock()
	if b.control != nil {
		b.control.postMessage(now, pollencontrol.TransferLeadership{})
	}
}
