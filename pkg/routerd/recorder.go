package routerd

import (
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/telemetry"
)

// recorder counts ended requests in the box's metrics.
type recorder struct{ metrics *telemetry.Metrics }

// Record implements gateway.Recorder.
func (r recorder) Record(x gateway.Record) {
	r.metrics.Record(telemetry.Request{
		Class: x.Route, Organisation: x.Organisation, Outcome: string(x.Outcome), Status: x.Status,
		TimeToFirstToken: x.TimeToFirstEvent, Total: x.Duration, Retries: x.Retries,
	})
}
