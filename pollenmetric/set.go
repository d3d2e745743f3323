// Package pollenmetric provides the counters, gauges and histograms of a process.
// They are recorded with OpenTelemetry and exported for Prometheus.
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

// An Event is a kind of counted event that is neither a refusal nor a retry.
type Event string

// Events. Their strings are label values of the metric pollen_events_total.
const (
	EventPacketIn     Event = "packet-in"
	EventPacketOut    Event = "packet-out"
	EventAnswerIn     Event = "answer-in"
	EventAnswerOut    Event = "answer-out"
	EventFlowOpened   Event = "flow-opened"
	EventFlowClosed   Event = "flow-closed"
	EventFlowRestored Event = "flow-restored"
	// EventFlowLost counts the flows that a gate resets because its backend server has
	// restarted and no longer holds them.
	EventFlowLost Event = "flow-lost"
	// EventFlowAbandoned counts the flows that an agent closes because its failure
	// domain is evacuated or its service is no longer declared.
	EventFlowAbandoned          Event = "flow-given-up"
	EventRequest                Event = "request"
	EventRequestDone            Event = "request-done"
	EventClaimGranted           Event = "claim-granted"
	EventAnswerRepeated         Event = "answer-repeated"
	EventViewChanged            Event = "view-changed"
	EventStartedWithoutMajority Event = "started-without-majority"
	EventLeaderElected          Event = "leader-elected"
	// EventExpiredLeasesHeld counts the expired leases whose members are not
	// removed because most leases expired together.
	EventExpiredLeasesHeld Event = "lapsed-leases-held"
	// EventUndecodableEntry counts the committed log entries that were skipped
	// because they cannot be decoded.
	EventUndecodableEntry Event = "undecodable-entry"
	EventSendFailed       Event = "send-failed"
	// EventMessageIncomplete counts the messages of which fragments were lost.
	EventMessageIncomplete Event = "message-incomplete"
	// EventBackendCold counts how often a restart of the backend server is detected.
	EventBackendCold Event = "backend-cold"
	// EventLedgerSynced counts the ledger replicas that received the claims of
	// the previous ledger group; EventLedgerRetentionElapsed counts those that
	// serve without them because the claims have expired.
	EventLedgerSynced           Event = "ledger-synced"
	EventLedgerRetentionElapsed Event = "ledger-waited-retention"
	// EventFlowHome and EventFlowAway count the new flows that a balancer placed in its own
	// failure domain and in others.
	EventFlowHome Event = "flow-home"
	EventFlowAway Event = "flow-away"
)

// Events of the queue of a host's link, by class: datagrams that had to wait, and those of
// them that were dropped.
const (
	EventQueuedUrgent  Event = "queued-urgent"
	EventQueuedNormal  Event = "queued-normal"
	EventQueuedBulk    Event = "queued-bulk"
	EventQueuedUpdate  Event = "queued-update"
	EventDroppedUrgent Event = "dropped-urgent"
	EventDroppedNormal Event = "dropped-normal"
	EventDroppedBulk   Event = "dropped-bulk"
	EventDroppedUpdate Event = "dropped-update"
)

// Events returns every event.
func Events() []Event {
	return []Event{
		EventPacketIn, EventPacketOut, EventAnswerIn, EventAnswerOut, EventFlowOpened,
		EventFlowClosed, EventFlowRestored, EventFlowLost, EventFlowAbandoned, EventRequest, EventRequestDone,
		EventClaimGranted, EventAnswerRepeated, EventViewChanged, EventStartedWithoutMajority, EventLeaderElected,
		EventExpiredLeasesHeld, EventUndecodableEntry, EventSendFailed, EventMessageIncomplete, EventBackendCold, EventLedgerSynced,
		EventLedgerRetentionElapsed, EventQueuedUrgent, EventQueuedNormal, EventQueuedBulk, EventQueuedUpdate,
		EventDroppedUrgent, EventDroppedNormal, EventDroppedBulk, EventDroppedUpdate,
		EventFlowHome, EventFlowAway,
	}
}

// A Set holds the metrics of one process. It is safe for concurrent use. To count
// an event is one atomic addition; the counts are read on each scrape.
type Set struct {
	registry *prometheus.Registry
	refusals map[pollenkernel.Refusal]*atomic.Int64
	retries  map[pollenkernel.Retry]*atomic.Int64
	events   map[Event]*atomic.Int64
	requests metric.Float64Histogram
	calls    metric.Float64Histogram
}

// A Gauge returns the current value of a gauge. It is called on each scrape, from
// another goroutine.
type Gauge func() int64

// NewSet returns a new Set whose metrics carry the role and the process as labels,
// with the given gauges by name. It fails on a name that OpenTelemetry rejects.
func NewSet(role, process string, gauges map[string]Gauge) (*Set, error) {
	s := &Set{
		registry: prometheus.NewRegistry(),
		refusals: newCounters(pollenkernel.Refusals()),
		retries:  newCounters(pollenkernel.Retries()),
		events:   newCounters(Events()),
	}
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(s.registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	meter := provider.Meter("pollenstep")
	base := []attribute.KeyValue{attribute.String("role", role), attribute.String("process", process)}
	if err := s.createInstruments(meter, base); err != nil {
		return nil, err
	}
	for name, read := range gauges {
		if err := addGauge(meter, name, read, base); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// newCounters returns a zero count for each name.
func newCounters[T ~string](names []T) map[T]*atomic.Int64 {
	counts := make(map[T]*atomic.Int64, len(names))
	for _, n := range names {
		counts[n] = &atomic.Int64{}
	}
	return counts
}

func (s *Set) createInstruments(meter metric.Meter, base []attribute.KeyValue) error {
	if err := addCounters(meter, "refusals", "reason", s.refusals, base); err != nil {
		return err
	}
	if err := addCounters(meter, "retries", "reason", s.retries, base); err != nil {
		return err
	}
	if err := addCounters(meter, "events", "event", s.events, base); err != nil {
		return err
	}
	var err error
	if s.requests, err = meter.Float64Histogram("pollen.request.duration", metric.WithUnit("s")); err != nil {
		return errors.Wrap(err, "create histogram of request durations")
	}
	s.calls, err = meter.Float64Histogram("pollen.call.duration", metric.WithUnit("s"))
	return errors.Wrap(err, "create histogram of call durations")
}

// addCounters registers a counter with one attribute value for each count.
func addCounters[T ~string](
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
	return errors.Wrapf(err, "create counter %s", name)
}

func addGauge(meter metric.Meter, name string, read Gauge, base []attribute.KeyValue) error {
	_, err := meter.Int64ObservableGauge("pollen."+name, metric.WithInt64Callback(
		func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read(), metric.WithAttributes(base...))
			return nil
		}))
	return errors.Wrapf(err, "create gauge %s", name)
}

// CountRefusal counts a refusal under its reason, which must be one of
// pollenkernel.Refusals.
func (s *Set) CountRefusal(reason pollenkernel.Refusal) { s.refusals[reason].Add(1) }

// CountRetry counts a retry under its reason, which must be one of
// pollenkernel.Retries.
func (s *Set) CountRetry(reason pollenkernel.Retry) { s.retries[reason].Add(1) }

// CountEvent counts an event n times. The event must be one of Events.
func (s *Set) CountEvent(e Event, n int64) { s.events[e].Add(n) }

// ObserveRequestDuration records the duration of a request in seconds.
func (s *Set) ObserveRequestDuration(d time.Duration) {
	s.requests.Record(context.Background(), d.Seconds())
}

// ObserveCallDuration records the duration of a call to another process in seconds.
func (s *Set) ObserveCallDuration(d time.Duration) {
	s.calls.Record(context.Background(), d.Seconds())
}

// Handler returns the HTTP handler for scrapes.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
