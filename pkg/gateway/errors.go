package gateway

import (
	"fmt"
	"net/http"
	"time"

	"headhill.example/headhill/pkg/balancer"
)

// CallError says that a request can't be served as it is.
type CallError struct {
	Status  int
	Message string
}

func (e *CallError) Error() string { return e.Message }

// RefusedError says that a request was not run here, and when to come back.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s: come back after %s", e.Reason, e.RetryAfter)
}

// UnknownError says that a request may have run, but that no whole answer came.
type UnknownError struct {
	// Timeout says that the time was over.
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

// callerGoneError says that the caller does not take its answer any more.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string { return "caller is gone: " + e.Cause.Error() }
func (e *callerGoneError) Unwrap() error { return e.Cause }

// brokenOffError says that an answer broke off after its head went to the caller.
type brokenOffError struct{ Cause error }

func (e *brokenOffError) Error() string { return "answer broke off: " + e.Cause.Error() }
func (e *brokenOffError) Unwrap() error { return e.Cause }

// unavailableError says that the servers which could take a request are limited or back off.
type unavailableError struct{ balancer.Availability }

func (e *unavailableError) Error() string {
	return fmt.Sprintf("of the servers that are left %d signal a limit, to which this box sends %.2f requests a second, and %d a Retry-After", e.Limited, e.PerSecond, e.BackingOff)
}

func (e *unavailableError) Unwrap() error { return errNoServer }

// notRunError says that a server told that it did not run the request.
type notRunError struct {
	Server string
	Status int
}

func (e *notRunError) Error() string {
	return fmt.Sprintf("server %s did not run the request (status %d)", e.Server, e.Status)
}
