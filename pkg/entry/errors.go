package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/claims"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/shard"
)

// Types of errors, as callers' programs see them.
const (
	typeBadRequest   = "bad_request"
	typeUnauthorized = "unauthorized"
	typeForbidden    = "forbidden_class"
	typeNoRoute      = "no_route"
	typeTooLarge     = "too_large"
	typeBusy         = "busy"
	typeRefused      = "refused"
	typeClaims       = "claims_unavailable"
	typeTaken        = "key_taken"
	typeUnknown      = "outcome_unknown"
	typeNotStarted   = "not_started"
)

// RequestError is a request that was answered without running. It says so.
type RequestError struct {
	Status  int
	Type    string
	Message string
}

func (e *RequestError) Error() string { return e.Message }

func badRequest(format string, args ...any) error {
	return &RequestError{Status: http.StatusBadRequest, Type: typeBadRequest, Message: fmt.Sprintf(format, args...)}
}

// TakenError says that a keyed request was sent before.
type TakenError struct{ Done bool }

func (e *TakenError) Error() string {
	if e.Done {
		return "a request with this idempotency key ran to its end before: it was not run again; look at its first answer"
	}
	return "a request with this idempotency key was sent before and may have run: it was not run again; look at the service's own record"
}

// UnknownError says that a request may have run.
type UnknownError struct{ Cause error }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("the request may have run, its answer is not whole: %v", e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

// callerError says that a caller could not be written to: it left, or reads too
// slowly.
type callerError struct{ Cause error }

func (e *callerError) Error() string {
	return fmt.Sprintf("the caller can't be written to: %v", e.Cause)
}

func (e *callerError) Unwrap() error { return e.Cause }

func isCaller(err error) bool {
	var e *callerError
	return errors.As(err, &e)
}

// verdict is what a caller is told of a request that failed.
type verdict struct {
	status     int
	typ        string
	message    string
	outcome    api.Outcome
	retryAfter time.Duration
}

// judge turns an error into a verdict. What it does not know is unknown.
func judge(err error) verdict {
	var (
		unknown    *UnknownError
		request    *RequestError
		refused    *shard.RefusedError
		taken      *TakenError
		claim      *claims.UnavailableError
		notStarted *backend.NotStartedError
	)
	// First what may have run, whatever ended it at last: an UnknownError may wrap
	// a refusal of the second attempt.
	if errors.As(err, &unknown) {
		return judgeUnknown(err)
	}
	switch {
	case errors.As(err, &request):
		return verdict{status: request.Status, typ: request.Type, message: request.Message, outcome: api.OutcomeNotRun}
	case errors.As(err, &refused):
		return judgeRefused(refused)
	case errors.As(err, &claim):
		return verdict{status: http.StatusServiceUnavailable, typ: typeClaims, message: claim.Error(), outcome: api.OutcomeNotRun, retryAfter: claimRetryAfter}
	case errors.As(err, &taken):
		return judgeTaken(taken)
	case errors.As(err, &notStarted):
		return verdict{status: http.StatusServiceUnavailable, typ: typeNotStarted, message: err.Error(), outcome: api.OutcomeNotRun, retryAfter: max(notStarted.RetryAfter, serverRetryAfter)}
	}
	return judgeUnknown(err)
}

func judgeUnknown(err error) verdict {
	v := verdict{status: http.StatusBadGateway, typ: typeUnknown, message: err.Error(), outcome: api.OutcomeUnknown}
	if errors.Is(err, context.DeadlineExceeded) || isSilent(err) {
		v.status = http.StatusGatewayTimeout
	}
	return v
}

const (
	claimRetryAfter  = 5 * time.Second
	serverRetryAfter = time.Second
)

func isSilent(err error) bool {
	var e *backend.AnswerTimeoutError
	return errors.As(err, &e)
}

func judgeRefused(e *shard.RefusedError) verdict {
	v := verdict{status: http.StatusServiceUnavailable, typ: typeRefused, message: e.Error(), outcome: api.OutcomeNotRun, retryAfter: e.RetryAfter}
	if e.Reason == scheduler.ReasonLimit {
		v.status = http.StatusTooManyRequests
	}
	return v
}

// judgeTaken: that the key was taken before says nothing certain of the first
// request, so the outcome is the known end or unknown.
func judgeTaken(e *TakenError) verdict {
	v := verdict{status: http.StatusConflict, typ: typeTaken, message: e.Error(), outcome: api.OutcomeUnknown}
	if e.Done {
		v.outcome = api.OutcomeDone
	}
	return v
}

// write sends the verdict as the whole answer.
func (v verdict) write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderOutcome, string(v.outcome))
	if v.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.retryAfter.Seconds()))))
	}
	w.WriteHeader(v.status)
	_, _ = w.Write(v.body(id))
}

func (v verdict) body(id string) []byte {
	// A plain struct always encodes.
	b, _ := json.Marshal(api.ErrorBody{Error: api.Error{
		Type:             v.typ,
		Message:          v.message,
		Outcome:          v.outcome,
		RetryAfterMillis: v.retryAfter.Milliseconds(),
		RequestID:        id,
	}})
	return b
}
