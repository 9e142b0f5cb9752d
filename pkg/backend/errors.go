package backend

import (
	"errors"
	"fmt"
	"time"
)

// NotStartedError says that a call was proved not to have run: nothing of it was
// written to the server, or the server itself said that it did not start it.
type NotStartedError struct {
	Server string
	Cause  error
	// RetryAfter is what the server said, if it did.
	RetryAfter time.Duration
}

func (e *NotStartedError) Error() string {
	return fmt.Sprintf("server %s did not start the call: %v: it may be sent elsewhere", e.Server, e.Cause)
}

func (e *NotStartedError) Unwrap() error { return e.Cause }

// InterruptedError says that the exchange broke after something was written: the call
// may have run.
type InterruptedError struct {
	Server string
	Cause  error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("exchange with server %s broke: %v: the call may have run; look at the server's own record before repeating it", e.Server, e.Cause)
}

func (e *InterruptedError) Unwrap() error { return e.Cause }

// AnswerTimeoutError says that a server sent nothing for too long.
type AnswerTimeoutError struct{ After time.Duration }

func (e *AnswerTimeoutError) Error() string {
	return fmt.Sprintf("no answer within %s: raise [limits] answer-timeout if that is normal", e.After)
}

// MismatchError says that an answer belongs to another request.
type MismatchError struct{ Want, Got string }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer is for request %q, not %q: the server mixed its answers up; take it out", e.Got, e.Want)
}

// IsNotStarted tells whether a call was proved not to have run.
func IsNotStarted(err error) bool {
	var e *NotStartedError
	return errors.As(err, &e)
}
