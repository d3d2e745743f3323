package pollencontrol

import (
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// Limits for automatic repair by the leader.
const (
	// replaceAfter is how long a replica must be silent before an empty one at
	// its address may replace it. A replica whose disk is lost can no longer
	// answer, and any message of it that is still in flight is then older than
	// this.
	replaceAfter = time.Second
	// removeAfter is how long a replica must be silent before it is removed,
	// so that it no longer counts for the majority. It exceeds the longest
	// freeze of a process in the traces.
	removeAfter = 8 * time.Second
	// repairTimeout is how long a repair may take before it is abandoned and
	// started again, since the empty replica may be lost as well.
	repairTimeout = 10 * time.Second
	// minVoters is the number of voters that a removal must leave, so that a
	// majority survives one more loss.
	minVoters = 3
)

// replaceLost does the repairs that are otherwise requested by an operator: an
// empty replica at the address of a silent one takes its place, and a replica
// that stays silent is removed when enough voters remain.
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
	live := 0
	var silent pollenlog.ReplicaID
	for _, r := range s.Membership.Replicas {
		switch {
		case r.ID != s.ID && n.now.Sub(s.LastContact[r.ID]) >= removeAfter:
			silent = r.ID
		case r.Voter:
			live++
		}
	}
	if silent != 0 && live >= minVoters {
		n.changeMembership(pollenlog.ChangeMembership{Remove: silent})
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
