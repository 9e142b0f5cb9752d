package config

import "fmt"

// ConflictError says that another plan was accepted first.
type ConflictError struct {
	Base, Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the plan was made on generation %d, generation %d is in force by now: nothing was changed; plan again", e.Base, e.Current)
}

// UnknownOutcomeError says that a confirmation may or may not have been accepted.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether the plan was accepted: %v: confirm the same plan again, it takes effect once", e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// PlanExpiredError says that a plan is too old to tell what became of it.
type PlanExpiredError struct{ Base uint64 }

func (e *PlanExpiredError) Error() string {
	return fmt.Sprintf("the plan was made on generation %d, too long ago to tell whether it was accepted: compare with `headhillctl config` and plan again", e.Base)
}

// NotReadyError says that the box has not got the configuration yet.
type NotReadyError struct{}

func (e *NotReadyError) Error() string {
	return "this box has not read the configuration yet: ask another box, or wait until it is ready"
}
