package pollenlog

import (
	"slices"
	"time"
)

func (n *Node) lastIndex() Index {
	return n.snapshot.Index + Index(len(n.entries))
}

// termAt returns the term of the entry at the index, or zero when it is not
// held.
func (n *Node) termAt(at Index) Term {
	if at == n.snapshot.Index {
		return n.snapshot.Term
	}
	if at < n.snapshot.Index || at > n.lastIndex() {
		return 0
	}
	return n.entries[at-n.snapshot.Index-1].Term
}

// slice returns the entries from first to last, both included. The result
// shares the log's memory but is never written through.
func (n *Node) slice(first, last Index) []Entry {
	if first > last {
		return nil
	}
	base := n.snapshot.Index + 1
	return slices.Clip(n.entries[first-base : last-base+1])
}

// markUnsaved notes that entries from the index on are to be persisted.
func (n *Node) markUnsaved(from Index) {
	if !n.unsavedValid || from < n.unsavedFrom {
		n.unsavedFrom = from
		n.unsavedValid = true
	}
}

// compact drops the entries that a snapshot stands for.
func (n *Node) compact(e Compact) {
	if e.Index <= n.snapshot.Index || e.Index > n.applied {
		return
	}
	snapshot := Snapshot{
		Index: e.Index, Term: n.termAt(e.Index), Membership: n.membershipAt(e.Index), Data: e.Data,
	}
	n.entries = slices.Clone(n.entries[e.Index-n.snapshot.Index:])
	n.snapshot = snapshot
	n.unsavedSnap = &snapshot
	n.unsavedKeep = true
}

func (n *Node) membershipAt(at Index) Membership {
	for i := len(n.entries) - 1; i >= 0; i-- {
		if n.entries[i].Index <= at && n.entries[i].Kind == EntryMembership {
			return n.entries[i].Membership
		}
	}
	return n.snapshot.Membership
}

// A Status describes a Node at one moment.
type Status struct {
	ID      ReplicaID
	Role    Role
	Term    Term
	Leader  ReplicaID
	Last    Index
	Commit  Index
	Applied Index
	// Snapshot is the index up to which entries were compacted.
	Snapshot   Index
	Membership Membership
	// Match holds, at a leader, the highest index each other replica holds.
	Match map[ReplicaID]Index
	// Heard holds, at a leader, the sending time of the latest heartbeat that
	// each other replica answered.
	LastContact map[ReplicaID]time.Time
	// Lease reports, at a leader, whether the quorum was in contact within one
	// election timeout.
	HasLease bool
	// Current reports, at a leader, whether it has applied an entry of its own
	// term, and with it everything that was committed before.
	AppliedOwnTerm bool
}

// Status returns the node's state as of the last Step.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Role: n.role, Term: n.hard.Term, Leader: n.leader,
		Last: n.lastIndex(), Commit: n.commit, Applied: n.applied, Snapshot: n.snapshot.Index,
		Membership: n.membership,
	}
	if n.role == RoleLeader {
		s.HasLease = n.quorumContact()
		s.AppliedOwnTerm = n.termAt(n.applied) == n.hard.Term
		s.Match = map[ReplicaID]Index{}
		s.LastContact = map[ReplicaID]time.Time{}
		for id, p := range n.progress {
			s.Match[id] = p.match
			s.LastContact[id] = p.acked
		}
	}
	return s
}
