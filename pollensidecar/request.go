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
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTimeout = "Request-Timeout"
	headerRefused        = "Pollen-Refused"
	headerExecution      = "Pollen-Execution"
	headerRepeated       = "Pollen-Repeated"
	headerServerStart    = "Server-Start"
	headerRetryAfter     = "Retry-After"
)

// Limits of what is buffered in memory for one request, in bytes.
const (
	maxRequestBody = 4 << 20
	maxAnswerBody  = 32 << 20
)

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	call   pollenwire.RunCall
	cancel context.CancelFunc
	// cancelled is set when the run was cancelled before it ended.
	cancelled bool
	startedAt time.Time
	result    chan result
}

// result is the outcome that the caller or the forwarding agent receives.
type result struct {
	run       pollenwire.RunAnswer
	execution pollenkernel.Execution
	repeated  bool
}

// backendClient sends requests to the backend server. Keep-alives are disabled:
// when a reused connection breaks, net/http itself repeats requests that carry
// an idempotency key, which would run them twice.
var backendClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// serveHTTP answers a caller's request with the backend server's answer or a
// refusal.
func (a *Sidecar) serveHTTP(w http.ResponseWriter, r *http.Request) {
	a.base.Metrics.CountEvent(pollenmetric.EventRequest, 1)
	start := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		a.base.Metrics.CountRefusal(pollenkernel.RefusalTooLarge)
		writeRefusal(w, http.StatusRequestEntityTooLarge, pollenkernel.RefusalTooLarge, pollenkernel.ExecutionNotRun)
		return
	}
	call := pollenwire.RunCall{
		Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get(headerIdempotencyKey),
		Header: headerFields(r.Header), Body: body,
	}
	if timeout, err := time.ParseDuration(r.Header.Get(headerRequestTimeout)); err == nil {
		call.Deadline = start.Add(timeout)
	}
	res, ok := a.stepAndWait(r.Context(), call, false)
	a.base.Metrics.ObserveRequestDuration(time.Since(start))
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

func writeRefusal(w http.ResponseWriter, status int, reason pollenkernel.Refusal, execution pollenkernel.Execution) {
	w.Header().Set(headerRefused, string(reason))
	w.Header().Set(headerExecution, string(execution))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(string(reason) + ": " + string(execution) + "\n"))
}

func writeAnswer(w http.ResponseWriter, answer pollenledger.Answer) {
	for _, f := range answer.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// hopByHopHeaders are not forwarded, and neither is Content-Length, which net/http
// sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true,
}

// headerFields returns the header fields that are forwarded.
func headerFields(h http.Header) []pollenledger.HeaderField {
	var fields []pollenledger.HeaderField
	for name, values := range h {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, pollenledger.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// stepAndWait passes a request to the state machine and waits for its result;
// ok is false when the context ends first.
func (a *Sidecar) stepAndWait(ctx context.Context, call pollenwire.RunCall, forwarded bool) (res result, ok bool) {
	p := &pendingRequest{call: call, startedAt: time.Now(), result: make(chan result, 1)}
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

// refusedResult returns the result of a refused request. Only a request that
// certainly did not run is reported as not sent.
func refusedResult(reason pollenkernel.Refusal, execution pollenkernel.Execution) result {
	r := result{execution: execution, run: pollenwire.RunAnswer{Result: pollenrequest.ResultNotSent, Reason: reason}}
	if execution != pollenkernel.ExecutionNotRun {
		r.run.Result = pollenrequest.ResultFailed
	}
	return r
}

// stepRequests passes an event to the request state machine and executes its
// actions, including those of the events that follow immediately. The lock is
// held.
func (a *Sidecar) stepRequests(now time.Time, e pollenrequest.Event) {
	events := []pollenrequest.Event{e}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, action := range a.requests.Step(now, next) {
			events = append(events, a.executeRequestAction(now, action)...)
		}
	}
}

// executeRequestAction executes one action and returns the events that it causes
// immediately. The lock is held.
func (a *Sidecar) executeRequestAction(now time.Time, action pollenrequest.Action) []pollenrequest.Event {
	switch action := action.(type) {
	case pollenrequest.Run:
		a.startRun(action.ID, action.Deadline, a.runLocal)
	case pollenrequest.RunRemote:
		a.startRun(action.ID, action.Deadline, func(ctx context.Context, id pollenrequest.ID, p *pendingRequest) {
			a.runRemote(ctx, id, p, action.To)
		})
	case pollenrequest.CancelRun:
		if p, ok := a.pending[action.ID]; ok && p.cancel != nil {
			p.cancelled = true
			p.cancel()
		}
	case pollenrequest.SendClaim:
		return a.sendClaim(now, action)
	case pollenrequest.SendCompletion:
		return a.sendCompletion(now, action)
	case pollenrequest.SendAnswer:
		if action.Repeated {
			a.base.Metrics.CountEvent(pollenmetric.EventAnswerRepeated, 1)
		}
		a.finishRequest(action.ID, result{
			run:       pollenwire.RunAnswer{Result: pollenrequest.ResultAnswered, Answer: action.Answer},
			execution: pollenkernel.ExecutionDone, repeated: action.Repeated,
		})
	case pollenrequest.Refuse:
		a.base.Metrics.CountRefusal(action.Reason)
		a.finishRequest(action.ID, refusedResult(action.Reason, action.Execution))
	case pollenrequest.CountRetry:
		a.base.Metrics.CountRetry(action.Reason)
	case pollenrequest.CountRefusal:
		a.base.Metrics.CountRefusal(action.Reason)
	}
	return nil
}

// finishRequest passes the result to the goroutine that waits for it. The lock is
// held.
func (a *Sidecar) finishRequest(id pollenrequest.ID, r result) {
	p, ok := a.pending[id]
	if !ok {
		return
	}
	delete(a.pending, id)
	p.result <- r
}

// startRun starts a run in a new goroutine with a context that ends at the
// deadline. The lock is held.
func (a *Sidecar) startRun(
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

// runLocal runs a request on the agent's own backend server.
func (a *Sidecar) runLocal(ctx context.Context, id pollenrequest.ID, p *pendingRequest) {
	a.membership.Lock()
	b := a.backend
	a.membership.Unlock()
	done := pollenrequest.RunDone{ID: id}
	start := time.Now()
	var firstByte time.Time
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { firstByte = time.Now() },
		GotConn:              func(httptrace.GotConnInfo) { connected = true },
	})
	response, err := a.sendToBackend(ctx, b, p.call)
	now := time.Now()
	a.membership.Lock()
	defer a.membership.Unlock()
	switch {
	case err == nil && response.Status == http.StatusServiceUnavailable && fieldValue(response, headerRetryAfter) != "":
		done.Result, done.Signal = pollenrequest.ResultShed, pollenadmission.SignalOverload
	case err == nil:
		done.Result, done.Answer = pollenrequest.ResultAnswered, response
		done.Signal = a.limiter.Classify(firstByte.Sub(start))
		if a.limiter.ObserveStart(now, fieldValue(response, headerServerStart)) {
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

// sendToBackend sends the request to the backend server and reads the whole
// answer. It fails when the answer's body is longer than maxAnswerBody.
func (a *Sidecar) sendToBackend(ctx context.Context, b backend, call pollenwire.RunCall) (pollenledger.Answer, error) {
	if !b.requestAddress.IsValid() {
		return pollenledger.Answer{}, errors.New("backend server has announced no request address")
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.requestAddress.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return pollenledger.Answer{}, errors.Wrap(err, "create request to backend server")
	}
	for _, f := range call.Header {
		request.Header.Add(f.Name, f.Value)
	}
	response, err := backendClient.Do(request)
	if err != nil {
		return pollenledger.Answer{}, errors.Wrap(err, "send request to backend server")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBody+1))
	if err != nil {
		return pollenledger.Answer{}, errors.Wrap(err, "read answer of backend server")
	}
	if len(body) > maxAnswerBody {
		return pollenledger.Answer{}, errors.Errorf("answer of backend server is longer than %d bytes", maxAnswerBody)
	}
	return pollenledger.Answer{Status: response.StatusCode, Header: headerFields(response.Header), Body: body}, nil
}

// fieldValue returns the first value of a header field, or "" without one.
func fieldValue(answer pollenledger.Answer, name string) string {
	for _, f := range answer.Header {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// runRemote forwards a request to another agent.
func (a *Sidecar) runRemote(ctx context.Context, id pollenrequest.ID, p *pendingRequest, to pollenview.Member) {
	call := p.call
	call.Service = a.self.Service
	call.Deadline, _ = ctx.Deadline()
	done := pollenrequest.RemoteDone{ID: id, Result: pollenrequest.ResultFailed, Reason: pollenkernel.RefusalBackendFailed}
	// The other agent answers by the deadline. The margin lets that answer
	// arrive, so that the execution of a late request is not reported as
	// unknown.
	const margin = 100 * time.Millisecond
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline.Add(margin))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	answer, err := a.base.Client.Call(callCtx, to.Address, pollencall.MethodRun, pollenwire.Marshal(&call, pollenwire.MapRunCall))
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

// handleRun runs a request that another agent has forwarded.
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
	res, ok := a.stepAndWait(ctx, call, true)
	if !ok {
		return nil, ctx.Err()
	}
	return pollenwire.Marshal(&res.run, pollenwire.MapRunAnswer), nil
}
