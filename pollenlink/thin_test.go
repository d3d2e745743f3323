package pollenlink_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenlink"
)

// A thinLink forwards datagrams between two addresses in both directions, each at a
// rate and through a queue like those of a small host. Datagrams that do not fit
// into the queue are lost.
type thinLink struct {
	near, far net.PacketConn
}

const (
	// thinRate is in bytes per second, 3.7 Mbit/s, and thinQueue in bytes.
	thinRate  = 3_700_000 / 8
	thinQueue = 23_000
	// datagramOverhead is the size of the IP and UDP headers in bytes.
	datagramOverhead = 28
)

// openThinLink returns the address at which the link receives datagrams for to. What
// to sends back to their source reaches from.
func openThinLink(t *testing.T, from, to netip.AddrPort) netip.AddrPort {
	t.Helper()
	open := func() net.PacketConn {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	l := &thinLink{near: open(), far: open()}
	go forward(l.near, l.far, to)
	go forward(l.far, l.near, from)
	return netip.MustParseAddrPort(l.near.LocalAddr().String())
}

// forward passes on what in receives to the address, until in is closed.
func forward(in, out net.PacketConn, to netip.AddrPort) {
	var mu sync.Mutex
	queued := 0
	freeAt := time.Now()
	buffer := make([]byte, pollenlink.BufferSize)
	for {
		n, _, err := in.ReadFrom(buffer)
		if err != nil {
			return
		}
		size := n + datagramOverhead
		mu.Lock()
		if queued+size > thinQueue {
			mu.Unlock()
			continue
		}
		queued += size
		if now := time.Now(); freeAt.Before(now) {
			freeAt = now
		}
		freeAt = freeAt.Add(time.Duration(size) * time.Second / thinRate)
		wait := time.Until(freeAt)
		mu.Unlock()
		datagram := bytes.Clone(buffer[:n])
		time.AfterFunc(wait, func() {
			mu.Lock()
			queued -= size
			mu.Unlock()
			_, _ = out.WriteTo(datagram, net.UDPAddrFromAddrPort(to))
		})
	}
}

// openServed opens a link that serves the handler until the test ends.
func openServed(t *testing.T, handler pollenlink.Handler) *pollenlink.Link {
	t.Helper()
	return openServedAt(t, handler, 0)
}

// openServedAt is openServed for a host whose link has the rate in bits per second.
func openServedAt(t *testing.T, handler pollenlink.Handler, rate float64) *pollenlink.Link {
	t.Helper()
	l, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"), rate)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, handler) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

func newInbox() *inbox {
	return &inbox{messages: make(chan []byte, 8), malformed: make(chan int, 8), incomplete: make(chan pollenlink.Incomplete, 8)}
}

// TestLongMessageOverThinLink guards against messages that fill the queue of a small
// host's link: a document of 1,640 routes, 31 fragments, lost the same 13 of them
// every time it was sent, so that no call with it ever arrived.
func TestLongMessageOverThinLink(t *testing.T) {
	in := newInbox()
	from, to := openServed(t, newInbox()), openServed(t, in)
	thin := openThinLink(t, from.Address(), to.Address())
	message := make([]byte, 31*1200)
	random := rand.NewChaCha8([32]byte{23})
	if _, err := random.Read(message); err != nil {
		t.Fatal(err)
	}
	from.SendMessage(pollenlink.KindCall, message, thin)
	select {
	case got := <-in.messages:
		if !bytes.Equal(got, message) {
			t.Fatalf("received %d bytes; want the message of %d bytes unchanged", len(got), len(message))
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the message did not arrive within 5 s")
	}
}

// TestNewestUpdateArrives guards against updates of a view that pile up at a thin link:
// each makes the earlier ones useless, and the newest must not wait for all of them.
func TestNewestUpdateArrives(t *testing.T) {
	in := newInbox()
	from, to := openServed(t, newInbox()), openServed(t, in)
	thin := openThinLink(t, from.Address(), to.Address())
	const updates = 40
	message := make([]byte, 31*1200)
	random := rand.NewChaCha8([32]byte{24})
	for i := range updates {
		if _, err := random.Read(message); err != nil {
			t.Fatal(err)
		}
		message[0] = byte(i)
		from.SendMessage(pollenlink.KindUpdate, message, thin)
	}
	deadline := time.After(5 * time.Second)
	for received := 1; ; received++ {
		select {
		case got := <-in.messages:
			if got[0] != updates-1 {
				continue
			}
			if received > 2 {
				t.Fatalf("%d updates arrived; want the first and the last one", received)
			}
			return
		case <-deadline:
			t.Fatal("the last update did not arrive within 5 s")
		}
	}
}

// TestHeartbeatsToManyOverThinLink guards against heartbeats that a relay sends to many
// peers at once and that overflow the queue of its link.
func TestHeartbeatsToManyOverThinLink(t *testing.T) {
	const heartbeats = 60
	in := newInbox()
	from, to := openServedAt(t, newInbox(), 8*thinRate), openServed(t, in)
	thin := openThinLink(t, from.Address(), to.Address())
	message := make([]byte, 1000)
	random := rand.NewChaCha8([32]byte{25})
	if _, err := random.Read(message); err != nil {
		t.Fatal(err)
	}
	for range heartbeats {
		from.SendMessage(pollenlink.KindHeartbeat, message, thin)
	}
	deadline := time.After(5 * time.Second)
	for n := range heartbeats {
		select {
		case <-in.messages:
		case <-deadline:
			t.Fatalf("%d of %d heartbeats arrived within 5 s", n, heartbeats)
		}
	}
}
