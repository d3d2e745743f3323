package pollengateway_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"
)

const (
	relaySenders = 2
	relayPacket  = 1200
	relayRun     = time.Second
)

// BenchmarkRelayRatio reports the packets a second of the balancer as a share
// of those of a bare relay in the same run.
func BenchmarkRelayRatio(b *testing.B) {
	bench := newBench(b)
	caller := listen(b, at(8, 5001))
	bench.exchange(b, caller, []byte("\x40ready"))
	_ = bench.agent.SetReadDeadline(time.Time{})
	bare := listen(b, at(4, 4430))
	sink := listen(b, at(5, 7000))
	go relayBare(bare, at(5, 7000))
	for b.Loop() {
		var balancer, plain float64
		const rounds = 3
		for range rounds {
			plain += rate(b, at(4, 4430), sink)
			balancer += rate(b, bench.service, bench.agent)
		}
		b.ReportMetric(balancer/plain, "ratio")
		b.ReportMetric(balancer/rounds, "packets/s")
		b.ReportMetric(plain/rounds, "bare-packets/s")
	}
}

func relayBare(conn *net.UDPConn, to netip.AddrPort) {
	out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at(4, 0)))
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		_, _ = out.WriteToUDPAddrPort(buffer[:n], to)
	}
}

// rate sends as fast as it can and returns the packets a second that reach the
// sink.
func rate(b *testing.B, to netip.AddrPort, sink *net.UDPConn) float64 {
	b.Helper()
	var stop atomic.Bool
	for range relaySenders {
		conn := listen(b, at(8, 0))
		go func() {
			packet := make([]byte, relayPacket)
			packet[0] = 0x40
			for !stop.Load() {
				_, _ = conn.WriteToUDPAddrPort(packet, to)
			}
		}()
	}
	defer stop.Store(true)
	buffer := make([]byte, 4096)
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
