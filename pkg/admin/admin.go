// Package admin implements the operators' HTTP interface of a box: planning and
// confirming configuration changes, status, health checks and metrics. It is
// served on a separate port that callers cannot reach.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/julienschmidt/httprouter"
	"github.com/samber/oops"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/inifile"
	"headhill.example/headhill/pkg/intent"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/objlog"
	"headhill.example/headhill/pkg/readiness"
	"headhill.example/headhill/pkg/telemetry"
)

// Fleet collects the status of all boxes.
type Fleet interface {
	Status(ctx context.Context) []api.BoxStatus
}

// Deps are the dependencies of a Handler.
type Deps struct {
	// Operators maps operator names to the hex SHA-256 hashes of their tokens.
	Operators map[string]string
	Store     *config.Store
	Fleet     Fleet
	Metrics   *telemetry.Metrics
	Logger    log.Logger
	// Ready reports whether the box is ready.
	Ready func() bool
	// AwaitReplication waits, for a bounded time, until other boxes have applied a
	// generation.
	AwaitReplication func(ctx context.Context, generation uint64)
}

// Handler serves the operators' interface.
type Handler struct {
	Deps
	router *httprouter.Router
}

// Paths of the operators' interface.
const (
	PathPlan    = "/v1/plan"
	PathConfirm = "/v1/confirm"
	PathConfig  = "/v1/config"
	PathStatus  = "/v1/status"
	PathRollout = "/v1/rollout/"
	pathHealth  = "/healthz"
	pathMetrics = "/metrics"
)

// NewHandler returns a Handler with all routes registered.
func NewHandler(d Deps) *Handler {
	h := &Handler{Deps: d, router: httprouter.New()}
	h.router.POST(PathPlan, h.requireOperator(h.plan))
	h.router.POST(PathConfirm, h.requireOperator(h.confirm))
	h.router.GET(PathConfig, h.requireOperator(h.config))
	h.router.GET(PathStatus, h.requireOperator(h.status))
	h.router.GET(PathRollout+":generation", h.requireOperator(h.rollout))
	h.router.GET(pathHealth, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = io.WriteString(w, "ok\n")
	})
	h.router.GET(readiness.Path, readiness.Handler(d.Ready))
	h.router.Handler(http.MethodGet, pathMetrics, d.Metrics.Handler())
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Server returns an http.Server for the admin port.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       time.Minute,
		IdleTimeout:       2 * time.Minute,
	}
}

// operatorCall handles an authenticated operator's request and returns the reply,
// which is encoded as JSON.
type operatorCall func(r *http.Request, operator string, p httprouter.Params) (any, error)

// ForbiddenError reports a request without a valid operator token.
type ForbiddenError struct{}

func (e *ForbiddenError) Error() string {
	return "no operator has this token: send Authorization: Bearer TOKEN, and put the token's hash under [operators] in every box's settings"
}

// requireOperator wraps c with authentication, error replies and JSON encoding.
func (h *Handler) requireOperator(c operatorCall) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		name, ok := h.authenticate(r)
		if !ok {
			writeError(w, &ForbiddenError{})
			return
		}
		reply, err := c(r, name, p)
		if err != nil {
			level.Warn(h.Logger).Log("msg", "operator request failed", "operator", name, "path", r.URL.Path, "err", err)
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// authenticate returns the operator whose token the request carries. Each hash is
// compared in constant time, and all are compared.
func (h *Handler) authenticate(r *http.Request) (name string, ok bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return "", false
	}
	hash := []byte(config.HashKey(token))
	for n, want := range h.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(want))) == 1 {
			name, ok = n, true
		}
	}
	return name, ok
}

func writeError(w http.ResponseWriter, err error) {
	status, typ := classifyError(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.AdminError{Type: typ, Message: err.Error()})
}

// classifyError maps an error to its HTTP status and machine-readable type.
func classifyError(err error) (status int, typ string) {
	switch {
	case isError[*ForbiddenError](err):
		return http.StatusUnauthorized, "unauthorized"
	case isError[*inifile.Error](err), isError[*inifile.SyntaxError](err), isError[*badBodyError](err):
		return http.StatusBadRequest, "bad_intent"
	case isError[*config.ValidationError](err), isError[*intent.UnknownItemError](err):
		return http.StatusUnprocessableEntity, "invalid"
	case isError[*intent.NoChangeError](err):
		return http.StatusConflict, "nothing_to_change"
	case isError[*intent.TamperedError](err):
		return http.StatusBadRequest, "altered_plan"
	case isError[*config.ConflictError](err), isError[*config.PlanExpiredError](err):
		return http.StatusConflict, "raced"
	case isError[*config.UnknownOutcomeError](err):
		return http.StatusGatewayTimeout, "uncertain"
	case objlog.IsStaleLog(err):
		return http.StatusServiceUnavailable, "platform_behind"
	case isError[*config.NotReadyError](err), objectstore.IsUnavailable(err):
		return http.StatusServiceUnavailable, "unavailable"
	}
	return http.StatusInternalServerError, "internal"
}

// isError reports whether err or an error that it wraps is of type E.
func isError[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

// badBodyError reports a request that cannot be parsed.
type badBodyError struct{ Cause error }

func (e *badBodyError) Error() string {
	return fmt.Sprintf("the call's body can't be read: %v: send JSON, as `headhillctl` does", e.Cause)
}

func (e *badBodyError) Unwrap() error { return e.Cause }

// maxBodyBytes limits the request body. It fits an intent of 40,000 organisations.
const maxBodyBytes = 32 << 20

func decodeBody(r *http.Request, v any) error {
	body := io.LimitReader(r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return &badBodyError{Cause: err}
	}
	return nil
}

func (h *Handler) plan(r *http.Request, operator string, _ httprouter.Params) (any, error) {
	var req api.PlanRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	if !h.Store.Loaded() {
		return nil, &config.NotReadyError{}
	}
	wanted, err := intent.Parse([]byte(req.Intent))
	if err != nil {
		return nil, err
	}
	// A plan based on an old generation cannot be confirmed, so read the latest one
	// first. If the platform is unavailable, plan on the current one.
	if err := h.Store.Refresh(r.Context()); err != nil {
		level.Debug(h.Logger).Log("msg", "refreshing the configuration failed; planning on the current generation", "err", err)
	}
	p, err := intent.NewPlan(h.Store.Current(), wanted)
	if err != nil {
		return nil, err
	}
	level.Info(h.Logger).Log("msg", "plan created", "operator", operator, "plan", p.ID, "base", p.Base, "changes", len(p.Diffs))
	return api.PlanReply{Plan: p}, nil
}

func (h *Handler) confirm(r *http.Request, operator string, _ httprouter.Params) (any, error) {
	var req api.ConfirmRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	if err := req.Plan.Verify(); err != nil {
		return nil, err
	}
	if !h.Store.Loaded() {
		return nil, &config.NotReadyError{}
	}
	a := config.AcceptedChange{Operator: operator, At: time.Now().UTC(), Change: req.Plan.Change}
	g, err := h.Store.Confirm(r.Context(), req.Plan.ID, req.Plan.Base, a)
	if err != nil {
		return nil, oops.In("admin").With("plan", req.Plan.ID).Wrap(err)
	}
	// Reply only after the change is replicated, so that it survives a failure of
	// this box during a platform outage.
	h.AwaitReplication(r.Context(), g)
	return api.ConfirmReply{Generation: g}, nil
}

func (h *Handler) config(*http.Request, string, httprouter.Params) (any, error) {
	st := h.Store.Current()
	return api.ConfigReply{Generation: st.Generation, Config: st.Export()}, nil
}

func (h *Handler) status(r *http.Request, _ string, _ httprouter.Params) (any, error) {
	reply := api.StatusReply{Boxes: h.Fleet.Status(r.Context())}
	if err := h.Store.StaleLogErr(); err != nil {
		reply.Warnings = append(reply.Warnings, err.Error())
	}
	return reply, nil
}

func (h *Handler) rollout(r *http.Request, _ string, p httprouter.Params) (any, error) {
	var reply api.RolloutReply
	if _, err := fmt.Sscanf(p.ByName("generation"), "%d", &reply.Generation); err != nil {
		return nil, &badBodyError{Cause: fmt.Errorf("generation %q is no number", p.ByName("generation"))}
	}
	for _, b := range h.Fleet.Status(r.Context()) {
		if b.Error == "" && b.Generation >= reply.Generation {
			reply.InForce = append(reply.InForce, b.Box)
			continue
		}
		reply.Missing = append(reply.Missing, b.Box)
	}
	return reply, nil
}
