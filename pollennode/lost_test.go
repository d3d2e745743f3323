package pollennode_test

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

var (
	gateAddress   = netip.MustParseAddrPort("10.0.1.1:7000")
	serviceOfGate = netip.MustParseAddrPort("198.51.100.1:443")
	gateStart     = time.Unix(1000, 0)
)

// A sentMessage is a message that a resetTransport was given.
type sentMessage struct {
	kind    pollenlink.Kind
	message []byte
	to      netip.AddrPort
}

// A resetTransport records the resets to callers and the messages to other nodes.
type resetTransport struct {
	resets   []pollenpacket.Packet
	messages []sentMessage
}

func (r *resetTransport) SendToNode(netip.AddrPort, []byte) {}
func (r *resetTransport) SendToServer([]byte)               {}
func (r *resetTransport) SendToCaller(_ netip.AddrPort, packet []byte) {
	if p, ok := (pollenpacket.Plain{}).ParseFromServer(packet); ok && p.RST {
		r.resets = append(r.resets, p)
	}
}

func (r *resetTransport) SendMessage(kind pollenlink.Kind, message []byte, to ...netip.AddrPort) {
	for _, a := range to {
		r.messages = append(r.messages, sentMessage{kind: kind, message: message, to: a})
	}
}

// newGate returns a gate with one route, whose server has not reported yet.
func newGate(t *testing.T, now time.Time, transport pollennode.Transport) *pollennode.Gate {
	t.Helper()
	metrics, err := pollenmetric.NewSet("gate", "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	g := pollennode.NewGate(now, pollennode.Settings{
		Domain: "a", Domains: []pollendocument.DomainName{"a", "b"}, Service: "rings", Node: gateAddress, Format: pollenpacket.Plain{},
		Bounds: pollengate.Bounds{ColdFactor: 1.5, ColdSlack: 5, ReportInterval: time.Second},
	}, pollennode.Dependencies{
		Transport: transport, Metrics: metrics, Log: pollenrecord.New(io.Discard, logrus.PanicLevel, nil), Seed: 1, Synchronous: true,
	})
	view := pollenview.NewView()
	view.Revision = 1
	view.Declared = pollendocument.Declaration{Version: 1, Routes: []pollendocument.Route{{
		Name: "feed", Address: serviceOfGate, Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
		Objective: time.Second, Timeout: time.Second,
	}}}
	update := pollenview.Update{Full: view}
	g.HandleMessage(now, serviceOfGate, pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
	return g
}

func serverReport(incarnation int64) pollengate.Report {
	return pollengate.Report{
		Name: "i-1", Service: "rings", State: pollenpeer.ServerReady, Slots: 9, Incarnation: incarnation, Sequence: 9,
	}
}

func portFlow(port uint16) pollenpacket.Flow {
	return pollenpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: serviceOfGate}
}

// openPortFlow opens a flow through the gate, up to the caller's first request.
func openPortFlow(g *pollennode.Gate, now time.Time, port uint16) {
	balancer := netip.MustParseAddrPort("10.0.0.1:7000")
	h := pollenlink.Header{Kind: pollenlink.KindPass, Service: pollensteer.ServiceHash("rings"), Revision: 1}
	packet := func(p pollenpacket.Packet, fromServer bool, payload int) []byte {
		p.Flow = portFlow(port)
		return pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), &p, fromServer, make([]byte, payload))
	}
	g.HandlePacket(now, balancer, h, packet(pollenpacket.Packet{SYN: true, Sequence: 100}, false, 0))
	g.HandleServerPacket(now, packet(pollenpacket.Packet{SYN: true, ACK: true, Sequence: 500, Acknowledged: 101}, true, 0))
	g.HandlePacket(now, balancer, h, packet(pollenpacket.Packet{ACK: true, Sequence: 101, Acknowledged: 501}, false, 10))
	g.HandleServerPacket(now, packet(pollenpacket.Packet{ACK: true, Sequence: 501, Acknowledged: 111}, true, 40))
}

// TestRestartedServerResetsItsFlows guards against callers that learn only by their next
// request that the backend server of their flow has restarted.
func TestRestartedServerResetsItsFlows(t *testing.T) {
	transport := &resetTransport{}
	g := newGate(t, gateStart, transport)
	g.HandleReport(gateStart, serverReport(1))
	openPortFlow(g, gateStart, 7)
	openPortFlow(g, gateStart, 3)
	g.HandleReport(gateStart.Add(time.Second), serverReport(2))
	if len(transport.resets) != 2 || transport.resets[0].Flow != portFlow(3) || transport.resets[1].Flow != portFlow(7) {
		t.Fatalf("resets %+v; want those of ports 3 and 7", transport.resets)
	}
	if at := transport.resets[0].Sequence; at != 541 {
		t.Fatalf("reset at position %d; want 541, up to which the server had sent", at)
	}
}
