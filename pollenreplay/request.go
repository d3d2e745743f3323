package pollenreplay

import (
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenrequest"
)

// call is a request that an agent processes.
type call struct {
	key  string
	body string
	// respond sends the result to the caller or to the forwarding agent.
	respond func(result pollenrequest.Result, reason pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution)
	// agentKilled is set when the agent that processes the request is killed.
	agentKilled bool
	// cancelled is set to end the run early.
	cancelled bool
}

// handleRequest handles an attempt of a caller's request.
func (a *agent) handleRequest(t *attempt) {
	sim := a.sim
	r := t.request
	if !a.up {
		if a.stoppedAsPlanned {
			sim.measures.afterStop++
			sim.measures.addNote("%s: request %s reached %s after its planned stop", sim.now.Sub(sim.start), r.body, a.name)
		}
		return
	}
	c := &call{key: r.key, body: r.body}
	c.respond = func(result pollenrequest.Result, reason pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution) {
		sim.after(sim.trace.Latency, func() { t.handleAnswer(result, reason, answer, execution) })
	}
	a.startCall(c, r.deadlineFor(sim.now), false)
}

// startCall passes a request to the agent's request state machine. forwarded is
// set if another agent sent it.
func (a *agent) startCall(c *call, deadline time.Time, forwarded bool) {
	a.nextID++
	a.calls[a.nextID] = c
	a.step(pollenrequest.Arrival{ID: a.nextID, Key: c.key, Deadline: deadline, Forwarded: forwarded})
}

// step passes an event to the request state machine and executes the resulting
// actions, until no further events follow.
func (a *agent) step(e pollenrequest.Event) {
	events := []pollenrequest.Event{e}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, action := range a.requests.Step(a.sim.now, next) {
			events = append(events, a.executeRequest(action)...)
		}
	}
}

// executeRequest executes an action of the request state machine and returns
// the events that follow at once.
func (a *agent) executeRequest(action pollenrequest.Action) []pollenrequest.Event {
	sim := a.sim
	switch action := action.(type) {
	case pollenrequest.Run:
		a.runLocal(action.ID)
	case pollenrequest.RunRemote:
		a.runRemote(action)
	case pollenrequest.CancelRun:
		if c, ok := a.calls[action.ID]; ok {
			c.cancelled = true
		}
	case pollenrequest.SendClaim:
		return a.sendClaim(action)
	case pollenrequest.SendCompletion:
		return a.sendCompletion(action)
	case pollenrequest.SendAnswer:
		a.finishCall(action.ID, pollenrequest.ResultAnswered, "", action.Answer, pollenkernel.ExecutionDone)
	case pollenrequest.Refuse:
		sim.measures.refusals[action.Reason]++
		result := pollenrequest.ResultFailed
		if action.Execution == pollenkernel.ExecutionNotRun {
			result = pollenrequest.ResultNotSent
		}
		a.finishCall(action.ID, result, action.Reason, pollenledger.Answer{}, action.Execution)
	case pollenrequest.CountRetry:
		sim.measures.retries++
	}
	return nil
}

// finishCall ends a call and sends its result.
func (a *agent) finishCall(
	id pollenrequest.ID, result pollenrequest.Result, reason pollenkernel.Refusal,
	answer pollenledger.Answer, execution pollenkernel.Execution,
) {
	c, ok := a.calls[id]
	if !ok {
		return
	}
	delete(a.calls, id)
	c.respond(result, reason, answer, execution)
}

// runLocal runs a request on the agent's own backend server.
func (a *agent) runLocal(id pollenrequest.ID) {
	sim := a.sim
	c := a.calls[id]
	incarnation := a.member.Incarnation
	sim.checkEvacuated(a.process)
	sim.checkDrain(a.process)
	report := func(done pollenrequest.RunDone) {
		if a.up && a.member.Incarnation == incarnation {
			a.step(done)
		}
	}
	if !a.backend.startWork() {
		sim.after(0, func() {
			report(pollenrequest.RunDone{ID: id, Result: pollenrequest.ResultShed, Signal: pollenadmission.SignalOverload})
		})
		return
	}
	a.load.executions[c.body]++
	if c.key != "" && a.load.executions[c.body] > 1 {
		sim.measures.duplicateRuns++
		sim.measures.addNote("%s: keyed request %s ran again on the backend server of %s", sim.now.Sub(sim.start), c.body, a.name)
	}
	start := sim.now
	stamp := a.backend.startCount
	a.runUntil(c, sim.now.Add(a.backend.drawWorkTime()), func() {
		a.backend.endWork()
		a.backend.busyTime += sim.now.Sub(start)
		done := pollenrequest.RunDone{ID: id, Result: pollenrequest.ResultAnswered}
		switch {
		case c.cancelled:
			done.Result = pollenrequest.ResultFailed
		case a.backend.startCount != stamp:
			done.Result, done.Signal = pollenrequest.ResultFailed, pollenadmission.SignalRefused
		default:
			done.Answer = pollenledger.Answer{Status: 200, Body: []byte(c.body)}
			done.Signal = a.limiter.Classify(sim.now.Sub(start))
		}
		report(done)
	})
}

// runUntil calls done at the time end, or within the poll interval after c was
// cancelled.
func (a *agent) runUntil(c *call, end time.Time, done func()) {
	const poll = 10 * time.Millisecond
	sim := a.sim
	if !sim.now.Before(end) || c.cancelled {
		done()
		return
	}
	sim.after(min(poll, end.Sub(sim.now)), func() { a.runUntil(c, end, done) })
}

// runRemote sends a request to another agent to run it there.
func (a *agent) runRemote(action pollenrequest.RunRemote) {
	sim := a.sim
	c := a.calls[action.ID]
	incarnation := a.member.Incarnation
	report := func(done pollenrequest.RemoteDone) {
		if a.up && a.member.Incarnation == incarnation {
			a.step(done)
		}
	}
	sim.after(sim.trace.Latency, func() {
		other := sim.byAddress[action.To.Address]
		if !other.up || !other.agent.restored {
			sim.after(sim.trace.Latency, func() {
				report(pollenrequest.RemoteDone{ID: action.ID, Result: pollenrequest.ResultNotSent, Reason: pollenkernel.RefusalBackendFailed})
			})
			return
		}
		remote := &call{key: c.key, body: c.body}
		answered := false
		remote.respond = func(result pollenrequest.Result, reason pollenkernel.Refusal, answer pollenledger.Answer, _ pollenkernel.Execution) {
			sim.after(sim.trace.Latency, func() {
				answered = true
				report(pollenrequest.RemoteDone{ID: action.ID, Result: result, Reason: reason, Answer: answer})
			})
		}
		other.agent.startCall(remote, action.Deadline, true)
		var watch func()
		watch = func() {
			if answered {
				return
			}
			// The connection breaks when the other agent is killed.
			if remote.agentKilled || sim.now.After(action.Deadline.Add(drainPoll)) {
				report(pollenrequest.RemoteDone{ID: action.ID, Result: pollenrequest.ResultFailed, Reason: pollenkernel.RefusalBackendFailed})
				return
			}
			if c.cancelled {
				remote.cancelled = true
			}
			sim.after(drainPoll, watch)
		}
		watch()
	})
}

// sendClaim sends a claim on an idempotency key to the ledger replicas. The
// reply of the agent's own replica is returned at once.
func (a *agent) sendClaim(action pollenrequest.SendClaim) []pollenrequest.Event {
	sim := a.sim
	var events []pollenrequest.Event
	incarnation := a.member.Incarnation
	for _, m := range action.Replicas {
		if m.Name == a.member.Name {
			events = append(events, pollenrequest.ClaimReply{
				ID: action.ID, Claim: action.Request.Claim, Reply: a.ledger.Claim(sim.now, action.Request),
			})
			continue
		}
		sim.after(sim.trace.Latency, func() {
			other := sim.byAddress[m.Address]
			reply := pollenledger.Reply{Verdict: pollenledger.VerdictIncomplete}
			if other.up && other.member.Incarnation == m.Incarnation {
				sim.fetchRevision(other, action.Request.Revision)
				reply = other.agent.ledger.Claim(sim.now, action.Request)
			}
			sim.after(sim.trace.Latency, func() {
				if a.up && a.member.Incarnation == incarnation {
					sim.fetchRevision(a.process, reply.Revision)
					a.step(pollenrequest.ClaimReply{ID: action.ID, Claim: action.Request.Claim, Reply: reply})
				}
			})
		})
	}
	return events
}

// sendCompletion sends the completion of a claim to the ledger replicas. The
// agent's own replica stores it at once.
func (a *agent) sendCompletion(action pollenrequest.SendCompletion) []pollenrequest.Event {
	sim := a.sim
	var events []pollenrequest.Event
	incarnation := a.member.Incarnation
	for _, m := range action.Replicas {
		if m.Name == a.member.Name {
			a.ledger.Complete(sim.now, action.Completion)
			events = append(events, pollenrequest.AnswerStored{ID: action.ID})
			continue
		}
		sim.after(sim.trace.Latency, func() {
			other := sim.byAddress[m.Address]
			if !other.up || other.member.Incarnation != m.Incarnation {
				return
			}
			other.agent.ledger.Complete(sim.now, action.Completion)
			sim.after(sim.trace.Latency, func() {
				if a.up && a.member.Incarnation == incarnation {
					a.step(pollenrequest.AnswerStored{ID: action.ID})
				}
			})
		})
	}
	return events
}
