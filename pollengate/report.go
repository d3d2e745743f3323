package pollengate

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpeer"
)

// A Report is what the backend server last said of itself.
type Report struct {
	// Name is the identity that it announces under.
	Name    string
	Service pollendocument.ServiceName
	State   pollenpeer.ServerState
	Slots   int
	// Cold is how much longer it bears only a little load.
	ColdRemaining time.Duration
	// Born tells one start of the backend server from every other: later starts
	// have higher values.
	Incarnation int64
	// Sequence grows with each report of one start.
	Sequence uint64
}

// Report records what the backend server says of itself. It returns false for a
// report that is older than what is known, or that names another service.
func (g *Gate) Report(now time.Time, r Report) bool {
	if r.Service != g.config.Service || r.Incarnation < g.report.Incarnation ||
		(r.Incarnation == g.report.Incarnation && r.Name == g.report.Name && r.Sequence <= g.report.Sequence) {
		return false
	}
	if r.Incarnation != g.report.Incarnation && !g.reported.IsZero() {
		// The new start holds no flow of the one before.
		clear(g.flows)
		g.running = 0
		g.load.set(now, 0)
		g.failed = failures{}
		g.complete = true
	}
	if g.reported.IsZero() {
		g.complete = g.complete || r.Sequence == firstSequence
		g.firstCold = r.ColdRemaining
	}
	if g.first.IsZero() {
		g.first = now
	}
	g.report, g.reported = r, now
	g.coldUntil = now.Add(r.ColdRemaining)
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
		Service: g.config.Service, State: g.State(now), Slots: g.report.Slots, Cold: cold, Starting: now.Before(g.coldUntil),
		Running: g.running, AverageRunning: g.load.at1s(now), Failing: g.failed.failing(now), Flows: len(g.flows),
	}
	if cold {
		s.ColdCapacity = g.coldRoom(now)
	}
	return s
}
