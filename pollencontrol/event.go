package pollencontrol

import (
	"net/netip"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
)

// A Token ties a Reply to the event that asked.
type Token uint64

// An Event is an input of a Node.
type Event interface{ event() }

// A Tick tells the time.
type Tick struct{}

// A LogMessage delivers a consensus message.
type LogMessage struct{ Message pollenlog.Message }

// A Submit asks to change the document.
type Submit struct {
	Token Token
	// ID is drawn by the operator's client and stays the same when it resends.
	ID        string
	Submitter string
	// Document is the whole document as the operator has it.
	Document pollendocument.Document
	// Teams names the sections that may change; empty allows every section.
	Teams []pollendocument.Team
}

// A Declare asks to put a whole declaration in force. One whose version is not
// higher than the version in force is answered as done and changes nothing.
type Declare struct {
	Token       Token
	Declaration pollendocument.Declaration
}

// An Evacuate asks to take a failure domain out or back.
type Evacuate struct {
	Token      Token
	Evacuation pollenview.Evacuation
}

// A HeartbeatReceived delivers a member's heartbeat.
type HeartbeatReceived struct {
	From      netip.AddrPort
	Heartbeat pollenmember.Heartbeat
}

// A Query asks for the state as of a quorum-confirmed moment.
type Query struct{ Token Token }

// A Join tells that an empty replica asks to be a learner.
type Join struct {
	ID      pollenlog.ReplicaID
	Address netip.AddrPort
}

// A Repair asks to replace the replica that had the address by the empty one
// that has it now.
type Repair struct {
	Token   Token
	Address netip.AddrPort
}

// A TransferLeadership asks to pass leadership on, before a planned stop.
type TransferLeadership struct{}

func (Tick) event()               {}
func (LogMessage) event()         {}
func (Submit) event()             {}
func (Declare) event()            {}
func (Evacuate) event()           {}
func (HeartbeatReceived) event()  {}
func (Query) event()              {}
func (Join) event()               {}
func (Repair) event()             {}
func (TransferLeadership) event() {}

// An Action is an output of a Node, to be carried out in order; after a failed
// Persist the process must stop.
type Action interface{ action() }

// A Persist must be synced before the next action.
type Persist struct{ Unit pollenlog.Persist }

// A SendLog passes a consensus message to another control host.
type SendLog struct {
	To      netip.AddrPort
	Message pollenlog.Message
}

// A SendNotice passes a notice to a member.
type SendNotice struct {
	To     netip.AddrPort
	Notice pollenmember.Notice
}

// A Reply answers the event with the token. At most one follows each event.
type Reply struct {
	Token  Token
	Answer Answer
}

// A BecameLeader tells that this replica has become the leader.
type BecameLeader struct{ Term pollenlog.Term }

// An UndecodableEntry tells that a committed entry was skipped because it could not
// be decoded.
type UndecodableEntry struct {
	Index pollenlog.Index
	Err   error
}

func (Persist) action()          {}
func (SendLog) action()          {}
func (SendNotice) action()       {}
func (Reply) action()            {}
func (BecameLeader) action()     {}
func (UndecodableEntry) action() {}

// A Verdict says how an operator's call ended.
type Verdict string

// Verdicts.
const (
	VerdictDone Verdict = "done"
	// VerdictNotRun means that nothing was proposed, so nothing has changed or
	// will.
	VerdictNotRun Verdict = "not-run"
	// VerdictRefused means that the change was decided against.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown means that the change may still happen; resending it with
	// the same ID tells.
	VerdictUnknown Verdict = "unknown"
)

// An Answer is the content of a Reply.
type Answer struct {
	Verdict Verdict
	// Reason says why, unless the verdict is VerdictDone.
	Reason string
	// Refusal is set when the replica does not lead or lacks its quorum; it is
	// for this host's counters and is not sent.
	Refusal pollenkernel.Refusal
	// Leader is where to ask instead, if known.
	Leader netip.AddrPort
	// Outcome is set for a submission that was decided.
	Outcome pollenview.Outcome
	// State is set for a Query.
	State *State
}

// A State describes the whole system as the leader sees it.
type State struct {
	View *pollenview.View
	Log  pollenlog.Status
	// Members is sorted by name.
	Members []MemberState
	// HeldLeases is the number of lapsed leases that the guard keeps.
	HeldLeases int
}

// A MemberState is one member with what its heartbeats tell.
type MemberState struct {
	Member      pollenview.Member
	Revision    pollenview.Revision
	LedgerEpoch uint64
	Cold        bool
	// Silent is set when the lease has lapsed or was never renewed with this
	// leader.
	Silent bool
}
