package pollengateway_test

import (
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengateway"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollensettings"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// bench runs a gateway with a stand-in control host and agent.
type bench struct {
	service netip.AddrPort
	relay   netip.AddrPort
	agent   *net.UDPConn
	sealer  *pollenwire.Sealer
}

func at(number int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 66, 0, byte(number)}), port)
}

func listen(tb testing.TB, address netip.AddrPort) *net.UDPConn {
	tb.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		tb.Fatal(err)
	}
	_ = conn.SetReadBuffer(8 << 20)
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

func newBench(tb testing.TB) *bench {
	tb.Helper()
	folder := tb.TempDir()
	if err := pollenkey.Generate(time.Now(), folder, time.Hour, nil, nil); err != nil {
		tb.Fatal(err)
	}
	files := pollenkey.Files{
		Authority:    filepath.Join(folder, pollenkey.AuthorityFile),
		Certificate:  filepath.Join(folder, pollenkey.CertificateFile),
		Key:          filepath.Join(folder, pollenkey.KeyFile),
		DatagramKeys: filepath.Join(folder, pollenkey.DatagramFile),
	}
	ring, err := pollenkey.Load(files)
	if err != nil {
		tb.Fatal(err)
	}
	sealer, err := pollenwire.NewSealer(ring.Datagram(), [6]byte{9})
	if err != nil {
		tb.Fatal(err)
	}
	b := &bench{service: at(2, 4430), relay: at(2, 7000), agent: listen(tb, at(3, 7000)), sealer: sealer}
	control := listen(tb, at(1, 7000))
	gateway, err := pollengateway.New(time.Now(), &pollensettings.Settings{
		Role: pollensettings.RoleBalancer, Name: "balancer-1", Domain: "celje-a", Address: b.relay,
		ControlHosts: []netip.AddrPort{at(1, 7000)}, Keys: files, LogLevel: pollensettings.LogError,
	})
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = gateway.Run() }()
	b.serveControl(tb, control)
	return b
}

// serveControl answers the first heartbeat with the whole view.
func (b *bench) serveControl(tb testing.TB, control *net.UDPConn) {
	tb.Helper()
	buffer := make([]byte, 8192)
	_, from, err := control.ReadFromUDPAddrPort(buffer)
	if err != nil {
		tb.Fatal(err)
	}
	view := pollenview.NewView()
	view.Document.Put(pollendocument.Section{Team: pollendocument.DomainsTeam, Domains: []pollendocument.Domain{
		{Name: "celje-a", State: pollendocument.DomainIn},
	}})
	view.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{
		Name: "rings", Address: b.service, Delivery: pollendocument.DeliveryRelay,
	}}})
	view.Members["rings-1"] = pollenview.Member{
		Name: "rings-1", Role: pollenview.RoleAgent, Incarnation: 1, Service: "rings", Domain: "celje-a",
		Address: at(3, 7000), State: pollendocument.ServerActive,
	}
	view.Revision = 5
	notice := pollenmember.Notice{Revision: 5, FromControlHost: true, Update: pollenview.Update{Full: view}}
	payload := pollenwire.Marshal(&notice, pollenwire.MapNotice)
	b.send(tb, control, from, pollenwire.Header{Kind: pollenwire.DatagramNotice}, payload)
}

func (b *bench) send(tb testing.TB, conn *net.UDPConn, to netip.AddrPort, h pollenwire.Header, payload []byte) {
	tb.Helper()
	buffer := make([]byte, pollenwire.HeaderSize+len(payload)+pollenwire.TrailerSize)
	copy(buffer[pollenwire.HeaderSize:], payload)
	if _, err := conn.WriteToUDPAddrPort(b.sealer.Seal(buffer, len(payload), &h), to); err != nil {
		tb.Fatal(err)
	}
}

// exchange sends packets to the service until one reaches the agent.
func (b *bench) exchange(tb testing.TB, caller *net.UDPConn, packet []byte) pollenwire.Header {
	tb.Helper()
	const tries, wait = 100, 50 * time.Millisecond
	buffer := make([]byte, 8192)
	for range tries {
		if _, err := caller.WriteToUDPAddrPort(packet, b.service); err != nil {
			tb.Fatal(err)
		}
		_ = b.agent.SetReadDeadline(time.Now().Add(wait))
		n, _, err := b.agent.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		var h pollenwire.Header
		payload, err := b.sealer.Open(buffer[:n], &h)
		if err == nil && h.Kind == pollenwire.DatagramPacket && string(payload) == string(packet) {
			return h
		}
	}
	tb.Fatal("no packet reached the agent")
	return pollenwire.Header{}
}

// TestRelay checks that a packet reaches the agent with its caller, that the
// answer reaches the caller from the service address, and that a stranger's
// datagram does not.
func TestRelay(t *testing.T) {
	b := newBench(t)
	caller := listen(t, at(8, 5000))
	h := b.exchange(t, caller, []byte("\x40question"))
	if h.Caller != at(8, 5000) || h.Balancer != b.relay || h.Revision != 5 || h.MayOpenFlow {
		t.Fatalf("header %+v", h)
	}
	stranger, err := pollenwire.NewSealer([][]byte{make([]byte, 16)}, [6]byte{})
	if err != nil {
		t.Fatal(err)
	}
	forged := *b
	forged.sealer = stranger
	answer := pollenwire.Header{Kind: pollenwire.DatagramAnswer, Service: h.Service, Caller: h.Caller, Revision: 5}
	forged.send(t, b.agent, b.relay, answer, []byte("forged"))
	b.send(t, b.agent, b.relay, answer, []byte("answer"))
	buffer := make([]byte, 100)
	n, from, err := caller.ReadFromUDPAddrPort(buffer)
	if err != nil || string(buffer[:n]) != "answer" || from != b.service {
		t.Fatalf("caller got %q from %s, %v", buffer[:n], from, err)
	}
}
