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

// fixture runs a gateway with sockets that stand in for a control host and an agent.
type fixture struct {
	service netip.AddrPort
	relay   netip.AddrPort
	agent   *net.UDPConn
	sealer  *pollenwire.Sealer
}

// addressOf returns the address 127.66.0.number:port.
func addressOf(number int, port uint16) netip.AddrPort {
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

func newFixture(tb testing.TB) *fixture {
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
	sealer, err := pollenwire.NewSealer(ring.DatagramKeys(), [6]byte{9})
	if err != nil {
		tb.Fatal(err)
	}
	f := &fixture{service: addressOf(2, 4430), relay: addressOf(2, 7000), agent: listen(tb, addressOf(3, 7000)), sealer: sealer}
	control := listen(tb, addressOf(1, 7000))
	gateway, err := pollengateway.New(time.Now(), &pollensettings.Settings{
		Role: pollensettings.RoleBalancer, Name: "balancer-1", Domain: "celje-a", Address: f.relay,
		ControlHosts: []netip.AddrPort{addressOf(1, 7000)}, Keys: files, LogLevel: pollensettings.LogError,
	})
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = gateway.Run() }()
	f.serveControl(tb, control)
	return f
}

// serveControl answers the gateway's first heartbeat with the whole view.
func (f *fixture) serveControl(tb testing.TB, control *net.UDPConn) {
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
		Name: "rings", Address: f.service, Delivery: pollendocument.DeliveryRelay,
	}}})
	view.Members["rings-1"] = pollenview.Member{
		Name: "rings-1", Role: pollenview.RoleAgent, Incarnation: 1, Service: "rings", Domain: "celje-a",
		Address: addressOf(3, 7000), State: pollendocument.ServerActive,
	}
	view.Revision = 5
	notice := pollenmember.Notice{Revision: 5, FromControlHost: true, Update: pollenview.Update{Full: view}}
	payload := pollenwire.Marshal(&notice, pollenwire.MapNotice)
	f.send(tb, control, from, pollenwire.Header{Kind: pollenwire.DatagramNotice}, payload)
}

// send seals a payload with the fixture's key and sends it from the socket.
func (f *fixture) send(tb testing.TB, conn *net.UDPConn, to netip.AddrPort, h pollenwire.Header, payload []byte) {
	tb.Helper()
	buffer := make([]byte, pollenwire.HeaderSize+len(payload)+pollenwire.TrailerSize)
	copy(buffer[pollenwire.HeaderSize:], payload)
	if _, err := conn.WriteToUDPAddrPort(f.sealer.Seal(buffer, len(payload), &h), to); err != nil {
		tb.Fatal(err)
	}
}

// sendUntilReceived sends the packet to the service address repeatedly until it
// reaches the agent, since the gateway refuses packets before it has a view. It
// returns the header that the agent received.
func (f *fixture) sendUntilReceived(tb testing.TB, caller *net.UDPConn, packet []byte) pollenwire.Header {
	tb.Helper()
	const tries, wait = 100, 50 * time.Millisecond
	buffer := make([]byte, 8192)
	for range tries {
		if _, err := caller.WriteToUDPAddrPort(packet, f.service); err != nil {
			tb.Fatal(err)
		}
		_ = f.agent.SetReadDeadline(time.Now().Add(wait))
		n, _, err := f.agent.ReadFromUDPAddrPort(buffer)
		if err != nil {
			continue
		}
		var h pollenwire.Header
		payload, err := f.sealer.Open(buffer[:n], &h)
		if err == nil && h.Kind == pollenwire.DatagramPacket && string(payload) == string(packet) {
			return h
		}
	}
	tb.Fatal("no packet reached the agent")
	return pollenwire.Header{}
}

// TestRelay guards against a gateway that loses the caller's address, sends the
// answer from another address than the service's, or relays a datagram that was
// sealed with a foreign key. A forged answer is sent before the valid one; only
// the valid one may reach the caller.
func TestRelay(t *testing.T) {
	f := newFixture(t)
	caller := listen(t, addressOf(8, 5000))
	h := f.sendUntilReceived(t, caller, []byte("\x40question"))
	if h.Caller != addressOf(8, 5000) || h.Balancer != f.relay || h.Revision != 5 || h.MayOpenFlow {
		t.Fatalf("unexpected header %+v", h)
	}
	foreignSealer, err := pollenwire.NewSealer([][]byte{make([]byte, 16)}, [6]byte{})
	if err != nil {
		t.Fatal(err)
	}
	forged := *f
	forged.sealer = foreignSealer
	answer := pollenwire.Header{Kind: pollenwire.DatagramAnswer, Service: h.Service, Caller: h.Caller, Revision: 5}
	forged.send(t, f.agent, f.relay, answer, []byte("forged"))
	f.send(t, f.agent, f.relay, answer, []byte("answer"))
	buffer := make([]byte, 100)
	n, from, err := caller.ReadFromUDPAddrPort(buffer)
	if err != nil || string(buffer[:n]) != "answer" || from != f.service {
		t.Fatalf("caller got %q from %s, %v", buffer[:n], from, err)
	}
}
