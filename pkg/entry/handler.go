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
	"headhill.example/headhill/pkg/callerconn"
	"headhill.example/headhill/pkg/claims"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/readiness"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/shard"
	"headhill.example/headhill/pkg/telemetry"
)

// Deps holds the dependencies of a Handler.
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
	// Ready reports whether the box accepts callers.
	Ready func() bool
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	Deps
	router    *httprouter.Router
	budget    *retryBudget
	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	// writeTimeout bounds each write of a part of an answer to its caller.
	writeTimeout time.Duration
}

// Paths of the callers' API.
const (
	pathChat     = "/v1/chat/completions"
	pathServices = "/services/:service/*path"
)

// NewHandler returns a handler for the callers' API.
func NewHandler(d Deps) *Handler {
	h := &Handler{Deps: d, router: httprouter.New(), budget: newRetryBudget(), writeTimeout: callerWriteTimeout}
	h.router.POST(pathChat, h.admit(h.serveChat, h.authenticate))
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		h.router.Handle(m, pathServices, h.admit(h.servePlain, h.authenticate))
	}
	h.router.GET(readiness.Path, readiness.Handler(d.Ready))
	h.router.NotFound = http.HandlerFunc(notFound)
	h.router.HandleMethodNotAllowed = false
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Server returns an http.Server with the configured limits.
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: h.Limits.HeaderTimeout,
		MaxHeaderBytes:    h.Limits.MaxHeaderBytes,
		IdleTimeout:       2 * time.Minute,
		ConnContext:       callerconn.ConnContext,
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	err := &RequestError{
		Status:  http.StatusNotFound,
		Type:    typeNoRoute,
		Message: "no such path: call POST " + pathChat + ", or /services/NAME/PATH",
	}
	newErrorResponse(err).write(w, "")
}

// requestFunc answers an authenticated request whose body has been read.
type requestFunc func(http.ResponseWriter, *http.Request, *request) error

// admit limits the requests in flight, authenticates callers, reads bodies, and ends
// each request with an outcome.
func (h *Handler) admit(serve requestFunc, authenticate func(*http.Request, *request) error) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		req := newRequest(p)
		w.Header().Set(api.HeaderRequestID, req.id)
		defer h.inFlight.Add(-1)
		if h.inFlight.Add(1) > int64(h.Limits.MaxRequests) {
			h.fail(w, req, &RequestError{
				Status: http.StatusServiceUnavailable, Type: typeBusy,
				Message: "this box holds as many requests as it may: ask again",
			})
			return
		}
		defer func() { h.bodyBytes.Add(-int64(len(req.body))) }()
		// The deadline holds until the body is complete. It also covers the rest of the
		// body, which net/http reads after a request was rejected.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.Limits.BodyTimeout))
		err := authenticate(r, req)
		if err == nil {
			err = h.readBody(w, r, req)
		}
		if err == nil {
			err = serve(w, r, req)
		}
		h.finish(w, r, req, err)
	}
}

// request is the state of a caller's request. It is used by one goroutine at a time.
type request struct {
	id      string
	params  httprouter.Params
	arrival time.Time
	org     config.Organisation
	class   config.Class
	service config.Service
	body    []byte
	// atMostOnce marks a request that must not be repeated; key is its idempotency key.
	atMostOnce bool
	key        string
	attemptID  string
	claimed    bool
	fence      string
	// mayHaveRun is set when an exchange was interrupted after something was written.
	mayHaveRun bool
	// endUnknown is set if the answer ended with its connection and may be incomplete.
	endUnknown bool
	// responseStarted is set once a part of the answer was sent to the caller.
	responseStarted bool
	// nonResumable mirrors answer.nonResumable.
	nonResumable bool
	servers      []string

	grantedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokenCount   int
	wastedTokens int
	status       int
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

// authenticate identifies the organisation of the caller by its API key.
func (h *Handler) authenticate(r *http.Request, req *request) error {
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

// readBody reads the body within the limits on size, time and memory.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, req *request) error {
	if h.bodyBytes.Load() > int64(h.Limits.MaxHeldBytes) {
		return &RequestError{Status: http.StatusServiceUnavailable, Type: typeBusy, Message: "this box holds as much as it may: ask again"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.Limits.MaxBodyBytes)))
	req.body = body
	h.bodyBytes.Add(int64(len(body)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &RequestError{Status: http.StatusRequestEntityTooLarge, Type: typeTooLarge, Message: "the body is larger than this box takes: shorten it, or raise [limits] body"}
	}
	if err != nil {
		return badRequest("the body did not arrive whole: %v", err)
	}
	return http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// classify determines the class of a request, and whether it may be repeated, from
// its headers, the service and the organisation, in that order.
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
	return req.readRepeatability(r)
}

const maxIdempotencyKeyBytes = 256

func (req *request) readRepeatability(r *http.Request) error {
	switch v := r.Header.Get(api.HeaderRepeatable); v {
	case "":
		req.atMostOnce = !req.service.Repeatable
	case "yes":
		req.atMostOnce = false
	case "no":
		req.atMostOnce = true
	default:
		return badRequest("%s is %q: send yes or no", api.HeaderRepeatable, v)
	}
	req.key = r.Header.Get(api.HeaderIdempotencyKey)
	if len(req.key) > maxIdempotencyKeyBytes {
		return badRequest("%s is longer than %d bytes: shorten it", api.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	req.attemptID = req.id
	return nil
}
