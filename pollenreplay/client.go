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
	// edge is the agent that ends the connection; nil when there is none.
	edge *agent
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
	tries    int
	// repeat is set when the caller has had the answer already.
	repeat bool
}

// maxTries is how often a caller tries a keyed request.
const maxTries = 4

func (l *serviceLoad) beginRequests() {
	w := l.world
	clients := max(4, min(400, l.service.Rate))
	for range clients {
		l.clients = append(l.clients, &client{load: l, key: l.newKey()})
	}
	var next func()
	next = func() {
		l.sendRequest()
		mean := float64(time.Second) / float64(l.service.Rate) * 100 / float64(w.rate)
		w.after(time.Duration(w.random.ExpFloat64()*mean), next)
	}
	next()
}

func (l *serviceLoad) sendRequest() {
	w := l.world
	if w.end.Sub(w.now) < l.service.Document.RequestTimeout {
		return
	}
	l.sent++
	r := &clientRequest{
		client: l.clients[w.random.IntN(len(l.clients))], body: fmt.Sprintf("%s-%d", l.service.Document.Name, l.sent),
		sent: w.now, deadline: w.now.Add(l.service.Document.RequestTimeout),
	}
	if w.random.IntN(100) < l.service.Keyed {
		r.key = r.body
	}
	w.measures.requests++
	w.measures.second(r.sent).sent++
	r.try()
}

// try sends the request once more.
func (r *clientRequest) try() {
	w := r.client.load.world
	r.tries++
	edge := r.client.connect()
	if edge == nil {
		r.again(true)
		return
	}
	a := &attempt{request: r}
	w.after(w.trace.Latency, func() { edge.arrive(a) })
	// A caller that hears nothing gives up after the deadline.
	w.after(r.client.load.service.Document.RequestTimeout+2*w.trace.Latency, func() {
		if !a.done {
			a.done = true
			r.client.drop(edge)
			r.again(r.key != "")
		}
	})
}

// again tries once more, or counts the request as refused.
func (r *clientRequest) again(may bool) {
	w := r.client.load.world
	if !may || r.tries >= maxTries {
		if !r.repeat {
			w.measures.refused++
		}
		return
	}
	const pause = 100 * time.Millisecond
	w.after(pause, r.try)
}

// connect returns the agent that ends the client's connection, opening a new
// one when there is none.
func (c *client) connect() *agent {
	if c.edge != nil {
		return c.edge
	}
	w := c.load.world
	b := w.pickBalancer()
	if b == nil {
		return nil
	}
	c.key = c.load.newKey()
	target, ok := b.decide(c.load.service.Document.Name, c.key)
	if !ok {
		return nil
	}
	p := pollenagent.Packet{
		Key: c.key, Service: pollenflow.DigestOf(c.load.service.Document.Name), Target: target.Digest,
		From: b.address, Balancer: b.address, Revision: b.replica.Revision(), MayOpenFlow: true,
	}
	to := target.Address
	for range pollenagent.MaxHops * pollenagent.MaxHops {
		a := w.byAddress[to].agent
		if !a.up || !a.restored {
			return nil
		}
		d := a.decide(&p)
		switch d.Kind {
		case pollenagent.DecisionDeliver:
			c.edge = a
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

// drop ends the client's connection to the agent.
func (c *client) drop(edge *agent) {
	if c.edge != edge {
		return
	}
	c.edge = nil
	if edge.up {
		edge.act(edge.flows.EndFlow(edge.world.now, c.key))
	}
}

// edgeLost ends every client's connection to an agent that stops or leaves.
func (l *serviceLoad) edgeLost(a *agent) {
	for _, c := range l.clients {
		c.drop(a)
	}
}

func (r *clientRequest) deadlineFor(now time.Time) time.Time {
	return now.Add(r.client.load.service.Document.RequestTimeout)
}

// answered takes the end of an attempt.
func (t *attempt) answered(result pollenrequest.Result, _ pollenkernel.Refusal, answer pollenledger.Answer, execution pollenkernel.Execution) {
	if t.done {
		return
	}
	t.done = true
	r := t.request
	l := r.client.load
	m := &l.world.measures
	if result == pollenrequest.ResultAnswered {
		if string(answer.Body) != r.body {
			m.wrongAnswer++
			m.note("request %s was answered %q", r.body, answer.Body)
		}
		if r.repeat {
			return
		}
		r.repeatLater()
		m.answered++
		m.completed++
		if !l.world.now.After(r.deadline) {
			m.second(r.sent).answered++
		}
		return
	}
	if execution == pollenkernel.ExecutionNotRun && l.executions[r.body] > 0 {
		m.notRunFalse++
		m.note("request %s was refused as not run after it ran", r.body)
	}
	if execution == pollenkernel.ExecutionUnknown {
		m.unknown++
	}
	r.again(r.key != "")
}

// againSpread is the longest time after which a caller repeats a request.
const againSpread = 20 * time.Second

// repeatLater lets the caller send a request once more.
func (r *clientRequest) repeatLater() {
	l := r.client.load
	w := l.world
	if r.key == "" || w.random.IntN(100) >= l.service.Again {
		return
	}
	pause := time.Duration(w.random.Int64N(int64(againSpread)))
	w.after(pause, func() {
		again := *r
		again.repeat = true
		again.tries = 0
		again.client = l.clients[w.random.IntN(len(l.clients))]
		again.try()
	})
}
