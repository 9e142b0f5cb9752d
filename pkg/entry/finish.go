package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/telemetry"
)

// finish sends the error of a failed request to the caller and records the outcome.
func (h *Handler) finish(w http.ResponseWriter, r *http.Request, req *request, err error) {
	if err == nil {
		h.record(req, req.answeredOutcome(), nil)
		return
	}
	if errors.Is(err, context.Canceled) && r.Context().Err() != nil {
		h.record(req, disconnectOutcome(req), err)
		return
	}
	h.fail(w, req, err)
}

// answeredOutcome returns the outcome of a request whose answer was forwarded to its end.
func (req *request) answeredOutcome() api.Outcome {
	if req.endUnknown {
		return api.OutcomeUnknown
	}
	return api.OutcomeDone
}

// disconnectOutcome returns the outcome, for the log only, of a request whose caller
// disconnected.
func disconnectOutcome(req *request) api.Outcome {
	if req.mayHaveRun || req.responseStarted {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

func (h *Handler) fail(w http.ResponseWriter, req *request, err error) {
	resp := newErrorResponse(err)
	h.record(req, resp.outcome, err)
	switch {
	case !req.responseStarted:
		resp.write(w, req.id)
	case req.service.Kind == config.ServiceKindEngine:
		sendErrorEvent(w, resp, req.id)
	default:
		// Abort the connection so that a truncated answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// record logs the end of a request and updates the metrics.
func (h *Handler) record(req *request, outcome api.Outcome, err error) {
	now := time.Now()
	t := telemetry.Request{
		Class:             req.class.Name,
		Organisation:      req.org.Name,
		Outcome:           string(outcome),
		Status:            req.status,
		Total:             now.Sub(req.arrival),
		InterTokenLatency: req.interTokenLatency(),
		Tokens:            req.tokenCount,
		WastedTokens:      req.wastedTokens,
		Retries:           max(0, len(req.servers)-1),
	}
	if !req.grantedAt.IsZero() {
		t.QueueWait = req.grantedAt.Sub(req.arrival)
	}
	if !req.firstTokenAt.IsZero() {
		t.TimeToFirstToken = req.firstTokenAt.Sub(req.arrival)
	}
	if outcome != api.OutcomeDone {
		t.WastedTokens += req.tokenCount
	}
	t.Attained = outcome == api.OutcomeDone && meetsTarget(t.TimeToFirstToken, req.class.FirstToken) && meetsTarget(t.InterTokenLatency, req.class.Between)
	h.Metrics.Record(t)
	logger := level.Info(h.Logger)
	if err != nil {
		logger = level.Warn(h.Logger)
	}
	_ = logger.Log("msg", "request", "id", req.id, "class", t.Class, "organisation", t.Organisation,
		"service", req.service.Name, "servers", strings.Join(req.servers, ","), "wait", t.QueueWait,
		"first", t.TimeToFirstToken, "between", t.InterTokenLatency, "total", t.Total, "tokens", t.Tokens,
		"outcome", outcome, "err", err)
}

func meetsTarget(d, target time.Duration) bool { return target <= 0 || d <= target }
