package pollengate_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollensteer"
)

var reports = netip.MustParseAddrPort("198.51.100.1:444")

// Priorities of the two routes of a priorityGate.
const (
	urgentPriority  = 1
	otherPriority   = 2
	urgentObjective = 300 * time.Millisecond
)

// newPriorityGate returns a ready Gate with an urgent route and another one.
func newPriorityGate(cold time.Duration) *pollengate.Gate {
	g := pollengate.New(startTime, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	v := view(2, 0)
	v.Declared.Routes[0].Priority, v.Declared.Routes[0].Objective = urgentPriority, urgentObjective
	other := v.Declared.Routes[0]
	other.Name, other.Address, other.Priority, other.Objective = "reports", reports, otherPriority, 800*time.Millisecond
	v.Declared.Routes = append(v.Declared.Routes, other)
	g.SetView(v)
	r := report(pollenpeer.ServerReady, 1)
	r.ColdRemaining = cold
	g.HandleReport(startTime, r)
	return g
}

// A load replays new flows with one request each to a gate and a server that runs slots
// requests at once for serviceTime each.
type load struct {
	t    *testing.T
	gate *pollengate.Gate
	now  time.Time
	// heldBack reports whether the balancer of a flow of the other route, whose number is
	// given, keeps it from the gate.
	heldBack func(n int) bool
	queue    []arrival
	busy     []time.Time
	ports    uint16
	// counts are by route. worst is the longest time to an answer on the urgent route.
	sent, admitted, refused map[netip.AddrPort]int
	worst                   time.Duration
	steps                   []int
	// changes is when the level changed.
	changes []time.Time
}

type arrival struct {
	flow pollenpacket.Flow
	at   time.Time
}

const (
	loadStep    = 5 * time.Millisecond
	serviceTime = 25 * time.Millisecond
)

func newLoad(t *testing.T, g *pollengate.Gate) *load {
	return &load{
		t: t, gate: g, now: startTime, busy: make([]time.Time, slots),
		sent: map[netip.AddrPort]int{}, admitted: map[netip.AddrPort]int{}, refused: map[netip.AddrPort]int{},
	}
}

// open sends the opening packet of a flow and, if it is admitted, its request.
func (l *load) open(service netip.AddrPort) {
	l.ports++
	l.sent[service]++
	f := flow(l.ports)
	f.Service = service
	if service == reports && l.heldBack != nil && l.heldBack(l.sent[service]) {
		return
	}
	h := pollenlink.Header{Kind: pollenlink.KindPass, Hops: 9, Service: pollensteer.ServiceHash("rings"), Revision: 2}
	d := l.gate.HandleCallerPacket(l.now, balancer, &h, &pollenpacket.Packet{Flow: f, SYN: true, Sequence: 100})
	if d.Reason == pollenkernel.RefusalPriority {
		l.refused[service]++
	}
	if d.Verdict != pollengate.VerdictDeliver {
		return
	}
	l.admitted[service]++
	l.gate.HandleServerPacket(l.now, &pollenpacket.Packet{Flow: f, SYN: true, ACK: true, Sequence: 500, Acknowledged: 101})
	l.gate.HandleCallerPacket(l.now, balancer, &h, &pollenpacket.Packet{Flow: f, ACK: true, Sequence: 101, Acknowledged: 501, Size: 10})
	l.queue = append(l.queue, arrival{f, l.now})
}

// run replays flows at the two rates, in flows per second.
func (l *load) run(d time.Duration, urgent, other int) {
	var urgentSum, otherSum int
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(loadStep) {
		if len(l.steps)%20 == 0 {
			l.gate.Sweep(l.now)
			l.gate.HandleReport(l.now, report(pollenpeer.ServerReady, uint64(len(l.steps)+2)))
		}
		for i := range l.busy {
			if len(l.queue) > 0 && !l.busy[i].After(l.now) {
				a := l.queue[0]
				l.queue = l.queue[1:]
				l.busy[i] = l.now.Add(serviceTime)
				l.answer(a, l.busy[i])
			}
		}
		for urgentSum += urgent; urgentSum >= 200; urgentSum -= 200 {
			l.open(feed)
		}
		for otherSum += other; otherSum >= 200; otherSum -= 200 {
			l.open(reports)
		}
		step := l.gate.Level().Step
		if n := len(l.steps); n > 0 && l.steps[n-1] != step {
			l.changes = append(l.changes, l.now)
		}
		l.steps = append(l.steps, step)
	}
}

// answer answers a request that is complete at the given time, and ends its flow.
func (l *load) answer(a arrival, at time.Time) {
	l.gate.HandleServerPacket(at, &pollenpacket.Packet{Flow: a.flow, ACK: true, Sequence: 501, Size: 10})
	l.gate.HandleServerPacket(at, &pollenpacket.Packet{Flow: a.flow, ACK: true, RST: true})
	if a.flow.Service == feed {
		l.worst = max(l.worst, at.Sub(a.at))
	}
}

// wantServed fails unless the urgent flows were served within their objective and one in
// ten of the others was admitted.
func (l *load) wantServed() {
	l.t.Helper()
	l.t.Logf("urgent: %d of %d admitted, worst %s; others: %d of %d admitted, %d declined for their priority; %d changes of the level",
		l.admitted[feed], l.sent[feed], l.worst, l.admitted[reports], l.sent[reports], l.refused[reports], len(l.changes))
	if l.admitted[feed]*100 < l.sent[feed]*97 || l.refused[feed] > 0 || l.worst > urgentObjective {
		l.t.Errorf("urgent: %d of %d flows admitted, longest time %s; want nearly all, and %s", l.admitted[feed], l.sent[feed], l.worst, urgentObjective)
	}
	if l.admitted[reports]*10 < l.sent[reports] {
		l.t.Errorf("others: %d of %d flows admitted; want at least one in ten", l.admitted[reports], l.sent[reports])
	}
}

// Load pattern: twice as many requests as the server can run. Without a level, the less
// urgent flows, which may wait longer, fill the queue, and urgent ones are declined.
func TestUrgentFlowsKeepTheirObjective(t *testing.T) {
	for name, c := range map[string]struct{ urgent, other int }{
		"twice the capacity": {40, 120}, "mostly urgent": {70, 90}, "a little over the capacity": {40, 60}, "three times": {40, 200},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, newPriorityGate(0))
			l.run(20*time.Second, c.urgent, c.other)
			l.wantServed()
			if l.refused[reports] == 0 {
				t.Error("no flow was declined for its priority")
			}
			// After the load, the level must open within a few seconds.
			l.run(3*time.Second, 10, 10)
			if s := l.gate.Server(l.now); s.AdmitBelow != 0 {
				t.Errorf("priorities from %d on are declined 3 s after the load; want none", s.AdmitBelow)
			}
		})
	}
}

// Load pattern: overload, with heartbeats that reach the balancers 400 ms later over a
// round trip of 5 ms, and half of the balancers with an older level than the others. A
// level that follows the round trip changes many times in a second, and flows of balancers
// with the old level must not take the slots of the urgent ones.
func TestLevelWithOldHeartbeats(t *testing.T) {
	const delay = 80 // steps of 5 ms
	l := newLoad(t, newPriorityGate(0))
	stated := func(age int) int { return l.steps[max(0, len(l.steps)-1-age)] }
	l.heldBack = func(n int) bool {
		if len(l.steps) == 0 || n%10 == 0 {
			return false
		}
		if n%2 == 0 {
			return stated(delay) > 0
		}
		return stated(5*delay) > 0
	}
	l.run(20*time.Second, 40, 120)
	l.wantServed()
	for i := 2; i < len(l.changes); i++ {
		if period := l.changes[i].Sub(l.changes[i-2]); period < time.Second {
			t.Fatalf("the level rose and fell within %s; want at least 1 s", period)
		}
	}
}

// Load pattern: all callers open their flows again after an outage. A restarted gate must
// not open for a second if its server is cold, and must be open at once if it is not.
func TestRestartedGateBesideColdServer(t *testing.T) {
	for name, c := range map[string]struct {
		cold time.Duration
		want int
	}{"cold": {10 * time.Second, otherPriority}, "warm": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			g := newPriorityGate(c.cold)
			for ms := 0; ms < 1000; ms += 100 {
				now := startTime.Add(time.Duration(ms) * time.Millisecond)
				g.Sweep(now)
				if s := g.Server(now); s.AdmitBelow != c.want {
					t.Fatalf("%d ms after the start, priorities from %d on are declined; want %d", ms, s.AdmitBelow, c.want)
				}
			}
			g.Sweep(startTime.Add(time.Second))
			if s := g.Server(startTime.Add(time.Second)); s.AdmitBelow != 0 {
				t.Fatalf("priorities from %d on are declined a second after the start; want none", s.AdmitBelow)
			}
		})
	}
}

// A balancer passes one in ten flows of a declined priority. If the gate applied its own
// minimum to these, one in a hundred would be admitted.
func TestMinimumOfBalancerIsAdmitted(t *testing.T) {
	g := newPriorityGate(10 * time.Second)
	open := func(port uint16, reason pollenkernel.Refusal) pollengate.Decision {
		f := flow(port)
		f.Service = reports
		h := pollenlink.Header{Kind: pollenlink.KindPass, Hops: 9, Reason: reason, Service: pollensteer.ServiceHash("rings"), Revision: 2}
		return g.HandleCallerPacket(startTime, balancer, &h, &pollenpacket.Packet{Flow: f, SYN: true, Sequence: 100})
	}
	want(t, open(1, ""), pollengate.VerdictDeliver, "")
	for port := range uint16(9) {
		want(t, open(2+port, ""), pollengate.VerdictDecline, pollenkernel.RefusalPriority)
	}
	for port := range uint16(3) {
		want(t, open(20+port, pollenkernel.RefusalPriority), pollengate.VerdictDeliver, "")
	}
}

// Routes of one priority must be admitted as without a level, however long the wait.
func TestNoLevelWithoutPriorities(t *testing.T) {
	g := newPriorityGate(10 * time.Second)
	v := view(3, 0)
	v.Declared.Routes[0].Kind = pollendocument.RouteSafe
	g.SetView(v)
	l := newLoad(t, g)
	l.run(2*time.Second, 400, 0)
	if l.refused[feed] != 0 || g.Server(l.now).AdmitBelow != 0 {
		t.Fatalf("%d flows declined for their priority; want none", l.refused[feed])
	}
}
