package pollenlink

import (
	"bytes"
	"net/netip"
	"slices"
	"time"
)

// Limits of long messages. A small host's link queues some 50 ms and loses what
// exceeds that, from all who send through it.
const (
	// directFragments is the number of fragments up to which a message is sent at once
	// and not acknowledged.
	directFragments = 4
	// ackInterval is the number of fragments after which a receiver acknowledges.
	ackInterval = 4
	// initialWindow, minWindow and maxWindow bound the unacknowledged fragments of one
	// transfer.
	initialWindow = 8
	minWindow     = 2
	maxWindow     = 64
	// maxQueueTime is the time that the unacknowledged fragments of all transfers may
	// take on this host's link.
	maxQueueTime = 25 * time.Millisecond
	// minInFlight bounds the unacknowledged fragments of all transfers from below, and
	// defaultInFlight is used where the rate of the link is not known.
	minInFlight     = 4
	defaultInFlight = 64
	// ackTimeout is the time without an acknowledgement after which fragments are sent
	// again: a full queue at both ends and a round trip. It doubles up to maxAckTimeout.
	ackTimeout    = 120 * time.Millisecond
	maxAckTimeout = 480 * time.Millisecond
	// maxTimeouts is the number of timeouts in a row after which a transfer ends.
	maxTimeouts = 6
	// maxTransfers bounds the transfers of one host.
	maxTransfers = 1024
)

// A Message is what one process sends to others, in one or more fragments. It is not
// changed once it is in an Outbox.
type Message struct {
	Kind Kind
	// ID is unique among the sender's messages.
	ID uint32
	// Compressed reports whether Data is compressed.
	Compressed bool
	Data       []byte
}

// count returns the number of fragments.
func (m *Message) count() int { return fragmentCount(len(m.Data)) }

// direct reports whether the message is sent without acknowledgements: it is short, and
// its sender repeats it anyway.
func (m *Message) direct() bool { return m.count() <= directFragments && !m.superseded() }

// superseded reports whether a later message of the same kind makes this one useless:
// it starts at a revision that the receiver has reported, and ends at a higher one.
func (m *Message) superseded() bool { return m.Kind == KindUpdate }

// A Fragment is one fragment to send now.
type Fragment struct {
	To      netip.AddrPort
	Message *Message
	Index   int
	// Acknowledge is set if the receiver is to acknowledge at once.
	Acknowledge bool
}

// An Outbox decides when the fragments of long messages are sent. The receivers'
// acknowledgements clock them, so that they fill neither this host's link nor the
// receiver's, and lost ones are sent again. It is not safe for concurrent use.
type Outbox struct {
	// limit bounds inFlight, the unacknowledged fragments of all transfers.
	limit, inFlight int
	// transfers holds the transfers in the order of their start; fragments are taken
	// from each in turn, beginning after turn.
	transfers []*transfer
	turn      int
	due       []Fragment
	// sendDelay is the time that a fragment may wait on this host before it is sent. It is
	// added to the timeouts of acknowledgements.
	sendDelay time.Duration
}

// fragmentState is the state of one fragment of a transfer.
type fragmentState uint8

const (
	fragmentUnsent fragmentState = iota
	fragmentInFlight
	// fragmentLost means that it must be sent again.
	fragmentLost
	fragmentAcknowledged
)

// A transfer is the sending of one message to one receiver.
type transfer struct {
	to      netip.AddrPort
	message *Message
	// successor replaces the message once this transfer has ended; nil if there is none.
	successor *Message
	states    []fragmentState
	// inFlight, lost and acknowledged count the fragments in these states; those from
	// next on are unsent.
	inFlight, lost, acknowledged, next int
	window                             int
	// activeAt is when a fragment was last sent or acknowledged.
	activeAt time.Time
	// timeouts is the number of timeouts since the last acknowledgement.
	timeouts int
	// lastDue is the position of the transfer's last fragment in Outbox.due plus 1, or
	// zero if there is none.
	lastDue int
}

// NewOutbox returns an empty Outbox for a link of rate bits per second; zero means that
// the rate is not known.
func NewOutbox(rate float64) *Outbox {
	const bitsPerFragment = 8 * (fragmentSize + HeaderSize)
	limit := defaultInFlight
	if rate > 0 {
		limit = max(minInFlight, int(rate*maxQueueTime.Seconds()/bitsPerFragment))
	}
	return &Outbox{limit: limit}
}

// Empty reports whether all transfers have ended.
func (o *Outbox) Empty() bool { return len(o.transfers) == 0 }

// Add starts the transfer of a message and returns the fragments to send now, which
// are valid until the next call. A message that supersedes one in transfer waits for
// the end of that one, and replaces an earlier one that waits. ok is false if there
// are too many transfers.
func (o *Outbox) Add(now time.Time, m *Message, to netip.AddrPort) (due []Fragment, ok bool) {
	if m.superseded() {
		for _, t := range o.transfers {
			if t.to != to || t.message.Kind != m.Kind {
				continue
			}
			if !bytes.Equal(t.message.Data, m.Data) {
				t.successor = m
			}
			return nil, true
		}
	}
	if len(o.transfers) >= maxTransfers {
		return nil, false
	}
	o.transfers = append(o.transfers, newTransfer(m, to))
	return o.takeDue(now), true
}

func newTransfer(m *Message, to netip.AddrPort) *transfer {
	return &transfer{to: to, message: m, states: make([]fragmentState, m.count()), window: initialWindow}
}

// Acknowledge records which fragments of a message a receiver has, and returns the
// fragments to send now, which are valid until the next call.
func (o *Outbox) Acknowledge(now time.Time, from netip.AddrPort, id uint32, received func(index int) bool) []Fragment {
	i := slices.IndexFunc(o.transfers, func(t *transfer) bool { return t.to == from && t.message.ID == id })
	if i < 0 {
		return nil
	}
	t := o.transfers[i]
	before := t.acknowledged
	for index := range t.next {
		if t.states[index] != fragmentAcknowledged && received(index) {
			o.leave(t, index)
			t.states[index] = fragmentAcknowledged
			t.acknowledged++
		}
	}
	if t.acknowledged > before {
		t.activeAt, t.timeouts = now, 0
		t.window = min(maxWindow, t.window+1)
	}
	if t.acknowledged == len(t.states) {
		o.end(i)
	}
	return o.takeDue(now)
}

// leave updates the counts for a fragment that leaves its state.
func (o *Outbox) leave(t *transfer, index int) {
	switch t.states[index] {
	case fragmentInFlight:
		t.inFlight--
		o.inFlight--
	case fragmentLost:
		t.lost--
	case fragmentUnsent, fragmentAcknowledged:
	}
}

// end ends the transfer at the index and starts its successor.
func (o *Outbox) end(i int) {
	t := o.transfers[i]
	o.inFlight -= t.inFlight
	if t.successor != nil {
		o.transfers[i] = newTransfer(t.successor, t.to)
		return
	}
	o.transfers = slices.Delete(o.transfers, i, i+1)
}

// Tick takes fragments that were not acknowledged in time for lost, ends transfers to
// receivers that do not answer, and returns the fragments to send now, which are valid
// until the next call.
func (o *Outbox) Tick(now time.Time) []Fragment {
	for i := len(o.transfers) - 1; i >= 0; i-- {
		t := o.transfers[i]
		if t.inFlight == 0 || now.Sub(t.activeAt) < o.sendDelay+min(maxAckTimeout, ackTimeout<<t.timeouts) {
			continue
		}
		t.timeouts++
		if t.timeouts >= maxTimeouts {
			o.end(i)
			continue
		}
		for index := range t.next {
			if t.states[index] == fragmentInFlight {
				o.leave(t, index)
				t.states[index] = fragmentLost
				t.lost++
			}
		}
		t.window = max(minWindow, t.window/2)
	}
	return o.takeDue(now)
}

// takeDue returns the fragments that may be sent now, one of each transfer in turn.
func (o *Outbox) takeDue(now time.Time) []Fragment {
	o.due = o.due[:0]
	for idle := 0; idle < len(o.transfers) && o.inFlight < o.limit; {
		o.turn = (o.turn + 1) % len(o.transfers)
		t := o.transfers[o.turn]
		index, ok := t.nextIndex()
		if !ok {
			idle++
			continue
		}
		idle = 0
		if t.states[index] == fragmentLost {
			t.lost--
		}
		t.states[index] = fragmentInFlight
		t.inFlight++
		o.inFlight++
		t.activeAt = now
		o.due = append(o.due, Fragment{To: t.to, Message: t.message, Index: index, Acknowledge: index%ackInterval == ackInterval-1})
		t.lastDue = len(o.due)
	}
	// The last fragment that is sent now must be acknowledged, since nothing follows it
	// before that.
	for _, t := range o.transfers {
		if t.lastDue > 0 {
			o.due[t.lastDue-1].Acknowledge = true
			t.lastDue = 0
		}
	}
	return o.due
}

// nextIndex returns the fragment of the transfer that is sent next; ok is false if its
// window is full or there is none.
func (t *transfer) nextIndex() (index int, ok bool) {
	if t.inFlight >= t.window {
		return 0, false
	}
	if t.lost > 0 {
		return slices.Index(t.states, fragmentLost), true
	}
	if t.next == len(t.states) {
		return 0, false
	}
	t.next++
	return t.next - 1, true
}
