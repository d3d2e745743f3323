package pollensidecar

import (
	"context"
	"time"

	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

const (
	// completionAttempts is the maximum number of times that a completion is
	// sent to a replica that does not answer.
	completionAttempts = 5
	// completionRetryInterval is the pause between two attempts.
	completionRetryInterval = 200 * time.Millisecond
)

// sendClaim sends a claim to every ledger replica. It returns the reply of this
// agent's own replica; the other replies arrive later. The lock is held.
func (a *Sidecar) sendClaim(now time.Time, action pollenrequest.SendClaim) []pollenrequest.Event {
	var events []pollenrequest.Event
	for _, m := range action.Replicas {
		if m.Name == a.self.Name {
			events = append(events, pollenrequest.ClaimReply{
				ID: action.ID, Claim: action.Request.Claim, Reply: a.ledger.Claim(now, action.Request),
			})
			continue
		}
		go a.callClaim(action, m)
	}
	return events
}

// callClaim sends a claim to another agent's replica. A failed call counts as the
// verdict VerdictIncomplete.
func (a *Sidecar) callClaim(action pollenrequest.SendClaim, to pollenview.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := pollenledger.Reply{Verdict: pollenledger.VerdictIncomplete}
	answer, err := a.base.Client.Call(ctx, to.Address, pollencall.MethodClaim, pollenwire.Marshal(&action.Request, pollenwire.MapClaim))
	if err == nil {
		err = pollenwire.Unmarshal(answer, &reply, pollenwire.MapClaimReply)
	}
	if err != nil {
		a.base.Metrics.CountRetry(pollenkernel.RetryReplicaUnreachable)
		reply = pollenledger.Reply{Verdict: pollenledger.VerdictIncomplete}
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	now := time.Now()
	a.recordRevision(now, to.Address, reply.Revision)
	a.stepRequests(now, pollenrequest.ClaimReply{ID: action.ID, Claim: action.Request.Claim, Reply: reply})
}

// sendCompletion sends the completion of a claim to every ledger replica and
// returns the event of this agent's own replica. The lock is held.
func (a *Sidecar) sendCompletion(now time.Time, action pollenrequest.SendCompletion) []pollenrequest.Event {
	var events []pollenrequest.Event
	for _, m := range action.Replicas {
		if m.Name == a.self.Name {
			a.ledger.Complete(now, action.Completion)
			events = append(events, pollenrequest.AnswerStored{ID: action.ID})
			continue
		}
		go a.callComplete(action, m)
	}
	return events
}

// callComplete sends a completion to another agent's replica, in up to
// completionAttempts attempts.
func (a *Sidecar) callComplete(action pollenrequest.SendCompletion, to pollenview.Member) {
	request := pollenwire.Marshal(&action.Completion, pollenwire.MapCompletion)
	for attempt := range completionAttempts {
		if attempt > 0 {
			a.base.Metrics.CountRetry(pollenkernel.RetryReplicaUnreachable)
			time.Sleep(completionRetryInterval)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := a.base.Client.Call(ctx, to.Address, pollencall.MethodComplete, request)
		cancel()
		if err == nil {
			a.membership.Lock()
			a.stepRequests(time.Now(), pollenrequest.AnswerStored{ID: action.ID})
			a.membership.Unlock()
			return
		}
	}
}

func (a *Sidecar) handleClaim(_ context.Context, request []byte) ([]byte, error) {
	var claim pollenledger.Request
	if err := pollenwire.Unmarshal(request, &claim, pollenwire.MapClaim); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	reply := pollenledger.Reply{Verdict: pollenledger.VerdictIncomplete}
	if a.ledger != nil {
		now := time.Now()
		a.recordRevision(now, a.membership.View().Members[claim.Claim.Agent].Address, claim.Revision)
		reply = a.ledger.Claim(now, claim)
	}
	if reply.Verdict == pollenledger.VerdictGranted {
		a.base.Metrics.CountEvent(pollenmetric.EventClaimGranted, 1)
	}
	return pollenwire.Marshal(&reply, pollenwire.MapClaimReply), nil
}

func (a *Sidecar) handleComplete(_ context.Context, request []byte) ([]byte, error) {
	var completion pollenledger.Completion
	if err := pollenwire.Unmarshal(request, &completion, pollenwire.MapCompletion); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.ledger != nil {
		a.ledger.Complete(time.Now(), completion)
	}
	return nil, nil
}

func (a *Sidecar) handleSync(_ context.Context, request []byte) ([]byte, error) {
	var syncRequest pollenledger.SyncRequest
	if err := pollenwire.Unmarshal(request, &syncRequest, pollenwire.MapSyncRequest); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	var reply pollenledger.SyncReply
	if a.ledger != nil {
		now := time.Now()
		a.recordRevision(now, syncRequest.From, syncRequest.Revision)
		reply = a.ledger.HandleSync(now, syncRequest)
	}
	return pollenwire.Marshal(&reply, pollenwire.MapSyncReply), nil
}

// syncLedger asks the previous group's replicas for their claims when that is
// due. When the replica no longer needs them, because they have expired after the
// retention, it announces the agent. The lock is held.
func (a *Sidecar) syncLedger(now time.Time) {
	before := a.ledger.SyncedEpoch()
	epoch := a.ledger.Group().Epoch
	for _, m := range a.ledger.SyncTargets(now) {
		go a.callSync(epoch, m)
	}
	if a.ledger.SyncedEpoch() != before {
		a.base.Metrics.CountEvent(pollenmetric.EventLedgerRetentionElapsed, 1)
		a.base.Log.Warn("previous ledger replicas were lost; their claims have expired, so this replica serves without them")
		a.announce(now)
	}
}

func (a *Sidecar) callSync(epoch uint64, from pollenview.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a.membership.Lock()
	request := pollenledger.SyncRequest{Service: a.self.Service, Epoch: epoch, From: a.self.Address}
	request.Revision = a.membership.View().Revision
	a.membership.Unlock()
	answer, err := a.base.Client.Call(ctx, from.Address, pollencall.MethodSync, pollenwire.Marshal(&request, pollenwire.MapSyncRequest))
	var reply pollenledger.SyncReply
	if err != nil || pollenwire.Unmarshal(answer, &reply, pollenwire.MapSyncReply) != nil {
		a.base.Metrics.CountRetry(pollenkernel.RetryReplicaUnreachable)
		return
	}
	now := time.Now()
	a.membership.Lock()
	defer a.membership.Unlock()
	before := a.ledger.SyncedEpoch()
	a.ledger.HandleSyncReply(now, epoch, pollenview.MemberRef{Name: from.Name, Incarnation: from.Incarnation}, reply)
	if a.ledger.SyncedEpoch() != before {
		a.base.Metrics.CountEvent(pollenmetric.EventLedgerSynced, 1)
		a.announce(now)
	}
}
