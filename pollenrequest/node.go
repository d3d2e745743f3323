// Package pollenrequest is the state machine of the requests that reach an
// agent: claims, placement, queueing, deadlines, cancellation and refusals.
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

// An ID names a request within one agent.
type ID uint64

// A Config holds the settings of a Node.
type Config struct {
	Self      pollenview.Member
	Limiter   *pollenadmission.Limiter
	Loads     *pollenflow.Loads
	Placement pollenflow.Placement
	// ClaimRetry is the pause before a contended claim is asked for again.
	ClaimRetry time.Duration
	// StoreWait is how long an answer waits for the ledger to store it.
	StoreTimeout time.Duration
	// RetryShare bounds the retries as a share of the requests, and RetryBurst
	// how many may come at once.
	RetryShare float64
	RetryBurst float64
	Seed       uint64
}

// Defaults of a Config.
const (
	defaultClaimRetry   = 50 * time.Millisecond
	defaultStoreTimeout = 500 * time.Millisecond
	defaultRetryShare   = 0.2
	defaultRetryBurst   = 10
)

// NewConfig returns a new Config with the defaults.
func NewConfig(
	self pollenview.Member, limiter *pollenadmission.Limiter, loads *pollenflow.Loads,
	placement pollenflow.Placement, seed uint64,
) Config {
	return Config{
		Self: self, Limiter: limiter, Loads: loads, Placement: placement, ClaimRetry: defaultClaimRetry,
		StoreTimeout: defaultStoreTimeout, RetryShare: defaultRetryShare, RetryBurst: defaultRetryBurst, Seed: seed,
	}
}

// A Node decides about requests. It implements pollenkernel.Machine.
type Node struct {
	config      Config
	random      *rand.Rand
	service     pollendocument.Service
	view        *pollenview.View
	ledgerGroup pollenview.LedgerGroup
	serving     bool
	// stopping is set by a planned stop; forwarded requests are then refused.
	stopping bool

	requests map[ID]*request
	// queue holds the waiting requests, oldest first.
	queue []ID
	// retries is the number of retries that the budget allows now.
	retryTokens   float64
	claimSequence uint64
	// average is the smoothed running time of a request.
	averageRunTime time.Duration
	loadScratch    []pollenflow.Load
	// released holds the claims that were given up, so that a grant that comes
	// late is given up too.
	releasedClaims *pollenflow.LeaseMap[pollenledger.ClaimID, string]

	now     time.Time
	actions []Action
}

// A stage is where a request stands.
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
	stage     stage
	startTime time.Time
	// claim is set for keyed requests that were not passed on from elsewhere.
	claim   pollenledger.ClaimID
	epoch   uint64
	replies int
	granted int
	// again is when a claim that was not granted is asked for again.
	claimRetryAt time.Time
	// claimed is set once a majority granted the claim.
	claimed bool
	// contended and unknown count the replicas that said so.
	contended      int
	unknown        int
	triedAgents    []pollendocument.ServerName
	storedReplicas int
	storeDeadline  time.Time
	answer         pollenledger.Answer
	abandoned      bool
}

// releasedLease is how long a late grant of a claim is watched for.
const releasedClaimLease = time.Minute

// NewNode returns a new Node that refuses everything until it has a view.
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

// leaving reports whether the backend server must get no new work. A planned
// stop of the agent alone is no reason to keep requests from it.
func (n *Node) refusesNewWork() bool {
	self, ok := n.view.Members[n.config.Self.Name]
	if ok && n.stopping {
		// The agent announced the drain itself.
		self.State = pollendocument.ServerActive
	}
	return ok && !n.view.TakesNewWork(self)
}

func (n *Node) handleArrival(a Arrival) {
	if a.Deadline.IsZero() || a.Deadline.After(n.now.Add(n.service.DefaultDeadline)) {
		a.Deadline = n.now.Add(n.service.DefaultDeadline)
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

// arriveForwarded runs a request of another agent or refuses it at once; that
// agent knows better where else it may go.
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

// executionBefore says what is known of a request that has not been placed. A
// keyed request may have run under an earlier claim, unless a majority of the
// ledger granted the present one.
func (n *Node) unplacedExecution(r *request) pollenkernel.Execution {
	if r.Key != "" && !r.Forwarded && !r.claimed {
		return pollenkernel.ExecutionUnknown
	}
	return pollenkernel.ExecutionNotRun
}

// refuse ends a request that no backend server has seen.
func (n *Node) refuse(r *request, reason pollenkernel.Refusal) {
	n.completeClaim(r, pollenledger.ClaimReleased)
	n.finish(r, Refuse{ID: r.ID, Reason: reason, Execution: n.unplacedExecution(r)})
}

// finish answers the caller, if it still waits, and forgets the request.
func (n *Node) finish(r *request, answer Action) {
	delete(n.requests, r.ID)
	if r.stage == stageQueued {
		n.queue = slices.DeleteFunc(n.queue, func(id ID) bool { return id == r.ID })
	}
	if !r.abandoned {
		n.emit(answer)
	}
}

func (n *Node) run(r *request) {
	r.stage = stageRunning
	r.startTime = n.now
	n.emit(Run{ID: r.ID, Deadline: r.Deadline})
}

// Waiting returns the number of queued requests.
func (n *Node) Waiting() int { return len(n.queue) }

// Len returns the number of requests that are not finished.
func (n *Node) Len() int { return len(n.requests) }
