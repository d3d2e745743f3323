package pollenlink

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenbucket"
)

// Limits of a Pacer, as the time that datagrams take on the host's link.
const (
	// paceBurst is what may be sent at once. Together with the fragments in flight it
	// stays below what the link queues.
	paceBurst = 20 * time.Millisecond
	// maxPaceQueue is what may wait; further datagrams are dropped.
	maxPaceQueue = 250 * time.Millisecond
	// paceShare is the divisor for the share of the link's rate at which waiting
	// datagrams are sent, 1/2; flows need the rest.
	paceShare = 2
	// paceInterval is the interval of Pacer.Due while datagrams wait.
	paceInterval = 10 * time.Millisecond
)

// A Paced is a datagram that waits to be sent.
type Paced struct {
	To       netip.AddrPort
	Datagram []byte
}

// A Pacer spreads the datagrams that a process sends to many others at the same time,
// such as the rounds of a relay, so that they do not overflow the queue of the host's
// link. It is not safe for concurrent use.
type Pacer struct {
	// rate is in bytes per second; zero means that nothing is delayed.
	rate float64
	// bytes holds the bytes that may be sent.
	bytes pollenbucket.Bucket
	queue []Paced
	// queued is the number of bytes in queue.
	queued int
}

// NewPacer returns a Pacer for a link of rate bits per second; zero means that the rate
// is not known.
func NewPacer(rate float64) *Pacer {
	const bitsPerByte = 8
	rate /= bitsPerByte
	return &Pacer{rate: rate, bytes: pollenbucket.New(rate/paceShare, rate*paceBurst.Seconds())}
}

// Send reports whether a datagram of size bytes may be sent now. Otherwise the caller
// passes it to Wait.
func (p *Pacer) Send(now time.Time, size int) bool {
	return p.rate == 0 || len(p.queue) == 0 && p.take(now, size)
}

// Wait queues a datagram, which the Pacer keeps, behind those that wait already. It
// reports false if too many wait.
func (p *Pacer) Wait(to netip.AddrPort, datagram []byte) bool {
	if float64(p.queued+len(datagram)) > p.rate*maxPaceQueue.Seconds() {
		return false
	}
	p.queue = append(p.queue, Paced{To: to, Datagram: datagram})
	p.queued += len(datagram)
	return true
}

// Due returns the waiting datagrams that may be sent now.
func (p *Pacer) Due(now time.Time) []Paced {
	n := 0
	for n < len(p.queue) && p.take(now, len(p.queue[n].Datagram)) {
		p.queued -= len(p.queue[n].Datagram)
		n++
	}
	due := p.queue[:n:n]
	p.queue = p.queue[n:]
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return due
}

// Empty reports whether no datagram waits.
func (p *Pacer) Empty() bool { return len(p.queue) == 0 }

// take takes a datagram from the bucket, which may be overdrawn by one.
func (p *Pacer) take(now time.Time, size int) bool {
	if p.bytes.Level(now) <= 0 {
		return false
	}
	p.bytes.Take(float64(size))
	return true
}
