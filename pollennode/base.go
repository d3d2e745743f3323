package pollennode

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenstore"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// A base is the state that both programs share.
type base struct {
	settings  Settings
	log       *pollenrecord.Logger
	metrics   *pollenmetric.Set
	transport Transport
	startTime time.Time

	// mu guards the fields below and the decisions of the program.
	mu    sync.Mutex
	table *pollenpeer.Table
	view  *pollenview.Replica
	// lastUpdate holds when each peer was last sent an update.
	lastUpdate map[netip.AddrPort]time.Time
	// behindSince holds since when each peer is known to have an older view.
	behindSince map[netip.AddrPort]time.Time
}

func newBase(now time.Time, s Settings, self pollenpeer.Peer, deps Dependencies) *base {
	self.Address, self.Domain = s.Node, s.Domain
	// Four bytes are enough to tell the runs of one process apart.
	self.Incarnation = uint64(uint32(deps.Seed) | 1)
	return &base{
		settings: s, startTime: now, log: deps.Log, metrics: deps.Metrics, transport: deps.Transport,
		table: pollenpeer.NewTable(self, s.Domains, s.Seeds),
		view:  pollenview.NewReplica(pollenview.NewView()), lastUpdate: map[netip.AddrPort]time.Time{},
		behindSince: map[netip.AddrPort]time.Time{},
	}
}

// Dependencies are the components that a program uses. A process provides its
// sockets and its disk, and an emulation a network and disks in memory.
type Dependencies struct {
	Transport Transport
	Metrics   *pollenmetric.Set
	Log       *pollenrecord.Logger
	// Files holds the data folder; only balancers with a data folder use it.
	Files pollenstore.FileSystem
	// Seed is drawn at random at each start. It identifies the incarnation of the
	// process, and random choices are reproducible for the same seed.
	Seed uint64
	// Policy is the policy that chooses the gates of new flows; empty means the
	// default.
	Policy pollensteer.PolicyName
	// Synchronous runs the replica of the log within the calls of the program
	// instead of in a goroutine; TickControl must then be called at every
	// ControlTickInterval.
	Synchronous bool
}

// SetSeeds replaces the seeds after the settings have changed.
func (b *base) SetSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	b.table.SetSeeds(seeds)
	b.mu.Unlock()
	b.log.Info("settings reloaded", pollenrecord.Fields{"seeds": seeds})
}

// Logger returns the logger of the process.
func (b *base) Logger() *pollenrecord.Logger { return b.log }

// decode decodes a message. A malformed message is counted and logged, and ok is
// false.
func decode[T any](now time.Time, b *base, from netip.AddrPort, kind pollenlink.Kind, message []byte, mapping func(*pollenwire.Codec, *T)) (value T, ok bool) {
	if err := pollenwire.Unmarshal(message, &value, mapping); err != nil {
		b.countMalformed(now, from, len(message), string(kind))
		return value, false
	}
	return value, true
}

// countMalformed counts and logs a datagram or message that this process cannot
// decode or does not accept.
func (b *base) countMalformed(now time.Time, from netip.AddrPort, size int, what string) {
	b.metrics.CountRefusal(pollenkernel.RefusalMalformed)
	if b.log.AllowDecision(now) {
		b.log.Decision("malformed datagram ignored", pollenrecord.Fields{"from": from, "size": size, "what": what})
	}
}

// HandleMalformed implements pollenlink.Handler.
func (b *base) HandleMalformed(now time.Time, from netip.AddrPort, size int, reason string) {
	b.countMalformed(now, from, size, reason)
}

// HandleIncomplete implements pollenlink.Handler.
func (b *base) HandleIncomplete(now time.Time, from netip.AddrPort, m pollenlink.Incomplete) {
	b.metrics.CountEvent(pollenmetric.EventMessageIncomplete, 1)
	if b.log.AllowDecision(now) {
		b.log.Decision("incomplete message dropped", pollenrecord.Fields{
			"from": from, "kind": m.Kind, "received": m.Received, "fragments": m.Fragments,
		})
	}
}

// sendHeartbeat sends a heartbeat of this process to the addresses. mu must be
// held.
func (b *base) sendHeartbeat(heartbeat *pollenpeer.Heartbeat, to ...netip.AddrPort) {
	b.transport.SendMessage(pollenlink.KindHeartbeat, pollenwire.Marshal(heartbeat, pollenwire.MapPeerHeartbeat), to...)
}

// sendUpdates sends peers the updates that their views lack, except to those that
// were sent one less than catchUpInterval ago. The message for peers at the same
// revision is encoded once. mu must be held.
func (b *base) sendUpdates(now time.Time, peers ...pollenpeer.Peer) {
	behind := map[pollenview.Revision][]netip.AddrPort{}
	for _, p := range peers {
		if p.Revision < b.view.Revision() && now.Sub(b.lastUpdate[p.Address]) >= catchUpInterval {
			b.lastUpdate[p.Address] = now
			behind[p.Revision] = append(behind[p.Revision], p.Address)
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(behind)) {
		update := b.view.UpdateSince(revision)
		b.transport.SendMessage(pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate), behind[revision]...)
	}
}

// catchUp sends a peer the update that it lacks according to its heartbeat. The
// balancers nearest to the peer send it at once and all others only after
// laggingTimeout: if every balancer sent it at once, the links would fill up with
// duplicates. mu must be held.
func (b *base) catchUp(now time.Time, p *pollenpeer.Peer) {
	if p.Revision >= b.view.Revision() {
		delete(b.behindSince, p.Address)
		return
	}
	since, known := b.behindSince[p.Address]
	if !known {
		since = now
		b.behindSince[p.Address] = now
	}
	near := b.table.IsNearest(p.Address, nearestAtChange)
	if p.Revision == 0 {
		relay, _ := b.table.IsRelay(p.Domain)
		near = relay || b.table.IsNearestHolder(p.Address, nearestAtStart)
	}
	if near || (now.Sub(since) >= laggingTimeout && now.Sub(b.lastUpdate[p.Address]) >= laggingTimeout) {
		b.sendUpdates(now, *p)
	}
}

// applyUpdate applies an update to the view and reports whether the view changed.
// mu must be held.
func (b *base) applyUpdate(u pollenview.Update, from netip.AddrPort) bool {
	before := b.view.View().Declared.Version
	evacuated := b.view.View().Evacuated
	previous := b.view.Revision()
	if !b.view.ApplyUpdate(u) {
		return false
	}
	v := b.view.View()
	b.table.Self().Revision = v.Revision
	b.metrics.CountEvent(pollenmetric.EventViewChanged, 1)
	if v.Declared.Version != before || len(evacuated) != len(v.Evacuated) {
		b.log.Info("view updated", pollenrecord.Fields{
			"from": from, "had": previous, "revision": v.Revision, "document": v.Declared.Summary(), "emptied": v.Evacuated,
		})
	}
	return true
}

// logPeerChange logs that a peer is new, has restarted or changed its state.
func (b *base) logPeerChange(now time.Time, change pollenpeer.Change, p *pollenpeer.Peer) {
	if change == pollenpeer.ChangeNone || !b.log.AllowDecision(now) {
		return
	}
	b.log.Info("peer changed: "+string(change), peerFields(p))
}

func peerFields(p *pollenpeer.Peer) logrus.Fields {
	f := logrus.Fields{
		"peer": p.Address, "role": p.Role, "domain": p.Domain, "incarnation": p.Incarnation,
		"sequence": p.Sequence, "revision": p.Revision, "leaving": p.Leaving,
	}
	if p.Role == pollenpeer.RoleGate {
		f["service"], f["state"], f["cold"], f["running"] = p.Server.Service, p.Server.State, p.Server.Cold, p.Server.Running
	}
	return f
}

// sendReset sends the caller of the packet's flow a reset of the flow.
func (b *base) sendReset(p *pollenpacket.Packet) {
	reset := b.settings.Format.AppendReset(make([]byte, 0, pollenlink.BufferSize/8), p)
	b.transport.SendToCaller(netip.AddrPortFrom(p.Flow.Caller.Addr(), b.settings.CallerPort), reset)
}
