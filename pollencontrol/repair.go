package pollencontrol

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// A repair replaces the lost replica at an address by the empty replica that has
// the address now, in three committed steps: the replacement becomes a learner,
// the lost replica is removed once the learner holds every entry of the leader's
// log at the start of the repair, and the learner becomes a voter. A learner that an
// earlier repair left at the address is removed first. The repair is
// reported as done only when the last step is committed and the new voter holds
// it.
type repair struct {
	callToken   Token
	address     netip.AddrPort
	lost        pollenlog.ReplicaID
	replacement pollenlog.ReplicaID
	// target is the index that the learner must hold before it may vote. After
	// the promotion it is the index that the new voter must hold and that must
	// be committed.
	target pollenlog.Index
}

// addCandidate stores the request of an empty replica to join.
func (n *Node) addCandidate(e Join) {
	if _, member := n.log.Status().Membership.Find(e.ID); n.isLeader() && !member {
		n.candidates[e.ID] = candidate{address: e.Address, lastSeen: n.now}
	}
}

// maxCandidateAgeLeases is the maximum age of a request to join, as a multiple
// of Config.Lease.
const maxCandidateAgeLeases = 2

// growMembership adds candidates whose address no replica has, up to the number
// of control hosts in the settings, and promotes learners that have caught up.
// A candidate at the address of another replica joins only through a repair,
// since the loss of a disk must not go unnoticed.
func (n *Node) growMembership() {
	n.expireCandidates()
	if n.repair != nil {
		return
	}
	s := n.log.Status()
	for _, r := range s.Membership.Replicas {
		if !r.Voter && s.Match[r.ID] >= s.Commit && !sharesAddress(s.Membership, r) {
			r.Voter = true
			n.changeMembership(pollenlog.ChangeMembership{Add: r}, ReasonCaughtUp)
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
		n.changeMembership(pollenlog.ChangeMembership{Add: pollenlog.Replica{ID: id, Address: c.address}}, ReasonJoin)
		return
	}
}

// expireCandidates forgets the candidates that have stopped asking.
func (n *Node) expireCandidates() {
	for id, c := range n.candidates {
		if n.now.Sub(c.lastSeen) > maxCandidateAgeLeases*n.config.Lease {
			delete(n.candidates, id)
		}
	}
}

// sharesAddress reports whether another replica has the same address. Only a
// repair may add or promote such a replica.
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

// changeMembership proposes the change and reports it if the log accepts it.
func (n *Node) changeMembership(e pollenlog.ChangeMembership, reason ChangeReason) {
	before := n.log.Status()
	n.lastToken++
	e.Token = n.lastToken
	n.stepLog(e)
	if n.log.Status().Last == before.Last {
		return
	}
	changing := MembershipChanging{Index: before.Last + 1, Replica: e.Add, Removed: e.Remove != 0, Reason: reason}
	if changing.Removed {
		changing.Replica, _ = before.Membership.Find(e.Remove)
		changing.LastContact = before.LastContact[e.Remove]
	}
	n.emit(changing)
}

// startRepair starts the repair of an address. It supersedes a repair of the
// same address that is in progress, and replies with VerdictNotRun while one of
// another address is in progress or when no empty replica at the address has
// asked to join.
func (n *Node) startRepair(e Repair) {
	if !n.isLeader() {
		n.refuseNotRun(e.Token, pollenlog.ErrNotLeader)
		return
	}
	if n.repair != nil && n.repair.address != e.Address {
		n.reply(e.Token, Answer{
			Verdict: VerdictNotRun, Reason: fmt.Sprintf("a repair of %s is already in progress", n.repair.address),
		})
		return
	}
	s := n.log.Status()
	r := &repair{callToken: e.Token, address: e.Address, target: s.Last, replacement: n.replacementAt(e.Address)}
	for _, member := range s.Membership.Replicas {
		if member.Address == e.Address && member.ID != r.replacement && member.Voter {
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
		n.reply(n.repair.callToken, Answer{Verdict: VerdictUnknown, Reason: "superseded by a newer request for the same repair"})
	}
	n.repair = r
	n.continueRepair()
}

// replacementAt returns the replica at the address that is not a voter yet: a
// learner that an earlier repair added, or else the candidate there; zero if there
// is none. A silent learner yields to a candidate, since it has lost its disk as
// well.
func (n *Node) replacementAt(address netip.AddrPort) pollenlog.ReplicaID {
	s := n.log.Status()
	learner, found := learnerAt(s.Membership, address, 0)
	candidate := n.candidateAt(s.Membership, address)
	if found && (candidate == 0 || n.now.Sub(s.LastContact[learner]) < replaceAfter) {
		return learner
	}
	return candidate
}

// candidateAt returns the candidate at the address with the latest request to join,
// or zero. Candidates that are members already are skipped, since the lost replica
// itself once asked to join and must not be taken for its replacement.
func (n *Node) candidateAt(m pollenlog.Membership, address netip.AddrPort) pollenlog.ReplicaID {
	var candidate pollenlog.ReplicaID
	var lastSeen time.Time
	for _, id := range n.candidateIDs() {
		c := n.candidates[id]
		if _, member := m.Find(id); member || c.address != address || c.lastSeen.Before(lastSeen) {
			continue
		}
		candidate, lastSeen = id, c.lastSeen
	}
	return candidate
}

// learnerAt returns the learner at the address other than the given one.
func learnerAt(m pollenlog.Membership, address netip.AddrPort, other pollenlog.ReplicaID) (id pollenlog.ReplicaID, found bool) {
	for _, r := range m.Replicas {
		if r.Address == address && !r.Voter && r.ID != other {
			return r.ID, true
		}
	}
	return 0, false
}

// continueRepair executes the next step of the repair when its condition holds.
func (n *Node) continueRepair() {
	r := n.repair
	if r == nil {
		return
	}
	s := n.log.Status()
	replacement, joined := s.Membership.Find(r.replacement)
	_, lostPresent := s.Membership.Find(r.lost)
	formerLearner, abandoned := learnerAt(s.Membership, r.address, r.replacement)
	switch {
	case abandoned:
		n.changeMembership(pollenlog.ChangeMembership{Remove: formerLearner}, ReasonRequested)
	case !joined:
		n.changeMembership(pollenlog.ChangeMembership{
			Add: pollenlog.Replica{ID: r.replacement, Address: r.address},
		}, ReasonRequested)
	case s.Match[r.replacement] < r.target:
		return
	case r.lost != 0 && lostPresent:
		n.changeMembership(pollenlog.ChangeMembership{Remove: r.lost}, ReasonRequested)
	case !replacement.Voter:
		replacement.Voter = true
		n.changeMembership(pollenlog.ChangeMembership{Add: replacement}, ReasonRequested)
		r.target = n.log.Status().Last
	case s.Commit >= r.target:
		n.repair = nil
		n.reply(r.callToken, Answer{Verdict: VerdictDone})
	}
}
