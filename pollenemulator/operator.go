package pollenemulator

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Timing of the operator's calls.
const (
	callResendInterval = 500 * time.Millisecond
	callTimeout        = 10 * time.Second
)

// operatorAddress is the address at which the operator receives answers.
var operatorAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, 0, 1}), nodePort)

// An operator submits calls and resends each one every callResendInterval until it is
// acknowledged or callTimeout has passed.
type operator struct {
	w          *world
	version    uint64
	lastCallID uint64
	// pending holds the calls that are not acknowledged yet, by call ID.
	pending map[uint64]*operatorCall
	// acknowledged is the highest document version that was acknowledged.
	acknowledged uint64
	// evacuatedAt holds the time at which each evacuation in force was acknowledged.
	evacuatedAt map[pollendocument.DomainName]time.Time
	undecided   int
	slowestAck  time.Duration
	// readVersion is the document version that was read back at the end of the run.
	readVersion uint64
}

// An operatorCall is a call that changes or reads the configuration; onDone handles its
// answer.
type operatorCall struct {
	method      pollenlink.Method
	body        []byte
	submittedAt time.Time
	onDone      func(a *pollenlink.Answer)
}

func newOperator(w *world) *operator {
	return &operator{w: w, pending: map[uint64]*operatorCall{}, evacuatedAt: map[pollendocument.DomainName]time.Time{}}
}

// declare submits a document with the plan's services and routes under a higher
// version. Versions increase in steps of 3.
func (o *operator) declare() {
	o.version += 3
	d := pollendocument.Declaration{Version: o.version, IdleTimeout: 15 * time.Second}
	for _, s := range o.w.plan.Services {
		d.Pools = append(d.Pools, pollendocument.Pool{Name: s.Name, ConnectionLimit: 2000})
	}
	for _, r := range o.w.routes {
		d.Routes = append(d.Routes, pollendocument.Route{
			Name: r.Name, Address: r.address, Kind: r.Kind, Timeout: r.Timeout, Objective: r.Objective,
			Shares: []pollendocument.Share{{Service: r.Service, Weight: 1}},
		})
	}
	o.submit(pollenlink.MethodDeclare, pollenwire.Marshal(&d, pollenwire.MapDeclaration), func(*pollenlink.Answer) {
		o.acknowledged = max(o.acknowledged, d.Version)
	})
}

// setEvacuation evacuates a failure domain, or ends its evacuation.
func (o *operator) setEvacuation(domain pollendocument.DomainName, evacuated bool) {
	if !evacuated {
		delete(o.evacuatedAt, domain)
	}
	o.submit(pollenlink.MethodGetRevision, nil, func(a *pollenlink.Answer) {
		e := pollenview.Evacuation{Domain: domain, Evacuated: evacuated}
		if err := pollenwire.Unmarshal(a.Body, &e.Known, pollenwire.MapRevision); err != nil {
			o.undecided++
			return
		}
		o.submit(pollenlink.MethodEvacuate, pollenwire.Marshal(&e, pollenwire.MapEvacuation), func(a *pollenlink.Answer) {
			switch {
			case a.Result == pollenlink.ResultConflict:
				o.setEvacuation(domain, evacuated)
			case evacuated:
				o.evacuatedAt[domain] = o.w.now
			}
		})
	})
}

// readBack queries the document in force.
func (o *operator) readBack() {
	o.submit(pollenlink.MethodGetDeclaration, nil, func(a *pollenlink.Answer) {
		var d pollendocument.Declaration
		if err := pollenwire.Unmarshal(a.Body, &d, pollenwire.MapDeclaration); err == nil {
			o.readVersion = d.Version
		}
	})
}

// submit sends a new call; done is called once with its acknowledgement, or with the
// answer that it was overtaken, if that arrives in time.
func (o *operator) submit(method pollenlink.Method, body []byte, done func(*pollenlink.Answer)) {
	o.lastCallID++
	id := o.lastCallID
	o.pending[id] = &operatorCall{method: method, body: body, submittedAt: o.w.now, onDone: done}
	o.send(id)
}

// send sends the call to the leader and schedules the next transmission. After
// callTimeout it drops the call and counts it as undecided.
func (o *operator) send(id uint64) {
	c, pending := o.pending[id]
	if !pending {
		return
	}
	if o.w.now.Sub(c.submittedAt) >= callTimeout {
		delete(o.pending, id)
		o.undecided++
		return
	}
	call := pollenlink.Call{ID: id, Method: c.method, Body: c.body}
	if h := o.leader(); h != nil {
		h.balancer.HandleMessage(o.w.now, operatorAddress, pollenlink.KindCall, pollenwire.Marshal(&call, pollenwire.MapCall))
	}
	o.w.after(callResendInterval, func() { o.send(id) })
}

// leader returns the host that a randomly chosen balancer reports as the leader, or
// nil if that host cannot answer or no balancer runs.
func (o *operator) leader() *host {
	var candidates []*host
	for _, h := range o.w.hosts {
		if h.balancer != nil && !h.frozen() {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	h := candidates[o.w.random.IntN(len(candidates))]
	leader := o.w.nodes[h.balancer.Leader(o.w.now)]
	if leader == nil || leader.balancer == nil || leader.frozen() {
		return nil
	}
	return leader
}

// handleMessage handles an answer to a pending call.
func (o *operator) handleMessage(kind pollenlink.Kind, message []byte) {
	var a pollenlink.Answer
	if kind != pollenlink.KindAnswer || pollenwire.Unmarshal(message, &a, pollenwire.MapCallAnswer) != nil {
		return
	}
	c, pending := o.pending[a.ID]
	if !pending || a.Result != pollenlink.ResultDone && a.Result != pollenlink.ResultConflict {
		return
	}
	delete(o.pending, a.ID)
	o.slowestAck = max(o.slowestAck, o.w.now.Sub(c.submittedAt))
	c.onDone(&a)
}
