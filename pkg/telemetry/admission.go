package telemetry

import (
	"context"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Admission describes a decision whether a request was admitted to engines.
type Admission struct {
	Rank int
	// Returning is set if the caller has probably been refused before.
	Returning bool
	// Reason is one of a fixed set of reasons of refusals, or empty if the request was admitted.
	Reason string
}

// RecordAdmission adds a decision to the metrics.
func (m *Metrics) RecordAdmission(a Admission) {
	ctx := context.Background()
	rank := attribute.String("rank", strconv.Itoa(a.Rank))
	result := "admitted"
	if a.Reason != "" {
		result = "refused"
		m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", a.Reason), rank))
	}
	if a.Returning {
		m.returning.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result), rank))
	}
}
