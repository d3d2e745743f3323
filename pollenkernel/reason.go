package pollenkernel

// A Refusal is the reason why a packet, flow, request or submission was not
// served. Each value has one counter.
type Refusal string

// Reasons for refusing packets and flows.
const (
	RefusalForged          Refusal = "forged"
	RefusalMalformed       Refusal = "malformed"
	RefusalWrongService    Refusal = "wrong-service"
	RefusalWrongMember     Refusal = "wrong-member"
	RefusalUnknownService  Refusal = "unknown-service"
	RefusalUnknownFlow     Refusal = "unknown-flow"
	RefusalNoMember        Refusal = "no-member"
	RefusalDomainOut       Refusal = "domain-out"
	RefusalHopLimit        Refusal = "hop-limit"
	RefusalSearchLimit     Refusal = "search-limit"
	RefusalConnectionLimit Refusal = "connection-limit"
	RefusalColdLimit       Refusal = "cold-limit"
	RefusalNotReady        Refusal = "not-ready"
	RefusalNoRoute         Refusal = "no-route"
	RefusalServerSilent    Refusal = "server-silent"
)

// RefusalNone is the reason of what was not refused. It has no counter.
const RefusalNone Refusal = ""

// Reasons for refusing requests.
const (
	RefusalNoSlots       Refusal = "slots"
	RefusalQueueFull     Refusal = "queue-full"
	RefusalDeadline      Refusal = "deadline"
	RefusalDraining      Refusal = "draining"
	RefusalCancelled     Refusal = "cancelled"
	RefusalRetryBudget   Refusal = "retry-budget"
	RefusalClaimHeld     Refusal = "claim-held"
	RefusalClaimUnknown  Refusal = "claim-unknown"
	RefusalNoQuorum      Refusal = "no-quorum"
	RefusalNotLeader     Refusal = "not-leader"
	RefusalStaleView     Refusal = "stale-view"
	RefusalBackendFailed Refusal = "backend-failed"
	RefusalTooLarge      Refusal = "too-large"
)

// Refusals returns every refusal reason, in the order in which they are
// documented.
func Refusals() []Refusal {
	return []Refusal{
		RefusalForged, RefusalMalformed, RefusalWrongService, RefusalWrongMember,
		RefusalUnknownService, RefusalUnknownFlow, RefusalNoMember, RefusalDomainOut,
		RefusalHopLimit, RefusalSearchLimit, RefusalConnectionLimit, RefusalColdLimit,
		RefusalNotReady, RefusalNoRoute, RefusalServerSilent, RefusalNoSlots, RefusalQueueFull, RefusalDeadline, RefusalDraining,
		RefusalCancelled, RefusalRetryBudget, RefusalClaimHeld, RefusalClaimUnknown,
		RefusalNoQuorum, RefusalNotLeader, RefusalStaleView, RefusalBackendFailed, RefusalTooLarge,
	}
}

// A Retry is the reason why an operation was attempted again. Each value has
// one counter.
type Retry string

// Reasons for retrying.
const (
	RetryOtherAgent         Retry = "other-agent"
	RetryClaimContended     Retry = "claim-contended"
	RetryReplicaUnreachable Retry = "replica-unreachable"
	RetryViewFetch          Retry = "view-fetch"
	RetryFlowSearch         Retry = "flow-search"
	RetryOwnerChanged       Retry = "home-changed"
	// RetryOpening counts copies of opening packets that went to another gate
	// than the first.
	RetryOpening Retry = "opening-resent"
	// RetryCall counts operators' calls that were passed to a leader again.
	RetryCall Retry = "call-resent"
)

// Retries returns every retry reason.
func Retries() []Retry {
	return []Retry{
		RetryOtherAgent, RetryClaimContended, RetryReplicaUnreachable, RetryViewFetch,
		RetryFlowSearch, RetryOwnerChanged, RetryOpening, RetryCall,
	}
}

// An Execution says what is known about whether a request ran.
type Execution string

// Execution states reported with each refusal.
const (
	// ExecutionNotRun is reported only when no byte of the request reached a
	// backend server.
	ExecutionNotRun Execution = "not-run"
	// ExecutionUnknown is reported when the request may have run.
	ExecutionUnknown Execution = "unknown"
	// ExecutionDone is reported with the backend server's own answer.
	ExecutionDone Execution = "done"
)
