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

// settleTries is how often a settlement is sent to a replica that does not
// answer, and settlePause the time between two tries.
const (
	settleTries = 5
	settlePause = 200 * time.Millisecond
)

// sendClaim asks every replica; the answer of this agent's own comes at once.
// The lock is held.
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
	a.hear(now, to.Address, reply.Revision)
	a.stepRequests(now, pollenrequest.ClaimReply{ID: action.ID, Claim: action.Request.Claim, Reply: reply})
}

// sendSettlement tells every replica. The lock is held.
func (a *Sidecar) sendSettlement(now time.Time, action pollenrequest.SendCompletion) []pollenrequest.Event {
	var events []pollenrequest.Event
	for _, m := range action.Replicas {
		if m.Name == a.self.Name {
			a.ledger.Complete(now, action.Completion)
			events = append(events, pollenrequest.AnswerStored{ID: action.ID})
			continue
		}
		go a.callSettle(action, m)
	}
	return events
}

func (a *Sidecar) callSettle(action pollenrequest.SendCompletion, to pollenview.Member) {
	request := pollenwire.Marshal(&action.Completion, pollenwire.MapCompletion)
	for try := range settleTries {
		if try > 0 {
			a.base.Metrics.CountRetry(pollenkernel.RetryReplicaUnreachable)
			time.Sleep(settlePause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := a.base.Client.Call(ctx, to.Address, pollencall.MethodSettle, request)
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
	var q pollenledger.Request
	if err := pollenwire.Unmarshal(request, &q, pollenwire.MapClaim); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	reply := pollenledger.Reply{Verdict: pollenledger.VerdictIncomplete}
	if a.ledger != nil {
		now := time.Now()
		a.hear(now, a.membership.View().Members[q.Claim.Agent].Address, q.Revision)
		reply = a.ledger.Claim(now, q)
	}
	if reply.Verdict == pollenledger.VerdictGranted {
		a.base.Metrics.CountEvent(pollenmetric.EventClaimGranted, 1)
	}
	return pollenwire.Marshal(&reply, pollenwire.MapClaimReply), nil
}

func (a *Sidecar) handleSettle(_ context.Context, request []byte) ([]byte, error) {
	var s pollenledger.Completion
	if err := pollenwire.Unmarshal(request, &s, pollenwire.MapCompletion); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.ledger != nil {
		a.ledger.Complete(time.Now(), s)
	}
	return nil, nil
}

func (a *Sidecar) handleSync(_ context.Context, request []byte) ([]byte, error) {
	var q pollenledger.SyncRequest
	if err := pollenwire.Unmarshal(request, &q, pollenwire.MapSyncRequest); err != nil {
		return nil, err
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	var reply pollenledger.SyncReply
	if a.ledger != nil {
		now := time.Now()
		a.hear(now, q.From, q.Revision)
		reply = a.ledger.HandleSync(now, q)
	}
	return pollenwire.Marshal(&reply, pollenwire.MapSyncReply), nil
}

// syncLedger asks the previous group's replicas for their claims when that is
// due. The lock is held.
func (a *Sidecar) syncLedger(now time.Time) {
	before := a.ledger.SyncedEpoch()
	epoch := a.ledger.Group().Epoch
	for _, m := range a.ledger.SyncTargets(now) {
		go a.callSync(epoch, m)
	}
	if a.ledger.SyncedEpoch() != before {
		a.base.Metrics.CountEvent(pollenmetric.EventLedgerExpired, 1)
		a.base.Log.Warn("ledger replica vouches after the retention has passed; its predecessors were lost")
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
	a.ledger.HandleSyncReply(now, epoch, pollenview.ReplicaRef{Name: from.Name, Incarnation: from.Incarnation}, reply)
	if a.ledger.SyncedEpoch() != before {
		a.base.Metrics.CountEvent(pollenmetric.EventLedgerSynced, 1)
		a.announce(now)
	}
}
