package pollenlink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// BufferSize is the size in bytes of a buffer for a header and the largest
// packet of a flow that nodes forward.
const BufferSize = 2048

// ReadBufferSize is the size of the kernel's receive buffer in bytes: it covers
// 10 ms at 1,000 Mbit/s.
const ReadBufferSize = 1 << 20

// A Link is a node's socket to other nodes. It is safe for concurrent use.
type Link struct {
	conn *net.UDPConn

	// mu guards lastMessageID and buffer.
	mu            sync.Mutex
	lastMessageID uint32
	buffer        []byte
	// OnSendError is called for each datagram that could not be sent. It must be
	// set before the first datagram is sent.
	OnSendError func(to netip.AddrPort, err error)
}

// A Handler handles received datagrams. It must not retain the slices passed to
// it.
type Handler interface {
	// HandlePacket handles a datagram that concerns one flow. The packet of the
	// flow, or the flow's addresses, start at HeaderSize.
	HandlePacket(now time.Time, from netip.AddrPort, h Header, datagram []byte)
	// HandleMessage handles a complete message.
	HandleMessage(now time.Time, from netip.AddrPort, kind Kind, message []byte)
	// HandleMalformed handles a malformed datagram of size bytes. reason describes
	// what is wrong with it.
	HandleMalformed(now time.Time, from netip.AddrPort, size int, reason string)
	// HandleIncomplete handles the loss of a message: some of its fragments did not
	// arrive in time.
	HandleIncomplete(now time.Time, from netip.AddrPort, m Incomplete)
}

// Open returns a new Link bound to the address. It returns an error if the
// socket cannot be bound or its receive buffer cannot be set.
func Open(address netip.AddrPort) (*Link, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "open UDP socket for other nodes at %s", address)
	}
	if err := conn.SetReadBuffer(ReadBufferSize); err != nil {
		return nil, errors.Wrapf(err, "set read buffer of the UDP socket at %s", address)
	}
	return &Link{conn: conn, buffer: make([]byte, BufferSize), OnSendError: func(netip.AddrPort, error) {}}, nil
}

// Serve passes received datagrams to the handler until the context ends, and
// then returns nil. It closes the socket when the context ends, and returns an
// error if the socket was closed otherwise.
func (l *Link) Serve(ctx context.Context, handler Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	fragments := newReassembler(func(from netip.AddrPort, m Incomplete) { handler.HandleIncomplete(time.Now(), from, m) })
	buffer := make([]byte, BufferSize)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "read from the UDP socket for other nodes")
			}
			// A datagram sent earlier was refused by its receiver; the socket stays
			// usable.
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		h, ok := ReadHeader(buffer[:n])
		switch {
		case !ok:
			handler.HandleMalformed(time.Now(), from, n, "datagram too short or of unknown kind")
		case h.Kind.concernsFlow():
			handler.HandlePacket(time.Now(), from, h, buffer[:n])
		default:
			message, err := fragments.add(time.Now(), from, buffer[:n])
			switch {
			case err != nil:
				handler.HandleMalformed(time.Now(), from, n, err.Error())
			case message != nil:
				handler.HandleMessage(time.Now(), from, h.Kind, message)
			}
		}
	}
}

// SendPacket sends a datagram that starts with a header. It may be lost; errors
// are passed to OnSendError.
func (l *Link) SendPacket(to netip.AddrPort, datagram []byte) {
	if _, err := l.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		l.OnSendError(to, err)
	}
}

// SendMessage sends a message to every address, in several fragments if it is
// larger than one. It may be lost; errors are passed to OnSendError.
func (l *Link) SendMessage(kind Kind, message []byte, to ...netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMessageID++
	split(kind, l.lastMessageID, message, l.buffer, func(datagram []byte) {
		for _, a := range to {
			l.SendPacket(a, datagram)
		}
	})
}

// Address returns the address that the link is bound to.
func (l *Link) Address() netip.AddrPort {
	if udp, ok := l.conn.LocalAddr().(*net.UDPAddr); ok {
		a := udp.AddrPort()
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	return netip.AddrPort{}
}
