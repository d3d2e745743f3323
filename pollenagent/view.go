package pollenagent

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// An Action is an output of Flows that the surrounding process must execute.
type Action interface{ action() }

// A SendRegistrations reports to a directory owner which flows this agent holds
// or no longer holds.
type SendRegistrations struct {
	To            netip.AddrPort
	Registrations []pollenflow.Registration
}

// A CloseFlow ends the delivery of a flow's packets.
type CloseFlow struct{ Record *Record }

// A SendLoad reports this agent's load to a peer.
type SendLoad struct {
	To   netip.AddrPort
	Load pollenflow.Load
}

// A SendBackup sends flow records to a backup peer.
type SendBackup struct {
	Peer   pollenview.MemberRef
	To     netip.AddrPort
	Backup Backup
}

func (SendRegistrations) action() {}
func (CloseFlow) action()         {}
func (SendLoad) action()          {}
func (SendBackup) action()        {}

// ChangeView applies a newer view and returns the resulting actions. The view
// is not copied: it may only be updated to a later revision, followed by
// another call of ChangeView.
func (f *Flows) ChangeView(now time.Time, view *pollenview.View) []Action {
	f.view = view
	service, _, known := view.Document.Service(f.config.Self.Service)
	f.serving = known && view.DomainTakesTraffic(f.config.Self.Domain)
	f.balancers = view.Balancers()
	if !f.serving {
		return f.closeAll(now)
	}
	f.delivery = service.Delivery
	f.idleTimeout = service.IdleTimeout
	f.config.Limiter.SetLimits(pollenadmission.Limits{
		Slots: service.Slots, Cold: service.ColdLimit, ConnectionLimit: service.ConnectionLimit, WarmUp: service.WarmUp,
	})
	f.agents = view.Agents(f.config.Self.Service)
	self, member := view.Members[f.config.Self.Name]
	f.draining = member && self.State == pollendocument.ServerDraining ||
		view.ServerSetting(f.config.Self.Name).State == pollendocument.ServerDraining
	owners := pollenflow.NewOwners(view, f.config.Self.Service)
	changed := f.owners == nil || !sameOwners(f.owners, owners)
	if changed && f.owners != nil {
		f.pastOwners = append([]replacedOwners{{owners: f.owners, replacedAt: now}}, f.pastOwners...)
		f.pastOwners = f.pastOwners[:min(len(f.pastOwners), f.config.MaxPastOwners)]
	}
	previous := f.owners
	f.owners = owners
	if !changed {
		return nil
	}
	return f.registerMovedFlows(now, previous)
}

// sameOwners reports whether both have the same members and assign each bucket
// to the same one.
func sameOwners(a, b *pollenflow.Owners) bool {
	return slices.Equal(a.Members(), b.Members()) && a.Equal(b)
}

// closeAll closes every flow, because the failure domain is out or the service
// is no longer declared.
func (f *Flows) closeAll(now time.Time) []Action {
	actions := make([]Action, 0, len(f.records))
	for _, r := range f.sortedRecords() {
		f.removeRecord(now, r, pollenadmission.SignalRestarted)
		actions = append(actions, CloseFlow{Record: r})
	}
	f.config.Limiter.Observe(now, pollenadmission.SignalRestarted)
	f.owners = nil
	f.pastOwners = nil
	return actions
}

// sortedRecords returns the records sorted by key, so that runs with the same
// seed are repeatable.
func (f *Flows) sortedRecords() []*Record {
	records := make([]*Record, 0, len(f.records))
	for _, r := range f.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *Record) int { return a.Key.Compare(b.Key) })
	return records
}

// registerMovedFlows registers the flows whose directory owner has changed with
// their new owners.
func (f *Flows) registerMovedFlows(now time.Time, previous *pollenflow.Owners) []Action {
	return f.register(now, func(r *Record, owner *pollenview.Member) bool {
		old, ok := previous.Owner(pollenflow.BucketOf(f.service, r.Key))
		return !ok || old.Name != owner.Name || old.Incarnation != owner.Incarnation
	})
}

// maxRegistrations is the maximum number of registrations per datagram.
const maxRegistrations = 16

// register registers the flows for which due returns true with their directory
// owners.
func (f *Flows) register(now time.Time, due func(r *Record, owner *pollenview.Member) bool) []Action {
	batches := map[netip.AddrPort][]pollenflow.Registration{}
	var actions []Action
	for _, r := range f.sortedRecords() {
		owner, ok := f.owners.Owner(pollenflow.BucketOf(f.service, r.Key))
		if !ok || owner.Name == f.config.Self.Name || !due(r, owner) {
			continue
		}
		r.registeredAt = now
		batch := append(batches[owner.Address], pollenflow.Registration{Key: r.Key, Holder: f.MemberRef()})
		if len(batch) == maxRegistrations {
			actions = append(actions, SendRegistrations{To: owner.Address, Registrations: batch})
			batch = nil
		}
		batches[owner.Address] = batch
	}
	return append(actions, flushBatches(batches)...)
}

// flushBatches returns an action for each batch that is not empty, sorted by
// address, so that the order is repeatable.
func flushBatches(batches map[netip.AddrPort][]pollenflow.Registration) []Action {
	var actions []Action
	for to, batch := range batches {
		if len(batch) > 0 {
			actions = append(actions, SendRegistrations{To: to, Registrations: batch})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int {
		return cmp.Compare(a.(SendRegistrations).To.String(), b.(SendRegistrations).To.String())
	})
	return actions
}

// HandleRegistrations updates the directory with registrations received from a
// holder. A withdrawal has no effect unless it names the recorded holder.
func (f *Flows) HandleRegistrations(now time.Time, registrations []pollenflow.Registration) {
	for _, r := range registrations {
		if r.Withdrawn {
			if ref, ok := f.directory.Get(now, r.Key); ok && ref == r.Holder {
				f.directory.Delete(r.Key)
			}
			continue
		}
		f.directory.Put(now, r.Key, r.Holder)
		f.notFound.Delete(r.Key)
	}
}

// sweepInterval is the time between checks for idle flows and due renewals.
const sweepInterval = time.Second

// runningSmoothing is the weight of the current work in its moving average, per
// call of Tick.
const runningSmoothing = 0.1

// Tick updates the average of running work and, once per sweepInterval, closes
// idle flows, removes expired entries, renews registrations and sends loads and
// backups.
func (f *Flows) Tick(now time.Time) []Action {
	f.averageRunning += (float64(f.config.Limiter.Usage().Running) - f.averageRunning) * runningSmoothing
	if now.Sub(f.lastSweep) < sweepInterval {
		return nil
	}
	f.lastSweep = now
	f.directory.Expire(now, nil)
	f.notFound.Expire(now, nil)
	f.loads.Expire(now)
	if !f.serving {
		return nil
	}
	actions := f.closeIdle(now)
	actions = append(actions, f.register(now, func(r *Record, _ *pollenview.Member) bool {
		return now.Sub(r.registeredAt) >= f.config.DirectoryLease/3
	})...)
	actions = append(actions, f.sendLoads()...)
	return append(actions, f.sendBackups()...)
}

// closeIdle closes flows past the idle time-out, and flows that the backend
// server did not answer within OpenTimeout.
func (f *Flows) closeIdle(now time.Time) []Action {
	var actions []Action
	for _, r := range f.sortedRecords() {
		signal := pollenadmission.SignalSuccess
		switch {
		case now.Sub(r.LastSeen) >= f.idleTimeout:
		case !r.Established && now.Sub(r.OpenedAt) >= f.config.OpenTimeout:
			signal = pollenadmission.SignalTimeout
		default:
			continue
		}
		f.removeRecord(now, r, signal)
		actions = append(append(actions, CloseFlow{Record: r}), f.unregister(r)...)
	}
	return actions
}

// unregister withdraws the registration of a flow that has ended.
func (f *Flows) unregister(r *Record) []Action {
	owner, ok := f.owners.Owner(pollenflow.BucketOf(f.service, r.Key))
	if !ok || owner.Name == f.config.Self.Name {
		return nil
	}
	return []Action{SendRegistrations{To: owner.Address, Registrations: []pollenflow.Registration{
		{Key: r.Key, Holder: f.MemberRef(), Withdrawn: true},
	}}}
}

// maxLoadPeers is the maximum number of peers that the load is sent to per
// sweep.
const maxLoadPeers = 8

// sendLoads sends the load to the peers, or, if there are more than
// maxLoadPeers, to some of them starting at a random one.
func (f *Flows) sendLoads() []Action {
	load := f.Load()
	load.Running = int(math.Round(f.averageRunning))
	if f.Draining() {
		// Peers assign no work to an agent whose limit is zero.
		load.Limit = 0
	}
	var actions []Action
	start := 0
	if len(f.agents) > maxLoadPeers+1 {
		start = f.random.IntN(len(f.agents))
	}
	for i := range f.agents {
		m := f.agents[(start+i)%len(f.agents)]
		if m.Name == f.config.Self.Name {
			continue
		}
		if len(actions) == maxLoadPeers {
			break
		}
		actions = append(actions, SendLoad{To: m.Address, Load: load})
	}
	return actions
}

// HandleLoad records a load received from a peer.
func (f *Flows) HandleLoad(now time.Time, load pollenflow.Load) { f.loads.Update(now, load) }

// Drain makes the agent refuse new flows, before a planned stop.
func (f *Flows) Drain() { f.stopping = true }

// Stopping reports whether Drain has been called.
func (f *Flows) Stopping() bool { return f.stopping }

// Draining reports whether the agent refuses new flows, because of Drain or
// because the view marks it as draining.
func (f *Flows) Draining() bool { return f.stopping || f.draining }

// Serving reports whether the view declares the agent's service and the agent's
// failure domain takes traffic.
func (f *Flows) Serving() bool { return f.serving }

// EndFlow removes a flow whose delivery the agent has already ended, and
// withdraws its registration.
func (f *Flows) EndFlow(now time.Time, key pollenflow.Key) []Action {
	r, ok := f.records[key]
	if !ok {
		return nil
	}
	f.removeRecord(now, r, pollenadmission.SignalSuccess)
	return f.unregister(r)
}
