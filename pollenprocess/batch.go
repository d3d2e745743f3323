package pollenprocess

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenwire"
)

// BatchSize is the most datagrams that one system call reads or writes.
const BatchSize = 32

// readBuffers is the number of buffers of all batch readers together.
const readBuffers = 2048

// BatchFor returns the size of each batch when there are so many readers, so
// that their buffers take 8 MiB at most, or one buffer each.
func BatchFor(readers int) int {
	return min(BatchSize, max(1, readBuffers/max(1, readers)))
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

// A BatchReader reads callers' packets with room for header and trailer around
// each. It is not safe for concurrent use.
type BatchReader struct {
	conn     batchConn
	messages []ipv4.Message
	buffers  [][]byte
}

// NewBatchReader returns a new BatchReader of the socket that reads up to size
// packets at once.
func NewBatchReader(conn *net.UDPConn, size int) *BatchReader {
	r := &BatchReader{conn: newBatchConn(conn)}
	for range size {
		buffer := make([]byte, BufferSize+1)
		r.buffers = append(r.buffers, buffer)
		r.messages = append(r.messages, ipv4.Message{
			Buffers: [][]byte{buffer[pollenwire.HeaderSize : pollenwire.HeaderSize+MaxPacket+1]},
		})
	}
	return r
}

// Read waits for packets and returns how many there are.
func (r *BatchReader) Read() (int, error) { return r.conn.ReadBatch(r.messages, 0) }

// Packet returns a packet's buffer, in which the payload lies from
// pollenwire.HeaderSize on, its size and its sender.
func (r *BatchReader) Packet(at int) (buffer []byte, size int, from netip.AddrPort) {
	m := &r.messages[at]
	if udp, ok := m.Addr.(*net.UDPAddr); ok {
		a := udp.AddrPort()
		from = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	return r.buffers[at], m.N, from
}

// A BatchWriter gathers sealed datagrams and sends them with one system call.
// It is not safe for concurrent use.
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

// Add seals a payload that lies in the buffer from pollenwire.HeaderSize on.
// The buffer must stay as it is until Flush; no more datagrams fit than the
// writer's size.
func (w *BatchWriter) Add(to *net.UDPAddr, h *pollenwire.Header, buffer []byte, size int) {
	m := &w.messages[w.used]
	m.Buffers[0] = w.socket.sealer.Load().Seal(buffer, size, h)
	m.Addr = to
	w.used++
}

// Flush sends what was added. A datagram that cannot be sent is counted and
// lost.
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
