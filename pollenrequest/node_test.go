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
		StoreWait: time.Second, RetryShare: 0.2, RetryBurst: 10,
	})
	n.Step(start, pollenrequest.ViewChanged{View: newView()})
	return n
}

// first returns the only action, or fails.
func first[T pollenrequest.Action](tb testing.TB, actions []pollenrequest.Action) T {
	tb.Helper()
	for _, a := range actions {
		if t, ok := a.(T); ok {
			return t
		}
	}
	var zero T
	tb.Fatalf("actions %+v hold no %T", actions, zero)
	return zero
}

// TestQueueIsBoundedAndFreed checks that requests past the queue are refused at
// once, that a request past its deadline frees its place, and that one past
// its deadline in a slot is cancelled.
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
		t.Fatalf("request past the queue: %+v", refused)
	}
	late := n.Step(deadline, pollenrequest.Tick{})
	if len(late) != 2 || n.Waiting() != 0 {
		t.Fatalf("requests past their deadline: %+v, %d waiting", late, n.Waiting())
	}
	cancelled := n.Step(start.Add(time.Second), pollenrequest.Tick{})
	if len(cancelled) != 5 {
		t.Fatalf("running requests past their deadline: %+v", cancelled)
	}
	first[pollenrequest.CancelRun](t, cancelled)
}

// TestCancelledRequestFreesSlot checks that a caller that goes away frees its
// slot for the next one.
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

// TestNothingIsRetriedAfterAByte checks that a request that may have run is
// never placed again.
func TestNothingIsRetriedAfterAByte(t *testing.T) {
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

// TestKeyedRefusalSaysWhatIsKnown checks that a keyed request that no majority of
// the ledger vouched for is refused as unknown, since an earlier attempt may
// have run, and as not run once the claim was won.
func TestKeyedRefusalSaysWhatIsKnown(t *testing.T) {
	n := newNode(t)
	n.Step(start, pollenrequest.Arrival{ID: 1, Key: "ring-1"})
	refused := first[pollenrequest.Refuse](t, n.Step(start.Add(time.Second), pollenrequest.Tick{}))
	if refused.Reason != "no-quorum" || refused.Execution != "unknown" {
		t.Fatalf("keyed request without a ledger: %+v", refused)
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
		t.Fatalf("keyed request with a claim and no room: %+v", actions)
	}
}

// newLedgerView returns the view of newNode with the agent as ledger group.
func newLedgerView() *pollenview.View {
	v := newView()
	v.Ledgers["rings"] = pollenview.LedgerGroup{
		Epoch: 1, Replicas: []pollenview.ReplicaRef{{Name: self.Name, Incarnation: self.Incarnation}},
	}
	return v
}

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
