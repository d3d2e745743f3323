package pollenemulator

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Manners of the operator.
const (
	orderResend  = 500 * time.Millisecond
	orderTimeout = 10 * time.Second
)

// operatorAddress is where the operator takes answers.
var operatorAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, 0, 1}), nodePort)

// An operator submits orders and resends them until they are acknowledged.
type operator struct {
	w       *world
	version uint64
	call    uint64
	// orders holds those that were not acknowledged, by the call's ID.
	orders map[uint64]*order
	// acknowledged is the highest version that was.
	acknowledged uint64
	emptied      map[pollendocument.DomainName]time.Time
	undecided    int
	slowest      time.Duration
	// read is the version that was read back at the end.
	read uint64
}

type order struct {
	method pollenlink.Method
	body   []byte
	begun  time.Time
	done   func(a *pollenlink.Answer)
}

func newOperator(w *world) *operator {
	return &operator{w: w, orders: map[uint64]*order{}, emptied: map[pollendocument.DomainName]time.Time{}}
}

// declare submits the plan's routes under the next version.
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

// empty takes a domain out or back.
func (o *operator) empty(domain pollendocument.DomainName, emptied bool) {
	e := pollenview.Evacuation{Domain: domain, Evacuated: emptied}
	if !emptied {
		delete(o.emptied, domain)
	}
	o.submit(pollenlink.MethodEvacuate, pollenwire.Marshal(&e, pollenwire.MapEvacuation), func(*pollenlink.Answer) {
		if emptied {
			o.emptied[domain] = o.w.now
		}
	})
}

// readBack asks for the document in force.
func (o *operator) readBack() {
	o.submit(pollenlink.MethodGetDeclaration, nil, func(a *pollenlink.Answer) {
		var d pollendocument.Declaration
		if err := pollenwire.Unmarshal(a.Body, &d, pollenwire.MapDeclaration); err == nil {
			o.read = d.Version
		}
	})
}

func (o *operator) submit(method pollenlink.Method, body []byte, done func(*pollenlink.Answer)) {
	o.call++
	id := o.call
	o.orders[id] = &order{method: method, body: body, begun: o.w.now, done: done}
	o.send(id)
}

// send passes the order to the leader that some balancer names, until it is
// acknowledged.
func (o *operator) send(id uint64) {
	order, open := o.orders[id]
	if !open {
		return
	}
	if o.w.now.Sub(order.begun) >= orderTimeout {
		delete(o.orders, id)
		o.undecided++
		return
	}
	call := pollenlink.Call{ID: id, Method: order.method, Body: order.body}
	if h := o.leader(); h != nil {
		h.balancer.HandleMessage(o.w.now, operatorAddress, pollenlink.KindCall, pollenwire.Marshal(&call, pollenwire.MapCall))
	}
	o.w.after(orderResend, func() { o.send(id) })
}

// leader returns the host that a randomly chosen balancer takes for the leader.
func (o *operator) leader() *host {
	var asked []*host
	for _, h := range o.w.hosts {
		if h.balancer != nil && !h.frozen() {
			asked = append(asked, h)
		}
	}
	if len(asked) == 0 {
		return nil
	}
	h := asked[o.w.random.IntN(len(asked))]
	leader := o.w.nodes[h.balancer.Leader()]
	if leader == nil || leader.balancer == nil || leader.frozen() {
		return nil
	}
	return leader
}

func (o *operator) take(kind pollenlink.Kind, message []byte) {
	var a pollenlink.Answer
	if kind != pollenlink.KindAnswer || pollenwire.Unmarshal(message, &a, pollenwire.MapCallAnswer) != nil {
		return
	}
	order, open := o.orders[a.ID]
	if !open || a.Result != pollenlink.ResultDone {
		return
	}
	delete(o.orders, a.ID)
	o.slowest = max(o.slowest, o.w.now.Sub(order.begun))
	order.done(&a)
}
