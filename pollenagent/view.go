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

// An Action is something that the shell must do after an event.
type Action interface{ action() }

// A SendRegistrations tells a home agent which flows this agent holds.
type SendRegistrations struct {
	To            netip.AddrPort
	Registrations []pollenflow.Registration
}

// A CloseFlow ends the delivery of a flow.
type CloseFlow struct{ Record *Record }

// A SendLoad tells a peer this agent's load.
type SendLoad struct {
	To   netip.AddrPort
	Load pollenflow.Load
}

// A SendBackup gives records to a peer for safe keeping.
type SendBackup struct {
	Peer   pollenview.ReplicaRef
	To     netip.AddrPort
	Backup Backup
}

func (SendRegistrations) action() {}
func (CloseFlow) action()         {}
func (SendLoad) action()          {}
func (SendBackup) action()        {}

// ChangeView follows a newer view, which the caller must not change later
// except by moving it forward and calling ChangeView again.
func (f *Flows) ChangeView(now time.Time, view *pollenview.View) []Action {
	f.view = view
	service, _, known := view.Document.Service(f.config.Self.Service)
	f.serving = known && view.DomainTakesTraffic(f.config.Self.Domain)
	f.balancers = view.Balancers()
	if !f.serving {
		return f.closeAll(now)
	}
	f.delivery = service.Delivery
	f.idle = service.IdleTimeout
	f.config.Limiter.SetLimits(pollenadmission.Limits{
		Slots: service.Slots, Cold: service.ColdLimit, Connections: service.ConnectionLimit, WarmUp: service.WarmUp,
	})
	f.agents = view.Agents(f.config.Self.Service)
	self, member := view.Members[f.config.Self.Name]
	f.draining = member && self.State == pollendocument.ServerDraining ||
		view.ServerSetting(f.config.Self.Name).State == pollendocument.ServerDraining
	homes := pollenflow.NewHomes(view, f.config.Self.Service)
	changed := f.homes == nil || !sameMembers(f.homes, homes)
	if changed && f.homes != nil {
		f.generations = append([]generation{{homes: f.homes, replaced: now}}, f.generations...)
		f.generations = f.generations[:min(len(f.generations), f.config.MaxPastOwners)]
	}
	before := f.homes
	f.homes = homes
	if !changed {
		return nil
	}
	return f.registerMoved(now, before)
}

func sameMembers(a, b *pollenflow.Homes) bool {
	return slices.Equal(a.Members(), b.Members()) && a.Equal(b)
}

// closeAll gives every flow up, because the failure domain is out.
func (f *Flows) closeAll(now time.Time) []Action {
	actions := make([]Action, 0, len(f.records))
	for _, r := range f.sorted() {
		f.close(now, r, pollenadmission.SignalRestarted)
		actions = append(actions, CloseFlow{Record: r})
	}
	f.config.Limiter.Observe(now, pollenadmission.SignalRestarted)
	f.homes = nil
	f.generations = nil
	return actions
}

// sorted returns the records in a repeatable order.
func (f *Flows) sorted() []*Record {
	records := make([]*Record, 0, len(f.records))
	for _, r := range f.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *Record) int { return a.Key.Compare(b.Key) })
	return records
}

// registerMoved tells the new homes of the flows held here, and nobody when
// the home is as before.
func (f *Flows) registerMoved(now time.Time, before *pollenflow.Homes) []Action {
	return f.register(now, func(r *Record, home *pollenview.Member) bool {
		old, ok := before.Home(pollenflow.BucketOf(f.service, r.Key))
		return !ok || old.Name != home.Name || old.Incarnation != home.Incarnation
	})
}

// maxRegistrations bounds the registrations of one datagram.
const maxRegistrations = 16

// register tells the homes of those flows for which due returns true.
func (f *Flows) register(now time.Time, due func(r *Record, home *pollenview.Member) bool) []Action {
	batches := map[netip.AddrPort][]pollenflow.Registration{}
	var actions []Action
	for _, r := range f.sorted() {
		home, ok := f.homes.Home(pollenflow.BucketOf(f.service, r.Key))
		if !ok || home.Name == f.config.Self.Name || !due(r, home) {
			continue
		}
		r.registered = now
		batch := append(batches[home.Address], pollenflow.Registration{Key: r.Key, Holder: f.Reference()})
		if len(batch) == maxRegistrations {
			actions = append(actions, SendRegistrations{To: home.Address, Registrations: batch})
			batch = nil
		}
		batches[home.Address] = batch
	}
	return append(actions, flushBatches(batches)...)
}

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

// HandleRegistrations records what a holder told.
func (f *Flows) HandleRegistrations(now time.Time, registrations []pollenflow.Registration) {
	for _, r := range registrations {
		if r.Withdrawn {
			if ref, ok := f.directory.Get(now, r.Key); ok && ref == r.Holder {
				f.directory.Delete(r.Key)
			}
			continue
		}
		f.directory.Put(now, r.Key, r.Holder)
		f.absent.Delete(r.Key)
	}
}

// sweepInterval is the time between looks at idle flows and due renewals.
const sweepInterval = time.Second

// runningSmoothing is the weight of the present work in its average, at each
// Tick.
const runningSmoothing = 0.1

// Tick drops what is idle and renews what is due.
func (f *Flows) Tick(now time.Time) []Action {
	f.running += (float64(f.config.Limiter.Usage().Running) - f.running) * runningSmoothing
	if now.Sub(f.swept) < sweepInterval {
		return nil
	}
	f.swept = now
	f.directory.Expire(now, nil)
	f.absent.Expire(now, nil)
	f.loads.Expire(now)
	if !f.serving {
		return nil
	}
	actions := f.closeIdle(now)
	actions = append(actions, f.register(now, func(r *Record, _ *pollenview.Member) bool {
		return now.Sub(r.registered) >= f.config.Lease/3
	})...)
	actions = append(actions, f.sendLoads()...)
	return append(actions, f.keep()...)
}

func (f *Flows) closeIdle(now time.Time) []Action {
	var actions []Action
	for _, r := range f.sorted() {
		signal := pollenadmission.SignalSuccess
		switch {
		case now.Sub(r.Seen) >= f.idle:
		case !r.Established && now.Sub(r.Opened) >= f.config.OpenTimeout:
			signal = pollenadmission.SignalTimeout
		default:
			continue
		}
		f.close(now, r, signal)
		actions = append(append(actions, CloseFlow{Record: r}), f.unregister(r)...)
	}
	return actions
}

// unregister tells the home that a flow has ended.
func (f *Flows) unregister(r *Record) []Action {
	home, ok := f.homes.Home(pollenflow.BucketOf(f.service, r.Key))
	if !ok || home.Name == f.config.Self.Name {
		return nil
	}
	return []Action{SendRegistrations{To: home.Address, Registrations: []pollenflow.Registration{
		{Key: r.Key, Holder: f.Reference(), Withdrawn: true},
	}}}
}

// maxLoadPeers bounds the peers that are told the load each time.
const maxLoadPeers = 8

// sendLoads tells the load to the peers, or to a random few of many.
func (f *Flows) sendLoads() []Action {
	load := f.Load()
	load.Running = int(math.Round(f.running))
	if f.Draining() {
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

// HandleLoad records a peer's load.
func (f *Flows) HandleLoad(now time.Time, load pollenflow.Load) { f.loads.Hear(now, load) }

// Drain stops taking new flows, before a planned stop.
func (f *Flows) Drain() { f.stopping = true }

// Stopping reports whether Drain was called.
func (f *Flows) Stopping() bool { return f.stopping }

// Draining reports whether new flows are refused.
func (f *Flows) Draining() bool { return f.stopping || f.draining }

// Serving reports whether the agent's service and failure domain are in force.
func (f *Flows) Serving() bool { return f.serving }

// EndFlow drops a flow that the agent itself has ended.
func (f *Flows) EndFlow(now time.Time, key pollenflow.Key) []Action {
	r, ok := f.records[key]
	if !ok {
		return nil
	}
	f.close(now, r, pollenadmission.SignalSuccess)
	return f.unregister(r)
}
