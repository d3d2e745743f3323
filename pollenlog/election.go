package pollenlog

// preCampaign asks whether an election could be won, without raising the term,
// so that a replica that was cut off does not disturb the others on its return.
func (n *Node) preCampaign() {
	n.role = RolePreCandidate
	n.leader = 0
	n.votes = map[ReplicaID]bool{n.config.ID: true}
	n.resetDeadline()
	if len(n.votes) >= n.membership.Quorum() {
		n.campaign(false)
		return
	}
	n.requestVotes(MessagePreVote, n.hard.Term+1, false)
}

// campaign stands for election in the next term.
func (n *Node) campaign(forced bool) {
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

func (n *Node) answerVote(m Message) {
	current := m.LogTerm > n.termAt(n.lastIndex()) ||
		(m.LogTerm == n.termAt(n.lastIndex()) && m.Index >= n.lastIndex())
	if m.Kind == MessagePreVote {
		granted := current && m.Term > n.hard.Term && !n.inLease() && n.role != RoleLeader
		answer := Message{Kind: MessagePreVoteReply, Reject: !granted}
		if granted {
			answer.Term = m.Term
		}
		n.reply(m, answer)
		return
	}
	granted := current && (n.hard.Vote == 0 || n.hard.Vote == m.From) && n.role != RoleLeader
	if granted && n.hard.Vote == 0 {
		n.hard.Vote = m.From
		n.hardDirty = true
		n.resetDeadline()
	}
	n.reply(m, Message{Kind: MessageVoteReply, Reject: !granted})
}

func (n *Node) countVote(m Message) {
	wanted := n.hard.Term
	role := RoleCandidate
	if m.Kind == MessagePreVoteReply {
		wanted = n.hard.Term + 1
		role = RolePreCandidate
	}
	if n.role != role || m.Reject || m.Term != wanted || !n.membership.isVoter(m.From) {
		return
	}
	n.votes[m.From] = true
	if len(n.votes) < n.membership.Quorum() {
		return
	}
	if role == RolePreCandidate {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.config.ID
	n.transfer = 0
	n.reads = nil
	n.rounds = nil
	n.progress = map[ReplicaID]*progress{}
	for _, r := range n.membership.Replicas {
		if r.ID != n.config.ID {
			n.progress[r.ID] = &progress{next: n.lastIndex() + 1, acked: n.now, probing: true}
		}
	}
	n.append(0, Entry{Kind: EntryCommand})
	n.sendHeartbeats()
}

// beginTransfer hands leadership to the most advanced voter.
func (n *Node) beginTransfer() {
	if n.role != RoleLeader || n.transfer != 0 {
		return
	}
	var best ReplicaID
	for id, p := range n.progress {
		if !n.membership.isVoter(id) || n.now.Sub(p.acked) > n.config.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > n.progress[best].match || (p.match == n.progress[best].match && id < best) {
			best = id
		}
	}
	if best == 0 {
		return
	}
	n.transfer = best
	n.transferEnd = n.now.Add(n.config.ElectionTimeout)
	n.finishTransfer()
}

// finishTransfer tells the chosen voter to stand once it holds the whole log.
func (n *Node) finishTransfer() {
	p := n.progress[n.transfer]
	if n.transfer == 0 || p == nil {
		return
	}
	if p.match == n.lastIndex() {
		n.send(n.transfer, Message{Kind: MessageTransfer})
		return
	}
	n.sendAppend(n.transfer, p)
}
