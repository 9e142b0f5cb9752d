package upstream

import (
	"errors"
	"fmt"
)

// NotSentError is returned if no byte of a request was written to the server.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s: %v: send the request elsewhere", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// InterruptedError is returned if an exchange failed after part of the request may have been
// written, so that the request may have run.
type InterruptedError struct {
	Address string
	Cause   error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("exchange with %s broke: %v: the request may have run, so repeat it only if that is allowed", e.Address, e.Cause)
}

func (e *InterruptedError) Unwrap() error { return e.Cause }

// MalformedResponseError is returned if a server sent data that is not a response to the request.
type MalformedResponseError struct{ Reason string }

func (e *MalformedResponseError) Error() string {
	return "malformed answer: " + e.Reason + ": check the server"
}

// IsNotSent reports whether err states that no byte of a request was written.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}
