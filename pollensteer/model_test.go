package pollensteer_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollensteer"
)

const (
	loopTick      = 50 * time.Millisecond
	loopHeartbeat = 400 * time.Millisecond
)

// A loopGate is a first-come, first-served queue with slots.
type loopGate struct {
	peer *pollenpeer.Peer
	// factor is the time of a request relative to that of a usual server.
	factor  float64
	free    []time.Time
	ends    []time.Time
	average float64
	silent  bool
	// took is the sum of the completion times of placed requests.
	took  time.Duration
	count int
}

// A loop places requests of one flow each at queues whose heartbeats are up to 0.4 s old.
type loop struct {
	now       time.Time
	random    *rand.Rand
	work      time.Duration
	gates     map[netip.AddrPort]*loopGate
	order     []netip.AddrPort
	balancers map[pollendocument.DomainName][]*pollensteer.Balancer
	ticks     int
	flows     uint32
	// timed is set if gates state their request times.
	timed bool
	// longOnes is the number of requests out of 100 that take 7 times as long.
	longOnes int
}

func newLoop(work time.Duration) *loop {
	return &loop{
		now: afterGrace, random: rand.New(rand.NewPCG(7, 7)), work: work, gates: map[netip.AddrPort]*loopGate{},
		balancers: map[pollendocument.DomainName][]*pollensteer.Balancer{}, timed: true,
	}
}

func (l *loop) addGates(domain pollendocument.DomainName, count int, factors ...float64) {
	for range count {
		n := len(l.order)
		p := gate(1, "rings")
		p.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 7000)
		p.Domain = domain
		l.gates[p.Address] = &loopGate{peer: p, factor: factors[n%len(factors)], free: make([]time.Time, p.Server.Slots)}
		l.order = append(l.order, p.Address)
	}
}

func (l *loop) addBalancers(domain pollendocument.DomainName, count int) {
	for i := range count {
		b := pollensteer.New(pollensteer.Config{Domain: domain, StartTime: startTime, Seed: uint64(i)})
		b.SetView(view(1))
		for _, a := range l.order {
			b.SetGate(l.now, l.gates[a].peer)
		}
		l.balancers[domain] = append(l.balancers[domain], b)
	}
}

func nextOpening(n uint32) *pollenpacket.Packet {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 100<<24|64<<16|n>>8)
	p := opening(uint16(n), 0)
	p.Flow.Caller = netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(n))
	return p
}

// place places one request by a balancer of the domain, and by the oracle if best is set.
func (l *loop) place(domain pollendocument.DomainName, best bool) (*loopGate, time.Duration) {
	l.flows++
	b := l.balancers[domain][l.random.IntN(len(l.balancers[domain]))]
	var g *loopGate
	if best {
		for _, a := range l.order {
			if o := l.gates[a]; g == nil || l.expected(o) < l.expected(g) {
				g = o
			}
		}
	} else {
		g = l.gates[b.Steer(l.now, nextOpening(l.flows)).Gate]
	}
	if g == nil {
		return nil, 0
	}
	took := time.Duration(float64(l.work) * g.factor)
	if l.random.IntN(100) < l.longOnes {
		took *= 7
	}
	if l.timed {
		t := &g.peer.Server.RequestTime
		if *t == 0 {
			*t = took
		}
		*t += (took - *t) / 16
	}
	slot := g.earliest()
	g.free[slot] = latest(l.now, g.free[slot]).Add(took)
	g.ends = append(g.ends, g.free[slot])
	completion := g.free[slot].Sub(l.now)
	g.took += completion
	g.count++
	return g, completion
}

func (g *loopGate) earliest() int {
	slot := 0
	for i := range g.free {
		if g.free[i].Before(g.free[slot]) {
			slot = i
		}
	}
	return slot
}

// expected returns the completion time of a request of the usual length at the gate.
func (l *loop) expected(g *loopGate) time.Duration {
	return latest(l.now, g.free[g.earliest()]).Sub(l.now) + time.Duration(float64(l.work)*g.factor)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tick ends requests and delivers the heartbeats that are due.
func (l *loop) tick() {
	l.now = l.now.Add(loopTick)
	l.ticks++
	for i, a := range l.order {
		g := l.gates[a]
		g.ends = slices.DeleteFunc(g.ends, func(end time.Time) bool { return !end.After(l.now) })
		g.average += (float64(len(g.ends)) - g.average) * loopTick.Seconds()
		period := int(loopHeartbeat / loopTick)
		if g.silent || (l.ticks+i)%period != 0 {
			continue
		}
		g.peer.Server.Running, g.peer.Server.AverageRunning = len(g.ends), g.average
		for _, domain := range []pollendocument.DomainName{"a", "b", "c", "d"} {
			for _, b := range l.balancers[domain] {
				b.SetGate(l.now, g.peer)
			}
		}
	}
}

// run places requests at the given rates per second by domain and calls done for each.
func (l *loop) run(d time.Duration, rates func(pollendocument.DomainName) float64, done func(from pollendocument.DomainName, g *loopGate, took time.Duration)) {
	for end := l.now.Add(d); l.now.Before(end); l.tick() {
		start := l.now
		for _, domain := range []pollendocument.DomainName{"a", "b", "c", "d"} {
			if len(l.balancers[domain]) == 0 {
				continue
			}
			mean := rates(domain)
			for at := l.random.ExpFloat64() / mean; at < loopTick.Seconds(); at += l.random.ExpFloat64() / mean {
				l.now = start.Add(time.Duration(at * float64(time.Second)))
				if g, took := l.place(domain, false); done != nil {
					done(domain, g, took)
				}
			}
		}
		l.now = start
	}
}
