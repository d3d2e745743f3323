package pollenlink_test

import (
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenlink"
)

// TestRoundOfARelayIsSpread replays a relay with a link of 2 Mbit/s that sends heartbeats
// with facts to 60 peers every 400 ms: the link queues 50 ms, and the rest of what is
// sent at once is lost.
func TestRoundOfARelayIsSpread(t *testing.T) {
	const peers, size, rate, capacity = 60, 500, 2e6 / 8, 2e6 / 8 / 20
	now := time.Unix(1000, 0)
	pacer := pollenlink.NewPacer(8 * rate)
	queued, sent := 0.0, 0
	put := func() {
		queued += size
		sent++
		if queued > capacity {
			t.Fatalf("after %d datagrams the link has queued %.0f bytes; it holds %.0f", sent, queued, capacity)
		}
	}
	to := netip.MustParseAddrPort("10.0.0.1:7000")
	for round := range 5 {
		for range peers {
			switch {
			case pacer.Send(now, size):
				put()
			case !pacer.Wait(to, make([]byte, size)):
				t.Fatal("no datagram of a round may be dropped")
			}
		}
		for range 40 {
			now = now.Add(10 * time.Millisecond)
			queued = max(0, queued-rate/100)
			for range pacer.Due(now) {
				put()
			}
		}
		if want := (round + 1) * peers; sent != want || !pacer.Empty() {
			t.Fatalf("%d datagrams sent at the end of round %d; want %d", sent, round, want)
		}
	}
}

// TestPacerBoundsWhatWaits guards against messages that wait until they are worthless
// where more is sent than the link carries, and against delays where the rate of the
// link is not known.
func TestPacerBoundsWhatWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	pacer, unknown := pollenlink.NewPacer(2e6), pollenlink.NewPacer(0)
	to := netip.MustParseAddrPort("10.0.0.1:7000")
	waiting := 0
	for range 1000 {
		if !unknown.Send(now, 500) {
			t.Fatal("a datagram is delayed although the rate of the link is not known")
		}
		if !pacer.Send(now, 500) && pacer.Wait(to, make([]byte, 500)) {
			waiting++
		}
	}
	// 250 ms at 2 Mbit/s.
	if waiting != 62500/500 {
		t.Errorf("%d datagrams of 500 bytes wait; want %d", waiting, 62500/500)
	}
}
