package objlog

import (
	"errors"
	"fmt"
)

// AppendConflictError says that somebody else appended first. Nothing was appended.
type AppendConflictError struct {
	Log string
	// NextIndex is the index of the log's next record.
	NextIndex uint64
}

func (e *AppendConflictError) Error() string {
	return fmt.Sprintf("log %s moved on to record %d: look at the new records and decide again", e.Log, e.NextIndex)
}

// StaleLogError says that the platform shows an older log than one seen before:
// it answers with stale data, or was restored from a backup.
type StaleLogError struct {
	Log         string
	Seen, Shown uint64
}

func (e *StaleLogError) Error() string {
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

// IsAppendConflict tells whether somebody else appended first.
func IsAppendConflict(err error) bool {
	var e *AppendConflictError
	return errors.As(err, &e)
}

// IsStaleLog tells whether the platform shows an older log than was seen before.
func IsStaleLog(err error) bool {
	var e *StaleLogError
	return errors.As(err, &e)
}
