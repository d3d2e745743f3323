package pollenlink

import (
	"bytes"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenegress"
)

// SetShaping sets whether what the node sends is queued by class, which requires that the
// rate of its link is known. What waits when that ends is sent by the queue nevertheless.
func (l *Link) SetShaping(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && l.queue == nil && l.rate > 0 {
		l.queue = pollenegress.NewQueue(l.rate)
	}
	l.shaped.Store(on && l.queue != nil)
}

// SendPacketAs is SendPacket for a datagram of the class and the route.
func (l *Link) SendPacketAs(class pollenegress.Class, route pollenegress.Route, to netip.AddrPort, datagram []byte) {
	if !l.shaped.Load() {
		l.write(to, datagram)
		return
	}
	l.mu.Lock()
	if l.sendNow(class, route, to, datagram) {
		// Other senders need not wait for the system call.
		l.mu.Unlock()
		l.write(to, datagram)
		return
	}
	l.mu.Unlock()
}

// send sends or queues a datagram. mu must be held.
func (l *Link) send(class pollenegress.Class, route pollenegress.Route, to netip.AddrPort, datagram []byte) {
	if !l.shaped.Load() || l.sendNow(class, route, to, datagram) {
		l.write(to, datagram)
	}
}

// sendNow reports whether the caller must send a datagram now, and queues it otherwise. mu
// must be held.
func (l *Link) sendNow(class pollenegress.Class, route pollenegress.Route, to netip.AddrPort, datagram []byte) bool {
	now := time.Now()
	if l.queue.Send(now, class, len(datagram)) {
		return true
	}
	l.queue.Enqueue(now, class, route, pollenegress.Datagram{To: to, Data: bytes.Clone(datagram)})
	l.drain(now)
	return false
}

// drain sends the queued datagrams that are due, and schedules the next call while others
// wait. mu must be held.
func (l *Link) drain(now time.Time) {
	for _, d := range l.queue.Due(now) {
		l.write(d.To, d.Data)
	}
	l.waiting.Store(int64(l.queue.Waiting()))
	if !l.queue.Empty() {
		l.schedule(&l.draining, pollenegress.Interval, l.drain)
	}
}

// Waiting returns the number of bytes that are queued.
func (l *Link) Waiting() int { return int(l.waiting.Load()) }

// ShapingStats returns what the queue has done since the start of the process.
func (l *Link) ShapingStats() pollenegress.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return pollenegress.Stats{}
	}
	return l.queue.Stats()
}

// updateSendDelay has the outbox wait longer for acknowledgements while its fragments wait
// in the queue: they would be sent twice otherwise. mu must be held.
func (l *Link) updateSendDelay() {
	l.outbox.sendDelay = 0
	if l.queue == nil {
		return
	}
	if s := l.queue.Stats(); s.Of(pollenegress.ClassUpdate).Waiting > 0 {
		l.outbox.sendDelay = pollenegress.ClassUpdate.Delay()
	}
}
