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
	begun    = time.Unix(1000, 0)
	balancer = netip.MustParseAddrPort("10.0.0.1:7000")
	feed     = netip.MustParseAddrPort("198.51.100.1:443")
	slots    = 2
)

func view(revision pollenview.Revision, coldRate float64, emptied ...pollendocument.DomainName) *pollenview.View {
	v := pollenview.NewView()
	v.Revision = revision
	v.Evacuated = emptied
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

// ready returns a Gate whose backend server takes flows.
func ready(coldRate float64, cold time.Duration) *pollengate.Gate {
	g := pollengate.New(begun, pollengate.Config{
		Domain: "a", Service: "rings",
		Bounds: pollengate.Bounds{ColdFactor: 1.5, ColdSlack: 5, ReportInterval: time.Second},
	})
	g.SetView(view(1, coldRate))
	r := report(pollenpeer.ServerReady, 1)
	r.ColdRemaining = cold
	g.Report(begun, r)
	return g
}

func flow(port uint16) pollenpacket.Flow {
	return pollenpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: feed}
}

// open passes a caller's opening packet that was tried at so many gates before.
func open(g *pollengate.Gate, now time.Time, port uint16, copies uint32, hops uint8) pollengate.Decision {
	h := pollenlink.Header{Kind: pollenlink.KindPass, Hops: hops, Service: pollensteer.ServiceHash("rings"), Revision: 1}
	return g.FromNode(now, balancer, &h, &pollenpacket.Packet{Flow: flow(port), SYN: true, Sequence: 100, Acknowledged: copies})
}

// pass passes a caller's later packet.
func pass(g *pollengate.Gate, now time.Time, port uint16, kind pollenlink.Kind, acknowledged uint32, size int) pollengate.Decision {
	h := pollenlink.Header{Kind: kind, Revision: 1}
	p := pollenpacket.Packet{Flow: flow(port), ACK: true, Sequence: 101, Acknowledged: acknowledged, Size: size}
	return g.FromNode(now, balancer, &h, &p)
}

// accept lets the backend server answer an opening packet with sequence 500.
func accept(g *pollengate.Gate, now time.Time, port uint16) {
	g.FromServer(now, &pollenpacket.Packet{Flow: flow(port), SYN: true, ACK: true, Sequence: 500, Acknowledged: 101})
}

func want(t *testing.T, d pollengate.Decision, verdict pollengate.Verdict, why pollenkernel.Refusal) {
	t.Helper()
	if d.Verdict != verdict || d.Reason != why {
		t.Fatalf("decision %+v; want %s for %q", d, verdict, why)
	}
}

func TestOpeningNeedsAReadyServer(t *testing.T) {
	g := pollengate.New(begun, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	g.SetView(view(1, 0))
	want(t, open(g, begun, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNotReady)
	g.Report(begun, report(pollenpeer.ServerReady, 1))
	want(t, open(g, begun, 1, 0, 0), pollengate.VerdictDeliver, "")
	// From the report on that it drains, it gets nothing new.
	g.Report(begun, report(pollenpeer.ServerDraining, 2))
	want(t, open(g, begun, 2, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalDraining)
	accept(g, begun, 1)
	want(t, pass(g, begun, 1, pollenlink.KindPass, 501, 10), pollengate.VerdictDeliver, "")
}

func TestSilentServerGetsNoOpening(t *testing.T) {
	g := ready(0, 0)
	want(t, open(g, begun.Add(3100*time.Millisecond), 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalServerSilent)
	g.Report(begun.Add(3200*time.Millisecond), report(pollenpeer.ServerReady, 2))
	want(t, open(g, begun.Add(3200*time.Millisecond), 1, 0, 0), pollengate.VerdictDeliver, "")
}

// TestUnansweredOpenings has a server stop answering between two reports.
func TestUnansweredOpenings(t *testing.T) {
	g := ready(0, 0)
	for i := range 4 {
		open(g, begun.Add(time.Duration(i)*110*time.Millisecond), uint16(i), 0, 9)
	}
	want(t, open(g, begun.Add(450*time.Millisecond), 9, 0, 9), pollengate.VerdictDecline, pollenkernel.RefusalServerSilent)
}

func TestEmptiedDomainAndDroppedRoute(t *testing.T) {
	g := ready(0, 0)
	g.SetView(view(2, 0, "a"))
	want(t, open(g, begun, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalDomainOut)
	v := view(3, 0)
	v.Declared.Routes = nil
	g.SetView(v)
	want(t, open(g, begun, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoRoute)
	g.SetView(view(2, 0))
	want(t, open(g, begun, 1, 0, 0), pollengate.VerdictDecline, pollenkernel.RefusalNoRoute)
}

// TestNewerViewOfTheBalancer has a gate lag behind a route that was just added.
func TestNewerViewOfTheBalancer(t *testing.T) {
	g := ready(0, 0)
	h := pollenlink.Header{Kind: pollenlink.KindPass, Service: pollensteer.ServiceHash("rings"), Revision: 2}
	p := pollenpacket.Packet{Flow: flow(1), SYN: true}
	p.Flow.Service = netip.MustParseAddrPort("198.51.100.1:8443")
	want(t, g.FromNode(begun, balancer, &h, &p), pollengate.VerdictDeliver, "")
	h.Service = pollensteer.ServiceHash("sheets")
	want(t, g.FromNode(begun, balancer, &h, &p), pollengate.VerdictDecline, pollenkernel.RefusalWrongService)
}

// TestCopyOpenedElsewhere has a caller take the answer that another backend
// server gave to a copy: this gate must not claim the flow.
func TestCopyOpenedElsewhere(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not yet answered": false} {
		g := ready(0, 0)
		open(g, begun, 1, 0, 0)
		if answered {
			accept(g, begun, 1)
		}
		d := pass(g, begun, 1, pollenlink.KindSearch, 9001, 10)
		if d.Verdict != pollengate.VerdictAbsent || d.Held {
			t.Errorf("%s: searched: %+v; want absent", name, d)
		}
		open(g, begun, 2, 0, 0)
		if answered {
			accept(g, begun, 2)
		}
		want(t, pass(g, begun, 2, pollenlink.KindPass, 9001, 10), pollengate.VerdictAbsent, pollenkernel.RefusalUnknownFlow)
	}
}

// TestGateStartedWithItsServer tells the return of power, after which no older
// flow is left, from the restart of a gate alone.
func TestGateStartedWithItsServer(t *testing.T) {
	for name, c := range map[string]struct {
		cold time.Duration
		at   time.Duration
		want pollengate.Verdict
	}{
		"together":              {1950 * time.Millisecond, 20 * time.Millisecond, pollengate.VerdictAbsent},
		"server later":          {1990 * time.Millisecond, 500 * time.Millisecond, pollengate.VerdictAbsent},
		"server before":         {1900 * time.Millisecond, 0, pollengate.VerdictUnsure},
		"server long before":    {100 * time.Millisecond, 20 * time.Millisecond, pollengate.VerdictUnsure},
		"server is not cold":    {0, 20 * time.Millisecond, pollengate.VerdictUnsure},
		"longer than it may be": {2100 * time.Millisecond, 20 * time.Millisecond, pollengate.VerdictUnsure},
	} {
		g := pollengate.New(begun, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
		v := view(1, 0)
		v.Declared.Pools[0].ColdDuration = 2 * time.Second
		g.SetView(v)
		r := report(pollenpeer.ServerReady, 3)
		r.ColdRemaining = c.cold
		g.Report(begun.Add(c.at), r)
		if d := g.Query(begun.Add(c.at), flow(1), 7); d.Verdict != c.want {
			t.Errorf("%s: %s; want %s", name, d.Verdict, c.want)
		}
	}
}

// TestRestartedGate takes over a backend server with open flows.
func TestRestartedGate(t *testing.T) {
	g := ready(0, 0)
	want(t, pass(g, begun, 1, pollenlink.KindPass, 77, 10), pollengate.VerdictDeliver, "")
	want(t, pass(g, begun, 2, pollenlink.KindSearch, 77, 10), pollengate.VerdictDeliver, "")
	// The server holds flow 1 and does not hold flow 2.
	want(t, g.FromServer(begun, &pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 77, Size: 5}), pollengate.VerdictCaller, "")
	if d := pass(g, begun, 1, pollenlink.KindSearch, 77, 10); d.Verdict != pollengate.VerdictDeliver || !d.Held {
		t.Fatalf("flow that the server holds: %+v", d)
	}
	returned := pollenpacket.Packet{Flow: flow(2), ACK: true, Returned: true}
	if d := g.FromServer(begun, &returned); d.Verdict != pollengate.VerdictAbsent || d.Balancer != balancer {
		t.Fatalf("searched packet came back: %+v", d)
	}
	returned.Mark = 1
	want(t, g.FromServer(begun, &returned), pollengate.VerdictAbsent, pollenkernel.RefusalUnknownFlow)
	// Long after its start, it knows every flow.
	want(t, pass(g, begun.Add(70*time.Second), 3, pollenlink.KindSearch, 77, 10), pollengate.VerdictAbsent, pollenkernel.RefusalUnknownFlow)
}

// TestServerResetsAnUnknownFlow has a server answer a packet of a flow that it
// does not hold with a reset, after a search or after an opening packet that was
// lost on its way here; the caller must not get it.
func TestServerResetsAnUnknownFlow(t *testing.T) {
	g := ready(0, 0)
	for _, kind := range []pollenlink.Kind{pollenlink.KindSearch, pollenlink.KindPass} {
		want(t, pass(g, begun, 1, kind, 77, 10), pollengate.VerdictDeliver, "")
		reset := pollenpacket.Packet{Flow: flow(1), RST: true, ACK: true, Sequence: 77}
		if d := g.FromServer(begun, &reset); d.Verdict != pollengate.VerdictAbsent || d.Balancer != balancer {
			t.Fatalf("%s: reset of a flow that is not known here: %+v", kind, d)
		}
		want(t, g.FromServer(begun, &reset), pollengate.VerdictDrop, pollenkernel.RefusalUnknownFlow)
	}
	open(g, begun, 2, 0, 0)
	accept(g, begun, 2)
	want(t, g.FromServer(begun, &pollenpacket.Packet{Flow: flow(2), RST: true}), pollengate.VerdictCaller, "")
}

func TestQueries(t *testing.T) {
	g := ready(0, 0)
	open(g, begun, 1, 0, 0)
	accept(g, begun, 1)
	if d := g.Query(begun, flow(1), 501); !d.Held {
		t.Fatalf("flow that is held: %+v", d)
	}
	if d := g.Query(begun, flow(1), 9001); d.Held || d.Verdict != pollengate.VerdictAbsent {
		t.Fatalf("flow that its caller opened elsewhere: %+v", d)
	}
	if d := g.Query(begun, flow(2), 501); d.Verdict != pollengate.VerdictUnsure {
		t.Fatalf("flow that a restarted gate has not seen: %+v", d)
	}
}

// TestGateSinceTheFirstReport knows that it has seen every flow.
func TestGateSinceTheFirstReport(t *testing.T) {
	g := pollengate.New(begun, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	g.SetView(view(1, 0))
	r := report(pollenpeer.ServerReady, 1)
	r.Sequence = 1
	g.Report(begun, r)
	if d := g.Query(begun, flow(2), 501); d.Verdict != pollengate.VerdictAbsent {
		t.Fatalf("flow that was never opened: %+v", d)
	}
}

// TestGateWithoutServer stands beside a server that did not come back after a
// power loss: it must not keep searches open for ever.
func TestGateWithoutServer(t *testing.T) {
	g := pollengate.New(begun, pollengate.Config{Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ReportInterval: time.Second}})
	g.SetView(view(1, 0))
	want(t, pass(g, begun.Add(time.Second), 1, pollenlink.KindSearch, 77, 10), pollengate.VerdictDeliver, "")
	want(t, pass(g, begun.Add(2*time.Second), 1, pollenlink.KindSearch, 77, 10), pollengate.VerdictAbsent, pollenkernel.RefusalUnknownFlow)
}

func TestFullServerReturnsTheOpening(t *testing.T) {
	g := ready(0, 0)
	open(g, begun, 1, 0, 0)
	p := pollenpacket.Packet{Flow: flow(1), SYN: true, Returned: true, Mark: 1}
	want(t, g.FromServer(begun, &p), pollengate.VerdictDecline, pollenkernel.RefusalConnectionLimit)
	if s := g.Server(begun); s.Running != 0 {
		t.Fatalf("%d requests running after the server returned the only one", s.Running)
	}
}

func TestReports(t *testing.T) {
	g := ready(0, 0)
	g.Report(begun, report(pollenpeer.ServerReady, 5))
	stale := report(pollenpeer.ServerDraining, 4)
	if g.Report(begun, stale) {
		t.Fatal("a report that was overtaken is taken")
	}
	earlier := report(pollenpeer.ServerDraining, 9)
	earlier.Incarnation = 0
	if g.Report(begun, earlier) {
		t.Fatal("a report of an earlier start is taken")
	}
	other := report(pollenpeer.ServerReady, 9)
	other.Service = "sheets"
	if g.Report(begun, other) {
		t.Fatal("a report of another service is taken")
	}
	again := report(pollenpeer.ServerReady, 1)
	again.Incarnation = 2
	open(g, begun, 1, 0, 0)
	if !g.Report(begun, again) || g.Server(begun).Flows != 0 {
		t.Fatal("flows of the earlier start are kept")
	}
}

func BenchmarkDeliver(b *testing.B) {
	g := ready(0, 0)
	open(g, begun, 1, 0, 0)
	accept(g, begun, 1)
	h := pollenlink.Header{Kind: pollenlink.KindPass, Revision: 1}
	p := pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 101, Acknowledged: 501, Size: 10}
	answer := pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 501, Size: 10}
	b.ReportAllocs()
	for b.Loop() {
		g.FromNode(begun, balancer, &h, &p)
		g.FromServer(begun, &answer)
	}
}
