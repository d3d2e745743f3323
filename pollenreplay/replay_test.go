package pollenreplay_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenreplay"
	"pollenstep.example/pollenstep/pollentrace"
)

// TestTraces guards against regressions in the recorded scenarios: it replays
// each trace and checks the expectations that the trace file states.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("../traces/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
			t.Parallel()
			trace, err := pollentrace.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			checkExpectations(t, pollenreplay.Run(trace, pollenreplay.VariantSystem))
		})
	}
}

// failer is the part of testing.T and rapid.T that checkExpectations uses.
type failer interface {
	Helper()
	Errorf(format string, args ...any)
}

// checkExpectations fails the test for each expectation that does not hold and
// adds the notes of the replay.
func checkExpectations(t failer, r *pollenreplay.Result) {
	t.Helper()
	for _, f := range r.FailedExpectations {
		t.Errorf("%s: %s", r.Trace, f)
	}
	if len(r.FailedExpectations) > 0 {
		for _, n := range r.Notes {
			t.Errorf("note: %s", n)
		}
	}
}

// TestReplayIsRepeatable guards against nondeterminism, for example by map
// order: two replays of a trace with the same seed must measure the same
// values.
func TestReplayIsRepeatable(t *testing.T) {
	trace, err := pollentrace.Load("../traces/kills.yaml")
	if err != nil {
		t.Fatal(err)
	}
	first := pollenreplay.Run(trace, pollenreplay.VariantSystem)
	second := pollenreplay.Run(trace, pollenreplay.VariantSystem)
	for m, f := range first.Figures {
		if second.Figures[m] != f {
			t.Errorf("measure %s: first replay %v, second replay %v", m, f, second.Figures[m])
		}
	}
}

// mustBeZero lists the measures that must be zero in every trace.
var mustBeZero = []pollentrace.Measure{
	pollentrace.MeasureBrokenPlanned, pollentrace.MeasureDuplicateRuns, pollentrace.MeasureFalseNotRun,
	pollentrace.MeasureWrongAnswer, pollentrace.MeasureMisrouted, pollentrace.MeasureAfterDomainOut,
	pollentrace.MeasureAfterDrain, pollentrace.MeasureColdOverrun, pollentrace.MeasureOverrun,
	pollentrace.MeasureAfterStop,
}

// TestRandomMixes guards against faults that only combinations of events
// expose. It replays random combinations of planned changes, kills, cold
// starts, evacuations, processes that receive no views, lost datagrams and
// delayed views, and checks that the measures of mustBeZero are zero.
func TestRandomMixes(t *testing.T) {
	mixes := 0
	rapid.Check(t, func(t *rapid.T) {
		mixes++
		checkExpectations(t, pollenreplay.Run(randomTrace(t), pollenreplay.VariantSystem))
	})
	t.Logf("%d random traces replayed", mixes)
}

// randomTrace draws a trace of 30 s with one relay and one HTTP service.
func randomTrace(t *rapid.T) *pollentrace.Trace {
	trace := &pollentrace.Trace{
		Name: "random", Seed: rapid.Uint64().Draw(t, "seed"), Duration: 30 * time.Second, Latency: time.Millisecond,
		Skew:        time.Duration(rapid.IntRange(0, 2000).Draw(t, "skew")) * time.Millisecond,
		LossPercent: rapid.IntRange(0, 3).Draw(t, "loss"), BalancerCount: rapid.IntRange(1, 3).Draw(t, "balancers"),
		Domains: []pollendocument.DomainName{"a", "b", "c"},
	}
	document := pollendocument.Service{
		Slots: 5, ConnectionLimit: 2000, ColdLimit: 1, QueueLimit: 16, RequestTimeout: 2 * time.Second, WarmUp: 2 * time.Second,
		Retention: time.Minute, IdleTimeout: 90 * time.Second,
	}
	relay, http := document, document
	relay.Name, relay.Delivery, relay.Address = "feed", pollendocument.DeliveryRelay, address(1)
	http.Name, http.Delivery, http.Address = "rings", pollendocument.DeliveryHTTP, address(2)
	trace.Services = []pollentrace.Service{
		{Settings: relay, ServerCount: 5, FlowCount: 40, PacketInterval: 500 * time.Millisecond, ColdDuration: 2 * time.Second, WorkTime: 40 * time.Millisecond},
		{Settings: http, ServerCount: 5, RequestRate: 60, WorkTime: 40 * time.Millisecond, KeyedPercent: 80, RepeatPercent: 30, ColdDuration: 2 * time.Second},
	}
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		trace.Events = append(trace.Events, randomEvents(t)...)
	}
	for _, m := range mustBeZero {
		trace.Expectations = append(trace.Expectations, pollentrace.Expectation{Measure: m})
	}
	return trace
}

// randomEvents draws an event, followed by the event that reverts it if there
// is one.
func randomEvents(t *rapid.T) []pollentrace.Event {
	at := 6*time.Second + time.Duration(rapid.IntRange(0, 18000).Draw(t, "at"))*time.Millisecond
	target := rapid.SampledFrom([]string{
		"feed-1", "feed-2", "feed-3", "feed-4", "feed-5", "rings-1", "rings-2", "rings-3", "rings-4", "rings-5",
	}).Draw(t, "target")
	duration := time.Duration(rapid.IntRange(100, 8000).Draw(t, "lasts")) * time.Millisecond
	pair := func(first, last pollentrace.EventKind, target string) []pollentrace.Event {
		return []pollentrace.Event{{At: at, Kind: first, Target: target}, {At: at + duration, Kind: last, Target: target}}
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return pair(pollentrace.EventKill, pollentrace.EventStart, target)
	case 1:
		return pair(pollentrace.EventDrain, pollentrace.EventUndrain, target)
	case 2:
		return pair(pollentrace.EventDomainOut, pollentrace.EventDomainIn, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
	case 3:
		return pair(pollentrace.EventPartition, pollentrace.EventHeal, target)
	case 4:
		return []pollentrace.Event{{At: at, Kind: pollentrace.EventCold, Target: target}}
	case 5:
		return []pollentrace.Event{{At: at, Kind: pollentrace.EventWeight, Target: target}}
	case 6:
		return []pollentrace.Event{{At: at, Kind: pollentrace.EventPlanned, Count: 5, Interval: time.Second}}
	default:
		return []pollentrace.Event{{At: at, Kind: pollentrace.EventRestart, Target: target}}
	}
}
