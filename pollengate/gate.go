// Package pollengate implements admission control beside one backend server: it
// decides which packets reach the server. The gate has the final decision
// because its state of the server is current, while that of a balancer may be
// outdated.
package pollengate

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpriority"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenview"
)

// A Verdict is the action to take on a packet.
type Verdict string

// Verdicts.
const (
	// VerdictDeliver sends the packet to the backend server.
	VerdictDeliver Verdict = "deliver"
	// VerdictDecline returns the packet to the balancer, which may try another
	// gate.
	VerdictDecline Verdict = "decline"
	// VerdictNotFound notifies the balancer that this gate does not hold the flow.
	VerdictNotFound Verdict = "absent"
	// VerdictNeedsPacket notifies the balancer that the gate can find out whether the
	// backend server holds the flow only by delivering a packet of it.
	VerdictNeedsPacket Verdict = "unsure"
	// VerdictReset sends a reset of the flow to the caller.
	VerdictReset Verdict = "reset"
	// VerdictCaller sends a packet of the backend server to the caller.
	VerdictCaller Verdict = "caller"
	// VerdictDrop drops the packet; the sender retransmits it if it is needed.
	VerdictDrop Verdict = "drop"
)

// A Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	// Reason is RefusalNone unless the packet was refused.
	Reason pollenkernel.Refusal
	// Held reports that this gate holds the flow and the balancer is to be
	// notified of it.
	Held bool
	// Balancer is the balancer to notify if the packet itself does not identify
	// it, and otherwise invalid.
	Balancer netip.AddrPort
	// Opening reports that the decision is on an opening packet. Wait is then the
	// expected time until its request runs, or zero if it was not estimated.
	Opening bool
	Wait    time.Duration
}

// Bounds are the limits and intervals that the settings of the host specify.
type Bounds struct {
	// ColdFactor and ColdSlack bound the requests that a cold backend server may
	// get in one second: the pool's ColdRate times ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// ReportInterval is the interval at which the backend server reports.
	ReportInterval time.Duration
}

// A Config configures a Gate.
type Config struct {
	Domain  pollendocument.DomainName
	Service pollendocument.ServiceName
	Bounds  Bounds
	// FirstStart is set when the whole system starts for the first time, so that
	// no flow is older than the gate.
	FirstStart bool
}

// A Gate decides on the packets to and from one backend server. It is not safe
// for concurrent use.
type Gate struct {
	config      Config
	serviceHash uint32
	// routes holds the routes to the gate's service, by address.
	routes map[netip.AddrPort]*pollendocument.Route
	// pool is the pool of the gate's service; only Name is set if the view has
	// none.
	pool pollendocument.Pool
	// revision is the revision of the view that the routes were taken from.
	revision  pollenview.Revision
	evacuated bool

	// allFlowsSeen is set if the gate has seen the opening of every flow of its
	// backend server.
	allFlowsSeen bool
	// firstReport is when the first report arrived, and firstColdRemaining is the
	// remaining cold-start time in that report.
	firstReport        time.Time
	firstColdRemaining time.Duration
	report             Report
	// lastReport is when the last report arrived; it is zero before the first.
	lastReport time.Time
	// coldUntil is the end of the backend server's cold start, from which it can
	// take its full load.
	coldUntil time.Time
	leaving   bool
	startTime time.Time

	flows map[pollenpacket.Flow]*flow
	// running is the number of flows in stageOpening or stageRunning, without the flows
	// of upload routes in stageOpening. receiving is the number of these and of flows in
	// stageReceiving.
	running     int
	receiving   int
	meanRunning meanCount
	// starts counts the flows opened and the requests started in the last second.
	starts eventWindow
	// requestTime is the mean time from the start of a request at the backend server
	// to the start of its response.
	requestTime meanDuration
	silence     silence
	failures    failureRate
	level       pollenpriority.Level
	// overloadedAt is when a request was last declined that could have been
	// answered in time and that another gate had declined before.
	overloadedAt time.Time
	lastSweep    time.Time
	// tickedAt is when Sweep was last called, and wokeAt when it was last called after
	// a pause; zero before.
	tickedAt, wokeAt time.Time
	// probes holds the flows that this gate does not track and for which a packet
	// was delivered to find out whether the backend server holds them.
	probes map[pollenpacket.Flow]probe
	// lost holds the flows that TakeLostFlows returns next.
	lost LostFlows
	// checkpoint is the newest one that was passed to Restore, or nil. Its flows are nil
	// once it was applied. restoredFlows counts the flows for TakeRestoredFlows.
	checkpoint    *pollencheckpoint.Checkpoint
	restoredFlows int
}

// New returns a new Gate that started at now.
func New(now time.Time, config Config) *Gate {
	return &Gate{
		config: config, serviceHash: pollensteer.ServiceHash(config.Service), startTime: now, allFlowsSeen: config.FirstStart,
		routes: map[netip.AddrPort]*pollendocument.Route{}, flows: map[pollenpacket.Flow]*flow{},
		probes:      map[pollenpacket.Flow]probe{},
		meanRunning: meanCount{updated: now}, requestTime: meanDuration{value: defaultRequestTime},
	}
}

// defaultRequestTime is the initial mean time of a request, before any was
// measured.
const defaultRequestTime = 30 * time.Millisecond

// SetView replaces the routes and limits by those of the view. A view that is
// older than the current one is ignored.
func (g *Gate) SetView(v *pollenview.View) {
	if v.Revision < g.revision {
		return
	}
	g.revision = v.Revision
	g.evacuated = v.DomainEvacuated(g.config.Domain)
	g.routes = map[netip.AddrPort]*pollendocument.Route{}
	for i := range v.Declared.Routes {
		r := v.Declared.Routes[i]
		if r.Serves(g.config.Service) {
			g.routes[r.Address] = &r
		}
	}
	g.configureLevel()
	g.pool = pollendocument.Pool{Name: g.config.Service}
	for _, p := range v.Declared.Pools {
		if p.Name == g.config.Service {
			g.pool = p
		}
	}
}

// Revision returns the revision of the view in use.
func (g *Gate) Revision() pollenview.Revision { return g.revision }

// HandleCallerPacket decides on a caller's packet that the balancer at from
// passed with the header h.
func (g *Gate) HandleCallerPacket(now time.Time, from netip.AddrPort, h *pollenlink.Header, p *pollenpacket.Packet) Decision {
	f := g.lookup(now, p)
	if p.Opening() {
		return g.admit(now, h, p, f)
	}
	if f != nil && !f.matches(p) {
		// A retransmission of the opening packet reached another backend server, and
		// the caller accepted the answer of that server.
		g.remove(now, p.Flow)
		return Decision{Verdict: VerdictNotFound, Reason: pollenkernel.RefusalUnknownFlow}
	}
	d := Decision{Verdict: VerdictDeliver, Reason: pollenkernel.RefusalNone}
	if f == nil {
		if !g.mayHoldUnseenFlow(now) {
			return Decision{Verdict: VerdictNotFound, Reason: pollenkernel.RefusalUnknownFlow}
		}
		// The backend server returns the packet or resets the flow if it does not
		// hold the flow.
		g.probes[p.Flow] = probe{balancer: from, sentAt: now}
		return d
	}
	f.confirm(p)
	g.probeRestored(now, from, f, p)
	g.trackCaller(now, f, p)
	d.Held = h.Kind == pollenlink.KindSearch
	return d
}

// HandleServerPacket decides on a packet that the backend server sent or
// returned.
func (g *Gate) HandleServerPacket(now time.Time, p *pollenpacket.Packet) Decision {
	if p.Returned {
		return g.handleReturned(now, p)
	}
	g.silence.received(now)
	f := g.verifyRestored(now, p)
	if f == nil && p.RST {
		// The server does not hold the flow. Another server may, and the reset would
		// end the flow there.
		return g.endProbe(p)
	}
	if f == nil {
		f = &flow{stage: stageIdle, stageStart: now, receipt: g.newReceipt(p.Flow)}
		g.flows[p.Flow] = f
	}
	delete(g.probes, p.Flow)
	f.lastUsed = now
	f.trackServer(p)
	if (f.stage == stageRunning || f.stage == stageReceiving) && (p.Size > 0 || p.RST) {
		g.failures.add(now, p.ServerError || p.RST)
		if f.stage == stageRunning && !p.ServerError && !p.RST {
			g.requestTime.add(g.serviceTime(now, f))
		}
	}
	if p.Size > 0 {
		g.endReceiving(now, f)
		g.setStage(now, f, stageIdle)
	}
	f.serverDone = f.serverDone || p.FIN
	if p.RST || (f.callerDone && f.serverDone) {
		g.remove(now, p.Flow)
	}
	return Decision{Verdict: VerdictCaller, Reason: pollenkernel.RefusalNone}
}

// handleReturned decides on a packet that the backend server refused and
// returned.
func (g *Gate) handleReturned(now time.Time, p *pollenpacket.Packet) Decision {
	g.silence.received(now)
	g.remove(now, p.Flow)
	if p.Opening() {
		return Decision{Verdict: VerdictDecline, Reason: pollenkernel.RefusalConnectionLimit}
	}
	if _, probed := g.probes[p.Flow]; !probed && p.Mark != 0 {
		return Decision{Verdict: VerdictNotFound, Reason: pollenkernel.RefusalUnknownFlow}
	}
	return g.endProbe(p)
}
