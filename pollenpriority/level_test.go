package pollenpriority_test

import (
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpriority"
)

const objective = 400 * time.Millisecond

var start = time.Unix(1000, 0)

// newLevel returns a Level for routes of the priorities.
func newLevel(priorities ...int) *pollenpriority.Level {
	var routes []*pollendocument.Route
	for _, p := range priorities {
		// The objective of the most urgent route counts, whatever the others are.
		routes = append(routes, &pollendocument.Route{Priority: p, Objective: objective + time.Duration(p-slices.Min(priorities))*100*time.Millisecond})
	}
	l := &pollenpriority.Level{}
	l.Configure(pollenpriority.ConfigOf(slices.Values(routes)))
	return l
}

// observe reports a wait at intervals of 10 ms for the given time and returns its end.
func observe(l *pollenpriority.Level, from time.Time, d, wait time.Duration) time.Time {
	for ; d > 0; d -= 10 * time.Millisecond {
		l.Observe(from, wait)
		from = from.Add(10 * time.Millisecond)
	}
	return from
}

// Load pattern: a lasting overload. The level must rise by one step in 100 ms, decline
// one more priority or the retransmissions at each, and never the most urgent priority.
func TestSteps(t *testing.T) {
	l := newLevel(4, 2, 0, 2)
	now := start
	for step, want := range []struct {
		below  int
		admits [3][2]bool // By priority 0, 2 and 4: first transmission, retransmission.
	}{
		{0, [3][2]bool{{true, true}, {true, true}, {true, true}}},
		{4, [3][2]bool{{true, true}, {true, true}, {false, false}}},
		{4, [3][2]bool{{true, true}, {true, false}, {false, false}}},
		{2, [3][2]bool{{true, true}, {false, false}, {false, false}}},
		{2, [3][2]bool{{true, true}, {false, false}, {false, false}}},
	} {
		if got := l.AdmitBelow(); got != want.below || l.Step() != min(step, 3) {
			t.Fatalf("after %d periods: step %d, admits below %d; want %d", step, l.Step(), got, want.below)
		}
		for i, admits := range want.admits {
			for retransmissions, admit := range admits {
				l.Opened(2*i, uint32(retransmissions)) // Uses up the minimum.
				if l.Admit(2*i, uint32(retransmissions)) != admit {
					t.Fatalf("step %d, priority %d, retransmission %d: admitted %t; want %t", step, 2*i, retransmissions, !admit, admit)
				}
			}
		}
		now = observe(l, now, 110*time.Millisecond, objective/2+1)
	}
}

// The level must not follow waits that change within the round trip of 5 ms or the
// interval of heartbeats, and must be open a second per step after the load.
func TestLevelFallsSlowly(t *testing.T) {
	l := newLevel(0, 2)
	now := observe(l, start, 90*time.Millisecond, objective)
	now = observe(l, now, 10*time.Millisecond, objective/2)
	if now = observe(l, now, 90*time.Millisecond, objective); l.Step() != 0 {
		t.Fatal("the level rose by waits of 90 ms each")
	}
	now = observe(l, now, 30*time.Millisecond, objective)
	for range 10 {
		now = observe(l, now, 400*time.Millisecond, 0)
		if now = observe(l, now, 10*time.Millisecond, objective/4); l.Step() != 1 {
			t.Fatal("the level fell although the wait was not below a quarter of the objective for a second")
		}
	}
	if now = observe(l, now, 1010*time.Millisecond, 0); l.Step() != 0 {
		t.Fatal("the level is not open a second after the load")
	}
	// The overload lasts: the level must close at once, before many flows are admitted.
	if observe(l, now, 10*time.Millisecond, objective); l.Step() != 1 {
		t.Fatal("the level did not rise again at once after a fall")
	}
}

// One in ten flows of each priority must be admitted at any level, also if admitted
// flows are refused for another reason.
func TestMinimum(t *testing.T) {
	l := newLevel(0, 1, 2)
	observe(l, start, time.Second, objective)
	var m pollenpriority.Minimum
	opened := map[int]int{}
	for i := range 1000 {
		p := 1 + i%2
		if l.Admit(p, 0) && i%3 == 0 {
			l.Opened(p, 0)
			opened[p]++
		}
		if m.Take(p) {
			opened[p+10]++
		}
	}
	for p, n := range map[int]int{1: 40, 2: 40, 11: 50, 12: 50} {
		if opened[p] < n || opened[p] > 60 {
			t.Errorf("%d of 500 flows of priority %d admitted; want %d to 60", opened[p], p%10, n)
		}
	}
}

// A service whose routes have one priority, or no objective, must not decline any flow.
func TestInactive(t *testing.T) {
	without := &pollenpriority.Level{}
	without.Configure(pollenpriority.Config{Priorities: []int{0, 1}})
	for name, l := range map[string]*pollenpriority.Level{"one priority": newLevel(2, 2), "no route": {}, "no objective": without} {
		l.Close()
		observe(l, start, time.Second, time.Hour)
		if l.AdmitBelow() != 0 || l.Step() != 0 || !l.Admit(2, 5) {
			t.Errorf("%s: step %d, admits below %d; want no level", name, l.Step(), l.AdmitBelow())
		}
	}
}
