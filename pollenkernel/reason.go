package pollenkernel

// A Refusal is the reason why a packet, flow, request or submission was not
// served. There is one counter for each value except RefusalNone.
type Refusal string

// Reasons for refusing packets and flows.
const (
	RefusalForged         Refusal = "forged"
	RefusalMalformed      Refusal = "malformed"
	RefusalWrongService   Refusal = "wrong-service"
	RefusalWrongMember    Refusal = "wrong-member"
	RefusalUnknownService Refusal = "unknown-service"
	RefusalUnknownFlow    Refusal = "unknown-flow"
	RefusalNoMember       Refusal = "no-member"
	// RefusalDomainOut means that the failure domain is evacuated.
	RefusalDomainOut       Refusal = "domain-out"
	RefusalHopLimit        Refusal = "hop-limit"
	RefusalSearchLimit     Refusal = "search-limit"
	RefusalConnectionLimit Refusal = "connection-limit"
	RefusalColdLimit       Refusal = "cold-limit"
	RefusalNotReady        Refusal = "not-ready"
	RefusalNoRoute         Refusal = "no-route"
	RefusalServerSilent    Refusal = "server-silent"
)

// RefusalNone is the reason of everything that was not refused. It has no
// counter.
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

// Refusals returns all refusal reasons except RefusalNone, in the order in which
// they are documented.
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

// A Retry is the reason why an operation was retried. There is one counter for
// each value.
type Retry string

// Reasons for retrying.
const (
	RetryOtherAgent         Retry = "other-agent"
	RetryClaimContended     Retry = "claim-contended"
	RetryReplicaUnreachable Retry = "replica-unreachable"
	RetryViewFetch          Retry = "view-fetch"
	RetryFlowSearch         Retry = "flow-search"
	RetryOwnerChanged       Retry = "home-changed"
	// RetryOpening is the reason of a retransmitted opening packet that is sent to
	// another gate than the transmission before it.
	RetryOpening Retry = "opening-resent"
	// RetryCall is the reason of an operator's call that is sent to a leader again.
	RetryCall Retry = "call-resent"
)

// Retries returns all retry reasons.
func Retries() []Retry {
	return []Retry{
		RetryOtherAgent, RetryClaimContended, RetryReplicaUnreachable, RetryViewFetch,
		RetryFlowSearch, RetryOwnerChanged, RetryOpening, RetryCall,
	}
}

// An Execution states whether a refused request was executed, as far as is
// known.
type Execution string

// Values of Execution; one is reported with each refusal.
const (
	// ExecutionNotRun is reported only when no byte of the request reached a
	// backend server.
	ExecutionNotRun Execution = "not-run"
	// ExecutionUnknown is reported when the request may have been executed.
	ExecutionUnknown Execution = "unknown"
	// ExecutionDone is reported with the backend server's own response.
	ExecutionDone Execution = "done"
)
