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
	handshakeTimeout      = 1400 * time.Millisecond
	initialResendInterval = 200 * time.Millisecond
	maxResendInterval     = 1600 * time.Millisecond
	maxAttempts           = 3
	retryDelay            = 20 * time.Millisecond
)

// openingCopies are the times at which an opening packet is sent.
var openingSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

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
	w.measurements.startTime = w.now
	for _, r := range w.routes {
		for i := range r.Flows {
			c := &caller{r: r, domain: w.plan.Domains[i%len(w.plan.Domains)], persistent: true}
			w.after(time.Duration(w.random.Int64N(int64(r.Interval))), c.startRequest)
		}
		if r.Rate > 0 {
			w.after(0, r.startSingleRequest)
		}
	}
}

// arrive starts one single request and plans the next.
func (r *route) startSingleRequest() {
	if !r.w.measurements.requestsEnded() {
		c := &caller{r: r, domain: r.w.plan.Domains[r.w.random.IntN(len(r.w.plan.Domains))]}
		c.startRequest()
		r.w.after(time.Duration(r.w.random.ExpFloat64()*float64(time.Second)/float64(r.Rate)), r.startSingleRequest)
	}
}

// A caller asks one request at a time.
type caller struct {
	r      *route
	domain pollendocument.DomainName
	// keep is set for a caller that keeps its flow open between requests.
	persistent bool
	flow       *flow
	// id, begun, tries and done are those of the present request.
	requestID uint64
	startTime time.Time
	attempts  int
	done      bool
}

// ask begins a request.
func (c *caller) startRequest() {
	w := c.r.w
	if w.measurements.requestsEnded() {
		return
	}
	c.requestID, c.startTime, c.attempts, c.done = w.measurements.countRequest(c.r), w.now, 0, false
	id := c.requestID
	w.after(c.r.Timeout, func() {
		if c.requestID == id && !c.done {
			c.finish(false)
			c.closeFlow()
		}
	})
	c.attempt()
}

// finish ends the request and plans the caller's next one.
func (c *caller) finish(answered bool) {
	c.done = true
	c.r.w.measurements.countFinished(c, answered)
	if c.persistent {
		pause := time.Duration((0.5 + c.r.w.random.Float64()) * float64(c.r.Interval))
		c.r.w.after(pause, c.startRequest)
		return
	}
	c.closeFlow()
}

// drop gives the caller's flow up.
func (c *caller) closeFlow() {
	if c.flow != nil {
		c.flow.close()
		c.flow = nil
	}
}

// try sends the request on the open flow, or opens one for it.
func (c *caller) attempt() {
	c.attempts++
	if c.flow != nil {
		c.flow.sendRequest()
		return
	}
	w := c.r.w
	w.measurements.openedFlows++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(w.measurements.openedFlows >> 24), byte(w.measurements.openedFlows >> 16)})
	f := &flow{
		c: c, endpoints: pollenpacket.Flow{Caller: netip.AddrPortFrom(ip, uint16(w.measurements.openedFlows)), Service: c.r.address},
		sequence: requestSize,
	}
	c.flow = f
	w.flows[f.endpoints] = f
	for i, d := range openingSendTimes {
		w.after(d, func() {
			if !f.open && !f.closed {
				w.sendFromCaller(c.domain, &pollenpacket.Packet{Flow: f.endpoints, SYN: true, Sequence: f.sequence - 1, Acknowledged: uint32(i)}, nil)
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
	c         *caller
	endpoints pollenpacket.Flow
	// open is set from the answer to the opening packet on.
	open, closed bool
	// sequence is the position of the next request, and acknowledged the end of
	// what the backend server has sent.
	sequence, acknowledged uint32
	// sent is set once a request was sent on the flow.
	requestSent bool
}

// take takes a packet of the backend server, or a reset of the system.
func (f *flow) handlePacket(p *pollenpacket.Packet, stream []byte) {
	switch {
	case f.closed:
	case p.RST:
		f.fail(!f.open)
	case p.SYN && !f.open:
		f.open, f.acknowledged = true, p.Sequence+1
		f.sendRequest()
	case len(stream) == requestSize:
		f.handleAnswer(p, stream)
	}
}

// request sends the caller's present request, again and again.
func (f *flow) sendRequest() {
	stream := make([]byte, requestSize)
	binary.BigEndian.PutUint64(stream, f.c.requestID)
	position, id := f.sequence, f.c.requestID
	f.requestSent = true
	var send func(wait time.Duration)
	send = func(wait time.Duration) {
		if f.closed || f.c.done || f.c.requestID != id || f.sequence != position {
			return
		}
		p := &pollenpacket.Packet{Flow: f.endpoints, ACK: true, Sequence: position, Acknowledged: f.acknowledged, Size: requestSize}
		f.c.r.w.sendFromCaller(f.c.domain, p, stream)
		f.c.r.w.after(wait, func() { send(min(2*wait, maxResendInterval)) })
	}
	send(initialResendInterval)
}

func (f *flow) handleAnswer(p *pollenpacket.Packet, stream []byte) {
	w := f.c.r.w
	if id := binary.BigEndian.Uint64(stream); id != f.c.requestID || f.c.done {
		return
	}
	f.sequence += requestSize
	f.acknowledged = p.Sequence + requestSize
	if stream[8] == 1 {
		f.c.finish(true)
		if p.FIN {
			f.c.closeFlow()
		}
		return
	}
	// The backend server shed the request and did not run it.
	f.close()
	f.c.flow = nil
	w.after(retryDelay, f.c.retry)
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
	if neverOpened || !f.requestSent || c.r.Kind != pollendocument.RouteUnsafe {
		c.r.w.after(retryDelay, c.retry)
		return
	}
	c.finish(false)
}

// again makes the next attempt, if one is left.
func (c *caller) retry() {
	switch {
	case c.done:
	case c.attempts >= maxAttempts:
		c.finish(false)
	default:
		c.attempt()
	}
}

func (f *flow) close() {
	if f.closed {
		return
	}
	f.closed = true
	delete(f.c.r.w.flows, f.endpoints)
	if f.open {
		p := &pollenpacket.Packet{Flow: f.endpoints, ACK: true, FIN: true, Sequence: f.sequence, Acknowledged: f.acknowledged}
		f.c.r.w.sendFromCaller(f.c.domain, p, nil)
	}
}
