package pollenlog

import (
	"slices"
	"time"
)

func (n *Node) lastIndex() Index {
	return n.snapshot.Index + Index(len(n.entries))
}

// termAt returns the term of the entry at the index, or zero when the log does
// not contain it.
func (n *Node) termAt(index Index) Term {
	if index == n.snapshot.Index {
		return n.snapshot.Term
	}
	if index < n.snapshot.Index || index > n.lastIndex() {
		return 0
	}
	return n.entries[index-n.snapshot.Index-1].Term
}

// entriesBetween returns the entries from first to last, both included. The
// result shares the log's memory; callers must not modify it.
func (n *Node) entriesBetween(first, last Index) []Entry {
	if first > last {
		return nil
	}
	base := n.snapshot.Index + 1
	return slices.Clip(n.entries[first-base : last-base+1])
}

// markUnsaved marks the entries from the index on as not yet persisted.
func (n *Node) markUnsaved(from Index) {
	if !n.unsavedValid || from < n.unsavedFrom {
		n.unsavedFrom = from
		n.unsavedValid = true
	}
}

// compact replaces the entries up to the event's index by a snapshot. It
// ignores an index that is compacted already or not yet applied.
func (n *Node) compact(e Compact) {
	if e.Index <= n.snapshot.Index || e.Index > n.applied {
		return
	}
	snapshot := Snapshot{
		Index: e.Index, Term: n.termAt(e.Index), Membership: n.membershipAt(e.Index), Data: e.Data,
	}
	n.entries = slices.Clone(n.entries[e.Index-n.snapshot.Index:])
	n.snapshot = snapshot
	n.unsavedSnapshot = &snapshot
	n.unsavedKeepEntries = true
}

// membershipAt returns the membership that the log specifies at the index.
func (n *Node) membershipAt(index Index) Membership {
	for i := len(n.entries) - 1; i >= 0; i-- {
		if n.entries[i].Index <= index && n.entries[i].Kind == EntryMembership {
			return n.entries[i].Membership
		}
	}
	return n.snapshot.Membership
}

// A Status is a Node's state after one Step.
type Status struct {
	ID   ReplicaID
	Role Role
	Term Term
	// Leader is zero when the replica knows none in its term.
	Leader ReplicaID
	// LeaderSeen is when the leader was last known to lead: when its last message
	// was received or, at the leader itself, the time of the last Step.
	LeaderSeen time.Time
	// Last is the index of the last entry, whether committed or not.
	Last Index
	// Commit is the highest index known to be committed.
	Commit Index
	// Applied is the highest applied index; it is at most Commit.
	Applied Index
	// Snapshot is the index up to which entries were compacted.
	Snapshot   Index
	Membership Membership
	// Match is set at a leader only: for each other replica, the highest index
	// at which its log is known to match.
	Match map[ReplicaID]Index
	// LastContact is set at a leader only: for each other replica, the sending
	// time of the latest heartbeat that it answered. Until its first answer it
	// is the time at which this leader was elected or the replica was added.
	LastContact map[ReplicaID]time.Time
	// HasLease reports, at a leader, whether a quorum answered heartbeats that
	// were sent within the last election timeout.
	HasLease bool
	// AppliedOwnTerm reports, at a leader, whether it has applied an entry of
	// its own term, and with it everything that was committed before.
	AppliedOwnTerm bool
}

// Status returns the node's state as of the last Step.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader,
		Last: n.lastIndex(), Commit: n.commit, Applied: n.applied, Snapshot: n.snapshot.Index,
		Membership: n.membership, LeaderSeen: n.leaderSeen,
	}
	if n.role == RoleLeader {
		s.LeaderSeen = n.now
		s.HasLease = n.hasQuorumContact()
		s.AppliedOwnTerm = n.termAt(n.applied) == n.hard.Term
		s.Match = map[ReplicaID]Index{}
		s.LastContact = map[ReplicaID]time.Time{}
		for id, p := range n.progress {
			s.Match[id] = p.match
			s.LastContact[id] = p.ackedAt
		}
	}
	return s
}
