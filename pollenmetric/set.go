// Package pollenmetric holds the counters and histograms of a process, made
// with OpenTelemetry and served for scraping.
package pollenmetric

import (
	"context"
	"net/http"
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
	EventPacketIn      Event = "packet-in"
	EventPacketOut     Event = "packet-out"
	EventAnswerIn      Event = "answer-in"
	EventAnswerOut     Event = "answer-out"
	EventFlowOpened    Event = "flow-opened"
	EventFlowClosed    Event = "flow-closed"
	EventFlowRestored  Event = "flow-restored"
	EventFlowGivenUp   Event = "flow-given-up"
	EventRequest       Event = "request"
	EventRequestDone   Event = "request-done"
	EventClaimGranted  Event = "claim-granted"
	EventAnswerStored  Event = "answer-repeated"
	EventViewChanged   Event = "view-changed"
	EventStartedAlone  Event = "started-without-majority"
	EventLeader        Event = "leader-elected"
	EventLeaseHeld     Event = "lapsed-leases-held"
	EventUndecodable   Event = "undecodable-entry"
	EventSendFailed    Event = "send-failed"
	EventBackendCold   Event = "backend-cold"
	EventLedgerSynced  Event = "ledger-synced"
	EventLedgerExpired Event = "ledger-waited-retention"
)

// Events returns every event.
func Events() []Event {
	return []Event{
		EventPacketIn, EventPacketOut, EventAnswerIn, EventAnswerOut, EventFlowOpened,
		EventFlowClosed, EventFlowRestored, EventFlowGivenUp, EventRequest, EventRequestDone,
		EventClaimGranted, EventAnswerStored, EventViewChanged, EventStartedAlone, EventLeader,
		EventLeaseHeld, EventUndecodable, EventSendFailed, EventBackendCold, EventLedgerSynced,
		EventLedgerExpired,
	}
}

// A Set is the metrics of one process. It is safe for concurrent use.
type Set struct {
	registry *prometheus.Registry
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	events   metric.Int64Counter
	requests metric.Float64Histogram
	calls    metric.Float64Histogram

	// The options below are made once, so that counting allocates nothing.
	refusalOptions map[pollenkernel.Refusal]metric.AddOption
	retryOptions   map[pollenkernel.Retry]metric.AddOption
	eventOptions   map[Event]metric.AddOption
}

// A Gauge reads a present value.
type Gauge func() int64

// NewSet returns a new Set for the role and process, with gauges by name.
func NewSet(role, process string, gauges map[string]Gauge) (*Set, error) {
	s := &Set{
		registry:       prometheus.NewRegistry(),
		refusalOptions: map[pollenkernel.Refusal]metric.AddOption{},
		retryOptions:   map[pollenkernel.Retry]metric.AddOption{},
		eventOptions:   map[Event]metric.AddOption{},
	}
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(s.registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "make metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	meter := provider.Meter("pollenstep")
	if err := s.makeInstruments(meter); err != nil {
		return nil, err
	}
	base := []attribute.KeyValue{attribute.String("role", role), attribute.String("process", process)}
	s.makeOptions(base)
	for name, read := range gauges {
		if err := addGauge(meter, name, read, base); err != nil {
			return nil, err
		}
	}
	s.zero()
	return s, nil
}

func (s *Set) makeInstruments(meter metric.Meter) error {
	var err error
	if s.refusals, err = meter.Int64Counter("pollen.refusals"); err != nil {
		return errors.Wrap(err, "make counter")
	}
	if s.retries, err = meter.Int64Counter("pollen.retries"); err != nil {
		return errors.Wrap(err, "make counter")
	}
	if s.events, err = meter.Int64Counter("pollen.events"); err != nil {
		return errors.Wrap(err, "make counter")
	}
	if s.requests, err = meter.Float64Histogram("pollen.request.duration", metric.WithUnit("s")); err != nil {
		return errors.Wrap(err, "make histogram")
	}
	s.calls, err = meter.Float64Histogram("pollen.call.duration", metric.WithUnit("s"))
	return errors.Wrap(err, "make histogram")
}

func (s *Set) makeOptions(base []attribute.KeyValue) {
	option := func(key, value string) metric.AddOption {
		attributes := append([]attribute.KeyValue{attribute.String(key, value)}, base...)
		return metric.WithAttributeSet(attribute.NewSet(attributes...))
	}
	for _, r := range pollenkernel.Refusals() {
		s.refusalOptions[r] = option("reason", string(r))
	}
	for _, r := range pollenkernel.Retries() {
		s.retryOptions[r] = option("reason", string(r))
	}
	for _, e := range Events() {
		s.eventOptions[e] = option("event", string(e))
	}
}

func addGauge(meter metric.Meter, name string, read Gauge, base []attribute.KeyValue) error {
	_, err := meter.Int64ObservableGauge("pollen."+name, metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read(), metric.WithAttributes(base...))
			return nil
		}))
	return errors.Wrap(err, "make gauge")
}

// zero makes every counter visible before it first counts.
func (s *Set) zero() {
	for _, r := range pollenkernel.Refusals() {
		s.refusals.Add(context.Background(), 0, s.refusalOptions[r])
	}
	for _, r := range pollenkernel.Retries() {
		s.retries.Add(context.Background(), 0, s.retryOptions[r])
	}
	for _, e := range Events() {
		s.events.Add(context.Background(), 0, s.eventOptions[e])
	}
}

// Refused counts a refusal.
func (s *Set) Refused(why pollenkernel.Refusal) {
	s.refusals.Add(context.Background(), 1, s.refusalOptions[why])
}

// Retried counts a retry.
func (s *Set) Retried(why pollenkernel.Retry) {
	s.retries.Add(context.Background(), 1, s.retryOptions[why])
}

// Count counts an event n times.
func (s *Set) Count(e Event, n int64) {
	s.events.Add(context.Background(), n, s.eventOptions[e])
}

// RequestTook records how long a request took.
func (s *Set) RequestTook(d time.Duration) {
	s.requests.Record(context.Background(), d.Seconds())
}

// CallTook records how long a call to another process took.
func (s *Set) CallTook(d time.Duration) {
	s.calls.Record(context.Background(), d.Seconds())
}

// Handler serves the metrics for scraping.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
