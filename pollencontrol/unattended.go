package pollencontrol

import (
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// Times after which an unattended leader acts on a silent replica.
const (
	// goneAfter is how long a replica must be silent before an empty one at its
	// address may replace it: a disk that is lost cannot answer, and a message
	// of the lost replica that is still on its way is older than this.
	goneAfter = time.Second
	// removeAfter is how long a voter must be silent before it is removed in
	// favour of the others; the freezes of the traces last less.
	removeAfter = 8 * time.Second
	// repairBound is how long one repair may take before it begins anew, since
	// the empty replica may be lost as well.
	repairBound = 10 * time.Second
	// fewestVoters is never gone below by a removal, so that one more loss
	// leaves a majority.
	fewestVoters = 3
)

// replaceLost repairs what an operator would be asked to: an empty replica at
// the address of a silent one takes its place, and a voter that stays silent is
// removed when enough others remain.
func (n *Node) replaceLost() {
	s := n.log.Status()
	if n.repair != nil && n.now.Sub(n.repair.begun) >= repairBound {
		n.repair = nil
	}
	if n.repair == nil {
		n.repairLost(s)
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
	if silent != 0 && live >= fewestVoters {
		n.changeMembership(pollenlog.ChangeMembership{Remove: silent})
	}
}

// repairLost begins the repair of the first replica whose address an empty one
// has taken over.
func (n *Node) repairLost(s pollenlog.Status) {
	for _, id := range n.candidateIDs() {
		c := n.candidates[id]
		if _, member := s.Membership.Find(id); member {
			continue
		}
		for _, r := range s.Membership.Replicas {
			if r.Address == c.address && r.ID != id && n.now.Sub(s.LastContact[r.ID]) >= goneAfter {
				n.beginRepair(Repair{Address: c.address})
				return
			}
		}
	}
}
