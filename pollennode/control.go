package pollennode

import (
	"context"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenstore"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing and limits of a replica of the log.
const (
	// election is many round trips and syncs of a slow disk, and short against
	// the wait of an operator.
	election              = 450 * time.Millisecond
	heartbeatsPerElection = 5
	maxAppend             = 16
	// compactEvery bounds the documents that the log holds at once.
	compactEvery    = 24
	controlInterval = 250 * time.Millisecond
	// decideBound ends the wait for an undecided order; its sender asks again.
	decideBound = 3 * time.Second
	maxReplicas = 7
	controlTick = 35 * time.Millisecond
	joinAfter   = 1500 * time.Millisecond
	joinEvery   = 400 * time.Millisecond
	reopenEvery = 400 * time.Millisecond
	inboxSize   = 1024
)

// control runs this host's replica of the log in a goroutine of its own, so
// that a disk that stalls holds up nothing else.
type control struct {
	b     *Balancer
	files pollenstore.FileSystem
	// seed names the replica when its folder is empty.
	seed  uint64
	inbox chan controlEvent
	// direct makes post handle events itself, for a program that is driven by
	// one goroutine.
	direct bool

	// The fields below belong to the goroutine.
	folder *pollenstore.Folder
	node   *pollencontrol.Node
	// retry is when a folder that failed is opened again.
	retry   time.Time
	token   pollencontrol.Token
	waiting map[pollencontrol.Token]func(pollencontrol.Answer)
	// led is when a leader was last known.
	led    time.Time
	joined time.Time
	leader netip.AddrPort
	role   pollenlog.Role
}

// A controlEvent is an event with what to do with its answer.
type controlEvent struct {
	event func(token pollencontrol.Token) pollencontrol.Event
	reply func(pollencontrol.Answer)
}

func newControl(b *Balancer, parts Dependencies) *control {
	return &control{
		b: b, files: parts.Files, seed: parts.Seed, direct: parts.Synchronous, inbox: make(chan controlEvent, inboxSize),
		waiting: map[pollencontrol.Token]func(pollencontrol.Answer){},
	}
}

// post queues an event; a full queue loses it, as a network may.
func (c *control) post(now time.Time, e controlEvent) {
	if c.direct {
		c.take(now, e)
		return
	}
	select {
	case c.inbox <- e:
	default:
		c.b.metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

// postMessage queues an event that has no answer.
func (c *control) postMessage(now time.Time, e pollencontrol.Event) {
	c.post(now, controlEvent{event: func(pollencontrol.Token) pollencontrol.Event { return e }})
}

// serve runs the replica until the context ends.
func (c *control) serve(ctx context.Context) error {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.inbox:
			c.take(time.Now(), e)
		case <-ticker.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) take(now time.Time, e controlEvent) {
	if c.node == nil {
		if e.reply != nil {
			e.reply(pollencontrol.Answer{Verdict: pollencontrol.VerdictNotRun, Reason: "data folder is not open"})
		}
		return
	}
	c.token++
	if e.reply != nil {
		c.waiting[c.token] = e.reply
	}
	c.step(now, e.event(c.token))
}

func (c *control) tick(now time.Time) {
	if c.node == nil {
		if now.Before(c.retry) {
			return
		}
		if err := c.open(now); err != nil {
			c.fail(now, err)
			return
		}
	}
	if c.folder.Empty() && c.b.mayFound(now) {
		if err := c.found(now); err != nil {
			c.fail(now, err)
			return
		}
	}
	c.step(now, pollencontrol.Tick{})
	if c.node != nil {
		c.join(now)
	}
}

// open opens the data folder and makes the replica that it holds.
func (c *control) open(now time.Time) error {
	folder, stored, err := pollenstore.Open(c.files, c.b.settings.DataFolder, func() pollenlog.ReplicaID {
		return pollenlog.ReplicaID(c.seed | 1)
	})
	if err != nil {
		return err
	}
	c.folder, c.led = folder, now
	return c.start(now, stored)
}

func (c *control) start(now time.Time, stored pollenlog.StoredState) error {
	var err error
	c.node, err = pollencontrol.NewNode(now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: c.folder.ID(), Address: c.b.settings.Node, ElectionTimeout: election,
			HeartbeatInterval: election / heartbeatsPerElection, Seed: uint64(c.folder.ID()), MaxAppendEntries: maxAppend,
		},
		Codec: pollenwire.ControlCodec{}, Lease: joinAfter, CheckInterval: controlInterval, CompactEvery: compactEvery,
		Guard: pollencontrol.HalfGuard{}, PendingTimeout: decideBound, Replicas: maxReplicas, AutoRepair: true,
	}, stored)
	if err != nil {
		return err
	}
	c.b.record.Info("data folder opened", pollenrecord.Fields{
		"replica": c.folder.ID(), "term": stored.Hard.Term, "snapshot": stored.Snapshot.Index,
		"entries": len(stored.Entries), "empty": c.folder.Empty(),
	})
	c.publish(now)
	return nil
}

func (c *control) found(now time.Time) error {
	stored, err := c.folder.Bootstrap(c.b.settings.Node)
	if err != nil {
		return err
	}
	c.b.record.Info("founding a new system", pollenrecord.Fields{"replica": c.folder.ID()})
	return c.start(now, stored)
}

// fail gives the replica up until its folder can be opened again. What it was
// asked is answered as undecided.
func (c *control) fail(now time.Time, err error) {
	c.b.record.Warn("data folder failed; this host takes no part in control until it opens again", err, nil)
	if c.folder != nil {
		if err := c.folder.Close(); err != nil {
			c.b.record.Warn("data folder not closed", err, nil)
		}
	}
	c.folder, c.node, c.retry = nil, nil, now.Add(reopenEvery)
	for token, reply := range c.waiting {
		delete(c.waiting, token)
		reply(pollencontrol.Answer{Verdict: pollencontrol.VerdictUnknown, Reason: "data folder failed"})
	}
	c.setLeader(now, netip.AddrPort{}, pollenlog.RoleFollower, 0)
}

// step passes an event to the node and carries out its actions in order.
func (c *control) step(now time.Time, e pollencontrol.Event) {
	for _, a := range c.node.Step(now, e) {
		switch a := a.(type) {
		case pollencontrol.Persist:
			if err := c.folder.Persist(a.Unit); err != nil {
				c.fail(now, err)
				return
			}
		case pollencontrol.SendLog:
			c.b.sendLog(a.To, &a.Message)
		case pollencontrol.Reply:
			if reply, ok := c.waiting[a.Token]; ok {
				delete(c.waiting, a.Token)
				reply(a.Answer)
			}
		case pollencontrol.BecameLeader:
			c.b.metrics.CountEvent(pollenmetric.EventLeaderElected, 1)
		case pollencontrol.UndecodableEntry:
			c.b.metrics.CountEvent(pollenmetric.EventUndecodableEntry, 1)
			c.b.record.Warn("committed entry skipped", a.Err, pollenrecord.Fields{"index": a.Index})
		case pollencontrol.SendNotice:
			// Nodes of this package are no members of the log's view.
		}
	}
	c.publish(now)
}

// publish hands what was committed to the balancer.
func (c *control) publish(now time.Time) {
	s := c.node.LogStatus()
	r, _ := s.Membership.Find(s.Leader)
	leader := r.Address
	if s.Role == pollenlog.RoleLeader && !s.HasLease {
		leader = netip.AddrPort{}
	}
	c.setLeader(now, leader, s.Role, s.Term)
	c.b.committed(now, s.Role == pollenlog.RoleLeader, func(have pollenview.Revision) pollenview.Update {
		return c.node.UpdateSince(have)
	})
}

func (c *control) setLeader(now time.Time, leader netip.AddrPort, role pollenlog.Role, term pollenlog.Term) {
	if leader.IsValid() {
		c.led = now
	}
	if leader == c.leader && role == c.role {
		return
	}
	c.leader, c.role = leader, role
	c.b.setLeader(leader, role, term)
}

// join asks to be taken in while no leader counts this replica in.
func (c *control) join(now time.Time) {
	if now.Sub(c.led) < joinAfter && len(c.node.LogStatus().Membership.Replicas) > 0 || now.Sub(c.joined) < joinEvery {
		return
	}
	c.joined = now
	c.b.sendJoin(pollencontrol.Join{ID: c.folder.ID(), Address: c.b.settings.Node})
}
