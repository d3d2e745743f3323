package pollensidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// Header fields of requests and answers.
const (
	headerKey       = "Idempotency-Key"
	headerTimeout   = "Request-Timeout"
	headerRefused   = "Pollen-Refused"
	headerExecution = "Pollen-Execution"
	headerRepeated  = "Pollen-Repeated"
	headerStart     = "Server-Start"
	headerRetry     = "Retry-After"
)

// Limits of what is held in memory for one request, in bytes.
const (
	maxRequestBody = 4 << 20
	maxAnswerBody  = 32 << 20
)

// pendingRequest is a request that is not yet answered.
type pendingRequest struct {
	call   pollenwire.RunCall
	cancel context.CancelFunc
	// cancelled is set when the run was ended early.
	cancelled bool
	began     time.Time
	result    chan result
}

// result is what the caller or the passing agent gets.
type result struct {
	run       pollenwire.RunAnswer
	execution pollenkernel.Execution
	repeated  bool
}

// client runs requests on the backend server. Connections are not kept: with a
// kept one, net/http itself repeats requests that carry an idempotency key
// when the connection breaks, which would run them twice.
var client = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// serveHTTP answers a caller's request.
func (a *Sidecar) serveHTTP(w http.ResponseWriter, r *http.Request) {
	a.base.Metrics.CountEvent(pollenmetric.EventRequest, 1)
	began := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalTooLarge)
		writeRefusal(w, http.StatusRequestEntityTooLarge, pollenkernel.RefusalTooLarge, pollenkernel.ExecutionNotRun)
		return
	}
	call := pollenwire.RunCall{
		Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get(headerKey),
		Header: headerFields(r.Header), Body: body,
	}
	if timeout, err := time.ParseDuration(r.Header.Get(headerTimeout)); err == nil {
		call.Deadline = began.Add(timeout)
	}
	res, ok := a.await(r.Context(), call, false)
	a.base.Metrics.RequestTook(time.Since(began))
	if !ok {
		return
	}
	if res.run.Result != pollenrequest.ResultAnswered {
		writeRefusal(w, http.StatusServiceUnavailable, res.run.Reason, res.execution)
		return
	}
	a.base.Metrics.CountEvent(pollenmetric.EventRequestDone, 1)
	if res.repeated {
		w.Header().Set(headerRepeated, "true")
	}
	writeAnswer(w, res.run.Answer)
}

func writeRefusal(w http.ResponseWriter, status int, why pollenkernel.Refusal, execution pollenkernel.Execution) {
	w.Header().Set(headerRefused, string(why))
	w.Header().Set(headerExecution, string(execution))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(string(why) + ": " + string(execution) + "\n"))
}

func writeAnswer(w http.ResponseWriter, answer pollenledger.Answer) {
	for _, f := range answer.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// hopHeaders are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true,
}

func headerFields(h http.Header) []pollenledger.HeaderField {
	var fields []pollenledger.HeaderField
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, pollenledger.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// await passes a request to the state machine and waits for its end; ok is
// false when the caller went away first.
func (a *Sidecar) await(ctx context.Context, call pollenwire.RunCall, forwarded bool) (res result, ok bool) {
	p := &pendingRequest{call: call, began: time.Now(), result: make(chan result, 1)}
	a.membership.Lock()
	if a.requests == nil {
		a.membership.Unlock()
		a.base.Metrics.CountRefusal(pollenkernel.RefusalNotReady)
		return refusedResult(pollenkernel.RefusalNotReady, pollenkernel.ExecutionUnknown), true
	}
	a.nextID++
	id := a.nextID
	a.pending[id] = p
	a.stepRequests(time.Now(), pollenrequest.Arrival{
		ID: id, Key: call.Key, Deadline: call.Deadline, Forwarded: forwarded,
	})
	a.membership.Unlock()
	select {
	case res = <-p.result:
		return res, true
	case <-ctx.Done():
		a.membership.Lock()
		a.stepRequests(time.Now(), pollenrequest.Cancel{ID: id})
		a.membership.Unlock()
		return result{}, false
	}
}

func refusedResult(why pollenkernel.Refusal, execution pollenkernel.Execution) result {
	r := result{execution: execution, run: pollenwire.RunAnswer{Result: pollenrequest.ResultNotSent, Reason: why}}
	if execution != pollenkernel.ExecutionNotRun {
		r.run.Result = pollenrequest.ResultFailed
	}
	return r
}

// stepRequests passes an event to the state machine and carries out its
// actions. The lock is held.
func (a *Sidecar) stepRequests(now time.Time, e pollenrequest.Event) {
	events := []pollenrequest.Event{e}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, action := range a.requests.Step(now, next) {
			events = append(events, a.actRequest(now, action)...)
		}
	}
}

// actRequest carries out one action and returns the events that follow at
// once. The lock is held.
func (a *Sidecar) actRequest(now time.Time, action pollenrequest.Action) []pollenrequest.Event {
	switch action := action.(type) {
	case pollenrequest.Run:
		a.begin(action.ID, action.Deadline, a.runHere)
	case pollenrequest.RunRemote:
		a.begin(action.ID, action.Deadline, func(ctx context.Context, id pollenrequest.ID, p *pendingRequest) {
			a.runThere(ctx, id, p, action.To)
		})
	case pollenrequest.CancelRun:
		if p, ok := a.pending[action.ID]; ok && p.cancel != nil {
			p.cancelled = true
			p.cancel()
		}
	case pollenrequest.SendClaim:
		return a.sendClaim(now, action)
	case pollenrequest.SendCompletion:
		return a.sendSettlement(now, action)
	case pollenrequest.SendAnswer:
		if action.Repeated {
			a.base.Metrics.CountEvent(pollenmetric.EventAnswerStored, 1)
		}
		a.end(action.ID, result{
			run:       pollenwire.RunAnswer{Result: pollenrequest.ResultAnswered, Answer: action.Answer},
			execution: pollenkernel.ExecutionDone, repeated: action.Repeated,
		})
	case pollenrequest.Refuse:
		a.base.Metrics.CountRefusal(action.Reason)
		a.end(action.ID, refusedResult(action.Reason, action.Execution))
	case pollenrequest.CountRetry:
		a.base.Metrics.CountRetry(action.Reason)
	case pollenrequest.CountRefusal:
		a.base.Metrics.CountRefusal(action.Reason)
	}
	return nil
}

// end gives the result to whoever waits. The lock is held.
func (a *Sidecar) end(id pollenrequest.ID, r result) {
	p, ok := a.pending[id]
	if !ok {
		return
	}
	delete(a.pending, id)
	p.result <- r
}

// begin starts a run that ends by the deadline. The lock is held.
func (a *Sidecar) begin(
	id pollenrequest.ID, deadline time.Time, run func(ctx context.Context, id pollenrequest.ID, p *pendingRequest),
) {
	p := a.pending[id]
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	p.cancel = cancel
	go func() {
		defer cancel()
		run(ctx, id, p)
	}()
}

// runHere runs a request on the agent's backend server.
func (a *Sidecar) runHere(ctx context.Context, id pollenrequest.ID, p *pendingRequest) {
	a.membership.Lock()
	b := a.backend
	a.membership.Unlock()
	done := pollenrequest.RunDone{ID: id}
	began := time.Now()
	var firstByte time.Time
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { firstByte = time.Now() },
		GotConn:              func(httptrace.GotConnInfo) { connected = true },
	})
	response, err := a.do(ctx, b, p.call)
	now := time.Now()
	a.membership.Lock()
	defer a.membership.Unlock()
	switch {
	case err == nil && response.Status == http.StatusServiceUnavailable && fieldValue(response, headerRetry) != "":
		done.Result, done.Signal = pollenrequest.ResultShed, pollenadmission.SignalOverload
	case err == nil:
		done.Result, done.Answer = pollenrequest.ResultAnswered, response
		done.Signal = a.limiter.Classify(firstByte.Sub(began))
		if a.limiter.ObserveStart(now, fieldValue(response, headerStart)) {
			a.base.Metrics.CountEvent(pollenmetric.EventBackendCold, 1)
		}
	case !connected:
		done.Result, done.Signal = pollenrequest.ResultNotSent, pollenadmission.SignalRefused
	case p.cancelled:
		done.Result = pollenrequest.ResultFailed
	case errors.Is(err, context.DeadlineExceeded):
		done.Result, done.Signal = pollenrequest.ResultFailed, pollenadmission.SignalTimeout
	default:
		done.Result, done.Signal = pollenrequest.ResultFailed, pollenadmission.SignalRefused
	}
	a.stepRequests(now, done)
}

// do sends the request and reads the whole answer.
func (a *Sidecar) do(ctx context.Context, b backend, call pollenwire.RunCall) (pollenledger.Answer, error) {
	if !b.requests.IsValid() {
		return pollenledger.Answer{}, errors.New("backend server has announced no request address")
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.requests.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return pollenledger.Answer{}, errors.Wrap(err, "make request")
	}
	for _, f := range call.Header {
		request.Header.Add(f.Name, f.Value)
	}
	response, err := client.Do(request)
	if err != nil {
		return pollenledger.Answer{}, errors.Wrap(err, "run request")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBody+1))
	if err != nil {
		return pollenledger.Answer{}, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBody {
		return pollenledger.Answer{}, errors.Errorf("answer is longer than %d bytes", maxAnswerBody)
	}
	return pollenledger.Answer{Status: response.StatusCode, Header: headerFields(response.Header), Body: body}, nil
}

func fieldValue(answer pollenledger.Answer, name string) string {
	for _, f := range answer.Header {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// runThere passes a request to another agent.
func (a *Sidecar) runThere(ctx context.Context, id pollenrequest.ID, p *pendingRequest, to pollenview.Member) {
	call := p.call
	call.Service = a.self.Service
	call.Deadline, _ = ctx.Deadline()
	done := pollenrequest.RemoteDone{ID: id, Result: pollenrequest.ResultFailed, Reason: pollenkernel.RefusalBackendFailed}
	// The other agent answers by the deadline; the margin lets that answer
	// arrive, so that a late request is not reported as unknown.
	const margin = 100 * time.Millisecond
	wait, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline.Add(margin))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	answer, err := a.base.Client.Call(wait, to.Address, pollencall.MethodRun, pollenwire.Marshal(&call, pollenwire.MapRunCall))
	var run pollenwire.RunAnswer
	switch {
	case errors.Is(err, pollencall.ErrNotSent):
		done.Result = pollenrequest.ResultNotSent
	case err == nil && pollenwire.Unmarshal(answer, &run, pollenwire.MapRunAnswer) == nil:
		done.Result, done.Reason, done.Answer = run.Result, run.Reason, run.Answer
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	a.stepRequests(time.Now(), done)
}

// handleRun runs a request that another agent passed on.
func (a *Sidecar) handleRun(ctx context.Context, request []byte) ([]byte, error) {
	var call pollenwire.RunCall
	if err := pollenwire.Unmarshal(request, &call, pollenwire.MapRunCall); err != nil {
		return nil, err
	}
	a.membership.Lock()
	service := a.self.Service
	a.membership.Unlock()
	if call.Service != service {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalWrongService)
		answer := pollenwire.RunAnswer{Result: pollenrequest.ResultNotSent, Reason: pollenkernel.RefusalWrongService}
		return pollenwire.Marshal(&answer, pollenwire.MapRunAnswer), nil
	}
	res, ok := a.await(ctx, call, true)
	if !ok {
		return nil, ctx.Err()
	}
	return pollenwire.Marshal(&res.run, pollenwire.MapRunAnswer), nil
}
