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
	packetSize   = 1200
	measureTime  = time.Second
)

// BenchmarkRelayRatio reports the packet rate of the balancer as a ratio to that of
// a plain UDP relay in the same run.
func BenchmarkRelayRatio(b *testing.B) {
	f := newFixture(b)
	caller := listen(b, addressOf(8, 5001))
	// The first byte 0x40 marks a QUIC packet that does not open a flow.
	f.sendUntilReceived(b, caller, []byte("\x40ready"))
	_ = f.agent.SetReadDeadline(time.Time{})
	plainConn := listen(b, addressOf(4, 4430))
	sink := listen(b, addressOf(5, 7000))
	go relayPlain(plainConn, addressOf(5, 7000))
	for b.Loop() {
		var balancerRate, plainRate float64
		const rounds = 3
		for range rounds {
			plainRate += measureRate(b, addressOf(4, 4430), sink)
			balancerRate += measureRate(b, f.service, f.agent)
		}
		b.ReportMetric(balancerRate/plainRate, "ratio")
		b.ReportMetric(balancerRate/rounds, "packets/s")
		b.ReportMetric(plainRate/rounds, "bare-packets/s")
	}
}

// relayPlain copies each packet to the address with one system call per read and
// write, until the socket is closed.
func relayPlain(conn *net.UDPConn, to netip.AddrPort) {
	out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addressOf(4, 0)))
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

// measureRate sends packets from relaySenders sockets without pause and returns the
// packets per second that reach the sink.
func measureRate(b *testing.B, to netip.AddrPort, sink *net.UDPConn) float64 {
	b.Helper()
	var stop atomic.Bool
	for range relaySenders {
		conn := listen(b, addressOf(8, 0))
		go func() {
			packet := make([]byte, packetSize)
			packet[0] = 0x40
			for !stop.Load() {
				_, _ = conn.WriteToUDPAddrPort(packet, to)
			}
		}()
	}
	defer stop.Store(true)
	buffer := make([]byte, 4096)
	const warmUp = 200 * time.Millisecond
	countPackets(sink, buffer, warmUp)
	return float64(countPackets(sink, buffer, measureTime)) / measureTime.Seconds()
}

// countPackets returns the number of packets that the sink receives within d.
func countPackets(sink *net.UDPConn, buffer []byte, d time.Duration) int {
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
