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

// A Ramp decides how the limit follows the signals.
type Ramp interface {
	// Next returns the limit after a signal, and the successes counted towards
	// the next step.
	Next(limits Limits, limit, successes int, signal Signal) (newLimit, newSuccesses int)
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
// and falls to the cold limit at every other signal.
type successRamp struct{}

// Next implements Ramp.
func (successRamp) Next(limits Limits, limit, successes int, signal Signal) (newLimit, newSuccesses int) {
	if signal != SignalSuccess {
		return limits.Cold, 0
	}
	successes++
	if limit < limits.Slots && successes >= successesPerStep*limit {
		return limit + 1, 0
	}
	return limit, successes
}

// offRamp always allows every slot. It is the baseline without protection.
type offRamp struct{}

// Next implements Ramp.
func (offRamp) Next(limits Limits, _, _ int, _ Signal) (newLimit, newSuccesses int) {
	return limits.Slots, 0
}

// Parameters of the detection of slow answers.
const (
	slowFactor    = 8
	slowMinimum   = 50 * time.Millisecond
	smoothing     = 8
	settledAnswer = 16
)

// A Limiter counts the work of one backend server. It is not safe for
// concurrent use.
type Limiter struct {
	limits Limits
	ramp   Ramp
	// limit is between limits.Cold and limits.Slots.
	limit     int
	successes int
	// running never exceeds the limit that held when the last work began.
	running int
	flows   int
	// usual is the smoothed time to first byte; answers counts its samples.
	usual   time.Duration
	answers int
	stamp   string
}

// NewLimiter returns a new Limiter that starts cold.
func NewLimiter(limits Limits, ramp Ramp) *Limiter {
	l := &Limiter{limits: limits, ramp: ramp}
	l.limit, l.successes = ramp.Next(limits, limits.Cold, 0, SignalRestarted)
	return l
}

// SetLimits follows a change of the document.
func (l *Limiter) SetLimits(limits Limits) {
	l.limits = limits
	l.limit = min(max(l.limit, limits.Cold), limits.Slots)
}

// Begin takes a unit of work if the limit allows it.
func (l *Limiter) Begin() bool {
	if l.running >= l.limit {
		return false
	}
	l.running++
	return true
}

// End gives a unit of work back and learns from how it went.
func (l *Limiter) End(signal Signal) {
	l.running--
	l.Learn(signal)
}

// Cancel gives a unit of work back that says nothing about the backend server.
func (l *Limiter) Cancel() { l.running-- }

// Learn follows a signal that is not tied to a unit of work.
func (l *Limiter) Learn(signal Signal) {
	l.limit, l.successes = l.ramp.Next(l.limits, l.limit, l.successes, signal)
	if signal == SignalRestarted {
		l.usual, l.answers = 0, 0
	}
}

// Judge returns the signal that an answer with the time to first byte gives.
func (l *Limiter) Judge(firstByte time.Duration) Signal {
	signal := SignalSuccess
	if l.answers >= settledAnswer && firstByte > slowMinimum && firstByte > slowFactor*l.usual {
		signal = SignalSlow
	}
	if l.answers == 0 {
		l.usual = firstByte
	}
	l.usual += (firstByte - l.usual) / smoothing
	l.answers++
	return signal
}

// Stamp follows the backend server's start stamp, which it announces or sends
// with its answers, and reports whether it is a new one.
func (l *Limiter) Stamp(stamp string) (restarted bool) {
	if stamp == "" || stamp == l.stamp {
		return false
	}
	restarted = l.stamp != ""
	l.stamp = stamp
	if restarted {
		l.Learn(SignalRestarted)
	}
	return restarted
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
		Running: l.running, Limit: l.limit, Flows: l.flows, Connections: l.limits.Connections,
		Cold: l.limit < l.limits.Slots,
	}
}
