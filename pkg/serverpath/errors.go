package serverpath

import "fmt"

// CheckError is returned if a connection was accepted, but carried no response to a check of the path.
type CheckError struct {
	Address string
	// Via is the address of the box by way of which the connection led, "" for a direct one.
	Via string
	// Silent is set if no response came in time, and unset if the connection ended before one.
	Silent bool
	Cause  error
}

func (e *CheckError) Error() string {
	return fmt.Sprintf("a connection to %s was accepted, but carried no response: %v: use another way", e.Address, e.Cause)
}

func (e *CheckError) Unwrap() error { return e.Cause }

// UnreachableError is returned if no connection to a server passed its check a moment ago, directly or by way of another
// box.
type UnreachableError struct{ Address string }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s could not be reached a moment ago, directly or by way of another box: use another server, or try again later", e.Address)
}
