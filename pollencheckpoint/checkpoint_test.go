package pollencheckpoint_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpacket"
)

var start = time.Unix(1000, 0)

func node(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
}

// checkpoint returns one of the gate with the number that holds a few flows.
func checkpoint(gate int, incarnation int64, counter uint64, flows int) *pollencheckpoint.Checkpoint {
	c := &pollencheckpoint.Checkpoint{Gate: node(gate), Server: "i-1", Incarnation: incarnation, Counter: counter}
	for i := range flows {
		c.Flows = append(c.Flows, pollencheckpoint.Flow{Flow: pollenpacket.Flow{Caller: node(i), Service: node(gate)}, Position: 500})
	}
	return c
}

// A checkpoint that was delayed on its way, or that the file held, must not replace a
// newer one: flows that have ended since would be reset.
func TestNewestCheckpointIsKept(t *testing.T) {
	k := pollencheckpoint.NewKeeper()
	for _, step := range []struct {
		incarnation int64
		counter     uint64
		kept        bool
	}{{5, 10, true}, {5, 10, false}, {5, 9, false}, {4, 99, false}, {5, 11, true}, {6, 1, true}, {5, 12, false}} {
		if kept := k.Add(start, checkpoint(1, step.incarnation, step.counter, 1)); kept != step.kept {
			t.Fatalf("incarnation %d, counter %d: kept %t", step.incarnation, step.counter, kept)
		}
	}
	if c, ok := k.Get(node(1)); !ok || c.Incarnation != 6 || c.Counter != 1 {
		t.Fatalf("kept %+v, %t", c, ok)
	}
	if _, ok := k.Get(node(2)); ok {
		t.Fatal("checkpoint of a gate that sent none")
	}
}

// The checkpoints of thousands of gates, or forged ones, must not take more memory and
// disk space than the limit. Those that were refreshed last must stay.
func TestKeeperIsBounded(t *testing.T) {
	k := pollencheckpoint.NewKeeper()
	for gate := range 1000 {
		k.Add(start.Add(time.Duration(gate)*time.Millisecond), checkpoint(gate, 1, 1, 1400))
	}
	all, _ := k.TakeChanged()
	size := 0
	for i := range all {
		size += all[i].Size()
	}
	if size > pollencheckpoint.MaxKept || size < pollencheckpoint.MaxKept*9/10 {
		t.Fatalf("%d checkpoints of %d bytes kept", len(all), size)
	}
	if _, ok := k.Get(node(999)); !ok {
		t.Fatal("the newest checkpoint was removed")
	}
	if k.Add(start, checkpoint(1, 1, 2, pollencheckpoint.MaxFlows+1)) {
		t.Fatal("a checkpoint with too many flows was kept")
	}
	k.Sweep(start.Add(time.Hour))
	if k.Count() != 0 {
		t.Fatalf("%d checkpoints kept of gates that are gone", k.Count())
	}
}

// The file must be written again only after a change, and after a write that failed.
func TestUnchangedCheckpointsAreNotWritten(t *testing.T) {
	k := pollencheckpoint.NewKeeper()
	k.Add(start, checkpoint(1, 1, 1, 1))
	for i, want := range []bool{true, false} {
		if _, changed := k.TakeChanged(); changed != want {
			t.Fatalf("call %d: changed %t", i, changed)
		}
	}
	k.MarkChanged()
	if all, changed := k.TakeChanged(); !changed || len(all) != 1 {
		t.Fatalf("after a failed write: %v, %t", all, changed)
	}
}

// A gate that sent checkpoints without a limit would fill the link of the balancers
// that keep them: 5,800 gates with 1,400 flows send 65 MB each time. The test counts the
// bytes of a minute in which the flows change all the time, or not at all.
func TestRateOfCheckpoints(t *testing.T) {
	keepers := []netip.AddrPort{node(1), node(2)}
	for _, c := range []struct {
		flows       int
		changing    bool
		least, most int
	}{{10, true, 25, 30}, {100, true, 15, 20}, {1400, true, 1, 2}, {100, false, 1, 2}} {
		s := pollencheckpoint.NewSchedule(start)
		sent, size := 0, 0
		for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
			if !s.Due(start.Add(at)) {
				continue
			}
			next := checkpoint(1, 1, 0, c.flows)
			if c.changing {
				next.Flows[0].Position = uint32(at)
			}
			if s.Next(start.Add(at), next, keepers) {
				sent++
				size += len(keepers) * next.Size()
			}
		}
		// The last one may be sent shortly before the minute ends.
		if last := len(keepers) * checkpoint(1, 1, 0, c.flows).Size(); sent < c.least || sent > c.most || size-last > 60_000 {
			t.Errorf("%d flows, changing %t: %d checkpoints of %d bytes in a minute; want %d to %d", c.flows, c.changing, sent, size, c.least, c.most)
		}
	}
}

// After a restart, a gate must leave its keepers the time to answer with the checkpoint
// of its earlier process, which its own would replace. Its counter must then be higher,
// or the keepers would ignore it.
func TestRestartedGateReplacesItsCheckpoint(t *testing.T) {
	keepers := []netip.AddrPort{node(1)}
	k := pollencheckpoint.NewKeeper()
	now := start
	for restart := range 3 {
		s := pollencheckpoint.NewSchedule(now)
		if s.Due(now.Add(2 * time.Second)) {
			t.Fatal("a checkpoint is due before the answers to the requests")
		}
		for range 5 {
			now = now.Add(3 * time.Second)
			c := checkpoint(1, 7, 0, 1+int(now.Unix()%50))
			if s.Due(now) && s.Next(now, c, keepers) && !k.Add(now, c) {
				t.Fatalf("restart %d: checkpoint %d ignored", restart, c.Counter)
			}
		}
	}
}

// A gate must send its checkpoint to the new keeper at once when a keeper is lost.
func TestNewKeeperGetsCheckpoint(t *testing.T) {
	s := pollencheckpoint.NewSchedule(start)
	now := start.Add(10 * time.Second)
	if !s.Next(now, checkpoint(1, 1, 0, 3), []netip.AddrPort{node(1), node(2)}) {
		t.Fatal("first checkpoint not sent")
	}
	now = now.Add(2 * time.Second)
	if !s.Due(now) || s.Next(now, checkpoint(1, 1, 0, 3), []netip.AddrPort{node(1), node(2)}) {
		t.Fatal("unchanged checkpoint sent again")
	}
	now = now.Add(2 * time.Second)
	if !s.Due(now) || !s.Next(now, checkpoint(1, 1, 0, 3), []netip.AddrPort{node(1), node(3)}) {
		t.Fatal("checkpoint not sent to the new keeper")
	}
}

// The loss of a failure domain must not lose the checkpoints of its gates, so one keeper
// is in another domain; and the loss of one balancer must move only its own gates.
func TestKeepersAreInTwoDomains(t *testing.T) {
	var candidates []pollencheckpoint.Candidate
	for i := range 8 {
		candidates = append(candidates, pollencheckpoint.Candidate{Address: node(i), Domain: []pollendocument.DomainName{"a", "b", "c", "d"}[i%4]})
	}
	count := map[netip.AddrPort]int{}
	for gate := range 1000 {
		keepers := pollencheckpoint.Choose(node(1000+gate), "b", candidates)
		if len(keepers) != 2 || keepers[0] != node(1) && keepers[0] != node(5) || keepers[1] == node(1) || keepers[1] == node(5) {
			t.Fatalf("keepers %v; want one of domain b and one of another", keepers)
		}
		for _, a := range keepers {
			count[a]++
		}
		without := slices.DeleteFunc(slices.Clone(candidates), func(c pollencheckpoint.Candidate) bool { return c.Address == node(7) })
		if left := pollencheckpoint.Choose(node(1000+gate), "b", without); keepers[1] != node(7) && !slices.Equal(left, keepers) {
			t.Fatalf("keepers %v without a balancer that was none of %v", left, keepers)
		}
	}
	if n := count[node(1)]; n < 400 || n > 600 {
		t.Fatalf("keepers are not distributed evenly: %v", count)
	}
	for name, c := range map[string]struct{ candidates, want int }{"no disk": {0, 0}, "one disk, in another domain": {1, 1}} {
		if keepers := pollencheckpoint.Choose(node(1000), "b", candidates[:c.candidates]); len(keepers) != c.want {
			t.Errorf("%s: keepers %v", name, keepers)
		}
	}
	same := []pollencheckpoint.Candidate{{Address: node(1), Domain: "b"}, {Address: node(2), Domain: "b"}}
	if keepers := pollencheckpoint.Choose(node(1000), "b", same); len(keepers) != 2 || keepers[0] == keepers[1] {
		t.Errorf("both in the same domain: keepers %v", keepers)
	}
}
