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
	"pollenstep.example/pollenstep/pollenview"
)

var (
	startTime = time.Unix(1000, 0)
	balancer  = netip.MustParseAddrPort("10.0.0.1:7000")
	feed      = netip.MustParseAddrPort("198.51.100.1:443")
	slots     = 2
)

// view returns a view with one route, to the service "rings".
func view(revision pollenview.Revision, coldRate float64, evacuated ...pollendocument.DomainName) *pollenview.View {
	v := pollenview.NewView()
	v.Revision = revision
	v.Evacuated = evacuated
	v.Declared = pollendocument.Declaration{
		Version: uint64(revision),
		Routes: []pollendocument.Route{{
			Name: "feed", Address: feed, Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
			Objective: 150 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		}},
		Pools: []pollendocument.Pool{{Name: "rings", ColdRate: coldRate}},
	}
	return v
}

func report(state pollenpeer.ServerState, sequence uint64) pollengate.Report {
	return pollengate.Report{
		Name: "i-1", Service: "rings", State: state, Slots: slots, Incarnation: 1, Sequence: 10 + sequence,
	}
}

// newReadyGate returns a Gate whose backend server is ready. It started before the
// gate did and may hold flows that the gate has not seen.
func newReadyGate(coldRate float64, cold time.Duration) *pollengate.Gate {
	g := pollengate.New(startTime, pollengate.Config{
		Domain: "a", Service: "rings",
		Bounds: pollengate.Bounds{ColdFactor: 1.5, ColdSlack: 5, ReportInterval: time.Second},
	})
	g.SetView(view(1, coldRate))
	r := report(pollenpeer.ServerReady, 1)
	r.ColdRemaining = cold
	g.HandleReport(startTime, r)
	return g
}

func flow(port uint16) pollenpacket.Flow {
	return pollenpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: feed}
}

// sendOpening passes a caller's opening packet that as many gates as hops have
// declined before.
func sendOpening(g *pollengate.Gate, now time.Time, port uint16, retransmissions uint32, hops uint8) pollengate.Decision {
	h := pollenlink.Header{Kind: pollenlink.KindPass, Hops: hops, Service: pollensteer.ServiceHash("rings"), Revision: 1}
	return g.HandleCallerPacket(now, balancer, &h, &pollenpacket.Packet{Flow: flow(port), SYN: true, Sequence: 100, Acknowledged: retransmissions})
}

// sendPacket passes a caller's packet of an open flow.
func sendPacket(g *pollengate.Gate, now time.Time, port uint16, kind pollenlink.Kind, acknowledged uint32, size int) pollengate.Decision {
	h := pollenlink.Header{Kind: kind, Revision: 1}
	p := pollenpacket.Packet{Flow: flow(port), ACK: true, Sequence: 101, Acknowledged: acknowledged, Size: size}
	return g.HandleCallerPacket(now, balancer, &h, &p)
}

// answerOpening makes the backend server answer an opening packet with sequence
// number 500.
func answerOpening(g *pollengate.Gate, now time.Time, port uint16) {
	g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(port), SYN: true, ACK: true, Sequence: 500, Acknowledged: 101})
}

func want(t *testing.T, d pollengate.Decision, verdict pollengate.Verdict, reason pollenkernel.Refusal) {
	t.Helper()
	if d.Verdict != verdict || d.Reason != reason {
		t.Fatalf("decision %+v; want verdict %s, reason %q", d, verdict, reason)
	}
}

// A server that has not reported yet or that drains must get no new flows, while
// its open flows continue.
func TestOpeningNeedsReadyServer(t *testing.T) {
	g := pollengate.New(startTime, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	g.SetView(view(1, 0))
	want(t, sendOpening(g, startTime, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNotReady)
	g.HandleReport(startTime, report(pollenpeer.ServerReady, 1))
	want(t, sendOpening(g, startTime, 1, 0, 0), pollengate.VerdictDeliver, "")
	// Once it reports that it drains, it gets no new flows.
	g.HandleReport(startTime, report(pollenpeer.ServerDraining, 2))
	want(t, sendOpening(g, startTime, 2, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalDraining)
	answerOpening(g, startTime, 1)
	want(t, sendPacket(g, startTime, 1, pollenlink.KindPass, 501, 10), pollengate.VerdictDeliver, "")
}

// A server that stopped without deregistering is only noticed by its missing
// reports. It must get no new flows after three missing reports, until it reports
// again.
func TestSilentServerGetsNoOpening(t *testing.T) {
	g := newReadyGate(0, 0)
	want(t, sendOpening(g, startTime.Add(3100*time.Millisecond), 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalServerSilent)
	g.HandleReport(startTime.Add(3200*time.Millisecond), report(pollenpeer.ServerReady, 2))
	want(t, sendOpening(g, startTime.Add(3200*time.Millisecond), 1, 0, 0), pollengate.VerdictDeliver, "")
}

// A server that stops answering between two reports would get new flows until
// three reports are missing. Unanswered packets must reveal it earlier.
func TestServerWithUnansweredOpeningsIsSilent(t *testing.T) {
	g := newReadyGate(0, 0)
	for i := range 4 {
		sendOpening(g, startTime.Add(time.Duration(i)*110*time.Millisecond), uint16(i), 0, 9)
	}
	want(t, sendOpening(g, startTime.Add(450*time.Millisecond), 9, 0, 9), pollengate.VerdictDecline, pollenkernel.RefusalServerSilent)
}

// An evacuated failure domain or a removed route must stop new flows at the gate,
// and an older view that arrives late must not bring them back.
func TestEvacuatedDomainAndRemovedRoute(t *testing.T) {
	g := newReadyGate(0, 0)
	g.SetView(view(2, 0, "a"))
	want(t, sendOpening(g, startTime, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalDomainOut)
	v := view(3, 0)
	v.Declared.Routes = nil
	g.SetView(v)
	want(t, sendOpening(g, startTime, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoRoute)
	g.SetView(view(2, 0))
	want(t, sendOpening(g, startTime, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoRoute)
}

// A gate that does not have a new route yet must not decline packets of it if the
// balancer decided by a newer view. Packets of another service are still
// declined.
func TestBalancerWithNewerView(t *testing.T) {
	g := newReadyGate(0, 0)
	h := pollenlink.Header{Kind: pollenlink.KindPass, Service: pollensteer.ServiceHash("rings"), Revision: 2}
	p := pollenpacket.Packet{Flow: flow(1), SYN: true}
	p.Flow.Service = netip.MustParseAddrPort("198.51.100.1:8443")
	want(t, g.HandleCallerPacket(startTime, balancer, &h, &p), pollengate.VerdictDeliver, "")
	h.Service = pollensteer.ServiceHash("sheets")
	want(t, g.HandleCallerPacket(startTime, balancer, &h, &p), pollengate.VerdictDecline, pollenkernel.RefusalWrongService)
}

// Retransmissions of an opening packet may reach two backend servers, and the
// caller accepts the answer of the other one. This gate must then report that it
// does not hold the flow, or packets of the flow reach the wrong server.
func TestRetransmissionOpenedElsewhere(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not yet answered": false} {
		g := newReadyGate(0, 0)
		sendOpening(g, startTime, 1, 0, 0)
		if answered {
			answerOpening(g, startTime, 1)
		}
		d := sendPacket(g, startTime, 1, pollenlink.KindSearch, 9001, 10)
		if d.Verdict != pollengate.VerdictNotFound || d.Held {
			t.Errorf("%s: searched: %+v; want not found", name, d)
		}
		sendOpening(g, startTime, 2, 0, 0)
		if answered {
			answerOpening(g, startTime, 2)
		}
		want(t, sendPacket(g, startTime, 2, pollenlink.KindPass, 9001, 10), pollengate.VerdictNotFound, pollenkernel.RefusalUnknownFlow)
	}
}

// After a power loss, the gate and its backend server start together and no older
// flow exists, so the gate must answer searches at once. If only the gate
// restarted, the server may hold older flows, and the gate must not rule them
// out.
func TestGateStartedWithItsServer(t *testing.T) {
	for name, c := range map[string]struct {
		cold time.Duration
		at   time.Duration
		want pollengate.Verdict
	}{
		"together":              {1950 * time.Millisecond, 20 * time.Millisecond, pollengate.VerdictNotFound},
		"server later":          {1990 * time.Millisecond, 500 * time.Millisecond, pollengate.VerdictNotFound},
		"server before":         {1900 * time.Millisecond, 0, pollengate.VerdictNeedsPacket},
		"server long before":    {100 * time.Millisecond, 20 * time.Millisecond, pollengate.VerdictNeedsPacket},
		"server is not cold":    {0, 20 * time.Millisecond, pollengate.VerdictNeedsPacket},
		"longer than cold time": {2100 * time.Millisecond, 20 * time.Millisecond, pollengate.VerdictNeedsPacket},
	} {
		g := pollengate.New(startTime, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
		v := view(1, 0)
		v.Declared.Pools[0].ColdDuration = 2 * time.Second
		g.SetView(v)
		r := report(pollenpeer.ServerReady, 3)
		r.ColdRemaining = c.cold
		g.HandleReport(startTime.Add(c.at), r)
		if d := g.Query(startTime.Add(c.at), flow(1), 7); d.Verdict != c.want {
			t.Errorf("%s: %s; want %s", name, d.Verdict, c.want)
		}
	}
}

// A restarted gate knows none of the flows that its backend server holds. It must
// deliver packets of unseen flows, learn from the server's response whether the
// server holds the flow, and notify the balancer accordingly.
func TestRestartedGateProbesServer(t *testing.T) {
	g := newReadyGate(0, 0)
	want(t, sendPacket(g, startTime, 1, pollenlink.KindPass, 77, 10), pollengate.VerdictDeliver, "")
	want(t, sendPacket(g, startTime, 2, pollenlink.KindSearch, 77, 10), pollengate.VerdictDeliver, "")
	// The server holds flow 1 and does not hold flow 2.
	want(t, g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 77, Size: 5}), pollengate.VerdictCaller, "")
	if d := sendPacket(g, startTime, 1, pollenlink.KindSearch, 77, 10); d.Verdict != pollengate.VerdictDeliver || !d.Held {
		t.Fatalf("flow that the server holds: %+v; want delivered and held", d)
	}
	returned := pollenpacket.Packet{Flow: flow(2), ACK: true, Returned: true}
	if d := g.HandleServerPacket(startTime, &returned); d.Verdict != pollengate.VerdictNotFound || d.Balancer != balancer {
		t.Fatalf("returned packet of a search: %+v; want not found, for balancer 10.0.0.1:7000", d)
	}
	returned.Mark = 1
	want(t, g.HandleServerPacket(startTime, &returned), pollengate.VerdictNotFound, pollenkernel.RefusalUnknownFlow)
	// Long after its start, the gate has seen every flow.
	want(t, sendPacket(g, startTime.Add(70*time.Second), 3, pollenlink.KindSearch, 77, 10), pollengate.VerdictNotFound, pollenkernel.RefusalUnknownFlow)
}

// A server resets a flow that it does not hold if it gets a packet of it, after a
// search or after an opening packet that was lost on its way to this gate. The
// caller must not get that reset, since another server may hold the flow.
func TestServerResetsUnknownFlow(t *testing.T) {
	g := newReadyGate(0, 0)
	for _, kind := range []pollenlink.Kind{pollenlink.KindSearch, pollenlink.KindPass} {
		want(t, sendPacket(g, startTime, 1, kind, 77, 10), pollengate.VerdictDeliver, "")
		reset := pollenpacket.Packet{Flow: flow(1), RST: true, ACK: true, Sequence: 77}
		if d := g.HandleServerPacket(startTime, &reset); d.Verdict != pollengate.VerdictNotFound || d.Balancer != balancer {
			t.Fatalf("%s: reset of a flow that the server does not hold: %+v; want not found, for balancer 10.0.0.1:7000", kind, d)
		}
		want(t, g.HandleServerPacket(startTime, &reset), pollengate.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	}
	sendOpening(g, startTime, 2, 0, 0)
	answerOpening(g, startTime, 2)
	want(t, g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(2), RST: true}), pollengate.VerdictCaller, "")
}

// A wrong answer to a query sends the packets of a flow to a server that does not
// hold it, or ends a flow that a server does hold.
func TestQueries(t *testing.T) {
	g := newReadyGate(0, 0)
	sendOpening(g, startTime, 1, 0, 0)
	answerOpening(g, startTime, 1)
	if d := g.Query(startTime, flow(1), 501); !d.Held {
		t.Fatalf("query for a flow that the gate holds: %+v; want held", d)
	}
	if d := g.Query(startTime, flow(1), 9001); d.Held || d.Verdict != pollengate.VerdictNotFound {
		t.Fatalf("query for a flow that its caller opened elsewhere: %+v; want not found", d)
	}
	if d := g.Query(startTime, flow(2), 501); d.Verdict != pollengate.VerdictNeedsPacket {
		t.Fatalf("query for a flow that a restarted gate has not seen: %+v; want that it needs a packet", d)
	}
}

// A gate that received the first report of its server has seen every flow since.
// It must answer searches at once instead of waiting for flows it has not seen.
func TestGateWithFirstReportHasSeenAllFlows(t *testing.T) {
	g := pollengate.New(startTime, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	g.SetView(view(1, 0))
	r := report(pollenpeer.ServerReady, 1)
	r.Sequence = 1
	g.HandleReport(startTime, r)
	if d := g.Query(startTime, flow(2), 501); d.Verdict != pollengate.VerdictNotFound {
		t.Fatalf("query for a flow that was never opened: %+v; want not found", d)
	}
}

// If the backend server does not return after a power loss, the gate gets no
// answer to probes. It must report flows as not found after two report
// intervals, or searches for them never end.
func TestGateWithoutServer(t *testing.T) {
	g := pollengate.New(startTime, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	g.SetView(view(1, 0))
	want(t, sendPacket(g, startTime.Add(time.Second), 1, pollenlink.KindSearch, 77, 10), pollengate.VerdictDeliver, "")
	want(t, sendPacket(g, startTime.Add(2*time.Second), 1, pollenlink.KindSearch, 77, 10), pollengate.VerdictNotFound, pollenkernel.RefusalUnknownFlow)
}

// A server at its connection limit returns opening packets. The gate must decline
// them and must not count their requests as running.
func TestFullServerReturnsOpening(t *testing.T) {
	g := newReadyGate(0, 0)
	sendOpening(g, startTime, 1, 0, 0)
	p := pollenpacket.Packet{Flow: flow(1), SYN: true, Returned: true, Mark: 1}
	want(t, g.HandleServerPacket(startTime, &p), pollengate.VerdictDecline, pollenkernel.RefusalConnectionLimit)
	if s := g.Server(startTime); s.Running != 0 {
		t.Fatalf("%d requests running after the server returned the only one; want 0", s.Running)
	}
}

// Reports may be overtaken on their way or come from an earlier start of the
// server or from another service. Only a new start of the server clears the
// flows, which the earlier one held.
func TestOutdatedReportsAreIgnored(t *testing.T) {
	g := newReadyGate(0, 0)
	g.HandleReport(startTime, report(pollenpeer.ServerReady, 5))
	stale := report(pollenpeer.ServerDraining, 4)
	if g.HandleReport(startTime, stale) {
		t.Fatal("report 14 accepted after report 15")
	}
	earlier := report(pollenpeer.ServerDraining, 9)
	earlier.Incarnation = 0
	if g.HandleReport(startTime, earlier) {
		t.Fatal("report of incarnation 0 accepted after one of incarnation 1")
	}
	other := report(pollenpeer.ServerReady, 9)
	other.Service = "sheets"
	if g.HandleReport(startTime, other) {
		t.Fatal("report of service \"sheets\" accepted by a gate of \"rings\"")
	}
	again := report(pollenpeer.ServerReady, 1)
	again.Incarnation = 2
	sendOpening(g, startTime, 1, 0, 0)
	if !g.HandleReport(startTime, again) || g.Server(startTime).Flows != 0 {
		t.Fatal("report of a new incarnation ignored, or flows of the earlier incarnation still tracked")
	}
}

func BenchmarkDeliver(b *testing.B) {
	g := newReadyGate(0, 0)
	sendOpening(g, startTime, 1, 0, 0)
	answerOpening(g, startTime, 1)
	h := pollenlink.Header{Kind: pollenlink.KindPass, Revision: 1}
	p := pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 101, Acknowledged: 501, Size: 10}
	answer := pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 501, Size: 10}
	b.ReportAllocs()
	for b.Loop() {
		g.HandleCallerPacket(startTime, balancer, &h, &p)
		g.HandleServerPacket(startTime, &answer)
	}
}
