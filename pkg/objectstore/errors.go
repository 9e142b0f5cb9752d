package objectstore

import (
	"errors"
	"fmt"
)

// NotFoundError is returned if an object does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s does not exist: create it, or check the key prefix in [platform]", e.Key)
}

// ConflictError is returned if a conditional write failed because the object's version
// differs from the expected one. The write had no effect.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s was changed by somebody else: read it again and repeat", e.Key)
}

// UnavailableError is returned if the platform did not accept the call. The call had no
// effect.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable (%s): %v: check [platform] url and the platform's health; calls are repeated with backoff", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError is returned if the response to a write was lost: the write may have
// taken effect. Read the object back to find out.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the answer of the platform was lost (%s): %v: read the object back to learn whether the write took effect", e.Op, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// TooLargeError is returned if a value is larger than MaxValueBytes.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, the platform holds %d: split it", e.Key, e.Size, MaxValueBytes)
}

// InvalidResponseError is returned for a response that the client cannot interpret.
type InvalidResponseError struct {
	Op     string
	Status int
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("platform answered %s with status %d: check that [platform] url names an object API and that the token is valid", e.Op, e.Status)
}

// IsNotFound reports whether err is a NotFoundError.
func IsNotFound(err error) bool { return is[*NotFoundError](err) }

// IsConflict reports whether err is a ConflictError.
func IsConflict(err error) bool { return is[*ConflictError](err) }

// IsUnknownOutcome reports whether err is an UnknownOutcomeError.
func IsUnknownOutcome(err error) bool { return is[*UnknownOutcomeError](err) }

// IsUnavailable reports whether err is an UnavailableError.
func IsUnavailable(err error) bool { return is[*UnavailableError](err) }

func is[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}
