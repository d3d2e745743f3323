// Package pollenquorum runs a control host: it connects the control state
// machine of pollencontrol to the data folder, to calls and to datagrams.
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
	// heartbeatsPerElection is the number of consensus heartbeats in one
	// election timeout.
	heartbeatsPerElection = 5
	// maxAppendEntries bounds the log entries in one consensus message.
	maxAppendEntries = 256
	// maxAppendBytes is the size of the entries at which a consensus message takes no
	// further one. It is far below the maximum size of a call.
	maxAppendBytes = 1 << 20
	// compactEvery is the number of applied log entries between snapshots, and
	// compactBytes the size of their data at which one is made earlier.
	compactEvery = 1000
	compactBytes = 16 << 20
	// maxInlineBytes bounds the encoded view update in a notice, in bytes.
	maxInlineBytes = 1100
	// memberLease is the time without a heartbeat after which a member is removed.
	memberLease = 2 * time.Second
	// checkInterval is the time between checks of leases and ledger groups.
	checkInterval = 250 * time.Millisecond
	// pendingTimeout bounds how long an operator's call may stay undecided.
	pendingTimeout = 5 * time.Second
	// maxUnguarded is the number of expired leases up to which their members are
	// always removed; see pollencontrol.HalfGuard.
	maxUnguarded = 2
	// tickInterval is the time between Tick events of the state machine.
	tickInterval = 10 * time.Millisecond
	// joinInterval is the time between requests of an empty replica to be added.
	joinInterval = time.Second
	// sendTimeout bounds one call to another control host.
	sendTimeout = 2 * time.Second
	// sendQueueSize is the capacity of the queue to one replica, in messages.
	sendQueueSize = 256
)

// A Quorum is a running control host.
type Quorum struct {
	base   *pollenprocess.Base
	folder *pollenstore.Folder

	mu    sync.Mutex
	node  *pollencontrol.Node
	token pollencontrol.Token
	// pendingReplies holds, by token, the calls that wait for a Reply.
	pendingReplies map[pollencontrol.Token]chan pollencontrol.Answer
	senders        map[netip.AddrPort]chan pollenlog.Message
	// heldLeases is the number of expired leases whose members the guard did not
	// remove at the last step.
	heldLeases int
	// diskFailure receives the error of a failed write to the data folder, which
	// ends the process.
	diskFailure chan error
}

// New returns a new Quorum with its data folder and sockets open. With
// bootstrap, the replica of an empty folder becomes the first of a new system;
// the cause of the error is ErrSystemExists when a system exists already.
func New(now time.Time, s *pollensettings.Settings, bootstrap bool) (*Quorum, error) {
	q := &Quorum{
		pendingReplies: map[pollencontrol.Token]chan pollencontrol.Answer{},
		senders:        map[netip.AddrPort]chan pollenlog.Message{},
		diskFailure:    make(chan error, 1),
	}
	var err error
	var stored pollenlog.StoredState
	if q.folder, stored, err = pollenstore.Open(pollenstore.Disk{}, filepath.Clean(s.DataFolder), newReplicaID); err != nil {
		return nil, err
	}
	if q.base, err = pollenprocess.NewBase(s, q.gauges()); err != nil {
		return nil, err
	}
	if bootstrap {
		if stored, err = q.bootstrap(s); err != nil {
			return nil, err
		}
	}
	q.node, err = pollencontrol.NewNode(now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: q.folder.ID(), Address: s.Address, ElectionTimeout: s.ElectionTimeout,
			HeartbeatInterval: s.ElectionTimeout / heartbeatsPerElection, Seed: uint64(now.UnixNano()), MaxAppendEntries: maxAppendEntries, MaxAppendBytes: maxAppendBytes,
		},
		Codec: pollenwire.ControlCodec{}, Lease: memberLease, CheckInterval: checkInterval, CompactEvery: compactEvery, CompactBytes: compactBytes,
		Guard: pollencontrol.HalfGuard{MaxUnguarded: maxUnguarded}, MaxInlineBytes: maxInlineBytes, PendingTimeout: pendingTimeout,
		Replicas: len(s.ControlHosts),
	}, stored)
	if err != nil {
		return nil, err
	}
	q.base.Socket.Handle(pollenwire.DatagramHeartbeat, q.handleHeartbeat)
	q.base.AddTicker("tick", tickInterval, func(now time.Time) { q.step(now, pollencontrol.Tick{}) })
	q.base.AddTicker("join", joinInterval, q.requestJoin)
	q.base.AddActor("disk", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case err := <-q.diskFailure:
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

// newReplicaID returns a random identity. It is odd, hence never zero, which
// stands for no replica.
func newReplicaID() pollenlog.ReplicaID {
	var b [8]byte
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return pollenlog.ReplicaID(binary.BigEndian.Uint64(b[:]) | 1)
}

// ErrSystemExists is the cause of errors about bootstrapping a system that
// exists.
var ErrSystemExists = errors.New("a system exists already")

// bootstrap makes the folder's replica the only voter of a new system. It
// returns an error when the folder or a control host that answers belongs to a
// system already.
func (q *Quorum) bootstrap(s *pollensettings.Settings) (pollenlog.StoredState, error) {
	if !q.folder.Empty() {
		return pollenlog.StoredState{}, errors.Wrapf(ErrSystemExists, "data folder %s is not empty; start without --found", s.DataFolder)
	}
	for _, other := range s.ControlHosts {
		if other == s.Address {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		answer, err := q.base.Client.Call(ctx, other, pollencall.MethodJoin, nil)
		cancel()
		if err == nil && len(answer) > 0 {
			return pollenlog.StoredState{}, errors.Wrapf(ErrSystemExists, "control host %s belongs to a system; start without --found", other)
		}
	}
	return q.folder.Bootstrap(s.Address)
}

// Run serves until a planned stop, and returns an error when a part of the
// process fails.
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

// step passes an event to the state machine and executes its actions in order.
func (q *Quorum) step(now time.Time, e pollencontrol.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(now, e)
}

// stepLocked is step for a caller that holds the mutex. It executes no action
// after a failed write to the data folder.
func (q *Quorum) stepLocked(now time.Time, e pollencontrol.Event) {
	for _, a := range q.node.Step(now, e) {
		switch a := a.(type) {
		case pollencontrol.Persist:
			if err := q.folder.Persist(a.Unit); err != nil {
				select {
				case q.diskFailure <- err:
				default:
				}
				return
			}
		case pollencontrol.SendLog:
			q.queueMessage(a.To, a.Message)
		case pollencontrol.SendNotice:
			q.sendNotice(a)
		case pollencontrol.Reply:
			if a.Answer.Refusal != "" {
				q.base.Metrics.CountRefusal(a.Answer.Refusal)
			}
			if reply, ok := q.pendingReplies[a.Token]; ok {
				delete(q.pendingReplies, a.Token)
				reply <- a.Answer
			}
		case pollencontrol.BecameLeader:
			q.base.Metrics.CountEvent(pollenmetric.EventLeaderElected, 1)
			q.base.Log.WithField("term", a.Term).Info("leading")
		case pollencontrol.MembershipChanging:
			q.base.Log.WithField("replica", a.Replica.ID).WithField("address", a.Replica.Address).WithField("voter", a.Replica.Voter).
				WithField("removed", a.Removed).WithField("reason", a.Reason).Info("membership of the log changing")
		case pollencontrol.UndecodableEntry:
			q.base.Metrics.CountEvent(pollenmetric.EventUndecodableEntry, 1)
			q.base.Log.WithError(a.Err).WithField("index", a.Index).Error("committed log entry cannot be decoded; skipped")
		}
	}
	q.countHeldLeases()
	status := q.node.LogStatus()
	q.base.SetReady(status.Leader != 0 && status.Applied > 0)
}

// countHeldLeases counts and logs expired leases whose members the guard newly
// refuses to remove.
func (q *Quorum) countHeldLeases() {
	held := q.node.HeldLeases()
	if held > q.heldLeases {
		q.base.Metrics.CountEvent(pollenmetric.EventExpiredLeasesHeld, int64(held-q.heldLeases))
		q.base.Log.WithField("leases", held).Warn("most leases expired at once; their members are not removed")
	}
	q.heldLeases = held
}

func (q *Quorum) sendNotice(a pollencontrol.SendNotice) {
	payload := pollenwire.Marshal(&a.Notice, pollenwire.MapNotice)
	q.base.Socket.Send(a.To, &pollenwire.Header{Kind: pollenwire.DatagramNotice, Revision: a.Notice.Revision}, payload)
}

// queueMessage queues a consensus message. It drops the message when the queue
// is full, since the consensus protocol tolerates lost messages.
func (q *Quorum) queueMessage(to netip.AddrPort, m pollenlog.Message) {
	queue, ok := q.senders[to]
	if !ok {
		queue = make(chan pollenlog.Message, sendQueueSize)
		q.senders[to] = queue
		go q.runSender(to, queue)
	}
	select {
	case queue <- m:
	default:
		q.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

// runSender sends the queued messages to one replica, one after the other. It
// does not resend a message whose call failed.
func (q *Quorum) runSender(to netip.AddrPort, queue chan pollenlog.Message) {
	for m := range queue {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		_, err := q.base.Client.Call(ctx, to, pollencall.MethodLog, pollenwire.Marshal(&m, pollenwire.MapMessage))
		cancel()
		if err != nil {
			q.base.Metrics.CountEvent(pollenmetric.EventSendFailed, 1)
			continue
		}
		q.base.Metrics.ObserveCallDuration(time.Since(start))
	}
}

// requestJoin requests the other control hosts to add this replica while it
// belongs to no membership. The errors of the calls are ignored, since the
// request is repeated after joinInterval.
func (q *Quorum) requestJoin(time.Time) {
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

// stop transfers leadership and waits until this replica no longer leads or the
// context ends. A lone voter cannot transfer it and returns at once.
func (q *Quorum) stop(ctx context.Context) {
	q.step(time.Now(), pollencontrol.TransferLeadership{})
	const pollInterval = 10 * time.Millisecond
	for ctx.Err() == nil {
		q.mu.Lock()
		s := q.node.LogStatus()
		q.mu.Unlock()
		if s.Role != pollenlog.RoleLeader || s.Membership.VoterCount() == 1 {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (q *Quorum) handleHeartbeat(_ *pollenwire.Header, from netip.AddrPort, buffer []byte, size int) {
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

// handleJoin handles the request of an empty replica to be added. An empty
// request only queries whether this host belongs to a system. The answer is not
// empty if it does.
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

// stepAndWait passes an event with a new token to the state machine and returns
// the encoded Reply with that token. It returns an error when the context ends
// first.
func (q *Quorum) stepAndWait(ctx context.Context, event func(token pollencontrol.Token) pollencontrol.Event) ([]byte, error) {
	q.mu.Lock()
	q.token++
	token := q.token
	reply := make(chan pollencontrol.Answer, 1)
	q.pendingReplies[token] = reply
	q.stepLocked(time.Now(), event(token))
	q.mu.Unlock()
	select {
	case a := <-reply:
		return pollenwire.Marshal(&a, pollenwire.MapOperatorAnswer), nil
	case <-ctx.Done():
		q.mu.Lock()
		delete(q.pendingReplies, token)
		q.mu.Unlock()
		return nil, errors.Wrap(ctx.Err(), "wait for the answer to the operator")
	}
}

func (q *Quorum) handleSubmit(ctx context.Context, request []byte) ([]byte, error) {
	var s pollenwire.SubmitCall
	if err := pollenwire.Unmarshal(request, &s, pollenwire.MapSubmitCall); err != nil {
		return nil, err
	}
	return q.stepAndWait(ctx, func(token pollencontrol.Token) pollencontrol.Event {
		return pollencontrol.Submit{Token: token, ID: s.ID, Submitter: s.Submitter, Document: s.Document, Teams: s.Teams}
	})
}

func (q *Quorum) handleState(ctx context.Context, _ []byte) ([]byte, error) {
	return q.stepAndWait(ctx, func(token pollencontrol.Token) pollencontrol.Event { return pollencontrol.Query{Token: token} })
}

func (q *Quorum) handleRepair(ctx context.Context, request []byte) ([]byte, error) {
	var a netip.AddrPort
	if err := pollenwire.Unmarshal(request, &a, pollenwire.MapAddress); err != nil {
		return nil, err
	}
	return q.stepAndWait(ctx, func(token pollencontrol.Token) pollencontrol.Event {
		return pollencontrol.Repair{Token: token, Address: a}
	})
}

func (q *Quorum) handleFetch(_ context.Context, request []byte) ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return pollenprocess.AnswerFetch(request, q.node.UpdateSince)
}
