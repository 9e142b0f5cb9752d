package upstream

import (
	"errors"
	"fmt"
	"io"
	"time"
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
	// Via is the address of the box by way of which the connection led, "" for a direct one.
	Via string
	// ConnOpened is when the connection was established.
	ConnOpened time.Time
	Cause      error
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

// WithoutContent replaces an error of a parser, which quotes what was received: that may be meant for another caller. It returns
// connErr, the error of the connection from which the parser read, and ends of that unchanged.
func WithoutContent(err, connErr error, reason string) error {
	var malformed *MalformedResponseError
	if err == nil || err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, connErr) || errors.As(err, &malformed) {
		return err
	}
	return &MalformedResponseError{Reason: reason}
}

// IsNotSent reports whether err states that no byte of a request was written.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// PathLostError is returned if the connection to a server was lost at another box, by way of which it
// led. It says nothing of the server.
type PathLostError struct {
	Relay string
	Cause error
}

func (e *PathLostError) Error() string {
	return fmt.Sprintf("the connection by way of the box at %s was lost: %v: use another way", e.Relay, e.Cause)
}

func (e *PathLostError) Unwrap() error { return e.Cause }
