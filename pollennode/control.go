package pollennode

import (
	"context"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenstore"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing and limits of a replica of the log.
const (
	// electionTimeout is many times a round trip and a sync of a slow disk, and
	// short compared with the time an operator is willing to wait.
	electionTimeout = 450 * time.Millisecond
	// heartbeatsPerElection is the number of the leader's heartbeats within
	// electionTimeout.
	heartbeatsPerElection = 5
	// maxAppendEntries is the maximum number of entries in one append message.
	maxAppendEntries = 16
	// maxAppendBytes is the size of the entries at which an append message takes no
	// further one. With the longest document on top it fits pollenlink.MaxMessageSize.
	maxAppendBytes = 1 << 20
	// compactEvery is the number of entries and compactBytes the size of their data
	// after which the log is compacted. They bound the memory and the disk space that
	// documents take.
	compactEvery = 24
	compactBytes = 4 << 20
	// checkInterval is the interval of the leader's periodic checks.
	checkInterval = 250 * time.Millisecond
	// pendingTimeout bounds the wait for the decision on an operator's call;
	// after it, the call is sent again.
	pendingTimeout = 3 * time.Second
	// maxReplicas is the maximum number of replicas of the log.
	maxReplicas = 7
	// controlTickInterval is the tick interval of the replica.
	controlTickInterval = 35 * time.Millisecond
	// joinDelay is the time without a leader after which a replica asks to join
	// again, every joinInterval. It is also used as the lease of members.
	joinDelay    = 1500 * time.Millisecond
	joinInterval = 400 * time.Millisecond
	// reopenInterval is how long after a failure the data folder is opened again.
	reopenInterval = 400 * time.Millisecond
	// inboxSize is the capacity of the event queue of the replica, in events.
	inboxSize = 1024
)

// control runs this host's replica of the log in its own goroutine, so that a
// stalled disk blocks nothing else.
type control struct {
	balancer *Balancer
	files    pollenstore.FileSystem
	// seed gives the replica its ID if its folder is empty.
	seed  uint64
	inbox chan controlEvent
	// synchronous makes post handle events itself, for programs that run in a
	// single goroutine.
	synchronous bool

	// The fields below are used only by that goroutine. folder and node are nil
	// while the data folder is not open.
	folder *pollenstore.Folder
	node   *pollencontrol.Node
	// retryAt is when a folder that failed is opened again.
	retryAt time.Time
	// token is the token of the last event.
	token pollencontrol.Token
	// replies holds the reply function of each event that is not answered yet.
	replies map[pollencontrol.Token]func(pollencontrol.Answer)
	// leaderSeen is when a leader was last known.
	leaderSeen time.Time
	lastJoin   time.Time
	role       pollenlog.Role
}

// A controlEvent is an event for the replica. event returns it with the given
// token, and reply is called with its answer; reply is nil if no answer is wanted.
type controlEvent struct {
	event func(token pollencontrol.Token) pollencontrol.Event
	reply func(pollencontrol.Answer)
}

func newControl(b *Balancer, deps Dependencies) *control {
	return &control{
		balancer: b, files: deps.Files, seed: deps.Seed, synchronous: deps.Synchronous, inbox: make(chan controlEvent, inboxSize),
		replies: map[pollencontrol.Token]func(pollencontrol.Answer){},
	}
}

// post queues an event. If the queue is full, the event is dropped and counted as
// a failed send: its senders expect that messages may be lost.
func (c *control) post(now time.Time, e controlEvent) {
	if c.synchronous {
		c.handle(now, e)
		return
	}
	select {
	case c.inbox <- e:
	default:
		c.balancer.metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

// postMessage queues an event whose answer is not wanted.
func (c *control) postMessage(now time.Time, e pollencontrol.Event) {
	c.post(now, controlEvent{event: func(pollencontrol.Token) pollencontrol.Event { return e }})
}

// serve runs the replica until the context ends.
func (c *control) serve(ctx context.Context) error {
	ticker := time.NewTicker(controlTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.inbox:
			c.handle(time.Now(), e)
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

// handle passes an event to the replica. While the data folder is not open, it
// replies that the event was not run.
func (c *control) handle(now time.Time, e controlEvent) {
	if c.node == nil {
		if e.reply != nil {
			e.reply(pollencontrol.Answer{Verdict: pollencontrol.VerdictNotRun, Reason: "data folder is not open"})
		}
		return
	}
	c.token++
	if e.reply != nil {
		c.replies[c.token] = e.reply
	}
	c.step(now, e.event(c.token))
}

// tick opens the data folder if it is closed, bootstraps a new system if this host
// was chosen to, and runs the periodic work of the replica.
func (c *control) tick(now time.Time) {
	if c.node == nil {
		if now.Before(c.retryAt) {
			return
		}
		if err := c.open(now); err != nil {
			c.fail(now, err)
			return
		}
	}
	if c.folder.Empty() && c.balancer.mayBootstrap(now) {
		if err := c.bootstrap(now); err != nil {
			c.fail(now, err)
			return
		}
	}
	c.step(now, pollencontrol.Tick{})
	if c.node != nil {
		c.requestJoin(now)
	}
}

// open opens the data folder and starts the replica that is stored there. An empty
// folder gets a new replica ID.
func (c *control) open(now time.Time) error {
	folder, stored, err := pollenstore.Open(c.files, c.balancer.settings.DataFolder, func() pollenlog.ReplicaID {
		return pollenlog.ReplicaID(c.seed | 1)
	})
	if err != nil {
		return err
	}
	c.folder, c.leaderSeen = folder, now
	return c.start(now, stored)
}

// start creates the replica from its stored state.
func (c *control) start(now time.Time, stored pollenlog.StoredState) error {
	var err error
	c.node, err = pollencontrol.NewNode(now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: c.folder.ID(), Address: c.balancer.settings.Node, ElectionTimeout: electionTimeout,
			HeartbeatInterval: electionTimeout / heartbeatsPerElection, Seed: uint64(c.folder.ID()), MaxAppendEntries: maxAppendEntries,
			MaxAppendBytes: maxAppendBytes,
		},
		Codec: pollenwire.ControlCodec{}, Lease: joinDelay, CheckInterval: checkInterval, CompactEvery: compactEvery, CompactBytes: compactBytes,
		Guard: pollencontrol.HalfGuard{}, PendingTimeout: pendingTimeout, Replicas: maxReplicas, AutoRepair: true,
	}, stored)
	if err != nil {
		return err
	}
	c.balancer.log.Info("data folder opened", pollenrecord.Fields{
		"replica": c.folder.ID(), "term": stored.Hard.Term, "snapshot": stored.Snapshot.Index,
		"entries": len(stored.Entries), "empty": c.folder.Empty(),
	})
	c.publish(now)
	return nil
}

// bootstrap makes this replica the only voter of a new system.
func (c *control) bootstrap(now time.Time) error {
	stored, err := c.folder.Bootstrap(c.balancer.settings.Node)
	if err != nil {
		return err
	}
	c.balancer.log.Info("bootstrapping a new system", pollenrecord.Fields{"replica": c.folder.ID()})
	return c.start(now, stored)
}

// fail closes the replica until its folder can be opened again. Events that wait
// for an answer are answered as undecided.
func (c *control) fail(now time.Time, err error) {
	c.balancer.log.Warn("data folder failed; replica of the log stopped until the folder opens again", err, nil)
	if c.folder != nil {
		if err := c.folder.Close(); err != nil {
			c.balancer.log.Warn("cannot close failed data folder", err, nil)
		}
	}
	c.folder, c.node, c.retryAt = nil, nil, now.Add(reopenInterval)
	for token, reply := range c.replies {
		delete(c.replies, token)
		reply(pollencontrol.Answer{Verdict: pollencontrol.VerdictUnknown, Reason: "data folder failed"})
	}
	c.setLeader(now, pollenpeer.Leadership{}, pollenlog.RoleFollower)
}

// step passes an event to the node and executes the resulting actions in order. If
// data cannot be persisted, the actions after that are dropped, since they may
// depend on it.
func (c *control) step(now time.Time, e pollencontrol.Event) {
	for _, a := range c.node.Step(now, e) {
		switch a := a.(type) {
		case pollencontrol.Persist:
			if err := c.folder.Persist(a.Unit); err != nil {
				c.fail(now, err)
				return
			}
		case pollencontrol.SendLog:
			c.balancer.sendLog(a.To, &a.Message)
		case pollencontrol.Reply:
			if reply, ok := c.replies[a.Token]; ok {
				delete(c.replies, a.Token)
				reply(a.Answer)
			}
		case pollencontrol.BecameLeader:
			c.balancer.metrics.CountEvent(pollenmetric.EventLeaderElected, 1)
		case pollencontrol.MembershipChanging:
			c.logMembership(now, a)
		case pollencontrol.UndecodableEntry:
			c.balancer.metrics.CountEvent(pollenmetric.EventUndecodableEntry, 1)
			c.balancer.log.Warn("committed log entry cannot be decoded; skipped", a.Err, pollenrecord.Fields{"index": a.Index})
		case pollencontrol.SendNotice:
			// The nodes of this package are not members of the replicated view, so no
			// notices are sent.
		}
	}
	c.publish(now)
}

func (c *control) logMembership(now time.Time, a pollencontrol.MembershipChanging) {
	fields := pollenrecord.Fields{
		"index": a.Index, "replica": a.Replica.ID, "address": a.Replica.Address, "voter": a.Replica.Voter,
		"removed": a.Removed, "reason": a.Reason,
	}
	if !a.LastContact.IsZero() {
		fields["silent"] = now.Sub(a.LastContact)
	}
	c.balancer.log.Info("membership of the log changing", fields)
}

// publish passes the leader and the committed updates to the balancer. If this
// replica leads but has no lease, it passes on that no leader is known.
func (c *control) publish(now time.Time) {
	s := c.node.LogStatus()
	r, _ := s.Membership.Find(s.Leader)
	l := pollenpeer.Leadership{Leader: r.Address, Term: s.Term, ConfirmedAt: s.LeaderSeen}
	if s.Role == pollenlog.RoleLeader && !s.HasLease {
		l.Leader = netip.AddrPort{}
	}
	c.setLeader(now, l, s.Role)
	c.balancer.applyCommitted(now, s.Role == pollenlog.RoleLeader, func(known pollenview.Revision) pollenview.Update {
		return c.node.UpdateSince(known)
	})
}

// setLeader passes what this replica knows about the leader to the balancer.
func (c *control) setLeader(now time.Time, l pollenpeer.Leadership, role pollenlog.Role) {
	if l.Leader.IsValid() {
		c.leaderSeen = now
	}
	if role != c.role {
		c.role = role
		c.balancer.log.Info("role of this replica changed", pollenrecord.Fields{"role": role, "term": l.Term, "leader": l.Leader})
	}
	c.balancer.confirmLeader(now, l)
}

// requestJoin asks to join the replicas of the log if this replica has known no leader
// for joinDelay or knows no membership. It asks at most once per joinInterval.
func (c *control) requestJoin(now time.Time) {
	if now.Sub(c.leaderSeen) < joinDelay && len(c.node.LogStatus().Membership.Replicas) > 0 || now.Sub(c.lastJoin) < joinInterval {
		return
	}
	c.lastJoin = now
	c.balancer.sendJoin(pollencontrol.Join{ID: c.folder.ID(), Address: c.balancer.settings.Node})
}
