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

// TestTraces replays every recorded trace and checks its stated outcomes.
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
			check(t, pollenreplay.Run(trace, pollenreplay.VariantSystem))
		})
	}
}

type failer interface {
	Helper()
	Errorf(format string, args ...any)
}

func check(t failer, r *pollenreplay.Result) {
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

// TestReplayIsRepeatable checks that a trace gives the same figures each time.
func TestReplayIsRepeatable(t *testing.T) {
	trace, err := pollentrace.Load("../traces/kills.yaml")
	if err != nil {
		t.Fatal(err)
	}
	first := pollenreplay.Run(trace, pollenreplay.VariantSystem)
	second := pollenreplay.Run(trace, pollenreplay.VariantSystem)
	for m, f := range first.Figures {
		if second.Figures[m] != f {
			t.Errorf("%s is %v and then %v", m, f, second.Figures[m])
		}
	}
}

// never lists the measures that are zero whatever happens.
var never = []pollentrace.Measure{
	pollentrace.MeasureBrokenPlanned, pollentrace.MeasureDoubled, pollentrace.MeasureNotRunFalse,
	pollentrace.MeasureWrongAnswer, pollentrace.MeasureMisrouted, pollentrace.MeasureAfterOut,
	pollentrace.MeasureAfterDrain, pollentrace.MeasureColdOverrun, pollentrace.MeasureOverrun,
	pollentrace.MeasureCutRequests,
}

// TestRandomMixes replays random mixes of planned changes, kills, cold starts,
// failure domains that leave and return, cuts, lost datagrams and uneven views,
// and checks what may never happen.
func TestRandomMixes(t *testing.T) {
	mixes := 0
	rapid.Check(t, func(t *rapid.T) {
		mixes++
		check(t, pollenreplay.Run(randomTrace(t), pollenreplay.VariantSystem))
	})
	t.Logf("%d mixes", mixes)
}

func randomTrace(t *rapid.T) *pollentrace.Trace {
	trace := &pollentrace.Trace{
		Name: "random", Seed: rapid.Uint64().Draw(t, "seed"), Duration: 30 * time.Second, Latency: time.Millisecond,
		Skew: time.Duration(rapid.IntRange(0, 2000).Draw(t, "skew")) * time.Millisecond,
		Loss: rapid.IntRange(0, 3).Draw(t, "loss"), Balancers: rapid.IntRange(1, 3).Draw(t, "balancers"),
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
		{Document: relay, Targets: 5, Flows: 40, Interval: 500 * time.Millisecond, ColdTime: 2 * time.Second, Work: 40 * time.Millisecond},
		{Document: http, Targets: 5, Rate: 60, Work: 40 * time.Millisecond, Keyed: 80, Again: 30, ColdTime: 2 * time.Second},
	}
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		trace.Events = append(trace.Events, randomEvents(t)...)
	}
	for _, m := range never {
		trace.Expect = append(trace.Expect, pollentrace.Expectation{Measure: m})
	}
	return trace
}

// randomEvents draws one thing that happens, with its end if it has one.
func randomEvents(t *rapid.T) []pollentrace.Event {
	at := 6*time.Second + time.Duration(rapid.IntRange(0, 18000).Draw(t, "at"))*time.Millisecond
	target := rapid.SampledFrom([]string{
		"feed-1", "feed-2", "feed-3", "feed-4", "feed-5", "rings-1", "rings-2", "rings-3", "rings-4", "rings-5",
	}).Draw(t, "target")
	lasts := time.Duration(rapid.IntRange(100, 8000).Draw(t, "lasts")) * time.Millisecond
	pair := func(first, last pollentrace.EventKind, target string) []pollentrace.Event {
		return []pollentrace.Event{{At: at, Kind: first, Target: target}, {At: at + lasts, Kind: last, Target: target}}
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return pair(pollentrace.EventKill, pollentrace.EventStart, target)
	case 1:
		return pair(pollentrace.EventDrain, pollentrace.EventUndrain, target)
	case 2:
		return pair(pollentrace.EventOut, pollentrace.EventIn, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
	case 3:
		return pair(pollentrace.EventCut, pollentrace.EventHeal, target)
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
