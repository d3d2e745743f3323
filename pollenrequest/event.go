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
	// Key is the idempotency key; empty when the request has none.
	Key string
	// Deadline is the caller's; zero when it brought none.
	Deadline time.Time
	// Forwarded is set when another agent passed the request on.
	Forwarded bool
}

// A ClaimReply delivers a ledger replica's answer; it is VerdictIncomplete
// when the replica could not be reached.
type ClaimReply struct {
	ID    ID
	Claim pollenledger.ClaimID
	Reply pollenledger.Reply
}

// A Result says how a run ended.
type Result string

// Results.
const (
	// ResultAnswered comes with the backend server's whole answer.
	ResultAnswered Result = "answered"
	// ResultNotSent means that no byte reached a backend server.
	ResultNotSent Result = "not-sent"
	// ResultShed means that the backend server said it did not run the request.
	ResultShed Result = "shed"
	// ResultFailed means that the request may have run.
	ResultFailed Result = "failed"
)

// A RunDone tells how a Run ended.
type RunDone struct {
	ID     ID
	Result Result
	Signal pollenadmission.Signal
	Answer pollenledger.Answer
}

// A RemoteDone tells how a RunAt ended.
type RemoteDone struct {
	ID     ID
	Result Result
	Reason pollenkernel.Refusal
	Answer pollenledger.Answer
}

// A Stored tells that a replica has stored the answer.
type AnswerStored struct{ ID ID }

// A Cancel tells that the caller no longer waits.
type Cancel struct{ ID ID }

// A ViewChanged gives the node a newer view.
type ViewChanged struct{ View *pollenview.View }

// A Stop announces a planned stop.
type Stop struct{}

// A Tick tells the time.
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

// A SendClaim asks every replica of the group for a claim.
type SendClaim struct {
	ID       ID
	Request  pollenledger.Request
	Replicas []pollenview.Member
}

// A Settle tells every replica how a claim ended.
type SendCompletion struct {
	ID         ID
	Completion pollenledger.Completion
	Replicas   []pollenview.Member
}

// A Run passes the request to the agent's own backend server.
type Run struct {
	ID       ID
	Deadline time.Time
}

// A RunAt passes the request to another agent.
type RunRemote struct {
	ID       ID
	To       pollenview.Member
	Deadline time.Time
}

// A CancelRun ends a Run or a RunAt early.
type CancelRun struct{ ID ID }

// An Answered gives the caller the backend server's answer; Repeated is set
// when it is that of an earlier attempt.
type SendAnswer struct {
	ID       ID
	Answer   pollenledger.Answer
	Repeated bool
}

// A Refuse tells the caller that there is no answer, why, and whether the
// request ran.
type Refuse struct {
	ID        ID
	Reason    pollenkernel.Refusal
	Execution pollenkernel.Execution
}

// A Retried is to be counted.
type CountRetry struct{ Reason pollenkernel.Retry }

func (SendClaim) action()      {}
func (SendCompletion) action() {}
func (Run) action()            {}
func (RunRemote) action()      {}
func (CancelRun) action()      {}
func (SendAnswer) action()     {}
func (Refuse) action()         {}
func (CountRetry) action()     {}
