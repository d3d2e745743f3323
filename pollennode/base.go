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

// A base is what both programs share.
type base struct {
	settings Settings
	record   *pollenrecord.Logger
	metrics  *pollenmetric.Set
	outlet   Transport
	began    time.Time

	// mu guards the fields below and the decisions of the program.
	mu    sync.Mutex
	table *pollenpeer.Table
	view  *pollenview.Replica
	// updated holds when each peer was last sent an update.
	updated map[netip.AddrPort]time.Time
	// behind holds since when each peer has been seen to lack something.
	behind map[netip.AddrPort]time.Time
}

func newBase(now time.Time, s Settings, self pollenpeer.Peer, parts Dependencies) *base {
	self.Address, self.Domain = s.Node, s.Domain
	self.Incarnation = parts.Seed | 1
	return &base{
		settings: s, began: now, record: parts.Log, metrics: parts.Metrics, outlet: parts.Transport,
		table: pollenpeer.NewTable(self, s.Seeds),
		view:  pollenview.NewReplica(pollenview.NewView()), updated: map[netip.AddrPort]time.Time{},
		behind: map[netip.AddrPort]time.Time{},
	}
}

// Dependencies are what a program works with. A process gives sockets and its disk;
// an emulation gives a network and disks in memory.
type Dependencies struct {
	Transport Transport
	Metrics   *pollenmetric.Set
	Log       *pollenrecord.Logger
	Files     pollenstore.FileSystem
	// Seed is drawn at each start; it makes choices repeatable.
	Seed uint64
	// Policy chooses the gates of new flows; empty means the default.
	Policy pollensteer.PolicyName
	// Synchronous lets the replica of the log act within the calls of the program, in
	// place of a goroutine; TickControl must then be called.
	Synchronous bool
}

// SetSeeds replaces the seeds, after the settings have changed.
func (b *base) SetSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	b.table.SetSeeds(seeds)
	b.mu.Unlock()
	b.record.Info("settings reloaded", pollenrecord.Fields{"seeds": seeds})
}

// Logger returns the log of the process.
func (b *base) Logger() *pollenrecord.Logger { return b.record }

// take decodes a message, or counts and logs that it is malformed.
func take[T any](now time.Time, b *base, from netip.AddrPort, kind pollenlink.Kind, message []byte, mapping func(*pollenwire.Codec, *T)) (value T, ok bool) {
	if err := pollenwire.Unmarshal(message, &value, mapping); err != nil {
		b.malformed(now, from, len(message), string(kind))
		return value, false
	}
	return value, true
}

// malformed counts bytes that are nothing that this process takes.
func (b *base) malformed(now time.Time, from netip.AddrPort, size int, what string) {
	b.metrics.CountRefusal(pollenkernel.RefusalMalformed)
	if b.record.AllowDecision(now) {
		b.record.Decision("malformed datagram ignored", pollenrecord.Fields{"from": from, "size": size, "what": what})
	}
}

// HandleMalformed implements pollenlink.Handler.
func (b *base) HandleMalformed(now time.Time, from netip.AddrPort, size int, what string) {
	b.malformed(now, from, size, what)
}

// sendBeat sends this process's beat. The lock is held.
func (b *base) sendBeat(beat *pollenpeer.Heartbeat, to ...netip.AddrPort) {
	b.outlet.SendMessage(pollenlink.KindHeartbeat, pollenwire.Marshal(beat, pollenwire.MapPeerHeartbeat), to...)
}

// sendUpdates brings peers' views forward, except those that were just sent an
// update. Peers at the same revision are sent the same message, which is made
// once. The lock is held.
func (b *base) sendUpdates(now time.Time, peers ...pollenpeer.Peer) {
	behind := map[pollenview.Revision][]netip.AddrPort{}
	for _, p := range peers {
		if p.Revision < b.view.Revision() && now.Sub(b.updated[p.Address]) >= catchUpInterval {
			b.updated[p.Address] = now
			behind[p.Revision] = append(behind[p.Revision], p.Address)
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(behind)) {
		update := b.view.UpdateSince(revision)
		b.outlet.SendMessage(pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate), behind[revision]...)
	}
}

// catchUp brings a peer forward whose beat shows that it lacks something. What
// it has just begun to lack is on its way from the balancer nearest to it; if
// every balancer sent it, their links would be full of copies.
func (b *base) catchUp(now time.Time, p *pollenpeer.Peer) {
	if p.Revision >= b.view.Revision() {
		delete(b.behind, p.Address)
		return
	}
	since, known := b.behind[p.Address]
	if !known {
		since = now
		b.behind[p.Address] = now
	}
	near := nearestAtChange
	if p.Revision == 0 {
		near = nearestAtStart
	}
	if b.table.IsNearest(p.Address, near) || (now.Sub(since) >= laggardAfter && now.Sub(b.updated[p.Address]) >= laggardAfter) {
		b.sendUpdates(now, *p)
	}
}

// accept folds an update into the view and reports whether it moved. The lock
// is held.
func (b *base) accept(u pollenview.Update, from netip.AddrPort) bool {
	before := b.view.View().Declared.Version
	emptied := b.view.View().Evacuated
	had := b.view.Revision()
	if !b.view.ApplyUpdate(u) {
		return false
	}
	v := b.view.View()
	b.table.Self().Revision = v.Revision
	b.metrics.CountEvent(pollenmetric.EventViewChanged, 1)
	if v.Declared.Version != before || len(emptied) != len(v.Evacuated) {
		b.record.Info("view moved forward", pollenrecord.Fields{
			"from": from, "had": had, "revision": v.Revision, "document": v.Declared.Summary(), "emptied": v.Evacuated,
		})
	}
	return true
}

// logPeer tells that a peer was found, came back or changed its state.
func (b *base) logPeer(now time.Time, change pollenpeer.Change, p *pollenpeer.Peer) {
	if change == pollenpeer.ChangeNone || !b.record.AllowDecision(now) {
		return
	}
	b.record.Info("peer "+string(change), peerFields(p))
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

// reset ends a flow at its caller.
func (b *base) reset(p *pollenpacket.Packet) {
	reset := b.settings.Format.AppendReset(make([]byte, 0, pollenlink.BufferSize/8), p)
	b.outlet.SendToCaller(netip.AddrPortFrom(p.Flow.Caller.Addr(), b.settings.CallerPort), reset)
}
