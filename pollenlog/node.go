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
	// commit and applied never go down; applied is at most commit.
	commit, applied Index

	membership Membership
	// membershipIndex is the index of the entry that membership comes from.
	membershipIndex Index

	role   Role
	leader ReplicaID
	// heard is when a message of the present leader last came.
	heard time.Time
	// deadline is when the replica stands for election.
	deadline time.Time
	votes    map[ReplicaID]bool

	// progress, reads and the fields below are those of a leader.
	progress  map[ReplicaID]*progress
	reads     []read
	round     uint64
	heartbeat time.Time
	// rounds holds when each heartbeat round that may still be answered was
	// sent.
	rounds      map[uint64]time.Time
	transfer    ReplicaID
	transferEnd time.Time

	// The fields below live for one Step.
	now          time.Time
	actions      []Action
	hardDirty    bool
	unsavedFrom  Index
	unsavedSnap  *Snapshot
	unsavedKeep  bool
	unsavedValid bool
}

// progress is what a leader knows of another replica.
type progress struct {
	match, next Index
	// acked is the sending time of the latest heartbeat that was answered.
	acked time.Time
	round uint64
	// probing is set until the first append is accepted; only one append is
	// then on its way at a time.
	probing bool
	// sent is when the last append or snapshot left.
	sent time.Time
}

type read struct {
	token Token
	index Index
	round uint64
}

// NewNode returns a new Node that starts from what the disk holds.
func NewNode(now time.Time, config Config, stored StoredState) *Node {
	n := &Node{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		hard:     stored.Hard,
		snapshot: stored.Snapshot,
		entries:  stored.Entries,
		role:     RoleFollower,
		commit:   stored.Snapshot.Index,
		applied:  stored.Snapshot.Index,
		now:      now,
	}
	n.commit = max(n.commit, min(stored.Hard.Commit, n.lastIndex()))
	n.restoreMembership()
	n.resetDeadline()
	// A restarted replica may have granted a lease by answering the leader just
	// before it stopped.
	n.heard = now
	return n
}

// Step implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = nil
	switch e := event.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(e.Message)
	case Propose:
		n.propose(e)
	case ChangeMembership:
		n.changeMembership(e)
	case ConfirmRead:
		n.confirmRead(e)
	case TransferLeadership:
		n.beginTransfer()
	case Compact:
		n.compact(e)
	}
	n.advanceCommit()
	n.applyCommitted()
	return n.flush()
}

// flush returns the actions of the step, with what must be synced first.
func (n *Node) flush() []Action {
	persist := Persist{}
	if n.hardDirty || n.unsavedValid {
		// The commit index rides along with what is synced anyway, so that a
		// restart knows at once nearly everything that was committed.
		hard := n.hard
		hard.Commit = n.commit
		persist.Hard = &hard
	}
	if n.unsavedValid {
		persist.Entries = n.slice(n.unsavedFrom, n.lastIndex())
	}
	persist.Snapshot = n.unsavedSnap
	persist.KeepEntries = n.unsavedKeep
	dirty := n.hardDirty || n.unsavedValid || n.unsavedSnap != nil
	n.hardDirty, n.unsavedValid, n.unsavedSnap, n.unsavedKeep = false, false, nil, false
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

// reply answers the sender of a message, who need not be in the membership
// that this replica knows.
func (n *Node) reply(to Message, m Message) {
	n.sendTo(Replica{ID: to.From, Address: to.Address}, m)
}

func (n *Node) tick() {
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if !n.now.Before(n.deadline) && n.membership.isVoter(n.config.ID) {
		n.preCampaign()
	}
}

func (n *Node) resetDeadline() {
	spread := time.Duration(n.random.Int64N(int64(n.config.ElectionTimeout)))
	n.deadline = n.now.Add(n.config.ElectionTimeout + spread)
}

// inLease reports whether a leader was heard so recently that no other may be
// elected.
func (n *Node) inLease() bool {
	return n.now.Sub(n.heard) < n.config.ElectionTimeout
}

func (n *Node) becomeFollower(term Term, leader ReplicaID) {
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = 0
		n.hardDirty = true
	}
	if n.role == RoleLeader {
		n.dropReads()
	}
	n.role = RoleFollower
	n.leader = leader
	n.progress = nil
	n.transfer = 0
	n.resetDeadline()
}

func (n *Node) receive(m Message) {
	if m.To != n.config.ID {
		return
	}
	if m.Term > n.hard.Term && !n.acceptHigherTerm(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.answerStale(m)
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.answerVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		n.countVote(m)
	case MessageAppend:
		n.follow(m)
		n.answerAppend(m)
	case MessageHeartbeat:
		n.follow(m)
		n.answerHeartbeat(m)
	case MessageSnapshot:
		n.follow(m)
		n.answerSnapshot(m)
	case MessageAppendReply:
		n.onAppendReply(m)
	case MessageHeartbeatReply:
		n.onHeartbeatReply(m)
	case MessageTransfer:
		if n.membership.isVoter(n.config.ID) {
			n.campaign(true)
		}
	}
}

// acceptHigherTerm moves to the message's term when the kind of message calls
// for it. It returns false when the message is to be ignored.
func (n *Node) acceptHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		// A granted pre-vote answers for the term that is stood for; a declined
		// one carries the decliner's own term.
		if m.Reject {
			n.becomeFollower(m.Term, 0)
		}
		return !m.Reject
	case MessageVote:
		if n.inLease() && !m.Forced {
			return false
		}
		n.becomeFollower(m.Term, 0)
		return true
	default:
		n.becomeFollower(m.Term, 0)
		return true
	}
}

// answerStale tells a sender of an old term about the present one, so that a
// former leader steps down.
func (n *Node) answerStale(m Message) {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.reply(m, Message{Kind: MessageAppendReply, Reject: true, MaxMatch: n.lastIndex()})
	case MessagePreVote:
		n.reply(m, Message{Kind: MessagePreVoteReply, Reject: true})
	case MessageVote:
		n.reply(m, Message{Kind: MessageVoteReply, Reject: true})
	}
}

func (n *Node) follow(m Message) {
	if n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heard = n.now
	n.resetDeadline()
}
