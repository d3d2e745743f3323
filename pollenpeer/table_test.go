package pollenpeer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpeer"
)

var startTime = time.Unix(1000, 0)

func address(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", n)) }

func heartbeat(n int, sequence uint64, others ...netip.AddrPort) *pollenpeer.Heartbeat {
	return &pollenpeer.Heartbeat{
		Peer:      pollenpeer.Peer{Address: address(n), Role: pollenpeer.RoleBalancer, Incarnation: 1, Sequence: sequence},
		Balancers: others,
	}
}

func table(seeds ...netip.AddrPort) *pollenpeer.Table {
	return pollenpeer.NewTable(pollenpeer.Peer{Address: address(1), Role: pollenpeer.RoleBalancer}, nil, seeds)
}

// TestPeerDiscoveryFromSeed guards against balancers that are never discovered
// from a seed's heartbeat, and against endless attempts to reach one that does
// not answer.
func TestPeerDiscoveryFromSeed(t *testing.T) {
	tb := table(address(1), address(2))
	if due := tb.DuePeers(startTime); !slices.Equal(due, []netip.AddrPort{address(2)}) {
		t.Fatalf("heartbeats due at the start: %v; want only the other seed", due)
	}
	// The seed's heartbeat lists another balancer, which then gets heartbeats too.
	if change := tb.Receive(startTime, heartbeat(2, 1, address(3))); change != pollenpeer.ChangeNew {
		t.Fatalf("change %q by the first heartbeat; want a new peer", change)
	}
	later := startTime.Add(pollenpeer.HeartbeatInterval)
	if due := tb.DuePeers(later); !slices.Equal(due, []netip.AddrPort{address(2), address(3)}) {
		t.Fatalf("heartbeats due: %v; want the seed and the other balancer", due)
	}
	// Heartbeats to an address that never answers end.
	if tb.Expire(startTime.Add(4 * time.Second)); slices.Contains(tb.DuePeers(startTime.Add(5*time.Second)), address(3)) {
		t.Fatal("an address that never answered still gets heartbeats")
	}
}

// TestStaleHeartbeatsAreIgnored guards against heartbeats that are delivered
// out of order, and against ignoring a restarted peer, whose sequence starts
// again.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	tb := table()
	tb.Receive(startTime, heartbeat(2, 5))
	old := heartbeat(2, 4)
	old.Peer.Leaving = true
	if change := tb.Receive(startTime, old); change != pollenpeer.ChangeNone {
		t.Fatalf("change %q by a reordered heartbeat; want none", change)
	}
	again := heartbeat(2, 1)
	again.Peer.Incarnation = 2
	if change := tb.Receive(startTime, again); change != pollenpeer.ChangeNew {
		t.Fatalf("change %q by a new incarnation; want a new peer", change)
	}
}

// TestSilentPeersExpire guards against peers that stay in the table without
// heartbeats, and against seeds that get none once no peer is left.
func TestSilentPeersExpire(t *testing.T) {
	tb := table(address(2))
	tb.Receive(startTime, heartbeat(2, 1))
	tb.Receive(startTime, heartbeat(3, 1))
	late := startTime.Add(pollenpeer.PeerTimeout)
	if expired := tb.Expire(late); len(expired) != 2 || len(tb.Balancers()) != 0 {
		t.Fatalf("expired: %v, remaining: %v; want both peers expired", expired, tb.Balancers())
	}
	// With no peer remaining, heartbeats to the seeds start again.
	if due := tb.DuePeers(late); !slices.Equal(due, []netip.AddrPort{address(2)}) {
		t.Fatalf("heartbeats due: %v; want the seed", due)
	}
}

// TestIsolation guards against a process that stays in use when it is cut off
// from its peers, and against one that gives up while a third of them still
// reach it.
func TestIsolation(t *testing.T) {
	tb := table()
	for n := 2; n < 12; n++ {
		tb.Receive(startTime, heartbeat(n, 1))
	}
	later := startTime.Add(time.Second)
	if tb.Isolated(startTime) || !tb.Isolated(later) {
		t.Fatal("want isolation only once no peer has sent a heartbeat for a second")
	}
	for n := 2; n < 5; n++ {
		tb.Receive(later, heartbeat(n, 2))
	}
	if tb.Isolated(later) {
		t.Fatal("isolated although a third of the peers send heartbeats")
	}
}

// TestEveryAddressHasOneNearestBalancer guards against gates that no balancer
// forwards updates to, or several do: balancers with the same table agree on
// which one is nearest.
func TestEveryAddressHasOneNearestBalancer(t *testing.T) {
	const balancers = 5
	for g := 100; g < 140; g++ {
		nearest := 0
		for self := 1; self <= balancers; self++ {
			tb := pollenpeer.NewTable(pollenpeer.Peer{Address: address(self), Role: pollenpeer.RoleBalancer}, nil, nil)
			for n := 1; n <= balancers; n++ {
				tb.Receive(startTime, heartbeat(n, 1))
			}
			if tb.IsNearest(address(g), 1) {
				nearest++
			}
		}
		if nearest != 1 {
			t.Errorf("%d balancers are nearest to %s; want 1", nearest, address(g))
		}
	}
}

// TestNewcomersGetTheirViewFromWhoHasOne guards against processes that wait for their
// view after a power loss, while the balancers nearest to them wait for theirs.
func TestNewcomersGetTheirViewFromWhoHasOne(t *testing.T) {
	const balancers, holders = 20, 2
	for a := 100; a < 140; a++ {
		senders := 0
		for self := 1; self <= holders; self++ {
			tb := pollenpeer.NewTable(pollenpeer.Peer{Address: address(self), Role: pollenpeer.RoleBalancer, Revision: 1}, nil, nil)
			for n := 1; n <= balancers; n++ {
				h := heartbeat(n, 1)
				if n <= holders {
					h.Peer.Revision = 1
				}
				tb.Receive(startTime, h)
			}
			if tb.IsNearestHolder(address(a), 1) {
				senders++
			}
		}
		if senders != 1 {
			t.Errorf("%d of the %d balancers with a view send it to %s; want 1", senders, holders, address(a))
		}
	}
}

// TestViewComesFromFastLinks guards against a host with a thin link that sends its view
// to hundreds of newcomers although others with faster links have it.
func TestViewComesFromFastLinks(t *testing.T) {
	for name, c := range map[string]struct {
		own, others int64
		want        bool
	}{
		"thin among fast": {2_000, 100_000, false}, "fast among thin": {100_000, 2_000, true},
	} {
		tb := pollenpeer.NewTable(pollenpeer.Peer{Address: address(1), Role: pollenpeer.RoleBalancer, Revision: 1, LinkRate: c.own}, nil, nil)
		for n := range 5 {
			h := heartbeat(2+n, 1)
			h.Peer.Revision, h.Peer.LinkRate = 1, c.others
			tb.Receive(startTime, h)
		}
		for a := 100; a < 140; a++ {
			if got := tb.IsNearestHolder(address(a), 3); got != c.want {
				t.Errorf("%s: sends its view to %s: %t; want %t", name, address(a), got, c.want)
			}
		}
	}
}

// TestSeedsAreNotFlooded replays a restart of all processes while the seeds answer
// nobody: 300 processes that know nobody else may not fill the seeds' links for long,
// or none of them ever gets an answer.
func TestSeedsAreNotFlooded(t *testing.T) {
	const processes, tick = 300, 100 * time.Millisecond
	seeds := []netip.AddrPort{address(1), address(2), address(3)}
	var tables []*pollenpeer.Table
	for n := range processes {
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1 + byte(n/200), byte(n % 200)}), 7000)
		tables = append(tables, pollenpeer.NewTable(pollenpeer.Peer{Address: self, Role: pollenpeer.RoleGate}, nil, seeds))
	}
	// sent counts the heartbeats to each seed in each second.
	sent := map[netip.AddrPort][5]int{}
	for at := time.Duration(0); at < 5*time.Second; at += tick {
		for _, tb := range tables {
			for _, a := range tb.DuePeers(startTime.Add(at)) {
				counts := sent[a]
				counts[at/time.Second]++
				sent[a] = counts
			}
		}
	}
	for _, a := range seeds {
		// 250 heartbeats of 200 bytes a second are a fifth of 2 Mbit/s.
		if counts := sent[a]; counts[0] > 600 || counts[1] > 250 || counts[4] > 150 || counts[4] < 50 {
			t.Errorf("heartbeats to seed %s by second: %v; want at most 600, then 250, then 50 to 150", a, counts)
		}
	}
}

// TestRestarted guards against taking the restart of some processes for a
// restart of the whole system, as after a power loss: flows that still exist
// would be reset.
func TestRestarted(t *testing.T) {
	server := func(n int, starting bool) *pollenpeer.Heartbeat {
		b := heartbeat(n, 1)
		b.Peer.Role = pollenpeer.RoleGate
		b.Peer.Server = pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Starting: starting}
		return b
	}
	// system returns the heartbeats of a balancer and of the given number of gates.
	// empty is the number of gates without a backend server.
	system := func(gates, empty int) []*pollenpeer.Heartbeat {
		heartbeats := []*pollenpeer.Heartbeat{heartbeat(2, 1)}
		for n := range gates {
			b := server(10+n, true)
			if n < empty {
				b.Peer.Server = pollenpeer.Server{Service: "rings", State: pollenpeer.ServerUnknown}
			}
			heartbeats = append(heartbeats, b)
		}
		return heartbeats
	}
	running := heartbeat(3, 1)
	running.Peer.Uptime = 2 * time.Second
	for name, c := range map[string]struct {
		heartbeats []*pollenpeer.Heartbeat
		want       bool
	}{
		"no peer is known":          {nil, false},
		"no gate is known":          {[]*pollenpeer.Heartbeat{heartbeat(2, 1)}, false},
		"all have started":          {[]*pollenpeer.Heartbeat{heartbeat(2, 1), server(4, true)}, true},
		"a balancer kept running":   {[]*pollenpeer.Heartbeat{running, server(4, true)}, false},
		"a server kept running":     {[]*pollenpeer.Heartbeat{heartbeat(2, 1), server(4, true), server(5, false)}, false},
		"one gate has no server":    {system(10, 1), true},
		"servers have not reported": {system(10, 2), false},
		"no server has reported":    {system(10, 10), false},
	} {
		tb := table()
		for _, b := range c.heartbeats {
			tb.Receive(startTime, b)
		}
		if got := tb.Restarted(startTime); got != c.want {
			t.Errorf("%s: restarted is %t; want %t", name, got, c.want)
		}
	}
}

// TestRestartOfOneDomain guards against a process that takes the loss of its failure
// domain's power for that of the whole system, since it has not heard the others yet.
func TestRestartOfOneDomain(t *testing.T) {
	tb := pollenpeer.NewTable(pollenpeer.Peer{Address: address(1), Role: pollenpeer.RoleBalancer, Domain: "a"}, []pollendocument.DomainName{"a", "b"}, nil)
	started := func(n int, domain pollendocument.DomainName) *pollenpeer.Heartbeat {
		b := heartbeat(n, 1)
		b.Peer.Role, b.Peer.Domain = pollenpeer.RoleGate, domain
		b.Peer.Server = pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady, Starting: true}
		return b
	}
	tb.Receive(startTime, started(2, "a"))
	if tb.Restarted(startTime) {
		t.Fatal("the system counts as restarted although no peer of domain b is known")
	}
	tb.Receive(startTime, started(3, "b"))
	if !tb.Restarted(startTime) {
		t.Fatal("the system does not count as restarted although peers of both domains have just started")
	}
}
