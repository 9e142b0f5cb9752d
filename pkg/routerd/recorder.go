package routerd

import (
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/telemetry"
)

// recorder adds finished requests to the metrics.
type recorder struct{ metrics *telemetry.Metrics }

// Record implements gateway.Recorder.
func (r recorder) Record(rec gateway.Record) {
	r.metrics.Record(telemetry.Request{
		Class: rec.Route, Organisation: rec.Organisation, Outcome: string(rec.Outcome), Status: rec.Status,
		TimeToFirstToken: rec.TimeToFirstEvent, Total: rec.Duration, Retries: rec.Retries,
	})
	if a := rec.Admission; a.Decided {
		r.metrics.RecordAdmission(telemetry.Admission{Rank: a.Rank, Returning: a.Returning, Reason: string(a.Reason)})
	}
}
