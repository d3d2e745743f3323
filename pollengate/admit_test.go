package pollengate_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// TestWave replays a wave of callers whose flows broke at once: newcomers that
// can still be in time are taken, those that cannot are left to their copies.
func TestWave(t *testing.T) {
	g := ready(0, 0)
	taken := 0
	for i := range 100 {
		if open(g, begun, uint16(i), 0, 9).Verdict == pollengate.VerdictDeliver {
			taken++
		}
	}
	if taken <= slots || taken > slots+6 {
		t.Fatalf("%d of 100 were taken at once; 2 slots of 30 ms serve 8 of them within 150 ms", taken)
	}
	want(t, open(g, begun.Add(200*time.Millisecond), 99, 1, 9), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	// Before the last hop, another gate is asked.
	want(t, open(g, begun, 200, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	// Once the others were answered, a copy is taken as well.
	for i := range 100 {
		accept(g, begun, uint16(i))
		g.FromServer(begun, &pollenpacket.Packet{Flow: flow(uint16(i)), ACK: true, Sequence: 501, Size: 10})
	}
	want(t, open(g, begun.Add(600*time.Millisecond), 99, 2, 9), pollengate.VerdictDeliver, "")
}

// TestBacklog replays the backlog after an outage: requests that waited it out
// take no slot that newcomers are declined for.
func TestBacklog(t *testing.T) {
	g := ready(0, 0)
	for i := range slots {
		open(g, begun, uint16(i), 0, 0)
	}
	// A newcomer that another gate was too busy for is declined here as well.
	want(t, open(g, begun, 50, 0, 1), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	accept(g, begun, 0)
	g.FromServer(begun, &pollenpacket.Packet{Flow: flow(0), ACK: true, Sequence: 501, Size: 10})
	soon := begun.Add(49 * time.Millisecond)
	want(t, open(g, soon, 51, 1, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	want(t, open(g, soon, 52, 0, 0), pollengate.VerdictDeliver, "")
	accept(g, soon, 52)
	g.FromServer(soon, &pollenpacket.Packet{Flow: flow(52), ACK: true, Sequence: 501, Size: 10})
	// No newcomer was declined for a while.
	want(t, open(g, begun.Add(50*time.Millisecond), 53, 1, 0), pollengate.VerdictDeliver, "")
}

// TestFailingServer has a server answer with failures while it reports that it
// is well.
func TestFailingServer(t *testing.T) {
	g := ready(0, 0)
	answer := func(now time.Time, port uint16, p pollenpacket.Packet) {
		open(g, now, port, 0, 9)
		accept(g, now, port)
		pass(g, now, port, pollenlink.KindPass, 501, 10)
		p.Flow, p.ACK, p.Sequence = flow(port), true, 501
		g.FromServer(now, &p)
	}
	// taken opens a flow that the server then refuses, so that it takes no slot.
	taken := func(now time.Time, port uint16, hops uint8) {
		t.Helper()
		want(t, open(g, now, port, 0, hops), pollengate.VerdictDeliver, "")
		g.FromServer(now, &pollenpacket.Packet{Flow: flow(port), ACK: true, RST: true})
	}
	for i := range uint16(3) {
		answer(begun, i, pollenpacket.Packet{Size: 10, ServerError: true})
	}
	taken(begun, 100, 0)
	answer(begun, 4, pollenpacket.Packet{Size: 10, ServerError: true})
	if !g.Server(begun).Failing {
		t.Fatal("four failures in a row; the server is not taken for failing")
	}
	want(t, open(g, begun, 101, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalBackendFailed)
	// The gates before were no better.
	taken(begun, 102, 2)
	// Nothing was answered since: the server is tried again.
	taken(begun.Add(time.Second), 103, 0)
	later := begun.Add(10 * time.Second)
	g.Report(later, report(pollenpeer.ServerReady, 2))
	for i := range uint16(4) {
		answer(later, 200+i, pollenpacket.Packet{RST: true})
	}
	want(t, open(g, later, 300, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalBackendFailed)
	for i := range uint16(8) {
		answer(later, 400+i, pollenpacket.Packet{Size: 10})
	}
	taken(later, 500, 0)
}

// TestColdRate replays a cold return: a server that bears 4 requests a second
// gets no more than its bound in any second.
func TestColdRate(t *testing.T) {
	g := ready(4, 10*time.Second)
	bound := 4*1.5 + 5
	var taken []time.Time
	for i := range 1000 {
		now := begun.Add(time.Duration(i) * 2 * time.Millisecond)
		if open(g, now, uint16(i), 0, 9).Verdict == pollengate.VerdictDeliver {
			accept(g, now, uint16(i))
			pass(g, now, uint16(i), pollenlink.KindPass, 501, 10)
			g.FromServer(now, &pollenpacket.Packet{Flow: flow(uint16(i)), ACK: true, Sequence: 501, Size: 10})
			taken = append(taken, now)
		}
	}
	for i := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(taken[i]) < time.Second {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d flows within a second; the bound is %g", n, bound)
		}
	}
	if len(taken) == 0 {
		t.Fatal("a cold server got nothing at all")
	}
}

func TestNoColdRateHoldsToNothing(t *testing.T) {
	g := ready(0, 10*time.Second)
	for i := range 10 {
		want(t, open(g, begun, uint16(i), 0, 9), pollengate.VerdictDeliver, "")
		accept(g, begun, uint16(i))
		pass(g, begun, uint16(i), pollenlink.KindPass, 501, 10)
		g.FromServer(begun, &pollenpacket.Packet{Flow: flow(uint16(i)), ACK: true, Sequence: 501, Size: 10})
	}
}
