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

// frontend terminates HTTP/3 for services with http delivery.
type frontend struct {
	conn      *packetConn
	transport *quic.Transport
	server    *http3.Server

	mu sync.Mutex
	// connections holds the connections that have not ended.
	connections map[*quic.Conn]struct{}
}

// h3NoError is the HTTP/3 error code H3_NO_ERROR of RFC 9114 section 8.1.
const h3NoError = 0x100

// closeConnections closes every caller's connection with h3NoError and sends the
// reason.
func (f *frontend) closeConnections(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		go func() { _ = c.CloseWithError(h3NoError, reason) }()
	}
}

func (f *frontend) add(c *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connections[c] = struct{}{}
}

func (f *frontend) remove(c *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
}

// statelessResetKey derives the key of stateless resets (RFC 9000 section 10.3)
// from the datagram key, which all agents share, so that any agent can reset a
// connection that no agent holds any more.
func statelessResetKey(datagramKey []byte) *quic.StatelessResetKey {
	mac := hmac.New(sha256.New, datagramKey)
	_, _ = mac.Write([]byte("stateless reset"))
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key
}

// openFrontend starts the HTTP/3 server if the service uses http delivery and the
// server is not running yet. The lock is held.
func (a *Sidecar) openFrontend(view *pollenview.View) {
	service, _, ok := view.Document.Service(a.self.Service)
	if !ok || service.Delivery != pollendocument.DeliveryHTTP || a.frontend != nil {
		return
	}
	conn := newPacketConn(a)
	f := &frontend{conn: conn, connections: map[*quic.Conn]struct{}{}, transport: &quic.Transport{
		Conn: conn, StatelessResetKey: statelessResetKey(a.base.Keyring.DatagramKeys()[0]),
	}}
	const keepAlivePeriod = 15 * time.Second
	listener, err := f.transport.ListenEarly(a.base.Keyring.CallerTLS(http3.NextProtoH3), &quic.Config{
		MaxIdleTimeout: service.IdleTimeout, KeepAlivePeriod: keepAlivePeriod,
	})
	if err != nil {
		a.base.Log.WithError(err).Error("cannot open HTTP/3 listener")
		return
	}
	f.server = &http3.Server{
		Handler: http.HandlerFunc(a.serveHTTP),
		ConnContext: func(ctx context.Context, c *quic.Conn) context.Context {
			f.add(c)
			context.AfterFunc(c.Context(), func() {
				f.remove(c)
				a.handleConnectionClosed(c.RemoteAddr())
			})
			return ctx
		},
	}
	a.frontend = f
	go func() { _ = f.server.ServeListener(listener) }()
}

// handleConnectionClosed ends the flow of an HTTP/3 connection that has ended.
func (a *Sidecar) handleConnectionClosed(remote net.Addr) {
	udp, ok := remote.(*net.UDPAddr)
	if !ok {
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.flows != nil {
		a.execute(a.flows.EndFlow(time.Now(), udp.AddrPort()))
	}
}

// closeFrontend sends GOAWAY to the callers, waits for their open requests until
// the context ends, and closes the HTTP/3 server.
func (a *Sidecar) closeFrontend(ctx context.Context) {
	a.membership.Lock()
	f := a.frontend
	a.membership.Unlock()
	if f == nil {
		return
	}
	_ = f.server.Shutdown(ctx)
	// Keep the transport open until the last answers have been acknowledged.
	const lingerTime = 200 * time.Millisecond
	select {
	case <-ctx.Done():
	case <-time.After(lingerTime):
	}
	_ = f.transport.Close()
}

// A packetConn is a net.PacketConn that receives callers' packets from balancers
// and sends answers through them. It is safe for concurrent use.
type packetConn struct {
	agent    *Sidecar
	incoming chan relayedPacket
	buffers  sync.Pool
	closed   chan struct{}
	once     sync.Once
}

// relayedPacket is a caller's packet; its payload is the first size bytes of the
// buffer.
type relayedPacket struct {
	buffer *[]byte
	size   int
	caller pollenflow.Key
}

// incomingQueueSize is the maximum number of packets that wait to be read.
const incomingQueueSize = 4096

func newPacketConn(a *Sidecar) *packetConn {
	return &packetConn{
		agent: a, incoming: make(chan relayedPacket, incomingQueueSize), closed: make(chan struct{}),
		buffers: sync.Pool{New: func() any { b := make([]byte, pollenprocess.BufferSize); return &b }},
	}
}

// enqueue queues a copy of a caller's packet for ReadFrom. It drops the packet
// when the queue is full; QUIC recovers from that as from any packet loss.
func (c *packetConn) enqueue(payload []byte, caller pollenflow.Key) {
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
	if !ok || len(b) > pollenprocess.MaxPacketSize {
		return 0, errors.Errorf("write packet of %d bytes to %s: want a UDP address and at most %d bytes", len(b), to, pollenprocess.MaxPacketSize)
	}
	buffer := c.buffers.Get().(*[]byte)
	copy((*buffer)[pollenwire.HeaderSize:], b)
	address := udp.AddrPort()
	c.agent.sendAnswer(netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), *buffer, len(b))
	c.buffers.Put(buffer)
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// SetReadBuffer does nothing, as the queue has a fixed size.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, as packets are sent immediately.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(c.agent.base.Settings.Address)
}

// SetDeadline implements net.PacketConn. Any deadline closes the connection:
// quic-go sets one only to interrupt a read while it closes.
func (c *packetConn) SetDeadline(at time.Time) error {
	if at.IsZero() {
		return nil
	}
	return c.Close()
}

// SetReadDeadline implements net.PacketConn in the same way as SetDeadline.
func (c *packetConn) SetReadDeadline(at time.Time) error { return c.SetDeadline(at) }

// SetWriteDeadline implements net.PacketConn and does nothing.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
