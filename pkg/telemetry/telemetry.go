// Package telemetry holds the metrics of a box, kept with OpenTelemetry and shown
// to Prometheus.
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

// organisationsMost bounds the organisations with series of their own; the rest
// are counted together as otherOrganisations.
const (
	organisationsMost  = 50
	otherOrganisations = "other"
)

// bounds of the latency histograms, in seconds: from a step of an engine to the
// longest wait.
var bounds = []float64{.002, .005, .01, .02, .037, .05, .1, .25, .5, 1, 1.3, 2.5, 5, 10, 30, 60, 120}

// Metrics are a box's instruments.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	queueWait  metric.Float64Histogram
	firstToken metric.Float64Histogram
	between    metric.Float64Histogram
	total      metric.Float64Histogram
	requests   metric.Int64Counter
	attained   metric.Int64Counter
	tokens     metric.Int64Counter
	wasted     metric.Int64Counter
	retries    metric.Int64Counter

	mu            sync.Mutex
	organisations map[string]bool
}

// New returns the instruments of one box.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{registry: registry, provider: provider, organisations: make(map[string]bool)}
	return m, m.instruments(provider.Meter("headhill"))
}

func (m *Metrics) instruments(meter metric.Meter) error {
	histograms := []struct {
		to         *metric.Float64Histogram
		name, help string
	}{
		{&m.queueWait, "headhill_queue_wait_seconds", "Time from a request's arrival to its grant."},
		{&m.firstToken, "headhill_first_token_seconds", "Time from a request's arrival to the first token of its answer."},
		{&m.between, "headhill_between_tokens_seconds", "Mean time between the tokens of an answer."},
		{&m.total, "headhill_total_seconds", "Time from a request's arrival to the end of its answer."},
	}
	for _, h := range histograms {
		i, err := meter.Float64Histogram(h.name, metric.WithDescription(h.help), metric.WithExplicitBucketBoundaries(bounds...))
		if err != nil {
			return err
		}
		*h.to = i
	}
	counters := []struct {
		to         *metric.Int64Counter
		name, help string
	}{
		{&m.requests, "headhill_requests", "Requests by how they ended."},
		{&m.attained, "headhill_attained", "Answers within their class's latency targets."},
		{&m.tokens, "headhill_tokens", "Tokens delivered."},
		{&m.wasted, "headhill_wasted_tokens", "Tokens prefilled or generated and not delivered, or done twice."},
		{&m.retries, "headhill_retries", "Requests sent to another server after a failure."},
	}
	for _, c := range counters {
		i, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return err
		}
		*c.to = i
	}
	return nil
}

// Gauge is a gauge with a value for each attribute.
type Gauge struct {
	Name, Help string
	// Attribute is the name of the attribute, Observe returns the values by it when asked.
	Attribute string
	Observe   func() map[string]int64
}

// AddGauges makes the metrics show some gauges.
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

// Request is how one request ended.
type Request struct {
	Class        string
	Organisation string
	Outcome      string
	// Status is the HTTP status that the caller got.
	Status            int
	QueueWait         time.Duration
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	Total             time.Duration
	Tokens            int
	WastedTokens      int
	Retries           int
	// Attained says that the answer was within its class's targets.
	Attained bool
}

// Record takes one request in.
func (m *Metrics) Record(r Request) {
	ctx := context.Background()
	class := metric.WithAttributes(attribute.String("class", r.Class))
	m.queueWait.Record(ctx, r.QueueWait.Seconds(), class)
	if r.TimeToFirstToken > 0 {
		m.firstToken.Record(ctx, r.TimeToFirstToken.Seconds(), class)
	}
	if r.InterTokenLatency > 0 {
		m.between.Record(ctx, r.InterTokenLatency.Seconds(), class)
	}
	m.total.Record(ctx, r.Total.Seconds(), class)
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("class", r.Class),
		attribute.String("outcome", r.Outcome),
		attribute.String("organisation", m.organisation(r.Organisation))))
	m.tokens.Add(ctx, int64(r.Tokens), class)
	m.wasted.Add(ctx, int64(r.WastedTokens), class)
	m.retries.Add(ctx, int64(r.Retries), class)
	if r.Attained {
		m.attained.Add(ctx, 1, class)
	}
}

func (m *Metrics) organisation(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.organisations[name] {
		return name
	}
	if len(m.organisations) >= organisationsMost {
		return otherOrganisations
	}
	m.organisations[name] = true
	return name
}

// Handler shows the metrics in Prometheus' format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close releases the instruments.
func (m *Metrics) Close() error { return m.provider.Shutdown(context.Background()) }
