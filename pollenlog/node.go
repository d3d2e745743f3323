package pollenlog

import (
	"math/rand/v2"
	"time"
)

// A Node is one replica's consensus state machine. It implements
// pollenkernel.Machine.
type Node struct {
	config Config
	random *rand.Rand

	hard HardState
	// entries follow snapshot.Index without gaps.
	entries  []Entry
	snapshot Snapshot
	// commit and applied never decrease; applied is at most commit.
	commit, applied Index

	membership Membership
	// membershipIndex is the index of the entry that specifies membership.
	membershipIndex Index

	role   Role
	leader ReplicaID
	// leaderSeen is when the last message of a leader was received.
	leaderSeen time.Time
	// electionDeadline is when the replica starts an election unless it receives
	// a message of a leader before.
	electionDeadline time.Time
	votes            map[ReplicaID]bool

	// The fields down to transferDeadline are used by a leader only.
	progress       map[ReplicaID]*progress
	pendingReads   []pendingRead
	heartbeatRound uint64
	lastHeartbeat  time.Time
	// roundSentAt holds the sending time of each heartbeat round that may still
	// be answered.
	roundSentAt map[uint64]time.Time
	// transferTarget is zero when no leadership transfer is under way.
	transferTarget   ReplicaID
	transferDeadline time.Time

	// The fields below are valid during one Step. The entries from unsavedFrom
	// on are to be persisted if unsavedValid is set.
	now                time.Time
	actions            []Action
	hardDirty          bool
	unsavedFrom        Index
	unsavedSnapshot    *Snapshot
	unsavedKeepEntries bool
	unsavedValid       bool
}

// progress is a leader's replication state for another replica.
type progress struct {
	// match is the highest index known to match; next is the index of the next
	// entry to send.
	match, next Index
	// ackedAt is the sending time of the latest heartbeat that was answered.
	// It starts at the time of the election or of the replica's addition, so
	// that a replica is not taken for silent before it could answer.
	ackedAt    time.Time
	ackedRound uint64
	// probing is set while the matching index is unknown; only one append is
	// then in flight at a time.
	probing bool
	// lastSent is when the last append or snapshot was sent.
	lastSent time.Time
}

// pendingRead is a read that waits until a quorum has answered the heartbeat
// round and the index is applied.
type pendingRead struct {
	token Token
	index Index
	round uint64
}

// NewNode returns a follower that starts from the stored state. It uses the
// slice state.Entries from then on.
func NewNode(now time.Time, config Config, state StoredState) *Node {
	n := &Node{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		hard:     state.Hard,
		snapshot: state.Snapshot,
		entries:  state.Entries,
		role:     RoleFollower,
		commit:   state.Snapshot.Index,
		applied:  state.Snapshot.Index,
		now:      now,
	}
	n.commit = max(n.commit, min(state.Hard.Commit, n.lastIndex()))
	n.restoreMembership()
	n.resetElectionDeadline()
	// A restarted replica may have extended a leader's lease by answering a
	// heartbeat just before it stopped, so it must not help to elect another
	// leader for one election timeout.
	n.leaderSeen = now
	return n
}

// Step handles one event and returns the resulting actions in the order in
// which they must be executed. It implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = nil
	switch e := event.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.handleMessage(e.Message)
	case Propose:
		n.propose(e)
	case ChangeMembership:
		n.changeMembership(e)
	case ConfirmRead:
		n.confirmRead(e)
	case TransferLeadership:
		n.startTransfer()
	case Compact:
		n.compact(e)
	}
	n.advanceCommit()
	n.applyCommitted()
	return n.flush()
}

// flush returns the actions of the step, preceded by a Persist when there is
// state to write.
func (n *Node) flush() []Action {
	persist := Persist{}
	if n.hardDirty || n.unsavedValid {
		// The commit index is written only with state that is synced anyway. A
		// restarted replica then knows nearly every committed entry at once.
		hard := n.hard
		hard.Commit = n.commit
		persist.Hard = &hard
	}
	if n.unsavedValid {
		persist.Entries = n.entriesBetween(n.unsavedFrom, n.lastIndex())
	}
	persist.Snapshot = n.unsavedSnapshot
	persist.KeepEntries = n.unsavedKeepEntries
	dirty := n.hardDirty || n.unsavedValid || n.unsavedSnapshot != nil
	n.hardDirty, n.unsavedValid, n.unsavedSnapshot, n.unsavedKeepEntries = false, false, nil, false
	if !dirty {
		return n.actions
	}
	return append([]Action{persist}, n.actions...)
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) send(to ReplicaID, m Message) {
	r, ok := n.membership.Find(to)
	if !ok {
		return
	}
	n.sendTo(r, m)
}

func (n *Node) sendTo(to Replica, m Message) {
	m.From = n.config.ID
	m.To = to.ID
	m.Address = n.config.Address
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.emit(Send{Message: m, Address: to.Address})
}

// reply sends to the address in the received message, because its sender may be
// missing from the membership in this replica's log.
func (n *Node) reply(to Message, m Message) {
	n.sendTo(Replica{ID: to.From, Address: to.Address}, m)
}

func (n *Node) tick() {
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if !n.now.Before(n.electionDeadline) && n.membership.isVoter(n.config.ID) {
		n.startPreVote()
	}
}

// resetElectionDeadline sets a random deadline between one and two election
// timeouts from now, which makes split votes unlikely.
func (n *Node) resetElectionDeadline() {
	randomWait := time.Duration(n.random.Int64N(int64(n.config.ElectionTimeout)))
	n.electionDeadline = n.now.Add(n.config.ElectionTimeout + randomWait)
}

// hasLeaderLease reports whether a leader's message was received within the
// last election timeout, during which no other leader may be elected.
func (n *Node) hasLeaderLease() bool {
	return n.now.Sub(n.leaderSeen) < n.config.ElectionTimeout
}

// becomeFollower moves to the term if it is newer and ends any leadership. The
// leader is zero when it is unknown.
func (n *Node) becomeFollower(term Term, leader ReplicaID) {
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = 0
		n.hardDirty = true
	}
	if n.role == RoleLeader {
		n.rejectReads()
	}
	n.role = RoleFollower
	n.leader = leader
	n.progress = nil
	n.transferTarget = 0
	n.resetElectionDeadline()
}

func (n *Node) handleMessage(m Message) {
	if m.To != n.config.ID {
		return
	}
	if m.Term > n.hard.Term && !n.handleHigherTerm(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend:
		n.followLeader(m)
		n.handleAppend(m)
	case MessageHeartbeat:
		n.followLeader(m)
		n.handleHeartbeat(m)
	case MessageSnapshot:
		n.followLeader(m)
		n.handleSnapshot(m)
	case MessageAppendReply:
		n.handleAppendReply(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageTransfer:
		if n.membership.isVoter(n.config.ID) {
			n.startElection(true)
		}
	}
}

// handleHigherTerm moves to the message's term where the kind of message
// requires it. It returns false when the message is to be ignored.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		// A granted pre-vote carries the term that the candidate asked for; a
		// rejection carries the voter's own term.
		if m.Reject {
			n.becomeFollower(m.Term, 0)
		}
		return !m.Reject
	case MessageVote:
		if n.hasLeaderLease() && !m.Forced {
			return false
		}
		n.becomeFollower(m.Term, 0)
		return true
	default:
		n.becomeFollower(m.Term, 0)
		return true
	}
}

// rejectStaleTerm replies to a request of an older term with the current term,
// so that a former leader steps down.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.reply(m, Message{Kind: MessageAppendReply, Reject: true, MaxMatch: n.lastIndex()})
	case MessagePreVote:
		n.reply(m, Message{Kind: MessagePreVoteReply, Reject: true})
	case MessageVote:
		n.reply(m, Message{Kind: MessageVoteReply, Reject: true})
	}
}

// followLeader accepts the sender as the leader of its term and restarts the
// election deadline.
func (n *Node) followLeader(m Message) {
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderSeen = n.now
	n.resetElectionDeadline()
}
