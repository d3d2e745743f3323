package pollengate

import (
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenpacket"
)

// LostFlows are flows that the backend server lost when it restarted.
type LostFlows struct {
	// Packets holds a packet to reset for each flow, sorted by flow. Acknowledged is
	// the position that the server's stream had reached.
	Packets []pollenpacket.Packet
	// Before is the incarnation of the backend server that held the flows, and After
	// the one that reports now.
	Before, After int64
}

// confirm records that a caller's packet, which matches the flow, acknowledges the
// stream of this gate's backend server.
func (f *flow) confirm(p *pollenpacket.Packet) {
	f.confirmed = f.confirmed || f.opened && f.answered && p.ACK && !p.RST
}

// lostPacket returns the packet with which a flow is reset whose server's stream had
// reached the position.
func lostPacket(f pollenpacket.Flow, position uint32) pollenpacket.Packet {
	return pollenpacket.Packet{Flow: f, ACK: true, Acknowledged: position}
}

// loseFlows records that the confirmed flows are lost because the backend server has
// restarted with the report r. Flows that are not confirmed may be open at the server
// of another gate, where a reset would break them. The name of the server is not
// compared, since some platforms name each start anew; reports come from the address
// of this gate's server, which the later start has taken over.
func (g *Gate) loseFlows(r Report) {
	for key, f := range g.flows {
		if f.confirmed {
			g.lost.Packets = append(g.lost.Packets, lostPacket(key, f.serverNext))
		}
	}
	g.lost.Before, g.lost.After = g.report.Incarnation, r.Incarnation
}

// TakeLostFlows returns the flows that the backend server has lost since the last call.
// Their callers would otherwise learn of the loss only by their next request, which
// would fail if it must not be repeated. Flows that this gate tracks are left out: their
// callers have opened them again.
func (g *Gate) TakeLostFlows(time.Time) LostFlows {
	lost := g.lost
	g.lost = LostFlows{}
	lost.Packets = slices.DeleteFunc(lost.Packets, func(p pollenpacket.Packet) bool { return g.flows[p.Flow] != nil })
	slices.SortFunc(lost.Packets, func(p, q pollenpacket.Packet) int { return p.Flow.Compare(q.Flow) })
	return lost
}
