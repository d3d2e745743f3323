package pollenlink

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenegress"
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

	// mu guards lastMessageID, buffer, outbox, pacer, queue, ticking, pacing and draining.
	mu sync.Mutex
	// lastMessageID starts at random.
	lastMessageID uint32
	buffer        []byte
	outbox        *Outbox
	pacer         *Pacer
	// ticking is set while a tick of the outbox is scheduled, pacing while one of the
	// pacer is, and draining while one of the queue is.
	ticking, pacing, draining bool
	// rate is the rate of the host's link in bits per second; zero if it is not known.
	rate float64
	// queue is nil until the link is shaped for the first time, and shaped is set while it
	// is. waiting is the number of bytes in the queue.
	queue   *pollenegress.Queue
	shaped  atomic.Bool
	waiting atomic.Int64
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

// Open returns a new Link bound to the address, on a host whose network link has the
// rate in bits per second; zero means that it is not known. It returns an error if the
// socket cannot be bound or its receive buffer cannot be set.
func Open(address netip.AddrPort, rate float64) (*Link, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "open UDP socket for other nodes at %s", address)
	}
	if err := conn.SetReadBuffer(ReadBufferSize); err != nil {
		return nil, errors.Wrapf(err, "set read buffer of the UDP socket at %s", address)
	}
	return &Link{
		// Receivers remember the IDs of an earlier run of the process.
		lastMessageID: rand.Uint32(), rate: rate,
		conn: conn, buffer: make([]byte, BufferSize), outbox: NewOutbox(rate), pacer: NewPacer(rate), OnSendError: func(netip.AddrPort, error) {},
	}, nil
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
		case h.Kind == KindReceived:
			l.handleReceived(time.Now(), from, buffer[:n])
		default:
			message, err := fragments.add(time.Now(), from, buffer[:n])
			if received := fragments.acknowledgement(from, buffer[:n]); received != nil {
				l.SendPacket(from, received)
			}
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
// are passed to OnSendError. While the link is shaped, the datagram is urgent.
func (l *Link) SendPacket(to netip.AddrPort, datagram []byte) {
	l.SendPacketAs(pollenegress.ClassUrgent, 0, to, datagram)
}

// write sends a datagram without regard to the queue.
func (l *Link) write(to netip.AddrPort, datagram []byte) {
	if _, err := l.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		l.OnSendError(to, err)
	}
}

// SendMessage sends a message to every address. Fragments of a long one are sent as
// its receivers acknowledge them, and again if they are lost. The message may be lost
// nevertheless; errors are passed to OnSendError.
func (l *Link) SendMessage(kind Kind, message []byte, to ...netip.AddrPort) {
	m := &Message{Kind: kind}
	m.Data, m.Compressed = compress(message)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMessageID++
	m.ID = l.lastMessageID
	if m.direct() {
		for _, a := range to {
			for i := range m.count() {
				l.sendPaced(&Fragment{To: a, Message: m, Index: i})
			}
		}
		return
	}
	if !m.Compressed {
		m.Data = bytes.Clone(m.Data)
	}
	now := time.Now()
	for _, a := range to {
		due, ok := l.outbox.Add(now, m, a)
		if !ok {
			l.OnSendError(a, ErrTooManyTransfers)
			continue
		}
		l.sendFragments(due)
	}
}

// ErrTooManyTransfers is the error of a long message that is not sent because too many
// others are being sent.
var ErrTooManyTransfers = errors.New("too many long messages are being sent")

func (l *Link) handleReceived(now time.Time, from netip.AddrPort, datagram []byte) {
	id, received := readReceived(datagram)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendFragments(l.outbox.Acknowledge(now, from, id, received))
}

// sendFragments sends fragments of long messages and schedules the next tick of the
// outbox. mu must be held.
func (l *Link) sendFragments(due []Fragment) {
	for i := range due {
		l.sendFragment(&due[i])
	}
	if !l.outbox.Empty() {
		l.schedule(&l.ticking, outboxInterval, func(now time.Time) {
			l.updateSendDelay()
			l.sendFragments(l.outbox.Tick(now))
		})
	}
}

// schedule calls run with mu held after the duration, unless that is scheduled already.
// mu must be held.
func (l *Link) schedule(scheduled *bool, d time.Duration, run func(now time.Time)) {
	if *scheduled {
		return
	}
	*scheduled = true
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		*scheduled = false
		run(time.Now())
	})
}

// outboxInterval is the interval of Outbox.Tick while messages are being sent.
const outboxInterval = ackTimeout / 3

// ErrLinkFull is the error of a message that is not sent because too many others wait
// for the host's link.
var ErrLinkFull = errors.New("too many messages wait for the network link")

// sendPaced sends one fragment of a short message as soon as the pacer allows it. mu
// must be held.
func (l *Link) sendPaced(f *Fragment) {
	datagram := appendFragment(l.buffer[:0], f)
	if l.pacer.Send(time.Now(), len(datagram)) {
		l.send(pollenegress.ClassUrgent, 0, f.To, datagram)
		return
	}
	if !l.pacer.Wait(f.To, bytes.Clone(datagram)) {
		l.OnSendError(f.To, ErrLinkFull)
		return
	}
	l.schedule(&l.pacing, paceInterval, l.sendWaiting)
}

// sendWaiting sends the datagrams that the pacer allows now. mu must be held.
func (l *Link) sendWaiting(now time.Time) {
	for _, p := range l.pacer.Due(now) {
		l.send(pollenegress.ClassUrgent, 0, p.To, p.Datagram)
	}
	if !l.pacer.Empty() {
		l.schedule(&l.pacing, paceInterval, l.sendWaiting)
	}
}

// sendFragment sends one fragment. mu must be held.
func (l *Link) sendFragment(f *Fragment) {
	l.send(pollenegress.ClassUpdate, 0, f.To, appendFragment(l.buffer[:0], f))
}

// Address returns the address that the link is bound to.
func (l *Link) Address() netip.AddrPort {
	if udp, ok := l.conn.LocalAddr().(*net.UDPAddr); ok {
		a := udp.AddrPort()
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	}
	return netip.AddrPort{}
}
