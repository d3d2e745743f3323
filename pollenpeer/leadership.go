package pollenpeer

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// leadershipTimeout is how long a leader that no replica confirms counts as the
// leader: longer than an election takes, so that calls do not lack a target
// whenever heartbeats are lost.
const leadershipTimeout = 5 * HeartbeatInterval

// A Leadership is what a process knows about which control host leads. Only
// replicas of the log confirm it; processes pass it on with the time of the last
// confirmation, so that it expires everywhere at the same time.
type Leadership struct {
	// Leader is the node address of the leader; invalid if none is known.
	Leader netip.AddrPort
	// Term is the highest term of the log for which a leader was ever known. It
	// never decreases.
	Term pollenlog.Term
	// ConfirmedAt is when a replica last knew first-hand that Leader leads in Term,
	// or when Leader answered that it does not.
	ConfirmedAt time.Time
}

// Current returns the address of the leader, or an invalid one if none is known
// or the confirmation has expired.
func (l *Leadership) Current(now time.Time) netip.AddrPort {
	if now.Sub(l.ConfirmedAt) >= leadershipTimeout {
		return netip.AddrPort{}
	}
	return l.Leader
}

// Merge takes over what another process knows if it is of a higher term, or of
// the same term and confirmed later. Expired knowledge is ignored.
func (l *Leadership) Merge(now time.Time, received Leadership) {
	if !received.Current(now).IsValid() || received.Term < l.Term {
		return
	}
	if received.Term > l.Term || received.ConfirmedAt.After(l.ConfirmedAt) {
		*l = received
	}
}

// Reject records that the host at the address has answered that it does not lead.
// Earlier confirmations of it are ignored from now on.
func (l *Leadership) Reject(now time.Time, leader netip.AddrPort) {
	if l.Leader == leader {
		l.Leader, l.ConfirmedAt = netip.AddrPort{}, now
	}
}
