package config

import "fmt"

// ConflictError reports a change that is not based on the current generation,
// because another plan was accepted first.
type ConflictError struct {
	Base, Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the plan was made on generation %d, generation %d is in force by now: nothing was changed; plan again", e.Base, e.Current)
}

// UnknownOutcomeError reports that a change may or may not have been accepted.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether the plan was accepted: %v: confirm the same plan again, it takes effect once", e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// PlanExpiredError reports a plan whose base is older than the retained history,
// so that it cannot be determined whether it was accepted.
type PlanExpiredError struct{ Base uint64 }

func (e *PlanExpiredError) Error() string {
	return fmt.Sprintf("the plan was made on generation %d, too long ago to tell whether it was accepted: compare with `headhillctl config` and plan again", e.Base)
}

// NotReadyError reports that the box has not loaded a configuration yet.
type NotReadyError struct{}

func (e *NotReadyError) Error() string {
	return "this box has not read the configuration yet: ask another box, or wait until it is ready"
}
