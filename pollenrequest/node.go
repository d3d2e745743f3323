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
	StoreWait time.Duration
	// RetryShare bounds the retries as a share of the requests, and RetryBurst
	// how many may come at once.
	RetryShare float64
	RetryBurst float64
	Seed       uint64
}

// Defaults of a Config.
const (
	defaultClaimRetry = 50 * time.Millisecond
	defaultStoreWait  = 500 * time.Millisecond
	defaultRetryShare = 0.2
	defaultRetryBurst = 10
)

// NewConfig returns a new Config with the defaults.
func NewConfig(
	self pollenview.Member, limiter *pollenadmission.Limiter, loads *pollenflow.Loads,
	placement pollenflow.Placement, seed uint64,
) Config {
	return Config{
		Self: self, Limiter: limiter, Loads: loads, Placement: placement, ClaimRetry: defaultClaimRetry,
		StoreWait: defaultStoreWait, RetryShare: defaultRetryShare, RetryBurst: defaultRetryBurst, Seed: seed,
	}
}

// A Node decides about requests. It implements pollenkernel.Machine.
type Node struct {
	config  Config
	random  *rand.Rand
	service pollendocument.Service
	view    *pollenview.View
	group   pollenview.LedgerGroup
	serving bool
	// stopping is set by a planned stop; forwarded requests are then refused.
	stopping bool

	requests map[ID]*request
	// queue holds the waiting requests, oldest first.
	queue []ID
	// retries is the number of retries that the budget allows now.
	retries  float64
	sequence uint64
	// average is the smoothed running time of a request.
	average time.Duration
	scratch []pollenflow.Load
	// released holds the claims that were given up, so that a grant that comes
	// late is given up too.
	released *pollenflow.LeaseMap[pollenledger.ClaimID, string]

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
	stage stage
	began time.Time
	// claim is set for keyed requests that were not passed on from elsewhere.
	claim    pollenledger.ClaimID
	epoch    uint64
	answered int
	granted  int
	// again is when a claim that was not granted is asked for again.
	again time.Time
	// claimed is set once a majority granted the claim.
	claimed bool
	// contended and unknown count the replicas that said so.
	contended int
	unknown   int
	tried     []pollendocument.ServerName
	stored    int
	until     time.Time
	outcome   pollenledger.Answer
	abandoned bool
}

// releasedLease is how long a late grant of a claim is watched for.
const releasedLease = time.Minute

// NewNode returns a new Node that refuses everything until it has a view.
func NewNode(config Config) *Node {
	return &Node{
		config: config, random: rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		view: pollenview.NewView(), requests: map[ID]*request{}, retries: config.RetryBurst,
		released: pollenflow.NewLeaseMap[pollenledger.ClaimID, string](releasedLease),
	}
}

// Step implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = nil
	switch e := event.(type) {
	case Arrival:
		n.arrive(e)
	case ClaimReply:
		n.claimReply(e)
	case RunDone:
		n.runDone(e)
	case RemoteDone:
		n.remoteDone(e)
	case AnswerStored:
		n.storedReply(e)
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
	n.group = view.Ledgers[n.config.Self.Service]
}

// leaving reports whether the backend server must get no new work. A planned
// stop of the agent alone is no reason to keep requests from it.
func (n *Node) leaving() bool {
	self, ok := n.view.Members[n.config.Self.Name]
	if ok && n.stopping {
		// The agent announced the drain itself.
		self.State = pollendocument.ServerActive
	}
	return ok && !n.view.TakesNewWork(self)
}

func (n *Node) arrive(a Arrival) {
	if a.Deadline.IsZero() || a.Deadline.After(n.now.Add(n.service.RequestTimeout)) {
		a.Deadline = n.now.Add(n.service.RequestTimeout)
	}
	r := &request{Arrival: a, began: n.now}
	switch {
	case !n.serving:
		n.emit(Refuse{ID: a.ID, Reason: pollenkernel.RefusalNotReady, Execution: n.executionBefore(r)})
		return
	case !n.now.Before(a.Deadline):
		n.emit(Refuse{ID: a.ID, Reason: pollenkernel.RefusalDeadline, Execution: n.executionBefore(r)})
		return
	case a.Forwarded:
		n.arriveForwarded(r)
		return
	}
	n.retries = min(n.config.RetryBurst, n.retries+n.config.RetryShare)
	n.requests[a.ID] = r
	if a.Key != "" {
		n.sequence++
		r.claim = pollenledger.ClaimID{
			Agent: n.config.Self.Name, Incarnation: n.config.Self.Incarnation, Sequence: n.sequence,
		}
		n.askClaim(r)
		return
	}
	n.place(r)
}

// arriveForwarded runs a request of another agent or refuses it at once; that
// agent knows better where else it may go.
func (n *Node) arriveForwarded(r *request) {
	switch {
	case n.leaving() || n.stopping:
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
func (n *Node) executionBefore(r *request) pollenkernel.Execution {
	if r.Key != "" && !r.Forwarded && !r.claimed {
		return pollenkernel.ExecutionUnknown
	}
	return pollenkernel.ExecutionNotRun
}

// refuse ends a request that no backend server has seen.
func (n *Node) refuse(r *request, why pollenkernel.Refusal) {
	n.settle(r, pollenledger.ClaimReleased)
	n.finish(r, Refuse{ID: r.ID, Reason: why, Execution: n.executionBefore(r)})
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
	r.began = n.now
	n.emit(Run{ID: r.ID, Deadline: r.Deadline})
}

// Waiting returns the number of queued requests.
func (n *Node) Waiting() int { return len(n.queue) }

// Len returns the number of requests that are not finished.
func (n *Node) Len() int { return len(n.requests) }
