package pollenrequest

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

// askClaim asks the ledger group for the request's key.
func (n *Node) requestClaim(r *request) {
	r.stage = stageClaiming
	r.epoch = n.ledgerGroup.Epoch
	r.replies, r.granted, r.contended, r.unknown = 0, 0, 0, 0
	r.claimRetryAt = time.Time{}
	replicas := n.replicas()
	if len(replicas) < pollenview.Majority(len(n.ledgerGroup.Replicas)) || len(replicas) == 0 {
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
	for _, ref := range n.ledgerGroup.Replicas {
		if n.view.Live(ref) {
			members = append(members, n.view.Members[ref.Name])
		}
	}
	return members
}

func (n *Node) handleClaimReply(e ClaimReply) {
	if key, released := n.releasedClaims.Get(n.now, e.Claim); released {
		if e.Reply.Verdict == pollenledger.VerdictGranted {
			n.releaseClaim(key, e.Claim)
		}
		return
	}
	r, ok := n.requests[e.ID]
	if !ok || r.stage != stageClaiming || e.Claim != r.claim || !r.claimRetryAt.IsZero() {
		return
	}
	r.replies++
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
	size := len(n.ledgerGroup.Replicas)
	if r.epoch != n.ledgerGroup.Epoch {
		n.retryClaim(r)
		return
	}
	if r.granted >= pollenview.Majority(size) {
		r.claimed = true
		n.place(r)
		return
	}
	if r.replies < len(n.replicas()) {
		return
	}
	n.handleLostClaim(r)
}

// claimLost decides about a claim that no majority granted.
func (n *Node) handleLostClaim(r *request) {
	if r.unknown > 0 && r.granted+r.unknown >= pollenview.Majority(len(n.ledgerGroup.Replicas)) {
		n.completeClaim(r, pollenledger.ClaimReleased)
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
	n.completeClaim(r, pollenledger.ClaimReleased)
	n.claimSequence++
	r.claim.Sequence = n.claimSequence
	jitter := time.Duration(n.random.Int64N(int64(n.config.ClaimRetry)))
	r.claimRetryAt = n.now.Add(n.config.ClaimRetry/2 + jitter)
	n.emit(CountRetry{Reason: pollenkernel.RetryClaimContended})
}

// expireClaim refuses a request whose claim was not won in time.
func (n *Node) expireClaim(r *request) {
	reason := pollenkernel.RefusalNoQuorum
	if r.contended > 0 {
		reason = pollenkernel.RefusalClaimHeld
	}
	n.refuse(r, reason)
}

// settle tells the replicas how the request's claim ended.
func (n *Node) completeClaim(r *request, state pollenledger.ClaimState) {
	if r.claim.Sequence == 0 {
		return
	}
	if state == pollenledger.ClaimReleased {
		n.releasedClaims.Put(n.now, r.claim, r.Key)
		n.releaseClaim(r.Key, r.claim)
		return
	}
	n.emit(SendCompletion{
		ID: r.ID, Replicas: n.replicas(),
		Completion: pollenledger.Completion{
			Service: n.service.Name, Key: r.Key, Claim: r.claim, State: state, Answer: r.answer,
		},
	})
}

// release drops a claim at every replica.
func (n *Node) releaseClaim(key string, claim pollenledger.ClaimID) {
	n.emit(SendCompletion{Replicas: n.replicas(), Completion: pollenledger.Completion{
		Service: n.service.Name, Key: key, Claim: claim, State: pollenledger.ClaimReleased,
	}})
}

// store gives the answer to the ledger before the caller gets it, so that a
// repeat gets the same one.
func (n *Node) storeAnswer(r *request) {
	r.stage = stageStoring
	r.storeDeadline = n.now.Add(n.config.StoreTimeout)
	n.completeClaim(r, pollenledger.ClaimDone)
}

func (n *Node) handleAnswerStored(e AnswerStored) {
	r, ok := n.requests[e.ID]
	if !ok || r.stage != stageStoring {
		return
	}
	r.storedReplicas++
	if r.storedReplicas >= pollenview.Majority(len(n.ledgerGroup.Replicas)) {
		n.finish(r, SendAnswer{ID: r.ID, Answer: r.answer})
	}
}
