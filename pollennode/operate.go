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
	// ErrRefused is the cause of errors about orders that contradict themselves.
	ErrRefused = errors.New("order is refused")
	// ErrUndecided is the cause of errors after which the same order may be sent
	// again, here or elsewhere.
	ErrUndecided = errors.New("order is undecided")
)

// Timing of operators' calls.
const (
	// callResend is the time after which a call is sent again: twice the time
	// of a commit on a slow disk.
	callResend = 250 * time.Millisecond
	// leaderPause is the time between two looks for a leader.
	leaderPause = 30 * time.Millisecond
)

// Declare puts a declaration in force. It returns when that is committed, or
// when a higher version is.
func (b *Balancer) Declare(ctx context.Context, d *pollendocument.Declaration) error {
	_, err := b.operate(ctx, pollenlink.MethodDeclare, pollenwire.Marshal(d, pollenwire.MapDeclaration))
	return err
}

// SetEvacuation takes a failure domain out or back. It returns when that is committed.
func (b *Balancer) SetEvacuation(ctx context.Context, e pollenview.Evacuation) error {
	_, err := b.operate(ctx, pollenlink.MethodEvacuate, pollenwire.Marshal(&e, pollenwire.MapEvacuation))
	return err
}

// Declared returns the declaration that is surely in force, with its source.
func (b *Balancer) Declaration(ctx context.Context) (pollendocument.Declaration, error) {
	var d pollendocument.Declaration
	body, err := b.operate(ctx, pollenlink.MethodGetDeclaration, nil)
	if err != nil {
		return d, err
	}
	err = pollenwire.Unmarshal(body, &d, pollenwire.MapDeclaration)
	return d, errors.Wrap(err, "answer of the leading control host")
}

// operate asks the leading control host until it answers or the context ends.
// Every order may be repeated: it names what is wanted, not a change.
func (b *Balancer) operate(ctx context.Context, method pollenlink.Method, body []byte) ([]byte, error) {
	last := "no leading control host is known"
	for tries := 0; ctx.Err() == nil; tries++ {
		leader := b.Leader()
		if !leader.IsValid() {
			pause(ctx, leaderPause)
			continue
		}
		if tries > 0 {
			b.metrics.CountRetry(pollenkernel.RetryCall)
		}
		answer, err := b.ask(ctx, leader, method, body)
		if err != nil {
			last = err.Error()
			continue
		}
		switch answer.Result {
		case pollenlink.ResultDone:
			return answer.Body, nil
		case pollenlink.ResultRefused:
			return nil, errors.Wrap(ErrRefused, answer.Reason)
		case pollenlink.ResultRetry:
			last = answer.Reason
		}
		pause(ctx, leaderPause)
	}
	return nil, errors.Wrap(ErrUndecided, last)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask passes one call to the node at the address, which may be this one.
func (b *Balancer) ask(ctx context.Context, to netip.AddrPort, method pollenlink.Method, body []byte) (pollenlink.Answer, error) {
	answers := make(chan pollenlink.Answer, 1)
	b.mu.Lock()
	b.call++
	call := pollenlink.Call{ID: b.call, Method: method, Body: body}
	b.calls[call.ID] = answers
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.calls, call.ID)
		b.mu.Unlock()
	}()
	if to == b.settings.Node {
		b.answer(time.Now(), call, func(a pollenlink.Answer) { answers <- a })
	} else {
		b.outlet.SendMessage(pollenlink.KindCall, pollenwire.Marshal(&call, pollenwire.MapCall), to)
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return pollenlink.Answer{}, ctx.Err()
	case <-time.After(callResend):
		return pollenlink.Answer{}, errors.Errorf("control host %s did not answer", to)
	}
}

// answer answers a call once this host's replica has decided it.
func (b *Balancer) answer(now time.Time, call pollenlink.Call, reply func(pollenlink.Answer)) {
	if b.control == nil {
		reply(pollenlink.Answer{ID: call.ID, Result: pollenlink.ResultRetry, Reason: "this host keeps no replica"})
		return
	}
	event, err := eventOf(call)
	if err != nil {
		reply(pollenlink.Answer{ID: call.ID, Result: pollenlink.ResultRefused, Reason: err.Error()})
		return
	}
	b.control.post(now, controlEvent{event: event, reply: func(a pollencontrol.Answer) { reply(b.resultOf(call, a)) }})
}

// eventOf returns the event that a call asks for.
func eventOf(call pollenlink.Call) (func(pollencontrol.Token) pollencontrol.Event, error) {
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
	case pollenlink.MethodGetDeclaration:
		return func(t pollencontrol.Token) pollencontrol.Event { return pollencontrol.Query{Token: t} }, nil
	}
	return nil, errors.Errorf("method %q is not known", call.Method)
}

// resultOf turns the answer of the replica into that of the call, and logs it.
func (b *Balancer) resultOf(call pollenlink.Call, a pollencontrol.Answer) pollenlink.Answer {
	answer := pollenlink.Answer{ID: call.ID, Result: pollenlink.ResultRetry, Reason: a.Reason, Leader: a.Leader}
	switch a.Verdict {
	case pollencontrol.VerdictDone:
		answer.Result = pollenlink.ResultDone
	case pollencontrol.VerdictRefused:
		answer.Result = pollenlink.ResultRefused
	case pollencontrol.VerdictNotRun, pollencontrol.VerdictUnknown:
	}
	if a.State != nil {
		answer.Body = pollenwire.Marshal(&a.State.View.Declared, pollenwire.MapDeclaration)
	}
	if a.Refusal != "" {
		b.metrics.CountRefusal(a.Refusal)
	}
	if call.Method != pollenlink.MethodGetDeclaration || answer.Result != pollenlink.ResultDone {
		b.record.Info("order decided", pollenrecord.Fields{
			"call": call.ID, "method": call.Method, "result": answer.Result, "reason": a.Reason, "leader": a.Leader,
		})
	}
	return answer
}
