package objectstore

import (
	"errors"
	"fmt"
)

// NotFoundError says that an object does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s does not exist: create it, or check the key prefix in [platform]", e.Key)
}

// ConflictError says that a conditional write lost: the object has another
// version than the one the write was conditioned on. The write had no effect.
type ConflictError struct{ Key string }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s was changed by somebody else: read it again and repeat", e.Key)
}

// UnavailableError says that the platform did not take the call. The call had no
// effect.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable (%s): %v: check [platform] url and the platform's health; calls are repeated with backoff", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that a write may or may not have taken effect: its answer
// was lost. Read the object back.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the answer of the platform was lost (%s): %v: read the object back to learn whether the write took effect", e.Op, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// TooLargeError says that a value exceeds what the platform holds.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, the platform holds %d: split it", e.Key, e.Size, MaxValueBytes)
}

// InvalidResponseError says that the platform answered in a way this client does not
// understand.
type InvalidResponseError struct {
	Op     string
	Status int
}

func (e *InvalidResponseError) Error() string {
	return fmt.Sprintf("platform answered %s with status %d: check that [platform] url names an object API and that the token is valid", e.Op, e.Status)
}

// IsNotFound tells whether err says that an object does not exist.
func IsNotFound(err error) bool { return is[*NotFoundError](err) }

// IsConflict tells whether err is a lost conditional write.
func IsConflict(err error) bool { return is[*ConflictError](err) }

// IsUnknownOutcome tells whether err leaves open if a write took effect.
func IsUnknownOutcome(err error) bool { return is[*UnknownOutcomeError](err) }

// IsUnavailable tells whether the platform could not be reached or refused the
// call for now.
func IsUnavailable(err error) bool { return is[*UnavailableError](err) }

func is[E error](err error) bool {
	var e E
	return errors.As(err, &e)
}
