package pollenlink_test

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenlink"
)

// A packetInbox is an inbox that also collects the kinds of packets of flows.
type packetInbox struct {
	inbox
	packets chan pollenlink.Header
}

func (i *packetInbox) HandlePacket(_ time.Time, _ netip.AddrPort, h pollenlink.Header, _ []byte) {
	i.packets <- h
}

// TestShapedLink sends uploads at more than the rate of a link of 3.7 Mbit/s, a long
// message and queries at the same time. It guards against a message or a query that is lost
// behind uploads, against a queue that sends more than the link carries, and against one
// that is never emptied.
func TestShapedLink(t *testing.T) {
	in := &packetInbox{*newInbox(), make(chan pollenlink.Header, 4096)}
	from, to := openServedAt(t, newInbox(), 8*thinRate), openServed(t, in)
	thin := openThinLink(t, from.Address(), to.Address())
	from.SetShaping(true)
	message := make([]byte, 31*1200)
	random := rand.NewChaCha8([32]byte{23})
	_, _ = random.Read(message)
	from.SendMessage(pollenlink.KindUpdate, message, thin)
	upload := make([]byte, 1250)
	(&pollenlink.Header{Kind: pollenlink.KindPass}).Put(upload)
	query := make([]byte, pollenlink.HeaderSize+16)
	(&pollenlink.Header{Kind: pollenlink.KindQuery}).Put(query)
	const rounds = 40
	// Twice the rate of the link.
	for range rounds {
		for range 15 {
			from.SendPacketAs(pollenegress.ClassBulk, 1, thin, upload)
		}
		from.SendPacket(thin, query)
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case got := <-in.messages:
		if !bytes.Equal(got, message) {
			t.Error("the message is damaged")
		}
	case <-time.After(3 * time.Second):
		t.Error("the message did not arrive")
	}
	end := time.Now().Add(3 * time.Second)
	for from.Waiting() > 0 && time.Now().Before(end) {
		time.Sleep(pollenegress.Interval)
	}
	time.Sleep(100 * time.Millisecond)
	stats := from.ShapingStats()
	bulk := stats.Of(pollenegress.ClassBulk)
	t.Logf("%+v", stats)
	if stats.Waiting() > 0 || bulk.Dropped == 0 || stats.Of(pollenegress.ClassUrgent).Dropped > 0 {
		t.Errorf("stats %+v; want bulk dropped, nothing urgent dropped, and nothing waiting", stats)
	}
	queries, passed := 0, 0
	for len(in.packets) > 0 {
		if h := <-in.packets; h.Kind == pollenlink.KindQuery {
			queries++
		} else {
			passed++
		}
	}
	if sent := int(bulk.Sent) / (len(upload) + pollenegress.Overhead); queries != rounds || passed != sent {
		t.Errorf("%d queries and %d uploads arrived; want %d and %d, all that were sent", queries, passed, rounds, sent)
	}
}

// TestShapingNeedsRate guards against a queue on a link whose rate is not known.
func TestShapingNeedsRate(t *testing.T) {
	in := &packetInbox{*newInbox(), make(chan pollenlink.Header, 8)}
	from, to := openServed(t, newInbox()), openServed(t, in)
	from.SetShaping(true)
	datagram := make([]byte, pollenlink.HeaderSize)
	(&pollenlink.Header{Kind: pollenlink.KindPass}).Put(datagram)
	from.SendPacketAs(pollenegress.ClassBulk, 1, to.Address(), datagram)
	<-in.packets
	if stats := from.ShapingStats(); stats != (pollenegress.Stats{}) {
		t.Errorf("stats %+v; want none", stats)
	}
}
