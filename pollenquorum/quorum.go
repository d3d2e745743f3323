// Package pollenquorum is the shell of a control host: files, calls and
// datagrams around the control state machine.
package pollenquorum

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenprocess"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenstore"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing and limits of a control host.
const (
	heartbeatsPerElection = 5
	maxAppend             = 256
	compactEvery          = 1000
	inlineLimit           = 1100
	lease                 = 2 * time.Second
	checkInterval         = 250 * time.Millisecond
	waitBound             = 5 * time.Second
	guardLeast            = 2
	tickInterval          = 10 * time.Millisecond
	joinInterval          = time.Second
	sendTimeout           = 2 * time.Second
	sendQueue             = 256
)

// A Quorum is a running control host.
type Quorum struct {
	base   *pollenprocess.Base
	folder *pollenstore.Folder

	mu    sync.Mutex
	node  *pollencontrol.Node
	token pollencontrol.Token
	// waiting holds the calls that wait for a Reply.
	waiting map[pollencontrol.Token]chan pollencontrol.Answer
	senders map[netip.AddrPort]chan pollenlog.Message
	// held is the number of lapsed leases that the guard held at the last step.
	held int
	// failed ends the process when the disk does not take a write.
	failed chan error
}

// New returns a new Quorum with its folder and sockets open. With found, an
// empty folder becomes the first replica of a new system.
func New(now time.Time, s *pollensettings.Settings, found bool) (*Quorum, error) {
	q := &Quorum{
		waiting: map[pollencontrol.Token]chan pollencontrol.Answer{},
		senders: map[netip.AddrPort]chan pollenlog.Message{},
		failed:  make(chan error, 1),
	}
	var err error
	var stored pollenlog.StoredState
	if q.folder, stored, err = pollenstore.Open(pollenstore.Disk{}, filepath.Clean(s.DataFolder), drawIdentity); err != nil {
		return nil, err
	}
	if q.base, err = pollenprocess.NewBase(s, q.gauges()); err != nil {
		return nil, err
	}
	if found {
		if stored, err = q.found(s); err != nil {
			return nil, err
		}
	}
	q.node, err = pollencontrol.NewNode(now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: q.folder.ID(), Address: s.Address, ElectionTimeout: s.ElectionTimeout,
			HeartbeatInterval: s.ElectionTimeout / heartbeatsPerElection, Seed: uint64(now.UnixNano()), MaxAppendEntries: maxAppend,
		},
		Codec: pollenwire.ControlCodec{}, Lease: lease, CheckInterval: checkInterval, CompactEvery: compactEvery,
		Guard: pollencontrol.HalfGuard{MaxUnguarded: guardLeast}, MaxInlineBytes: inlineLimit, PendingTimeout: waitBound,
		Replicas: len(s.ControlHosts),
	}, stored)
	if err != nil {
		return nil, err
	}
	q.base.Socket.Handle(pollenwire.DatagramHeartbeat, q.takeHeartbeat)
	q.base.AddTicker("tick", tickInterval, func(now time.Time) { q.step(now, pollencontrol.Tick{}) })
	q.base.AddTicker("join", joinInterval, q.join)
	q.base.AddActor("disk", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case err := <-q.failed:
			return err
		}
	})
	q.base.OnStop(q.stop)
	return q, nil
}

func (q *Quorum) gauges() map[string]pollenmetric.Gauge {
	read := func(value func(s pollenlog.Status) int64) pollenmetric.Gauge {
		return func() int64 {
			q.mu.Lock()
			defer q.mu.Unlock()
			if q.node == nil {
				return 0
			}
			return value(q.node.LogStatus())
		}
	}
	return map[string]pollenmetric.Gauge{
		"revision": read(func(s pollenlog.Status) int64 { return int64(s.Applied) }),
		"term":     read(func(s pollenlog.Status) int64 { return int64(s.Term) }),
		"leader": read(func(s pollenlog.Status) int64 {
			if s.Role == pollenlog.RoleLeader {
				return 1
			}
			return 0
		}),
	}
}

func drawIdentity() pollenlog.ReplicaID {
	var b [8]byte
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return pollenlog.ReplicaID(binary.BigEndian.Uint64(b[:]) | 1)
}

// ErrFounded is the cause of errors about founding a system that exists.
var ErrFounded = errors.New("a system exists already")

// found makes the folder's replica the only voter of a new system, unless the
// folder or another control host belongs to one.
func (q *Quorum) found(s *pollensettings.Settings) (pollenlog.StoredState, error) {
	if !q.folder.Empty() {
		return pollenlog.StoredState{}, errors.Wrapf(ErrFounded, "data folder %s is not empty; start without --found", s.DataFolder)
	}
	for _, other := range s.ControlHosts {
		if other == s.Address {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		answer, err := q.base.Client.Call(ctx, other, pollencall.MethodJoin, nil)
		cancel()
		if err == nil && len(answer) > 0 {
			return pollenlog.StoredState{}, errors.Wrapf(ErrFounded, "control host %s belongs to one; start without --found", other)
		}
	}
	return q.folder.Bootstrap(s.Address)
}

// Run serves until a planned stop.
func (q *Quorum) Run() error {
	return q.base.Run(map[pollencall.Method]pollencall.Handler{
		pollencall.MethodLog:    q.handleLog,
		pollencall.MethodJoin:   q.handleJoin,
		pollencall.MethodSubmit: q.handleSubmit,
		pollencall.MethodState:  q.handleState,
		pollencall.MethodRepair: q.handleRepair,
		pollencall.MethodFetch:  q.handleFetch,
	})
}

// step passes an event to the node and carries out its actions in order.
func (q *Quorum) step(now time.Time, e pollencontrol.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(now, e)
}

func (q *Quorum) stepLocked(now time.Time, e pollencontrol.Event) {
	for _, a := range q.node.Step(now, e) {
		switch a := a.(type) {
		case pollencontrol.Persist:
			if err := q.folder.Persist(a.Unit); err != nil {
				select {
				case q.failed <- err:
				default:
				}
				return
			}
		case pollencontrol.SendLog:
			q.send(a.To, a.Message)
		case pollencontrol.SendNotice:
			q.notify(a)
		case pollencontrol.Reply:
			if a.Answer.Refusal != "" {
				q.base.Metrics.CountRefusal(a.Answer.Refusal)
			}
			if waiting, ok := q.waiting[a.Token]; ok {
				delete(q.waiting, a.Token)
				waiting <- a.Answer
			}
		case pollencontrol.BecameLeader:
			q.base.Metrics.CountEvent(pollenmetric.EventLeaderElected, 1)
			q.base.Log.WithField("term", a.Term).Info("leading")
		case pollencontrol.UndecodableEntry:
			q.base.Metrics.CountEvent(pollenmetric.EventUndecodableEntry, 1)
			q.base.Log.WithError(a.Err).WithField("index", a.Index).Error("committed entry skipped")
		}
	}
	q.countHeld()
	status := q.node.LogStatus()
	q.base.SetReady(status.Leader != 0 && status.Applied > 0)
}

// countHeld counts the lapsed leases that the guard has begun to hold.
func (q *Quorum) countHeld() {
	held := q.node.HeldLeases()
	if held > q.held {
		q.base.Metrics.CountEvent(pollenmetric.EventExpiredLeasesHeld, int64(held-q.held))
		q.base.Log.WithField("leases", held).Warn("most leases lapsed at once; members are kept")
	}
	q.held = held
}

func (q *Quorum) notify(a pollencontrol.SendNotice) {
	payload := pollenwire.Marshal(&a.Notice, pollenwire.MapNotice)
	q.base.Socket.Send(a.To, &pollenwire.Header{Kind: pollenwire.DatagramNotice, Revision: a.Notice.Revision}, payload)
}

// send queues a consensus message; a full queue loses it, as a network may.
func (q *Quorum) send(to netip.AddrPort, m pollenlog.Message) {
	queue, ok := q.senders[to]
	if !ok {
		queue = make(chan pollenlog.Message, sendQueue)
		q.senders[to] = queue
		go q.runSender(to, queue)
	}
	select {
	case queue <- m:
	default:
		q.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

func (q *Quorum) runSender(to netip.AddrPort, queue chan pollenlog.Message) {
	for m := range queue {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		_, err := q.base.Client.Call(ctx, to, pollencall.MethodLog, pollenwire.Marshal(&m, pollenwire.MapMessage))
		cancel()
		if err != nil {
			q.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
			continue
		}
		q.base.Metrics.ObserveCallDuration(time.Since(began))
	}
}

// join asks the others to take an empty replica in.
func (q *Quorum) join(time.Time) {
	q.mu.Lock()
	joined := len(q.node.LogStatus().Membership.Replicas) > 0
	q.mu.Unlock()
	if joined {
		return
	}
	request := pollencontrol.Join{ID: q.folder.ID(), Address: q.base.Settings.Address}
	for _, to := range q.base.Settings.ControlHosts {
		if to == q.base.Settings.Address {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		_, _ = q.base.Client.Call(ctx, to, pollencall.MethodJoin, pollenwire.Marshal(&request, pollenwire.MapJoin))
		cancel()
	}
}

// stop hands leadership over and waits until another replica leads.
func (q *Quorum) stop(ctx context.Context) {
	q.step(time.Now(), pollencontrol.TransferLeadership{})
	const poll = 10 * time.Millisecond
	for ctx.Err() == nil {
		q.mu.Lock()
		s := q.node.LogStatus()
		q.mu.Unlock()
		if s.Role != pollenlog.RoleLeader || s.Membership.VoterCount() == 1 {
			return
		}
		time.Sleep(poll)
	}
}

func (q *Quorum) takeHeartbeat(_ *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
	h, ok := pollenprocess.Decode(q.base, buffer, size, pollenwire.MapHeartbeat)
	if !ok {
		return
	}
	q.step(time.Now(), pollencontrol.HeartbeatReceived{From: from, Heartbeat: h})
}

func (q *Quorum) handleLog(_ context.Context, request []byte) ([]byte, error) {
	var m pollenlog.Message
	if err := pollenwire.Unmarshal(request, &m, pollenwire.MapMessage); err != nil {
		return nil, err
	}
	q.step(time.Now(), pollencontrol.LogMessage{Message: m})
	return nil, nil
}

// handleJoin takes an empty replica's request. Its answer is not empty when
// this host belongs to a system.
func (q *Quorum) handleJoin(_ context.Context, request []byte) ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(request) > 0 {
		var j pollencontrol.Join
		if err := pollenwire.Unmarshal(request, &j, pollenwire.MapJoin); err != nil {
			return nil, err
		}
		q.stepLocked(time.Now(), j)
	}
	if len(q.node.LogStatus().Membership.Replicas) == 0 {
		return nil, nil
	}
	return []byte{1}, nil
}

// ask passes an event that will be answered and waits for the answer.
func (q *Quorum) ask(ctx context.Context, event func(token pollencontrol.Token) pollencontrol.Event) ([]byte, error) {
	q.mu.Lock()
	q.token++
	token := q.token
	waiting := make(chan pollencontrol.Answer, 1)
	q.waiting[token] = waiting
	q.stepLocked(time.Now(), event(token))
	q.mu.Unlock()
	select {
	case a := <-waiting:
		return pollenwire.Marshal(&a, pollenwire.MapOperatorAnswer), nil
	case <-ctx.Done():
		q.mu.Lock()
		delete(q.waiting, token)
		q.mu.Unlock()
		return nil, errors.Wrap(ctx.Err(), "answer not awaited")
	}
}

func (q *Quorum) handleSubmit(ctx context.Context, request []byte) ([]byte, error) {
	var s pollenwire.SubmitCall
	if err := pollenwire.Unmarshal(request, &s, pollenwire.MapSubmitCall); err != nil {
		return nil, err
	}
	return q.ask(ctx, func(token pollencontrol.Token) pollencontrol.Event {
		return pollencontrol.Submit{Token: token, ID: s.ID, Submitter: s.Submitter, Document: s.Document, Teams: s.Teams}
	})
}

func (q *Quorum) handleState(ctx context.Context, _ []byte) ([]byte, error) {
	return q.ask(ctx, func(token pollencontrol.Token) pollencontrol.Event { return pollencontrol.Query{Token: token} })
}

func (q *Quorum) handleRepair(ctx context.Context, request []byte) ([]byte, error) {
	var a netip.AddrPort
	if err := pollenwire.Unmarshal(request, &a, pollenwire.MapAddress); err != nil {
		return nil, err
	}
	return q.ask(ctx, func(token pollencontrol.Token) pollencontrol.Event {
		return pollencontrol.Repair{Token: token, Address: a}
	})
}

func (q *Quorum) handleFetch(_ context.Context, request []byte) ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return pollenprocess.AnswerFetch(request, q.node.UpdateSince)
}
