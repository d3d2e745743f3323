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

// document returns text like a document of so many routes.
func document(routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"198.18.%d.%d","pathPrefix":"/443/","type":"safe","timeoutMs":1500},`, i*i*7919, i/200, i%200)
	}
	return b.Bytes()
}

// TestDocumentTakesFewDatagrams counts what a document of 250 routes costs a
// thin link: at 3.7 Mbit/s and 20 datagrams in the link's queue, more are lost.
func TestDocumentTakesFewDatagrams(t *testing.T) {
	const most = 10
	receiver, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = receiver.Close() })
	from, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"))
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
	// The third field of a fragment is their number.
	if count := int(buffer[6])<<8 | int(buffer[7]); count < 1 || count > most || n > 1300 {
		t.Fatalf("%d datagrams, the first of %d bytes; want %d at most", count, n, most)
	}
}

// TestPackedMessages sends documents to several receivers, and one that is
// damaged on its way.
func TestPackedMessages(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var to []netip.AddrPort
	var in []*inbox
	for range 2 {
		l, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		i := &inbox{messages: make(chan []byte, 1), garbage: make(chan int, 1)}
		go func() { _ = l.Serve(ctx, i) }()
		to, in = append(to, l.Address()), append(in, i)
	}
	from, err := pollenlink.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	for _, routes := range []int{0, 20, 250, 4000} {
		want := document(routes)
		from.SendMessage(pollenlink.KindCall, want, to...)
		for _, i := range in {
			if got := <-i.messages; !bytes.Equal(got, want) {
				t.Fatalf("document of %d bytes arrived with %d", len(want), len(got))
			}
		}
	}
	damaged := make([]byte, pollenlink.HeaderSize+40)
	from.SendMessage(pollenlink.KindHeartbeat, nil, to[0])
	<-in[0].messages
	// A message of one fragment that claims to be compressed.
	damaged[0], damaged[1], damaged[7] = 5, 1, 1
	from.SendPacket(to[0], damaged)
	if got := <-in[0].garbage; got != len(damaged) {
		t.Fatalf("garbage of %d bytes", got)
	}
}
