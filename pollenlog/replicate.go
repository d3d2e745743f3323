package pollenlog

import (
	"slices"
	"time"
)

// resendAfter is the number of heartbeat intervals after which an append that
// was not answered is sent again.
const resendAfter = 3

func (n *Node) tickLeader() {
	if !n.quorumContact() {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.transfer != 0 && n.now.After(n.transferEnd) {
		n.transfer = 0
	}
	if n.now.Sub(n.heartbeat) >= n.config.HeartbeatInterval {
		n.sendHeartbeats()
	}
}

// quorumContact reports whether a majority answered a heartbeat that was sent
// within the last election timeout.
func (n *Node) quorumContact() bool {
	reached := 0
	if n.membership.isVoter(n.config.ID) {
		reached++
	}
	for id, p := range n.progress {
		if n.membership.isVoter(id) && n.now.Sub(p.acked) < n.config.ElectionTimeout {
			reached++
		}
	}
	return reached >= n.membership.Quorum()
}

func (n *Node) mayPropose() error {
	switch {
	case n.role != RoleLeader:
		return ErrNotLeader
	case !n.quorumContact():
		return ErrNoQuorum
	case n.transfer != 0:
		return ErrTransferring
	}
	return nil
}

func (n *Node) propose(e Propose) {
	if err := n.mayPropose(); err != nil {
		n.emit(Rejected{Token: e.Token, Err: err})
		return
	}
	n.append(e.Token, Entry{Kind: EntryCommand, Data: e.Data})
}

// append adds an entry of the leader's own term and sends it out.
func (n *Node) append(token Token, entry Entry) {
	entry.Index = n.lastIndex() + 1
	entry.Term = n.hard.Term
	n.markUnsaved(entry.Index)
	n.entries = append(n.entries, entry)
	if entry.Kind == EntryMembership {
		n.adoptMembership(entry.Index, entry.Membership)
	}
	if token != 0 {
		n.emit(Accepted{Token: token, Index: entry.Index, Term: entry.Term})
	}
	for _, id := range n.peers() {
		if p := n.progress[id]; !p.probing {
			n.sendAppend(id, p)
		}
	}
}

// peers returns the other replicas in a repeatable order.
func (n *Node) peers() []ReplicaID {
	ids := make([]ReplicaID, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) sendHeartbeats() {
	n.heartbeat = n.now
	n.round++
	if n.rounds == nil {
		n.rounds = map[uint64]time.Time{}
	}
	n.rounds[n.round] = n.now
	for round, at := range n.rounds {
		if n.now.Sub(at) > 2*n.config.ElectionTimeout {
			delete(n.rounds, round)
		}
	}
	for _, id := range n.peers() {
		p := n.progress[id]
		n.send(id, Message{Kind: MessageHeartbeat, Commit: min(n.commit, p.match), Round: n.round})
		overdue := n.now.Sub(p.sent) >= resendAfter*n.config.HeartbeatInterval
		if p.match < n.lastIndex() && (overdue || p.sent.IsZero()) {
			if !p.probing {
				p.next = p.match + 1
			}
			n.sendAppend(id, p)
		}
	}
}

// sendAppend sends the next entries, or the snapshot when they are gone.
func (n *Node) sendAppend(id ReplicaID, p *progress) {
	p.sent = n.now
	previous := p.next - 1
	if previous < n.snapshot.Index {
		snapshot := n.snapshot
		n.send(id, Message{Kind: MessageSnapshot, Snapshot: &snapshot, Commit: n.commit})
		p.next = snapshot.Index + 1
		p.probing = true
		return
	}
	last := min(n.lastIndex(), previous+Index(n.config.MaxAppendEntries))
	entries := n.slice(p.next, last)
	n.send(id, Message{
		Kind: MessageAppend, Index: previous, LogTerm: n.termAt(previous),
		Entries: entries, Commit: n.commit,
	})
	if !p.probing {
		p.next = last + 1
	}
}

func (n *Node) answerAppend(m Message) {
	if m.Index < n.snapshot.Index {
		n.reply(m, Message{Kind: MessageAppendReply, Index: n.commit})
		return
	}
	if m.Index > n.lastIndex() || n.termAt(m.Index) != m.LogTerm {
		n.reply(m, Message{
			Kind: MessageAppendReply, Reject: true, Index: m.Index, MaxMatch: n.matchHint(m.Index),
		})
		return
	}
	n.store(m.Entries)
	last := m.Index + Index(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.reply(m, Message{Kind: MessageAppendReply, Index: last})
}

// matchHint returns the highest index that may agree with the leader, skipping
// the whole term that does not.
func (n *Node) matchHint(at Index) Index {
	if at > n.lastIndex() {
		return n.lastIndex()
	}
	term := n.termAt(at)
	for at > n.commit && n.termAt(at) == term {
		at--
	}
	return at
}

// store adds the entries, cutting off what contradicts them.
func (n *Node) store(entries []Entry) {
	for i, e := range entries {
		if e.Index <= n.lastIndex() && n.termAt(e.Index) == e.Term {
			continue
		}
		if e.Index <= n.lastIndex() {
			n.entries = slices.Clone(n.entries[:e.Index-n.snapshot.Index-1])
			n.restoreMembership()
		}
		n.markUnsaved(e.Index)
		n.entries = append(n.entries, entries[i:]...)
		for _, added := range entries[i:] {
			if added.Kind == EntryMembership {
				n.adoptMembership(added.Index, added.Membership)
			}
		}
		return
	}
}

func (n *Node) answerHeartbeat(m Message) {
	n.commitTo(min(m.Commit, n.lastIndex()))
	n.reply(m, Message{Kind: MessageHeartbeatReply, Round: m.Round})
}

func (n *Node) answerSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.Index <= n.commit {
		n.reply(m, Message{Kind: MessageAppendReply, Index: n.commit})
		return
	}
	keep := s.Index <= n.lastIndex() && n.termAt(s.Index) == s.Term
	if keep {
		n.entries = slices.Clone(n.entries[s.Index-n.snapshot.Index:])
	} else {
		n.entries = nil
	}
	n.snapshot = *s
	n.unsavedSnap = s
	n.unsavedKeep = keep
	n.commit = s.Index
	n.applied = s.Index
	n.restoreMembership()
	n.emit(Restore{Snapshot: *s})
	n.reply(m, Message{Kind: MessageAppendReply, Index: s.Index})
}

func (n *Node) onAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	if m.Reject {
		if m.Index == p.next-1 || !p.probing {
			p.next = max(p.match+1, min(m.MaxMatch+1, n.lastIndex()+1))
			p.probing = true
			n.sendAppend(m.From, p)
		}
		return
	}
	if m.Index < p.match {
		return
	}
	p.match = m.Index
	p.probing = false
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if n.transfer == m.From {
		n.finishTransfer()
	}
	if p.next <= n.lastIndex() {
		n.sendAppend(m.From, p)
	}
}

func (n *Node) onHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	if at, ok := n.rounds[m.Round]; ok && at.After(p.acked) {
		p.acked = at
	}
	p.round = max(p.round, m.Round)
	n.answerReads()
	if p.probing && p.match < n.lastIndex() && n.now.Sub(p.sent) >= n.config.HeartbeatInterval {
		n.sendAppend(m.From, p)
	}
}

// advanceCommit commits what a majority holds, if it is of the leader's term.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	var held []Index
	for _, r := range n.membership.Replicas {
		switch {
		case !r.Voter:
		case r.ID == n.config.ID:
			held = append(held, n.lastIndex())
		default:
			held = append(held, n.progress[r.ID].match)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	at := held[len(held)-n.membership.Quorum()]
	if at <= n.commit || n.termAt(at) != n.hard.Term {
		return
	}
	n.commit = at
	n.stepDownIfRemoved()
	for _, id := range n.peers() {
		p := n.progress[id]
		n.send(id, Message{Kind: MessageHeartbeat, Commit: min(n.commit, p.match), Round: n.round})
	}
}

// stepDownIfRemoved ends the leadership of a replica whose removal is
// committed.
func (n *Node) stepDownIfRemoved() {
	if n.membershipIndex <= n.commit && !n.membership.isVoter(n.config.ID) {
		n.role = RoleFollower
		n.leader = 0
		n.dropReads()
	}
}

func (n *Node) commitTo(at Index) { n.commit = max(n.commit, at) }

func (n *Node) applyCommitted() {
	if n.applied >= n.commit {
		return
	}
	n.emit(Apply{Entries: n.slice(n.applied+1, n.commit)})
	n.applied = n.commit
	if n.role == RoleLeader {
		n.answerReads()
	}
}

// confirmRead starts a heartbeat round that proves the leadership.
func (n *Node) confirmRead(e ConfirmRead) {
	if n.role != RoleLeader {
		n.emit(Rejected{Token: e.Token, Err: ErrNotLeader})
		return
	}
	if n.termAt(n.commit) != n.hard.Term {
		n.emit(Rejected{Token: e.Token, Err: ErrNoQuorum})
		return
	}
	n.sendHeartbeats()
	n.reads = append(n.reads, read{token: e.Token, index: n.commit, round: n.round})
	n.answerReads()
}

func (n *Node) answerReads() {
	for len(n.reads) > 0 {
		first := n.reads[0]
		confirmed := 1
		for id, p := range n.progress {
			if n.membership.isVoter(id) && p.round >= first.round {
				confirmed++
			}
		}
		if confirmed < n.membership.Quorum() || n.applied < first.index {
			return
		}
		n.emit(ReadReady{Token: first.token, Index: first.index})
		n.reads = n.reads[1:]
	}
}

func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.emit(Rejected{Token: r.token, Err: ErrNotLeader})
	}
	n.reads = nil
}
