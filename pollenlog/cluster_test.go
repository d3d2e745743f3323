package pollenlog_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollenlog"
)

const (
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	maxAppendBytes    = 1000
)

// testReplica is a Node with the state on its simulated disk.
type testReplica struct {
	id       pollenlog.ReplicaID
	node     *pollenlog.Node
	disk     pollenlog.StoredState
	applied  []pollenlog.Entry
	down     bool
	frozen   bool
	isolated bool
	// snapshotIndex is the index up to which a snapshot replaces the entries.
	snapshotIndex pollenlog.Index
}

// testCluster passes messages between replicas in virtual time and checks the
// safety properties of consensus after each step.
type testCluster struct {
	t        *rapid.T
	now      time.Time
	replicas []*testReplica
	inFlight []pollenlog.Message
	// committed holds every entry that any replica has applied, by index.
	committed map[pollenlog.Index]pollenlog.Entry
	leaders   map[pollenlog.Term]pollenlog.ReplicaID
	accepted  map[pollenlog.Token]pollenlog.Accepted
	rejected  map[pollenlog.Token]bool
	readIndex map[pollenlog.Token]pollenlog.Index
	// minReadIndex holds, for each read, the highest committed index at the time
	// of the request.
	minReadIndex map[pollenlog.Token]pollenlog.Index
	token        pollenlog.Token
	// onSend is nil, or called for each message that is sent.
	onSend func(m pollenlog.Message)
	// seed makes the random election timeouts differ between schedules.
	seed uint64
}

func replicaAddress(id pollenlog.ReplicaID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(id)}), 7000)
}

func newCluster(t *rapid.T, size int) *testCluster {
	c := &testCluster{
		t: t, now: time.Unix(1_000_000, 0), committed: map[pollenlog.Index]pollenlog.Entry{},
		leaders: map[pollenlog.Term]pollenlog.ReplicaID{}, accepted: map[pollenlog.Token]pollenlog.Accepted{},
		rejected: map[pollenlog.Token]bool{}, readIndex: map[pollenlog.Token]pollenlog.Index{},
		minReadIndex: map[pollenlog.Token]pollenlog.Index{}, seed: rapid.Uint64().Draw(t, "seed"),
	}
	var membership pollenlog.Membership
	for i := 1; i <= size; i++ {
		id := pollenlog.ReplicaID(i)
		membership.Replicas = append(membership.Replicas, pollenlog.Replica{ID: id, Address: replicaAddress(id), Voter: true})
	}
	for i := 1; i <= size; i++ {
		r := &testReplica{id: pollenlog.ReplicaID(i), snapshotIndex: 1}
		r.disk.Snapshot = pollenlog.Snapshot{Index: 1, Term: 1, Membership: membership}
		r.disk.Hard.Term = 1
		c.replicas = append(c.replicas, r)
		c.start(r)
	}
	return c
}

func (c *testCluster) start(r *testReplica) {
	stored := r.disk
	stored.Entries = append([]pollenlog.Entry(nil), stored.Entries...)
	r.node = pollenlog.NewNode(c.now, pollenlog.Config{
		ID: r.id, Address: replicaAddress(r.id), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		Seed: c.seed ^ uint64(c.now.UnixNano()), MaxAppendEntries: 8, MaxAppendBytes: maxAppendBytes,
	}, stored)
	r.applied = nil
	r.snapshotIndex = stored.Snapshot.Index
	r.down, r.frozen = false, false
}

func (c *testCluster) step(r *testReplica, e pollenlog.Event) {
	for _, a := range r.node.Step(c.now, e) {
		switch a := a.(type) {
		case pollenlog.Persist:
			persist(&r.disk, a)
		case pollenlog.Send:
			c.inFlight = append(c.inFlight, a.Message)
			if c.onSend != nil {
				c.onSend(a.Message)
			}
		case pollenlog.Apply:
			c.apply(r, a.Entries)
		case pollenlog.Restore:
			r.applied = nil
			r.snapshotIndex = a.Snapshot.Index
		case pollenlog.Accepted:
			c.accepted[a.Token] = a
		case pollenlog.Rejected:
			c.rejected[a.Token] = true
		case pollenlog.ReadReady:
			c.readIndex[a.Token] = a.Index
			if a.Index < c.minReadIndex[a.Token] {
				c.t.Fatalf("read confirmed at index %d although index %d was committed before the request", a.Index, c.minReadIndex[a.Token])
			}
		}
	}
	s := r.node.Status()
	if s.Role == pollenlog.RoleLeader {
		if other, ok := c.leaders[s.Term]; ok && other != r.id {
			c.t.Fatalf("replicas %d and %d are both leader of term %d", other, r.id, s.Term)
		}
		c.leaders[s.Term] = r.id
	}
}

// persist applies a Persist to the state on a simulated disk.
func persist(disk *pollenlog.StoredState, p pollenlog.Persist) {
	if p.Snapshot != nil {
		if drop := int(p.Snapshot.Index - disk.Snapshot.Index); p.KeepEntries && drop <= len(disk.Entries) {
			disk.Entries = append([]pollenlog.Entry(nil), disk.Entries[drop:]...)
		} else {
			disk.Entries = nil
		}
		disk.Snapshot = *p.Snapshot
	}
	if p.Hard != nil {
		disk.Hard = *p.Hard
	}
	if len(p.Entries) > 0 {
		at := int(p.Entries[0].Index - disk.Snapshot.Index - 1)
		disk.Entries = append(append([]pollenlog.Entry(nil), disk.Entries[:at]...), p.Entries...)
	}
}

// apply checks that every replica applies the same entry at each index, in
// order and without gaps.
func (c *testCluster) apply(r *testReplica, entries []pollenlog.Entry) {
	for _, e := range entries {
		want := r.snapshotIndex + pollenlog.Index(len(r.applied)) + 1
		if e.Index != want {
			c.t.Fatalf("replica %d applied index %d, want index %d", r.id, e.Index, want)
		}
		r.applied = append(r.applied, e)
		if known, ok := c.committed[e.Index]; ok {
			if known.Term != e.Term || string(known.Data) != string(e.Data) {
				c.t.Fatalf("index %d was committed as term %d %q and as term %d %q", e.Index, known.Term, known.Data, e.Term, e.Data)
			}
			continue
		}
		c.committed[e.Index] = e
	}
}

func (c *testCluster) highestCommitted() pollenlog.Index {
	index := pollenlog.Index(1)
	for at := range c.committed {
		index = max(index, at)
	}
	return index
}

// deliver removes the message at the position from those in flight and delivers
// it, unless its sender or receiver cannot be reached.
func (c *testCluster) deliver(at int) {
	m := c.inFlight[at]
	c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
	from, to := c.find(m.From), c.find(m.To)
	if to == nil || to.down || to.frozen || to.isolated || (from != nil && from.isolated) {
		return
	}
	c.step(to, pollenlog.Receive{Message: m})
}

func (c *testCluster) find(id pollenlog.ReplicaID) *testReplica {
	for _, r := range c.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// run advances the time by d and delivers every message in order.
func (c *testCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		for _, r := range c.replicas {
			if !r.down && !r.frozen {
				c.step(r, pollenlog.Tick{})
			}
		}
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
	}
}

// currentLeader returns the reachable leader of the highest term, or nil.
func (c *testCluster) currentLeader() *testReplica {
	var best *testReplica
	for _, r := range c.replicas {
		if r.down || r.frozen || r.isolated || r.node.Status().Role != pollenlog.RoleLeader {
			continue
		}
		if best == nil || r.node.Status().Term > best.node.Status().Term {
			best = r
		}
	}
	return best
}

func (c *testCluster) propose(r *testReplica, data string) pollenlog.Token {
	c.token++
	c.step(r, pollenlog.Propose{Token: c.token, Data: []byte(data)})
	return c.token
}

// healAndCheck reconnects and restarts every replica. It then checks that a
// leader commits a new entry within a few election timeouts and that every
// replica applies it; apply detects a lost or changed entry below it.
func (c *testCluster) healAndCheck() {
	for _, r := range c.replicas {
		r.isolated, r.frozen = false, false
		if r.down {
			c.start(r)
		}
	}
	c.run(10 * electionTimeout)
	l := c.currentLeader()
	if l == nil {
		c.t.Fatalf("no leader %s after all faults were repaired", 10*electionTimeout)
	}
	token := c.propose(l, "healed")
	c.run(2 * electionTimeout)
	a, ok := c.accepted[token]
	if !ok {
		c.t.Fatalf("leader %d rejected a proposal after all faults were repaired", l.id)
	}
	if e, ok := c.committed[a.Index]; !ok || e.Term != a.Term {
		c.t.Fatalf("proposal at index %d was not committed after all faults were repaired", a.Index)
	}
	for _, r := range c.replicas {
		if got := r.node.Status().Applied; got < a.Index {
			c.t.Fatalf("replica %d applied up to index %d, want at least %d, after all faults were repaired", r.id, got, a.Index)
		}
	}
}

// TestRandomSchedules checks after each step of random schedules that a term
// has one leader, that all replicas apply the same entries and that no read is
// stale. The schedules contain crashes, frozen and partitioned replicas, lost,
// duplicated and reordered messages, snapshots and leadership transfers.
func TestRandomSchedules(t *testing.T) {
	schedules, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		schedules++
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			steps++
			c.randomStep(t)
		}
		c.healAndCheck()
	})
	t.Logf("%d schedules, %d steps", schedules, steps)
}

// runUnreliable advances the time by a number of ticks. Messages are delivered
// in random order, delayed or lost.
func (c *testCluster) runUnreliable(t *rapid.T, ticks int) {
	loss := rapid.IntRange(0, 50).Draw(t, "loss")
	for range ticks {
		c.now = c.now.Add(tickInterval)
		for _, r := range c.replicas {
			if !r.down && !r.frozen {
				c.step(r, pollenlog.Tick{})
			}
		}
		for n := len(c.inFlight); n > 0; n-- {
			at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
			switch fate := rapid.IntRange(0, 99).Draw(t, "fate"); {
			case fate < loss:
				c.inFlight = append(c.inFlight[:at], c.inFlight[at+1:]...)
			case fate < 85:
				c.deliver(at)
			}
			if len(c.inFlight) == 0 {
				break
			}
		}
	}
}

func (c *testCluster) randomStep(t *rapid.T) {
	r := c.replicas[rapid.IntRange(0, len(c.replicas)-1).Draw(t, "replica")]
	switch rapid.IntRange(0, 11).Draw(t, "action") {
	case 0:
		c.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tickInterval)
	case 1, 2, 3:
		c.runUnreliable(t, rapid.IntRange(1, 40).Draw(t, "ticks"))
	case 4:
		if len(c.inFlight) > 0 {
			at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "doubled")
			c.inFlight = append(c.inFlight, c.inFlight[at])
		}
	case 5:
		if l := c.currentLeader(); l != nil && rapid.Bool().Draw(t, "leader") {
			r = l
		}
		if r.down {
			c.start(r)
		} else {
			r.down = true
		}
	case 6:
		r.frozen = !r.frozen
	case 7:
		r.isolated = !r.isolated
	case 8, 9, 10:
		// The proposal may go to a deposed leader that has not yet received
		// the new term.
		if !r.down && !r.frozen && r.node.Status().Role == pollenlog.RoleLeader {
			c.propose(r, fmt.Sprintf("command %d", c.token))
		} else if l := c.currentLeader(); l != nil {
			c.propose(l, fmt.Sprintf("command %d", c.token))
		}
	case 11:
		c.randomNodeStep(t, r)
	}
}

// randomNodeStep compacts the replica, or requests a leadership transfer or a
// read from the leader.
func (c *testCluster) randomNodeStep(t *rapid.T, r *testReplica) {
	switch rapid.IntRange(0, 2).Draw(t, "leader action") {
	case 0:
		if s := r.node.Status(); !r.down && s.Applied > s.Snapshot {
			c.step(r, pollenlog.Compact{Index: s.Applied, Data: []byte("state")})
		}
	case 1:
		if l := c.currentLeader(); l != nil {
			c.step(l, pollenlog.TransferLeadership{})
		}
	case 2:
		if l := c.currentLeader(); l != nil {
			c.token++
			c.minReadIndex[c.token] = c.highestCommitted()
			c.step(l, pollenlog.ConfirmRead{Token: c.token})
		}
	}
}
