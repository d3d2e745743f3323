// Package pollengate decides, beside one backend server, which packets reach
// it. It is the last to decide: what a balancer believed of the backend server
// may be outdated, what the gate knows is not.
package pollengate

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
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

// A Report is what the backend server last said of itself.
type Report struct {
	// Name is the identity that it announces under.
	Name    string
	Service pollendocument.ServiceName
	State   pollenpeer.ServerState
	Slots   int
	// Cold is how much longer it bears only a little load.
	Cold time.Duration
	// Born tells one start of the backend server from every other: later starts
	// have higher values.
	Born int64
	// Sequence grows with each report of one start.
	Sequence uint64
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
	report   Report
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
	swept   time.Time
	// asked holds the flows that only the backend server can tell of, since a
	// packet of them was delivered that this gate did not know.
	asked map[pollenpacket.Flow]question
}

type question struct {
	// balancer is where the packet came from.
	balancer netip.AddrPort
	at       time.Time
}

// A stage says what a flow waits for.
type stage string

const (
	// stageOpening lasts from the opening packet to the first request.
	stageOpening stage = "opening"
	// stageRunning lasts from a request to the start of its answer.
	stageRunning stage = "running"
	stageIdle    stage = "idle"
)

type flow struct {
	stage stage
	// since is when the stage began.
	since time.Time
	// used is when the last packet came.
	used time.Time
	// highest is the end of the stream that the caller has sent.
	highest uint32
	// opened is set if the flow's opening packet was seen here, and answered once
	// the backend server has answered that. From then on its stream runs from
	// serverFirst to serverNext.
	opened, answered        bool
	serverFirst, serverNext uint32
	// callerDone and serverDone are set once that end has closed its stream.
	callerDone, serverDone bool
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
	g.emptied = v.DomainEmptied(g.config.Domain)
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

// Report records what the backend server says of itself. It returns false for a
// report that is older than what is known, or that names another service.
func (g *Gate) Report(now time.Time, r Report) bool {
	if r.Service != g.config.Service || r.Born < g.report.Born ||
		(r.Born == g.report.Born && r.Name == g.report.Name && r.Sequence <= g.report.Sequence) {
		return false
	}
	if r.Born != g.report.Born && !g.reported.IsZero() {
		// The new start holds no flow of the one before.
		clear(g.flows)
		g.running = 0
		g.load.set(now, 0)
		g.complete = true
	}
	if g.reported.IsZero() && r.Sequence == firstSequence {
		g.complete = true
	}
	g.report, g.reported = r, now
	g.coldUntil = now.Add(r.Cold)
	g.silence.heard(now)
	return true
}

// firstSequence numbers the first report of a backend server, before which no
// flow is sent there.
const firstSequence = 1

// Left records that the backend server says goodbye.
func (g *Gate) Left(now time.Time) {
	g.report.State, g.reported = pollenpeer.ServerDraining, now
}

// Leave makes the gate decline new flows from now on.
func (g *Gate) Leave() { g.leaving = true }

// silentReports is the number of reports in a row that must be missing before
// the backend server is taken for silent.
const silentReports = 3

// State returns what the gate believes of its backend server.
func (g *Gate) State(now time.Time) pollenpeer.ServerState {
	switch {
	case g.reported.IsZero():
		return pollenpeer.ServerUnknown
	case g.report.State == pollenpeer.ServerDraining:
		return pollenpeer.ServerDraining
	case now.Sub(g.reported) > silentReports*g.config.Bounds.ReportInterval || g.silence.silent(now):
		return pollenpeer.ServerSilent
	}
	return pollenpeer.ServerReady
}

// Server describes the backend server for beats.
func (g *Gate) Server(now time.Time) pollenpeer.Server {
	cold := g.cold(now)
	s := pollenpeer.Server{
		Service: g.config.Service, State: g.State(now), Slots: g.report.Slots, Cold: cold,
		Running: g.running, Average: g.load.at1s(now), Flows: len(g.flows),
	}
	if cold {
		s.Room = g.coldRoom(now)
	}
	return s
}

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

// Query answers whether the flow is held here, by what its caller acknowledged
// last.
func (g *Gate) Query(now time.Time, f pollenpacket.Flow, acknowledged uint32) Decision {
	known := g.flows[f]
	p := pollenpacket.Packet{Flow: f, Answer: true, Acknowledged: acknowledged}
	switch {
	case known != nil && known.acknowledgedBy(&p):
		return Decision{Verdict: VerdictDrop, Held: true}
	case known != nil:
		g.forget(now, f)
		return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
	case g.mayHoldUnknown(now):
		return Decision{Verdict: VerdictUnsure}
	}
	return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow}
}

// acknowledgedBy reports whether a caller's packet can belong to the flow that
// the backend server opened: it acknowledges something of that one's stream.
func (f *flow) acknowledgedBy(p *pollenpacket.Packet) bool {
	if !f.opened || p.Reset {
		return true
	}
	return f.answered && int32(p.Acknowledged-f.serverFirst) > 0 && int32(f.serverNext-p.Acknowledged) >= 0
}

// unknownFor is how long after its own start a gate must reckon with flows that
// it has not seen: longer than any flow may be silent.
const unknownFor = 65 * time.Second

// firstReports is the number of report intervals after which a gate that has
// heard of no backend server stands beside none.
const firstReports = 2

// mayHoldUnknown reports whether the backend server may hold flows that were
// opened before this process started.
func (g *Gate) mayHoldUnknown(now time.Time) bool {
	age := now.Sub(g.begun)
	if g.complete {
		return false
	}
	if g.reported.IsZero() && age >= firstReports*g.config.Bounds.ReportInterval {
		return false
	}
	return age < unknownFor
}

// follow notes a caller's packet of a flow that is held here.
func (g *Gate) follow(now time.Time, f *flow, p *pollenpacket.Packet) {
	f.used = now
	end := p.Sequence + uint32(p.Size)
	if p.Size > 0 && int32(end-f.highest) > 0 {
		f.highest = end
		if f.stage != stageRunning {
			g.starts.add(now)
		}
		g.setStage(now, f, stageRunning)
	}
	if p.Size > 0 || p.Finish {
		g.silence.sent(now)
	}
	f.callerDone = f.callerDone || p.Finish
	if p.Reset || (f.callerDone && f.serverDone) {
		g.forget(now, p.Flow)
	}
}

func (g *Gate) setStage(now time.Time, f *flow, s stage) {
	before, after := f.stage != stageIdle, s != stageIdle
	if !before && after {
		g.running++
	}
	if before && !after {
		g.running--
	}
	if before != after {
		g.load.set(now, g.running)
	}
	if f.stage != s {
		f.stage, f.since = s, now
	}
}

func (g *Gate) forget(now time.Time, f pollenpacket.Flow) {
	if known := g.flows[f]; known != nil {
		g.setStage(now, known, stageIdle)
		delete(g.flows, f)
	}
}

// FromServer decides on a packet that the backend server sent or returned.
func (g *Gate) FromServer(now time.Time, p *pollenpacket.Packet) Decision {
	if p.Returned {
		return g.returned(now, p)
	}
	g.silence.heard(now)
	f := g.flows[p.Flow]
	if f == nil && p.Reset {
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
	if p.Size > 0 && f.stage == stageRunning {
		g.work.add(now.Sub(f.since))
	}
	if p.Size > 0 {
		g.setStage(now, f, stageIdle)
	}
	f.serverDone = f.serverDone || p.Finish
	if p.Reset || (f.callerDone && f.serverDone) {
		g.forget(now, p.Flow)
	}
	return Decision{Verdict: VerdictCaller, Reason: pollenkernel.RefusalNone}
}

// followServer notes how far the backend server's stream goes.
func (f *flow) followServer(p *pollenpacket.Packet) {
	next := p.Sequence + uint32(p.Size)
	if p.Open || p.Finish {
		next++
	}
	switch {
	case p.Open && p.Answer && !f.answered:
		f.answered, f.serverFirst, f.serverNext = true, p.Sequence, next
	case f.answered && int32(next-f.serverNext) > 0:
		f.serverNext = next
	}
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

// absent tells the balancer that asked that the backend server does not hold
// the flow.
func (g *Gate) absent(p *pollenpacket.Packet) Decision {
	q, asked := g.asked[p.Flow]
	delete(g.asked, p.Flow)
	if !asked {
		return Decision{Verdict: VerdictDrop, Reason: pollenkernel.RefusalUnknownFlow}
	}
	return Decision{Verdict: VerdictAbsent, Reason: pollenkernel.RefusalUnknownFlow, Balancer: q.balancer}
}

// Times after which a flow is given up in the gate's own books; the backend
// server's are not touched by it.
const (
	// openingTimeout is past the caller's own, which ends at 1.4 s.
	openingTimeout = 1500 * time.Millisecond
	// runningTimeout bounds a request whose answer was never seen.
	runningTimeout = 10 * time.Second
	// idleTimeout is past any idle time that documents set.
	idleTimeout   = 65 * time.Second
	sweepInterval = time.Second
	// askTimeout bounds the wait for what the server says of a flow.
	askTimeout = time.Second
)

// Sweep gives up flows that came to nothing.
func (g *Gate) Sweep(now time.Time) {
	if now.Sub(g.swept) < sweepInterval {
		return
	}
	g.swept = now
	for key, q := range g.asked {
		if now.Sub(q.at) >= askTimeout {
			delete(g.asked, key)
		}
	}
	for key, f := range g.flows {
		age := now.Sub(f.used)
		switch {
		case f.stage == stageOpening && now.Sub(f.since) >= openingTimeout,
			f.stage == stageRunning && now.Sub(f.since) >= runningTimeout:
			g.setStage(now, f, stageIdle)
		case age >= idleTimeout:
			delete(g.flows, key)
		}
	}
}

// MayServe reports whether the route's flows may be opened at the service now.
func (g *Gate) mayServe(address netip.AddrPort) bool {
	_, ok := g.routes[address]
	return ok
}

// Routes returns the addresses that the gate takes flows of, sorted.
func (g *Gate) Routes() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(g.routes))
	for a := range g.routes {
		addresses = append(addresses, a)
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return addresses
}
