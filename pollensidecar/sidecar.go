// Package pollensidecar implements the agent process. It runs beside one backend
// server, delivers flows to it and runs requests on it.
package pollensidecar

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenprocess"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing of an agent.
const (
	tickInterval = 20 * time.Millisecond
	// announceLease is how long an announcement of the backend server is valid.
	announceLease = 5 * time.Second
	// backupRetention is how long a peer's backup is stored after its last
	// update.
	backupRetention = 10 * time.Minute
)

// A Sidecar is a running agent.
type Sidecar struct {
	base       *pollenprocess.Base
	membership *pollenprocess.Membership
	placement  pollenflow.Placement
	ramp       pollenadmission.Ramp
	self       pollenview.Member

	// The fields below are guarded by the membership's lock, which comments call
	// the lock.
	backend     backend
	announcedAt time.Time
	limiter     *pollenadmission.Limiter
	// flows, requests and ledger are nil until the backend server has
	// announced itself.
	flows    *pollenagent.Flows
	requests *pollenrequest.Node
	ledger   *pollenledger.Replica
	backups  *pollenagent.BackupStore
	// restored is set after the attempt to restore the flows of an earlier
	// incarnation; until then packets are refused.
	restored bool
	relays   map[pollenflow.Key]*relay
	pending  map[pollenrequest.ID]*pendingRequest
	nextID   pollenrequest.ID

	frontend *frontend
}

// New returns a new Sidecar with its sockets open. It fails on an unknown
// placement or ramp and when keys or sockets cannot be opened.
func New(now time.Time, s *pollensettings.Settings) (*Sidecar, error) {
	a := &Sidecar{
		backups: pollenagent.NewBackupStore(),
		relays:  map[pollenflow.Key]*relay{},
		pending: map[pollenrequest.ID]*pendingRequest{},
		self: pollenview.Member{
			Name: s.Name, Role: pollenview.RoleAgent, Incarnation: pollenview.Incarnation(now.UnixNano()),
			Domain: s.Domain, Address: s.Address, State: pollendocument.ServerActive,
		},
	}
	var err error
	if a.placement, err = pollenflow.Placements.Lookup(s.Placement); err != nil {
		return nil, err
	}
	if a.ramp, err = pollenadmission.Ramps.Lookup(s.Ramp); err != nil {
		return nil, err
	}
	if a.base, err = pollenprocess.NewBase(s, a.gauges()); err != nil {
		return nil, err
	}
	a.membership = pollenprocess.NewMembership(a.base, a.self, a.applyView)
	a.base.Socket.Handle(pollenwire.DatagramPacket, a.handlePacket)
	a.base.Socket.Handle(pollenwire.DatagramRegister, a.handleRegistrations)
	a.base.Socket.Handle(pollenwire.DatagramLoad, a.handleLoad)
	a.base.AddTicker("tick", tickInterval, a.tick)
	a.base.OnStop(a.stop)
	a.addAnnouncementServer()
	a.base.AddActor("watch", a.watchBackend)
	return a, nil
}

// gauges returns the gauges of the agent by name. They read zero until the
// backend server has announced itself.
func (a *Sidecar) gauges() map[string]pollenmetric.Gauge {
	read := func(value func() int) pollenmetric.Gauge {
		return func() int64 {
			a.membership.Lock()
			defer a.membership.Unlock()
			if a.flows == nil {
				return 0
			}
			return int64(value())
		}
	}
	return map[string]pollenmetric.Gauge{
		"revision":  read(func() int { return int(a.membership.View().Revision) }),
		"flows":     read(func() int { held, _ := a.flows.Len(); return held }),
		"directory": read(func() int { _, entries := a.flows.Len(); return entries }),
		"running":   read(func() int { return a.limiter.Usage().Running }),
		"limit":     read(func() int { return a.limiter.Usage().Limit }),
		"queue":     read(func() int { return a.requests.Queued() }),
		"claims":    read(func() int { return a.ledger.Len() }),
	}
}

// Run serves until a planned stop and returns nil then, or else the error of the
// actor that failed.
func (a *Sidecar) Run() error {
	return a.base.Run(map[pollencall.Method]pollencall.Handler{
		pollencall.MethodFetch:       a.membership.HandleFetch,
		pollencall.MethodStoreBackup: a.handleStoreBackup,
		pollencall.MethodGetBackup:   a.handleGetBackup,
		pollencall.MethodRun:         a.handleRun,
		pollencall.MethodClaim:       a.handleClaim,
		pollencall.MethodComplete:    a.handleComplete,
		pollencall.MethodSync:        a.handleSync,
	})
}

// startService creates the state machines for the backend server's service and
// starts to restore the flows of an earlier incarnation. The lock is held.
func (a *Sidecar) startService(now time.Time, service pollendocument.ServiceName) {
	a.closeRelays()
	a.self.Service = service
	// These limits apply until a view with the service sets the document's.
	a.limiter = pollenadmission.NewLimiter(now, pollenadmission.Limits{Slots: 1, Cold: 1, ConnectionLimit: 1}, a.ramp)
	seed := uint64(a.self.Incarnation)
	a.flows = pollenagent.NewFlows(now, pollenagent.NewConfig(a.self, a.limiter, a.placement, seed))
	a.requests = pollenrequest.NewNode(pollenrequest.NewConfig(a.self, a.limiter, a.flows.Loads(), a.placement, seed))
	a.ledger = pollenledger.NewReplica(a.memberRef(), service)
	a.restored = false
	a.applyView(now, a.membership.View())
	go a.restore(service)
}

func (a *Sidecar) memberRef() pollenview.MemberRef {
	return pollenview.MemberRef{Name: a.self.Name, Incarnation: a.self.Incarnation}
}

// applyView passes a newer view to the state machines. The lock is held.
func (a *Sidecar) applyView(now time.Time, view *pollenview.View) {
	if a.flows == nil {
		return
	}
	served := a.flows.Serving()
	actions := a.flows.ChangeView(now, view)
	a.execute(actions)
	if served && !a.flows.Serving() {
		a.base.Metrics.CountEvent(pollenmetric.EventFlowAbandoned, int64(len(actions)))
		if a.frontend != nil {
			a.frontend.closeConnections("failure domain is out")
		}
	}
	a.stepRequests(now, pollenrequest.ViewChanged{View: view})
	a.ledger.ChangeView(now, view)
	a.announce(now)
	a.openFrontend(view)
}

// announce reports the agent and its state to the control hosts. The member has
// no service until the flows are restored. The lock is held.
func (a *Sidecar) announce(now time.Time) {
	member := a.self
	if !a.restored {
		member.Service = ""
	}
	if a.flows.Draining() && a.stopping() {
		member.State = pollendocument.ServerDraining
	}
	a.membership.StepLocked(now, pollenmember.Announce{
		Member: member, SyncedEpoch: a.ledger.SyncedEpoch(), Cold: a.limiter.Usage().Cold,
	})
}

// tick runs the periodic work of the state machines.
func (a *Sidecar) tick(now time.Time) {
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.flows == nil {
		return
	}
	a.expireAnnouncement(now)
	a.execute(a.flows.Tick(now))
	a.stepRequests(now, pollenrequest.Tick{})
	a.ledger.Tick(now)
	a.backups.Expire(now, backupRetention)
	a.syncLedger(now)
}

// execute executes the actions of the flow state machine. The lock is held.
func (a *Sidecar) execute(actions []pollenagent.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case pollenagent.SendRegistrations:
			a.send(action.To, pollenwire.DatagramRegister, pollenwire.Marshal(&action.Registrations, pollenwire.MapRegistrations))
			a.base.Metrics.CountRetry(pollenkernel.RetryOwnerChanged)
		case pollenagent.CloseFlow:
			a.closeFlow(action.Record)
		case pollenagent.SendLoad:
			load := action.Load
			load.Queued = a.requests.Queued()
			a.send(action.To, pollenwire.DatagramLoad, pollenwire.Marshal(&load, pollenwire.MapLoad))
		case pollenagent.SendBackup:
			go a.sendBackup(action)
		}
	}
}

func (a *Sidecar) send(to netip.AddrPort, kind pollenwire.DatagramKind, payload []byte) {
	a.base.Socket.Send(to, &pollenwire.Header{Kind: kind, Revision: a.membership.View().Revision}, payload)
}

// callTimeout limits each call to another agent, except for forwarded requests and
// the full backups that are sent at a planned stop.
const callTimeout = time.Second

// sendBackup sends a backup to a backup peer and reports a failure to the flow
// state machine.
func (a *Sidecar) sendBackup(action pollenagent.SendBackup) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := a.base.Client.Call(ctx, action.To, pollencall.MethodStoreBackup, pollenwire.Marshal(&action.Backup, pollenwire.MapBackup)); err != nil {
		a.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
		a.membership.Lock()
		defer a.membership.Unlock()
		a.flows.BackupFailed(action.Peer)
	}
}

func (a *Sidecar) handleStoreBackup(_ context.Context, request []byte) ([]byte, error) {
	var backup pollenagent.Backup
	if err := pollenwire.Unmarshal(request, &backup, pollenwire.MapBackup); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	if !a.backups.Put(time.Now(), backup) {
		return nil, errors.Errorf("backup of %s: base version %d does not follow the stored backup", backup.Name, backup.Base)
	}
	return nil, nil
}

func (a *Sidecar) handleGetBackup(_ context.Context, request []byte) ([]byte, error) {
	var query pollenwire.BackupQuery
	if err := pollenwire.Unmarshal(request, &query, pollenwire.MapBackupQuery); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	backup, ok := a.backups.Get(query.Name, query.Service)
	if !ok {
		return nil, nil
	}
	return pollenwire.Marshal(&backup, pollenwire.MapBackup), nil
}
