package pollenpeer_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenpeer"
)

func leadership(n int, term pollenlog.Term, confirmedAt time.Time) pollenpeer.Leadership {
	return pollenpeer.Leadership{Leader: address(n), Term: term, ConfirmedAt: confirmedAt}
}

// TestOldLeaderIsNotPassedOnForEver guards against processes that tell one another
// of a leader which no replica has confirmed for long: after a partition two such
// beliefs circulated until the end of the day, and half of the operators' calls went
// to a host that no longer led.
func TestOldLeaderIsNotPassedOnForEver(t *testing.T) {
	processes := make([]pollenpeer.Leadership, 6)
	now := startTime
	processes[0].Merge(now, leadership(2, 2, now))
	processes[3].Merge(now, leadership(3, 3, now))
	for round := range 20 {
		for i := range processes {
			processes[(i+1+round)%len(processes)].Merge(now, processes[i])
		}
		now = now.Add(pollenpeer.HeartbeatInterval)
	}
	for i := range processes {
		if leader := processes[i].Current(now); leader.IsValid() {
			t.Errorf("process %d still takes %s for the leader, which was last confirmed %s ago", i, leader, now.Sub(startTime))
		}
	}
}

func TestLeadershipOrder(t *testing.T) {
	soon := startTime.Add(100 * time.Millisecond)
	for name, c := range map[string]struct {
		known, received pollenpeer.Leadership
		want            netip.AddrPort
	}{
		"first news":                       {pollenpeer.Leadership{}, leadership(2, 1, startTime), address(2)},
		"higher term, confirmed earlier":   {leadership(2, 1, soon), leadership(3, 2, startTime), address(3)},
		"lower term, confirmed later":      {leadership(2, 2, startTime), leadership(3, 1, soon), address(2)},
		"lower term after the leader went": {leadership(2, 2, startTime.Add(-time.Minute)), leadership(3, 1, soon), netip.AddrPort{}},
		"no news":                          {leadership(2, 2, startTime), pollenpeer.Leadership{}, address(2)},
	} {
		l := c.known
		l.Merge(soon, c.received)
		if got := l.Current(soon); got != c.want {
			t.Errorf("%s: the leader is %s; want %s", name, got, c.want)
		}
	}
}

// TestRejectedLeaderNeedsNewerConfirmation guards against repeating a call to a host
// that has answered that it does not lead, because others still pass its name on.
func TestRejectedLeaderNeedsNewerConfirmation(t *testing.T) {
	l := leadership(2, 1, startTime)
	rejectedAt := startTime.Add(200 * time.Millisecond)
	l.Reject(rejectedAt, address(2))
	l.Merge(rejectedAt, leadership(2, 1, startTime.Add(100*time.Millisecond)))
	if got := l.Current(rejectedAt); got.IsValid() {
		t.Fatalf("%s is taken for the leader again by news from before its rejection", got)
	}
	l.Merge(rejectedAt, leadership(2, 1, rejectedAt.Add(time.Millisecond)))
	if got := l.Current(rejectedAt); got != address(2) {
		t.Fatalf("the leader is %s; want the one that was confirmed after the rejection", got)
	}
}
