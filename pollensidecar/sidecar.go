// Package pollensidecar is the shell of an agent: it stands beside one backend
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
	tickInterval  = 20 * time.Millisecond
	announceLease = 5 * time.Second
	vaultAge      = 10 * time.Minute
)

// A Sidecar is a running agent.
type Sidecar struct {
	base       *pollenprocess.Base
	membership *pollenprocess.Membership
	placement  pollenflow.Placement
	ramp       pollenadmission.Ramp
	self       pollenview.Member

	// The fields below are guarded by the membership's lock.
	backend   backend
	announced time.Time
	limiter   *pollenadmission.Limiter
	// flows, requests and ledger are nil until the backend server has
	// announced itself.
	flows    *pollenagent.Flows
	requests *pollenrequest.Node
	ledger   *pollenledger.Replica
	vault    *pollenagent.BackupStore
	// restored is set once the flows of an earlier incarnation were taken
	// back; until then packets are refused.
	restored bool
	relays   map[pollenflow.Key]*relay
	pending  map[pollenrequest.ID]*pendingRequest
	nextID   pollenrequest.ID

	front *front
}

// New returns a new Sidecar with its sockets open.
func New(now time.Time, s *pollensettings.Settings) (*Sidecar, error) {
	a := &Sidecar{
		vault:   pollenagent.NewBackupStore(),
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
	a.membership = pollenprocess.NewMembership(a.base, a.self, a.changeView)
	a.base.Socket.Handle(pollenwire.DatagramPacket, a.takePacket)
	a.base.Socket.Handle(pollenwire.DatagramRegister, a.takeRegistrations)
	a.base.Socket.Handle(pollenwire.DatagramLoad, a.takeLoad)
	a.base.AddTicker("tick", tickInterval, a.tick)
	a.base.OnStop(a.stop)
	a.addAnnounce()
	a.base.AddActor("watch", a.watchBackend)
	return a, nil
}

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
		"queue":     read(func() int { return a.requests.Waiting() }),
		"claims":    read(func() int { return a.ledger.Len() }),
	}
}

// Run serves until a planned stop.
func (a *Sidecar) Run() error {
	return a.base.Run(map[pollencall.Method]pollencall.Handler{
		pollencall.MethodFetch:  a.membership.HandleFetch,
		pollencall.MethodKeep:   a.handleKeep,
		pollencall.MethodKept:   a.handleKept,
		pollencall.MethodRun:    a.handleRun,
		pollencall.MethodClaim:  a.handleClaim,
		pollencall.MethodSettle: a.handleSettle,
		pollencall.MethodSync:   a.handleSync,
	})
}

// adopt makes the state machines for the backend server's service. The lock is
// held.
func (a *Sidecar) adopt(now time.Time, service pollendocument.ServiceName) {
	a.dropRelays()
	a.self.Service = service
	// The limits of the document follow with the next view.
	a.limiter = pollenadmission.NewLimiter(now, pollenadmission.Limits{Slots: 1, Cold: 1, Connections: 1}, a.ramp)
	seed := uint64(a.self.Incarnation)
	a.flows = pollenagent.NewFlows(now, pollenagent.NewConfig(a.self, a.limiter, a.placement, seed))
	a.requests = pollenrequest.NewNode(pollenrequest.NewConfig(a.self, a.limiter, a.flows.Loads(), a.placement, seed))
	a.ledger = pollenledger.NewReplica(a.reference(), service)
	a.restored = false
	a.changeView(now, a.membership.View())
	go a.restore(service)
}

func (a *Sidecar) reference() pollenview.ReplicaRef {
	return pollenview.ReplicaRef{Name: a.self.Name, Incarnation: a.self.Incarnation}
}

// changeView passes a newer view to the state machines. The lock is held.
func (a *Sidecar) changeView(now time.Time, view *pollenview.View) {
	if a.flows == nil {
		return
	}
	served := a.flows.Serving()
	actions := a.flows.ChangeView(now, view)
	a.act(actions)
	if served && !a.flows.Serving() {
		a.base.Metrics.CountEvent(pollenmetric.EventFlowGivenUp, int64(len(actions)))
		if a.front != nil {
			a.front.closeConnections("failure domain is out")
		}
	}
	a.stepRequests(now, pollenrequest.ViewChanged{View: view})
	a.ledger.ChangeView(now, view)
	a.announce(now)
	a.openFront(view)
}

// announce tells control what the agent is, once it serves. The lock is held.
func (a *Sidecar) announce(now time.Time) {
	member := a.self
	if !a.restored {
		member.Service = ""
	}
	if a.flows.Draining() && a.stopping() {
		member.State = pollendocument.ServerDraining
	}
	a.membership.StepLocked(now, pollenmember.Announce{
		Member: member, LedgerEpoch: a.ledger.SyncedEpoch(), Cold: a.limiter.Usage().Cold,
	})
}

// tick drives the state machines.
func (a *Sidecar) tick(now time.Time) {
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.flows == nil {
		return
	}
	a.expireAnnouncement(now)
	a.act(a.flows.Tick(now))
	a.stepRequests(now, pollenrequest.Tick{})
	a.ledger.Tick(now)
	a.vault.Expire(now, vaultAge)
	a.syncLedger(now)
}

// act carries out what the flows ask for. The lock is held.
func (a *Sidecar) act(actions []pollenagent.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case pollenagent.SendRegistrations:
			a.send(action.To, pollenwire.DatagramRegister, pollenwire.Marshal(&action.Registrations, pollenwire.MapRegistrations))
			a.base.Metrics.CountRetry(pollenkernel.RetryOwnerChanged)
		case pollenagent.CloseFlow:
			a.closeFlow(action.Record)
		case pollenagent.SendLoad:
			load := action.Load
			load.Waiting = a.requests.Waiting()
			a.send(action.To, pollenwire.DatagramLoad, pollenwire.Marshal(&load, pollenwire.MapLoad))
		case pollenagent.SendBackup:
			go a.callKeep(action)
		}
	}
}

func (a *Sidecar) send(to netip.AddrPort, kind pollenwire.DatagramKind, payload []byte) {
	a.base.Socket.Send(to, &pollenwire.Header{Kind: kind, Revision: a.membership.View().Revision}, payload)
}

// callTimeout bounds a call to another agent that is not a request.
const callTimeout = time.Second

func (a *Sidecar) callKeep(k pollenagent.SendBackup) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := a.base.Client.Call(ctx, k.To, pollencall.MethodKeep, pollenwire.Marshal(&k.Backup, pollenwire.MapBackup)); err != nil {
		a.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
		a.membership.Lock()
		defer a.membership.Unlock()
		a.flows.BackupFailed(k.Peer)
	}
}

func (a *Sidecar) handleKeep(_ context.Context, request []byte) ([]byte, error) {
	var k pollenagent.Backup
	if err := pollenwire.Unmarshal(request, &k, pollenwire.MapBackup); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	if !a.vault.Put(time.Now(), k) {
		return nil, errors.New("the copy does not follow the one that is held")
	}
	return nil, nil
}

func (a *Sidecar) handleKept(_ context.Context, request []byte) ([]byte, error) {
	var q pollenwire.BackupQuery
	if err := pollenwire.Unmarshal(request, &q, pollenwire.MapBackupQuery); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	k, ok := a.vault.Get(q.Name, q.Service)
	if !ok {
		return nil, nil
	}
	return pollenwire.Marshal(&k, pollenwire.MapBackup), nil
}
