package pollenegress

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenbucket"
)

// Pacing of a Queue.
const (
	// Interval is the interval of Queue.Due while datagrams wait.
	Interval = 5 * time.Millisecond
	// maxPause is the time between two calls of Due from which on the process counts as
	// paused. Without this, a process whose share of a core was used up for 50 ms dropped
	// urgent datagrams that the link could have carried.
	maxPause = 3 * Interval
	// Overhead is the size of the IP and UDP headers of a datagram in bytes.
	Overhead = 28
	// rateShare is the share of the link's rate that is used. The rest is for resets to
	// callers, which bypass the queue, and for inexact timers.
	rateShare = 0.95
	// burst is what may be sent at once, as the time that it takes on the link. A link
	// queues 50 ms.
	burst = 20 * time.Millisecond
	// quantum is the number of bytes that a route may send in one turn: one datagram of
	// the largest size.
	quantum = 1500
)

// A Datagram is what waits in a Queue.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Usage holds what a Queue has done for one class since it was created. Bytes include
// Overhead.
type Usage struct {
	// Sent counts the bytes that were sent, with and without waiting.
	Sent int64
	// Queued counts the datagrams that had to wait, and Dropped those of them that were
	// dropped.
	Queued, Dropped int64
	// Waiting is the number of bytes that wait now.
	Waiting int
}

// Stats holds the Usage of each class, in the order of Classes.
type Stats [classCount]Usage

// Waiting returns the number of bytes that wait in all classes.
func (s *Stats) Waiting() (bytes int) {
	for i := range s {
		bytes += s[i].Waiting
	}
	return bytes
}

// Of returns the usage of one class.
func (s *Stats) Of(c Class) Usage { return s[c.index()] }

// A Queue decides in which order datagrams are sent over a host's link, so that the link
// itself never has a queue, in which all of them would wait and be lost alike. Classes are
// served by precedence, with a minimum share for each backlogged one; the routes of a
// class by deficit round robin. It is not safe for concurrent use.
type Queue struct {
	// rate is in bytes per second.
	rate float64
	// bytes holds the bytes that may be sent; it may be overdrawn by one datagram.
	bytes   pollenbucket.Bucket
	classes [classCount]class
	stats   Stats
	due     []Datagram
	// servedAt is when the queue was last served or began to fill. stalled is the time for which it
	// was not served although it should have been; it does not count as waiting.
	servedAt time.Time
	stalled  time.Duration
}

// A class is the state of one class of a Queue.
type class struct {
	// active holds the routes with waiting datagrams; the first one has its turn.
	active []*backlog
	// owed is the number of bytes that the class lacks of its minimum share. It is
	// between -quantum and quantum, and not positive while the class is empty.
	owed float64
}

// A backlog is the queue of one route in one class. It is never empty.
type backlog struct {
	route   Route
	deficit int
	// bytes is the size of the waiting datagrams, with Overhead.
	bytes   int
	waiting []waitingDatagram
}

type waitingDatagram struct {
	Datagram
	// queuedAt is the time of the call of Enqueue less Queue.stalled then.
	queuedAt time.Time
}

func (w *waitingDatagram) size() int { return len(w.Data) + Overhead }

// NewQueue returns an empty Queue for a link of rate bits per second, which must be
// positive.
func NewQueue(rate float64) *Queue {
	const bitsPerByte = 8
	paced := rate * rateShare / bitsPerByte
	return &Queue{rate: paced, bytes: pollenbucket.New(paced, paced*burst.Seconds())}
}

// Send reports whether a datagram of size bytes without Overhead may be sent now, and
// counts it as sent if so. Otherwise the caller passes it to Enqueue. It may be sent if
// nothing of its own or a more urgent class waits, and no class lacks its minimum share.
func (q *Queue) Send(now time.Time, c Class, size int) bool {
	own := c.index()
	for i := range q.classes {
		if len(q.classes[i].active) > 0 && (i <= own || q.classes[i].owed > 0) {
			return false
		}
	}
	if q.bytes.Level(now) <= 0 {
		return false
	}
	q.count(own, size+Overhead)
	return true
}

// count accounts for size bytes, with Overhead, that a class sends now.
func (q *Queue) count(sender, size int) {
	q.bytes.Take(float64(size))
	q.stats[sender].Sent += int64(size)
	for i := range q.classes {
		c := &q.classes[i]
		if len(c.active) > 0 {
			c.owed = min(quantum, c.owed+limits[i].share*float64(size))
		}
	}
	s := &q.classes[sender]
	s.owed = max(-quantum, s.owed-float64(size))
}

// Enqueue queues a datagram, which the Queue keeps, of a route. The oldest datagrams of
// the longest backlog of the class are dropped to make room for it.
func (q *Queue) Enqueue(now time.Time, c Class, r Route, d Datagram) {
	i := c.index()
	if q.Empty() {
		q.servedAt = now
	}
	w := waitingDatagram{Datagram: d, queuedAt: now.Add(-q.stalled)}
	q.stats[i].Queued++
	capacity := int(q.rate * limits[i].delay.Seconds())
	for len(q.classes[i].active) > 0 && q.stats[i].Waiting+w.size() > capacity {
		q.dropOldest(i)
	}
	k := &q.classes[i]
	at := slices.IndexFunc(k.active, func(b *backlog) bool { return b.route == r })
	if at < 0 {
		at = len(k.active)
		k.active = append(k.active, &backlog{route: r})
	}
	b := k.active[at]
	b.waiting = append(b.waiting, w)
	b.bytes += w.size()
	q.stats[i].Waiting += w.size()
}

// dropOldest drops the head of the longest backlog of a class.
func (q *Queue) dropOldest(i int) {
	k := &q.classes[i]
	longest := 0
	for at, b := range k.active {
		if b.bytes > k.active[longest].bytes {
			longest = at
		}
	}
	q.pop(i, longest)
	q.stats[i].Dropped++
}

// pop removes the head of a backlog of a class, and the backlog once it is empty.
func (q *Queue) pop(i, at int) waitingDatagram {
	k := &q.classes[i]
	b := k.active[at]
	w := b.waiting[0]
	b.waiting[0] = waitingDatagram{}
	b.waiting = b.waiting[1:]
	b.bytes -= w.size()
	q.stats[i].Waiting -= w.size()
	if len(b.waiting) == 0 {
		k.active = slices.Delete(k.active, at, at+1)
		if len(k.active) == 0 {
			k.owed = min(0, k.owed)
		}
	}
	return w
}

// Due returns the waiting datagrams to send now, which are valid until the next call.
// Those that have waited for too long are dropped.
func (q *Queue) Due(now time.Time) []Datagram {
	clear(q.due)
	q.due = q.due[:0]
	if pause := now.Sub(q.servedAt); pause > maxPause && !q.Empty() {
		q.stalled += pause - Interval
	}
	q.servedAt = now
	for !q.Empty() {
		i := q.nextClass()
		at := q.nextBacklog(i)
		head := &q.classes[i].active[at].waiting[0]
		if now.Sub(head.queuedAt)-q.stalled > limits[i].delay {
			q.pop(i, at)
			q.stats[i].Dropped++
			continue
		}
		if q.bytes.Level(now) <= 0 {
			break
		}
		b := q.classes[i].active[at]
		b.deficit -= head.size()
		q.count(i, head.size())
		q.due = append(q.due, q.pop(i, at).Datagram)
	}
	return q.due
}

// nextClass returns the class that is served next: the one that lacks most of its minimum
// share, or else the most urgent one. The queue must not be empty.
func (q *Queue) nextClass() int {
	next, owed := -1, 0.0
	for i := range q.classes {
		if c := &q.classes[i]; len(c.active) > 0 && (next < 0 || c.owed > owed) {
			next, owed = i, max(0, c.owed)
		}
	}
	return next
}

// nextBacklog returns the position of the backlog of a class that is served next. The
// class must not be empty.
func (q *Queue) nextBacklog(i int) int {
	k := &q.classes[i]
	for {
		b := k.active[0]
		if b.deficit >= b.waiting[0].size() {
			return 0
		}
		b.deficit += quantum
		if len(k.active) > 1 {
			copy(k.active, k.active[1:])
			k.active[len(k.active)-1] = b
		}
	}
}

// Empty reports whether no datagram waits.
func (q *Queue) Empty() bool {
	for i := range q.classes {
		if len(q.classes[i].active) > 0 {
			return false
		}
	}
	return true
}

// Waiting returns the number of bytes that wait, with Overhead.
func (q *Queue) Waiting() int { return q.stats.Waiting() }

// Stats returns what the Queue has done until now.
func (q *Queue) Stats() Stats { return q.stats }
