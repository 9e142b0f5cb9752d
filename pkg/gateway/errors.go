package gateway

import (
	"fmt"
	"net/http"
	"time"

	"headhill.example/headhill/pkg/balancer"
)

// CallError rejects a request that is invalid or not allowed. Retrying it unchanged is pointless.
type CallError struct {
	Status  int
	Message string
}

func (e *CallError) Error() string { return e.Message }

// RefusedError is returned for a request that was not run and may be retried after RetryAfter.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s: come back after %s", e.Reason, e.RetryAfter)
}

// UnknownError is returned for a request that may have run, but whose response was not received
// completely.
type UnknownError struct {
	// Timeout is set if the deadline of the request expired.
	Timeout bool
	Cause   error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("the request may have run, no whole answer came: %v: look at the service's own record before repeating it", e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

func (e *UnknownError) status() int {
	if e.Timeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// callerGoneError is returned if the caller disconnected or stopped reading the response.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string { return "caller disconnected: " + e.Cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.Cause }

// lengthError is returned if a response is longer than what a server can send in the time left.
type lengthError struct {
	Length   int64
	TimeLeft time.Duration
}

func (e *lengthError) Error() string {
	return fmt.Sprintf("server announced %d bytes, more than can be sent in the %s left: look at what it answers", e.Length, e.TimeLeft)
}

// truncatedError is returned if a response failed after its header was sent to the caller.
type truncatedError struct{ Cause error }

func (e *truncatedError) Error() string { return "response truncated: " + e.Cause.Error() }
func (e *truncatedError) Unwrap() error { return e.Cause }

// unavailableError is returned if all servers that could take the request are rate limited or back
// off.
type unavailableError struct{ balancer.Availability }

func (e *unavailableError) Error() string {
	return fmt.Sprintf("of the servers that are left %d signal a limit, to which this box sends %.2f requests a second, and %d a Retry-After", e.Limited, e.PerSecond, e.BackingOff)
}

func (e *unavailableError) Unwrap() error { return errNoServer }

// notExecutedError is returned if a server stated that it did not run the request.
type notExecutedError struct {
	Server string
	Status int
}

func (e *notExecutedError) Error() string {
	return fmt.Sprintf("server %s did not run the request (status %d)", e.Server, e.Status)
}
