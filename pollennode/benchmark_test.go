package pollennode_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollennode"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

const (
	relaySenders = 2
	relayRun     = time.Second
	relayRounds  = 3
)

func listen(tb testing.TB) (*net.UDPConn, netip.AddrPort) {
	tb.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		tb.Fatal(err)
	}
	_ = conn.SetReadBuffer(8 << 20)
	tb.Cleanup(func() { _ = conn.Close() })
	return conn, local(conn)
}

func local(conn *net.UDPConn) netip.AddrPort {
	udp, _ := conn.LocalAddr().(*net.UDPAddr)
	return udp.AddrPort()
}

// free returns an address that nothing is bound to.
func free(tb testing.TB) netip.AddrPort {
	tb.Helper()
	conn, address := listen(tb)
	_ = conn.Close()
	return address
}

// startBalancer runs a balancer that knows one route and, as its gate, the
// address.
func startBalancer(tb testing.TB, gate, service netip.AddrPort) netip.AddrPort {
	tb.Helper()
	s := pollennode.Settings{
		Name: "balancer", Domain: "a", Node: free(tb), Callers: free(tb), CallerPort: 1,
		Level: logrus.PanicLevel, Format: pollenpacket.Plain{},
	}
	process, balancer, err := pollennode.NewBalancerProcess(time.Now(), s)
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = process.Run() }()
	view := pollenview.NewView()
	view.Revision = 1
	view.Declared = pollendocument.Declaration{Version: 1, Routes: []pollendocument.Route{{
		Name: "feed", Address: service, Kind: pollendocument.RouteSafe, Timeout: time.Second,
		Shares: []pollendocument.Share{{Service: "rings", Weight: 1}},
	}}}
	update := pollenview.Update{Full: view}
	now := time.Now()
	balancer.HandleMessage(now, gate, pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
	beat := pollenpeer.Heartbeat{Peer: pollenpeer.Peer{
		Address: gate, Role: pollenpeer.RoleGate, Domain: "a", Incarnation: 1, Sequence: 1,
		Server: pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Slots: 1},
	}}
	balancer.HandleMessage(now, gate, pollenlink.KindHeartbeat, pollenwire.Marshal(&beat, pollenwire.MapPeerHeartbeat))
	return s.Callers
}

// BenchmarkRelayRatio reports the packets a second of a balancer as a share of
// those of a bare relay in the same run.
func BenchmarkRelayRatio(b *testing.B) {
	gate, gateAddress := listen(b)
	sink, sinkAddress := listen(b)
	bare, bareAddress := listen(b)
	flow := pollenpacket.Flow{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.51.100.1:443"),
	}
	callers := startBalancer(b, gateAddress, flow.Service)
	go relayBare(bare, sinkAddress)
	opening := pollenpacket.AppendPlain(nil, &pollenpacket.Packet{Flow: flow, SYN: true}, false, nil)
	packet := pollenpacket.AppendPlain(nil, &pollenpacket.Packet{Flow: flow, ACK: true}, false, make([]byte, 1200))
	conn, _ := listen(b)
	if _, err := conn.WriteToUDPAddrPort(opening, callers); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var balancer, plain float64
		for range relayRounds {
			plain += rate(b, bareAddress, sink, packet)
			balancer += rate(b, callers, gate, packet)
		}
		b.ReportMetric(balancer/plain, "ratio")
		b.ReportMetric(balancer/relayRounds, "packets/s")
		b.ReportMetric(plain/relayRounds, "bare-packets/s")
	}
}

func relayBare(conn *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, pollenlink.BufferSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		_, _ = conn.WriteToUDPAddrPort(buffer[:n], to)
	}
}

// rate sends as fast as it can and returns the packets a second that reach the
// sink.
func rate(b *testing.B, to netip.AddrPort, sink *net.UDPConn, packet []byte) float64 {
	b.Helper()
	var stop atomic.Bool
	for range relaySenders {
		conn, _ := listen(b)
		go func() {
			for !stop.Load() {
				_, _ = conn.WriteToUDPAddrPort(packet, to)
			}
		}()
	}
	defer stop.Store(true)
	buffer := make([]byte, pollenlink.BufferSize)
	const warmUp = 200 * time.Millisecond
	count(sink, buffer, warmUp)
	return float64(count(sink, buffer, relayRun)) / relayRun.Seconds()
}

func count(sink *net.UDPConn, buffer []byte, d time.Duration) int {
	end := time.Now().Add(d)
	n := 0
	for time.Now().Before(end) {
		_ = sink.SetReadDeadline(end)
		if _, _, err := sink.ReadFromUDPAddrPort(buffer); err == nil {
			n++
		}
	}
	return n
}
