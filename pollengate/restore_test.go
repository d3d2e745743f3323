package pollengate_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// stored returns a checkpoint of report's server with flows at position 541.
func stored(incarnation int64, counter uint64, ports ...uint16) *pollencheckpoint.Checkpoint {
	c := &pollencheckpoint.Checkpoint{Server: "i-1", Incarnation: incarnation, Counter: counter}
	for _, port := range ports {
		c.Flows = append(c.Flows, pollencheckpoint.Flow{Flow: flow(port), Position: 541})
	}
	return c
}

// A checkpoint that contains flows which are not known to be open at this server, or
// which have ended, would have them reset after a restart.
func TestCheckpointHoldsConfirmedFlows(t *testing.T) {
	g := newReadyGate(0, 0)
	openFlow(g, startTime, 2)
	openFlow(g, startTime, 1)
	sendOpening(g, startTime, 3, 0, 9)
	answerOpening(g, startTime, 3)
	openFlow(g, startTime, 4)
	h := pollenlink.Header{Kind: pollenlink.KindPass, Revision: 1}
	g.HandleCallerPacket(startTime, balancer, &h, &pollenpacket.Packet{Flow: flow(4), ACK: true, FIN: true, Sequence: 111, Acknowledged: 541})
	c, ok := g.Checkpoint(startTime)
	if want := stored(1, 0, 1, 2); !ok || c.Server != want.Server || c.Incarnation != 1 || !slices.Equal(c.Flows, want.Flows) {
		t.Fatalf("checkpoint %+v; want %+v", c, want)
	}
}

// After a power loss of the whole host, the flows in the checkpoint are lost with the
// server; their callers must be told, whatever arrives first. Flows of an older, a later
// or a foreign checkpoint, and flows that this gate tracks, must not be reset.
func TestRestoreAfterRestartOfServer(t *testing.T) {
	restarted := restartReport()
	for name, c := range map[string]struct {
		run  func(g *pollengate.Gate)
		want []uint16
	}{
		"checkpoint first": {func(g *pollengate.Gate) {
			g.Restore(startTime, stored(1, 5, 7, 8))
			g.HandleReport(startTime, restarted)
		}, []uint16{7, 8}},
		"report first": {func(g *pollengate.Gate) {
			g.HandleReport(startTime, restarted)
			g.Restore(startTime, stored(1, 5, 7, 8))
		}, []uint16{7, 8}},
		"an older one from the other keeper": {func(g *pollengate.Gate) {
			g.HandleReport(startTime, restarted)
			g.Restore(startTime, stored(1, 5, 7))
			g.Restore(startTime, stored(1, 4, 7, 8))
			g.Restore(startTime, stored(1, 5, 7))
		}, []uint16{7}},
		"lost checkpoint": {func(g *pollengate.Gate) { g.HandleReport(startTime, restarted) }, nil},
		"checkpoint of a later start": {func(g *pollengate.Gate) {
			g.HandleReport(startTime, restarted)
			g.Restore(startTime, stored(9, 5, 7))
		}, nil},
		"port used for a new flow here": {func(g *pollengate.Gate) {
			g.HandleReport(startTime, restarted)
			sendOpening(g, startTime, 7, 0, 9)
			g.Restore(startTime, stored(1, 5, 7, 8))
		}, []uint16{8}},
		"no report": {func(g *pollengate.Gate) { g.Restore(startTime, stored(1, 5, 7)) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRestartedGate()
			c.run(g)
			lost := g.TakeLostFlows(startTime)
			if !slices.Equal(lostPorts(lost), c.want) {
				t.Fatalf("lost flows of ports %v; want %v", lostPorts(lost), c.want)
			}
			if len(lost.Packets) > 0 && (lost.Packets[0].Acknowledged != 541 || lost.Before != 1 || lost.After != 2) {
				t.Fatalf("lost flows %+v", lost)
			}
		})
	}
}

// newRestartedGate returns a gate whose server has not reported yet.
func newRestartedGate() *pollengate.Gate {
	g := pollengate.New(startTime, pollengate.Config{
		Domain: "a", Service: "rings", Bounds: pollengate.Bounds{ColdFactor: 1.5, ColdSlack: 5, ReportInterval: time.Second},
	})
	g.SetView(view(1, 0))
	return g
}

// A gate that has lost only its own memory must answer queries for its flows at once.
// Such flows must not be taken for known ones where they may have ended since: a packet
// far from the position, or a reset of the server, must be handled like that of an
// unknown flow, since the flow may be open at another server.
func TestRestoreAtSameStartOfServer(t *testing.T) {
	restore := func(c *pollencheckpoint.Checkpoint) *pollengate.Gate {
		g := newRestartedGate()
		g.HandleReport(startTime, report(pollenpeer.ServerReady, 1))
		g.Restore(startTime, c)
		return g
	}
	g := restore(stored(1, 5, 7, 8))
	if n := g.TakeRestoredFlows(); n != 2 || len(g.TakeLostFlows(startTime).Packets) != 0 {
		t.Fatalf("%d flows restored", n)
	}
	if !g.Query(startTime, flow(7), 541).Held || g.Query(startTime, flow(9), 541).Held {
		t.Fatal("want the flow of port 7 held, and that of port 9 not")
	}
	if d := g.Query(startTime, flow(8), 541+90_000); d.Held || d.Verdict != pollengate.VerdictNeedsPacket {
		t.Fatalf("query far from the position: %+v", d)
	}
	// The server does not hold the flow and resets it.
	want(t, sendPacket(g, startTime, 7, pollenlink.KindPass, 541, 10), pollengate.VerdictDeliver, "")
	d := g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(7), ACK: true, RST: true, Sequence: 541})
	want(t, d, pollengate.VerdictNotFound, pollenkernel.RefusalUnknownFlow)
	if d.Balancer != balancer {
		t.Fatalf("balancer %s is notified", d.Balancer)
	}
	if s := g.Server(startTime); s.Flows != 0 || s.Running != 0 {
		t.Fatalf("%d flows and %d running requests left", s.Flows, s.Running)
	}
	// The server holds the flow; it is lost with the next start.
	g = restore(stored(1, 5, 7))
	sendPacket(g, startTime, 7, pollenlink.KindPass, 541, 10)
	want(t, g.HandleServerPacket(startTime, &pollenpacket.Packet{Flow: flow(7), ACK: true, Sequence: 541, Size: 9}), pollengate.VerdictCaller, "")
	g.HandleReport(startTime, restartReport())
	if lost := g.TakeLostFlows(startTime); len(lost.Packets) != 1 || lost.Packets[0].Acknowledged != 550 {
		t.Fatalf("lost flows %+v; want position 550", lost)
	}
	// The caller has used its port for a new flow, which opens here.
	g = restore(stored(1, 5, 7))
	sendOpening(g, startTime, 7, 0, 9)
	answerOpening(g, startTime, 7)
	want(t, sendPacket(g, startTime, 7, pollenlink.KindPass, 501, 10), pollengate.VerdictDeliver, "")
	if c, _ := g.Checkpoint(startTime); len(c.Flows) != 1 || c.Flows[0].Position != 501 {
		t.Fatalf("checkpoint %+v; want the new flow", c)
	}
	// Another server has the gate's address, or a flow is tracked already.
	foreign := stored(1, 5, 7)
	foreign.Server = "i-2"
	if n := restore(foreign).TakeRestoredFlows(); n != 0 {
		t.Fatalf("%d flows of another server restored", n)
	}
	g = newReadyGate(0, 0)
	openFlow(g, startTime, 7)
	older := stored(1, 5, 7)
	older.Flows[0].Position = 1
	g.Restore(startTime, older)
	if c, _ := g.Checkpoint(startTime); c.Flows[0].Position != 541 {
		t.Fatalf("a tracked flow was overwritten: %+v", c)
	}
}

// BenchmarkCheckpoint measures how long a gate stops deciding on packets while it builds
// a checkpoint.
func BenchmarkCheckpoint(b *testing.B) {
	for _, flows := range []int{100, 1400} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			g := newReadyGate(0, 0)
			for port := range flows {
				openFlow(g, startTime, uint16(port))
			}
			b.ReportAllocs()
			for b.Loop() {
				if c, _ := g.Checkpoint(startTime); len(c.Flows) != flows {
					b.Fatal(len(c.Flows))
				}
			}
		})
	}
}

// Requests on a restored flow must count whatever the sequence numbers of its caller, or
// the gate takes its server for idle.
func TestRequestsOnRestoredFlowsCount(t *testing.T) {
	for _, sequence := range []uint32{1000, 3_000_000_000} {
		g := newReadyGate(0, 0)
		g.Restore(startTime, stored(1, 5, 7))
		h := pollenlink.Header{Kind: pollenlink.KindPass, Revision: 1}
		p := pollenpacket.Packet{Flow: flow(7), ACK: true, Sequence: sequence, Acknowledged: 541, Size: 100}
		g.HandleCallerPacket(startTime, balancer, &h, &p)
		if s := g.Server(startTime); s.Running != 1 {
			t.Errorf("sequence number %d: %d requests running; want 1", sequence, s.Running)
		}
	}
}

// A delayed report of an earlier start must not discard a checkpoint of the present one.
func TestCheckpointWaitsForItsReport(t *testing.T) {
	g := newReadyGate(0, 0)
	g.Restore(startTime, stored(2, 5, 7))
	later := restartReport()
	later.Incarnation++
	g.HandleReport(startTime, later)
	if lost := g.TakeLostFlows(startTime); !slices.Equal(lostPorts(lost), []uint16{7}) {
		t.Fatalf("lost flows %v; want that of port 7", lostPorts(lost))
	}
}
