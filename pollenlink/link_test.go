package pollenlink_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
)

// TestHeader guards against fields of a header or a flow that are lost or
// changed on the wire.
func TestHeader(t *testing.T) {
	h := pollenlink.Header{
		Kind: pollenlink.KindDeclined, Hops: 3, Reason: pollenkernel.RefusalDraining, Service: 77, Revision: 1 << 40,
	}
	buffer := make([]byte, pollenlink.HeaderSize)
	h.Put(buffer)
	if got, ok := pollenlink.ReadHeader(buffer); !ok || got != h {
		t.Fatalf("read %+v, %t; want %+v", got, ok, h)
	}
	f := pollenpacket.Flow{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}
	if got, ok := pollenlink.ReadFlow(pollenlink.AppendFlow(nil, f)); !ok || got != f {
		t.Fatalf("read %+v, %t; want %+v", got, ok, f)
	}
}

// FuzzHeader guards against headers that change when they are read and written
// again, and against panics on malformed input.
func FuzzHeader(f *testing.F) {
	f.Add([]byte{1, 2, 3, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9})
	batch := make([]byte, pollenlink.HeaderSize, pollenlink.HeaderSize+62*pollenlink.QuerySize)
	(&pollenlink.Header{Kind: pollenlink.KindQueries, Service: 7}).Put(batch)
	flow := pollenpacket.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
	for n := range uint32(62) {
		f.Add(batch)
		f.Add(batch[:len(batch)-1])
		batch = pollenlink.AppendQuery(batch, flow, n)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, ok := pollenlink.ReadHeader(data)
		if !ok {
			return
		}
		again := make([]byte, pollenlink.HeaderSize)
		h.Put(again)
		if got, _ := pollenlink.ReadHeader(again); got != h {
			t.Fatalf("header %+v became %+v after a write and a read", h, got)
		}
		if h.Kind != pollenlink.KindQueries {
			return
		}
		queries, ok := pollenlink.ReadQueries(data[pollenlink.HeaderSize:])
		if !ok {
			return
		}
		for _, q := range queries {
			again = pollenlink.AppendQuery(again, q.Flow, q.Acknowledged)
		}
		if len(queries) > pollenlink.MaxQueries || !bytes.Equal(again[pollenlink.HeaderSize:], data[pollenlink.HeaderSize:]) {
			t.Fatalf("queries %x became %x after a read and a write", data[pollenlink.HeaderSize:], again[pollenlink.HeaderSize:])
		}
	})
}

// An inbox is a Handler that collects messages and the sizes of malformed
// datagrams.
type inbox struct {
	messages   chan []byte
	malformed  chan int
	incomplete chan pollenlink.Incomplete
}

func (i *inbox) HandlePacket(time.Time, netip.AddrPort, pollenlink.Header, []byte) {}

func (i *inbox) HandleMessage(_ time.Time, _ netip.AddrPort, _ pollenlink.Kind, message []byte) {
	i.messages <- bytes.Clone(message)
}

func (i *inbox) HandleMalformed(_ time.Time, _ netip.AddrPort, size int, _ string) {
	i.malformed <- size
}

func (i *inbox) HandleIncomplete(_ time.Time, _ netip.AddrPort, m pollenlink.Incomplete) {
	i.incomplete <- m
}

// TestMessages guards against messages that are damaged or lost by
// fragmentation, for sizes around the fragment size, and against a receiver
// that stops at a malformed datagram.
func TestMessages(t *testing.T) {
	from := openServed(t, newInbox())
	to, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"), 0)
	if err != nil {
		t.Fatal(err)
	}
	in := newInbox()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- to.Serve(ctx, in) }()
	for _, size := range []int{0, 1, 1199, 1200, 1201, 5000, 60_000} {
		message := bytes.Repeat([]byte{byte(size)}, size)
		from.SendMessage(pollenlink.KindHeartbeat, message, to.Address())
		if got := <-in.messages; !bytes.Equal(got, message) {
			t.Fatalf("received %d bytes; want the message of %d bytes unchanged", len(got), size)
		}
		from.SendPacket(to.Address(), []byte{200, 1})
		if got := <-in.malformed; got != 2 {
			t.Fatalf("malformed datagram of %d bytes reported; want 2", got)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestMessagesOfARestartedSender guards against messages that a receiver takes for
// repetitions of those that the sender's earlier run sent with the same IDs: they were
// acknowledged and dropped.
func TestMessagesOfARestartedSender(t *testing.T) {
	in := newInbox()
	to := openServed(t, in)
	address := netip.MustParseAddrPort("127.0.0.1:0")
	for run := range 3 {
		from, err := pollenlink.Open(address, 0)
		if err != nil {
			t.Fatal(err)
		}
		address = from.Address()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- from.Serve(ctx, newInbox()) }()
		want := bytes.Repeat([]byte{byte(run)}, 1000)
		from.SendMessage(pollenlink.KindUpdate, want, to.Address())
		select {
		case got := <-in.messages:
			if !bytes.Equal(got, want) {
				t.Fatalf("run %d: the message changed", run)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("the message of run %d did not arrive within 2 s", run)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}
