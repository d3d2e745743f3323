package pollenkernel

// A Refusal is the reason why a packet, flow, request or submission was not
// served. There is one counter for each value except RefusalNone.
type Refusal string

// Reasons for refusing packets and flows.
const (
	RefusalForged       Refusal = "forged"
	RefusalMalformed    Refusal = "malformed"
	RefusalWrongService Refusal = "wrong-service"
	// RefusalWrongMember means that the packet is addressed to another agent.
	RefusalWrongMember    Refusal = "wrong-member"
	RefusalUnknownService Refusal = "unknown-service"
	RefusalUnknownFlow    Refusal = "unknown-flow"
	// RefusalNoMember means that no gate or agent can take the flow.
	RefusalNoMember Refusal = "no-member"
	// RefusalDomainOut means that the failure domain is evacuated or otherwise
	// takes no traffic.
	RefusalDomainOut Refusal = "domain-out"
	// RefusalHopLimit means that the packet was forwarded too often.
	RefusalHopLimit Refusal = "hop-limit"
	// RefusalSearchLimit means that the search for the holder of the flow would
	// exceed the rate limit of searches.
	RefusalSearchLimit     Refusal = "search-limit"
	RefusalConnectionLimit Refusal = "connection-limit"
	// RefusalColdLimit means that a backend server that has just started takes no
	// more flows yet.
	RefusalColdLimit Refusal = "cold-limit"
	// RefusalNotReady means that the process or its backend server cannot serve
	// yet, or that it is leaving.
	RefusalNotReady Refusal = "not-ready"
	RefusalNoRoute  Refusal = "no-route"
	// RefusalServerSilent means that the backend server does not answer or has
	// stopped reporting.
	RefusalServerSilent Refusal = "server-silent"
	// RefusalLinkFull means that the link of the balancer cannot carry the flow within
	// the objective of its route.
	RefusalLinkFull Refusal = "link-full"
	// RefusalPriority means that the backend servers take only flows of a more urgent
	// priority at present.
	RefusalPriority Refusal = "priority"
	// RefusalShare means that the caller uses more than its fair share of a resource
	// that is in demand.
	RefusalShare Refusal = "share"
)

// RefusalNone is the reason of everything that was not refused. It has no
// counter.
const RefusalNone Refusal = ""

// Reasons for refusing requests.
const (
	// RefusalNoSlots means that no slot of the backend server is free, or that none
	// becomes free in time.
	RefusalNoSlots   Refusal = "slots"
	RefusalQueueFull Refusal = "queue-full"
	RefusalDeadline  Refusal = "deadline"
	RefusalDraining  Refusal = "draining"
	RefusalCancelled Refusal = "cancelled"
	// RefusalRetryBudget means that the retry budget does not allow another
	// attempt.
	RefusalRetryBudget Refusal = "retry-budget"
	// RefusalClaimHeld means that another request holds the claim on the
	// idempotency key.
	RefusalClaimHeld Refusal = "claim-held"
	// RefusalClaimUnknown means that an earlier request with the idempotency key
	// may have run and its answer is lost.
	RefusalClaimUnknown Refusal = "claim-unknown"
	RefusalNoQuorum     Refusal = "no-quorum"
	RefusalNotLeader    Refusal = "not-leader"
	// RefusalStaleView means that the process has no view yet or knows of a newer
	// one.
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
		RefusalLinkFull, RefusalPriority, RefusalShare,
	}
}

// A Retry is the reason why an operation was retried. There is one counter for
// each value.
type Retry string

// Reasons for retrying.
const (
	// RetryOtherAgent is the reason of a request that is placed again.
	RetryOtherAgent Retry = "other-agent"
	// RetryClaimContended is the reason of a claim that no majority granted.
	RetryClaimContended Retry = "claim-contended"
	// RetryReplicaUnreachable is the reason of a call to a replica of the ledger
	// that failed.
	RetryReplicaUnreachable Retry = "replica-unreachable"
	// RetryViewFetch is the reason of fetching a newer view from another member.
	RetryViewFetch Retry = "view-fetch"
	// RetryFlowSearch is the reason of searching the holder of a flow.
	RetryFlowSearch Retry = "flow-search"
	// RetryOwnerChanged is the reason of registering flows with another directory
	// owner.
	RetryOwnerChanged Retry = "home-changed"
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
