package pollenrequest

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

// askClaim asks the ledger group for the request's key.
func (n *Node) askClaim(r *request) {
	r.stage = stageClaiming
	r.epoch = n.group.Epoch
	r.answered, r.granted, r.contended, r.unknown = 0, 0, 0, 0
	r.again = time.Time{}
	replicas := n.replicas()
	if len(replicas) < pollenview.Majority(len(n.group.Replicas)) || len(replicas) == 0 {
		n.retryClaim(r)
		return
	}
	n.emit(SendClaim{
		ID: r.ID, Replicas: replicas,
		Request: pollenledger.Request{
			Service: n.service.Name, Key: r.Key, Claim: r.claim, Epoch: r.epoch, Revision: n.view.Revision,
		},
	})
}

// replicas returns the live members of the ledger group.
func (n *Node) replicas() []pollenview.Member {
	var members []pollenview.Member
	for _, ref := range n.group.Replicas {
		if n.view.Live(ref) {
			members = append(members, n.view.Members[ref.Name])
		}
	}
	return members
}

func (n *Node) claimReply(e ClaimReply) {
	if key, gone := n.released.Get(n.now, e.Claim); gone {
		if e.Reply.Verdict == pollenledger.VerdictGranted {
			n.release(key, e.Claim)
		}
		return
	}
	r, ok := n.requests[e.ID]
	if !ok || r.stage != stageClaiming || e.Claim != r.claim || !r.again.IsZero() {
		return
	}
	r.answered++
	switch e.Reply.Verdict {
	case pollenledger.VerdictGranted:
		if e.Reply.Epoch == r.epoch {
			r.granted++
		}
	case pollenledger.VerdictDone:
		// A grant that this claim won elsewhere is in the way of nothing: the
		// key is settled.
		n.finish(r, SendAnswer{ID: r.ID, Answer: e.Reply.Answer, Repeated: true})
		return
	case pollenledger.VerdictUnknown:
		r.unknown++
	case pollenledger.VerdictRunning:
		r.contended++
	}
	size := len(n.group.Replicas)
	if r.epoch != n.group.Epoch {
		n.retryClaim(r)
		return
	}
	if r.granted >= pollenview.Majority(size) {
		r.claimed = true
		n.place(r)
		return
	}
	if r.answered < len(n.replicas()) {
		return
	}
	n.claimLost(r)
}

// claimLost decides about a claim that no majority granted.
func (n *Node) claimLost(r *request) {
	if r.unknown > 0 && r.granted+r.unknown >= pollenview.Majority(len(n.group.Replicas)) {
		n.settle(r, pollenledger.ClaimReleased)
		n.finish(r, Refuse{
			ID: r.ID, Reason: pollenkernel.RefusalClaimUnknown, Execution: pollenkernel.ExecutionUnknown,
		})
		return
	}
	n.retryClaim(r)
}

// retryClaim asks again after a pause, and drops the partial claim meanwhile,
// so that of several contenders one can win.
func (n *Node) retryClaim(r *request) {
	n.settle(r, pollenledger.ClaimReleased)
	n.sequence++
	r.claim.Sequence = n.sequence
	jitter := time.Duration(n.random.Int64N(int64(n.config.ClaimRetry)))
	r.again = n.now.Add(n.config.ClaimRetry/2 + jitter)
	n.emit(CountRetry{Reason: pollenkernel.RetryClaimContended})
}

// expireClaim refuses a request whose claim was not won in time.
func (n *Node) expireClaim(r *request) {
	why := pollenkernel.RefusalNoQuorum
	if r.contended > 0 {
		why = pollenkernel.RefusalClaimHeld
	}
	n.refuse(r, why)
}

// settle tells the replicas how the request's claim ended.
func (n *Node) settle(r *request, state pollenledger.ClaimState) {
	if r.claim.Sequence == 0 {
		return
	}
	if state == pollenledger.ClaimReleased {
		n.released.Put(n.now, r.claim, r.Key)
		n.release(r.Key, r.claim)
		return
	}
	n.emit(SendCompletion{
		ID: r.ID, Replicas: n.replicas(),
		Completion: pollenledger.Completion{
			Service: n.service.Name, Key: r.Key, Claim: r.claim, State: state, Answer: r.outcome,
		},
	})
}

// release drops a claim at every replica.
func (n *Node) release(key string, claim pollenledger.ClaimID) {
	n.emit(SendCompletion{Replicas: n.replicas(), Completion: pollenledger.Completion{
		Service: n.service.Name, Key: key, Claim: claim, State: pollenledger.ClaimReleased,
	}})
}

// store gives the answer to the ledger before the caller gets it, so that a
// repeat gets the same one.
func (n *Node) store(r *request) {
	r.stage = stageStoring
	r.until = n.now.Add(n.config.StoreWait)
	n.settle(r, pollenledger.ClaimDone)
}

func (n *Node) storedReply(e AnswerStored) {
	r, ok := n.requests[e.ID]
	if !ok || r.stage != stageStoring {
		return
	}
	r.stored++
	if r.stored >= pollenview.Majority(len(n.group.Replicas)) {
		n.finish(r, SendAnswer{ID: r.ID, Answer: r.outcome})
	}
}
