package pollenrequest

import (
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

// An Event is an input of a Node.
type Event interface{ event() }

// An Arrival is a request that reached the agent.
type Arrival struct {
	ID ID
	// Key is the idempotency key, or empty if the request has none.
	Key string
	// Deadline is the caller's deadline, or zero if the request has none.
	Deadline time.Time
	// Forwarded is set when another agent forwarded the request.
	Forwarded bool
}

// A ClaimReply delivers a ledger replica's reply to a SendClaim. The verdict is
// VerdictIncomplete if the replica could not be reached.
type ClaimReply struct {
	ID    ID
	Claim pollenledger.ClaimID
	Reply pollenledger.Reply
}

// A Result is the outcome of a run.
type Result string

// Results of a run.
const (
	// ResultAnswered means that the backend server's complete answer arrived.
	ResultAnswered Result = "answered"
	// ResultNotSent means that no byte reached a backend server.
	ResultNotSent Result = "not-sent"
	// ResultShed means that the backend server answered that it did not run the
	// request.
	ResultShed Result = "shed"
	// ResultFailed means that the request may have run.
	ResultFailed Result = "failed"
)

// A RunDone reports the outcome of a Run. An empty Signal means that the run
// gives no information about the state of the backend server.
type RunDone struct {
	ID     ID
	Result Result
	Signal pollenadmission.Signal
	Answer pollenledger.Answer
}

// A RemoteDone reports the outcome of a RunRemote. Reason is the refusal
// reported to the caller if there is no answer.
type RemoteDone struct {
	ID     ID
	Result Result
	Reason pollenkernel.Refusal
	Answer pollenledger.Answer
}

// An AnswerStored reports that a ledger replica has stored the answer.
type AnswerStored struct{ ID ID }

// A Cancel reports that the caller no longer waits for the answer.
type Cancel struct{ ID ID }

// A ViewChanged provides a newer view.
type ViewChanged struct{ View *pollenview.View }

// A Stop announces a planned stop of the agent.
type Stop struct{}

// A Tick lets the node handle deadlines and retries that are due.
type Tick struct{}

func (Arrival) event()      {}
func (ClaimReply) event()   {}
func (RunDone) event()      {}
func (RemoteDone) event()   {}
func (AnswerStored) event() {}
func (Cancel) event()       {}
func (ViewChanged) event()  {}
func (Stop) event()         {}
func (Tick) event()         {}

// An Action is an output of a Node.
type Action interface{ action() }

// A SendClaim requests a claim from every replica of the ledger group.
type SendClaim struct {
	ID       ID
	Request  pollenledger.Request
	Replicas []pollenview.Member
}

// A SendCompletion reports to every live replica of the ledger group how a claim
// ended. ID is zero for a released claim, so that its AnswerStored events are
// ignored.
type SendCompletion struct {
	ID         ID
	Completion pollenledger.Completion
	Replicas   []pollenview.Member
}

// A Run sends the request to the agent's own backend server.
type Run struct {
	ID       ID
	Deadline time.Time
}

// A RunRemote forwards the request to another agent.
type RunRemote struct {
	ID       ID
	To       pollenview.Member
	Deadline time.Time
}

// A CancelRun aborts a Run or a RunRemote.
type CancelRun struct{ ID ID }

// A SendAnswer sends the backend server's answer to the caller. Repeated is set
// if it is the stored answer to an earlier attempt.
type SendAnswer struct {
	ID       ID
	Answer   pollenledger.Answer
	Repeated bool
}

// A Refuse reports to the caller that there is no answer, the reason, and what
// is known about whether the request ran.
type Refuse struct {
	ID        ID
	Reason    pollenkernel.Refusal
	Execution pollenkernel.Execution
}

// A CountRetry adds a retry to the metrics.
type CountRetry struct{ Reason pollenkernel.Retry }

func (SendClaim) action()      {}
func (SendCompletion) action() {}
func (Run) action()            {}
func (RunRemote) action()      {}
func (CancelRun) action()      {}
func (SendAnswer) action()     {}
func (Refuse) action()         {}
func (CountRetry) action()     {}
