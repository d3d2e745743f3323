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

// client is a caller with a connection that an agent ends.
type client struct {
	load *serviceLoad
	key  pollenflow.Key
	// agent is the agent that ends the connection; nil when there is none.
	agent *agent
}

// attempt is one try of a request.
type attempt struct {
	request *clientRequest
	done    bool
}

// clientRequest is a request as the caller sees it.
type clientRequest struct {
	client   *client
	body     string
	key      string
	sent     time.Time
	deadline time.Time
	attempts int
	// repeat is set when the caller has had the answer already.
	repeat bool
}

// maxAttempts is how often a caller tries a keyed request.
const maxAttempts = 4

func (l *serviceLoad) startRequests() {
	sim := l.sim
	clients := max(4, min(400, l.service.RequestRate))
	for range clients {
		l.clients = append(l.clients, &client{load: l, key: l.newKey()})
	}
	var next func()
	next = func() {
		l.sendRequest()
		mean := float64(time.Second) / float64(l.service.RequestRate) * 100 / float64(sim.loadPercent)
		sim.after(time.Duration(sim.random.ExpFloat64()*mean), next)
	}
	next()
}

func (l *serviceLoad) sendRequest() {
	sim := l.sim
	if sim.end.Sub(sim.now) < l.service.Settings.RequestTimeout {
		return
	}
	l.sent++
	r := &clientRequest{
		client: l.clients[sim.random.IntN(len(l.clients))], body: fmt.Sprintf("%s-%d", l.service.Settings.Name, l.sent),
		sent: sim.now, deadline: sim.now.Add(l.service.Settings.RequestTimeout),
	}
	if sim.random.IntN(100) < l.service.KeyedPercent {
		r.key = r.body
	}
	sim.measures.requests++
	sim.measures.second(r.sent).sent++
	r.send()
}

// send sends the request once more.
func (r *clientRequest) send() {
	sim := r.client.load.sim
	r.attempts++
	target := r.client.connect()
	if target == nil {
		r.retry(true)
		return
	}
	a := &attempt{request: r}
	sim.after(sim.trace.Latency, func() { target.handleRequest(a) })
	// A caller that hears nothing gives up after the deadline.
	sim.after(r.client.load.service.Settings.RequestTimeout+2*sim.trace.Latency, func() {
		if !a.done {
			a.done = true
			r.client.disconnect(target)
			r.retry(r.key != "")
		}
	})
}

// retry tries once more, or counts the request as refused.
func (r *clientRequest) retry(allowed bool) {
	sim := r.client.load.sim
	if !allowed || r.attempts >= maxAttempts {
		if !r.repeat {
			sim.measures.refused++
		}
		return
	}
	const pause = 100 * time.Millisecond
	sim.after(pause, r.send)
}

// connect returns the agent that ends the client's connection, opening a new
// one when there is none.
func (c *client) connect() *agent {
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

// disconnect ends the client's connection to the agent.
func (c *client) disconnect(from *agent) {
	if c.agent != from {
		return
	}
	c.agent = nil
	if from.up {
		from.execute(from.flows.EndFlow(from.sim.now, c.key))
	}
}

// disconnectClients ends every client's connection to an agent that stops or leaves.
func (l *serviceLoad) disconnectClients(a *agent) {
	for _, c := range l.clients {
		c.disconnect(a)
	}
}

func (r *clientRequest) deadlineFor(now time.Time) time.Time {
	return now.Add(r.client.load.service.Settings.RequestTimeout)
}

// handleAnswer takes the end of an attempt.
func (t *attempt) handleAnswer(result pollenrequest.Result, _ pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution) {
	if t.done {
		return
	}
	t.done = true
	r := t.request
	l := r.client.load
	m := &l.sim.measures
	if result == pollenrequest.ResultAnswered {
		if string(answer.Body) != r.body {
			m.wrongAnswer++
			m.note("request %s was answered %q", r.body, answer.Body)
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
		m.note("request %s was refused as not run after it ran", r.body)
	}
	if execution == pollenkernel.ExecutionUnknown {
		m.unknown++
	}
	r.retry(r.key != "")
}

// maxRepeatDelay is the longest time after which a caller repeats a request.
const maxRepeatDelay = 20 * time.Second

// scheduleRepeat lets the caller send a request once more.
func (r *clientRequest) scheduleRepeat() {
	l := r.client.load
	sim := l.sim
	if r.key == "" || sim.random.IntN(100) >= l.service.RepeatPercent {
		return
	}
	pause := time.Duration(sim.random.Int64N(int64(maxRepeatDelay)))
	sim.after(pause, func() {
		repeated := *r
		repeated.repeat = true
		repeated.attempts = 0
		repeated.client = l.clients[sim.random.IntN(len(l.clients))]
		repeated.send()
	})
}
