package pollengate

import (
	"time"

	"pollenstep.example/pollenstep/pollenpacket"
)

// maxPayload is the payload of a caller's packet that is followed by more data of the
// same request. Shorter packets end a request.
const maxPayload = 1200

// maxSpans bounds the spans of a receipt. Callers have at most 16 packets in flight, of
// which every second may be lost.
const maxSpans = 8

// A span is a range of sequence numbers; end is excluded.
type span struct{ start, end uint32 }

// A receipt tracks which data of a caller's stream has arrived, on a flow whose requests
// are large. Data that arrives after a gap is kept as spans until the gap is filled.
type receipt struct {
	// started is set once next and last are valid. They are the ends of the data that
	// arrived without a gap and of all data that arrived; last is never before next.
	started    bool
	next, last uint32
	// short is set if the packet that ends at last ends a request.
	short bool
	// spans holds what arrived after next, in any order; count is their number.
	spans [maxSpans]span
	count int
}

// add records data and reports whether any of it is new.
func (r *receipt) add(start uint32, size int) bool {
	if !r.started {
		r.started, r.next, r.last = true, start, start
	}
	end := start + uint32(size)
	if int32(end-r.next) <= 0 {
		return false
	}
	if int32(end-r.last) > 0 {
		r.last, r.short = end, size < maxPayload
	}
	if int32(start-r.next) <= 0 {
		r.next = end
		r.absorb()
		return true
	}
	for i := range r.spans[:r.count] {
		s := &r.spans[i]
		switch {
		case int32(start-s.start) >= 0 && int32(s.end-end) >= 0:
			return false
		case start == s.end:
			s.end = end
			return true
		case end == s.start:
			s.start = start
			return true
		}
	}
	// A span that does not fit is not recorded: the request then ends by its response.
	if r.count < maxSpans {
		r.spans[r.count] = span{start, end}
		r.count++
	}
	return true
}

// absorb moves next over the spans that it has reached and removes these.
func (r *receipt) absorb() {
	for i := 0; i < r.count; {
		s := r.spans[i]
		if int32(s.start-r.next) > 0 {
			i++
			continue
		}
		r.count--
		r.spans[i] = r.spans[r.count]
		if int32(s.end-r.next) > 0 {
			// Spans that were passed over may be adjacent now.
			r.next, i = s.end, 0
		}
	}
}

// complete reports whether all data arrived up to a packet that ends a request.
func (r *receipt) complete() bool { return r.short && r.next == r.last }

// end takes all data up to last as arrived.
func (r *receipt) end() { r.next, r.count = r.last, 0 }

// receive updates a flow of an upload route from a caller's packet with data.
//
// The last packets of a large request may arrive seconds after the first over a thin
// link, while the backend server needs milliseconds to run it. If the request took a slot
// meanwhile, the gate would decline flows although its server is idle.
func (g *Gate) receive(now time.Time, f *flow, p *pollenpacket.Packet) {
	if !f.receipt.add(p.Sequence, p.Size) {
		return
	}
	if !f.receipt.complete() {
		g.setStage(now, f, stageReceiving)
		return
	}
	g.starts.add(now)
	g.setStage(now, f, stageRunning)
}

// endReceiving ends a request that its response shows to be complete: its length is a
// multiple of the largest payload.
func (g *Gate) endReceiving(now time.Time, f *flow) {
	if f.stage == stageReceiving {
		g.starts.add(now)
		f.receipt.end()
	}
}

// countReceived updates the number of received requests for a flow that moves to a stage.
func (g *Gate) countReceived(f *flow, s stage) {
	if f.isReceived(f.stage) {
		g.receiving--
	}
	if f.isReceived(s) {
		g.receiving++
	}
}

// takesSlot reports whether a flow counts as running in a stage.
func (f *flow) takesSlot(s stage) bool {
	return s == stageRunning || (s == stageOpening && f.receipt == nil)
}

// isReceived reports whether a flow counts as being received in a stage.
func (f *flow) isReceived(s stage) bool {
	return s == stageReceiving || (s == stageOpening && f.receipt != nil)
}
