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

// When many flows break at once, their callers reopen them together. Without a
// limit on the expected wait, the queue makes every request late. The gate must
// admit the requests that can be answered in time and decline the others until
// a retransmission finds a free slot.
func TestOpeningsThatMissTheObjectiveAreDeclined(t *testing.T) {
	g := newReadyGate(0, 0)
	admitted := 0
	for i := range 100 {
		if sendOpening(g, startTime, uint16(i), 0, 9).Verdict == pollengate.VerdictDeliver {
			admitted++
		}
	}
	if admitted <= slots || admitted > slots+6 {
		t.Fatalf("%d of 100 opening packets admitted at once; 2 slots of 30 ms serve 8 of them within 150 ms", admitted)
	}
	want(t, sendOpening(g, startTime.Add(200*time.Millisecond), 99, 1, 9), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	// Before the last hop, the packet is declined so that another gate is tried.
	want(t, sendOpening(g, startTime, 200, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	// Once the others are answered, a retransmission is admitted as well.
	for i := range 100 {
		answerOpening(g, startTime, uint16(i))
		g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(uint16(i)), ACK: true, Sequence: 501, Size: 10})
	}
	want(t, sendOpening(g, startTime.Add(600*time.Millisecond), 99, 2, 9), pollengate.VerdictDeliver, "")
}

// Under a wave of requests some wait for a slot. If the gate took that wait for the
// time of a request, it would expect every further wait to be longer, decline
// requests that it could serve in time, and leave them to late retransmissions. In
// every burst it must admit the requests that are answered within the objective less
// the two request times that it keeps in reserve.
func TestQueueDoesNotShrinkTheQueue(t *testing.T) {
	g := newReadyGate(0, 0)
	const (
		service   = 30 * time.Millisecond
		objective = 150 * time.Millisecond
	)
	least := slots * int((objective-2*service)/service)
	burst := func(now time.Time, first int) (admitted []uint16) {
		for i := range 20 {
			port := uint16(first + i)
			if sendOpening(g, now, port, 0, 9).Verdict == pollengate.VerdictDeliver {
				answerOpening(g, now, port)
				sendPacket(g, now, port, pollenlink.KindPass, 501, 10)
				admitted = append(admitted, port)
			}
		}
		return admitted
	}
	now := startTime
	for round := range 10 {
		admitted := burst(now, 100*round)
		if len(admitted) < least {
			t.Fatalf("burst %d: %d requests admitted; want at least %d", round, len(admitted), least)
		}
		for i, port := range admitted {
			at := now.Add(time.Duration(i/slots+1) * service)
			g.HandleServerPacket(at, &pollenpacket.Packet{Flow: flow(port), ACK: true, Sequence: 501, Size: 10})
		}
		now = now.Add(time.Second)
		g.HandleReport(now, report(pollenpeer.ServerReady, uint64(round+2)))
	}
}

// After an outage, requests that waited for its end are already late. If they
// took the free slots, new requests would be late too. The gate must decline
// them for as long as it has recently declined new requests.
func TestLateRequestsYieldToNewOnes(t *testing.T) {
	g := newReadyGate(0, 0)
	for i := range slots {
		sendOpening(g, startTime, uint16(i), 0, 0)
	}
	// A new request that another gate declined for its load is declined here too.
	want(t, sendOpening(g, startTime, 50, 0, 1), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	answerOpening(g, startTime, 0)
	g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(0), ACK: true, Sequence: 501, Size: 10})
	soon := startTime.Add(49 * time.Millisecond)
	want(t, sendOpening(g, soon, 51, 1, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	want(t, sendOpening(g, soon, 52, 0, 0), pollengate.VerdictDeliver, "")
	answerOpening(g, soon, 52)
	g.HandleServerPacket(soon, &pollenpacket.Packet{Flow: flow(52), ACK: true, Sequence: 501, Size: 10})
	// No new request was declined for the overload period of 50 ms.
	want(t, sendOpening(g, startTime.Add(50*time.Millisecond), 53, 1, 0), pollengate.VerdictDeliver, "")
}

// A server may report that it is ready while it answers every request with a
// failure or a reset. The gate must detect the failures from the responses, avoid
// the server, and try it again later.
func TestFailingServerIsAvoided(t *testing.T) {
	g := newReadyGate(0, 0)
	answer := func(now time.Time, port uint16, p pollenpacket.Packet) {
		sendOpening(g, now, port, 0, 9)
		answerOpening(g, now, port)
		sendPacket(g, now, port, pollenlink.KindPass, 501, 10)
		p.Flow, p.ACK, p.Sequence = flow(port), true, 501
		g.HandleServerPacket(now, &p)
	}
	// wantAdmitted opens a flow that the server then resets, so that it occupies no
	// slot.
	wantAdmitted := func(now time.Time, port uint16, hops uint8) {
		t.Helper()
		want(t, sendOpening(g, now, port, 0, hops), pollengate.VerdictDeliver, "")
		g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(port), ACK: true, RST: true})
	}
	for i := range uint16(3) {
		answer(startTime, i, pollenpacket.Packet{Size: 10, ServerError: true})
	}
	wantAdmitted(startTime, 100, 0)
	answer(startTime, 4, pollenpacket.Packet{Size: 10, ServerError: true})
	if !g.Server(startTime).Failing {
		t.Fatal("server does not count as failing after four failures in a row")
	}
	want(t, sendOpening(g, startTime, 101, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalBackendFailed)
	// On the last hop, the gates tried before have declined the packet too.
	wantAdmitted(startTime, 102, 2)
	// There were no further responses, so the server is tried again.
	wantAdmitted(startTime.Add(time.Second), 103, 0)
	later := startTime.Add(10 * time.Second)
	g.HandleReport(later, report(pollenpeer.ServerReady, 2))
	for i := range uint16(4) {
		answer(later, 200+i, pollenpacket.Packet{RST: true})
	}
	want(t, sendOpening(g, later, 300, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalBackendFailed)
	for i := range uint16(8) {
		answer(later, 400+i, pollenpacket.Packet{Size: 10})
	}
	wantAdmitted(later, 500, 0)
}

// A server that has just started would be overloaded by its normal share of
// flows. A server with a cold rate of 4 requests per second must not get more
// than its bound in any second.
func TestColdServerStaysWithinItsRate(t *testing.T) {
	g := newReadyGate(4, 10*time.Second)
	bound := 4*1.5 + 5
	var admitted []time.Time
	for i := range 1000 {
		now := startTime.Add(time.Duration(i) * 2 * time.Millisecond)
		if sendOpening(g, now, uint16(i), 0, 9).Verdict == pollengate.VerdictDeliver {
			answerOpening(g, now, uint16(i))
			sendPacket(g, now, uint16(i), pollenlink.KindPass, 501, 10)
			g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(uint16(i)), ACK: true, Sequence: 501, Size: 10})
			admitted = append(admitted, now)
		}
	}
	for i := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at.Sub(admitted[i]) < time.Second {
				n++
			}
		}
		if float64(n) > bound {
			t.Fatalf("%d flows admitted within a second; the bound is %g", n, bound)
		}
	}
	if len(admitted) == 0 {
		t.Fatal("no flow was admitted to a cold server")
	}
}

// If the document declares no cold rate, a server that reports a cold start must
// get flows without a rate limit.
func TestNoLimitWithoutColdRate(t *testing.T) {
	g := newReadyGate(0, 10*time.Second)
	for i := range 10 {
		want(t, sendOpening(g, startTime, uint16(i), 0, 9), pollengate.VerdictDeliver, "")
		answerOpening(g, startTime, uint16(i))
		sendPacket(g, startTime, uint16(i), pollenlink.KindPass, 501, 10)
		g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(uint16(i)), ACK: true, Sequence: 501, Size: 10})
	}
}

// A gate that was paused finds opening packets in its socket whose retransmissions may
// have opened the flow elsewhere by now. It must not reset them, however long the queue.
func TestOpeningReadAfterPause(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  pollengate.Verdict
	}{
		"no pause": {0, pollengate.VerdictReset},
		"pause":    {3500 * time.Millisecond, pollengate.VerdictDecline},
	} {
		t.Run(name, func(t *testing.T) {
			g := newReadyGate(0, 0)
			now := startTime
			// The requests of many open flows fill the queue beyond the timeout.
			for i := range uint16(150) {
				sendOpening(g, now, i, 0, 9)
				answerOpening(g, now, i)
				g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(i), ACK: true, Sequence: 501, Size: 10})
			}
			for i := range uint16(150) {
				sendPacket(g, now, i, pollenlink.KindPass, 511, 10)
			}
			g.Sweep(now)
			now = now.Add(c.pause)
			g.HandleReport(now, report(pollenpeer.ServerReady, 2))
			if d := sendOpening(g, now, 999, 0, 9); d.Verdict != c.want {
				t.Fatalf("decision %+v; want verdict %s", d, c.want)
			}
		})
	}
}
