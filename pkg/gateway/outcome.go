package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/upstream"
)

// Outcome is the outcome of a request in logs and metrics.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone Outcome = "done"
	// OutcomeClosed means that the response ended with its connection and may be incomplete.
	OutcomeClosed     Outcome = "closed"
	OutcomeDenied     Outcome = "denied"
	OutcomeNotRun     Outcome = "not-run"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeTruncated  Outcome = "broken-off"
	OutcomeCallerGone Outcome = "caller-gone"
)

// Record describes a finished request.
type Record struct {
	Route            string
	Organisation     string
	Outcome          Outcome
	Status           int
	Retries          int
	TimeToFirstEvent time.Duration
	Duration         time.Duration
	Admission        Admission
}

// Recorder receives the records of finished requests.
type Recorder interface{ Record(Record) }

// finish sends an error response if err is not nil and nothing was sent yet, and records the
// outcome of the request.
func (x *exchange) finish(err error) {
	if err != nil || x.bodyEnd == upstream.EndClosed {
		x.keepInterrupted()
	}
	outcome := x.writeError(err)
	x.recordAndLog(outcome, err)
	if outcome == OutcomeTruncated || outcome == OutcomeCallerGone {
		// Abort the connection, so that the caller doesn't take the truncated response for
		// complete.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) writeError(err error) Outcome {
	var denied *CallError
	var refused *RefusedError
	var unknown *UnknownError
	var gone *callerGoneError
	switch {
	case err == nil && x.bodyEnd == upstream.EndClosed:
		return OutcomeClosed
	case err == nil:
		return OutcomeDone
	case errors.As(err, &gone):
		return OutcomeCallerGone
	case x.headSent:
		return OutcomeTruncated
	case errors.As(err, &denied):
		x.writeErrorBody(denied.Status, err)
		return OutcomeDenied
	case errors.As(err, &refused):
		x.gateway.Protocol.SetRetryAfter(x.writer.Header(), refused.RetryAfter)
		x.writeErrorBody(http.StatusServiceUnavailable, err)
		return OutcomeNotRun
	case errors.As(err, &unknown):
		x.writeErrorBody(unknown.status(), err)
		return OutcomeUnknown
	}
	x.writeErrorBody(http.StatusInternalServerError, err)
	return OutcomeUnknown
}

func (x *exchange) writeErrorBody(status int, err error) {
	x.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.writeHead(status, upstream.FramingLength)
	_, _ = io.WriteString(x.writer, err.Error()+"\n")
}

func (x *exchange) recordAndLog(outcome Outcome, err error) {
	now := clock.Now()
	r := Record{Outcome: outcome, Status: x.status, Retries: max(0, len(x.attempted)-1), Duration: now.Sub(x.arrival), Admission: x.admission}
	if x.route != nil {
		r.Route = x.route.Name
	}
	if x.organisation != nil {
		r.Organisation = x.organisation.Name
	}
	if !x.firstEventTime.IsZero() {
		r.TimeToFirstEvent = x.firstEventTime.Sub(x.arrival)
	}
	x.gateway.Recorder.Record(r)
	fields := []any{
		"msg", "request", "id", x.call.ID, "outcome", outcome, "status", x.status, "route", r.Route, "organisation", r.Organisation,
		"servers", serverIDs(x.attempted), "total_ms", r.Duration.Milliseconds(),
		"first_ms", r.TimeToFirstEvent.Milliseconds(), "events", x.eventCount, "pause_ms", x.maxEventGap.Milliseconds(), "patience_ms", x.call.Timeout.Milliseconds(),
	}
	if x.call.LastEventID != "" {
		fields = append(fields, "resumes", x.call.Resumes, "from_event", x.call.LastEventID)
	}
	if x.view.Table != nil {
		fields = append(fields, "version", x.view.Table.Version, "table_age_ms", x.view.TableAge(x.arrival).Milliseconds(),
			"servers_age_ms", x.view.ServersAge(x.arrival).Milliseconds())
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	_ = level.Info(x.gateway.Logger).Log(fields...)
}

// serverIDs joins the IDs of servers for a log line.
func serverIDs(servers []routing.Incarnation) string {
	ids := make([]string, len(servers))
	for i, l := range servers {
		ids[i] = l.ID
	}
	return strings.Join(ids, ",")
}

// logAttempt logs an attempt with the inputs of the balancer's choice and its result.
func (x *exchange) logAttempt(lease *balancer.Lease, result balancer.Result, f *failure) {
	in := lease.Inputs
	fields := []any{
		"msg", "attempt", "id", x.call.ID, "attempt", len(x.attempted), "server", lease.Server.ID, "address", lease.Server.Address, "server_version", lease.Server.Version, "server_started", lease.Server.Started, "list_age_ms", x.gateway.Directory.View().ServersAge(x.attemptStart).Milliseconds(), "via", x.via,
		"result", result, "sends", x.sends.count, "charge_age_ms", x.sends.chargeAge.Milliseconds(), "candidates", in.Candidates, "avoided", strings.Join(x.avoided, ","), "tokens", x.call.PromptTokens, "prefill", in.PrefillTokens, "running", in.Running, "others_running", in.PeerRunning, "backlog", in.Backlog, "others_backlog", in.PeerBacklog, "load_age_ms", in.LoadAge.Milliseconds(),
		"prefix", in.Prefix, "home", in.Home, "interactive", in.Interactive, "lane", in.LaneSize, "cached", in.CachedTokens, "transferred", in.TransferredTokens, "slowness", in.Slowness, "unreported", in.Unreported, "failures", math.Round(in.FailureRatio*100) / 100, "rank", x.rank(), "expected_wait_ms", x.expectedWait.Milliseconds(), "left_ms", clock.Until(x.deadline).Milliseconds(),
	}
	if x.response != nil {
		fields = append(fields, "connection_age_ms", clock.Since(x.response.ConnOpened).Milliseconds(), "identity", x.response.Identity, "framing", x.response.Framing, "end", x.response.End(), "incomplete_event", x.incompleteEvent.Load())
	}
	if f != nil {
		fields = append(fields, "not_run", f.notExecuted, "last_event", x.lastEventID, "err", f.cause)
	}
	_ = level.Info(x.gateway.Logger).Log(fields...)
}
