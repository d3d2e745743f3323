package pollensidecar

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenprocess"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// front ends HTTP/3 for services with http delivery.
type front struct {
	conn      *packetConn
	transport *quic.Transport
	server    *http3.Server

	mu sync.Mutex
	// open holds the connections that have not ended.
	open map[*quic.Conn]struct{}
}

// closeNoError is the HTTP/3 error code H3_NO_ERROR of RFC 9114 section 8.1.
const closeNoError = 0x100

// closeConnections tells every caller that its connection ends here.
func (f *front) closeConnections(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.open {
		go func() { _ = c.CloseWithError(closeNoError, why) }()
	}
}

func (f *front) add(c *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[c] = struct{}{}
}

func (f *front) remove(c *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}

// resetKey derives the key of stateless resets (RFC 9000 section 10.3) from the
// datagram key, which all agents share, so that any agent can tell a caller
// that its flow is gone.
func resetKey(datagram []byte) *quic.StatelessResetKey {
	mac := hmac.New(sha256.New, datagram)
	_, _ = mac.Write([]byte("stateless reset"))
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key
}

// openFront starts the front when the service's delivery calls for one. The
// lock is held.
func (a *Sidecar) openFront(view *pollenview.View) {
	service, _, ok := view.Document.Service(a.self.Service)
	if !ok || service.Delivery != pollendocument.DeliveryHTTP || a.front != nil {
		return
	}
	conn := newPacketConn(a)
	f := &front{conn: conn, open: map[*quic.Conn]struct{}{}, transport: &quic.Transport{
		Conn: conn, StatelessResetKey: resetKey(a.base.Ring.Datagram()[0]),
	}}
	const alive = 15 * time.Second
	listener, err := f.transport.ListenEarly(a.base.Ring.Caller(http3.NextProtoH3), &quic.Config{
		MaxIdleTimeout: service.IdleTimeout, KeepAlivePeriod: alive,
	})
	if err != nil {
		a.base.Log.WithError(err).Error("front cannot be opened")
		return
	}
	f.server = &http3.Server{
		Handler: http.HandlerFunc(a.serveHTTP),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			f.add(c)
			context.AfterFunc(c.Context(), func() {
				f.remove(c)
				a.flowEnded(c.RemoteAddr())
			})
			return ctx
		},
	}
	a.front = f
	go func() { _ = f.server.ServeListener(listener) }()
}

func (a *Sidecar) flowEnded(remote net.Addr) {
	udp, ok := remote.(*net.UDPAddr)
	if !ok {
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.flows != nil {
		a.act(a.flows.EndFlow(time.Now(), udp.AddrPort()))
	}
}

// closeFront tells callers to go elsewhere and waits for their open requests.
func (a *Sidecar) closeFront(ctx context.Context) {
	a.membership.Lock()
	f := a.front
	a.membership.Unlock()
	if f == nil {
		return
	}
	_ = f.server.Shutdown(ctx)
	// Acknowledgements of the last answers are still on their way.
	const linger = 200 * time.Millisecond
	select {
	case <-ctx.Done():
	case <-time.After(linger):
	}
	_ = f.transport.Close()
}

// A packetConn is a net.PacketConn over relayed datagrams.
type packetConn struct {
	agent    *Sidecar
	incoming chan relayedPacket
	buffers  sync.Pool
	closed   chan struct{}
	once     sync.Once
}

type relayedPacket struct {
	buffer *[]byte
	size   int
	caller pollenflow.Key
}

// incomingPackets bounds the packets that wait for the front.
const incomingPackets = 4096

func newPacketConn(a *Sidecar) *packetConn {
	return &packetConn{
		agent: a, incoming: make(chan relayedPacket, incomingPackets), closed: make(chan struct{}),
		buffers: sync.Pool{New: func() any { b := make([]byte, pollenprocess.BufferSize); return &b }},
	}
}

// push hands a caller's packet to the front; a full queue loses it, as a
// network may.
func (c *packetConn) push(payload []byte, caller pollenflow.Key) {
	b := c.buffers.Get().(*[]byte)
	n := copy(*b, payload)
	select {
	case c.incoming <- relayedPacket{buffer: b, size: n, caller: caller}:
	default:
		c.buffers.Put(b)
	}
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.incoming:
		n := copy(b, (*p.buffer)[:p.size])
		c.buffers.Put(p.buffer)
		return n, net.UDPAddrFromAddrPort(p.caller), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok || len(b) > pollenprocess.MaxPacket {
		return 0, errors.Errorf("packet of %d bytes to %s", len(b), to)
	}
	buffer := c.buffers.Get().(*[]byte)
	copy((*buffer)[pollenwire.HeaderSize:], b)
	address := udp.AddrPort()
	c.agent.answer(netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), *buffer, len(b))
	c.buffers.Put(buffer)
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// SetReadBuffer does nothing; the queue has a fixed size.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing; packets are sent at once.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.agent.base.Settings.Address)
}

// SetDeadline implements net.PacketConn. quic-go uses a deadline only to
// interrupt a read when it closes, for which closing the connection serves.
func (c *packetConn) SetDeadline(at time.Time) error {
	if at.IsZero() {
		return nil
	}
	return c.Close()
}

// SetReadDeadline implements net.PacketConn like SetDeadline.
func (c *packetConn) SetReadDeadline(at time.Time) error { return c.SetDeadline(at) }

// SetWriteDeadline implements net.PacketConn and does nothing.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
