package pollenreplay

import (
	"fmt"
	"time"

	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenrequest"
)

// caller is a caller of a service with HTTP delivery; an agent terminates its
// connection.
type caller struct {
	load *serviceLoad
	key  pollenflow.Key
	// agent is the agent that terminates the connection; nil without a
	// connection.
	agent *agent
}

// attempt is one transmission of a request.
type attempt struct {
	request *callerRequest
	// done is set after the answer or the timeout.
	done bool
}

// callerRequest is a request from the caller's point of view.
type callerRequest struct {
	caller *caller
	// body identifies the request; a correct answer repeats it.
	body string
	// key is the idempotency key; empty if the request has none.
	key      string
	sent     time.Time
	deadline time.Time
	attempts int
	// repeat is set if the caller has received the answer before and sends the
	// request again.
	repeat bool
}

// maxAttempts is the number of times that a caller sends a request before it
// gives up.
const maxAttempts = 4

// startRequests creates the callers and sends requests at random intervals with
// the mean that the request rate gives.
func (l *serviceLoad) startRequests() {
	sim := l.sim
	callerCount := max(4, min(400, l.service.RequestRate))
	for range callerCount {
		l.callers = append(l.callers, &caller{load: l, key: l.newKey()})
	}
	var next func()
	next = func() {
		l.sendRequest()
		mean := float64(time.Second) / float64(l.service.RequestRate) * 100 / float64(sim.loadPercent)
		sim.after(time.Duration(sim.random.ExpFloat64()*mean), next)
	}
	next()
}

// sendRequest sends a new request from a random caller, unless its deadline is
// after the end of the replay.
func (l *serviceLoad) sendRequest() {
	sim := l.sim
	if sim.end.Sub(sim.now) < l.service.Settings.RequestTimeout {
		return
	}
	l.sent++
	r := &callerRequest{
		caller: l.callers[sim.random.IntN(len(l.callers))], body: fmt.Sprintf("%s-%d", l.service.Settings.Name, l.sent),
		sent: sim.now, deadline: sim.now.Add(l.service.Settings.RequestTimeout),
	}
	if sim.random.IntN(100) < l.service.KeyedPercent {
		r.key = r.body
	}
	sim.measures.requests++
	sim.measures.second(r.sent).sent++
	r.send()
}

// send makes the next attempt of the request.
func (r *callerRequest) send() {
	sim := r.caller.load.sim
	r.attempts++
	target := r.caller.connect()
	if target == nil {
		r.retry(true)
		return
	}
	a := &attempt{request: r}
	sim.after(sim.trace.Latency, func() { target.handleRequest(a) })
	// Without an answer the caller closes the connection after the deadline
	// and, if the request is keyed, makes another attempt.
	sim.after(r.caller.load.service.Settings.RequestTimeout+2*sim.trace.Latency, func() {
		if !a.done {
			a.done = true
			r.caller.disconnect(target)
			r.retry(r.key != "")
		}
	})
}

// retry schedules another attempt. If none is allowed or maxAttempts is
// reached, it counts the request as refused.
func (r *callerRequest) retry(allowed bool) {
	sim := r.caller.load.sim
	if !allowed || r.attempts >= maxAttempts {
		if !r.repeat {
			sim.measures.refused++
		}
		return
	}
	const pause = 100 * time.Millisecond
	sim.after(pause, r.send)
}

// connect returns the agent that terminates the caller's connection, and opens
// a new connection if there is none. It returns nil if that fails.
func (c *caller) connect() *agent {
	if c.agent != nil {
		return c.agent
	}
	sim := c.load.sim
	b := sim.pickBalancer()
	if b == nil {
		return nil
	}
	c.key = c.load.newKey()
	target, ok := b.decide(c.load.service.Settings.Name, c.key)
	if !ok {
		return nil
	}
	p := pollenagent.Packet{
		Key: c.key, Service: pollenflow.DigestOf(c.load.service.Settings.Name), Target: target.Digest,
		From: b.address, Balancer: b.address, Revision: b.replica.Revision(), MayOpenFlow: true,
	}
	to := target.Address
	for range pollenagent.MaxHops * pollenagent.MaxHops {
		a := sim.byAddress[to].agent
		if !a.up || !a.restored {
			return nil
		}
		d := a.decide(&p)
		switch d.Kind {
		case pollenagent.DecisionDeliver:
			c.agent = a
			return a
		case pollenagent.DecisionDrop:
			return nil
		}
		p.From, p.Target, p.Assigned, p.Search = a.address, d.Target, d.Assigned, d.Search
		p.SearchIndex, p.Hops = d.SearchIndex, d.Hops
		to = d.To
	}
	return nil
}

// disconnect closes the caller's connection if the given agent terminates it.
func (c *caller) disconnect(from *agent) {
	if c.agent != from {
		return
	}
	c.agent = nil
	if from.up {
		from.execute(from.flows.EndFlow(from.sim.now, c.key))
	}
}

// disconnectCallers closes all callers' connections to an agent that stops or
// whose failure domain is evacuated.
func (l *serviceLoad) disconnectCallers(a *agent) {
	for _, c := range l.callers {
		c.disconnect(a)
	}
}

// deadlineFor returns the deadline of an attempt that reaches an agent at the
// time now.
func (r *callerRequest) deadlineFor(now time.Time) time.Time {
	return now.Add(r.caller.load.service.Settings.RequestTimeout)
}

// handleAnswer handles the answer or the refusal that ends an attempt.
func (t *attempt) handleAnswer(result pollenrequest.Result, _ pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution) {
	if t.done {
		return
	}
	t.done = true
	r := t.request
	l := r.caller.load
	m := &l.sim.measures
	if result == pollenrequest.ResultAnswered {
		if string(answer.Body) != r.body {
			m.wrongAnswer++
			m.addNote("request %s received the wrong answer %q", r.body, answer.Body)
		}
		if r.repeat {
			return
		}
		r.scheduleRepeat()
		m.answered++
		m.completed++
		if !l.sim.now.After(r.deadline) {
			m.second(r.sent).answered++
		}
		return
	}
	if execution == pollenkernel.ExecutionNotRun && l.executions[r.body] > 0 {
		m.falseNotRun++
		m.addNote("request %s was refused as not run although it had run", r.body)
	}
	if execution == pollenkernel.ExecutionUnknown {
		m.unknown++
	}
	r.retry(r.key != "")
}

// maxRepeatDelay is the maximum delay before a caller repeats an answered
// request.
const maxRepeatDelay = 20 * time.Second

// scheduleRepeat lets the caller send an answered request again from another
// caller, with the probability RepeatPercent and only if the request is keyed.
func (r *callerRequest) scheduleRepeat() {
	l := r.caller.load
	sim := l.sim
	if r.key == "" || sim.random.IntN(100) >= l.service.RepeatPercent {
		return
	}
	pause := time.Duration(sim.random.Int64N(int64(maxRepeatDelay)))
	sim.after(pause, func() {
		repeated := *r
		repeated.repeat = true
		repeated.attempts = 0
		repeated.caller = l.callers[sim.random.IntN(len(l.callers))]
		repeated.send()
	})
}
