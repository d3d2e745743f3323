// Package pollenmetric holds the counters and histograms of a process, made
// with OpenTelemetry and served for scraping.
package pollenmetric

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"pollenstep.example/pollenstep/pollenkernel"
)

// An Event is something that is counted besides refusals and retries.
type Event string

// Events.
const (
	EventPacketIn          Event = "packet-in"
	EventPacketOut         Event = "packet-out"
	EventAnswerIn          Event = "answer-in"
	EventAnswerOut         Event = "answer-out"
	EventFlowOpened        Event = "flow-opened"
	EventFlowClosed        Event = "flow-closed"
	EventFlowRestored      Event = "flow-restored"
	EventFlowGivenUp       Event = "flow-given-up"
	EventRequest           Event = "request"
	EventRequestDone       Event = "request-done"
	EventClaimGranted      Event = "claim-granted"
	EventAnswerStored      Event = "answer-repeated"
	EventViewChanged       Event = "view-changed"
	EventStartedAlone      Event = "started-without-majority"
	EventLeaderElected     Event = "leader-elected"
	EventExpiredLeasesHeld Event = "lapsed-leases-held"
	EventUndecodableEntry  Event = "undecodable-entry"
	EventSendFailed        Event = "send-failed"
	EventBackendCold       Event = "backend-cold"
	EventLedgerSynced      Event = "ledger-synced"
	EventLedgerExpired     Event = "ledger-waited-retention"
)

// Events returns every event.
func Events() []Event {
	return []Event{
		EventPacketIn, EventPacketOut, EventAnswerIn, EventAnswerOut, EventFlowOpened,
		EventFlowClosed, EventFlowRestored, EventFlowGivenUp, EventRequest, EventRequestDone,
		EventClaimGranted, EventAnswerStored, EventViewChanged, EventStartedAlone, EventLeaderElected,
		EventExpiredLeasesHeld, EventUndecodableEntry, EventSendFailed, EventBackendCold, EventLedgerSynced,
		EventLedgerExpired,
	}
}

// A Set is the metrics of one process. It is safe for concurrent use. Counting
// is one atomic addition, and the counts are read when they are scraped.
type Set struct {
	registry *prometheus.Registry
	refusals map[pollenkernel.Refusal]*atomic.Int64
	retries  map[pollenkernel.Retry]*atomic.Int64
	events   map[Event]*atomic.Int64
	requests metric.Float64Histogram
	calls    metric.Float64Histogram
}

// A Gauge reads a present value.
type Gauge func() int64

// NewSet returns a new Set for the role and process, with gauges by name.
func NewSet(role, process string, gauges map[string]Gauge) (*Set, error) {
	s := &Set{
		registry: prometheus.NewRegistry(),
		refusals: newCounts(pollenkernel.Refusals()),
		retries:  newCounts(pollenkernel.Retries()),
		events:   newCounts(Events()),
	}
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(s.registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "make metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	meter := provider.Meter("pollenstep")
	base := []attribute.KeyValue{attribute.String("role", role), attribute.String("process", process)}
	if err := s.makeInstruments(meter, base); err != nil {
		return nil, err
	}
	for name, read := range gauges {
		if err := addGauge(meter, name, read, base); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newCounts[T ~string](names []T) map[T]*atomic.Int64 {
	counts := make(map[T]*atomic.Int64, len(names))
	for _, n := range names {
		counts[n] = &atomic.Int64{}
	}
	return counts
}

func (s *Set) makeInstruments(meter metric.Meter, base []attribute.KeyValue) error {
	if err := addCounts(meter, "refusals", "reason", s.refusals, base); err != nil {
		return err
	}
	if err := addCounts(meter, "retries", "reason", s.retries, base); err != nil {
		return err
	}
	if err := addCounts(meter, "events", "event", s.events, base); err != nil {
		return err
	}
	var err error
	if s.requests, err = meter.Float64Histogram("pollen.request.duration", metric.WithUnit("s")); err != nil {
		return errors.Wrap(err, "make histogram")
	}
	s.calls, err = meter.Float64Histogram("pollen.call.duration", metric.WithUnit("s"))
	return errors.Wrap(err, "make histogram")
}

// addCounts makes a counter with one attribute value for each count.
func addCounts[T ~string](
	meter metric.Meter, name, key string, counts map[T]*atomic.Int64, base []attribute.KeyValue,
) error {
	options := make(map[T]metric.ObserveOption, len(counts))
	for value := range counts {
		attributes := append([]attribute.KeyValue{attribute.String(key, string(value))}, base...)
		options[value] = metric.WithAttributeSet(attribute.NewSet(attributes...))
	}
	_, err := meter.Int64ObservableCounter("pollen."+name, metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			for value, n := range counts {
				observer.Observe(n.Load(), options[value])
			}
			return nil
		}))
	return errors.Wrap(err, "make counter")
}

func addGauge(meter metric.Meter, name string, read Gauge, base []attribute.KeyValue) error {
	_, err := meter.Int64ObservableGauge("pollen."+name, metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read(), metric.WithAttributes(base...))
			return nil
		}))
	return errors.Wrap(err, "make gauge")
}

// Refused counts a refusal.
func (s *Set) CountRefusal(why pollenkernel.Refusal) { s.refusals[why].Add(1) }

// Retried counts a retry.
func (s *Set) CountRetry(why pollenkernel.Retry) { s.retries[why].Add(1) }

// Count counts an event n times.
func (s *Set) CountEvent(e Event, n int64) { s.events[e].Add(n) }

// RequestTook records how long a request took.
func (s *Set) RequestTook(d time.Duration) {
	s.requests.Record(context.Background(), d.Seconds())
}

// CallTook records how long a call to another process took.
func (s *Set) ObserveCallDuration(d time.Duration) {
	s.calls.Record(context.Background(), d.Seconds())
}

// Handler serves the metrics for scraping.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
