package pollenrequest

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

// place runs a request here, forwards it to another agent, queues it or refuses
// it.
func (n *Node) place(r *request) {
	if len(n.queue) > 0 || !n.placeNow(r) {
		n.enqueue(r)
	}
}

// placeNow forwards a request to another agent or runs it here. ok is false if
// no agent has room.
func (n *Node) placeNow(r *request) (ok bool) {
	if to, ok := n.choosePeer(r); ok {
		n.runRemote(r, to)
		return true
	}
	return n.runNow(r)
}

// runNow runs a request here. ok is false if there is no room.
func (n *Node) runNow(r *request) (ok bool) {
	if n.refusesNewWork() || !n.config.Limiter.Begin() {
		return false
	}
	n.run(r)
	return true
}

// choosePeer returns the agent that the placement policy chooses for a request.
// It returns false if that is this agent or no agent has room. Agents that the
// request was sent to before are left out.
func (n *Node) choosePeer(r *request) (pollenview.Member, bool) {
	u := n.config.Limiter.Usage()
	own := pollenflow.Load{
		Name: n.config.Self.Name, Running: u.Running, Queued: len(n.queue), Limit: u.Limit,
	}
	if n.refusesNewWork() || n.stopping {
		own.Limit = 0
	}
	n.loadScratch = append(n.loadScratch[:0], own)
	for _, m := range n.view.Agents(n.service.Name) {
		if m.Name == n.config.Self.Name || !n.view.TakesNewWork(m) || slices.Contains(r.triedAgents, m.Name) {
			continue
		}
		if load, ok := n.config.Loads.Get(n.now, m.Name); ok {
			n.loadScratch = append(n.loadScratch, load)
		}
	}
	at, ok := n.config.Placement.Choose(n.random, n.loadScratch, pollenflow.RequestUtilization)
	if !ok || at == 0 {
		return pollenview.Member{}, false
	}
	m, ok := n.view.Members[n.loadScratch[at].Name]
	return m, ok
}

func (n *Node) runRemote(r *request, to pollenview.Member) {
	r.stage = stageRemote
	r.triedAgents = append(r.triedAgents, to.Name)
	n.config.Loads.AddRequest(n.now, to.Name)
	n.emit(RunRemote{ID: r.ID, To: to, Deadline: r.Deadline})
}

// enqueue queues a request for a slot here. It refuses the request if the queue
// is full or the expected wait exceeds the deadline.
func (n *Node) enqueue(r *request) {
	switch {
	case len(n.queue) >= n.service.QueueLimit:
		n.refuse(r, pollenkernel.RefusalQueueFull)
	case n.now.Add(n.expectedWait()).After(r.Deadline):
		n.refuse(r, pollenkernel.RefusalNoSlots)
	default:
		r.stage = stageQueued
		n.queue = append(n.queue, r.ID)
	}
}

// expectedWait estimates the time until a request that is queued now starts to
// run.
func (n *Node) expectedWait() time.Duration {
	limit := max(1, n.config.Limiter.Usage().Limit)
	rounds := len(n.queue)/limit + 1
	return time.Duration(rounds) * n.averageRunTime
}

// serveQueue places queued requests here or at other agents while there is room.
func (n *Node) serveQueue() { n.serveQueueWith(n.placeNow) }

// serveLocal runs queued requests here while there is room.
func (n *Node) serveLocal() { n.serveQueueWith(n.runNow) }

// serveQueueWith calls place with queued requests in order until it fails.
func (n *Node) serveQueueWith(place func(r *request) (ok bool)) {
	for len(n.queue) > 0 {
		r := n.requests[n.queue[0]]
		if !place(r) {
			return
		}
		n.queue = n.queue[1:]
	}
}

func (n *Node) handleRunDone(e RunDone) {
	r, ok := n.requests[e.ID]
	if !ok || r.stage != stageRunning {
		return
	}
	if e.Signal == "" {
		n.config.Limiter.Cancel()
	} else {
		n.config.Limiter.End(n.now, e.Signal)
	}
	if e.Signal == pollenadmission.SignalSuccess {
		// The average takes in 1/8 of each new sample.
		const smoothing = 8
		n.averageRunTime += (n.now.Sub(r.startTime) - n.averageRunTime) / smoothing
	}
	n.conclude(r, e.Result, pollenkernel.RefusalBackendFailed, e.Answer)
	n.serveQueue()
}

func (n *Node) handleRemoteDone(e RemoteDone) {
	r, ok := n.requests[e.ID]
	if !ok || r.stage != stageRemote {
		return
	}
	n.config.Loads.EndRequest(n.now, lastTried(r))
	if e.Result == ResultNotSent {
		n.config.Loads.MarkFull(n.now, lastTried(r))
	}
	n.conclude(r, e.Result, e.Reason, e.Answer)
	n.serveQueue()
}

// lastTried returns the agent that the request was last forwarded to.
func lastTried(r *request) pollendocument.ServerName { return r.triedAgents[len(r.triedAgents)-1] }

// conclude handles the result of a run: it answers or refuses the request, or
// places it again if no backend server has run it.
func (n *Node) conclude(r *request, result Result, reason pollenkernel.Refusal, answer pollenledger.Answer) {
	switch result {
	case ResultAnswered:
		r.answer = answer
		if r.claim.Sequence != 0 {
			n.storeAnswer(r)
			return
		}
		n.finish(r, SendAnswer{ID: r.ID, Answer: answer})
	case ResultNotSent, ResultShed:
		if r.Forwarded || r.abandoned || !n.now.Before(r.Deadline) {
			n.refuse(r, reason)
			return
		}
		n.placeAgain(r)
	case ResultFailed:
		n.completeClaim(r, pollenledger.ClaimUnknown)
		n.finish(r, Refuse{ID: r.ID, Reason: reason, Execution: pollenkernel.ExecutionUnknown})
	}
}

// placeAgain places a request again if the retry budget allows it. Otherwise the
// request waits for a slot here, which puts no load on other agents.
func (n *Node) placeAgain(r *request) {
	if n.retryTokens < 1 {
		n.emit(CountRefusal{Reason: pollenkernel.RefusalRetryBudget})
		n.enqueue(r)
		n.serveLocal()
		return
	}
	n.retryTokens--
	n.emit(CountRetry{Reason: pollenkernel.RetryOtherAgent})
	n.place(r)
}

// A CountRefusal adds to the metrics a refusal that is not the final answer to
// the caller.
type CountRefusal struct{ Reason pollenkernel.Refusal }

func (CountRefusal) action() {}

// cancel handles a request whose caller no longer waits. A running request with
// an idempotency key continues, so that a repeated request gets its answer.
func (n *Node) cancel(id ID) {
	r, ok := n.requests[id]
	if !ok {
		return
	}
	r.abandoned = true
	switch r.stage {
	case stageClaiming, stageQueued:
		n.refuse(r, pollenkernel.RefusalCancelled)
	case stageRunning, stageRemote:
		if r.Key == "" {
			n.emit(CancelRun{ID: id})
		}
	case stageStoring:
	}
}

// tick handles the requests whose deadline, claim retry or store time-out is
// due, and serves the queue.
func (n *Node) tick() {
	for _, id := range n.dueRequests() {
		r := n.requests[id]
		switch r.stage {
		case stageClaiming:
			if !n.now.Before(r.Deadline) {
				n.expireClaim(r)
			} else {
				n.requestClaim(r)
			}
		case stageQueued:
			n.refuse(r, pollenkernel.RefusalDeadline)
		case stageRunning, stageRemote:
			n.emit(CancelRun{ID: id})
		case stageStoring:
			n.finish(r, SendAnswer{ID: r.ID, Answer: r.answer})
		}
	}
	n.releasedClaims.Expire(n.now, nil)
	n.serveQueue()
}

// dueRequests returns the requests whose deadline, claim retry or store time-out
// has passed, sorted by ID.
func (n *Node) dueRequests() []ID {
	var ids []ID
	for id, r := range n.requests {
		due := !n.now.Before(r.Deadline)
		switch r.stage {
		case stageClaiming:
			due = due || !r.claimRetryAt.IsZero() && !n.now.Before(r.claimRetryAt)
		case stageStoring:
			due = !n.now.Before(r.storeDeadline)
		}
		if due {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
