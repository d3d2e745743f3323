package pollenlog

import "slices"

// Find returns the replica with the ID; the result is false when there is none.
func (m Membership) Find(id ReplicaID) (Replica, bool) {
	for _, r := range m.Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	n := 0
	for _, r := range m.Replicas {
		if r.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that make a majority.
func (m Membership) Quorum() int { return m.VoterCount()/2 + 1 }

// isVoter reports whether the membership contains the ID as a voter.
func (m Membership) isVoter(id ReplicaID) bool {
	r, ok := m.Find(id)
	return ok && r.Voter
}

// withReplica returns a copy of the membership to which the replica is added,
// or in which it replaces the one with the same ID.
func (m Membership) withReplica(r Replica) Membership {
	next := Membership{Replicas: slices.Clone(m.Replicas)}
	for i := range next.Replicas {
		if next.Replicas[i].ID == r.ID {
			next.Replicas[i] = r
			return next
		}
	}
	next.Replicas = append(next.Replicas, r)
	return next
}

// withoutReplica returns a copy of the membership without the replica.
func (m Membership) withoutReplica(id ReplicaID) Membership {
	next := Membership{Replicas: slices.Clone(m.Replicas)}
	next.Replicas = slices.DeleteFunc(next.Replicas, func(r Replica) bool { return r.ID == id })
	return next
}

// changeMembership appends an entry with the membership that results from the
// event, or rejects the event.
func (n *Node) changeMembership(e ChangeMembership) {
	next, err := n.nextMembership(e)
	if err != nil {
		n.emit(Rejected{Token: e.Token, Err: err})
		return
	}
	n.append(e.Token, Entry{Kind: EntryMembership, Membership: next})
}

func (n *Node) nextMembership(e ChangeMembership) (Membership, error) {
	if err := n.checkCanPropose(); err != nil {
		return Membership{}, err
	}
	// A membership change is safe only when the one before it is committed and
	// the leader has committed an entry of its own term.
	if n.membershipIndex > n.commit || n.termAt(n.commit) != n.hard.Term {
		return Membership{}, ErrChangePending
	}
	if e.Remove != 0 {
		r, ok := n.membership.Find(e.Remove)
		if !ok {
			return Membership{}, ErrUnknownReplica
		}
		if r.Voter && n.membership.VoterCount() == 1 {
			return Membership{}, ErrLastVoter
		}
		return n.membership.withoutReplica(e.Remove), nil
	}
	r, ok := n.membership.Find(e.Add.ID)
	if ok && r == e.Add {
		return Membership{}, ErrAlreadyMember
	}
	return n.membership.withReplica(e.Add), nil
}

// useMembership makes the membership of an appended entry the current one. As
// in Raft, a membership takes effect when it is appended, not when it is
// committed.
func (n *Node) useMembership(index Index, m Membership) {
	n.membership = m
	n.membershipIndex = index
	if n.role != RoleLeader {
		return
	}
	for _, r := range m.Replicas {
		if r.ID != n.config.ID && n.progress[r.ID] == nil {
			n.progress[r.ID] = &progress{next: n.lastIndex() + 1, ackedAt: n.now, probing: true}
		}
	}
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
}

// restoreMembership sets the membership to the latest one in the log, or in the
// snapshot when the log has none. It is called at start, after a truncation and
// after a snapshot.
func (n *Node) restoreMembership() {
	for i := len(n.entries) - 1; i >= 0; i-- {
		if n.entries[i].Kind == EntryMembership {
			n.membership = n.entries[i].Membership
			n.membershipIndex = n.entries[i].Index
			return
		}
	}
	n.membership = n.snapshot.Membership
	n.membershipIndex = n.snapshot.Index
}
