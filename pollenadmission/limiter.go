// Package pollenadmission limits the concurrent work of a backend server. The
// limiter's own count of running work is authoritative. The limit falls to the
// cold limit at any sign of a cold start and grows with successes.
package pollenadmission

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
)

// Limits holds the document's limits for one backend server. A unit of work is a
// running request or a flow being opened.
type Limits struct {
	// Slots is the maximum concurrent work when the backend server is warm. It
	// is at least Cold.
	Slots int
	// Cold is the maximum concurrent work during a cold start. It is at least 1.
	Cold int
	// ConnectionLimit is the maximum number of flows.
	ConnectionLimit int
	// WarmUp is the minimum duration of a cold start.
	WarmUp time.Duration
}

// A Signal is an observation about the state of the backend server.
type Signal string

// Signals of a backend server.
const (
	// SignalSuccess means that a unit of work succeeded.
	SignalSuccess Signal = "success"
	// SignalRefused means that a connection was refused or reset.
	SignalRefused Signal = "refused"
	// SignalOverload means that the backend server answered that it is
	// overloaded.
	SignalOverload Signal = "overload"
	// SignalRestarted means that the backend server must be treated as cold: it
	// has a new start stamp, its process has ended, or its agent no longer
	// serves.
	SignalRestarted Signal = "restarted"
	// SignalSlow means that the time to first byte was far above the average.
	SignalSlow Signal = "slow"
	// SignalTimeout means that a unit of work got no answer in time.
	SignalTimeout Signal = "timeout"
)

// A Level is the state of a Ramp.
type Level struct {
	// Limit is the maximum concurrent work, between Limits.Cold and
	// Limits.Slots.
	Limit int
	// Successes is the number of successes counted towards the next increase
	// of Limit.
	Successes int
	// LastColdSign is the time of the last sign of a cold start.
	LastColdSign time.Time
}

// A Ramp adjusts the limit to the signals.
type Ramp interface {
	// Next returns the level after a signal.
	Next(now time.Time, limits Limits, level Level, signal Signal) Level
}

// Ramps holds the registered ramps.
var Ramps = pollenkernel.NewRegistry[Ramp]("ramp")

// Names of the ramps registered here.
const (
	RampSuccess = "success"
	RampOff     = "off"
)

func init() {
	Ramps.Register(RampSuccess, 100, successRamp{})
	Ramps.Register(RampOff, 900, offRamp{})
}

// successesPerStep is the number of successes per unit of the current limit
// after which the limit grows by one.
const successesPerStep = 4

// successRamp raises the limit by one after successesPerStep successes per unit
// of the limit, once the warm-up has passed. A time-out halves the limit, since
// a slow request is no sign of a cold start. Every other signal lowers it to the
// cold limit.
type successRamp struct{}

// Next implements Ramp.
func (successRamp) Next(now time.Time, limits Limits, level Level, signal Signal) Level {
	switch {
	case signal == SignalTimeout:
		return Level{Limit: max(limits.Cold, level.Limit/2), LastColdSign: level.LastColdSign}
	case signal != SignalSuccess:
		return Level{Limit: limits.Cold, LastColdSign: now}
	case now.Sub(level.LastColdSign) < limits.WarmUp || level.Limit >= limits.Slots:
		return level
	}
	level.Successes++
	if level.Successes >= successesPerStep*level.Limit {
		return Level{Limit: level.Limit + 1, LastColdSign: level.LastColdSign}
	}
	return level
}

// offRamp always allows all slots. It is the baseline without cold-start
// protection.
type offRamp struct{}

// Next implements Ramp.
func (offRamp) Next(_ time.Time, limits Limits, _ Level, _ Signal) Level {
	return Level{Limit: limits.Slots}
}

// Parameters of the detection of slow answers: an answer is slow if its time to
// first byte exceeds both slowMinFirstByte and slowFactor times the average, and
// the average is based on at least slowMinSamples answers. Each answer moves the
// average by 1/firstByteSmoothing of the difference.
const (
	slowFactor         = 8
	slowMinFirstByte   = 50 * time.Millisecond
	firstByteSmoothing = 8
	slowMinSamples     = 16
)

// A Limiter counts and limits the work of one backend server. It is not safe for
// concurrent use.
type Limiter struct {
	limits Limits
	ramp   Ramp
	level  Level
	// running never exceeds the limit that applied when the latest unit of work
	// began.
	running int
	flows   int
	// averageFirstByte is the smoothed time to first byte, and samples the
	// number of answers it is based on.
	averageFirstByte time.Duration
	samples          int
	startStamp       string
}

// NewLimiter returns a Limiter in the state of a cold start.
func NewLimiter(now time.Time, limits Limits, ramp Ramp) *Limiter {
	l := &Limiter{limits: limits, ramp: ramp}
	l.level = ramp.Next(now, limits, l.level, SignalRestarted)
	return l
}

// SetLimits applies changed limits of the document and clamps the current limit
// to them.
func (l *Limiter) SetLimits(limits Limits) {
	l.limits = limits
	l.level.Limit = min(max(l.level.Limit, limits.Cold), limits.Slots)
}

// Begin starts a unit of work if the limit allows it, and reports whether it
// does. Each started unit must be ended by End or Cancel.
func (l *Limiter) Begin() bool {
	if l.running >= l.level.Limit {
		return false
	}
	l.running++
	return true
}

// End ends a unit of work and adjusts the limit to its signal.
func (l *Limiter) End(now time.Time, signal Signal) {
	l.running--
	l.Observe(now, signal)
}

// Cancel ends a unit of work that gives no information about the backend server.
func (l *Limiter) Cancel() { l.running-- }

// Observe adjusts the limit to a signal that does not belong to a unit of work.
func (l *Limiter) Observe(now time.Time, signal Signal) {
	l.level = l.ramp.Next(now, l.limits, l.level, signal)
	if signal == SignalRestarted {
		l.averageFirstByte, l.samples = 0, 0
	}
}

// Classify returns SignalSlow or SignalSuccess for an answer with the time to
// first byte, and includes it in the average.
func (l *Limiter) Classify(firstByte time.Duration) Signal {
	signal := SignalSuccess
	if l.samples >= slowMinSamples && firstByte > slowMinFirstByte && firstByte > slowFactor*l.averageFirstByte {
		signal = SignalSlow
	}
	if l.samples == 0 {
		l.averageFirstByte = firstByte
	}
	l.averageFirstByte += (firstByte - l.averageFirstByte) / firstByteSmoothing
	l.samples++
	return signal
}

// ObserveStart records the backend server's start stamp, which it announces or
// sends with its answers, and reports whether the server has restarted. An empty
// stamp is ignored, and the first stamp is no restart.
func (l *Limiter) ObserveStart(now time.Time, stamp string) (restarted bool) {
	if stamp == "" || stamp == l.startStamp {
		return false
	}
	restarted = l.startStamp != ""
	l.startStamp = stamp
	if restarted {
		l.Observe(now, SignalRestarted)
	}
	return restarted
}

// StartStamp returns the last start stamp, or "" if none was observed.
func (l *Limiter) StartStamp() string { return l.startStamp }

// Resume restores the limit that an earlier incarnation of the agent had reached
// with the same start of the backend server. It has no effect if the start stamp
// differs, and does not lower the current limit.
func (l *Limiter) Resume(stamp string, limit int) {
	if stamp != "" && stamp == l.startStamp {
		l.level.Limit = min(max(limit, l.level.Limit), l.limits.Slots)
	}
}

// OpenFlow counts a new flow if the connection limit allows it, and reports
// whether it does.
func (l *Limiter) OpenFlow() bool {
	if l.flows >= l.limits.ConnectionLimit {
		return false
	}
	l.flows++
	return true
}

// AdoptFlow counts a flow that was opened before the Limiter was created. It
// ignores the connection limit.
func (l *Limiter) AdoptFlow() { l.flows++ }

// CloseFlow ends a flow counted by OpenFlow or AdoptFlow.
func (l *Limiter) CloseFlow() { l.flows-- }

// A Usage is a snapshot of a Limiter: the running work and its limit, and the
// open flows and their limit. Cold is set while Limit is below Limits.Slots.
type Usage struct {
	Running, Limit, Flows, ConnectionLimit int
	Cold                                   bool
}

// Usage returns the current counts and limits.
func (l *Limiter) Usage() Usage {
	return Usage{
		Running: l.running, Limit: l.level.Limit, Flows: l.flows, ConnectionLimit: l.limits.ConnectionLimit,
		Cold: l.level.Limit < l.limits.Slots,
	}
}
