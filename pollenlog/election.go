package pollenlog

// startPreVote asks the voters whether they would grant a vote, without raising
// the term, so that a replica that reconnects after a partition does not depose
// a working leader.
func (n *Node) startPreVote() {
	n.role = RolePreCandidate
	n.leader = 0
	n.votes = map[ReplicaID]bool{n.config.ID: true}
	n.resetElectionDeadline()
	if len(n.votes) >= n.membership.Quorum() {
		n.startElection(false)
		return
	}
	n.requestVotes(MessagePreVote, n.hard.Term+1, false)
}

// startElection raises the term and requests votes as a candidate. Forced
// marks an election that a leadership transfer requested.
func (n *Node) startElection(forced bool) {
	n.becomeFollower(n.hard.Term+1, 0)
	n.role = RoleCandidate
	n.hard.Vote = n.config.ID
	n.hardDirty = true
	n.votes = map[ReplicaID]bool{n.config.ID: true}
	if len(n.votes) >= n.membership.Quorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MessageVote, n.hard.Term, forced)
}

func (n *Node) requestVotes(kind MessageKind, term Term, forced bool) {
	for _, r := range n.membership.Replicas {
		if r.ID == n.config.ID || !r.Voter {
			continue
		}
		n.sendTo(r, Message{
			Kind: kind, Term: term, Index: n.lastIndex(), LogTerm: n.termAt(n.lastIndex()), Forced: forced,
		})
	}
}

// handleVoteRequest grants a vote or pre-vote only when the candidate's log is
// at least as up to date as this replica's. A pre-vote changes no state.
func (n *Node) handleVoteRequest(m Message) {
	upToDate := m.LogTerm > n.termAt(n.lastIndex()) ||
		(m.LogTerm == n.termAt(n.lastIndex()) && m.Index >= n.lastIndex())
	if m.Kind == MessagePreVote {
		granted := upToDate && m.Term > n.hard.Term && !n.hasLeaderLease() && n.role != RoleLeader
		reply := Message{Kind: MessagePreVoteReply, Reject: !granted}
		if granted {
			reply.Term = m.Term
		}
		n.reply(m, reply)
		return
	}
	granted := upToDate && (n.hard.Vote == 0 || n.hard.Vote == m.From) && n.role != RoleLeader
	if granted && n.hard.Vote == 0 {
		n.hard.Vote = m.From
		n.hardDirty = true
		n.resetElectionDeadline()
	}
	n.reply(m, Message{Kind: MessageVoteReply, Reject: !granted})
}

// handleVoteReply counts a granted vote or pre-vote and proceeds when a
// majority has granted it.
func (n *Node) handleVoteReply(m Message) {
	wantedTerm := n.hard.Term
	wantedRole := RoleCandidate
	if m.Kind == MessagePreVoteReply {
		wantedTerm = n.hard.Term + 1
		wantedRole = RolePreCandidate
	}
	if n.role != wantedRole || m.Reject || m.Term != wantedTerm || !n.membership.isVoter(m.From) {
		return
	}
	n.votes[m.From] = true
	if len(n.votes) < n.membership.Quorum() {
		return
	}
	if wantedRole == RolePreCandidate {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}

// becomeLeader appends an empty command of the new term, because a leader may
// commit entries of earlier terms only together with one of its own.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.transferTarget = 0
	n.pendingReads = nil
	n.roundSentAt = nil
	n.progress = map[ReplicaID]*progress{}
	for _, r := range n.membership.Replicas {
		if r.ID != n.config.ID {
			n.progress[r.ID] = &progress{next: n.lastIndex() + 1, ackedAt: n.now, probing: true}
		}
	}
	n.append(0, Entry{Kind: EntryCommand})
	n.sendHeartbeats()
}

// startTransfer starts to hand leadership to the voter whose log is the most
// complete among those that answered within one election timeout. It does
// nothing when there is none.
func (n *Node) startTransfer() {
	if n.role != RoleLeader || n.transferTarget != 0 {
		return
	}
	var target ReplicaID
	for id, p := range n.progress {
		if !n.membership.isVoter(id) || n.now.Sub(p.ackedAt) > n.config.ElectionTimeout {
			continue
		}
		if target == 0 || p.match > n.progress[target].match || (p.match == n.progress[target].match && id < target) {
			target = id
		}
	}
	if target == 0 {
		return
	}
	n.transferTarget = target
	n.transferDeadline = n.now.Add(n.config.ElectionTimeout)
	n.continueTransfer()
}

// continueTransfer asks the target to start an election once it holds the
// whole log; until then it sends the missing entries.
func (n *Node) continueTransfer() {
	p := n.progress[n.transferTarget]
	if n.transferTarget == 0 || p == nil {
		return
	}
	if p.match == n.lastIndex() {
		n.send(n.transferTarget, Message{Kind: MessageTransfer})
		return
	}
	n.sendAppend(n.transferTarget, p)
}
