package pollenlink_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenlink"
)

// A wire carries the fragments of an outbox to receivers in virtual time, through a
// queue of the sender's link.
type wire struct {
	now    time.Time
	outbox *pollenlink.Outbox
	// rate is in fragments per second, and capacity that of the queue in fragments.
	rate, capacity int
	// isLost decides whether the nth fragment on the wire is lost.
	isLost func(n int) bool
	// silent receivers do not acknowledge.
	silent map[netip.AddrPort]bool
	freeAt time.Time
	queue  []queued
	// received holds, by receiver and message ID, which fragments have arrived.
	received map[transferKey]map[int]bool
	// sent, overflowed and complete count fragments, those lost at the full queue, and
	// messages.
	sent, overflowed, complete int
}

type transferKey struct {
	to netip.AddrPort
	id uint32
}

type queued struct {
	fragment pollenlink.Fragment
	at       time.Time
}

// roundTrip is the time from the end of the queue to the arrival of the acknowledgement.
const roundTrip = 2 * time.Millisecond

func newWire(linkRate float64) *wire {
	const bitsPerFragment = 8 * 1244
	return &wire{
		now: time.Unix(1000, 0), outbox: pollenlink.NewOutbox(linkRate), rate: int(linkRate / bitsPerFragment),
		// The link queues 50 ms.
		capacity: int(linkRate / bitsPerFragment / 20), isLost: func(int) bool { return false },
		silent: map[netip.AddrPort]bool{}, received: map[transferKey]map[int]bool{},
	}
}

func (w *wire) add(t *testing.T, m *pollenlink.Message, to netip.AddrPort) {
	t.Helper()
	due, ok := w.outbox.Add(w.now, m, to)
	if !ok {
		t.Fatal("the outbox takes no further message")
	}
	w.send(due)
}

func (w *wire) send(due []pollenlink.Fragment) {
	for _, f := range due {
		w.sent++
		if len(w.queue) >= w.capacity {
			w.overflowed++
			continue
		}
		if w.freeAt.Before(w.now) {
			w.freeAt = w.now
		}
		w.freeAt = w.freeAt.Add(time.Second / time.Duration(w.rate))
		if !w.isLost(w.sent) {
			w.queue = append(w.queue, queued{fragment: f, at: w.freeAt.Add(roundTrip)})
		}
	}
}

// run advances the time until all transfers have ended, at most for the limit, and
// returns how long that took.
func (w *wire) run(limit time.Duration) time.Duration {
	start := w.now
	for !w.outbox.Empty() && w.now.Sub(start) < limit {
		w.now = w.now.Add(time.Millisecond)
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			f := w.queue[0].fragment
			w.queue = w.queue[1:]
			w.receive(&f)
		}
		if w.now.Sub(start)%(40*time.Millisecond) == 0 {
			w.send(w.outbox.Tick(w.now))
		}
	}
	return w.now.Sub(start)
}

func (w *wire) receive(f *pollenlink.Fragment) {
	if w.silent[f.To] {
		return
	}
	key := transferKey{f.To, f.Message.ID}
	have := w.received[key]
	if have == nil {
		have = map[int]bool{}
		w.received[key] = have
	}
	have[f.Index] = true
	if len(have)*1200 >= len(f.Message.Data) {
		w.complete++
	}
	if f.Acknowledge {
		w.send(w.outbox.Acknowledge(w.now, f.To, f.Message.ID, func(i int) bool { return have[i] }))
	}
}

func receivers(n int) []netip.AddrPort {
	var to []netip.AddrPort
	for i := range n {
		to = append(to, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000))
	}
	return to
}

func long(id uint32, fragments int) *pollenlink.Message {
	return &pollenlink.Message{Kind: pollenlink.KindLog, ID: id, Data: make([]byte, fragments*1200)}
}

// TestUpdateOverThinLink replays a document of 3,047 routes that a host with a link of
// 3.7 Mbit/s passes to three gates: nothing may be lost at its link, and the transfer
// may take little more than the link needs.
func TestUpdateOverThinLink(t *testing.T) {
	for name, rate := range map[string]float64{"3.7 Mbit/s": 3.7e6, "2 Mbit/s": 2e6, "100 Mbit/s": 1e8} {
		w := newWire(rate)
		for _, to := range receivers(3) {
			w.add(t, long(1, 26), to)
		}
		needed := 3 * 26 * time.Second / time.Duration(w.rate)
		took := w.run(10 * time.Second)
		if w.overflowed > 0 || w.complete != 3 || took > needed*3/2+10*time.Millisecond {
			t.Errorf("%s: %d messages complete after %s, %d fragments lost at the link; want 3, none lost, little more than %s",
				name, w.complete, took, w.overflowed, needed)
		}
	}
}

// TestViewForManyNewcomers replays a restart of all processes: a host with a link of
// 2 Mbit/s sends its view to a hundred processes, which ask for it again until they have
// it. It must not overflow the link, which carries the answers to other newcomers, too.
func TestViewForManyNewcomers(t *testing.T) {
	w := newWire(2e6)
	view := &pollenlink.Message{Kind: pollenlink.KindUpdate, ID: 1, Data: make([]byte, 3*1200)}
	to := receivers(100)
	for id := range uint32(4) {
		for _, a := range to {
			again := *view
			again.ID = id + 1
			w.add(t, &again, a)
		}
		w.run(150 * time.Millisecond)
	}
	w.run(10 * time.Second)
	if w.overflowed > 0 || w.complete < len(to) || w.sent > 3*len(to)*5/4 {
		t.Fatalf("%d views arrived with %d fragments, %d lost at the link; want %d, none lost, few sent again", w.complete, w.sent, w.overflowed, len(to))
	}
}

// TestLostFragmentsAreSentAgain guards against messages that are lost with one of their
// fragments.
func TestLostFragmentsAreSentAgain(t *testing.T) {
	w := newWire(3.7e6)
	w.isLost = func(n int) bool { return n%7 == 0 }
	w.add(t, long(1, 76), receivers(1)[0])
	if took := w.run(10 * time.Second); w.complete == 0 || took >= 5*time.Second {
		t.Fatalf("not complete after %s", took)
	}
	if sent := w.sent; sent > 76*3/2 {
		t.Errorf("%d fragments sent for 76", sent)
	}
}

// TestSilentReceiverHoldsUpNobody guards against a receiver that is gone and keeps the
// messages to others waiting, and against transfers to it that never end.
func TestSilentReceiverHoldsUpNobody(t *testing.T) {
	w := newWire(3.7e6)
	to := receivers(4)
	for _, a := range to[:3] {
		w.silent[a] = true
		w.add(t, long(1, 30), a)
	}
	w.add(t, long(1, 30), to[3])
	w.run(time.Second)
	if w.complete != 1 {
		t.Error("the message to the receiver that answers is not complete after 1 s")
	}
	w.run(10 * time.Second)
	if !w.outbox.Empty() {
		t.Error("transfers to silent receivers have not ended after 11 s")
	}
	if w.sent > 30+3*40 {
		t.Errorf("%d fragments sent", w.sent)
	}
}

// TestNewerUpdateWaits guards against updates that are sent beside newer ones, and
// against newer ones that stop a transfer again and again before its end.
func TestNewerUpdateWaits(t *testing.T) {
	w := newWire(3.7e6)
	to := receivers(1)[0]
	update := func(id uint32) *pollenlink.Message {
		m := long(id, 26)
		m.Kind, m.Data[0] = pollenlink.KindUpdate, byte(id)
		return m
	}
	for id := range uint32(20) {
		w.add(t, update(id), to)
		w.run(10 * time.Millisecond)
	}
	w.run(10 * time.Second)
	var complete []uint32
	for key, have := range w.received {
		if len(have) == 26 {
			complete = append(complete, key.id)
		}
	}
	slices.Sort(complete)
	if len(complete) < 2 || len(complete) > 6 || complete[0] != 0 || complete[len(complete)-1] != 19 {
		t.Fatalf("updates %v arrived; want the first, the last and few between them", complete)
	}
}
