package pollenprocess

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenwire"
)

// BufferSize is the size of the buffers for datagrams in bytes, including header
// and trailer.
const BufferSize = 4096

// MaxPacketSize is the size of the largest caller packet that is relayed, in bytes.
const MaxPacketSize = BufferSize - pollenwire.HeaderSize - pollenwire.TrailerSize

// socketBufferSize is the size of the kernel's receive and send buffers that is
// requested, in bytes.
const socketBufferSize = 4 << 20

// A DatagramHandler handles an authenticated datagram. The payload starts at
// buffer[pollenwire.HeaderSize], is size bytes long and is valid until the handler
// returns.
type DatagramHandler func(h *pollenwire.Header, from netip.AddrPort, buffer []byte, size int)

// A Socket exchanges authenticated datagrams with other processes. It is safe for
// concurrent use, except that Handle must be called before Serve.
type Socket struct {
	conn     *net.UDPConn
	batch    batchConn
	sealer   atomic.Pointer[pollenwire.Sealer]
	metrics  *pollenmetric.Set
	buffers  sync.Pool
	handlers map[pollenwire.DatagramKind]DatagramHandler
}

// OpenSocket returns a new Socket bound to the UDP address. It fails when the
// address cannot be bound or the keys are invalid. The first key seals
// datagrams; all keys open them.
func OpenSocket(address netip.AddrPort, keys [][]byte, metrics *pollenmetric.Set) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "open datagram socket")
	}
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	s := &Socket{
		conn: conn, batch: newBatchConn(conn), metrics: metrics,
		buffers:  sync.Pool{New: func() any { b := make([]byte, BufferSize); return &b }},
		handlers: map[pollenwire.DatagramKind]DatagramHandler{},
	}
	if err := s.SetKeys(keys); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// SetKeys replaces the datagram keys. On an error the previous keys stay in use.
func (s *Socket) SetKeys(keys [][]byte) error {
	sealer, err := pollenwire.NewSealer(keys, newNoncePrefix())
	if err != nil {
		return err
	}
	s.sealer.Store(sealer)
	return nil
}

// Handle sets the handler of a kind of datagram. It must be called before Serve.
func (s *Socket) Handle(kind pollenwire.DatagramKind, handler DatagramHandler) {
	s.handlers[kind] = handler
}

// Send copies a payload and sends it to another process. A payload larger than
// MaxPacketSize or a datagram that cannot be sent is counted and dropped.
func (s *Socket) Send(to netip.AddrPort, h *pollenwire.Header, payload []byte) {
	if len(payload) > MaxPacketSize {
		s.metrics.CountRefusal(pollenkernel.RefusalTooLarge)
		return
	}
	b := s.buffers.Get().(*[]byte)
	copy((*b)[pollenwire.HeaderSize:], payload)
	s.SendInPlace(to, h, *b, len(payload))
	s.buffers.Put(b)
}

// SendInPlace sends a payload of size bytes that starts at
// buffer[pollenwire.HeaderSize], without copying it. It overwrites the rest of the
// buffer with header and trailer. A datagram that cannot be sent is counted and
// dropped.
func (s *Socket) SendInPlace(to netip.AddrPort, h *pollenwire.Header, buffer []byte, size int) {
	datagram := s.sealer.Load().Seal(buffer, size, h)
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.metrics.CountEvent(pollenmetric.EventSendFailed, 1)
	}
}

// Serve passes datagrams to the handlers until the context ends, and then closes
// the socket and returns nil. It fails when the socket is closed before that.
func (s *Socket) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, BufferSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "read datagrams")
			}
			continue
		}
		s.dispatch(buffer, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// dispatch opens a datagram and calls the handler of its kind. Datagrams that are
// forged, malformed or of an unknown kind are counted and dropped.
func (s *Socket) dispatch(buffer []byte, n int, from netip.AddrPort) {
	var h pollenwire.Header
	payload, err := s.sealer.Load().Open(buffer[:n], &h)
	if err != nil {
		if errors.Is(err, pollenwire.ErrForged) {
			s.metrics.CountRefusal(pollenkernel.RefusalForged)
		} else {
			s.metrics.CountRefusal(pollenkernel.RefusalMalformed)
		}
		return
	}
	handler, ok := s.handlers[h.Kind]
	if !ok {
		s.metrics.CountRefusal(pollenkernel.RefusalMalformed)
		return
	}
	handler(&h, from, buffer, len(payload))
}
