package pollencontrol

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// A repair replaces the replica that had an address by the empty one that has
// it now, in three committed steps: the new one becomes a learner, the old one
// is removed once the learner holds everything that was committed when the
// repair began, and the learner becomes a voter. It is reported done only when
// the last step is committed and the new voter holds it.
type repair struct {
	reply   Token
	address netip.AddrPort
	lost     pollenlog.ReplicaID
	replacement   pollenlog.ReplicaID
	// target is the index that the learner must hold before it may vote.
	target pollenlog.Index
	// begun is when the repair was asked for.
	startTime time.Time
}

// join remembers an empty replica that asks to take part.
func (n *Node) addCandidate(e Join) {
	if _, member := n.log.Status().Membership.Find(e.ID); n.isLeader() && !member {
		n.candidates[e.ID] = candidate{address: e.Address, lastSeen: n.now}
	}
}

// candidateTimeout bounds how old a request to join may be, in leases.
const candidateLeases = 2

// growMembership adds candidates whose address no replica has, up to the
// number of control hosts in the settings, and promotes learners that have
// caught up. An address that another replica has is left to repair, since a
// lost disk must not go unnoticed.
func (n *Node) growMembership() {
	s := n.log.Status()
	for id, c := range n.candidates {
		if n.now.Sub(c.lastSeen) > candidateLeases*n.config.Lease {
			delete(n.candidates, id)
		}
	}
	if n.repair != nil {
		return
	}
	for _, r := range s.Membership.Replicas {
		if !r.Voter && s.Match[r.ID] >= s.Commit && !sharesAddress(s.Membership, r) {
			r.Voter = true
			n.changeMembership(pollenlog.ChangeMembership{Add: r})
			return
		}
	}
	if len(s.Membership.Replicas) >= n.config.Replicas {
		return
	}
	for _, id := range n.candidateIDs() {
		c := n.candidates[id]
		if _, ok := s.Membership.Find(id); ok || sharesAddress(s.Membership, pollenlog.Replica{ID: id, Address: c.address}) {
			continue
		}
		n.changeMembership(pollenlog.ChangeMembership{Add: pollenlog.Replica{ID: id, Address: c.address}})
		return
	}
}

// shared reports whether another replica has the same address, which only a
// repair settles.
func sharesAddress(m pollenlog.Membership, r pollenlog.Replica) bool {
	for _, other := range m.Replicas {
		if other.Address == r.Address && other.ID != r.ID {
			return true
		}
	}
	return false
}

func (n *Node) candidateIDs() []pollenlog.ReplicaID {
	ids := make([]pollenlog.ReplicaID, 0, len(n.candidates))
	for id := range n.candidates {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) changeMembership(e pollenlog.ChangeMembership) {
	n.lastToken++
	e.Token = n.lastToken
	n.stepLog(e)
}

func (n *Node) startRepair(e Repair) {
	if !n.isLeader() {
		n.refuseNotRun(e.Token, pollenlog.ErrNotLeader)
		return
	}
	if n.repair != nil && n.repair.address != e.Address {
		n.reply(e.Token, Answer{
			Verdict: VerdictNotRun, Reason: fmt.Sprintf("a repair of %s is under way", n.repair.address),
		})
		return
	}
	s := n.log.Status()
	r := &repair{reply: e.Token, address: e.Address, target: s.Last, replacement: n.replacementAt(e.Address), startTime: n.now}
	for _, member := range s.Membership.Replicas {
		if member.Address == e.Address && member.ID != r.replacement {
			r.lost = member.ID
		}
	}
	if r.replacement == 0 {
		n.reply(e.Token, Answer{
			Verdict: VerdictNotRun,
			Reason:  fmt.Sprintf("no empty replica at %s has asked to join; start the host with an empty data folder first", e.Address),
		})
		return
	}
	if n.repair != nil {
		n.reply(n.repair.reply, Answer{Verdict: VerdictUnknown, Reason: "the repair was asked for again"})
	}
	n.repair = r
	n.continueRepair()
}

// freshAt returns the replica at the address that is not a voter yet: a learner
// that an earlier repair added, or the empty one that was heard last. The lost
// replica itself asked to join once, and must not be taken for its successor.
func (n *Node) replacementAt(address netip.AddrPort) pollenlog.ReplicaID {
	membership := n.log.Status().Membership
	for _, r := range membership.Replicas {
		if r.Address == address && !r.Voter {
			return r.ID
		}
	}
	var replacement pollenlog.ReplicaID
	var lastSeen time.Time
	for _, id := range n.candidateIDs() {
		c := n.candidates[id]
		if _, member := membership.Find(id); member || c.address != address || c.lastSeen.Before(lastSeen) {
			continue
		}
		replacement, lastSeen = id, c.lastSeen
	}
	return replacement
}

// continueRepair takes the step that is due.
func (n *Node) continueRepair() {
	r := n.repair
	if r == nil {
		return
	}
	s := n.log.Status()
	replacement, joined := s.Membership.Find(r.replacement)
	_, lostPresent := s.Membership.Find(r.lost)
	switch {
	case !joined:
		n.changeMembership(pollenlog.ChangeMembership{
			Add: pollenlog.Replica{ID: r.replacement, Address: r.address},
		})
	case s.Match[r.replacement] < r.target:
		return
	case r.lost != 0 && lostPresent:
		n.changeMembership(pollenlog.ChangeMembership{Remove: r.lost})
	case !replacement.Voter:
		replacement.Voter = true
		n.changeMembership(pollenlog.ChangeMembership{Add: replacement})
		r.target = n.log.Status().Last
	case s.Commit >= r.target:
		n.repair = nil
		n.reply(r.reply, Answer{Verdict: VerdictDone})
	}
}
