package pollenlog

import (
	"slices"
	"time"
)

// resendAfterHeartbeats is the number of heartbeat intervals after which an
// unanswered append is sent again.
const resendAfterHeartbeats = 3

// tickLeader steps down when the quorum is out of contact; otherwise it ends an
// overdue transfer and sends the heartbeats that are due.
func (n *Node) tickLeader() {
	if !n.hasQuorumContact() {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.transferTarget != 0 && n.now.After(n.transferDeadline) {
		n.transferTarget = 0
	}
	if n.now.Sub(n.lastHeartbeat) >= n.config.HeartbeatInterval {
		n.sendHeartbeats()
	}
}

// hasQuorumContact reports whether a majority of the voters, this replica
// included, answered a heartbeat that was sent within the last election
// timeout.
func (n *Node) hasQuorumContact() bool {
	contacted := 0
	if n.membership.isVoter(n.config.ID) {
		contacted++
	}
	for id, p := range n.progress {
		if n.membership.isVoter(id) && n.now.Sub(p.ackedAt) < n.config.ElectionTimeout {
			contacted++
		}
	}
	return contacted >= n.membership.Quorum()
}

// checkCanPropose returns the reason why the replica cannot append, or nil.
func (n *Node) checkCanPropose() error {
	switch {
	case n.role != RoleLeader:
		return ErrNotLeader
	case !n.hasQuorumContact():
		return ErrNoQuorum
	case n.transferTarget != 0:
		return ErrTransferring
	}
	return nil
}

func (n *Node) propose(e Propose) {
	if err := n.checkCanPropose(); err != nil {
		n.emit(Rejected{Token: e.Token, Err: err})
		return
	}
	n.append(e.Token, Entry{Kind: EntryCommand, Data: e.Data})
}

// append adds an entry of the leader's own term and sends it to the other
// replicas. The token is zero for an entry that the leader adds by itself.
func (n *Node) append(token Token, entry Entry) {
	entry.Index = n.lastIndex() + 1
	entry.Term = n.hard.Term
	n.markUnsaved(entry.Index)
	n.entries = append(n.entries, entry)
	if entry.Kind == EntryMembership {
		n.useMembership(entry.Index, entry.Membership)
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

// peers returns the IDs of the other replicas in ascending order, so that runs
// with the same seed are identical.
func (n *Node) peers() []ReplicaID {
	ids := make([]ReplicaID, 0, len(n.progress))
	for id := range n.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendHeartbeats starts a heartbeat round and resends overdue appends. It drops
// rounds that were sent more than two election timeouts ago.
func (n *Node) sendHeartbeats() {
	n.lastHeartbeat = n.now
	n.heartbeatRound++
	if n.roundSentAt == nil {
		n.roundSentAt = map[uint64]time.Time{}
	}
	n.roundSentAt[n.heartbeatRound] = n.now
	for round, sentAt := range n.roundSentAt {
		if n.now.Sub(sentAt) > 2*n.config.ElectionTimeout {
			delete(n.roundSentAt, round)
		}
	}
	for _, id := range n.peers() {
		p := n.progress[id]
		n.send(id, Message{Kind: MessageHeartbeat, Commit: min(n.commit, p.match), Round: n.heartbeatRound})
		overdue := n.now.Sub(p.lastSent) >= resendAfterHeartbeats*n.config.HeartbeatInterval
		if p.match < n.lastIndex() && (overdue || p.lastSent.IsZero()) {
			if !p.probing {
				p.next = p.match + 1
			}
			n.sendAppend(id, p)
		}
	}
}

// sendAppend sends the next entries, or the snapshot when they are compacted.
func (n *Node) sendAppend(id ReplicaID, p *progress) {
	p.lastSent = n.now
	previous := p.next - 1
	if previous < n.snapshot.Index {
		snapshot := n.snapshot
		n.send(id, Message{Kind: MessageSnapshot, Snapshot: &snapshot, Commit: n.commit})
		p.next = snapshot.Index + 1
		p.probing = true
		return
	}
	entries := n.nextEntries(p.next)
	n.send(id, Message{
		Kind: MessageAppend, Index: previous, LogTerm: n.termAt(previous),
		Entries: entries, Commit: n.commit,
	})
	if !p.probing {
		p.next += Index(len(entries))
	}
}

// nextEntries returns the entries from first on that one message holds.
func (n *Node) nextEntries(first Index) []Entry {
	entries := n.entriesBetween(first, min(n.lastIndex(), first-1+Index(n.config.MaxAppendEntries)))
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if i > 0 && size > n.config.MaxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

func (n *Node) handleAppend(m Message) {
	// Compacted entries are committed, so this log matches the leader's up to
	// the commit index.
	if m.Index < n.snapshot.Index {
		n.reply(m, Message{Kind: MessageAppendReply, Index: n.commit})
		return
	}
	if m.Index > n.lastIndex() || n.termAt(m.Index) != m.LogTerm {
		n.reply(m, Message{
			Kind: MessageAppendReply, Reject: true, Index: m.Index, MaxMatch: n.maxMatch(m.Index),
		})
		return
	}
	n.storeEntries(m.Entries)
	last := m.Index + Index(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.reply(m, Message{Kind: MessageAppendReply, Index: last})
}

// maxMatch returns the highest index at which the log may match the leader's.
// It skips all entries of the term that conflicts at the index, so that the
// leader needs one probe for each term and not for each entry.
func (n *Node) maxMatch(index Index) Index {
	if index > n.lastIndex() {
		return n.lastIndex()
	}
	term := n.termAt(index)
	for index > n.commit && n.termAt(index) == term {
		index--
	}
	return index
}

// storeEntries appends the entries that the log lacks. It truncates the log at
// the first entry whose term conflicts.
func (n *Node) storeEntries(entries []Entry) {
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
				n.useMembership(added.Index, added.Membership)
			}
		}
		return
	}
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(min(m.Commit, n.lastIndex()))
	n.reply(m, Message{Kind: MessageHeartbeatReply, Round: m.Round})
}

// handleSnapshot replaces the log up to the snapshot's index. Later entries are
// kept only if the entry at that index matches the snapshot. A snapshot that is
// not newer than the commit index is only acknowledged.
func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil || s.Index <= n.commit {
		n.reply(m, Message{Kind: MessageAppendReply, Index: n.commit})
		return
	}
	keepEntries := s.Index <= n.lastIndex() && n.termAt(s.Index) == s.Term
	if keepEntries {
		n.entries = slices.Clone(n.entries[s.Index-n.snapshot.Index:])
	} else {
		n.entries = nil
	}
	n.snapshot = *s
	n.unsavedSnapshot = s
	n.unsavedKeepEntries = keepEntries
	n.commit = s.Index
	n.applied = s.Index
	n.restoreMembership()
	n.emit(Restore{Snapshot: *s})
	n.reply(m, Message{Kind: MessageAppendReply, Index: s.Index})
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	if m.Reject {
		// While probing, a rejection of an index other than the probe's is
		// stale.
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
	if n.transferTarget == m.From {
		n.continueTransfer()
	}
	if p.next <= n.lastIndex() {
		n.sendAppend(m.From, p)
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != RoleLeader || p == nil {
		return
	}
	if at, ok := n.roundSentAt[m.Round]; ok && at.After(p.ackedAt) {
		p.ackedAt = at
	}
	p.ackedRound = max(p.ackedRound, m.Round)
	n.releaseReads()
	if p.probing && p.match < n.lastIndex() && n.now.Sub(p.lastSent) >= n.config.HeartbeatInterval {
		n.sendAppend(m.From, p)
	}
}

// advanceCommit raises the commit index to the highest index that a majority of
// the voters holds, if the entry there is of the leader's own term. Entries of
// earlier terms could still be overwritten.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	var matched []Index
	for _, r := range n.membership.Replicas {
		switch {
		case !r.Voter:
		case r.ID == n.config.ID:
			matched = append(matched, n.lastIndex())
		default:
			matched = append(matched, n.progress[r.ID].match)
		}
	}
	if len(matched) == 0 {
		return
	}
	slices.Sort(matched)
	index := matched[len(matched)-n.membership.Quorum()]
	if index <= n.commit || n.termAt(index) != n.hard.Term {
		return
	}
	n.commit = index
	n.stepDownIfRemoved()
	for _, id := range n.peers() {
		p := n.progress[id]
		n.send(id, Message{Kind: MessageHeartbeat, Commit: min(n.commit, p.match), Round: n.heartbeatRound})
	}
}

// stepDownIfRemoved ends the leadership of a replica that the committed
// membership does not contain as a voter.
func (n *Node) stepDownIfRemoved() {
	if n.membershipIndex <= n.commit && !n.membership.isVoter(n.config.ID) {
		n.role = RoleFollower
		n.leader = 0
		n.rejectReads()
	}
}

func (n *Node) commitTo(at Index) { n.commit = max(n.commit, at) }

func (n *Node) applyCommitted() {
	if n.applied >= n.commit {
		return
	}
	n.emit(Apply{Entries: n.entriesBetween(n.applied+1, n.commit)})
	n.applied = n.commit
	if n.role == RoleLeader {
		n.releaseReads()
	}
}

// confirmRead starts a heartbeat round; the answers of a quorum prove that this
// replica is still the leader. It rejects reads until an entry of the leader's
// own term is committed, because the commit index may be behind until then.
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
	n.pendingReads = append(n.pendingReads, pendingRead{token: e.Token, index: n.commit, round: n.heartbeatRound})
	n.releaseReads()
}

// releaseReads emits a ReadReady for each read whose heartbeat round a quorum
// has answered and whose index is applied, in the order of arrival.
func (n *Node) releaseReads() {
	for len(n.pendingReads) > 0 {
		first := n.pendingReads[0]
		confirmed := 1
		for id, p := range n.progress {
			if n.membership.isVoter(id) && p.ackedRound >= first.round {
				confirmed++
			}
		}
		if confirmed < n.membership.Quorum() || n.applied < first.index {
			return
		}
		n.emit(ReadReady{Token: first.token, Index: first.index})
		n.pendingReads = n.pendingReads[1:]
	}
}

// rejectReads rejects every pending read because the leadership has ended.
func (n *Node) rejectReads() {
	for _, r := range n.pendingReads {
		n.emit(Rejected{Token: r.token, Err: ErrNotLeader})
	}
	n.pendingReads = nil
}
