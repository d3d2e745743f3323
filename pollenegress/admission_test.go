package pollenegress_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenegress"
)

// objective is that of the uploads of deployment W.
const objective = 800 * time.Millisecond

// open opens a flow of the route, if it is admitted.
func open(a *pollenegress.Admission[int], now time.Time, flow int) bool {
	if !a.Fits(now, 1, objective) {
		return false
	}
	a.Admit(now, flow, 1)
	return true
}

// TestAdmissionBoundsTransferTime opens uploads of 43,000 B at four times what a link of
// 5.3 Mbit/s carries, of which other classes take a fifth, and sends them in turn. It
// guards against admitting uploads that take longer than the objective, and against a
// link that idles while uploads are refused.
func TestAdmissionBoundsTransferTime(t *testing.T) {
	const (
		size, packet = 43_000, 1_300
		step         = time.Millisecond
		seconds      = 10
		// The mean size and the rate of the others are not known at the start.
		learning = 2 * time.Second
		paced    = linkBytes * 0.95
		other    = float64(paced / 5)
	)
	a := pollenegress.NewAdmission[int](linkRate)
	var stats pollenegress.Stats
	type upload struct {
		id, left int
		openedAt time.Time
	}
	var running []upload
	var longest, first time.Duration
	refused, sent, credit := 0, 0, 0.0
	now := startTime
	for i := range seconds * 1000 {
		now = now.Add(step)
		stats[0].Sent += int64(other) / 1000
		if i%100 == 0 {
			a.Observe(now, &stats)
		}
		// 49 uploads a second.
		if i%20 == 0 {
			if open(a, now, i) {
				running = append(running, upload{i, size, now})
			} else {
				refused++
			}
		}
		for credit += (paced - other) / 1000; credit > packet && len(running) > 0; credit -= packet {
			u := running[0]
			running = running[1:]
			n := min(packet, u.left)
			u.left -= n
			sent += n
			a.Record(now, u.id, n, false)
			if u.left > 0 {
				running = append(running, u)
				continue
			}
			if u.openedAt.Sub(startTime) >= learning {
				longest = max(longest, now.Sub(u.openedAt))
			} else {
				first = max(first, now.Sub(u.openedAt))
			}
			a.Record(now, u.id, 0, true)
		}
		credit = min(credit, packet)
	}
	used := float64(sent) / ((paced - other) * seconds)
	t.Logf("%d refused, longest transfer %s and %s in the first %s, %.2f of the free rate used", refused, longest, first, learning, used)
	if longest > objective || used < 0.9 || refused == 0 {
		t.Errorf("longest transfer %s, %.2f of the free rate used, %d refused; want at most %s, 0.9 and some", longest, used, refused, objective)
	}
	if p := a.Pressure(now); !p.Closed || p.Others < 0.9*other || p.Others > 1.1*other {
		t.Errorf("pressure %+v; want it closed and the others at %.0f", p, other)
	}
}

// TestAdmissionForgetsFlows opens uploads that never send, as after a power loss of the
// callers. It guards against a link that stays closed for flows that do not exist, and
// against a table that grows.
func TestAdmissionForgetsFlows(t *testing.T) {
	a := pollenegress.NewAdmission[int](linkRate)
	opened := 0
	for open(a, startTime, opened) {
		opened++
	}
	if open(a, startTime.Add(1900*time.Millisecond), opened) {
		t.Fatalf("a flow was admitted behind %d that have not sent", opened)
	}
	if !open(a, startTime.Add(2100*time.Millisecond), opened) {
		t.Fatal("a flow was refused although all others have timed out")
	}
	for i := range 5000 {
		a.Admit(startTime.Add(3*time.Second), 100+i, 1)
	}
	if p := a.Pressure(startTime.Add(4 * time.Second)); p.Flows > 1024 || p.Outstanding > 1024*32_000 || p.Closed {
		t.Fatalf("pressure %+v after 5000 flows; want at most 1024 and open", p)
	}
}

// TestAdmissionCountsWaitingBytes guards against a restarted balancer that admits flows
// behind a full queue since its table is empty, and against a flow that is larger than the
// link carries within the objective and would never be admitted.
func TestAdmissionCountsWaitingBytes(t *testing.T) {
	a := pollenegress.NewAdmission[int](linkRate)
	a.SetQueued(300_000)
	if open(a, startTime, 1) {
		t.Error("a flow was admitted behind 300,000 waiting bytes; 252,000 leave the link in time")
	}
	a.SetQueued(0)
	if !a.Fits(startTime, 1, time.Millisecond) {
		t.Error("the only flow was refused")
	}
}
