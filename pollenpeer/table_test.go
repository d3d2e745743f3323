package pollenpeer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenpeer"
)

var begun = time.Unix(1000, 0)

func address(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", n)) }

func beat(n int, sequence uint64, others ...netip.AddrPort) *pollenpeer.Heartbeat {
	return &pollenpeer.Heartbeat{
		Peer:      pollenpeer.Peer{Address: address(n), Role: pollenpeer.RoleBalancer, Incarnation: 1, Sequence: sequence},
		Balancers: others,
	}
}

func table(seeds ...netip.AddrPort) *pollenpeer.Table {
	return pollenpeer.NewTable(pollenpeer.Peer{Address: address(1), Role: pollenpeer.RoleBalancer}, seeds)
}

func TestPeersAreFoundFromASeed(t *testing.T) {
	tb := table(address(1), address(2))
	if due := tb.DuePeers(begun); !slices.Equal(due, []netip.AddrPort{address(2)}) {
		t.Fatalf("due at the start: %v; want the other seed", due)
	}
	// The seed tells of another balancer, which is then asked itself.
	if change := tb.Receive(begun, beat(2, 1, address(3))); change != pollenpeer.ChangeNew {
		t.Fatalf("change %s", change)
	}
	later := begun.Add(pollenpeer.HeartbeatInterval)
	if due := tb.DuePeers(later); !slices.Equal(due, []netip.AddrPort{address(2), address(3)}) {
		t.Fatalf("due: %v", due)
	}
	// One that never answers is not asked for ever.
	if tb.Expire(begun.Add(4 * time.Second)); slices.Contains(tb.DuePeers(begun.Add(5*time.Second)), address(3)) {
		t.Fatal("an address that never answered is still asked")
	}
}

func TestStaleBeatsAreIgnored(t *testing.T) {
	tb := table()
	tb.Receive(begun, beat(2, 5))
	old := beat(2, 4)
	old.Peer.Leaving = true
	if change := tb.Receive(begun, old); change != pollenpeer.ChangeNone {
		t.Fatalf("change %s by a beat that was overtaken", change)
	}
	again := beat(2, 1)
	again.Peer.Incarnation = 2
	if change := tb.Receive(begun, again); change != pollenpeer.ChangeNew {
		t.Fatalf("change %s by a new incarnation", change)
	}
}

func TestSilentPeersAreForgotten(t *testing.T) {
	tb := table(address(2))
	tb.Receive(begun, beat(2, 1))
	tb.Receive(begun, beat(3, 1))
	late := begun.Add(pollenpeer.PeerTimeout)
	if gone := tb.Expire(late); len(gone) != 2 || len(tb.Balancers()) != 0 {
		t.Fatalf("gone: %v, left: %v", gone, tb.Balancers())
	}
	// Without anybody left, the seeds are asked again.
	if due := tb.DuePeers(late); !slices.Equal(due, []netip.AddrPort{address(2)}) {
		t.Fatalf("due: %v", due)
	}
}

func TestIsolation(t *testing.T) {
	tb := table()
	for n := 2; n < 12; n++ {
		tb.Receive(begun, beat(n, 1))
	}
	later := begun.Add(time.Second)
	if tb.Isolated(begun) || !tb.Isolated(later) {
		t.Fatal("a process that hears nobody any more does not know that it is cut off")
	}
	for n := 2; n < 5; n++ {
		tb.Receive(later, beat(n, 2))
	}
	if tb.Isolated(later) {
		t.Fatal("a process that hears a third of its peers takes itself for cut off")
	}
}

// TestNearestCoversEveryAddress checks that some balancer passes news on to each
// gate, whatever balancers there are.
func TestNearestCoversEveryAddress(t *testing.T) {
	const balancers = 5
	for g := 100; g < 140; g++ {
		nearest := 0
		for self := 1; self <= balancers; self++ {
			tb := pollenpeer.NewTable(pollenpeer.Peer{Address: address(self), Role: pollenpeer.RoleBalancer}, nil)
			for n := 1; n <= balancers; n++ {
				tb.Receive(begun, beat(n, 1))
			}
			if tb.IsNearest(address(g), 1) {
				nearest++
			}
		}
		if nearest != 1 {
			t.Errorf("%d balancers are nearest to %s", nearest, address(g))
		}
	}
}

// TestRestarted tells the return of power from the restart of some processes.
func TestRestarted(t *testing.T) {
	server := func(n int, starting bool) *pollenpeer.Heartbeat {
		b := beat(n, 1)
		b.Peer.Role = pollenpeer.RoleGate
		b.Peer.Server = pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Starting: starting}
		return b
	}
	// system returns a system of so many gates, some of them without a server.
	system := func(gates, empty int) []*pollenpeer.Heartbeat {
		beats := []*pollenpeer.Heartbeat{beat(2, 1)}
		for n := range gates {
			b := server(10+n, true)
			if n < empty {
				b.Peer.Server = pollenpeer.Server{Service: "rings", State: pollenpeer.ServerUnknown}
			}
			beats = append(beats, b)
		}
		return beats
	}
	running := beat(3, 1)
	running.Peer.Uptime = 2 * time.Second
	for name, c := range map[string]struct {
		beats []*pollenpeer.Heartbeat
		want  bool
	}{
		"nobody is known":           {nil, false},
		"no gate is known":          {[]*pollenpeer.Heartbeat{beat(2, 1)}, false},
		"all have started":          {[]*pollenpeer.Heartbeat{beat(2, 1), server(4, true)}, true},
		"a balancer ran on":         {[]*pollenpeer.Heartbeat{running, server(4, true)}, false},
		"a backend server ran on":   {[]*pollenpeer.Heartbeat{beat(2, 1), server(4, true), server(5, false)}, false},
		"one gate has no server":    {system(10, 1), true},
		"servers have not reported": {system(10, 2), false},
		"no server has reported":    {system(10, 10), false},
	} {
		tb := table()
		for _, b := range c.beats {
			tb.Receive(begun, b)
		}
		if got := tb.Restarted(begun); got != c.want {
			t.Errorf("%s: restarted %t", name, got)
		}
	}
}
