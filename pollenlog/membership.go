package pollenlog

import "slices"

// Find returns the replica with the ID.
func (m Membership) Find(id ReplicaID) (Replica, bool) {
	for _, r := range m.Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// Voters returns the number of voters.
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

// isVoter reports whether the ID is that of a voter.
func (m Membership) isVoter(id ReplicaID) bool {
	r, ok := m.Find(id)
	return ok && r.Voter
}

// with returns the membership with the replica added, or replaced when its ID
// is known.
func (m Membership) with(r Replica) Membership {
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

// without returns the membership without the replica.
func (m Membership) without(id ReplicaID) Membership {
	next := Membership{Replicas: slices.Clone(m.Replicas)}
	next.Replicas = slices.DeleteFunc(next.Replicas, func(r Replica) bool { return r.ID == id })
	return next
}

// changeMembership appends the membership that an event asks for.
func (n *Node) changeMembership(e ChangeMembership) {
	next, err := n.nextMembership(e)
	if err != nil {
		n.emit(Rejected{Token: e.Token, Err: err})
		return
	}
	n.append(e.Token, Entry{Kind: EntryMembership, Membership: next})
}

func (n *Node) nextMembership(e ChangeMembership) (Membership, error) {
	if err := n.mayPropose(); err != nil {
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
		return n.membership.without(e.Remove), nil
	}
	r, ok := n.membership.Find(e.Add.ID)
	if ok && r == e.Add {
		return Membership{}, ErrDuplicateIdentity
	}
	return n.membership.with(e.Add), nil
}

// adoptMembership makes the membership of an appended entry the present one.
func (n *Node) adoptMembership(at Index, m Membership) {
	n.membership = m
	n.membershipIndex = at
	if n.role != RoleLeader {
		return
	}
	for _, r := range m.Replicas {
		if r.ID != n.config.ID && n.progress[r.ID] == nil {
			n.progress[r.ID] = &progress{next: n.lastIndex() + 1, acked: n.now, probing: true}
		}
	}
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
}

// restoreMembership finds the latest membership in the log after a truncation.
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
