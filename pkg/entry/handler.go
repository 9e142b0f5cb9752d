package entry

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/claims"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/readiness"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/shard"
	"headhill.example/headhill/pkg/telemetry"
)

// Deps are what the callers' side is built on.
type Deps struct {
	Limits  settings.Limits
	Hall    string
	Tracker *membership.Tracker
	Store   *config.Store
	Broker  *shard.Broker
	Backend *backend.Client
	Claims  *claims.Client
	Metrics *telemetry.Metrics
	Logger  log.Logger
	// Ready tells whether the box should get callers.
	Ready func() bool
}

// Handler answers callers.
type Handler struct {
	Deps
	router  *httprouter.Router
	budget  *retryBudget
	running atomic.Int64
	held    atomic.Int64
	// patience bounds how long a caller may take to read a piece of its answer.
	patience time.Duration
}

// Paths of the caller's interface.
const (
	pathChat     = "/v1/chat/completions"
	pathServices = "/services/:service/*path"
)

// NewHandler returns the callers' handler.
func NewHandler(d Deps) *Handler {
	h := &Handler{Deps: d, router: httprouter.New(), budget: newRetryBudget(), patience: callerTimeout}
	h.router.POST(pathChat, h.bounded(h.chat, h.identify))
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		h.router.Handle(m, pathServices, h.bounded(h.plain, h.identify))
	}
	h.router.GET(readiness.Path, readiness.Handle(d.Ready))
	h.router.NotFound = http.HandlerFunc(notFound)
	h.router.HandleMethodNotAllowed = false
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.running.Load()) }

// Server returns an http.Server with the settings' bounds.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: h.Limits.HeaderTimeout,
		MaxHeaderBytes:    h.Limits.Header,
		IdleTimeout:       2 * time.Minute,
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	err := &RequestError{
		Status:  http.StatusNotFound,
		Type:    typeNoRoute,
		Message: "no such path: call POST " + pathChat + ", or /services/NAME/PATH",
	}
	judge(err).write(w, "")
}

// serve answers one request whose caller is known and whose body is there.
type serve func(http.ResponseWriter, *http.Request, *request) error

// bounded admits a bounded number of requests, identifies their callers, and ends
// each with a verdict.
func (h *Handler) bounded(serve serve, identify func(*http.Request, *request) error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		req := newRequest(p)
		w.Header().Set(api.HeaderRequestID, req.id)
		defer h.running.Add(-1)
		if h.running.Add(1) > int64(h.Limits.Requests) {
			h.fail(w, req, &RequestError{
				Status: http.StatusServiceUnavailable, Type: typeBusy,
				Message: "this box holds as many requests as it may: ask again",
			})
			return
		}
		defer func() { h.held.Add(-int64(len(req.body))) }()
		// The bound stands until the body is there whole. It also bounds what the
		// server still reads of a request that was refused before.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.Limits.BodyTimeout))
		err := identify(r, req)
		if err == nil {
			err = h.readBody(w, r, req)
		}
		if err == nil {
			err = serve(w, r, req)
		}
		h.close(w, r, req, err)
	}
}

// request is one caller's request on its way through the box. Exactly one
// goroutine works on it.
type request struct {
	id      string
	params  httprouter.Params
	arrival time.Time
	org     config.Organisation
	class   config.Class
	service config.Service
	body    []byte
	// once marks a request that may not be repeated, key names it.
	once    bool
	key     string
	attempt string
	claimed bool
	fence   string
	// maybeRan is set once an exchange broke after something was written.
	maybeRan bool
	// begun is set once a part of the answer went to the caller.
	begun bool
	// opaque answers hold more than text of one choice.
	opaque  bool
	servers []string

	granted    time.Time
	firstToken time.Time
	lastToken  time.Time
	tokens     int
	wasted     int
	status     int
}

func newRequest(p httprouter.Params) *request {
	return &request{id: newID(), params: p, arrival: time.Now()}
}

func newID() string {
	var b [12]byte
	// crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// identify finds out who calls.
func (h *Handler) identify(r *http.Request, req *request) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return unauthorized("send the organisation's API key as Authorization: Bearer KEY")
	}
	req.org, ok = h.Store.Current().OrganisationByKey(key)
	if !ok {
		return unauthorized("the API key belongs to no organisation: check it, or ask the operators for one")
	}
	return nil
}

func unauthorized(message string) error {
	return &RequestError{Status: http.StatusUnauthorized, Type: typeUnauthorized, Message: message}
}

// readBody reads the whole body within the bounds of size, time and memory.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *request) error {
	if h.held.Load() > int64(h.Limits.Held) {
		return &RequestError{Status: http.StatusServiceUnavailable, Type: typeBusy, Message: "this box holds as much as it may: ask again"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.Limits.Body)))
	req.body = body
	h.held.Add(int64(len(body)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &RequestError{Status: http.StatusRequestEntityTooLarge, Type: typeTooLarge, Message: "the body is larger than this box takes: shorten it, or raise [limits] body"}
	}
	if err != nil {
		return badRequest("the body did not arrive whole: %v", err)
	}
	return http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// classify works out the request's class and whether it may be repeated, from
// its header, the service and the organisation, in that order.
func (h *Handler) classify(r *http.Request, req *request) error {
	name := r.Header.Get(api.HeaderClass)
	if name == "" {
		name = req.service.Class
	}
	if name == "" {
		name = req.org.Class
	}
	class, ok := h.Store.Current().Class(name)
	if !ok {
		return badRequest("class %q does not exist: check %s", name, api.HeaderClass)
	}
	if len(req.org.Classes) > 0 && !slices.Contains(req.org.Classes, name) {
		return &RequestError{Status: http.StatusForbidden, Type: typeForbidden, Message: "organisation " + req.org.Name + " may not use class " + name + ": name one of " + strings.Join(req.org.Classes, ", ")}
	}
	req.class = class
	return req.readRepeatable(r)
}

const keyMost = 256

func (q *request) readRepeatable(r *http.Request) error {
	switch v := r.Header.Get(api.HeaderRepeatable); v {
	case "":
		q.once = !q.service.Repeatable
	case "yes":
		q.once = false
	case "no":
		q.once = true
	default:
		return badRequest("%s is %q: send yes or no", api.HeaderRepeatable, v)
	}
	q.key = r.Header.Get(api.HeaderIdempotencyKey)
	if len(q.key) > keyMost {
		return badRequest("%s is longer than %d bytes: shorten it", api.HeaderIdempotencyKey, keyMost)
	}
	q.attempt = q.id
	return nil
}
