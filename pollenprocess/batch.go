package pollenprocess

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenwire"
)

// BatchSize is the maximum number of datagrams per system call.
const BatchSize = 32

// maxReadBuffers limits the number of buffers of all batch readers together.
const maxReadBuffers = 2048

// ReadBatchSize returns the number of packets that each reader reads at once, given
// the number of readers. It is at least one and at most BatchSize. The buffers of
// all readers together take at most 8 MiB, or one buffer for each reader.
func ReadBatchSize(readers int) int {
	return min(BatchSize, max(1, maxReadBuffers/max(1, readers)))
}

// batchConn reads and writes several datagrams with one system call.
type batchConn interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

func newBatchConn(conn *net.UDPConn) batchConn {
	local, ok := conn.LocalAddr().(*net.UDPAddr)
	if ok && local.IP.To4() == nil {
		return ipv6.NewPacketConn(conn)
	}
	return ipv4.NewPacketConn(conn)
}

// A BatchReader reads callers' packets and leaves space for the header and the
// trailer around each. It is not safe for concurrent use.
type BatchReader struct {
	conn     batchConn
	messages []ipv4.Message
	buffers  [][]byte
}

// NewBatchReader returns a new BatchReader that reads up to size packets at once
// from the socket.
func NewBatchReader(conn *net.UDPConn, size int) *BatchReader {
	r := &BatchReader{conn: newBatchConn(conn)}
	for range size {
		buffer := make([]byte, BufferSize+1)
		r.buffers = append(r.buffers, buffer)
		r.messages = append(r.messages, ipv4.Message{
			Buffers: [][]byte{buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+MaxPacketSize+1]},
		})
	}
	return r
}

// Read waits for packets and returns their number. They are valid until the next
// Read.
func (r *BatchReader) Read() (int, error) { return r.conn.ReadBatch(r.messages, 0) }

// Packet returns the packet at the index: its buffer, in which the payload
// starts at pollenwire.HeaderSize, the payload's size in bytes and the sender. A
// size above MaxPacketSize marks a packet that is too large to relay.
func (r *BatchReader) Packet(index int) (buffer []byte, size int, from netip.AddrPort) {
	m := &r.messages[index]
	if udp, ok := m.Addr.(*net.UDPAddr); ok {
		a := udp.AddrPort()
		from = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	return r.buffers[index], m.N, from
}

// A BatchWriter collects sealed datagrams and sends them with one system call. It
// is not safe for concurrent use.
type BatchWriter struct {
	socket   *Socket
	messages []ipv4.Message
	used     int
}

// NewBatchWriter returns a new BatchWriter that sends up to size datagrams at
// once from the socket.
func (s *Socket) NewBatchWriter(size int) *BatchWriter {
	w := &BatchWriter{socket: s, messages: make([]ipv4.Message, size)}
	for i := range w.messages {
		w.messages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// Add seals a payload of size bytes that starts at buffer[pollenwire.HeaderSize].
// The buffer must not change until Flush. Add panics when more datagrams are
// added than the writer's size.
func (w *BatchWriter) Add(to *net.UDPAddr, h *pollenwire.Header, buffer []byte, size int) {
	m := &w.messages[w.used]
	m.Buffers[0] = w.socket.sealer.Load().Seal(buffer, size, h)
	m.Addr = to
	w.used++
}

// Flush sends the added datagrams. A datagram that cannot be sent is counted and
// dropped.
func (w *BatchWriter) Flush() {
	for sent := 0; sent < w.used; {
		n, err := w.socket.batch.WriteBatch(w.messages[sent:w.used], 0)
		if err != nil || n == 0 {
			w.socket.metrics.CountEvent(pollenmetric.EventSendFailed, 1)
			n = max(n, 1)
		}
		sent += n
	}
	w.used = 0
}
