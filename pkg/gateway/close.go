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
)

// Outcome is how a request ended, for logs and metrics.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone       Outcome = "done"
	OutcomeDenied     Outcome = "denied"
	OutcomeNotRun     Outcome = "not-run"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeTruncated  Outcome = "broken-off"
	OutcomeCallerGone Outcome = "caller-gone"
)

// Record is what is told of an ended request.
type Record struct {
	Route            string
	Organisation     string
	Outcome          Outcome
	Status           int
	Retries          int
	TimeToFirstEvent time.Duration
	Duration         time.Duration
}

// Recorder takes the records of ended requests.
type Recorder interface{ Record(Record) }

// close gives the caller its final answer if it has none yet, and tells how the
// request ended.
func (x *exchange) close(err error) {
	outcome := x.answerError(err)
	x.report(outcome, err)
	if outcome == OutcomeTruncated || outcome == OutcomeCallerGone {
		// The connection is cut, so that nothing looks complete.
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) answerError(err error) Outcome {
	var denied *CallError
	var refused *RefusedError
	var unknown *UnknownError
	var gone *callerGoneError
	switch {
	case err == nil:
		return OutcomeDone
	case errors.As(err, &gone):
		return OutcomeCallerGone
	case x.begun:
		return OutcomeTruncated
	case errors.As(err, &denied):
		x.final(denied.Status, err)
		return OutcomeDenied
	case errors.As(err, &refused):
		x.gateway.Protocol.SetRetryAfter(x.writer.Header(), refused.RetryAfter)
		x.final(http.StatusServiceUnavailable, err)
		return OutcomeNotRun
	case errors.As(err, &unknown):
		x.final(unknown.status(), err)
		return OutcomeUnknown
	}
	x.final(http.StatusInternalServerError, err)
	return OutcomeUnknown
}

func (x *exchange) final(status int, err error) {
	x.writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.begin(status)
	_, _ = io.WriteString(x.writer, err.Error()+"\n")
}

func (x *exchange) report(outcome Outcome, err error) {
	now := clock.Now()
	r := Record{Outcome: outcome, Status: x.status, Retries: max(0, len(x.servers)-1), Duration: now.Sub(x.arrival)}
	if x.route != nil {
		r.Route = x.route.Name
	}
	if x.organisation != nil {
		r.Organisation = x.organisation.Name
	}
	if !x.firstEvent.IsZero() {
		r.TimeToFirstEvent = x.firstEvent.Sub(x.arrival)
	}
	x.gateway.Recorder.Record(r)
	fields := []any{
		"msg", "request", "id", x.call.ID, "outcome", outcome, "status", x.status, "route", r.Route, "organisation", r.Organisation,
		"servers", lives(x.servers), "total_ms", r.Duration.Milliseconds(),
		"first_ms", r.TimeToFirstEvent.Milliseconds(), "events", x.events, "pause_ms", x.longestPause.Milliseconds(), "patience_ms", x.call.Timeout.Milliseconds(),
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

// lives are the names of servers that were tried, for logs.
func lives(list []routing.Incarnation) string {
	names := make([]string, len(list))
	for i, l := range list {
		names[i] = l.ID
	}
	return strings.Join(names, ",")
}

// logAttempt tells which server was chosen, on what, and how it went there.
func (x *exchange) logAttempt(lease *balancer.Lease, result balancer.Result, f *failure) {
	in := lease.Inputs
	fields := []any{
		"msg", "attempt", "id", x.call.ID, "attempt", len(x.servers), "server", lease.Server.ID, "address", lease.Server.Address,
		"result", result, "candidates", in.Candidates, "tokens", x.call.PromptTokens, "prefill", in.PrefillTokens, "running", in.Running, "others_running", in.PeerRunning, "backlog", in.Backlog, "others_backlog", in.PeerBacklog, "load_age_ms", in.LoadAge.Milliseconds(),
		"prefix", in.Prefix, "home", in.Home, "interactive", in.Interactive, "lane", in.LaneSize, "cached", in.CachedTokens, "transferred", in.TransferredTokens, "failures", math.Round(in.FailureRatio*100) / 100, "rank", x.rank(), "expected_wait_ms", x.expectedWait.Milliseconds(), "left_ms", clock.Until(x.deadline).Milliseconds(),
	}
	if f != nil {
		fields = append(fields, "not_run", f.notRun, "last_event", x.lastEvent, "err", f.cause)
	}
	_ = level.Info(x.gateway.Logger).Log(fields...)
}
