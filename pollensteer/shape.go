package pollensteer

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenshare"
)

// packetOverhead is the size on the link of a packet without payload in bytes: headers of
// IP, UDP and pollenlink, and 40 for the one of the flow.
const packetOverhead = pollenegress.Overhead + pollenlink.HeaderSize + 40

// Shares of the bytes that fit on a contended link which flows may fill: those of callers
// below their share, and those of callers that ask for more. Bytes up to lightRoom leave
// the link within 5/8 of the objective. Without heavyRoom, light callers that are refused make
// the share fall for seconds: the link carried 995 uploads in a replay where it carries 1,107.
const (
	lightRoom = 1.25
	heavyRoom = 0.75
)

// A shaping holds how the packets of one route are sent over a low-bandwidth link. It is
// zero while the link is not shaped.
type shaping struct {
	id pollenegress.Route
	// urgent is set if the document's routes differ in priority and this one has the most
	// urgent, and upload for upload routes.
	urgent, upload bool
}

// setShaping sets the shaping of the routes from the declaration. Admission starts anew
// whenever the link begins to be shaped.
func (b *Balancer) setShaping(d *pollendocument.Declaration) {
	if !pollenegress.Shapes(b.config.LinkRate, d) {
		b.admission, b.uploads = nil, nil
		return
	}
	if b.admission == nil {
		b.admission = pollenegress.NewAdmission[key](b.config.LinkRate)
		b.uploads = pollenshare.New[netip.Addr]()
	}
	lowest, highest := math.MaxInt, math.MinInt
	for i := range d.Routes {
		lowest, highest = min(lowest, d.Routes[i].Priority), max(highest, d.Routes[i].Priority)
	}
	for _, r := range b.routes {
		r.shaping = shaping{
			id: routeID(r.Address), urgent: r.Priority == lowest && lowest < highest, upload: r.Kind == pollendocument.RouteUpload,
		}
	}
}

// routeID identifies a route by its address, which it keeps when a document changes.
func routeID(a netip.AddrPort) pollenegress.Route {
	return pollenegress.Route(xxhash.Sum64(a.AppendTo(make([]byte, 0, 64)))) | 1
}

// class returns the class of a packet of the route. Data of an upload route is bulk also
// if the route is urgent, since it would fill the link ahead of everything else.
func (s *shaping) class(p *pollenpacket.Packet) pollenegress.Class {
	switch {
	case s.id == 0:
		return ""
	case p.Opening():
		return pollenegress.ClassUrgent
	case s.upload && p.Size > 0:
		return pollenegress.ClassBulk
	case s.urgent:
		return pollenegress.ClassUrgent
	}
	return pollenegress.ClassNormal
}

// pass returns the decision to pass a packet of the route to the gate, and accounts for
// it.
func (b *Balancer) pass(now time.Time, k key, r *route, p *pollenpacket.Packet, g *gate) Decision {
	b.recordUpload(now, k, r, p)
	return Decision{Verdict: VerdictPass, Gate: g.address, Class: r.class(p), Route: r.id}
}

// recordUpload accounts for a packet of a route that is passed.
func (b *Balancer) recordUpload(now time.Time, k key, r *route, p *pollenpacket.Packet) {
	if b.admission == nil || !r.upload {
		return
	}
	size := 0
	if p.Size > 0 {
		size = p.Size + packetOverhead
	}
	b.admission.Record(now, k, size, p.FIN || p.RST)
}

// PassWaiting returns the class and the route of a packet that waited for its gate and is
// passed to it now. The class is empty while the link is not shaped.
func (b *Balancer) PassWaiting(now time.Time, p *pollenpacket.Packet) (pollenegress.Class, pollenegress.Route) {
	r, ok := b.routes[p.Flow.Service]
	if !ok {
		return "", 0
	}
	b.recordUpload(now, keyOf(p.Flow), r, p)
	return r.class(p), r.id
}

// linkFull returns the decision to reset a new flow of an upload route that the link cannot
// carry in time. While the link is contended, a caller above its share is reset also if
// the flow would fit, one that asks for more than its share leaves some room, and one that
// does not may exceed what fits by a bounded slack. ok is false
// if the flow is taken, or if the opening packet must not be reset.
func (b *Balancer) linkFull(now time.Time, r *route, p *pollenpacket.Packet, e *flowEntry) (d Decision, ok bool) {
	// An opening packet that waited in the buffer of a starting balancer may be older than
	// it seems.
	if b.admission == nil || !r.upload || p.Acknowledged > 0 || now.Sub(b.config.StartTime) < startupGrace+openingTimeout {
		return Decision{}, false
	}
	// This comes first, so that a flow counts as refused only if it is.
	if d = b.rejectOpening(now, p, e, pollenkernel.RefusalLinkFull); d.Verdict != VerdictReset {
		return Decision{}, false
	}
	objective := r.Objective
	if objective <= 0 {
		objective = r.Timeout
	}
	caller, size := p.Flow.Caller.Addr(), b.admission.Size(r.id)
	b.uploads.Ask(now, caller, size)
	fits := b.admission.Fits(now, r.id, objective)
	if fits && !b.admission.Pressure(now).Closed {
		return d, false
	}
	if b.uploads.Exceeds(now, caller) {
		d.Reason = pollenkernel.RefusalShare
		return d, true
	}
	switch {
	case b.uploads.Below(now, caller):
		return d, !b.admission.FitsWithin(r.id, objective, lightRoom)
	case fits && b.uploads.Contended(now) && !b.admission.FitsWithin(r.id, objective, heavyRoom):
		d.Reason = pollenkernel.RefusalShare
		return d, true
	}
	return d, !fits
}

// recordTaken accounts for a new flow that was passed as taken by its caller.
func (b *Balancer) recordTaken(now time.Time, r *route, p *pollenpacket.Packet, d Decision) Decision {
	if b.admission != nil && r.upload && d.Verdict == VerdictPass {
		b.uploads.Add(now, p.Flow.Caller.Addr(), b.admission.Size(r.id))
	}
	return d
}

// recordPlaced accounts for the decision on a new flow of the route: it is admitted if it
// is passed, and ends otherwise.
func (b *Balancer) recordPlaced(now time.Time, k key, r *route, d Decision) Decision {
	switch {
	case b.admission == nil || !r.upload:
	case d.Verdict == VerdictPass:
		b.admission.Admit(now, k, r.id)
	default:
		b.admission.Record(now, k, 0, true)
	}
	return d
}

// Shaped reports whether what this balancer sends is to be queued by class.
func (b *Balancer) Shaped() bool { return b.admission != nil }

// ObserveLink records the state of the queue of the host's link. It is called several
// times a second while Shaped.
func (b *Balancer) ObserveLink(now time.Time, s *pollenegress.Stats) {
	if b.admission != nil {
		b.admission.Observe(now, s)
	}
}

// SetQueued sets the number of bytes that wait for the host's link.
func (b *Balancer) SetQueued(bytes int) {
	if b.admission != nil {
		b.admission.SetQueued(bytes)
	}
}

// Pressure returns the state of the admission of uploads.
func (b *Balancer) Pressure(now time.Time) pollenegress.Pressure {
	if b.admission == nil {
		return pollenegress.Pressure{}
	}
	return b.admission.Pressure(now)
}
