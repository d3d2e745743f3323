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

// A Lease is a member's last heartbeat and its time of arrival at the leader. It
// is soft state: a new leader grants every member a whole lease.
type Lease struct {
	Heartbeat pollenmember.Heartbeat
	// LastSeen is when the last heartbeat was received.
	LastSeen time.Time
}

// An ExpiryGuard decides whether members with expired leases may be removed.
type ExpiryGuard interface {
	// AllowExpiry reports whether the members with expired leases may be removed.
	// It returns false when so many leases expired at once that a fault of the
	// observer is more likely than a fault of the members.
	AllowExpiry(expired, members int) bool
}

// A HalfGuard prevents the removal when the leases of more than half of the
// members, and of more than MaxUnguarded members, have expired.
type HalfGuard struct{ MaxUnguarded int }

// AllowExpiry implements ExpiryGuard.
func (g HalfGuard) AllowExpiry(expired, members int) bool {
	return expired <= g.MaxUnguarded || 2*expired <= members
}

// renewLease stores a heartbeat. One of an earlier incarnation is ignored while
// the lease of the later incarnation is valid.
func (n *Node) renewLease(now time.Time, h pollenmember.Heartbeat) {
	old, ok := n.leases[h.Member.Name]
	if ok && old.Heartbeat.Member.Incarnation > h.Member.Incarnation && now.Sub(old.LastSeen) < n.config.Lease {
		return
	}
	n.leases[h.Member.Name] = Lease{Heartbeat: h, LastSeen: now}
}

// memberChanges returns the command that brings the members in line with the
// leases, or false when there is nothing to change.
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
				c.Leaves = append(c.Leaves, memberRef(m))
			}
		case now.Sub(l.LastSeen) < n.config.Lease && (!ok || present != m):
			c.Joins = append(c.Joins, m)
		}
	}
	expired := n.expiredMembers(now)
	n.heldLeases = 0
	if !n.config.Guard.AllowExpiry(len(expired), len(view.Members)) {
		n.heldLeases = len(expired)
	} else {
		c.Leaves = append(c.Leaves, expired...)
	}
	return c, len(c.Joins)+len(c.Leaves) > 0
}

// expiredMembers returns the members whose lease has expired, sorted by name.
func (n *Node) expiredMembers(now time.Time) []pollenview.MemberRef {
	var expired []pollenview.MemberRef
	for name, m := range n.replica.View().Members {
		lastSeen := n.leaderSince
		if l, ok := n.leases[name]; ok && l.Heartbeat.Member.Incarnation >= m.Incarnation {
			if l.Heartbeat.Leaving {
				continue
			}
			lastSeen = l.LastSeen
		}
		if now.Sub(lastSeen) >= n.config.Lease {
			expired = append(expired, memberRef(m))
		}
	}
	slices.SortFunc(expired, func(a, b pollenview.MemberRef) int { return cmp.Compare(a.Name, b.Name) })
	return expired
}

func memberRef(m pollenview.Member) pollenview.MemberRef {
	return pollenview.MemberRef{Name: m.Name, Incarnation: m.Incarnation}
}

// ledgerChanges returns the command that changes the ledger groups, or false
// when there is nothing to change. The group of a service changes only when
// every live replica is synced for the current epoch, so that replicas are lost
// or moved one at a time.
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
		if !n.replicasSynced(group) {
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

// replicasSynced reports whether every live replica of the group has reported in
// its heartbeats that it is synced for the epoch of the group.
func (n *Node) replicasSynced(group pollenview.LedgerGroup) bool {
	for _, r := range group.Replicas {
		if !n.replica.View().Live(r) {
			continue
		}
		l, ok := n.leases[r.Name]
		if !ok || l.Heartbeat.Member.Incarnation != r.Incarnation || l.Heartbeat.SyncedEpoch < group.Epoch {
			return false
		}
	}
	return true
}
