package backend

import (
	"errors"
	"fmt"
	"time"
)

// NotStartedError reports that a call did not run: nothing was written to the server,
// or the server answered that it did not start the call.
type NotStartedError struct {
	Server string
	Cause  error
	// RetryAfter is the delay that the server requested, 0 if none.
	RetryAfter time.Duration
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("server %s did not start the call: %v: it may be sent elsewhere", e.Server, e.Cause)
}

func (e *NotStartedError) Unwrap() error { return e.Cause }

// InterruptedError reports that an exchange failed after something was written: the
// call may have run.
type InterruptedError struct {
	Server string
	Cause  error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("exchange with server %s broke: %v: the call may have run; look at the server's own record before repeating it", e.Server, e.Cause)
}

func (e *InterruptedError) Unwrap() error { return e.Cause }

// AnswerTimeoutError reports that a server sent nothing for Timeout.
type AnswerTimeoutError struct{ Timeout time.Duration }

func (e *AnswerTimeoutError) Error() string {
	return fmt.Sprintf("no answer within %s: raise [limits] answer-timeout if that is normal", e.Timeout)
}

// MismatchError reports that an answer belongs to another request.
type MismatchError struct{ Want, Got string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer is for request %q, not %q: the server mixed its answers up; take it out", e.Got, e.Want)
}

// IsNotStarted reports whether err shows that a call did not run.
func IsNotStarted(err error) bool {
	var e *NotStartedError
	return errors.As(err, &e)
}
