package pollennode

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Errors of operators' calls.
var (
	// ErrRefused is the cause of errors about calls that are invalid, for instance
	// because they contradict themselves.
	ErrRefused = errors.New("operator call is refused")
	// ErrUndecided is the cause of errors about calls that may or may not take
	// effect. The same call may be sent again, to this or another balancer.
	ErrUndecided = errors.New("operator call is undecided")
	// errConflict is the cause of errors about calls that had no effect since the
	// state had changed.
	errConflict = errors.New("operator call is overtaken")
)

// Timing of operators' calls.
const (
	// callTimeout is the time after which an unanswered call is sent again: twice
	// the time of a commit on a slow disk.
	callTimeout = 250 * time.Millisecond
	// leaderPollInterval is the interval at which a call checks for a leader.
	leaderPollInterval = 30 * time.Millisecond
	// callerLeaveTime is the time by which the end of a caller's connection may
	// arrive later than the call if both were held up on their way.
	callerLeaveTime = 20 * time.Millisecond
)

// Declare puts a declaration in force. It returns nil once the declaration or a
// higher version is committed. The cause of its errors is ErrRefused or
// ErrUndecided.
func (b *Balancer) Declare(ctx context.Context, d *pollendocument.Declaration) error {
	_, err := b.callLeader(ctx, pollenlink.MethodDeclare, pollenwire.Marshal(d, pollenwire.MapDeclaration))
	return err
}

// SetEvacuation starts or ends the evacuation of a failure domain. It returns nil
// once that is committed. The cause of its errors is ErrRefused or ErrUndecided.
//
// The context must end when the caller has stopped to wait, since the caller may then
// have sent the call elsewhere, and a newer one after it. The call takes effect only if
// the caller was still waiting when a revision was read after which no other evacuation
// was committed. Thus a call that was held up here or on its way, or that is sent twice,
// never undoes a newer one. SetEvacuation sets e.Known.
func (b *Balancer) SetEvacuation(ctx context.Context, e pollenview.Evacuation) error {
	for {
		body, err := b.callLeader(ctx, pollenlink.MethodGetRevision, nil)
		if err != nil {
			return err
		}
		if err := pollenwire.Unmarshal(body, &e.Known, pollenwire.MapRevision); err != nil {
			return errors.Wrap(err, "decode revision from the leading control host")
		}
		if pause(ctx, callerLeaveTime); ctx.Err() != nil {
			return errors.Wrap(ErrUndecided, ctx.Err().Error())
		}
		_, err = b.callLeader(ctx, pollenlink.MethodEvacuate, pollenwire.Marshal(&e, pollenwire.MapEvacuation))
		if !errors.Is(err, errConflict) {
			return err
		}
	}
}

// Declaration returns the declaration in force, with its source. It asks the leading
// control host, so the result includes every declaration committed before the
// call.
func (b *Balancer) Declaration(ctx context.Context) (pollendocument.Declaration, error) {
	var d pollendocument.Declaration
	body, err := b.callLeader(ctx, pollenlink.MethodGetDeclaration, nil)
	if err != nil {
		return d, err
	}
	err = pollenwire.Unmarshal(body, &d, pollenwire.MapDeclaration)
	return d, errors.Wrap(err, "decode declaration from the leading control host")
}

// callLeader calls the leading control host until it decides the call or the
// context ends. Every call may be repeated because it states the wanted result
// and not a change, and names the version or revision that it follows.
func (b *Balancer) callLeader(ctx context.Context, method pollenlink.Method, body []byte) ([]byte, error) {
	last := "no leading control host is known"
	var targets callTargets
	for tries := 0; ctx.Err() == nil; tries++ {
		target := targets.next(b.Leader(time.Now()), b.otherReplicas())
		if !target.IsValid() {
			pause(ctx, leaderPollInterval)
			continue
		}
		if tries > 0 {
			b.metrics.CountRetry(pollenkernel.RetryCall)
		}
		answer, err := b.sendCall(ctx, target, method, body)
		if err != nil {
			last = err.Error()
			targets.timedOut(target)
			continue
		}
		switch answer.Result {
		case pollenlink.ResultDone:
			return answer.Body, nil
		case pollenlink.ResultRefused:
			return nil, errors.Wrap(ErrRefused, answer.Reason)
		case pollenlink.ResultConflict:
			return nil, errors.Wrap(errConflict, answer.Reason)
		case pollenlink.ResultRetry:
			last = answer.Reason
			if targets.answered(target, &answer) {
				b.rejectLeader(time.Now(), target)
			}
		}
		pause(ctx, leaderPollInterval)
	}
	return nil, errors.Wrap(ErrUndecided, last)
}

// rejectLeader records that the host at the address answered that it does not lead.
func (b *Balancer) rejectLeader(now time.Time, address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leadership.Reject(now, address)
}

// otherReplicas returns the other hosts that have a replica of the log.
func (b *Balancer) otherReplicas() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disks()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendCall sends one call to the node at the address, which may be this node, and
// returns its answer. It returns an error if there is none within callTimeout.
func (b *Balancer) sendCall(ctx context.Context, to netip.AddrPort, method pollenlink.Method, body []byte) (pollenlink.Answer, error) {
	answers := make(chan pollenlink.Answer, 1)
	b.mu.Lock()
	b.lastCallID++
	call := pollenlink.Call{ID: b.lastCallID, Method: method, Body: body}
	b.calls[call.ID] = answers
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.calls, call.ID)
		b.mu.Unlock()
	}()
	if to == b.settings.Node {
		b.handleCall(time.Now(), call, func(a pollenlink.Answer) { answers <- a })
	} else {
		b.transport.SendMessage(pollenlink.KindCall, pollenwire.Marshal(&call, pollenwire.MapCall), to)
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return pollenlink.Answer{}, ctx.Err()
	case <-time.After(callTimeout):
		return pollenlink.Answer{}, errors.Errorf("control host %s did not answer within %s", to, callTimeout)
	}
}

// handleCall passes a call to this host's replica of the log and replies once the
// replica has decided it.
func (b *Balancer) handleCall(now time.Time, call pollenlink.Call, reply func(pollenlink.Answer)) {
	if b.control == nil {
		reply(pollenlink.Answer{ID: call.ID, Result: pollenlink.ResultRetry, Reason: "this host has no replica of the log"})
		return
	}
	event, err := eventForCall(call)
	if err != nil {
		reply(pollenlink.Answer{ID: call.ID, Result: pollenlink.ResultRefused, Reason: err.Error()})
		return
	}
	b.control.post(now, controlEvent{event: event, reply: func(a pollencontrol.Answer) { reply(b.answerForCall(call, a)) }})
}

// eventForCall returns a function that creates the event for a call. It returns an
// error if the body is malformed or the method unknown.
func eventForCall(call pollenlink.Call) (func(pollencontrol.Token) pollencontrol.Event, error) {
	switch call.Method {
	case pollenlink.MethodDeclare:
		var d pollendocument.Declaration
		if err := pollenwire.Unmarshal(call.Body, &d, pollenwire.MapDeclaration); err != nil {
			return nil, err
		}
		return func(t pollencontrol.Token) pollencontrol.Event {
			return pollencontrol.Declare{Token: t, Declaration: d}
		}, nil
	case pollenlink.MethodEvacuate:
		var e pollenview.Evacuation
		if err := pollenwire.Unmarshal(call.Body, &e, pollenwire.MapEvacuation); err != nil {
			return nil, err
		}
		return func(t pollencontrol.Token) pollencontrol.Event {
			return pollencontrol.Evacuate{Token: t, Evacuation: e}
		}, nil
	case pollenlink.MethodGetDeclaration, pollenlink.MethodGetRevision:
		return func(t pollencontrol.Token) pollencontrol.Event { return pollencontrol.Query{Token: t} }, nil
	}
	return nil, errors.Errorf("unknown method %q", call.Method)
}

// readResult returns what a call of the method reads from the view.
func readResult(method pollenlink.Method, v *pollenview.View) []byte {
	if method == pollenlink.MethodGetRevision {
		return pollenwire.Marshal(&v.Revision, pollenwire.MapRevision)
	}
	return pollenwire.Marshal(&v.Declared, pollenwire.MapDeclaration)
}

// answerForCall converts the replica's answer to the answer of the call and logs
// it. A successful read is not logged.
func (b *Balancer) answerForCall(call pollenlink.Call, a pollencontrol.Answer) pollenlink.Answer {
	answer := pollenlink.Answer{ID: call.ID, Result: pollenlink.ResultRetry, Reason: a.Reason, Leader: a.Leader}
	switch a.Verdict {
	case pollencontrol.VerdictDone:
		answer.Result = pollenlink.ResultDone
	case pollencontrol.VerdictRefused:
		answer.Result = pollenlink.ResultRefused
	case pollencontrol.VerdictConflict:
		answer.Result = pollenlink.ResultConflict
	case pollencontrol.VerdictNotRun, pollencontrol.VerdictUnknown:
	}
	if a.State != nil {
		answer.Body = readResult(call.Method, a.State.View)
	}
	if a.Refusal != "" {
		b.metrics.CountRefusal(a.Refusal)
	}
	if a.State == nil {
		b.log.Info("operator call answered", pollenrecord.Fields{
			"call": call.ID, "method": call.Method, "result": answer.Result, "reason": a.Reason, "leader": a.Leader,
		})
	}
	return answer
}
