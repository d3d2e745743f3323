package pollenreplay

import (
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenrequest"
)

// call is a request inside an agent.
type call struct {
	key  string
	body string
	// respond gives the end to whoever asked.
	respond func(result pollenrequest.Result, why pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution)
	lost    bool
	// cancelled ends a run early.
	cancelled bool
}

// arrive takes a caller's request.
func (a *agent) arrive(t *attempt) {
	w := a.world
	r := t.request
	if !a.up {
		if a.planned {
			w.measures.cutRequests++
			w.measures.note("%s: request %s reached %s after its planned stop", w.now.Sub(w.start), r.body, a.name)
		}
		return
	}
	c := &call{key: r.key, body: r.body}
	c.respond = func(result pollenrequest.Result, why pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution) {
		w.after(w.trace.Latency, func() { t.answered(result, why, answer, execution) })
	}
	a.begin(c, r.deadlineFor(w.now), false)
}

// begin passes a request to the agent's state machine.
func (a *agent) begin(c *call, deadline time.Time, forwarded bool) {
	a.nextID++
	a.calls[a.nextID] = c
	a.step(pollenrequest.Arrival{ID: a.nextID, Key: c.key, Deadline: deadline, Forwarded: forwarded})
}

// step passes an event to the state machine and carries out the actions.
func (a *agent) step(e pollenrequest.Event) {
	events := []pollenrequest.Event{e}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, action := range a.requests.Step(a.world.now, next) {
			events = append(events, a.actRequest(action)...)
		}
	}
}

func (a *agent) actRequest(action pollenrequest.Action) []pollenrequest.Event {
	w := a.world
	switch action := action.(type) {
	case pollenrequest.Run:
		a.runHere(action.ID)
	case pollenrequest.RunRemote:
		a.runThere(action)
	case pollenrequest.CancelRun:
		if c, ok := a.calls[action.ID]; ok {
			c.cancelled = true
		}
	case pollenrequest.SendClaim:
		return a.sendClaim(action)
	case pollenrequest.SendCompletion:
		return a.sendSettlement(action)
	case pollenrequest.SendAnswer:
		a.finish(action.ID, pollenrequest.ResultAnswered, "", action.Answer, pollenkernel.ExecutionDone)
	case pollenrequest.Refuse:
		w.measures.refusals[action.Reason]++
		result := pollenrequest.ResultFailed
		if action.Execution == pollenkernel.ExecutionNotRun {
			result = pollenrequest.ResultNotSent
		}
		a.finish(action.ID, result, action.Reason, pollenledger.Answer{}, action.Execution)
	case pollenrequest.CountRetry:
		w.measures.retries++
	}
	return nil
}

func (a *agent) finish(
	id pollenrequest.ID, result pollenrequest.Result, why pollenkernel.Refusal,
	answer pollenledger.Answer, execution pollenkernel.Execution,
) {
	c, ok := a.calls[id]
	if !ok {
		return
	}
	delete(a.calls, id)
	c.respond(result, why, answer, execution)
}

// runHere runs a request on the agent's backend server.
func (a *agent) runHere(id pollenrequest.ID) {
	w := a.world
	c := a.calls[id]
	incarnation := a.member.Incarnation
	w.checkOut(a.process)
	w.checkDrain(a.process)
	tell := func(done pollenrequest.RunDone) {
		if a.up && a.member.Incarnation == incarnation {
			a.step(done)
		}
	}
	if !a.backend.begin() {
		w.after(0, func() {
			tell(pollenrequest.RunDone{ID: id, Result: pollenrequest.ResultShed, Signal: pollenadmission.SignalOverload})
		})
		return
	}
	a.load.executions[c.body]++
	if c.key != "" && a.load.executions[c.body] > 1 {
		w.measures.doubled++
		w.measures.note("%s: request %s ran again, at %s", w.now.Sub(w.start), c.body, a.name)
	}
	began := w.now
	stamp := a.backend.stamp
	a.runUntil(c, w.now.Add(a.backend.workTime()), func() {
		a.backend.end()
		a.backend.busy += w.now.Sub(began)
		done := pollenrequest.RunDone{ID: id, Result: pollenrequest.ResultAnswered}
		switch {
		case c.cancelled:
			done.Result = pollenrequest.ResultFailed
		case a.backend.stamp != stamp:
			done.Result, done.Signal = pollenrequest.ResultFailed, pollenadmission.SignalRefused
		default:
			done.Answer = pollenledger.Answer{Status: 200, Body: []byte(c.body)}
			done.Signal = a.limiter.Classify(w.now.Sub(began))
		}
		tell(done)
	})
}

// runUntil calls done when the work is over or was cancelled.
func (a *agent) runUntil(c *call, over time.Time, done func()) {
	const poll = 10 * time.Millisecond
	w := a.world
	if !w.now.Before(over) || c.cancelled {
		done()
		return
	}
	w.after(min(poll, over.Sub(w.now)), func() { a.runUntil(c, over, done) })
}

// runThere passes a request to another agent.
func (a *agent) runThere(action pollenrequest.RunRemote) {
	w := a.world
	c := a.calls[action.ID]
	incarnation := a.member.Incarnation
	tell := func(done pollenrequest.RemoteDone) {
		if a.up && a.member.Incarnation == incarnation {
			a.step(done)
		}
	}
	w.after(w.trace.Latency, func() {
		other := w.byAddress[action.To.Address]
		if !other.up || !other.agent.restored {
			w.after(w.trace.Latency, func() {
				tell(pollenrequest.RemoteDone{ID: action.ID, Result: pollenrequest.ResultNotSent, Reason: pollenkernel.RefusalBackendFailed})
			})
			return
		}
		remote := &call{key: c.key, body: c.body}
		answered := false
		remote.respond = func(result pollenrequest.Result, why pollenkernel.Refusal, answer pollenledger.Answer, _ pollenkernel.Execution) {
			w.after(w.trace.Latency, func() {
				answered = true
				tell(pollenrequest.RemoteDone{ID: action.ID, Result: result, Reason: why, Answer: answer})
			})
		}
		other.agent.begin(remote, action.Deadline, true)
		var watch func()
		watch = func() {
			// The connection breaks when the other agent ends.
			if answered {
				return
			}
			if remote.lost || w.now.After(action.Deadline.Add(drainPoll)) {
				tell(pollenrequest.RemoteDone{ID: action.ID, Result: pollenrequest.ResultFailed, Reason: pollenkernel.RefusalBackendFailed})
				return
			}
			if c.cancelled {
				remote.cancelled = true
			}
			w.after(drainPoll, watch)
		}
		watch()
	})
}

func (a *agent) sendClaim(action pollenrequest.SendClaim) []pollenrequest.Event {
	w := a.world
	var events []pollenrequest.Event
	incarnation := a.member.Incarnation
	for _, m := range action.Replicas {
		if m.Name == a.member.Name {
			events = append(events, pollenrequest.ClaimReply{
				ID: action.ID, Claim: action.Request.Claim, Reply: a.ledger.Claim(w.now, action.Request),
			})
			continue
		}
		w.after(w.trace.Latency, func() {
			other := w.byAddress[m.Address]
			reply := pollenledger.Reply{Verdict: pollenledger.VerdictIncomplete}
			if other.up && other.member.Incarnation == m.Incarnation {
				w.hear(other, action.Request.Revision)
				reply = other.agent.ledger.Claim(w.now, action.Request)
			}
			w.after(w.trace.Latency, func() {
				if a.up && a.member.Incarnation == incarnation {
					w.hear(a.process, reply.Revision)
					a.step(pollenrequest.ClaimReply{ID: action.ID, Claim: action.Request.Claim, Reply: reply})
				}
			})
		})
	}
	return events
}

func (a *agent) sendSettlement(action pollenrequest.SendCompletion) []pollenrequest.Event {
	w := a.world
	var events []pollenrequest.Event
	incarnation := a.member.Incarnation
	for _, m := range action.Replicas {
		if m.Name == a.member.Name {
			a.ledger.Complete(w.now, action.Completion)
			events = append(events, pollenrequest.AnswerStored{ID: action.ID})
			continue
		}
		w.after(w.trace.Latency, func() {
			other := w.byAddress[m.Address]
			if !other.up || other.member.Incarnation != m.Incarnation {
				return
			}
			other.agent.ledger.Complete(w.now, action.Completion)
			w.after(w.trace.Latency, func() {
				if a.up && a.member.Incarnation == incarnation {
					a.step(pollenrequest.AnswerStored{ID: action.ID})
				}
			})
		})
	}
	return events
}
