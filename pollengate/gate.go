// Package pollengate decides, beside one backend server, which packets reach
// it. It is the last to decide: what a balancer believed of the backend server
// may be outdated, what the gate knows is not.
package pollengate

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenview"
)

// A Verdict says what happens to a packet.
type Verdict string

// Verdicts.
const (
	// VerdictDeliver gives the packet to the backend server.
	VerdictDeliver Verdict = "deliver"
	// VerdictDecline sends it back to the balancer.
	VerdictDecline Verdict = "decline"
	// VerdictAbsent tells the balancer that the flow is not held here.
	VerdictAbsent Verdict = "absent"
	// VerdictUnsure tells the balancer that only a packet can tell.
	VerdictUnsure Verdict = "unsure"
	// VerdictReset ends the flow at the caller.
	VerdictReset Verdict = "reset"
	// VerdictCaller sends a packet of the backend server to the caller.
	VerdictCaller Verdict = "caller"
	// VerdictDrop leaves the packet to a retransmission.
	VerdictDrop Verdict = "drop"
)

// A Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	Reason  pollenkernel.Refusal
	// Held tells that the balancer should learn that the flow is held here.
	Held bool
	// Balancer is set where the packet itself does not tell who searched.
	Balancer netip.AddrPort
	// Opened tells that an opening packet was decided on; Wait is then the
	// expected time until its request runs.
	Opened bool
	Wait   time.Duration
}

// Bounds are the limits that the installation sets.
type Bounds struct {
	// ColdFactor and ColdSlack bound the requests in one second that a cold
	// backend server may get: rate x factor + slack.
	ColdFactor float64
	ColdSlack  float64
	// ReportInterval is the time between two reports of a backend server.
	ReportInterval time.Duration
}

// A Config holds the settings of a Gate.
type Config struct {
	Domain  pollendocument.DomainName
	Service pollendocument.ServiceName
	Bounds  Bounds
	// First is set while the whole system starts for the first time, so that no
	// flow is older than the gate.
	First bool
}

// A Gate decides on packets. It is not safe for concurrent use.
type Gate struct {
	config Config
	hash   uint32
	routes map[netip.AddrPort]*pollendocument.Route
	pool   pollendocument.Pool
	// revision is that of the view that routes were made from.
	revision pollenview.Revision
	emptied  bool

	// complete is set if the gate has seen every flow of its backend server.
	complete bool
	// first is when the first report came, in which the backend server said that
	// it stays cold for firstCold.
	first     time.Time
	firstCold time.Duration
	report    Report
	// reported is when the last report came; zero before the first.
	reported time.Time
	// coldUntil is when the backend server bears its full load.
	coldUntil time.Time
	leaving   bool
	begun     time.Time

	flows map[pollenpacket.Flow]*flow
	// running is the number of flows in stageOpening or stageRunning.
	running int
	load    average
	starts  window
	work    duration
	silence silence
	failed  failures
	// crowded is when a request was last declined that could have been in time
	// and that another gate had declined before.
	crowded time.Time
	swept   time.Time
	// asked holds the flows that only the backend server can tell of, since a
	// packet of them was delivered that this gate did not know.
	asked map[pollenpacket.Flow]question
}

// New returns a new Gate.
func New(now time.Time, config Config) *Gate {
	return &Gate{
		config: config, hash: pollensteer.ServiceHash(config.Service), begun: now, complete: config.First,
		routes: map[netip.AddrPort]*pollendocument.Route{}, flows: map[pollenpacket.Flow]*flow{},
		asked: map[pollenpacket.Flow]question{},
		load:  average{at: now}, work: duration{value: defaultWork},
	}
}

// defaultWork is taken as the time of a request until one was measured.
const defaultWork = 30 * time.Millisecond

// SetView replaces the routes and the limits. An older view is ignored.
func (g *Gate) SetView(v *pollenview.View) {
	if v.Revision < g.revision {
		return
	}
	g.revision = v.Revision
	g.emptied = v.DomainEvacuated(g.config.Domain)
	g.routes = map[netip.AddrPort]*pollendocument.Route{}
	for i := range v.Declared.Routes {
		r := v.Declared.Routes[i]
		if r.Serves(g.config.Service) {
			g.routes[r.Address] = &r
		}
	}
	g.pool = pollendocument.Pool{Name: g.config.Service}
	for _, p := range v.Declared.Pools {
		if p.Name == g.config.Service {
			g.pool = p
		}
	}
}

// Revision returns the revision of the view in use.
func (g *Gate) Revision() pollenview.Revision { return g.revision }

// FromNode decides on a caller's packet that a balancer passed.
func (g *Gate) FromNode(now time.Time, from netip.AddrPort, h *pollenlink.Header, p *pollenpacket.Packet) Decision {
	f := g.flows[p.Flow]
	if p.Opening() {
		return g.open(now, h, p, f)
	}
	if f != nil && !f.acknowledgedBy(p) {
		// A copy of the opening packet went to another backend server, and the
		// caller took that one's answer.
		g.forget(now, p.Flow)
		return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
	}
	d := Decision{Verdict: VerdictDeliver, Reason: pollenkernel.RefusalNone}
	if f == nil {
		if !g.mayHoldUnknown(now) {
			return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
		}
		// The backend server returns it or resets the flow if it does not hold it.
		g.asked[p.Flow] = question{balancer: from, at: now}
		return d
	}
	g.follow(now, f, p)
	d.Held = h.Kind == pollenlink.KindSearch
	return d
}

// FromServer decides on a packet that the backend server sent or returned.
func (g *Gate) FromServer(now time.Time, p *pollenpacket.Packet) Decision {
	if p.Returned {
		return g.returned(now, p)
	}
	g.silence.heard(now)
	f := g.flows[p.Flow]
	if f == nil && p.RST {
		// The server does not hold the flow; another one may, and the reset would
		// end it.
		return g.absent(p)
	}
	if f == nil {
		f = &flow{stage: stageIdle, since: now}
		g.flows[p.Flow] = f
	}
	delete(g.asked, p.Flow)
	f.used = now
	f.followServer(p)
	if f.stage == stageRunning && (p.Size > 0 || p.RST) {
		g.failed.add(now, p.ServerError || p.RST)
		if !p.ServerError && !p.RST {
			g.work.add(now.Sub(f.since))
		}
	}
	if p.Size > 0 {
		g.setStage(now, f, stageIdle)
	}
	f.serverDone = f.serverDone || p.FIN
	if p.RST || (f.callerDone && f.serverDone) {
		g.forget(now, p.Flow)
	}
	return Decision{Verdict: VerdictCaller, Reason: pollenkernel.RefusalNone}
}

// returned decides on a packet that the backend server would not take.
func (g *Gate) returned(now time.Time, p *pollenpacket.Packet) Decision {
	g.silence.heard(now)
	g.forget(now, p.Flow)
	if p.Opening() {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalConnectionLimit}
	}
	if _, asked := g.asked[p.Flow]; !asked && p.Mark != 0 {
		return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
	}
	return g.absent(p)
}
