// Package pollenlog is the replicated log of the control hosts: a consensus
// state machine in the manner of Raft (Ongaro and Ousterhout, 2014) with
// pre-vote, check-quorum, learners, membership changes of one replica at a
// time, snapshots and leadership transfer.
package pollenlog

import (
	"net/netip"
	"time"
)

// An Index is a position in the log; the first entry has index 1.
type Index uint64

// A Term numbers the periods of leadership.
type Term uint64

// A ReplicaID names a data folder. It is drawn at random when the folder is
// made, so a host that lost its disk comes back as another replica.
type ReplicaID uint64

// An EntryKind says what an entry holds.
type EntryKind string

// Kinds of entries.
const (
	EntryCommand    EntryKind = "command"
	EntryMembership EntryKind = "membership"
)

// An Entry is one element of the log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	// Data is the command, for EntryCommand.
	Data []byte
	// Membership is the whole new membership, for EntryMembership.
	Membership Membership
}

// A Replica is one control host's data folder in the membership.
type Replica struct {
	ID      ReplicaID
	Address netip.AddrPort
	// Voter is false for a learner, which gets the log but has no vote.
	Voter bool
}

// A Membership is the set of replicas, in the order in which they were added.
type Membership struct {
	Replicas []Replica
}

// HardState is what a replica must not forget: it is synced before any message
// that depends on it is sent.
type HardState struct {
	Term Term
	// Vote is zero when no vote was given in the term.
	Vote ReplicaID
	// Commit is a lower bound of the committed index.
	Commit Index
}

// A Snapshot stands for every entry up to Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// A MessageKind says what a message asks or answers.
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

// A Message passes between two replicas.
type Message struct {
	Kind     MessageKind
	From, To ReplicaID
	// Address is where the sender takes answers.
	Address netip.AddrPort
	Term    Term
	// Index and LogTerm are those of the entry before Entries, or of the last
	// entry in a vote request.
	Index   Index
	LogTerm Term
	Entries []Entry
	Commit  Index
	// Reject is set in replies that decline.
	Reject bool
	// Hint is, in a declined append, the highest index that may match.
	MaxMatch Index
	// Round numbers the leader's heartbeats; replies carry it back.
	Round uint64
	// Forced marks a vote request that follows a transfer and so need not wait
	// for the lease of the present leader.
	Forced   bool
	Snapshot *Snapshot
}

// A Role is the part a replica plays in its term.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// A Token ties an answer to the event that asked.
type Token uint64

// An Event is an input of a Node.
type Event interface{ event() }

// A Tick tells the time; it is due every Config.Heartbeat or more often.
type Tick struct{}

// A Receive delivers a message from another replica.
type Receive struct{ Message Message }

// A Propose asks the leader to append a command.
type Propose struct {
	Token Token
	Data  []byte
}

// A ChangeMembership asks the leader to add, promote or remove one replica.
type ChangeMembership struct {
	Token  Token
	Add    Replica
	Remove ReplicaID
}

// A ConfirmRead asks the leader for an index that is at least as new as every
// entry committed before the event.
type ConfirmRead struct{ Token Token }

// A TransferLeadership asks the leader to hand over to the most advanced
// voter.
type TransferLeadership struct{}

// A Compact tells the node that the shell holds Data as the state at Index, so
// that earlier entries may go.
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

// An Action is an output of a Node. The shell carries actions out in order,
// and carries out none after one that failed.
type Action interface{ action() }

// A Persist must be synced to disk before the next action.
type Persist struct {
	// Hard is nil when the hard state is as before.
	Hard *HardState
	// Entries replace every stored entry from the first one's index on.
	Entries []Entry
	// Snapshot is nil or replaces every stored entry up to its index.
	Snapshot *Snapshot
	// Keep says, with Snapshot, that the stored entries after its index stay.
	KeepEntries bool
}

// A Send passes a message to another replica. It may be lost.
type Send struct {
	Message Message
	Address netip.AddrPort
}

// An Apply delivers committed entries, each index once and in order.
type Apply struct{ Entries []Entry }

// A Restore replaces the applied state by that of a snapshot.
type Restore struct{ Snapshot Snapshot }

// An Accepted tells that a proposal was appended; it is committed if the entry
// that is applied at Index has the same Term.
type Accepted struct {
	Token Token
	Index Index
	Term  Term
}

// A Rejected tells that nothing was appended.
type Rejected struct {
	Token Token
	Err   error
}

// A ReadReady answers a ConfirmRead: a state applied up to Index is current.
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
	// Address is where this replica takes messages.
	Address netip.AddrPort
	// Election is the shortest time without a leader after which a replica
	// stands for election; each waits up to twice as long.
	ElectionTimeout time.Duration
	// Heartbeat is the leader's sending interval, well below Election.
	HeartbeatInterval time.Duration
	// Seed makes the election waits repeatable.
	Seed uint64
	// MaxAppend bounds the entries of one message.
	MaxAppendEntries int
}

// A Stored is what a replica finds on its disk at start.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without gaps.
	Entries []Entry
}
