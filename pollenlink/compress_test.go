package pollenlink_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"

	"pollenstep.example/pollenstep/pollenlink"
)

// document returns text that resembles a document with this number of routes.
func document(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"198.18.%d.%d","pathPrefix":"/443/","type":"safe","timeoutMs":1500},`, i*i*7919, i/200, i%200)
	}
	return b.Bytes()
}

// TestDocumentTakesFewDatagrams guards against documents that are lost on a
// slow link: with 3.7 Mbit/s and a link queue of 20 datagrams, a document of
// 250 routes must not take more than ten.
func TestDocumentTakesFewDatagrams(t *testing.T) {
	const maxDatagrams = 10
	receiver, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = receiver.Close() })
	from, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"), 0)
	if err != nil {
		t.Fatal(err)
	}
	to := receiver.LocalAddr().(*net.UDPAddr).AddrPort()
	from.SendMessage(pollenlink.KindCall, document(250), to)
	buffer := make([]byte, pollenlink.BufferSize)
	n, err := receiver.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	// Bytes 6 and 7 of a fragment hold the number of fragments.
	if count := int(buffer[6])<<8 | int(buffer[7]); count < 1 || count > maxDatagrams || n > 1300 {
		t.Fatalf("%d datagrams, the first of %d bytes; want at most %d", count, n, maxDatagrams)
	}
}

// TestCompressedMessages guards against documents that change by compression
// when they are sent to several receivers, and against a receiver that accepts
// a malformed compressed message.
func TestCompressedMessages(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var to []netip.AddrPort
	var in []*inbox
	for range 2 {
		l, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"), 0)
		if err != nil {
			t.Fatal(err)
		}
		i := newInbox()
		go func() { _ = l.Serve(ctx, i) }()
		to, in = append(to, l.Address()), append(in, i)
	}
	from := openServed(t, newInbox())
	for _, routes := range []int{0, 20, 250, 4000} {
		want := document(routes)
		from.SendMessage(pollenlink.KindCall, want, to...)
		for _, i := range in {
			if got := <-i.messages; !bytes.Equal(got, want) {
				t.Fatalf("received %d bytes; want the document of %d bytes unchanged", len(got), len(want))
			}
		}
	}
	damaged := make([]byte, pollenlink.HeaderSize+40)
	from.SendMessage(pollenlink.KindHeartbeat, nil, to[0])
	<-in[0].messages
	// A heartbeat (kind code 5) of one fragment of zero bytes that is marked as
	// compressed.
	damaged[0], damaged[1], damaged[7] = 5, 1, 1
	from.SendPacket(to[0], damaged)
	if got := <-in[0].malformed; got != len(damaged) {
		t.Fatalf("malformed datagram of %d bytes reported; want %d", got, len(damaged))
	}
}
