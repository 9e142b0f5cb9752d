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

// Error types in the bodies of error answers.
const (
	typeBadRequest   = "bad_request"
	typeUnauthorized = "unauthorized"
	typeForbidden    = "forbidden_class"
	typeNoRoute      = "no_route"
	typeTooLarge     = "too_large"
	typeBusy         = "busy"
	typeRefused      = "refused"
	typeClaims       = "claims_unavailable"
	typeKeyTaken     = "key_taken"
	typeUnknown      = "outcome_unknown"
	typeNotStarted   = "not_started"
)

// RequestError reports that a request was rejected without running.
type RequestError struct {
	Status  int
	Type    string
	Message string
}

func (e *RequestError) Error() string { return e.Message }

func badRequest(format string, args ...any) error {
	return &RequestError{Status: http.StatusBadRequest, Type: typeBadRequest, Message: fmt.Sprintf(format, args...)}
}

// KeyTakenError reports that the idempotency key of a request was used before.
type KeyTakenError struct{ Done bool }

func (e *KeyTakenError) Error() string {
	if e.Done {
		return "a request with this idempotency key ran to its end before: it was not run again; look at its first answer"
	}
	return "a request with this idempotency key was sent before and may have run: it was not run again; look at the service's own record"
}

// UnknownOutcomeError reports that a request may have run.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the request may have run, its answer is not whole: %v", e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// callerWriteError reports that writing to the caller failed: it disconnected, or
// reads too slowly.
type callerWriteError struct{ Cause error }

func (e *callerWriteError) Error() string {
	return fmt.Sprintf("the caller can't be written to: %v", e.Cause)
}

func (e *callerWriteError) Unwrap() error { return e.Cause }

func isCallerWriteError(err error) bool {
	var e *callerWriteError
	return errors.As(err, &e)
}

// errorResponse is the answer to a failed request.
type errorResponse struct {
	status     int
	errorType  string
	message    string
	outcome    api.Outcome
	retryAfter time.Duration
}

// newErrorResponse converts an error. The outcome of unrecognized errors is unknown.
func newErrorResponse(err error) errorResponse {
	var (
		unknown    *UnknownOutcomeError
		request    *RequestError
		refused    *shard.RefusedError
		taken      *KeyTakenError
		claim      *claims.UnavailableError
		notStarted *backend.NotStartedError
	)
	// Check UnknownOutcomeError first: it may wrap the refusal of a later attempt.
	if errors.As(err, &unknown) {
		return unknownOutcomeResponse(err)
	}
	switch {
	case errors.As(err, &request):
		return errorResponse{status: request.Status, errorType: request.Type, message: request.Message, outcome: api.OutcomeNotRun}
	case errors.As(err, &refused):
		return refusedResponse(refused)
	case errors.As(err, &claim):
		return errorResponse{status: http.StatusServiceUnavailable, errorType: typeClaims, message: claim.Error(), outcome: api.OutcomeNotRun, retryAfter: claimRetryAfter}
	case errors.As(err, &taken):
		return keyTakenResponse(taken)
	case errors.As(err, &notStarted):
		return errorResponse{status: http.StatusServiceUnavailable, errorType: typeNotStarted, message: err.Error(), outcome: api.OutcomeNotRun, retryAfter: max(notStarted.RetryAfter, serverRetryAfter)}
	}
	return unknownOutcomeResponse(err)
}

func unknownOutcomeResponse(err error) errorResponse {
	resp := errorResponse{status: http.StatusBadGateway, errorType: typeUnknown, message: err.Error(), outcome: api.OutcomeUnknown}
	if errors.Is(err, context.DeadlineExceeded) || isAnswerTimeout(err) {
		resp.status = http.StatusGatewayTimeout
	}
	return resp
}

const (
	claimRetryAfter  = 5 * time.Second
	serverRetryAfter = time.Second
)

func isAnswerTimeout(err error) bool {
	var e *backend.AnswerTimeoutError
	return errors.As(err, &e)
}

func refusedResponse(e *shard.RefusedError) errorResponse {
	resp := errorResponse{status: http.StatusServiceUnavailable, errorType: typeRefused, message: e.Error(), outcome: api.OutcomeNotRun, retryAfter: e.RetryAfter}
	if e.Reason == scheduler.ReasonLimit {
		resp.status = http.StatusTooManyRequests
	}
	return resp
}

// keyTakenResponse answers with the outcome of the first request that used the key,
// which is unknown unless that request is recorded as done.
func keyTakenResponse(e *KeyTakenError) errorResponse {
	resp := errorResponse{status: http.StatusConflict, errorType: typeKeyTaken, message: e.Error(), outcome: api.OutcomeUnknown}
	if e.Done {
		resp.outcome = api.OutcomeDone
	}
	return resp
}

// write sends the error as a complete answer.
func (resp errorResponse) write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderOutcome, string(resp.outcome))
	if resp.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(resp.retryAfter.Seconds()))))
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body(id))
}

func (resp errorResponse) body(id string) []byte {
	// Encoding a struct of strings and integers never fails.
	b, _ := json.Marshal(api.ErrorBody{Error: api.Error{
		Type:             resp.errorType,
		Message:          resp.message,
		Outcome:          resp.outcome,
		RetryAfterMillis: resp.retryAfter.Milliseconds(),
		RequestID:        id,
	}})
	return b
}
