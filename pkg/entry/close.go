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

// close tells the caller how a request ended, if that was not part of the answer
// already, and writes it down.
func (h *Handler) close(w http.ResponseWriter, r *http.Request, req *request, err error) {
	if err == nil {
		h.record(req, api.OutcomeDone, nil)
		return
	}
	if errors.Is(err, context.Canceled) && r.Context().Err() != nil {
		h.record(req, gone(req), err)
		return
	}
	h.fail(w, req, err)
}

// gone is the outcome of a request whose caller left: nobody is told, but the
// log is.
func gone(req *request) api.Outcome {
	if req.maybeRan || req.begun {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

func (h *Handler) fail(w http.ResponseWriter, req *request, err error) {
	v := judge(err)
	h.record(req, v.outcome, err)
	switch {
	case !req.begun:
		v.write(w, req.id)
	case req.service.Kind == config.KindEngine:
		breakStream(w, v, req.id)
	default:
		// Half an answer must not look like a whole one.
		panic(http.ErrAbortHandler)
	}
}

// record writes one request's end to the log and the metrics.
func (h *Handler) record(req *request, outcome api.Outcome, err error) {
	now := time.Now()
	t := telemetry.Request{
		Class:        req.class.Name,
		Organisation: req.org.Name,
		Outcome:      string(outcome),
		Status:       req.status,
		Total:        now.Sub(req.arrival),
		Between:      req.between(),
		Tokens:       req.tokens,
		Wasted:       req.wasted,
		Retries:      max(0, len(req.servers)-1),
	}
	if !req.granted.IsZero() {
		t.QueueWait = req.granted.Sub(req.arrival)
	}
	if !req.firstToken.IsZero() {
		t.FirstToken = req.firstToken.Sub(req.arrival)
	}
	if outcome != api.OutcomeDone {
		t.Wasted += req.tokens
	}
	t.Attained = outcome == api.OutcomeDone && within(t.FirstToken, req.class.FirstToken) && within(t.Between, req.class.Between)
	h.Metrics.Record(t)
	logger := level.Info(h.Logger)
	if err != nil {
		logger = level.Warn(h.Logger)
	}
	_ = logger.Log("msg", "request", "id", req.id, "class", t.Class, "organisation", t.Organisation,
		"service", req.service.Name, "servers", strings.Join(req.servers, ","), "wait", t.QueueWait,
		"first", t.FirstToken, "between", t.Between, "total", t.Total, "tokens", t.Tokens,
		"outcome", outcome, "err", err)
}

func within(d, target time.Duration) bool { return target <= 0 || d <= target }
