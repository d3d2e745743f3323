package pollenrequest

import (
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

// requestClaim requests a claim on the request's idempotency key from the ledger
// group. It schedules a retry instead if no majority of the group is live.
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

// handleClaimReply places the request once a majority has granted its claim, and
// refuses or retries it when all live replicas have replied without a majority.
// A claim that is granted only after its release is released again.
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
		// The claim need not be released at replicas that granted it, since
		// the key has its answer.
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
	n.handleUngrantedClaim(r)
}

// handleUngrantedClaim handles a claim that no majority granted. It refuses the
// request if the replicas that granted the claim and those that replied
// VerdictUnknown, of which there is at least one, form a majority. Otherwise it
// retries.
func (n *Node) handleUngrantedClaim(r *request) {
	if r.unknown > 0 && r.granted+r.unknown >= pollenview.Majority(len(n.ledgerGroup.Replicas)) {
		n.completeClaim(r, pollenledger.ClaimReleased)
		n.finish(r, Refuse{
			ID: r.ID, Reason: pollenkernel.RefusalClaimUnknown, Execution: pollenkernel.ExecutionUnknown,
		})
		return
	}
	n.retryClaim(r)
}

// retryClaim schedules another request for the claim after a random pause of
// half to one and a half times ClaimRetry. It releases the partial claim until
// then, so that one of several contending claims can win.
func (n *Node) retryClaim(r *request) {
	n.completeClaim(r, pollenledger.ClaimReleased)
	n.claimSequence++
	r.claim.Sequence = n.claimSequence
	jitter := time.Duration(n.random.Int64N(int64(n.config.ClaimRetry)))
	r.claimRetryAt = n.now.Add(n.config.ClaimRetry/2 + jitter)
	n.emit(CountRetry{Reason: pollenkernel.RetryClaimContended})
}

// expireClaim refuses a request whose claim was not granted by its deadline.
func (n *Node) expireClaim(r *request) {
	reason := pollenkernel.RefusalNoQuorum
	if r.contended > 0 {
		reason = pollenkernel.RefusalClaimHeld
	}
	n.refuse(r, reason)
}

// completeClaim reports to the replicas how the request's claim ended, and
// records a released claim in releasedClaims. It does nothing for a request
// without a claim.
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

// releaseClaim releases a claim at every replica.
func (n *Node) releaseClaim(key string, claim pollenledger.ClaimID) {
	n.emit(SendCompletion{Replicas: n.replicas(), Completion: pollenledger.Completion{
		Service: n.service.Name, Key: key, Claim: claim, State: pollenledger.ClaimReleased,
	}})
}

// storeAnswer stores the answer in the ledger before it is sent to the caller,
// so that a repeated request gets the same answer.
func (n *Node) storeAnswer(r *request) {
	r.stage = stageStoring
	r.storeDeadline = n.now.Add(n.config.StoreTimeout)
	n.completeClaim(r, pollenledger.ClaimDone)
}

// handleAnswerStored sends the answer to the caller once a majority has stored
// it.
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
