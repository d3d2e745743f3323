// Package pollenrequest implements the state machine of the requests that reach
// an agent: claims, placement, queueing, deadlines, cancellation and refusals.
package pollenrequest

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

// An ID identifies a request within one agent.
type ID uint64

// A Config holds the settings of a Node.
type Config struct {
	Self      pollenview.Member
	Limiter   *pollenadmission.Limiter
	Loads     *pollenflow.Loads
	Placement pollenflow.Placement
	// ClaimRetry is the average pause before a contended claim is requested
	// again. It must be positive.
	ClaimRetry time.Duration
	// StoreTimeout is the maximum time that an answer is withheld from the
	// caller until the ledger has stored it.
	StoreTimeout time.Duration
	// RetryShare is the maximum number of retries per request on average, and
	// RetryBurst the maximum number of retries at once.
	RetryShare float64
	RetryBurst float64
	// Seed seeds the random choices.
	Seed uint64
}

// Defaults of Config.
const (
	defaultClaimRetry   = 50 * time.Millisecond
	defaultStoreTimeout = 500 * time.Millisecond
	defaultRetryShare   = 0.2
	defaultRetryBurst   = 10
)

// NewConfig returns a Config with the default durations and limits.
func NewConfig(
	self pollenview.Member, limiter *pollenadmission.Limiter, loads *pollenflow.Loads,
	placement pollenflow.Placement, seed uint64,
) Config {
	return Config{
		Self: self, Limiter: limiter, Loads: loads, Placement: placement, ClaimRetry: defaultClaimRetry,
		StoreTimeout: defaultStoreTimeout, RetryShare: defaultRetryShare, RetryBurst: defaultRetryBurst, Seed: seed,
	}
}

// A Node decides how to handle the requests of one agent. It implements
// pollenkernel.Machine and is not safe for concurrent use.
type Node struct {
	config      Config
	random      *rand.Rand
	service     pollendocument.Service
	view        *pollenview.View
	ledgerGroup pollenview.LedgerGroup
	serving     bool
	// stopping is set by a planned stop. Forwarded requests are then refused.
	stopping bool

	requests map[ID]*request
	// queue holds the waiting requests, longest waiting first.
	queue []ID
	// retryTokens is the number of retries that the retry budget allows now.
	retryTokens   float64
	claimSequence uint64
	// averageRunTime is the smoothed time that a run takes.
	averageRunTime time.Duration
	loadScratch    []pollenflow.Load
	// releasedClaims holds the keys of released claims, so that a grant that
	// arrives later is released too.
	releasedClaims *pollenflow.LeaseMap[pollenledger.ClaimID, string]

	// now and actions belong to the current Step.
	now     time.Time
	actions []Action
}

// A stage is a step in the handling of a request.
type stage string

const (
	stageClaiming stage = "claiming"
	stageQueued   stage = "queued"
	stageRunning  stage = "running"
	stageRemote   stage = "remote"
	stageStoring  stage = "storing"
)

type request struct {
	Arrival
	stage stage
	// startTime is the arrival of the request or, once it runs here, the start
	// of the run.
	startTime time.Time
	// claim is set for requests with an idempotency key that were not forwarded
	// by another agent. Its sequence number is zero for other requests.
	claim pollenledger.ClaimID
	// epoch is the ledger group's epoch when the claim was last requested.
	// replies counts the replies to that request, and granted those that grant
	// the claim in the same epoch.
	epoch   uint64
	replies int
	granted int
	// claimRetryAt is when a claim that was not granted is requested again, or
	// zero while replies are awaited.
	claimRetryAt time.Time
	// claimed is set once a majority granted the claim.
	claimed bool
	// contended counts the replicas at which another claim holds the key, and
	// unknown those that report an earlier attempt that may have run and whose
	// answer is not available.
	contended      int
	unknown        int
	triedAgents    []pollendocument.ServerName
	storedReplicas int
	storeDeadline  time.Time
	answer         pollenledger.Answer
	// abandoned is set once the caller no longer waits for the answer.
	abandoned bool
}

// releasedClaimLease is how long a late grant of a released claim is recognized.
const releasedClaimLease = time.Minute

// NewNode returns a Node that refuses all requests until it receives a view.
func NewNode(config Config) *Node {
	return &Node{
		config: config, random: rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		view: pollenview.NewView(), requests: map[ID]*request{}, retryTokens: config.RetryBurst,
		releasedClaims: pollenflow.NewLeaseMap[pollenledger.ClaimID, string](releasedClaimLease),
	}
}

// Step implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = nil
	switch e := event.(type) {
	case Arrival:
		n.handleArrival(e)
	case ClaimReply:
		n.handleClaimReply(e)
	case RunDone:
		n.handleRunDone(e)
	case RemoteDone:
		n.handleRemoteDone(e)
	case AnswerStored:
		n.handleAnswerStored(e)
	case Cancel:
		n.cancel(e.ID)
	case ViewChanged:
		n.changeView(e.View)
	case Stop:
		n.stopping = true
	case Tick:
		n.tick()
	}
	return n.actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) changeView(view *pollenview.View) {
	n.view = view
	service, _, ok := view.Document.Service(n.config.Self.Service)
	n.serving = ok && view.DomainTakesTraffic(n.config.Self.Domain)
	n.service = service
	n.ledgerGroup = view.Ledgers[n.config.Self.Service]
}

// refusesNewWork reports whether the backend server must not get new work. A
// planned stop of the agent alone is no reason to withhold requests from the
// backend server.
func (n *Node) refusesNewWork() bool {
	self, ok := n.view.Members[n.config.Self.Name]
	if ok && n.stopping {
		// The member state is draining because this agent announced its stop.
		self.State = pollendocument.ServerActive
	}
	return ok && !n.view.TakesNewWork(self)
}

// handleArrival starts the handling of a new request. A deadline that is missing
// or exceeds the request time-out of the service is replaced by the latter.
func (n *Node) handleArrival(a Arrival) {
	if a.Deadline.IsZero() || a.Deadline.After(n.now.Add(n.service.RequestTimeout)) {
		a.Deadline = n.now.Add(n.service.RequestTimeout)
	}
	r := &request{Arrival: a, startTime: n.now}
	switch {
	case !n.serving:
		n.emit(Refuse{ID: a.ID, Reason: pollenkernel.RefusalNotReady, Execution: n.unplacedExecution(r)})
		return
	case !n.now.Before(a.Deadline):
		n.emit(Refuse{ID: a.ID, Reason: pollenkernel.RefusalDeadline, Execution: n.unplacedExecution(r)})
		return
	case a.Forwarded:
		n.handleForwarded(r)
		return
	}
	n.retryTokens = min(n.config.RetryBurst, n.retryTokens+n.config.RetryShare)
	n.requests[a.ID] = r
	if a.Key != "" {
		n.claimSequence++
		r.claim = pollenledger.ClaimID{
			Agent: n.config.Self.Name, Incarnation: n.config.Self.Incarnation, Sequence: n.claimSequence,
		}
		n.requestClaim(r)
		return
	}
	n.place(r)
}

// handleForwarded runs a request from another agent or refuses it at once,
// since the other agent can choose another place for it.
func (n *Node) handleForwarded(r *request) {
	switch {
	case n.refusesNewWork() || n.stopping:
		n.emit(Refuse{ID: r.ID, Reason: pollenkernel.RefusalDraining, Execution: pollenkernel.ExecutionNotRun})
	case len(n.queue) > 0 || !n.config.Limiter.Begin():
		n.emit(Refuse{ID: r.ID, Reason: pollenkernel.RefusalNoSlots, Execution: pollenkernel.ExecutionNotRun})
	default:
		n.requests[r.ID] = r
		n.run(r)
	}
}

// unplacedExecution returns what is known about whether a request ran that has
// not been placed. A request with an idempotency key may have run under an
// earlier claim, unless a majority of the ledger group granted the current one.
func (n *Node) unplacedExecution(r *request) pollenkernel.Execution {
	if r.Key != "" && !r.Forwarded && !r.claimed {
		return pollenkernel.ExecutionUnknown
	}
	return pollenkernel.ExecutionNotRun
}

// refuse refuses a request that no backend server has run in this attempt, and
// releases its claim.
func (n *Node) refuse(r *request, reason pollenkernel.Refusal) {
	n.completeClaim(r, pollenledger.ClaimReleased)
	n.finish(r, Refuse{ID: r.ID, Reason: reason, Execution: n.unplacedExecution(r)})
}

// finish removes the request and emits the answer or refusal if the caller still
// waits for it.
func (n *Node) finish(r *request, answer Action) {
	delete(n.requests, r.ID)
	if r.stage == stageQueued {
		n.queue = slices.DeleteFunc(n.queue, func(id ID) bool { return id == r.ID })
	}
	if !r.abandoned {
		n.emit(answer)
	}
}

// run sends a request to the agent's own backend server. The limiter has granted
// a unit of work.
func (n *Node) run(r *request) {
	r.stage = stageRunning
	r.startTime = n.now
	n.emit(Run{ID: r.ID, Deadline: r.Deadline})
}

// Queued returns the number of queued requests.
func (n *Node) Queued() int { return len(n.queue) }

// Len returns the number of unfinished requests, including queued ones.
func (n *Node) Len() int { return len(n.requests) }
