package pollencontrol_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollenlog"
)

// TestRepair guards against a repair that is reported as done too early. One
// host's disk is lost and repaired, and a second host is lost immediately after
// the repair is reported done. The committed documents must survive.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		l := c.waitForLeader()
		var others []*host
		for _, h := range c.hosts {
			if h != l {
				others = append(others, h)
			}
		}
		lost, second := others[0], others[1]
		if rapid.Bool().Draw(t, "lose the leader next") {
			second = l
		}
		lost.disk = pollenlog.StoredState{}
		// The new identity may sort before or after the lost one.
		lost.id = pollenlog.ReplicaID(rapid.SampledFrom([]int{5, 77}).Draw(t, "identity"))
		c.start(lost)
		c.run(time.Second)
		c.mustSubmit("second", document(1, 4))
		if got := lost.node.LogStatus().Last; got != 0 {
			t.Fatalf("a replica that lost its disk has log entries up to index %d before its repair, want none", got)
		}
		c.token++
		repair := c.token
		c.step(c.leader(), pollencontrol.Repair{Token: repair, Address: lost.address})
		for range 200 {
			if _, done := c.answers[repair]; done {
				break
			}
			c.run(tick)
		}
		if a := c.answers[repair]; a.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("repair: %+v", a)
		}
		second.down = true
		second.disk = pollenlog.StoredState{}
		for range 50 {
			c.run(100 * time.Millisecond)
			if c.leader() != nil {
				break
			}
		}
		if c.leader() == nil {
			t.Fatalf("no leader after the second loss")
		}
		if got := slotsOf(c.leader().node.View()); got != 4 {
			t.Fatalf("%d slots in force after the second loss, want the accepted 4", got)
		}
		c.mustSubmit("third", document(2, 5))
	})
}

// TestDiskLostAgainDuringRepair guards against an automatic repair that waits forever for
// a learner which has lost its disk, too: neither the empty replica that came after it
// nor any other lost one would get a vote again, and the next loss would take the
// majority.
func TestDiskLostAgainDuringRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 6)
		c.autoRepair = true
		for _, h := range c.hosts {
			c.start(h)
		}
		l := c.waitForLeader()
		var others []*host
		for _, h := range c.hosts {
			if h != l {
				others = append(others, h)
			}
		}
		// The disk is lost again at some time of the repair, which takes two seconds.
		c.loseDisk(others[0])
		c.run(time.Duration(rapid.IntRange(0, 30).Draw(t, "ticks between the losses")) * 5 * tick)
		c.loseDisk(others[0])
		c.run(4 * time.Second)
		c.loseDisk(others[1])
		c.run(6 * time.Second)
		l = c.leader()
		if l == nil {
			t.Fatal("no leader 6 s after the last loss")
		}
		for _, h := range c.hosts {
			if r, _ := l.node.LogStatus().Membership.Find(h.id); !r.Voter {
				t.Errorf("the replica at %s has no vote 6 s after the last loss", h.address)
			}
		}
	})
}
