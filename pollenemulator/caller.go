package pollenemulator

import (
	"encoding/binary"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Manners of a caller.
const (
	handshakeTimeout = 1400 * time.Millisecond
	resendFirst      = 200 * time.Millisecond
	resendMost       = 1600 * time.Millisecond
	maxAttempts      = 3
	retryPause       = 20 * time.Millisecond
)

// openingCopies are the times at which an opening packet is sent.
var openingCopies = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// A route is an address with what its callers do.
type route struct {
	*Route
	w       *world
	address netip.AddrPort
}

func newRoute(w *world, index int) *route {
	return &route{
		Route: &w.plan.Routes[index], w: w,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, 1}), uint16(4000+index)),
	}
}

// startCallers lets the callers come.
func (w *world) startCallers() {
	w.measure.begun = w.now
	for _, r := range w.routes {
		for i := range r.Flows {
			c := &caller{r: r, domain: w.plan.Domains[i%len(w.plan.Domains)], keep: true}
			w.after(time.Duration(w.random.Int64N(int64(r.Interval))), c.ask)
		}
		if r.Rate > 0 {
			w.after(0, r.arrive)
		}
	}
}

// arrive starts one single request and plans the next.
func (r *route) arrive() {
	if !r.w.measure.over() {
		c := &caller{r: r, domain: r.w.plan.Domains[r.w.random.IntN(len(r.w.plan.Domains))]}
		c.ask()
		r.w.after(time.Duration(r.w.random.ExpFloat64()*float64(time.Second)/float64(r.Rate)), r.arrive)
	}
}

// A caller asks one request at a time.
type caller struct {
	r      *route
	domain pollendocument.DomainName
	// keep is set for a caller that keeps its flow open between requests.
	keep bool
	flow *flow
	// id, begun, tries and done are those of the present request.
	id    uint64
	begun time.Time
	tries int
	done  bool
}

// ask begins a request.
func (c *caller) ask() {
	w := c.r.w
	if w.measure.over() {
		return
	}
	c.id, c.begun, c.tries, c.done = w.measure.asked(c.r), w.now, 0, false
	id := c.id
	w.after(c.r.Timeout, func() {
		if c.id == id && !c.done {
			c.finish(false)
			c.drop()
		}
	})
	c.try()
}

// finish ends the request and plans the caller's next one.
func (c *caller) finish(answered bool) {
	c.done = true
	c.r.w.measure.finished(c, answered)
	if c.keep {
		pause := time.Duration((0.5 + c.r.w.random.Float64()) * float64(c.r.Interval))
		c.r.w.after(pause, c.ask)
		return
	}
	c.drop()
}

// drop gives the caller's flow up.
func (c *caller) drop() {
	if c.flow != nil {
		c.flow.close()
		c.flow = nil
	}
}

// try sends the request on the open flow, or opens one for it.
func (c *caller) try() {
	c.tries++
	if c.flow != nil {
		c.flow.request()
		return
	}
	w := c.r.w
	w.measure.ports++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(w.measure.ports >> 24), byte(w.measure.ports >> 16)})
	f := &flow{
		c: c, ends: pollenpacket.Flow{Caller: netip.AddrPortFrom(ip, uint16(w.measure.ports)), Service: c.r.address},
		sequence: requestSize,
	}
	c.flow = f
	w.flows[f.ends] = f
	for i, d := range openingCopies {
		w.after(d, func() {
			if !f.open && !f.closed {
				w.fromCaller(c.domain, &pollenpacket.Packet{Flow: f.ends, SYN: true, Sequence: f.sequence - 1, Acknowledged: uint32(i)}, nil)
			}
		})
	}
	w.after(handshakeTimeout, func() {
		if !f.open {
			f.fail(true)
		}
	})
}

// A flow is one flow of a caller.
type flow struct {
	c    *caller
	ends pollenpacket.Flow
	// open is set from the answer to the opening packet on.
	open, closed bool
	// sequence is the position of the next request, and acknowledged the end of
	// what the backend server has sent.
	sequence, acknowledged uint32
	// sent is set once a request was sent on the flow.
	sent bool
}

// take takes a packet of the backend server, or a reset of the system.
func (f *flow) take(p *pollenpacket.Packet, stream []byte) {
	switch {
	case f.closed:
	case p.RST:
		f.fail(!f.open)
	case p.SYN && !f.open:
		f.open, f.acknowledged = true, p.Sequence+1
		f.request()
	case len(stream) == requestSize:
		f.answer(p, stream)
	}
}

// request sends the caller's present request, again and again.
func (f *flow) request() {
	stream := make([]byte, requestSize)
	binary.BigEndian.PutUint64(stream, f.c.id)
	position, id := f.sequence, f.c.id
	f.sent = true
	var send func(wait time.Duration)
	send = func(wait time.Duration) {
		if f.closed || f.c.done || f.c.id != id || f.sequence != position {
			return
		}
		p := &pollenpacket.Packet{Flow: f.ends, ACK: true, Sequence: position, Acknowledged: f.acknowledged, Size: requestSize}
		f.c.r.w.fromCaller(f.c.domain, p, stream)
		f.c.r.w.after(wait, func() { send(min(2*wait, resendMost)) })
	}
	send(resendFirst)
}

func (f *flow) answer(p *pollenpacket.Packet, stream []byte) {
	w := f.c.r.w
	if id := binary.BigEndian.Uint64(stream); id != f.c.id || f.c.done {
		return
	}
	f.sequence += requestSize
	f.acknowledged = p.Sequence + requestSize
	if stream[8] == 1 {
		f.c.finish(true)
		if p.FIN {
			f.c.drop()
		}
		return
	}
	// The backend server shed the request and did not run it.
	f.close()
	f.c.flow = nil
	w.after(retryPause, f.c.again)
}

// fail ends the flow; the request is tried again if that is harmless.
func (f *flow) fail(neverOpened bool) {
	if f.closed {
		return
	}
	f.close()
	c := f.c
	c.flow = nil
	if c.done {
		return
	}
	if neverOpened || !f.sent || c.r.Kind != pollendocument.RouteUnsafe {
		c.r.w.after(retryPause, c.again)
		return
	}
	c.finish(false)
}

// again makes the next attempt, if one is left.
func (c *caller) again() {
	switch {
	case c.done:
	case c.tries >= maxAttempts:
		c.finish(false)
	default:
		c.try()
	}
}

func (f *flow) close() {
	if f.closed {
		return
	}
	f.closed = true
	delete(f.c.r.w.flows, f.ends)
	if f.open {
		p := &pollenpacket.Packet{Flow: f.ends, ACK: true, FIN: true, Sequence: f.sequence, Acknowledged: f.acknowledged}
		f.c.r.w.fromCaller(f.c.domain, p, nil)
	}
}
