// Package telemetry records the metrics of a box with OpenTelemetry and exposes them
// in the Prometheus format.
package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

const (
	// maxOrganisations limits the cardinality of the organisation label. Requests of
	// further organisations are recorded under otherOrganisations.
	maxOrganisations   = 50
	otherOrganisations = "other"
)

// latencyBucketsSeconds are the bucket boundaries of the latency histograms.
var latencyBucketsSeconds = []float64{.002, .005, .01, .02, .037, .05, .1, .25, .5, 1, 1.3, 2.5, 5, 10, 30, 60, 120}

// Metrics holds the instruments of a box.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	queueWait         metric.Float64Histogram
	timeToFirstToken  metric.Float64Histogram
	interTokenLatency metric.Float64Histogram
	total             metric.Float64Histogram
	requests          metric.Int64Counter
	attained          metric.Int64Counter
	tokens            metric.Int64Counter
	wastedTokens      metric.Int64Counter
	retries           metric.Int64Counter
	refusals          metric.Int64Counter
	returning         metric.Int64Counter

	mu            sync.Mutex
	organisations map[string]bool
}

// New creates the instruments of a box in a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{registry: registry, provider: provider, organisations: make(map[string]bool)}
	return m, m.createInstruments(provider.Meter("headhill"))
}

func (m *Metrics) createInstruments(meter metric.Meter) error {
	histograms := []struct {
		instrument *metric.Float64Histogram
		name, help string
	}{
		{&m.queueWait, "headhill_queue_wait_seconds", "Time from a request's arrival to its grant."},
		{&m.timeToFirstToken, "headhill_first_token_seconds", "Time from a request's arrival to the first token of its answer."},
		{&m.interTokenLatency, "headhill_between_tokens_seconds", "Mean time between the tokens of an answer."},
		{&m.total, "headhill_total_seconds", "Time from a request's arrival to the end of its answer."},
	}
	for _, h := range histograms {
		i, err := meter.Float64Histogram(h.name, metric.WithDescription(h.help), metric.WithExplicitBucketBoundaries(latencyBucketsSeconds...))
		if err != nil {
			return err
		}
		*h.instrument = i
	}
	counters := []struct {
		instrument *metric.Int64Counter
		name, help string
	}{
		{&m.requests, "headhill_requests", "Requests by how they ended."},
		{&m.attained, "headhill_attained", "Answers within their class's latency targets."},
		{&m.tokens, "headhill_tokens", "Tokens delivered."},
		{&m.wastedTokens, "headhill_wasted_tokens", "Tokens prefilled or generated and not delivered, or done twice."},
		{&m.retries, "headhill_retries", "Requests sent to another server after a failure."},
		{&m.refusals, "headhill_admission_refusals", "Requests not admitted to engines, by reason and rank."},
		{&m.returning, "headhill_returning_requests", "Requests to engines whose callers have probably been refused before, by what became of them and rank."},
	}
	for _, c := range counters {
		i, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return err
		}
		*c.instrument = i
	}
	return nil
}

// Gauge describes an observable gauge with one value for each value of an attribute.
type Gauge struct {
	Name, Help string
	// Attribute is the name of the attribute.
	Attribute string
	// Observe returns the current values, keyed by attribute value. It is called at each scrape.
	Observe func() map[string]int64
}

// AddGauges registers observable gauges.
func (m *Metrics) AddGauges(list ...Gauge) error {
	for _, g := range list {
		if err := m.addGauge(g); err != nil {
			return err
		}
	}
	return nil
}

func (m *Metrics) addGauge(g Gauge) error {
	meter := m.provider.Meter("headhill")
	_, err := meter.Int64ObservableGauge(g.Name, metric.WithDescription(g.Help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for k, v := range g.Observe() {
				o.Observe(v, metric.WithAttributes(attribute.String(g.Attribute, k)))
			}
			return nil
		}))
	return err
}

// Request describes a finished request.
type Request struct {
	Class        string
	Organisation string
	Outcome      string
	// Status is the HTTP status sent to the caller.
	Status            int
	QueueWait         time.Duration
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	Total             time.Duration
	Tokens            int
	WastedTokens      int
	Retries           int
	// Attained reports whether the answer met the latency targets of its class.
	Attained bool
}

// Record adds a finished request to the metrics.
func (m *Metrics) Record(r Request) {
	ctx := context.Background()
	class := metric.WithAttributes(attribute.String("class", r.Class))
	m.queueWait.Record(ctx, r.QueueWait.Seconds(), class)
	if r.TimeToFirstToken > 0 {
		m.timeToFirstToken.Record(ctx, r.TimeToFirstToken.Seconds(), class)
	}
	if r.InterTokenLatency > 0 {
		m.interTokenLatency.Record(ctx, r.InterTokenLatency.Seconds(), class)
	}
	m.total.Record(ctx, r.Total.Seconds(), class)
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("class", r.Class),
		attribute.String("outcome", r.Outcome),
		attribute.String("organisation", m.organisationLabel(r.Organisation))))
	m.tokens.Add(ctx, int64(r.Tokens), class)
	m.wastedTokens.Add(ctx, int64(r.WastedTokens), class)
	m.retries.Add(ctx, int64(r.Retries), class)
	if r.Attained {
		m.attained.Add(ctx, 1, class)
	}
}

// organisationLabel returns the label value for an organisation.
func (m *Metrics) organisationLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.organisations[name] {
		return name
	}
	if len(m.organisations) >= maxOrganisations {
		return otherOrganisations
	}
	m.organisations[name] = true
	return name
}

// Handler serves the metrics in the Prometheus exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts down the meter provider.
func (m *Metrics) Close() error { return m.provider.Shutdown(context.Background()) }
