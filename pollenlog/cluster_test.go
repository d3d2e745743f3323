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
	election  = 500 * time.Millisecond
	heartbeat = 100 * time.Millisecond
	tick      = 20 * time.Millisecond
)

// replica is one node with what its disk holds.
type replica struct {
	id      pollenlog.ReplicaID
	node    *pollenlog.Node
	disk    pollenlog.StoredState
	applied []pollenlog.Entry
	down    bool
	frozen  bool
	cut     bool
	// restored is the index up to which a snapshot replaced the entries.
	restored pollenlog.Index
}

// cluster passes messages between replicas in virtual time and checks the
// invariants of consensus after each step.
type cluster struct {
	t        *rapid.T
	now      time.Time
	replicas []*replica
	wire     []pollenlog.Message
	// committed holds every entry applied anywhere, by index.
	committed map[pollenlog.Index]pollenlog.Entry
	leaders   map[pollenlog.Term]pollenlog.ReplicaID
	accepted  map[pollenlog.Token]pollenlog.Accepted
	rejected  map[pollenlog.Token]bool
	confirmed map[pollenlog.Token]pollenlog.Index
	// floor holds the highest committed index when each read was asked for.
	floor map[pollenlog.Token]pollenlog.Index
	token pollenlog.Token
	// seed makes the nodes' election waits differ between schedules.
	seed uint64
}

func addressOf(id pollenlog.ReplicaID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(id)}), 7000)
}

func newCluster(t *rapid.T, size int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), committed: map[pollenlog.Index]pollenlog.Entry{},
		leaders: map[pollenlog.Term]pollenlog.ReplicaID{}, accepted: map[pollenlog.Token]pollenlog.Accepted{},
		rejected: map[pollenlog.Token]bool{}, confirmed: map[pollenlog.Token]pollenlog.Index{},
		floor: map[pollenlog.Token]pollenlog.Index{}, seed: rapid.Uint64().Draw(t, "seed"),
	}
	var membership pollenlog.Membership
	for i := 1; i <= size; i++ {
		id := pollenlog.ReplicaID(i)
		membership.Replicas = append(membership.Replicas, pollenlog.Replica{ID: id, Address: addressOf(id), Voter: true})
	}
	for i := 1; i <= size; i++ {
		r := &replica{id: pollenlog.ReplicaID(i), restored: 1}
		r.disk.Snapshot = pollenlog.Snapshot{Index: 1, Term: 1, Membership: membership}
		r.disk.Hard.Term = 1
		c.replicas = append(c.replicas, r)
		c.boot(r)
	}
	return c
}

func (c *cluster) boot(r *replica) {
	stored := r.disk
	stored.Entries = append([]pollenlog.Entry(nil), stored.Entries...)
	r.node = pollenlog.NewNode(c.now, pollenlog.Config{
		ID: r.id, Address: addressOf(r.id), ElectionTimeout: election, HeartbeatInterval: heartbeat,
		Seed: c.seed ^ uint64(c.now.UnixNano()), MaxAppendEntries: 8,
	}, stored)
	r.applied = nil
	r.restored = stored.Snapshot.Index
	r.down, r.frozen = false, false
}

func (c *cluster) step(r *replica, e pollenlog.Event) {
	for _, a := range r.node.Step(c.now, e) {
		switch a := a.(type) {
		case pollenlog.Persist:
			persist(&r.disk, a)
		case pollenlog.Send:
			c.wire = append(c.wire, a.Message)
		case pollenlog.Apply:
			c.apply(r, a.Entries)
		case pollenlog.Restore:
			r.applied = nil
			r.restored = a.Snapshot.Index
		case pollenlog.Accepted:
			c.accepted[a.Token] = a
		case pollenlog.Rejected:
			c.rejected[a.Token] = true
		case pollenlog.ReadReady:
			c.confirmed[a.Token] = a.Index
			if a.Index < c.floor[a.Token] {
				c.t.Fatalf("read confirmed at %d although %d was committed before it", a.Index, c.floor[a.Token])
			}
		}
	}
	s := r.node.Status()
	if s.Role == pollenlog.RoleLeader {
		if other, ok := c.leaders[s.Term]; ok && other != r.id {
			c.t.Fatalf("replicas %d and %d both lead in term %d", other, r.id, s.Term)
		}
		c.leaders[s.Term] = r.id
	}
}

// persist does to a stored state what a disk does.
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
func (c *cluster) apply(r *replica, entries []pollenlog.Entry) {
	for _, e := range entries {
		want := r.restored + pollenlog.Index(len(r.applied)) + 1
		if e.Index != want {
			c.t.Fatalf("replica %d applied %d in place of %d", r.id, e.Index, want)
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

func (c *cluster) highest() pollenlog.Index {
	highest := pollenlog.Index(1)
	for at := range c.committed {
		highest = max(highest, at)
	}
	return highest
}

// deliver passes on the message at the position.
func (c *cluster) deliver(at int) {
	m := c.wire[at]
	c.wire = append(c.wire[:at], c.wire[at+1:]...)
	from, to := c.find(m.From), c.find(m.To)
	if to == nil || to.down || to.frozen || to.cut || (from != nil && from.cut) {
		return
	}
	c.step(to, pollenlog.Receive{Message: m})
}

func (c *cluster) find(id pollenlog.ReplicaID) *replica {
	for _, r := range c.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// run lets the time pass with every message delivered in order.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		for _, r := range c.replicas {
			if !r.down && !r.frozen {
				c.step(r, pollenlog.Tick{})
			}
		}
		for len(c.wire) > 0 {
			c.deliver(0)
		}
	}
}

// leader returns the leader of the highest term that is up, or nil.
func (c *cluster) leader() *replica {
	var best *replica
	for _, r := range c.replicas {
		if r.down || r.frozen || r.cut || r.node.Status().Role != pollenlog.RoleLeader {
			continue
		}
		if best == nil || r.node.Status().Term > best.node.Status().Term {
			best = r
		}
	}
	return best
}

func (c *cluster) propose(r *replica, data string) pollenlog.Token {
	c.token++
	c.step(r, pollenlog.Propose{Token: c.token, Data: []byte(data)})
	return c.token
}

// heal brings everything back and checks that a leader commits within a few
// elections, and that every acknowledged entry is there.
func (c *cluster) heal() {
	for _, r := range c.replicas {
		r.cut, r.frozen = false, false
		if r.down {
			c.boot(r)
		}
	}
	c.run(10 * election)
	l := c.leader()
	if l == nil {
		c.t.Fatalf("no leader after everything was healed")
	}
	token := c.propose(l, "healed")
	c.run(2 * election)
	a, ok := c.accepted[token]
	if !ok {
		c.t.Fatalf("healed leader rejected a proposal")
	}
	if e, ok := c.committed[a.Index]; !ok || e.Term != a.Term {
		c.t.Fatalf("proposal at %d was not committed after healing", a.Index)
	}
	for _, r := range c.replicas {
		if got := r.node.Status().Applied; got < a.Index {
			c.t.Fatalf("replica %d applied up to %d of %d after healing", r.id, got, a.Index)
		}
	}
}

// TestRandomSchedules checks the invariants of consensus after each step of
// random schedules of crashes, freezes, cuts, lost, doubled and reordered
// messages, snapshots, transfers and membership changes.
func TestRandomSchedules(t *testing.T) {
	schedules, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		schedules++
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			steps++
			c.randomStep(t)
		}
		c.heal()
	})
	t.Logf("%d schedules, %d steps", schedules, steps)
}

// chaos lets ticks pass while messages are delivered in any order, late, or
// not at all.
func (c *cluster) chaos(t *rapid.T, ticks int) {
	loss := rapid.IntRange(0, 50).Draw(t, "loss")
	for range ticks {
		c.now = c.now.Add(tick)
		for _, r := range c.replicas {
			if !r.down && !r.frozen {
				c.step(r, pollenlog.Tick{})
			}
		}
		for n := len(c.wire); n > 0; n-- {
			at := rapid.IntRange(0, len(c.wire)-1).Draw(t, "message")
			switch fate := rapid.IntRange(0, 99).Draw(t, "fate"); {
			case fate < loss:
				c.wire = append(c.wire[:at], c.wire[at+1:]...)
			case fate < 85:
				c.deliver(at)
			}
			if len(c.wire) == 0 {
				break
			}
		}
	}
}

func (c *cluster) randomStep(t *rapid.T) {
	r := c.replicas[rapid.IntRange(0, len(c.replicas)-1).Draw(t, "replica")]
	switch rapid.IntRange(0, 11).Draw(t, "action") {
	case 0:
		c.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
	case 1, 2, 3:
		c.chaos(t, rapid.IntRange(1, 40).Draw(t, "ticks"))
	case 4:
		if len(c.wire) > 0 {
			at := rapid.IntRange(0, len(c.wire)-1).Draw(t, "doubled")
			c.wire = append(c.wire, c.wire[at])
		}
	case 5:
		if l := c.leader(); l != nil && rapid.Bool().Draw(t, "leader") {
			r = l
		}
		if r.down {
			c.boot(r)
		} else {
			r.down = true
		}
	case 6:
		r.frozen = !r.frozen
	case 7:
		r.cut = !r.cut
	case 8, 9, 10:
		// Whoever thinks that it leads may be asked.
		if !r.down && !r.frozen && r.node.Status().Role == pollenlog.RoleLeader {
			c.propose(r, fmt.Sprintf("command %d", c.token))
		} else if l := c.leader(); l != nil {
			c.propose(l, fmt.Sprintf("command %d", c.token))
		}
	case 11:
		c.leaderStep(t, r)
	}
}

func (c *cluster) leaderStep(t *rapid.T, r *replica) {
	switch rapid.IntRange(0, 2).Draw(t, "leader action") {
	case 0:
		if s := r.node.Status(); !r.down && s.Applied > s.Snapshot {
			c.step(r, pollenlog.Compact{Index: s.Applied, Data: []byte("state")})
		}
	case 1:
		if l := c.leader(); l != nil {
			c.step(l, pollenlog.TransferLeadership{})
		}
	case 2:
		if l := c.leader(); l != nil {
			c.token++
			c.floor[c.token] = c.highest()
			c.step(l, pollenlog.ConfirmRead{Token: c.token})
		}
	}
}
