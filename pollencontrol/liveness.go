package pollencontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
)

// A Lease is what the leader knows of one member from its heartbeats. It is
// soft state: a new leader grants every member a whole lease.
type Lease struct {
	Heartbeat pollenmember.Heartbeat
	// Heard is when the last heartbeat came.
	Heard time.Time
}

// A Guard decides whether lapsed leases may be believed.
type Guard interface {
	// Believe returns false when so many of the members lapsed at once that
	// the observer is more likely to be at fault.
	Believe(lapsed, members int) bool
}

// A HalfGuard disbelieves when more than half of the members lapse, and more
// than Least of them.
type HalfGuard struct{ MaxUnguarded int }

// Believe implements Guard.
func (g HalfGuard) Believe(lapsed, members int) bool {
	return lapsed <= g.MaxUnguarded || 2*lapsed <= members
}

// hear records a heartbeat.
func (n *Node) hear(now time.Time, h pollenmember.Heartbeat) {
	old, ok := n.leases[h.Member.Name]
	if ok && old.Heartbeat.Member.Incarnation > h.Member.Incarnation && now.Sub(old.Heard) < n.config.Lease {
		return
	}
	n.leases[h.Member.Name] = Lease{Heartbeat: h, Heard: now}
}

// memberChanges returns the membership command that is due, or false.
func (n *Node) memberChanges(now time.Time) (pollenview.Command, bool) {
	view := n.replica.View()
	c := pollenview.Command{Kind: pollenview.CommandMembers}
	for _, name := range slices.Sorted(maps.Keys(n.leases)) {
		l := n.leases[name]
		m := l.Heartbeat.Member
		present, ok := view.Members[name]
		switch {
		case l.Heartbeat.Leaving:
			if ok && present.Incarnation == m.Incarnation {
				c.Leaves = append(c.Leaves, reference(m))
			}
		case now.Sub(l.Heard) < n.config.Lease && (!ok || present != m):
			c.Joins = append(c.Joins, m)
		}
	}
	lapsed := n.lapsed(now)
	n.held = 0
	if !n.config.Guard.Believe(len(lapsed), len(view.Members)) {
		n.held = len(lapsed)
	} else {
		c.Leaves = append(c.Leaves, lapsed...)
	}
	return c, len(c.Joins)+len(c.Leaves) > 0
}

// lapsed returns the members whose lease has run out, sorted by name.
func (n *Node) lapsed(now time.Time) []pollenview.ReplicaRef {
	var lapsed []pollenview.ReplicaRef
	for name, m := range n.replica.View().Members {
		heard := n.led
		if l, ok := n.leases[name]; ok && l.Heartbeat.Member.Incarnation >= m.Incarnation {
			if l.Heartbeat.Leaving {
				continue
			}
			heard = l.Heard
		}
		if now.Sub(heard) >= n.config.Lease {
			lapsed = append(lapsed, reference(m))
		}
	}
	slices.SortFunc(lapsed, func(a, b pollenview.ReplicaRef) int { return cmp.Compare(a.Name, b.Name) })
	return lapsed
}

func reference(m pollenview.Member) pollenview.ReplicaRef {
	return pollenview.ReplicaRef{Name: m.Name, Incarnation: m.Incarnation}
}

// ledgerChanges returns the ledger command that is due, or false. The group of
// a service moves on only when every live replica is complete for the present
// epoch, so that replicas are lost or moved one at a time.
func (n *Node) ledgerChanges() (pollenview.Command, bool) {
	view := n.replica.View()
	agents := map[pollendocument.ServiceName][]pollenview.Member{}
	for _, m := range view.Members {
		if view.TakesNewWork(m) {
			agents[m.Service] = append(agents[m.Service], m)
		}
	}
	c := pollenview.Command{Kind: pollenview.CommandLedgers}
	for _, service := range slices.Sorted(maps.Keys(agents)) {
		group := view.Ledgers[service]
		if !n.complete(group) {
			continue
		}
		next := pollenview.ChooseReplicas(service, group, agents[service])
		if slices.Equal(next, group.Replicas) {
			continue
		}
		c.Ledgers = append(c.Ledgers, pollenview.LedgerChange{
			Service: service, Epoch: group.Epoch + 1, Replicas: next,
		})
	}
	return c, len(c.Ledgers) > 0
}

func (n *Node) complete(group pollenview.LedgerGroup) bool {
	for _, r := range group.Replicas {
		if !n.replica.View().Live(r) {
			continue
		}
		l, ok := n.leases[r.Name]
		if !ok || l.Heartbeat.Member.Incarnation != r.Incarnation || l.Heartbeat.LedgerEpoch < group.Epoch {
			return false
		}
	}
	return true
}
