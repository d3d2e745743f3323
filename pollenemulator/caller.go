package pollenemulator

import (
	"encoding/binary"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Time limits and attempts of a caller's request.
const (
	// handshakeTimeout is the time from the first opening packet within which the
	// backend server's answer must arrive.
	handshakeTimeout = 1400 * time.Millisecond
	// initialResendInterval is the time before the first retransmission of a
	// request; it doubles with each one up to maxResendInterval.
	initialResendInterval = 200 * time.Millisecond
	maxResendInterval     = 1600 * time.Millisecond
	maxAttempts           = 3
	retryDelay            = 20 * time.Millisecond
)

// openingSendTimes holds the times at which the opening packet of a flow is sent,
// from its first transmission on, while no answer has arrived.
var openingSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// A route is a Route of the plan together with the address that its callers use.
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

// startCallers schedules the first request of every caller. Callers with persistent
// flows start at random moments within one Interval.
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

// startSingleRequest starts one request on a flow of its own, and schedules the next
// one after an exponentially distributed time, so that requests arrive as a Poisson
// process.
func (r *route) startSingleRequest() {
	if !r.w.measurements.inCoolDown() {
		c := &caller{r: r, domain: r.w.plan.Domains[r.w.random.IntN(len(r.w.plan.Domains))]}
		c.startRequest()
		r.w.after(time.Duration(r.w.random.ExpFloat64()*float64(time.Second)/float64(r.Rate)), r.startSingleRequest)
	}
}

// A caller has at most one request in progress.
type caller struct {
	r      *route
	domain pollendocument.DomainName
	// persistent is set if the caller keeps its flow open between requests.
	persistent bool
	flow       *flow
	// requestID, startTime, attempts and done describe the current request.
	requestID uint64
	startTime time.Time
	attempts  int
	done      bool
}

// startRequest begins a request, unless requests have ended, and schedules its
// timeout.
func (c *caller) startRequest() {
	w := c.r.w
	if w.measurements.inCoolDown() {
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

// finish ends the current request. A caller with a persistent flow sends its next
// request after 0.5 to 1.5 Intervals; other callers close their flow.
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

// closeFlow closes the caller's flow, if it has one.
func (c *caller) closeFlow() {
	if c.flow != nil {
		c.flow.close()
		c.flow = nil
	}
}

// attempt sends the request on the caller's flow, or opens a flow for it. No two flows
// have the same caller address and port.
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

// A flow is the state of a flow at its caller.
type flow struct {
	c         *caller
	endpoints pollenpacket.Flow
	// open is set once the backend server has answered the opening packet.
	open, closed bool
	// sequence is the position of the next request in the caller's stream, and
	// acknowledged the end of what the backend server has sent.
	sequence, acknowledged uint32
	// requestSent is set once a request has been sent on the flow.
	requestSent bool
}

// handlePacket handles a packet of the backend server, or a reset that the backend
// server or the system has sent.
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

// sendRequest sends the caller's current request, and retransmits it with doubling
// intervals until it is done or the flow is closed.
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

// handleAnswer handles an answer of the backend server. It ignores answers to
// earlier requests.
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
	// The backend server has shed the request without running it, so a request that
	// may run at most once may be retried too.
	f.close()
	f.c.flow = nil
	w.after(retryDelay, f.c.retry)
}

// fail closes the flow after a reset or a handshake timeout. The request is retried if
// it cannot have run (the flow was never opened, or no request was sent on it), or if
// its route is of a repeatable kind. Otherwise the request fails.
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
	if neverOpened || !f.requestSent || c.r.Kind.Repeatable() {
		c.r.w.after(retryDelay, c.retry)
		return
	}
	c.finish(false)
}

// retry makes the next attempt, or fails the request after maxAttempts.
func (c *caller) retry() {
	switch {
	case c.done:
	case c.attempts >= maxAttempts:
		c.finish(false)
	default:
		c.attempt()
	}
}

// close closes the flow, and sends a FIN to the backend server if it was open.
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
