package pollencontrol

import (
	"time"

	"pollenstep.example/pollenstep/pollenlog"
)

// Limits for the changes of the membership that a leader makes by itself.
const (
	// replaceAfter is how long a replica must be silent before another one may
	// take its place. A replica whose disk is lost can no longer answer, and any
	// message of it that is still in flight is then older than this.
	replaceAfter = time.Second
	// removeAfter is how long a replica must be silent before it is removed
	// without a successor, so that it no longer counts for the majority. It
	// exceeds the longest freeze of a process in the traces.
	removeAfter = 8 * time.Second
	// minVoters is the number of answering voters that a removal without a
	// successor must leave, so that a majority survives one more loss.
	minVoters = 3
)

// A ChangeReason explains a change of the membership.
type ChangeReason string

// Reasons for a change of the membership.
const (
	// ReasonJoin is an empty replica that asked to join.
	ReasonJoin ChangeReason = "join"
	// ReasonCaughtUp is a learner that holds every committed entry.
	ReasonCaughtUp ChangeReason = "caught-up"
	// ReasonSucceeded is a silent replica whose place another one takes.
	ReasonSucceeded ChangeReason = "succeeded"
	// ReasonSilent is a replica that was silent for too long.
	ReasonSilent ChangeReason = "silent"
	// ReasonRequested is a repair that an operator requested.
	ReasonRequested ChangeReason = "requested"
)

// A roster is what a leader knows about the replicas when it decides on the next
// change of the membership. The decision rests on nothing else, so a later leader
// continues where an earlier one was lost.
//
// A learner gets a vote in the place of a silent voter, which is removed first. If
// both had a vote, each replaced host would leave one more voter that never
// answers, until the next loss takes the majority.
type roster struct {
	now       time.Time
	status    pollenlog.Status
	electedAt time.Time
	// contactWindow is the age up to which an answer proves that a replica is up.
	contactWindow time.Duration
	// candidates are the empty replicas that ask to join, by ascending ID.
	candidates []pollenlog.Replica
	// limit is the maximum number of replicas.
	limit int
}

// changeRoster makes the next change of the membership that is due without an
// operator.
func (n *Node) changeRoster() {
	n.expireCandidates()
	r := roster{
		now: n.now, status: n.log.Status(), electedAt: n.leaderSince, contactWindow: n.config.Log.ElectionTimeout, limit: n.config.Replicas,
	}
	for _, id := range n.candidateIDs() {
		r.candidates = append(r.candidates, pollenlog.Replica{ID: id, Address: n.candidates[id].address})
	}
	if change, reason, due := r.next(); due {
		n.changeMembership(change, reason)
	}
}

// next returns the next change that is due and its reason; the result is false
// when there is none.
func (r *roster) next() (pollenlog.ChangeMembership, ChangeReason, bool) {
	for _, decide := range []func() (pollenlog.ChangeMembership, ChangeReason, bool){
		r.dropLearner, r.seatLearner, r.admit, r.dropVoter,
	} {
		if change, reason, due := decide(); due {
			return change, reason, true
		}
	}
	return pollenlog.ChangeMembership{}, "", false
}

func (r *roster) silence(id pollenlog.ReplicaID) time.Duration {
	if id == r.status.ID {
		return 0
	}
	return r.now.Sub(r.status.LastContact[id])
}

// answers reports whether the replica has answered this leader just now.
func (r *roster) answers(id pollenlog.ReplicaID) bool {
	return id == r.status.ID || r.silence(id) < r.contactWindow && r.status.LastContact[id].After(r.electedAt)
}

// longestSilent returns the voter or learner that has been silent for the longest
// time, if that is replaceAfter or more.
func (r *roster) longestSilent(voter bool) (pollenlog.ReplicaID, bool) {
	var longest pollenlog.ReplicaID
	for _, m := range r.status.Membership.Replicas {
		if m.Voter == voter && r.silence(m.ID) >= replaceAfter && (longest == 0 || r.silence(m.ID) > r.silence(longest)) {
			longest = m.ID
		}
	}
	return longest, longest != 0
}

func (r *roster) answeringVoters() int {
	n := 0
	for _, m := range r.status.Membership.Replicas {
		if m.Voter && r.answers(m.ID) {
			n++
		}
	}
	return n
}

// at returns the replica at the address of c that is not c itself and has or has not
// a vote.
func (r *roster) at(c pollenlog.Replica, voter bool) (pollenlog.ReplicaID, bool) {
	for _, m := range r.status.Membership.Replicas {
		if m.Address == c.Address && m.ID != c.ID && m.Voter == voter {
			return m.ID, true
		}
	}
	return 0, false
}

// dropLearner removes a learner that has been silent for too long, or whose address an
// empty replica has taken over.
func (r *roster) dropLearner() (pollenlog.ChangeMembership, ChangeReason, bool) {
	for _, m := range r.status.Membership.Replicas {
		if !m.Voter && r.silence(m.ID) >= removeAfter {
			return pollenlog.ChangeMembership{Remove: m.ID}, ReasonSilent, true
		}
	}
	for _, c := range r.candidates {
		if learner, ok := r.at(c, false); ok && !r.isMember(c) && r.silence(learner) >= replaceAfter {
			return pollenlog.ChangeMembership{Remove: learner}, ReasonSucceeded, true
		}
	}
	return pollenlog.ChangeMembership{}, "", false
}

func (r *roster) isMember(c pollenlog.Replica) bool {
	_, member := r.status.Membership.Find(c.ID)
	return member
}

// seatLearner gives a vote to a learner that has caught up. A voter that is silent
// is removed before; while one has just stopped to answer, the learner waits until
// it answers again or counts as silent. A voter at the address of the learner has lost
// its disk; no other one is removed for this learner.
func (r *roster) seatLearner() (pollenlog.ChangeMembership, ChangeReason, bool) {
	for _, m := range r.status.Membership.Replicas {
		if m.Voter || !r.answers(m.ID) || r.status.Match[m.ID] < r.status.Commit {
			continue
		}
		lost, shared := r.at(m, true)
		if !shared {
			lost, _ = r.longestSilent(true)
		}
		if lost != 0 && r.silence(lost) >= replaceAfter {
			return pollenlog.ChangeMembership{Remove: lost}, ReasonSucceeded, true
		}
		if !shared && r.answeringVoters() == r.status.Membership.VoterCount() {
			m.Voter = true
			return pollenlog.ChangeMembership{Add: m}, ReasonCaughtUp, true
		}
	}
	return pollenlog.ChangeMembership{}, "", false
}

// admit adds a candidate as a learner. If the membership is full, a silent replica
// is removed first; a candidate at the address of a silent voter replaces it in any
// case.
func (r *roster) admit() (pollenlog.ChangeMembership, ChangeReason, bool) {
	for _, c := range r.candidates {
		lost, shared := r.at(c, true)
		_, waits := r.at(c, false)
		if r.isMember(c) || waits || shared && r.silence(lost) < replaceAfter {
			continue
		}
		if shared || len(r.status.Membership.Replicas) < r.limit {
			return pollenlog.ChangeMembership{Add: c}, ReasonJoin, true
		}
		if silent, ok := r.longestSilent(false); ok {
			return pollenlog.ChangeMembership{Remove: silent}, ReasonSucceeded, true
		}
		if silent, ok := r.longestSilent(true); ok && r.answeringVoters() >= minVoters {
			return pollenlog.ChangeMembership{Remove: silent}, ReasonSucceeded, true
		}
	}
	return pollenlog.ChangeMembership{}, "", false
}

// dropVoter removes a voter that has been silent for too long, if enough others
// answer.
func (r *roster) dropVoter() (pollenlog.ChangeMembership, ChangeReason, bool) {
	silent, ok := r.longestSilent(true)
	if ok && r.silence(silent) >= removeAfter && r.answeringVoters() >= minVoters {
		return pollenlog.ChangeMembership{Remove: silent}, ReasonSilent, true
	}
	return pollenlog.ChangeMembership{}, "", false
}
