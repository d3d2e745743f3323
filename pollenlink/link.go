package pollenlink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// BufferSize holds the header and the largest packet of a flow that nodes
// carry, in bytes.
const BufferSize = 2048

// ReadBuffer is the size that the kernel may hold of what was not read yet, in
// bytes: the packets of 10 ms at 1,000 Mbit/s.
const ReadBufferSize = 1 << 20

// A Link is a node's socket towards other nodes.
type Link struct {
	conn *net.UDPConn

	// mu guards id and buffer.
	mu     sync.Mutex
	id     uint32
	buffer []byte
	// OnLost is called with the error of each datagram that could not be sent.
	OnSendError func(to netip.AddrPort, err error)
}

// A Handler takes what arrives. It must not keep the data.
type Handler interface {
	// TakePacket takes a datagram that concerns one flow. A packet of it, or its
	// ends, lie from HeaderSize on.
	HandlePacket(now time.Time, from netip.AddrPort, h Header, datagram []byte)
	// TakeMessage takes a whole message.
	HandleMessage(now time.Time, from netip.AddrPort, kind Kind, message []byte)
	// TakeGarbage takes a datagram that is none of these, and what is wrong.
	HandleMalformed(now time.Time, from netip.AddrPort, size int, what string)
}

// Open returns a new Link that is bound to the address.
func Open(address netip.AddrPort) (*Link, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "open socket for nodes at %s", address)
	}
	if err := conn.SetReadBuffer(ReadBufferSize); err != nil {
		return nil, errors.Wrapf(err, "set read buffer of %s", address)
	}
	return &Link{conn: conn, buffer: make([]byte, BufferSize), OnSendError: func(netip.AddrPort, error) {}}, nil
}

// Serve passes what arrives to the handler until the context ends.
func (l *Link) Serve(ctx context.Context, handler Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	join := newJoiner()
	buffer := make([]byte, BufferSize)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "read from nodes")
			}
			// An earlier datagram was refused by its receiver.
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		h, ok := ReadHeader(buffer[:n])
		switch {
		case !ok:
			handler.HandleMalformed(time.Now(), from, n, "unknown kind")
		case h.Kind.ofFlow():
			handler.HandlePacket(time.Now(), from, h, buffer[:n])
		default:
			message, err := join.add(time.Now(), from, buffer[:n])
			switch {
			case err != nil:
				handler.HandleMalformed(time.Now(), from, n, err.Error())
			case message != nil:
				handler.HandleMessage(time.Now(), from, h.Kind, message)
			}
		}
	}
}

// SendPacket sends a datagram that begins with a header.
func (l *Link) SendPacket(to netip.AddrPort, datagram []byte) {
	if _, err := l.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		l.OnSendError(to, err)
	}
}

// SendMessage sends a message to every address, in fragments if it is large. It
// may be lost.
func (l *Link) SendMessage(kind Kind, message []byte, to ...netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id++
	split(kind, l.id, message, l.buffer, func(datagram []byte) {
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
