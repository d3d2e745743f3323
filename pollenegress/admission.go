package pollenegress

import "time"

// Limits of an Admission.
const (
	// initialFlowSize is the size of a route's flows in bytes before the first has ended.
	initialFlowSize = 32_000
	// meanWeight bounds the weight of the past in the mean size, in flows.
	meanWeight = 32
	// flowTimeout is the time without a packet after which a flow counts as ended.
	flowTimeout = 2 * time.Second
	// maxFlows bounds the admitted flows that are tracked. A link of 10 Mbit/s carries 60
	// flows of initialFlowSize within flowTimeout.
	maxFlows = 1024
	// maxRoutes bounds the routes whose mean size is known.
	maxRoutes = 1024
	// objectiveShare is the divisor for the share of a route's objective within which the
	// bytes before a new flow must leave the link, 1/2.
	objectiveShare = 2
	// smoothing is the time constant of the measured rate of the other classes. It covers
	// several of the 0.5 s between the heartbeats of a process.
	smoothing = time.Second
	// closedTime is how long an Admission counts as closed after a refusal.
	closedTime = time.Second
	// sweepInterval is the time between two searches for flows that have timed out.
	sweepInterval = 100 * time.Millisecond
)

// An Admission decides which new flows of upload routes a balancer takes on, so that
// those that it takes on meet their objective: a link that is shared by too many uploads
// serves none of them in time. K identifies a flow. It is not safe for concurrent use.
type Admission[K comparable] struct {
	// rate is in bytes per second.
	rate float64
	// flows has at most maxFlows entries, and sizes at most maxRoutes.
	flows map[K]admittedFlow
	sizes map[Route]flowSize
	// outstanding is the sum of what the flows are expected to send, in bytes.
	outstanding float64
	// queued is the number of bytes that wait in the Queue.
	queued int
	// others is the smoothed rate of all classes but ClassBulk in bytes per second.
	// observed is what they had sent at observedAt, which is zero before the first call of
	// Observe.
	others     float64
	observed   int64
	observedAt time.Time
	sweptAt    time.Time
	// refusedAt is when a flow was last refused.
	refusedAt time.Time
}

// An admittedFlow is a flow that was admitted and has not ended.
type admittedFlow struct {
	route Route
	// expected is what the flow is still expected to send in bytes; it is not negative.
	expected, sent float64
	lastPacket     time.Time
}

// A flowSize is the mean size of the flows of a route that have ended.
type flowSize struct {
	mean  float64
	flows int
}

// NewAdmission returns a new Admission for a link of rate bits per second.
func NewAdmission[K comparable](rate float64) *Admission[K] {
	const bitsPerByte = 8
	return &Admission[K]{rate: rate * rateShare / bitsPerByte, flows: map[K]admittedFlow{}, sizes: map[Route]flowSize{}}
}

// Observe records what the Queue has sent since its creation. It is called several times
// a second.
func (a *Admission[K]) Observe(now time.Time, s *Stats) {
	sent := int64(0)
	for i, c := range Classes() {
		if c != ClassBulk {
			sent += s[i].Sent
		}
	}
	if elapsed := now.Sub(a.observedAt); !a.observedAt.IsZero() && elapsed > 0 {
		rate := float64(sent-a.observed) / elapsed.Seconds()
		a.others += (rate - a.others) * min(1, elapsed.Seconds()/smoothing.Seconds())
	}
	a.observed, a.observedAt = sent, now
	a.SetQueued(s.Waiting())
	a.sweep(now)
}

// SetQueued sets the number of bytes that wait in the Queue.
func (a *Admission[K]) SetQueued(bytes int) { a.queued = bytes }

// Fits reports whether a new flow of the route would be sent within half of its
// objective, behind the bytes that wait and those that admitted flows still bring. It
// records a refusal if not. Uploads can count on the minimum share of their class.
func (a *Admission[K]) Fits(now time.Time, r Route, objective time.Duration) bool {
	a.sweep(now)
	if a.FitsWithin(r, objective, 1) {
		return true
	}
	// A flow that is larger than the link carries in that time is admitted while no other
	// one is: it could never be sent otherwise.
	if a.outstanding < 1 && a.queued == 0 {
		return true
	}
	a.refusedAt = now
	return false
}

// FitsWithin reports whether the bytes up to the end of a new flow are at most factor times
// those that the link sends within half of the objective. It records no refusal.
func (a *Admission[K]) FitsWithin(r Route, objective time.Duration, factor float64) bool {
	free := max(a.rate*limits[ClassBulk.index()].share, a.rate-a.others)
	return a.outstanding+float64(a.queued)+a.size(r) <= factor*free*objective.Seconds()/objectiveShare
}

// Size returns the expected size of a new flow of the route in bytes.
func (a *Admission[K]) Size(r Route) float64 { return a.size(r) }

// Admit records that a flow of the route was admitted.
func (a *Admission[K]) Admit(now time.Time, flow K, r Route) {
	if f, known := a.flows[flow]; known {
		f.lastPacket = now
		a.flows[flow] = f
		return
	}
	if len(a.flows) >= maxFlows {
		for k, f := range a.flows {
			a.remove(k, f)
			break
		}
	}
	expected := a.size(r)
	a.flows[flow] = admittedFlow{route: r, expected: expected, lastPacket: now}
	a.outstanding += expected
}

// Record records a packet of size bytes of a flow, and whether it ends the flow. Flows
// that were not admitted are ignored.
func (a *Admission[K]) Record(now time.Time, flow K, size int, ends bool) {
	f, known := a.flows[flow]
	if !known {
		return
	}
	if ends {
		a.remove(flow, f)
		a.learn(f)
		return
	}
	sent := min(f.expected, float64(size))
	f.expected -= sent
	f.sent += float64(size)
	f.lastPacket = now
	a.outstanding -= sent
	a.flows[flow] = f
}

// learn updates the mean size of a route's flows by one that has ended. A flow without
// data never opened.
func (a *Admission[K]) learn(f admittedFlow) {
	if f.sent == 0 {
		return
	}
	s, known := a.sizes[f.route]
	if !known && len(a.sizes) >= maxRoutes {
		return
	}
	s.flows = min(meanWeight, s.flows+1)
	s.mean += (f.sent - s.mean) / float64(s.flows)
	a.sizes[f.route] = s
}

func (a *Admission[K]) remove(flow K, f admittedFlow) {
	delete(a.flows, flow)
	if a.outstanding -= f.expected; len(a.flows) == 0 {
		// Rounding errors do not add up.
		a.outstanding = 0
	}
}

// size returns the expected size of a new flow of the route.
func (a *Admission[K]) size(r Route) float64 {
	if s, known := a.sizes[r]; known {
		return s.mean
	}
	return initialFlowSize
}

// sweep removes the flows that have timed out.
func (a *Admission[K]) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	for k, f := range a.flows {
		if now.Sub(f.lastPacket) >= flowTimeout {
			a.remove(k, f)
		}
	}
}

// A Pressure is the state of an Admission.
type Pressure struct {
	// Closed is set while flows are refused.
	Closed bool
	// Flows is the number of admitted flows, and Outstanding the bytes that they are
	// expected to send.
	Flows       int
	Outstanding int
	// Queued is the number of waiting bytes.
	Queued int
	// Others is the rate of the other classes in bytes per second.
	Others float64
}

// Pressure returns the state now.
func (a *Admission[K]) Pressure(now time.Time) Pressure {
	return Pressure{
		Closed: !a.refusedAt.IsZero() && now.Sub(a.refusedAt) < closedTime,
		Flows:  len(a.flows), Outstanding: int(a.outstanding), Queued: a.queued, Others: a.others,
	}
}
