// Package pollenadmission decides how much work a backend server is given: its
// own count of running work is the truth, and the limit falls to the cold
// limit at any sign of a cold start and grows with successes.
package pollenadmission

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
)

// A Limits holds the document's limits for one backend server.
type Limits struct {
	// Slots is the most work at once when warm; at least Cold.
	Slots int
	// Cold is the most work at once in a cold start; at least 1.
	Cold int
	// Connections is the most flows.
	Connections int
	// WarmUp is how long a cold start lasts at least.
	WarmUp time.Duration
}

// A Signal is something learnt about the backend server.
type Signal string

// Signals.
const (
	// SignalSuccess is a piece of work that ended well.
	SignalSuccess Signal = "success"
	// SignalRefused is a refused or reset connection.
	SignalRefused Signal = "refused"
	// SignalOverload is an answer that says the backend server is overloaded.
	SignalOverload Signal = "overload"
	// SignalRestarted is a new start stamp.
	SignalRestarted Signal = "restarted"
	// SignalSlow is a time to first byte far above the usual.
	SignalSlow Signal = "slow"
	// SignalTimeout is work that got no answer.
	SignalTimeout Signal = "timeout"
)

// A Level is where a Ramp stands.
type Level struct {
	// Limit is the most work at once, between Limits.Cold and Limits.Slots.
	Limit int
	// Successes counts towards the next step.
	Successes int
	// Since is when the last sign of a cold start came.
	LastColdSign time.Time
}

// A Ramp decides how the limit follows the signals.
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

// successesPerStep is the number of successes at a limit, per unit of the
// limit, before it grows by one.
const successesPerStep = 4

// successRamp grows by one slot after successesPerStep successes for each slot,
// once the warm-up has passed. A timeout halves the limit, since a slow request
// is no sign of a cold start; every other signal takes it to the cold limit.
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

// offRamp always allows every slot. It is the baseline without protection.
type offRamp struct{}

// Next implements Ramp.
func (offRamp) Next(_ time.Time, limits Limits, _ Level, _ Signal) Level {
	return Level{Limit: limits.Slots}
}

// Parameters of the detection of slow answers.
const (
	slowFactor         = 8
	slowMinFirstByte   = 50 * time.Millisecond
	firstByteSmoothing = 8
	slowMinSamples     = 16
)

// A Limiter counts the work of one backend server. It is not safe for
// concurrent use.
type Limiter struct {
	limits Limits
	ramp   Ramp
	level  Level
	// running never exceeds the limit that held when the last work began.
	running int
	flows   int
	// usual is the smoothed time to first byte; answers counts its samples.
	averageFirstByte time.Duration
	samples          int
	startStamp       string
}

// NewLimiter returns a new Limiter that starts cold.
func NewLimiter(now time.Time, limits Limits, ramp Ramp) *Limiter {
	l := &Limiter{limits: limits, ramp: ramp}
	l.level = ramp.Next(now, limits, l.level, SignalRestarted)
	return l
}

// SetLimits follows a change of the document.
func (l *Limiter) SetLimits(limits Limits) {
	l.limits = limits
	l.level.Limit = min(max(l.level.Limit, limits.Cold), limits.Slots)
}

// Begin takes a unit of work if the limit allows it.
func (l *Limiter) Begin() bool {
	if l.running >= l.level.Limit {
		return false
	}
	l.running++
	return true
}

// End gives a unit of work back and learns from how it went.
func (l *Limiter) End(now time.Time, signal Signal) {
	l.running--
	l.Observe(now, signal)
}

// Cancel gives a unit of work back that says nothing about the backend server.
func (l *Limiter) Cancel() { l.running-- }

// Learn follows a signal that is not tied to a unit of work.
func (l *Limiter) Observe(now time.Time, signal Signal) {
	l.level = l.ramp.Next(now, l.limits, l.level, signal)
	if signal == SignalRestarted {
		l.averageFirstByte, l.samples = 0, 0
	}
}

// Judge returns the signal that an answer with the time to first byte gives.
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

// Stamp follows the backend server's start stamp, which it announces or sends
// with its answers, and reports whether it is a new one.
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

// StampNow returns the start stamp last followed.
func (l *Limiter) StartStamp() string { return l.startStamp }

// Resume takes over the limit that an earlier incarnation of the agent had
// reached with the same start of the backend server.
func (l *Limiter) Resume(stamp string, limit int) {
	if stamp != "" && stamp == l.startStamp {
		l.level.Limit = min(max(limit, l.level.Limit), l.limits.Slots)
	}
}

// OpenFlow takes a flow if the limit of connections allows it.
func (l *Limiter) OpenFlow() bool {
	if l.flows >= l.limits.Connections {
		return false
	}
	l.flows++
	return true
}

// AdoptFlow counts a flow that was open before the limiter was made.
func (l *Limiter) AdoptFlow() { l.flows++ }

// CloseFlow gives a flow back.
func (l *Limiter) CloseFlow() { l.flows-- }

// A Usage describes a Limiter at one moment.
type Usage struct {
	Running, Limit, Flows, Connections int
	Cold                               bool
}

// Usage returns the present counts.
func (l *Limiter) Usage() Usage {
	return Usage{
		Running: l.running, Limit: l.level.Limit, Flows: l.flows, Connections: l.limits.Connections,
		Cold: l.level.Limit < l.limits.Slots,
	}
}
