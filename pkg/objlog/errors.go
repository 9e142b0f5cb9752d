package objlog

import (
	"errors"
	"fmt"
)

// MovedError says that somebody else appended first. Nothing was appended.
type MovedError struct {
	Log string
	// Next is the index of the log's next record.
	Next uint64
}

func (e *MovedError) Error() string {
	return fmt.Sprintf("log %s moved on to record %d: look at the new records and decide again", e.Log, e.Next)
}

// BehindError says that the platform shows an older log than one seen before:
// it answers with stale data, or was restored from a backup.
type BehindError struct {
	Log         string
	Seen, Shown uint64
}

func (e *BehindError) Error() string {
	return fmt.Sprintf("platform shows log %s up to record %d, but record %d was seen: wait if its reads are stale; if it was restored from a backup, restore a later one", e.Log, e.Shown, e.Seen)
}

// CorruptError says that a stored object can't be read.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("object %s is damaged: %v: restore it from the platform's backup", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// IsMoved tells whether somebody else appended first.
func IsMoved(err error) bool {
	var e *MovedError
	return errors.As(err, &e)
}

// IsBehind tells whether the platform shows an older log than was seen before.
func IsBehind(err error) bool {
	var e *BehindError
	return errors.As(err, &e)
}
