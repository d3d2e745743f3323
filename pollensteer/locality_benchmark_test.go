package pollensteer_test

import (
	"fmt"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// BenchmarkPlaceByDomain measures the placement of a new flow where the gates are in four failure
// domains, with a recomputation of the shares for every 200,000 flows.
func BenchmarkPlaceByDomain(b *testing.B) {
	for _, n := range []int{65, 5800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoop(loopWork)
			for _, d := range []pollendocument.DomainName{"a", "b", "c", "d"} {
				l.addGates(d, n/4, 1, 2)
			}
			for _, a := range l.order {
				l.gates[a].peer.Server.RequestTime = time.Duration(float64(loopWork) * l.gates[a].factor)
				if l.gates[a].peer.Domain == "a" {
					l.gates[a].peer.Server.AverageRunning = 3
				}
			}
			l.addBalancers("a", 1)
			s := l.balancers["a"][0]
			now, flow := afterGrace, uint32(0)
			b.ReportAllocs()
			for b.Loop() {
				flow++
				if flow%400 == 0 {
					now = now.Add(400 * time.Microsecond)
				}
				s.Steer(now, nextOpening(flow%65536))
			}
		})
	}
}

// BenchmarkForwardByDomain measures the steering of a packet of an open flow, which is counted by
// failure domain.
func BenchmarkForwardByDomain(b *testing.B) {
	l := fourDomains()
	s := l.balancers["a"][0]
	p := nextOpening(1)
	s.Steer(afterGrace, p)
	p.SYN, p.ACK, p.Acknowledged = false, true, 7
	b.ReportAllocs()
	for b.Loop() {
		s.Steer(afterGrace, p)
	}
}

// BenchmarkUpdateShares measures one recomputation of the speeds and the share of a service, which
// takes place at most five times a second.
func BenchmarkUpdateShares(b *testing.B) {
	for _, n := range []int{100, 300, 5800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLoop(loopWork)
			for _, d := range []pollendocument.DomainName{"a", "b", "c", "d"} {
				l.addGates(d, n/4, 1, 2)
			}
			for i, a := range l.order {
				l.gates[a].peer.Server.RequestTime = time.Duration(float64(loopWork) * (1 + float64(i*7919%n)/float64(n)))
			}
			l.addBalancers("a", 1)
			s, now := l.balancers["a"][0], afterGrace
			s.SetGateKnowledge(now, time.Hour, true)
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				s.SpillChanges(now)
			}
		})
	}
}
