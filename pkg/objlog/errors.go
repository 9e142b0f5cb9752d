package objlog

import (
	"errors"
	"fmt"
)

// AppendConflictError is returned if another writer appended first. Nothing was appended.
type AppendConflictError struct {
	Log string
	// NextIndex is the index of the log's next record.
	NextIndex uint64
}

func (e *AppendConflictError) Error() string {
	return fmt.Sprintf("log %s moved on to record %d: look at the new records and decide again", e.Log, e.NextIndex)
}

// StaleLogError is returned if the platform returns an older log than one read before:
// its reads are stale, or it was restored from a backup.
type StaleLogError struct {
	Log         string
	Seen, Shown uint64
}

func (e *StaleLogError) Error() string {
	return fmt.Sprintf("platform shows log %s up to record %d, but record %d was seen: wait if its reads are stale; if it was restored from a backup, restore a later one", e.Log, e.Shown, e.Seen)
}

// CorruptError is returned if a stored object cannot be decoded.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("object %s is damaged: %v: restore it from the platform's backup", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// IsAppendConflict reports whether err is an AppendConflictError.
func IsAppendConflict(err error) bool {
	var e *AppendConflictError
	return errors.As(err, &e)
}

// IsStaleLog reports whether err is a StaleLogError.
func IsStaleLog(err error) bool {
	var e *StaleLogError
	return errors.As(err, &e)
}
