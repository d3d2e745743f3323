package pollenlog_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollenlog"
)

// runScenario calls run with a cluster that has elected a leader. The election
// timeouts are random; there are no faults except those that run causes.
func runScenario(t *testing.T, size int, run func(c *testCluster)) {
	t.Helper()
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(r, size)
		c.run(4 * electionTimeout)
		if c.currentLeader() == nil {
			r.Fatalf("no leader after four election timeouts")
		}
		run(c)
	})
}

// The entries that a partitioned leader accepts are never committed. It must
// start to reject proposals within one election timeout.
func TestPartitionedLeaderRejectsProposals(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		old := c.currentLeader()
		old.isolated = true
		c.run(electionTimeout + heartbeatInterval)
		token := c.propose(old, "stale")
		if _, ok := c.accepted[token]; ok {
			c.t.Fatalf("partitioned leader accepted a proposal after an election timeout")
		}
		c.run(4 * electionTimeout)
		if l := c.currentLeader(); l == nil || l == old {
			c.t.Fatalf("the majority elected no leader")
		}
		c.healAndCheck()
	})
}

// A leader whose process was suspended does not know that another leader was
// elected. When it resumes, it must not confirm a read from its old state.
func TestResumedLeaderConfirmsNoStaleRead(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		old := c.currentLeader()
		old.frozen = true
		c.run(6 * electionTimeout)
		l := c.currentLeader()
		token := c.propose(l, "newer")
		c.run(electionTimeout)
		if _, ok := c.accepted[token]; !ok {
			c.t.Fatalf("new leader rejected a proposal")
		}
		old.frozen = false
		c.token++
		c.minReadIndex[c.token] = c.highestCommitted()
		c.step(old, pollenlog.ConfirmRead{Token: c.token})
		c.run(2 * electionTimeout)
		c.healAndCheck()
	})
}

// A partitioned replica keeps starting elections that it cannot win. Without
// pre-vote, its term rises meanwhile, and on reconnection it deposes the working
// leader.
func TestReconnectedReplicaDoesNotDeposeLeader(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		l := c.currentLeader()
		var other *testReplica
		for _, r := range c.replicas {
			if r != l {
				other = r
			}
		}
		other.isolated = true
		c.run(10 * electionTimeout)
		term := l.node.Status().Term
		other.isolated = false
		c.run(4 * electionTimeout)
		if got := l.node.Status(); got.Role != pollenlog.RoleLeader || got.Term != term {
			c.t.Fatalf("leader of term %d became %s in term %d", term, got.Role, got.Term)
		}
	})
}

// A replica that lost its disk has also lost its vote and its entries, so its
// vote could elect a leader without the committed entries. It returns under a
// new ID, which has no vote until the membership makes it a voter.
func TestReplicaWithLostDiskHasNoVote(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		l := c.currentLeader()
		c.propose(l, "kept")
		c.run(electionTimeout)
		var lost *testReplica
		for _, r := range c.replicas {
			if r != l {
				lost = r
			}
		}
		lost.disk = pollenlog.StoredState{}
		lost.id = 9
		c.start(lost)
		l.down = true
		c.run(10 * electionTimeout)
		if c.currentLeader() != nil {
			c.t.Fatalf("a leader was elected with the vote of a replica that lost its disk")
		}
	})
}

// A replacement that becomes a voter before it holds the whole log would make
// the loss of a second host lose committed entries. The new replica joins as a
// learner, the old one is removed, and the new one is promoted to a voter.
func TestReplacedReplicaSurvivesSecondLoss(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		l := c.currentLeader()
		before := c.propose(l, "kept")
		c.run(electionTimeout)
		var lost, second *testReplica
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
		c.start(lost)
		change := func(e pollenlog.ChangeMembership) {
			c.token++
			e.Token = c.token
			c.step(l, e)
			if c.rejected[c.token] {
				c.t.Fatalf("membership change %+v was rejected", e)
			}
			c.run(2 * electionTimeout)
		}
		change(pollenlog.ChangeMembership{Add: pollenlog.Replica{ID: 9, Address: replicaAddress(9)}})
		change(pollenlog.ChangeMembership{Remove: old})
		change(pollenlog.ChangeMembership{Add: pollenlog.Replica{ID: 9, Address: replicaAddress(9), Voter: true}})
		second.disk = pollenlog.StoredState{}
		second.down = true
		token := c.propose(l, "after")
		c.run(2 * electionTimeout)
		if e, ok := c.committed[c.accepted[token].Index]; !ok || string(e.Data) != "after" {
			c.t.Fatalf("the proposal after the second loss was not committed")
		}
		if lost.node.Status().Applied < c.accepted[before].Index {
			c.t.Fatalf("replacement has not applied index %d, which was committed before the loss", c.accepted[before].Index)
		}
	})
}

// A leader that stops as planned must not leave the cluster without a leader
// for an election timeout: it transfers leadership before it stops.
func TestTransferNeedsNoElectionTimeout(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		l := c.currentLeader()
		c.step(l, pollenlog.TransferLeadership{})
		c.run(2 * tickInterval)
		if next := c.currentLeader(); next == nil || next == l {
			c.t.Fatalf("leadership was not transferred within %s", 2*tickInterval)
		}
	})
}

// A follower that lacks entries which the leader has compacted cannot catch up
// by appends; the leader must send it the snapshot.
func TestSnapshotCatchUp(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		l := c.currentLeader()
		var lagging *testReplica
		for _, r := range c.replicas {
			if r != l {
				lagging = r
			}
		}
		lagging.down = true
		for range 500 {
			c.propose(l, "change")
			c.run(tickInterval)
		}
		c.step(l, pollenlog.Compact{Index: l.node.Status().Applied, Data: []byte("state")})
		c.start(lagging)
		c.run(4 * electionTimeout)
		if got, want := lagging.node.Status().Applied, l.node.Status().Applied; got != want {
			c.t.Fatalf("replica applied up to index %d, want %d, after it missed 500 entries", got, want)
		}
	})
}

// TestLongEntriesAreSentInParts guards against append messages that no receiver takes:
// a follower that had missed four documents of 1,640 routes got all of them in one
// message of more than the maximum size, again and again.
func TestLongEntriesAreSentInParts(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		l := c.currentLeader()
		lagging := c.replicas[0]
		if lagging == l {
			lagging = c.replicas[1]
		}
		lagging.isolated = true
		for _, size := range []int{400, 400, 400, 3 * maxAppendBytes, 400, 10, 10, 10} {
			c.propose(l, strings.Repeat("x", size))
			c.run(tickInterval)
		}
		lagging.isolated = false
		c.onSend = func(m pollenlog.Message) {
			size := 0
			for _, e := range m.Entries {
				size += len(e.Data)
			}
			if len(m.Entries) > 1 && size > maxAppendBytes {
				c.t.Fatalf("%d entries of %d bytes in one message; want at most %d bytes", len(m.Entries), size, maxAppendBytes)
			}
		}
		c.run(4 * electionTimeout)
		if got, want := lagging.node.Status().Applied, l.node.Status().Applied; got != want {
			c.t.Fatalf("replica applied up to index %d, want %d, after it missed long entries", got, want)
		}
	})
}

// BenchmarkPropose measures a proposal of 200 bytes at the only replica of a
// cluster, with a compaction after every 1000 proposals.
func BenchmarkPropose(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	n := pollenlog.NewNode(now, pollenlog.Config{
		ID: 1, Address: replicaAddress(1), ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Seed: 1, MaxAppendEntries: 64, MaxAppendBytes: 1 << 20,
	}, pollenlog.StoredState{Hard: pollenlog.HardState{Term: 1}, Snapshot: pollenlog.Snapshot{Index: 1, Term: 1, Membership: pollenlog.Membership{
		Replicas: []pollenlog.Replica{{ID: 1, Address: replicaAddress(1), Voter: true}},
	}}})
	now = now.Add(2 * electionTimeout)
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

// A replica that loses its vote in a restart could vote twice in one term and
// so elect two leaders. The first candidate lacks entries and gets no vote, but
// moves the voter to the new term.
func TestVoteSurvivesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		voter := c.replicas[0]
		c.now = c.now.Add(4 * electionTimeout)
		requestVote := func(from pollenlog.ReplicaID) bool {
			c.inFlight = nil
			c.step(voter, pollenlog.Receive{Message: pollenlog.Message{
				Kind: pollenlog.MessageVote, From: from, To: voter.id, Address: replicaAddress(from), Term: 7,
				Index: 1, LogTerm: 1, Forced: true,
			}})
			return len(c.inFlight) == 1 && c.inFlight[0].Kind == pollenlog.MessageVoteReply && !c.inFlight[0].Reject
		}
		// This candidate's log is behind, so it moves the term but gets no
		// vote. The vote that follows is then the only change of state to
		// persist.
		c.step(voter, pollenlog.Receive{Message: pollenlog.Message{
			Kind: pollenlog.MessageVote, From: 3, To: voter.id, Address: replicaAddress(3), Term: 7, Forced: true,
		}})
		if !requestVote(2) {
			t.Fatalf("no vote for the first candidate with an up-to-date log")
		}
		c.start(voter)
		if requestVote(3) {
			t.Fatalf("the replica voted for a second candidate in the same term after a restart")
		}
		if !requestVote(2) {
			t.Fatalf("the replica did not repeat its vote for the first candidate after a restart")
		}
	})
}

// An entry of an earlier term can still be overwritten even when a majority
// holds it (figure 8 of the Raft paper). A leader must commit it only together
// with an entry of its own term.
func TestLeaderCommitsOnlyOwnTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		leader := c.replicas[0]
		leader.disk.Entries = []pollenlog.Entry{{Index: 2, Term: 2, Kind: pollenlog.EntryCommand, Data: []byte("old")}}
		leader.disk.Hard.Term = 3
		c.start(leader)
		c.now = c.now.Add(4 * electionTimeout)
		c.step(leader, pollenlog.Tick{})
		for _, kind := range []pollenlog.MessageKind{pollenlog.MessagePreVoteReply, pollenlog.MessageVoteReply} {
			c.step(leader, pollenlog.Receive{Message: pollenlog.Message{
				Kind: kind, From: 2, To: leader.id, Address: replicaAddress(2), Term: 4,
			}})
		}
		acknowledge := func(at pollenlog.Index) pollenlog.Index {
			c.step(leader, pollenlog.Receive{Message: pollenlog.Message{
				Kind: pollenlog.MessageAppendReply, From: 2, To: leader.id, Address: replicaAddress(2), Term: 4, Index: at,
			}})
			return leader.node.Status().Commit
		}
		if got := acknowledge(2); got != 1 {
			t.Fatalf("committed up to index %d, want 1: the majority holds no entry of the leader's term", got)
		}
		if got := acknowledge(3); got != 3 {
			t.Fatalf("committed up to index %d, want 3: the majority holds the leader's own entry", got)
		}
	})
}

// Without a stored commit index, a restarted replica would apply nothing until
// it has a leader. It must apply what it knew to be committed at its last write.
func TestRestartedReplicaAppliesCommitted(t *testing.T) {
	runScenario(t, 3, func(c *testCluster) {
		for _, data := range []string{"first", "second"} {
			c.propose(c.currentLeader(), data)
			c.run(electionTimeout)
		}
		r := c.currentLeader()
		for _, other := range c.replicas {
			other.down = other != r
		}
		c.start(r)
		c.step(r, pollenlog.Tick{})
		found := false
		for _, e := range r.applied {
			found = found || string(e.Data) == "first"
		}
		if !found {
			c.t.Fatalf("the restarted replica applied %d entries without the committed one", len(r.applied))
		}
		c.healAndCheck()
	})
}
