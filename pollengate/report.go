package pollengate

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpeer"
)

// A Report is the state that the backend server reports of itself.
type Report struct {
	// Name identifies the instance of the backend server.
	Name    string
	Service pollendocument.ServiceName
	State   pollenpeer.ServerState
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// ColdRemaining is the remaining time of the cold start, during which the
	// server can take only a little load.
	ColdRemaining time.Duration
	// Incarnation identifies one start of the backend server; later starts have
	// higher values.
	Incarnation int64
	// Sequence increases with each report of one incarnation and starts at 1.
	Sequence uint64
}

// HandleReport records a report of the backend server. It returns false and
// changes nothing if the report is older than the last one or names another
// service.
func (g *Gate) HandleReport(now time.Time, r Report) bool {
	if r.Service != g.config.Service || r.Incarnation < g.report.Incarnation ||
		(r.Incarnation == g.report.Incarnation && r.Name == g.report.Name && r.Sequence <= g.report.Sequence) {
		return false
	}
	if r.Incarnation != g.report.Incarnation && !g.lastReport.IsZero() {
		// The new incarnation holds no flow of the previous one.
		g.loseFlows(r)
		clear(g.flows)
		g.running, g.receiving = 0, 0
		g.meanRunning.set(now, 0)
		g.failures = failureRate{}
		g.allFlowsSeen = true
	}
	if g.lastReport.IsZero() {
		g.allFlowsSeen = g.allFlowsSeen || r.Sequence == firstReportSequence
		g.firstColdRemaining = r.ColdRemaining
		if r.ColdRemaining > 0 {
			// After an outage, the callers of all flows open them again at once.
			g.level.Close()
		}
	}
	if g.firstReport.IsZero() {
		g.firstReport = now
	}
	g.report, g.lastReport = r, now
	g.applyCheckpoint(now)
	g.coldUntil = now.Add(r.ColdRemaining)
	g.silence.received(now)
	return true
}

// firstReportSequence is the sequence number of the first report of a backend
// server. No flow is sent to the server before that report.
const firstReportSequence = 1

// Deregister records that the backend server is shutting down; it then counts as
// draining.
func (g *Gate) Deregister(now time.Time) {
	g.report.State, g.lastReport = pollenpeer.ServerDraining, now
}

// Leave makes the gate decline all new flows from now on.
func (g *Gate) Leave() { g.leaving = true }

// silentReportIntervals is the number of report intervals without a report after
// which the backend server counts as silent.
const silentReportIntervals = 3

// State returns the state of the backend server, from its reports and from
// whether it answers packets.
func (g *Gate) State(now time.Time) pollenpeer.ServerState {
	switch {
	case g.lastReport.IsZero():
		return pollenpeer.ServerUnknown
	case g.report.State == pollenpeer.ServerDraining:
		return pollenpeer.ServerDraining
	case now.Sub(g.lastReport) > silentReportIntervals*g.config.Bounds.ReportInterval || g.silence.silent(now):
		return pollenpeer.ServerSilent
	}
	return pollenpeer.ServerReady
}

// Server returns the description of the backend server that heartbeats carry.
func (g *Gate) Server(now time.Time) pollenpeer.Server {
	cold := g.rateLimited(now)
	s := pollenpeer.Server{
		Service: g.config.Service, State: g.State(now), Slots: g.report.Slots, Cold: cold, Starting: now.Before(g.coldUntil),
		Running: g.running, AverageRunning: g.meanRunning.valueAt(now), Failing: g.failures.failing(now), Flows: len(g.flows),
	}
	if cold {
		s.ColdCapacity = g.coldCapacity(now)
	}
	s.AdmitBelow = g.level.AdmitBelow()
	if g.requestTime.measured {
		s.RequestTime = g.requestTime.value
	}
	return s
}
