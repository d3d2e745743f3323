package pollennode_test

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenwire"
)

// A slowLink carries a balancer's datagrams to its gates at a rate. It drops those that
// would wait for more than 50 ms. The answers arrive without loss.
type slowLink struct {
	countingTransport
	// rate is in bytes per second, and free is when the link has sent all that waits.
	rate    float64
	now     time.Time
	free    time.Time
	gates   map[netip.AddrPort]*pollennode.Gate
	b       *pollennode.Balancer
	answers []func()
	sent    int
	dropped int
	biggest int
	// reset holds the ports of the callers whose flows were reset.
	reset map[uint16]bool
}

func (l *slowLink) SendToCaller(_ netip.AddrPort, packet []byte) {
	if p, ok := (pollenpacket.Plain{}).ParseFromServer(packet); ok {
		l.reset[p.Flow.Caller.Port()] = true
	}
}

func (l *slowLink) SendToNode(to netip.AddrPort, datagram []byte) {
	size := len(datagram) + 46
	if l.free.Before(l.now) {
		l.free = l.now
	}
	if l.free.Sub(l.now) > 50*time.Millisecond {
		l.dropped++
		return
	}
	l.free = l.free.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	l.sent += size
	l.biggest = max(l.biggest, len(datagram))
	h, _ := pollenlink.ReadHeader(datagram)
	l.gates[to].HandlePacket(l.now, netip.MustParseAddrPort("10.0.0.200:7000"), h, datagram)
}

// An answerTransport carries the answers of one gate.
type answerTransport struct {
	countingTransport
	gate netip.AddrPort
	link *slowLink
}

func (a *answerTransport) SendToNode(_ netip.AddrPort, datagram []byte) {
	h, _ := pollenlink.ReadHeader(datagram)
	a.link.answers = append(a.link.answers, func() { a.link.b.HandlePacket(a.link.now, a.gate, h, datagram) })
}

// TestOldFlowsAreResetAfterPowerLoss guards against callers that wait for seconds after a
// power loss: 150 old flows must be ruled out at each of 64 gates over a link of 2.8 Mbit/s,
// which takes 0.75 MB if each query is a datagram. It uses 0.4 of the link at most, so that
// opening packets arrive.
func TestOldFlowsAreResetAfterPowerLoss(t *testing.T) {
	const gates, flows, rate = 64, 150, 2.8e6
	start := time.Unix(1000, 0)
	link := &slowLink{rate: rate / 8, now: start, gates: map[netip.AddrPort]*pollennode.Gate{}, reset: map[uint16]bool{}}
	b := newBalancer(t, start, pollennode.Settings{Node: netip.MustParseAddrPort("10.0.0.200:7000"), LinkRate: rate}, link)
	link.b = b
	service := netip.MustParseAddrPort("198.51.100.1:443")
	sendRingsView(b, start, service)
	metrics, err := pollenmetric.NewSet("test", "gate", nil)
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= gates; n++ {
		s := pollennode.Settings{Node: probedGate(n), Domain: "a", Service: "rings", FirstStart: true, Format: pollenpacket.Plain{}}
		link.gates[probedGate(n)] = pollennode.NewGate(start, s, pollennode.Dependencies{
			Transport: &answerTransport{gate: probedGate(n), link: link}, Log: pollenrecord.New(io.Discard, logrus.PanicLevel, nil), Metrics: metrics,
		})
	}
	// beat delivers a heartbeat of each gate.
	sequence := uint64(0)
	beat := func() {
		sequence++
		for n := 1; n <= gates; n++ {
			heartbeat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
				Address: probedGate(n), Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: sequence,
				Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 1},
			}}
			b.HandleMessage(link.now, probedGate(n), pollenlink.KindHeartbeat, pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
		}
	}
	var begun time.Time
	done := time.Duration(0)
	for age := time.Duration(0); age < 20*time.Second && done == 0; age += 20 * time.Millisecond {
		link.now = start.Add(age)
		if age%(100*time.Millisecond) == 0 {
			beat()
			b.Tick(link.now)
		}
		b.TickSearches(link.now)
		since := age - 10*time.Second
		switch since {
		case 0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 4600 * time.Millisecond:
			begun = start.Add(10 * time.Second)
			for port := range uint16(flows) {
				if link.reset[port+1] {
					continue
				}
				p := &pollenpacket.Packet{
					Flow: pollenpacket.Flow{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port+1), Service: service},
					ACK:  true, Acknowledged: 7, Sequence: 1,
				}
				b.HandleCallerPacket(link.now, pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, false, nil))
			}
		}
		for len(link.answers) > 0 {
			answer := link.answers[0]
			link.answers = link.answers[1:]
			answer()
		}
		if len(link.reset) >= flows {
			done = link.now.Sub(begun)
		}
	}
	t.Logf("%d resets after %s; %d B sent, %d datagrams dropped, the largest datagram has %d B", len(link.reset), done, link.sent, link.dropped, link.biggest)
	if done == 0 || done > 2*time.Second {
		t.Errorf("%d of %d flows reset, the last after %s; want all within 2 s", len(link.reset), flows, done)
	}
	if limit := rate / 8 * 0.4 * (done.Seconds() + 0.25); float64(link.sent) > limit*1.1 {
		t.Errorf("%d B of queries within %s; want at most %.0f", link.sent, done, limit)
	}
}
