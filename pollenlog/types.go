// Package pollenlog implements the replicated log of the control hosts: a
// consensus state machine based on Raft (Ongaro and Ousterhout, 2014) with
// pre-vote, check-quorum, learners, membership changes of one replica at a
// time, snapshots and leadership transfer. It does no input or output itself:
// a Node turns events into actions, which the caller executes.
package pollenlog

import (
	"net/netip"
	"time"
)

// An Index is a position in the log; the first entry has index 1.
type Index uint64

// A Term is the number of an election period, which has at most one leader.
type Term uint64

// A ReplicaID identifies a data folder. It is drawn at random when the folder
// is created, so a host that lost its disk returns as a different replica. Zero
// means no replica.
type ReplicaID uint64

// An EntryKind specifies the content of an entry.
type EntryKind string

// Kinds of entries.
const (
	EntryCommand    EntryKind = "command"
	EntryMembership EntryKind = "membership"
)

// An Entry is one entry of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	// Data is the command, for EntryCommand. It is empty in the entry with which
	// a leader starts its term.
	Data []byte
	// Membership is the whole new membership, for EntryMembership.
	Membership Membership
}

// A Replica is the entry of one control host's data folder in the membership.
type Replica struct {
	ID      ReplicaID
	Address netip.AddrPort
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool
}

// A Membership is the set of replicas, in the order in which they were added.
type Membership struct {
	Replicas []Replica
}

// HardState is the state that must survive a restart. It is synced to disk
// before any message that depends on it is sent.
type HardState struct {
	Term Term
	// Vote is the replica that got this replica's vote in the term, or zero.
	Vote ReplicaID
	// Commit is a lower bound of the committed index.
	Commit Index
}

// A Snapshot replaces every entry up to and including Index.
type Snapshot struct {
	Index Index
	// Term is that of the entry at Index.
	Term Term
	// Membership is the membership at Index.
	Membership Membership
	// Data is the applied state at Index.
	Data []byte
}

// A MessageKind specifies which request or reply a message is.
type MessageKind string

// Kinds of messages.
const (
	MessagePreVote        MessageKind = "pre-vote"
	MessagePreVoteReply   MessageKind = "pre-vote-reply"
	MessageVote           MessageKind = "vote"
	MessageVoteReply      MessageKind = "vote-reply"
	MessageAppend         MessageKind = "append"
	MessageAppendReply    MessageKind = "append-reply"
	MessageHeartbeat      MessageKind = "heartbeat"
	MessageHeartbeatReply MessageKind = "heartbeat-reply"
	MessageSnapshot       MessageKind = "snapshot"
	MessageTransfer       MessageKind = "transfer"
)

// A Message is sent from one replica to another.
type Message struct {
	Kind     MessageKind
	From, To ReplicaID
	// Address is where the sender receives replies.
	Address netip.AddrPort
	// Term is the sender's term, or in a pre-vote and its grant the term that
	// the candidate would start.
	Term Term
	// Index and LogTerm are those of the entry before Entries, or of the last
	// entry in a vote request. In an append reply, Index is the highest matching
	// index, or in a rejection the index that did not match.
	Index   Index
	LogTerm Term
	Entries []Entry
	// Commit is the leader's commit index; in a heartbeat it is at most the
	// index up to which the receiver is known to match.
	Commit Index
	// Reject is set in replies that reject the request.
	Reject bool
	// MaxMatch is, in a reply that rejects an append, the highest index at
	// which the sender's log may match the leader's.
	MaxMatch Index
	// Round is the number of the leader's heartbeat round; replies return it.
	Round uint64
	// Forced marks a vote request that follows a leadership transfer. It is
	// answered even during the current leader's lease.
	Forced bool
	// Snapshot is nil except in a MessageSnapshot.
	Snapshot *Snapshot
}

// A Role is a replica's state in the consensus protocol.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// A Token links an Accepted, Rejected or ReadReady action to the event that
// caused it. No Accepted is emitted for token zero.
type Token uint64

// An Event is an input to Node.Step.
type Event interface{ event() }

// A Tick lets timers expire. It must be sent at least once every
// Config.HeartbeatInterval.
type Tick struct{}

// A Receive delivers a message from another replica.
type Receive struct{ Message Message }

// A Propose asks the leader to append a command. The answer is Accepted or
// Rejected.
type Propose struct {
	Token Token
	Data  []byte
}

// A ChangeMembership asks the leader to add, promote or remove one replica. The
// answer is Accepted or Rejected.
type ChangeMembership struct {
	Token Token
	// Add is added, or replaces the replica with the same ID. It is ignored when
	// Remove is set.
	Add Replica
	// Remove is zero or the replica to remove.
	Remove ReplicaID
}

// A ConfirmRead asks the leader for an index that is at least as high as that
// of every entry committed before the event. The answer is ReadReady or
// Rejected.
type ConfirmRead struct{ Token Token }

// A TransferLeadership asks the leader to hand leadership to the voter with the
// most complete log. It has no answer; other replicas ignore it.
type TransferLeadership struct{}

// A Compact provides Data, the applied state at Index, as a snapshot that
// replaces the entries up to Index.
type Compact struct {
	Index Index
	Data  []byte
}

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ChangeMembership) event()   {}
func (ConfirmRead) event()        {}
func (TransferLeadership) event() {}
func (Compact) event()            {}

// An Action is an output of Node.Step. The caller executes the actions in order
// and executes none after one that failed.
type Action interface{ action() }

// A Persist must be synced to disk before the next action is executed.
type Persist struct {
	// Hard is nil when the hard state is unchanged.
	Hard *HardState
	// Entries replace every stored entry from the first one's index on.
	Entries []Entry
	// Snapshot is nil or replaces every stored entry up to its index.
	Snapshot *Snapshot
	// KeepEntries reports whether the stored entries after the index of Snapshot
	// stay; otherwise they are deleted.
	KeepEntries bool
}

// A Send sends a message to another replica. Messages may be lost.
type Send struct {
	Message Message
	Address netip.AddrPort
}

// An Apply delivers committed entries in order, each index once after a start
// or Restore.
type Apply struct{ Entries []Entry }

// A Restore replaces the applied state with that of a snapshot.
type Restore struct{ Snapshot Snapshot }

// An Accepted reports that a proposal was appended. It is committed if the entry
// that is applied at Index has the same Term.
type Accepted struct {
	Token Token
	Index Index
	Term  Term
}

// A Rejected reports that nothing was appended, or that a read cannot be
// confirmed.
type Rejected struct {
	Token Token
	Err   error
}

// A ReadReady answers a ConfirmRead: a state to which the entries up to Index
// are applied contains every entry committed before the read.
type ReadReady struct {
	Token Token
	Index Index
}

func (Persist) action()   {}
func (Send) action()      {}
func (Apply) action()     {}
func (Restore) action()   {}
func (Accepted) action()  {}
func (Rejected) action()  {}
func (ReadReady) action() {}

// A Config holds the settings of a Node.
type Config struct {
	ID ReplicaID
	// Address is where this replica receives messages.
	Address netip.AddrPort
	// ElectionTimeout is the shortest time without a message of a leader after
	// which a replica starts an election. Each replica waits a random time
	// between once and twice this value. It is also the length of a leader's
	// lease.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats. It must be
	// well below ElectionTimeout.
	HeartbeatInterval time.Duration
	// Seed makes the random election timeouts reproducible.
	Seed uint64
	// MaxAppendEntries is the largest number of entries in one message.
	MaxAppendEntries int
	// MaxAppendBytes is the size of the data at which a message takes no further
	// entry. A message holds at least one entry of any size.
	MaxAppendBytes int
}

// A StoredState is the state that a replica reads from its disk at start.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without gaps.
	Entries []Entry
}
