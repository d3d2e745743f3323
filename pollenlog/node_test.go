package pollenlog_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollenlog"
)

// scenario runs one deterministic cluster.
func scenario(t *testing.T, size int, run func(c *cluster)) {
	t.Helper()
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(r, size)
		c.run(4 * election)
		if c.leader() == nil {
			r.Fatalf("no leader after four elections")
		}
		run(c)
	})
}

// A partitioned leader stops accepting proposals within one election timeout.
func TestCutLeaderStopsAccepting(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		old := c.leader()
		old.cut = true
		c.run(election + heartbeat)
		token := c.propose(old, "stale")
		if _, ok := c.accepted[token]; ok {
			c.t.Fatalf("cut leader accepted a proposal after an election timeout")
		}
		c.run(4 * election)
		if l := c.leader(); l == nil || l == old {
			c.t.Fatalf("the majority elected no leader")
		}
		c.heal()
	})
}

// A frozen leader that thaws must not confirm a read from its old state.
func TestThawedLeaderConfirmsNoStaleRead(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		old := c.leader()
		old.frozen = true
		c.run(6 * election)
		l := c.leader()
		token := c.propose(l, "newer")
		c.run(election)
		if _, ok := c.accepted[token]; !ok {
			c.t.Fatalf("new leader rejected a proposal")
		}
		old.frozen = false
		c.token++
		c.floor[c.token] = c.highest()
		c.step(old, pollenlog.ConfirmRead{Token: c.token})
		c.run(2 * election)
		c.heal()
	})
}

// A replica that was cut off does not depose the leader on its return.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		l := c.leader()
		var other *replica
		for _, r := range c.replicas {
			if r != l {
				other = r
			}
		}
		other.cut = true
		c.run(10 * election)
		term := l.node.Status().Term
		other.cut = false
		c.run(4 * election)
		if got := l.node.Status(); got.Role != pollenlog.RoleLeader || got.Term != term {
			c.t.Fatalf("leader of term %d became %s in term %d", term, got.Role, got.Term)
		}
	})
}

// A lost disk comes back as another replica, which has no vote until the
// membership says so.
func TestLostDiskHasNoVote(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		l := c.leader()
		c.propose(l, "kept")
		c.run(election)
		var lost *replica
		for _, r := range c.replicas {
			if r != l {
				lost = r
			}
		}
		lost.disk = pollenlog.StoredState{}
		lost.id = 9
		c.boot(lost)
		l.down = true
		c.run(10 * election)
		if c.leader() != nil {
			c.t.Fatalf("a leader was elected with the vote of a replica that lost its disk")
		}
	})
}

// The lost replica is replaced; then a second host is lost and everything is
// still there.
func TestReplacementThenSecondLoss(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		l := c.leader()
		kept := c.propose(l, "kept")
		c.run(election)
		var lost, second *replica
		for _, r := range c.replicas {
			switch {
			case r == l:
			case lost == nil:
				lost = r
			default:
				second = r
			}
		}
		old := lost.id
		lost.disk = pollenlog.StoredState{}
		lost.id = 9
		c.boot(lost)
		change := func(e pollenlog.ChangeMembership) {
			c.token++
			e.Token = c.token
			c.step(l, e)
			if c.rejected[c.token] {
				c.t.Fatalf("membership change %+v was rejected", e)
			}
			c.run(2 * election)
		}
		change(pollenlog.ChangeMembership{Add: pollenlog.Replica{ID: 9, Address: addressOf(9)}})
		change(pollenlog.ChangeMembership{Remove: old})
		change(pollenlog.ChangeMembership{Add: pollenlog.Replica{ID: 9, Address: addressOf(9), Voter: true}})
		second.disk = pollenlog.StoredState{}
		second.down = true
		token := c.propose(l, "after")
		c.run(2 * election)
		if e, ok := c.committed[c.accepted[token].Index]; !ok || string(e.Data) != "after" {
			c.t.Fatalf("nothing is committed after the second loss")
		}
		if lost.node.Status().Applied < c.accepted[kept].Index {
			c.t.Fatalf("replacement lacks what was committed before")
		}
	})
}

// A planned stop hands leadership over without an election timeout.
func TestTransferIsQuick(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		l := c.leader()
		c.step(l, pollenlog.TransferLeadership{})
		c.run(2 * tick)
		if next := c.leader(); next == nil || next == l {
			c.t.Fatalf("leadership was not handed over within %s", 2*tick)
		}
	})
}

// A follower that lacks compacted entries gets the snapshot.
func TestSnapshotCatchUp(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		l := c.leader()
		var behind *replica
		for _, r := range c.replicas {
			if r != l {
				behind = r
			}
		}
		behind.down = true
		for range 500 {
			c.propose(l, "change")
			c.run(tick)
		}
		c.step(l, pollenlog.Compact{Index: l.node.Status().Applied, Data: []byte("state")})
		c.boot(behind)
		c.run(4 * election)
		if got, want := behind.node.Status().Applied, l.node.Status().Applied; got != want {
			c.t.Fatalf("replica applied %d of %d after 500 changes passed it by", got, want)
		}
	})
}

func BenchmarkPropose(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	n := pollenlog.NewNode(now, pollenlog.Config{
		ID: 1, Address: addressOf(1), ElectionTimeout: election, HeartbeatInterval: heartbeat, Seed: 1, MaxAppendEntries: 64,
	}, pollenlog.StoredState{Hard: pollenlog.HardState{Term: 1}, Snapshot: pollenlog.Snapshot{Index: 1, Term: 1, Membership: pollenlog.Membership{
		Replicas: []pollenlog.Replica{{ID: 1, Address: addressOf(1), Voter: true}},
	}}})
	now = now.Add(2 * election)
	n.Step(now, pollenlog.Tick{})
	data := make([]byte, 200)
	b.ReportAllocs()
	for i := range b.N {
		n.Step(now, pollenlog.Propose{Token: pollenlog.Token(i + 1), Data: data})
		if i%1000 == 999 {
			n.Step(now, pollenlog.Compact{Index: n.Status().Applied})
		}
	}
}

// A vote that was given outlasts a restart.
func TestVoteOutlastsRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		voter := c.replicas[0]
		c.now = c.now.Add(4 * election)
		ask := func(from pollenlog.ReplicaID) bool {
			c.wire = nil
			c.step(voter, pollenlog.Receive{Message: pollenlog.Message{
				Kind: pollenlog.MessageVote, From: from, To: voter.id, Address: addressOf(from), Term: 7,
				Index: 1, LogTerm: 1, Forced: true,
			}})
			return len(c.wire) == 1 && c.wire[0].Kind == pollenlog.MessageVoteReply && !c.wire[0].Reject
		}
		// A candidate that lacks entries moves the term without getting a vote.
		c.step(voter, pollenlog.Receive{Message: pollenlog.Message{
			Kind: pollenlog.MessageVote, From: 3, To: voter.id, Address: addressOf(3), Term: 7, Forced: true,
		}})
		if !ask(2) {
			t.Fatalf("no vote for the first candidate")
		}
		c.boot(voter)
		if ask(3) {
			t.Fatalf("a second vote in the same term after a restart")
		}
		if !ask(2) {
			t.Fatalf("the first vote was not repeated")
		}
	})
}

// A leader commits entries of earlier terms only together with one of its own.
func TestCommitsOnlyOwnTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		leader := c.replicas[0]
		leader.disk.Entries = []pollenlog.Entry{{Index: 2, Term: 2, Kind: pollenlog.EntryCommand, Data: []byte("old")}}
		leader.disk.Hard.Term = 3
		c.boot(leader)
		c.now = c.now.Add(4 * election)
		c.step(leader, pollenlog.Tick{})
		for _, kind := range []pollenlog.MessageKind{pollenlog.MessagePreVoteReply, pollenlog.MessageVoteReply} {
			c.step(leader, pollenlog.Receive{Message: pollenlog.Message{
				Kind: kind, From: 2, To: leader.id, Address: addressOf(2), Term: 4,
			}})
		}
		held := func(at pollenlog.Index) pollenlog.Index {
			c.step(leader, pollenlog.Receive{Message: pollenlog.Message{
				Kind: pollenlog.MessageAppendReply, From: 2, To: leader.id, Address: addressOf(2), Term: 4, Index: at,
			}})
			return leader.node.Status().Commit
		}
		if got := held(2); got != 1 {
			t.Fatalf("committed up to %d with a majority for an entry of an earlier term only", got)
		}
		if got := held(3); got != 3 {
			t.Fatalf("committed up to %d with a majority for the leader's own entry", got)
		}
	})
}

// A replica that restarts without a leader still applies what it knew to be
// committed when it last wrote.
func TestRestartKnowsCommitted(t *testing.T) {
	scenario(t, 3, func(c *cluster) {
		for _, data := range []string{"first", "second"} {
			c.propose(c.leader(), data)
			c.run(election)
		}
		r := c.leader()
		for _, other := range c.replicas {
			other.down = other != r
		}
		c.boot(r)
		c.step(r, pollenlog.Tick{})
		found := false
		for _, e := range r.applied {
			found = found || string(e.Data) == "first"
		}
		if !found {
			c.t.Fatalf("after a restart, %d entries are applied, without the committed one", len(r.applied))
		}
		c.heal()
	})
}
