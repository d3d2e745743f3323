package pollenrequest_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollenview"
)

var start = time.Unix(1_000_000, 0)

var self = pollenview.Member{
	Name: "rings-1", Role: pollenview.RoleAgent, Incarnation: 1, Service: "rings", Domain: "celje-a",
	State: pollendocument.ServerActive,
}

func newView() *pollenview.View {
	view := pollenview.NewView()
	view.Document.Put(pollendocument.Section{Team: pollendocument.DomainsTeam, Domains: []pollendocument.Domain{
		{Name: "celje-a", State: pollendocument.DomainIn},
	}})
	view.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{
		Name: "rings", Slots: 5, ColdLimit: 5, QueueLimit: 2, RequestTimeout: time.Second,
	}}})
	view.Members[self.Name] = self
	return view
}

// newNode returns a Node with 5 slots and no peers.
func newNode(tb testing.TB) *pollenrequest.Node {
	tb.Helper()
	ramp, err := pollenadmission.Ramps.Lookup(pollenadmission.RampOff)
	if err != nil {
		tb.Fatal(err)
	}
	placement, err := pollenflow.Placements.Lookup(pollenflow.PlacementLeast)
	if err != nil {
		tb.Fatal(err)
	}
	n := pollenrequest.NewNode(pollenrequest.Config{
		Self: self, Limiter: pollenadmission.NewLimiter(start, pollenadmission.Limits{Slots: 5, Cold: 5}, ramp),
		Loads: pollenflow.NewLoads(time.Second), Placement: placement, ClaimRetry: 50 * time.Millisecond,
		StoreTimeout: time.Second, RetryShare: 0.2, RetryBurst: 10,
	})
	n.Step(start, pollenrequest.ViewChanged{View: newView()})
	return n
}

// first returns the first action of type T and fails the test if there is none.
func first[T pollenrequest.Action](tb testing.TB, actions []pollenrequest.Action) T {
	tb.Helper()
	for _, a := range actions {
		if t, ok := a.(T); ok {
			return t
		}
	}
	var zero T
	tb.Fatalf("actions %+v contain no %T", actions, zero)
	return zero
}

// TestQueueIsBoundedAndFreed guards against a queue that grows without bound or
// is blocked by expired requests: a request beyond the queue limit is refused
// at once, a queued request past its deadline is removed, and a running one is
// cancelled.
func TestQueueIsBoundedAndFreed(t *testing.T) {
	n := newNode(t)
	for i := range 5 {
		first[pollenrequest.Run](t, n.Step(start, pollenrequest.Arrival{ID: pollenrequest.ID(i + 1)}))
	}
	deadline := start.Add(100 * time.Millisecond)
	for i := range 2 {
		if got := n.Step(start, pollenrequest.Arrival{ID: pollenrequest.ID(i + 6), Deadline: deadline}); len(got) != 0 {
			t.Fatalf("queued request: %+v", got)
		}
	}
	refused := first[pollenrequest.Refuse](t, n.Step(start, pollenrequest.Arrival{ID: 8}))
	if refused.Reason != "queue-full" || refused.Execution != "not-run" {
		t.Fatalf("request beyond the queue limit: %+v", refused)
	}
	late := n.Step(deadline, pollenrequest.Tick{})
	if len(late) != 2 || n.Queued() != 0 {
		t.Fatalf("queued requests past their deadline: %+v, %d queued", late, n.Queued())
	}
	cancelled := n.Step(start.Add(time.Second), pollenrequest.Tick{})
	if len(cancelled) != 5 {
		t.Fatalf("running requests past their deadline: %+v", cancelled)
	}
	first[pollenrequest.CancelRun](t, cancelled)
}

// TestCancelledRequestFreesSlot guards against slots that stay taken after their
// callers have disconnected: the run is cancelled, and the next queued request
// runs.
func TestCancelledRequestFreesSlot(t *testing.T) {
	n := newNode(t)
	for i := range 6 {
		n.Step(start, pollenrequest.Arrival{ID: pollenrequest.ID(i + 1)})
	}
	first[pollenrequest.CancelRun](t, n.Step(start, pollenrequest.Cancel{ID: 1}))
	next := n.Step(start, pollenrequest.RunDone{ID: 1, Result: pollenrequest.ResultFailed})
	if got := first[pollenrequest.Run](t, next); got.ID != 6 {
		t.Fatalf("request %d runs next, want 6", got.ID)
	}
}

// TestNoRetryAfterFirstByteSent guards against a request that runs twice: once a
// byte has reached a backend server the request may have run, so a failed run
// is refused and not placed again. A run of which nothing was sent is retried.
func TestNoRetryAfterFirstByteSent(t *testing.T) {
	n := newNode(t)
	n.Step(start, pollenrequest.Arrival{ID: 1})
	actions := n.Step(start, pollenrequest.RunDone{ID: 1, Result: pollenrequest.ResultFailed, Signal: pollenadmission.SignalRefused})
	if got := first[pollenrequest.Refuse](t, actions); got.Execution != "unknown" || len(actions) != 1 {
		t.Fatalf("failed run: %+v", actions)
	}
	n.Step(start, pollenrequest.Arrival{ID: 2})
	actions = n.Step(start, pollenrequest.RunDone{ID: 2, Result: pollenrequest.ResultNotSent, Signal: pollenadmission.SignalRefused})
	first[pollenrequest.Run](t, actions)
}

// TestKeyedRefusalReportsExecution guards against a false "not-run" for a request
// with an idempotency key. Without a claim granted by a majority of the ledger
// group an earlier attempt may have run, so the refusal reports "unknown"; with
// the claim granted it reports "not-run".
func TestKeyedRefusalReportsExecution(t *testing.T) {
	n := newNode(t)
	n.Step(start, pollenrequest.Arrival{ID: 1, Key: "ring-1"})
	refused := first[pollenrequest.Refuse](t, n.Step(start.Add(time.Second), pollenrequest.Tick{}))
	if refused.Reason != "no-quorum" || refused.Execution != "unknown" {
		t.Fatalf("keyed request without a ledger group: %+v", refused)
	}
	for i := range 7 {
		n.Step(start, pollenrequest.Arrival{ID: pollenrequest.ID(i + 10)})
	}
	view := newLedgerView()
	n.Step(start, pollenrequest.ViewChanged{View: view})
	claim := first[pollenrequest.SendClaim](t, n.Step(start, pollenrequest.Arrival{ID: 2, Key: "ring-2"}))
	granted := pollenrequest.ClaimReply{
		ID: 2, Claim: claim.Request.Claim, Reply: pollenledger.Reply{Verdict: pollenledger.VerdictGranted, Epoch: 1},
	}
	actions := n.Step(start, granted)
	refused = first[pollenrequest.Refuse](t, actions)
	released := first[pollenrequest.SendCompletion](t, actions)
	if refused.Reason != "queue-full" || refused.Execution != "not-run" || released.Completion.State != pollenledger.ClaimReleased {
		t.Fatalf("keyed request with a granted claim and a full queue: %+v", actions)
	}
}

// newLedgerView returns the view of newNode with the agent as the only replica of
// the ledger group.
func newLedgerView() *pollenview.View {
	v := newView()
	v.Ledgers["rings"] = pollenview.LedgerGroup{
		Epoch: 1, Replicas: []pollenview.MemberRef{{Name: self.Name, Incarnation: self.Incarnation}},
	}
	return v
}

// BenchmarkDecideRequest decides about the arrival and the answer of a request.
func BenchmarkDecideRequest(b *testing.B) {
	n := newNode(b)
	answer := pollenledger.Answer{Status: 200}
	b.ReportAllocs()
	for i := range b.N {
		id := pollenrequest.ID(i + 1)
		n.Step(start, pollenrequest.Arrival{ID: id})
		n.Step(start, pollenrequest.RunDone{
			ID: id, Result: pollenrequest.ResultAnswered, Signal: pollenadmission.SignalSuccess, Answer: answer,
		})
	}
}
