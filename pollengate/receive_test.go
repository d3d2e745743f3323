package pollengate_test

import (
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

// newUploadGate returns a ready Gate whose only route is an upload route.
func newUploadGate(coldRate float64, cold time.Duration, connectionLimit int) *pollengate.Gate {
	g := newReadyGate(coldRate, cold)
	v := view(2, coldRate)
	v.Declared.Routes[0].Kind = pollendocument.RouteUpload
	v.Declared.Routes[0].Objective, v.Declared.Routes[0].Timeout = 800*time.Millisecond, 4*time.Second
	v.Declared.Pools[0].ConnectionLimit = connectionLimit
	g.SetView(v)
	return g
}

const uploadPayload = 1200

// sendUpload passes data of a request that starts at the given position of the caller's stream.
func sendUpload(g *pollengate.Gate, now time.Time, port uint16, position, size int) {
	h := pollenlink.Header{Kind: pollenlink.KindPass, Revision: 2}
	g.HandleCallerPacket(now, balancer, &h, &pollenpacket.Packet{
		Flow: flow(port), ACK: true, Sequence: uint32(101 + position), Acknowledged: 501, Size: size,
	})
}

func answerUpload(g *pollengate.Gate, now time.Time, port uint16) {
	g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(port), ACK: true, Sequence: 501, Size: 10})
}

// Load pattern: uploads of 40,000 bytes over links that take a second for each, to a
// server that runs each in 5 ms. If a request took a slot from its first packet, the gate
// would decline further uploads although its server is idle, and would take the time of
// the transfer for that of the request.
func TestSlowUploadsTakeNoSlot(t *testing.T) {
	g := newUploadGate(0, 0, 0)
	const uploads = 40
	now := startTime
	for port := range uint16(uploads) {
		now = now.Add(10 * time.Millisecond)
		want(t, sendOpening(g, now, port, 0, 0), pollengate.VerdictDeliver, "")
		answerOpening(g, now, port)
		sendUpload(g, now, port, 0, uploadPayload)
	}
	if s := g.Server(now); s.Running != 0 || s.Flows != uploads {
		t.Fatalf("%d requests running on %d flows while all are being received; want 0 on %d", s.Running, s.Flows, uploads)
	}
	now = now.Add(time.Second)
	g.HandleReport(now, report(pollenpeer.ServerReady, 2))
	for port := range uint16(uploads) {
		for position := uploadPayload; position < 40_000; position += uploadPayload {
			sendUpload(g, now, port, position, min(uploadPayload, 40_000-position))
		}
		if s := g.Server(now); s.Running != 1 {
			t.Fatalf("%d requests running after the last packet of one; want 1", s.Running)
		}
		now = now.Add(5 * time.Millisecond)
		answerUpload(g, now, port)
	}
	if s := g.Server(now); s.Running != 0 || s.RequestTime > 10*time.Millisecond {
		t.Fatalf("%d requests running after their responses, request time %s; want 0 and about 5 ms", s.Running, s.RequestTime)
	}
}

// A packet of the request is lost and arrives last. A request must not run before its
// data is complete, must run then, and must run once if packets arrive twice.
func TestUploadWithGap(t *testing.T) {
	for name, c := range map[string]struct {
		// packets lists the packets by their index; the last of 17 is a short one.
		packets []int
		running int
	}{
		"in order":                 {[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 1},
		"first missing":            {[]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 0},
		"first last":               {[]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 0}, 1},
		"two gaps, one filled":     {[]int{0, 2, 4, 16, 15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 1}, 0},
		"two gaps, both filled":    {[]int{0, 2, 4, 16, 15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 1, 3}, 1},
		"end before the beginning": {[]int{16, 0}, 0},
		"duplicates":               {[]int{1, 1, 2, 2, 0, 0, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 16, 3}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newUploadGate(0, 0, 0)
			sendOpening(g, startTime, 1, 0, 0)
			answerOpening(g, startTime, 1)
			for _, i := range c.packets {
				sendUpload(g, startTime, 1, i*uploadPayload, min(uploadPayload, 20_000-i*uploadPayload))
			}
			if s := g.Server(startTime); s.Running != c.running {
				t.Fatalf("%d requests running; want %d", s.Running, c.running)
			}
			answerUpload(g, startTime, 1)
			sendUpload(g, startTime, 1, 16*uploadPayload, 800)
			if s := g.Server(startTime); s.Running != 0 {
				t.Fatalf("%d requests running after the response and a duplicate of the last packet; want 0", s.Running)
			}
		})
	}
}

// The end of a request whose length is a multiple of the payload is known only from its
// response. The next request on the flow must be tracked from there, and a request whose
// end never arrives must not be received forever.
func TestUploadEndedByResponseOrTimeout(t *testing.T) {
	g := newUploadGate(0, 0, 1)
	sendOpening(g, startTime, 1, 0, 0)
	answerOpening(g, startTime, 1)
	sendUpload(g, startTime, 1, 0, uploadPayload)
	// The gate did not see the packet between the two, which the server may have got.
	sendUpload(g, startTime, 1, 2*uploadPayload, uploadPayload)
	// The reason must not make balancers avoid the gate for other routes.
	want(t, sendOpening(g, startTime, 2, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoSlots)
	answerUpload(g, startTime, 1)
	if s := g.Server(startTime); s.Running != 0 || s.RequestTime != 0 {
		t.Fatalf("%d requests running, request time %s; want 0 and none measured", s.Running, s.RequestTime)
	}
	sendUpload(g, startTime, 1, 3*uploadPayload, 100)
	if s := g.Server(startTime); s.Running != 1 {
		t.Fatalf("%d requests running after a second request on the flow; want 1", s.Running)
	}
	answerUpload(g, startTime, 1)
	sendUpload(g, startTime, 1, 3*uploadPayload+100, uploadPayload)
	later := startTime.Add(11 * time.Second)
	g.HandleReport(later, report(pollenpeer.ServerReady, 2))
	g.Sweep(later)
	want(t, sendOpening(g, later, 2, 0, 0), pollengate.VerdictDeliver, "")
}

// A rate-limited cold server must not get more requests than its bound in any second,
// also if uploads that were opened in one second are complete in the next.
func TestReceivedUploadsCountForColdServer(t *testing.T) {
	g := newUploadGate(4, 10*time.Second, 0)
	const bound = 11 // 4 per second times 1.5, plus 5
	var open []uint16
	var started []time.Time
	for i := range 3000 {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		if i%900 == 0 {
			g.HandleReport(now, pollengate.Report{
				Name: "i-1", Service: "rings", State: pollenpeer.ServerReady, Slots: slots, Incarnation: 1, Sequence: uint64(20 + i),
				ColdRemaining: 10 * time.Second,
			})
		}
		if port := uint16(i); sendOpening(g, now, port, 0, 9).Verdict == pollengate.VerdictDeliver {
			answerOpening(g, now, port)
			if i >= 1200 {
				// A short upload, which is complete at once.
				sendUpload(g, now, port, 0, 100)
				answerUpload(g, now, port)
				started = append(started, now)
			} else {
				sendUpload(g, now, port, 0, uploadPayload)
				open = append(open, port)
			}
		}
		// The long uploads are all complete at the same time.
		if i == 1199 {
			for _, port := range open {
				sendUpload(g, now, port, uploadPayload, 100)
				answerUpload(g, now, port)
				started = append(started, now)
			}
		}
	}
	for i := range started {
		n := 0
		for _, at := range started[i:] {
			if at.Sub(started[i]) < time.Second {
				n++
			}
		}
		if n > bound {
			t.Fatalf("%d uploads started within a second; the bound is %d", n, bound)
		}
	}
	if len(started) < 2 {
		t.Fatalf("%d uploads started at a cold server; want several", len(started))
	}
}

// BenchmarkCallerPacket measures the decision on a packet of an open flow by the kind of
// its route. On an upload route, every second packet fills a gap.
func BenchmarkCallerPacket(b *testing.B) {
	for name, g := range map[string]*pollengate.Gate{"safe": newReadyGate(0, 0), "upload": newUploadGate(0, 0, 0)} {
		b.Run(name, func(b *testing.B) {
			sendOpening(g, startTime, 1, 0, 0)
			answerOpening(g, startTime, 1)
			h := pollenlink.Header{Kind: pollenlink.KindPass, Service: pollensteer.ServiceHash("rings"), Revision: 2}
			p := pollenpacket.Packet{Flow: flow(1), ACK: true, Acknowledged: 501, Size: uploadPayload}
			n := uint32(0)
			b.ReportAllocs()
			for b.Loop() {
				p.Sequence = 101 + (n^1)*uploadPayload
				g.HandleCallerPacket(startTime, balancer, &h, &p)
				n++
			}
		})
	}
}
