package pollencontrol_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollenlog"
)

const (
	// successorDelay is the time between the loss of a host and the start of the
	// empty one that replaces it at another address.
	successorDelay = time.Second
	// catchup is the time after the start of a successor within which it must have
	// taken the place of the lost host.
	catchup = 4 * time.Second
)

// newRepairingCluster returns a cluster whose leader replaces lost hosts, with room
// for one replica more than size.
func newRepairingCluster(t *rapid.T, size int) *cluster {
	c := newCluster(t, size)
	c.autoRepair, c.maxReplicas = true, size+1
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

// addHost starts an empty host at a new address.
func (c *cluster) addHost() *host {
	n := len(c.hosts) + 1
	h := &host{id: pollenlog.ReplicaID(10 * n), address: controlAddress(n)}
	c.hosts = append(c.hosts, h)
	c.start(h)
	return h
}

// loseDisk restarts a host with an empty disk.
func (c *cluster) loseDisk(h *host) {
	h.disk = pollenlog.StoredState{}
	h.id += 1000
	c.start(h)
}

// mustHaveVotes fails the test unless there is a leader for which just the given hosts
// have a vote.
func (c *cluster) mustHaveVotes(when string, hosts ...*host) {
	l := c.leader()
	if l == nil {
		c.t.Fatalf("no leader %s", when)
	}
	m := l.node.LogStatus().Membership
	for _, h := range hosts {
		if r, _ := m.Find(h.id); !r.Voter {
			c.t.Errorf("the replica at %s has no vote %s", h.address, when)
		}
	}
	if m.VoterCount() != len(hosts) {
		c.t.Errorf("%d voters %s, want %d: %+v", m.VoterCount(), when, len(hosts), m)
	}
}

// TestHostsReplacedInTurn guards against a control plane that has no majority any more
// after hosts were replaced one at a time at new addresses: a lost host must not keep
// its vote beside that of its successor.
func TestHostsReplacedInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 6}).Draw(t, "hosts")
		c := newRepairingCluster(t, size)
		c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		live := append([]*host(nil), c.hosts...)
		for i := range 3 {
			c.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "ticks before the loss")) * tick)
			at := rapid.IntRange(0, len(live)-1).Draw(t, "lost")
			live[at].down = true
			c.run(successorDelay)
			live[at] = c.addHost()
			c.run(catchup)
			c.mustHaveVotes(fmt.Sprintf("%s after the start of successor %d", catchup, i+1), live...)
		}
		c.mustSubmit("last", document(1, 4))
	})
}

// TestHostsReplacedTogether guards against a full membership that keeps the successors
// of two hosts out until the lost ones are removed after a long silence.
func TestHostsReplacedTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRepairingCluster(t, 6)
		c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		live := append([]*host(nil), c.hosts...)
		first := rapid.IntRange(0, 4).Draw(t, "first lost")
		lost := []int{first, rapid.IntRange(first+1, 5).Draw(t, "second lost")}
		for _, at := range lost {
			live[at].down = true
		}
		c.run(successorDelay)
		for _, at := range lost {
			live[at] = c.addHost()
		}
		c.run(catchup)
		c.mustHaveVotes("after both were replaced", live...)
		c.mustSubmit("last", document(1, 4))
	})
}

// TestDiskReplacedAcrossLeaders guards against an empty replica that stays without a
// vote when the leader that had begun to add it is gone.
func TestDiskReplacedAcrossLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRepairingCluster(t, 3)
		l := c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		for _, h := range c.hosts {
			if h != l {
				c.loseDisk(h)
				break
			}
		}
		// The leader is restarted at some time of the repair, which takes two seconds.
		c.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ticks before the restart")) * tick)
		if l := c.leader(); l != nil {
			l.down = true
			c.run(600 * time.Millisecond)
			c.start(l)
		}
		c.run(2 * catchup)
		c.mustHaveVotes("after the restart of the leader", c.hosts...)
		c.mustSubmit("last", document(1, 4))
	})
}

// TestReplacedDuringRepair guards against a repair that waits for an empty replica
// which is gone for good: the successor at another address must get the vote.
func TestReplacedDuringRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRepairingCluster(t, 3)
		c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		at := rapid.IntRange(0, 2).Draw(t, "lost")
		live := append([]*host(nil), c.hosts...)
		c.loseDisk(live[at])
		c.run(time.Duration(rapid.IntRange(0, 150).Draw(t, "ticks before the replacement")) * tick)
		live[at].down = true
		c.run(successorDelay)
		live[at] = c.addHost()
		c.run(catchup)
		c.mustHaveVotes("after the replacement", live...)
	})
}

// TestFrozenHostReturns guards against a host that stays without a vote after a pause
// in which an empty host took its place.
func TestFrozenHostReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRepairingCluster(t, 3)
		c.waitForLeader()
		at := rapid.IntRange(0, 2).Draw(t, "frozen")
		frozen := c.hosts[at]
		frozen.frozen = true
		c.addHost()
		c.run(time.Duration(rapid.IntRange(20, 300).Draw(t, "ticks frozen")) * tick)
		frozen.frozen = false
		c.run(catchup)
		c.mustHaveVotes("after the pause", c.hosts...)
		c.mustSubmit("last", document(0, 4))
	})
}

// TestLossesInTurn guards against a loss that leaves the control plane weaker than it
// was: after each one, as soon as the lost host or its successor has had its time to
// catch up, every host has a vote again.
func TestLossesInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 6}).Draw(t, "hosts")
		c := newRepairingCluster(t, size)
		c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		live := append([]*host(nil), c.hosts...)
		for i := range rapid.IntRange(2, 4).Draw(t, "losses") {
			c.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "ticks before the loss")) * tick)
			at := rapid.IntRange(0, size-1).Draw(t, "lost")
			down := time.Duration(rapid.IntRange(5, 250).Draw(t, "ticks lost")) * tick
			kind := rapid.SampledFrom([]string{"kill", "freeze", "partition", "lose the disk", "replace"}).Draw(t, "kind")
			switch h := live[at]; kind {
			case "freeze":
				h.frozen = true
				c.run(down)
				h.frozen = false
			case "partition":
				h.partitioned = true
				c.run(down)
				h.partitioned = false
			case "replace":
				h.down = true
				c.run(successorDelay)
				live[at] = c.addHost()
			default:
				h.down = true
				c.run(down)
				if kind == "lose the disk" {
					c.loseDisk(h)
				} else {
					c.start(h)
				}
			}
			c.run(catchup)
			c.mustHaveVotes(fmt.Sprintf("%s after loss %d (%s)", catchup, i+1, kind), live...)
		}
		c.mustSubmit("last", document(1, 4))
	})
}
