package pollencontrol

import (
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// repairTimeout is how long a repair may take before it is abandoned and started
// again, since the empty replica may be lost as well.
const repairTimeout = 10 * time.Second

// replaceLost does the repairs that are otherwise requested by an operator: an
// empty replica at the address of a silent one takes its place. While there is no
// such repair, the other changes of the membership are made that are due.
func (n *Node) replaceLost() {
	s := n.log.Status()
	if n.repair != nil && (n.now.Sub(n.repair.startTime) >= repairTimeout || n.replacementLost(s)) {
		n.repair = nil
	}
	if n.repair == nil {
		n.startAutoRepair(s)
	}
	if n.repair != nil {
		return
	}
	n.expireCandidates()
	r := roster{
		now: n.now, status: s, electedAt: n.leaderSince, contactWindow: n.config.Log.ElectionTimeout, limit: n.config.Replicas,
	}
	for _, id := range n.candidateIDs() {
		r.candidates = append(r.candidates, pollenlog.Replica{ID: id, Address: n.candidates[id].address})
	}
	if change, reason, due := r.next(); due {
		n.changeMembership(change, reason)
	}
}

// replacementLost reports whether the replacement of the repair is gone: it has fallen
// silent, and another empty replica is at its address.
func (n *Node) replacementLost(s pollenlog.Status) bool {
	candidate := n.candidateAt(s.Membership, n.repair.address)
	if _, joined := s.Membership.Find(n.repair.replacement); !joined {
		return candidate != n.repair.replacement
	}
	return candidate != 0 && n.now.Sub(s.LastContact[n.repair.replacement]) >= replaceAfter
}

// startAutoRepair starts the repair of the first silent replica whose address an
// empty replica has taken over.
func (n *Node) startAutoRepair(s pollenlog.Status) {
	for _, id := range n.candidateIDs() {
		c := n.candidates[id]
		if _, member := s.Membership.Find(id); member {
			continue
		}
		for _, r := range s.Membership.Replicas {
			if r.Address == c.address && r.ID != id && n.now.Sub(s.LastContact[r.ID]) >= replaceAfter {
				n.startRepair(Repair{Address: c.address})
				return
			}
		}
	}
}
