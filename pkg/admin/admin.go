// Package admin is the operators' side of a box: the intent API, health and
// metrics. It listens on a port of its own, which callers don't reach.
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

// Fleet asks every box for its status.
type Fleet interface {
	Status(ctx context.Context) []api.BoxStatus
}

// Deps are what the operators' side is built on.
type Deps struct {
	// Operators maps names to the hex SHA-256 of their tokens.
	Operators map[string]string
	Store     *config.Store
	Fleet     Fleet
	Metrics   *telemetry.Metrics
	Logger    log.Logger
	Ready     func() bool
	// AwaitReplication waits a moment until other boxes have a generation as well.
	AwaitReplication func(ctx context.Context, generation uint64)
}

// Handler answers operators.
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

// NewHandler returns the operators' handler.
func NewHandler(d Deps) *Handler {
	h := &Handler{Deps: d, router: httprouter.New()}
	h.router.POST(PathPlan, h.operator(h.plan))
	h.router.POST(PathConfirm, h.operator(h.confirm))
	h.router.GET(PathConfig, h.operator(h.config))
	h.router.GET(PathStatus, h.operator(h.status))
	h.router.GET(PathRollout+":generation", h.operator(h.rollout))
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

// call is an authenticated operator's call; it returns the reply.
type call func(r *http.Request, operator string, p httprouter.Params) (any, error)

// ForbiddenError says that a call carries no operator's token.
type ForbiddenError struct{}

func (e *ForbiddenError) Error() string {
	return "no operator has this token: send Authorization: Bearer TOKEN, and put the token's hash under [operators] in every box's settings"
}

func (h *Handler) operator(c call) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		name, ok := h.authenticate(r)
		if !ok {
			writeError(w, &ForbiddenError{})
			return
		}
		reply, err := c(r, name, p)
		if err != nil {
			level.Warn(h.Logger).Log("msg", "operator's call failed", "operator", name, "path", r.URL.Path, "err", err)
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	}
}

// authenticate compares with every operator's hash, in constant time each.
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
	status, typ := kind(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(api.AdminError{Type: typ, Message: err.Error()})
}

// kind maps an error to its HTTP status and its type for programs.
func kind(err error) (status int, typ string) {
	switch {
	case as[*ForbiddenError](err):
		return http.StatusUnauthorized, "unauthorized"
	case as[*inifile.Error](err), as[*inifile.SyntaxError](err), as[*badBodyError](err):
		return http.StatusBadRequest, "bad_intent"
	case as[*config.ValidationError](err), as[*intent.UnknownItemError](err):
		return http.StatusUnprocessableEntity, "invalid"
	case as[*intent.NoChangeError](err):
		return http.StatusConflict, "nothing_to_change"
	case as[*intent.TamperedError](err):
		return http.StatusBadRequest, "altered_plan"
	case as[*config.ConflictError](err), as[*config.PlanExpiredError](err):
		return http.StatusConflict, "raced"
	case as[*config.UnknownOutcomeError](err):
		return http.StatusGatewayTimeout, "uncertain"
	case objlog.IsBehind(err):
		return http.StatusServiceUnavailable, "platform_behind"
	case as[*config.NotReadyError](err), objectstore.IsUnavailable(err):
		return http.StatusServiceUnavailable, "unavailable"
	}
	return http.StatusInternalServerError, "internal"
}

func as[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}

type badBodyError struct{ Cause error }

func (e *badBodyError) Error() string {
	return fmt.Sprintf("the call's body can't be read: %v: send JSON, as `headhillctl` does", e.Cause)
}

func (e *badBodyError) Unwrap() error { return e.Cause }

// bodyMost bounds a call's body: an intent of some 40,000 organisations.
const bodyMost = 32 << 20

func decode(r *http.Request, v any) error {
	body := io.LimitReader(r.Body, bodyMost)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return &badBodyError{Cause: err}
	}
	return nil
}

func (h *Handler) plan(r *http.Request, operator string, _ httprouter.Params) (any, error) {
	var req api.PlanRequest
	if err := decode(r, &req); err != nil {
		return nil, err
	}
	if !h.Store.Loaded() {
		return nil, &config.NotReadyError{}
	}
	wanted, err := intent.Parse([]byte(req.Intent))
	if err != nil {
		return nil, err
	}
	// A plan on an old generation could never be confirmed; a platform that is
	// away does not hinder planning.
	if err := h.Store.Refresh(r.Context()); err != nil {
		level.Debug(h.Logger).Log("msg", "planning on the last configuration read", "err", err)
	}
	p, err := intent.NewPlan(h.Store.Current(), wanted)
	if err != nil {
		return nil, err
	}
	level.Info(h.Logger).Log("msg", "plan made", "operator", operator, "plan", p.ID, "base", p.Base, "changes", len(p.Diffs))
	return api.PlanReply{Plan: p}, nil
}

func (h *Handler) confirm(r *http.Request, operator string, _ httprouter.Params) (any, error) {
	var req api.ConfirmRequest
	if err := decode(r, &req); err != nil {
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
	// The operator is told only when the change would survive this box, even if
	// the platform went away now.
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
