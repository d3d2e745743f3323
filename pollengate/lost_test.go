package pollengate_test

import (
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// openFlow opens a flow, of which the caller acknowledges the server's first position.
func openFlow(g *pollengate.Gate, now time.Time, port uint16) {
	sendOpening(g, now, port, 0, 9)
	answerOpening(g, now, port)
	sendPacket(g, now, port, pollenlink.KindPass, 501, 10)
	g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(port), ACK: true, Sequence: 501, Size: 40})
}

// restartReport is the first report of the server's start after that of report.
func restartReport() pollengate.Report {
	r := report(pollenpeer.ServerReady, 1)
	r.Incarnation++
	return r
}

func lostPorts(lost pollengate.LostFlows) (ports []uint16) {
	for i := range lost.Packets {
		ports = append(ports, lost.Packets[i].Flow.Caller.Port())
	}
	return ports
}

// A gate that only forgets the flows of a restarted server leaves their callers to find
// out by their next request, which fails if it must not be repeated. The confirmed
// flows must be returned once, with the position that the server's stream had reached.
func TestFlowsOfPreviousIncarnationAreLost(t *testing.T) {
	g := newReadyGate(0, 0)
	now := startTime.Add(time.Second)
	for _, port := range []uint16{9, 3, 7} {
		openFlow(g, now, port)
	}
	if lost := g.TakeLostFlows(now); len(lost.Packets) != 0 {
		t.Fatalf("lost before the restart: %v", lost)
	}
	g.HandleReport(now, restartReport())
	lost := g.TakeLostFlows(now)
	if !slices.Equal(lostPorts(lost), []uint16{3, 7, 9}) || lost.Before != 1 || lost.After != 2 {
		t.Fatalf("lost flows %+v; want those of ports 3, 7 and 9 of incarnation 1", lost)
	}
	if p := lost.Packets[0]; p.Acknowledged != 541 || !p.ACK || p.Opening() {
		t.Fatalf("packet %+v; want position 541", p)
	}
	if lost = g.TakeLostFlows(now); len(lost.Packets) != 0 {
		t.Fatalf("returned twice: %v", lost)
	}
}

// An opening packet may have reached several gates, and the flow may be open at another
// one, where a reset would break it. Flows without a delivered packet that acknowledges
// this server's stream must not be reset, and neither must flows that have ended, flows
// that the gate knows only from the server's packets, and flows opened again.
func TestUnconfirmedFlowsAreNotLost(t *testing.T) {
	for name, run := range map[string]func(g *pollengate.Gate, now time.Time){
		"opening not answered": func(g *pollengate.Gate, now time.Time) { sendOpening(g, now, 1, 0, 9) },
		"answer not acknowledged": func(g *pollengate.Gate, now time.Time) {
			sendOpening(g, now, 1, 0, 9)
			answerOpening(g, now, 1)
		},
		"retransmission of the opening packet": func(g *pollengate.Gate, now time.Time) {
			sendOpening(g, now, 1, 0, 9)
			answerOpening(g, now, 1)
			sendOpening(g, now, 1, 1, 9)
		},
		"open at another server": func(g *pollengate.Gate, now time.Time) {
			sendOpening(g, now, 1, 0, 9)
			answerOpening(g, now, 1)
			sendPacket(g, now, 1, pollenlink.KindPass, 90_000, 10)
		},
		"only seen from the server": func(g *pollengate.Gate, now time.Time) {
			g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(1), ACK: true, Sequence: 501, Size: 40})
			sendPacket(g, now, 1, pollenlink.KindPass, 541, 10)
		},
		"closed by both ends": func(g *pollengate.Gate, now time.Time) {
			openFlow(g, now, 1)
			h := pollenlink.Header{Kind: pollenlink.KindPass, Revision: 1}
			g.HandleCallerPacket(now, balancer, &h, &pollenpacket.Packet{Flow: flow(1), ACK: true, FIN: true, Sequence: 111, Acknowledged: 541})
			g.HandleServerPacket(now, &pollenpacket.Packet{Flow: flow(1), ACK: true, FIN: true, Sequence: 541})
		},
		"opened again at the new incarnation": func(g *pollengate.Gate, now time.Time) {
			openFlow(g, now, 1)
			g.HandleReport(now, restartReport())
			sendOpening(g, now, 1, 0, 9)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newReadyGate(0, 0)
			now := startTime.Add(time.Second)
			run(g, now)
			g.HandleReport(now, restartReport())
			if lost := g.TakeLostFlows(now); len(lost.Packets) != 0 {
				t.Fatalf("lost flows: %v", lost)
			}
		})
	}
}
