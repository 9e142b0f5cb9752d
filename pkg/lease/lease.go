// Package lease lets one box at a time hold the duties that the whole fleet has once.
// The lease is an object in the store, written only under the condition that nobody
// has written it since it was read. The revision at which a box took it is the fence
// of its calls: the store never gives two takings the same, and later ones are
// higher. All times are of the box's steady clock.
package lease

import (
	"context"
	"fmt"
	"time"
)

// Record is what the store keeps of the lease.
type Record struct {
	// Holder is the box that holds the lease, "" where the last one handed it over.
	Holder string `json:"holder"`
	// Incarnation is that of the holder's process.
	Incarnation uint64 `json:"incarnation"`
	// Fence is that of the holder, zero until its first renewal.
	Fence uint64 `json:"fence"`
	// Renewals counts the writes, so that each one changes the record.
	Renewals uint64 `json:"renewals"`
	// State is what the duties hand on from holder to holder.
	State []byte `json:"state,omitempty"`
}

// VersionedRecord is a record and the revision at which the store has it; zero if it has none.
type VersionedRecord struct {
	Record
	Revision uint64
}

// Store keeps the record.
type Store interface {
	Read(ctx context.Context) (VersionedRecord, error)
	// Write replaces the record of a revision; zero makes the first one. The error is a
	// *ConflictError if the store has another one by now. After any other error the record
	// may have been written, or may be some seconds later.
	Write(ctx context.Context, r Record, revision uint64) (VersionedRecord, error)
}

// ConflictError says that the record has changed since it was read.
type ConflictError struct{ Revision uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the lease is not at revision %d any more: read it again", e.Revision)
}

// Timing are the times of a lease, all derived from its length.
type Timing struct {
	// Validity is how long a holder trusts its lease, from before it sent the renewal.
	Validity time.Duration
	// TakeoverDelay is how long others wait without a renewal before one takes the lease, from when
	// they saw the last one.
	TakeoverDelay time.Duration
	// Cooldown is how long a box stays out after it may have called as a holder, so that its calls
	// never come after those of another one within the lease's length.
	Cooldown time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
}

const (
	// holdShare leaves a fifth of the length between the last call of a holder and the first
	// one of the next: calls under way, and clocks that run unlike each other.
	holdShare = 0.8
	// restShare is a little more than the length.
	restShare = 1.1
	// renewShare lets two renewals in a row be lost.
	renewShare = 0.26
)

// TimingFor returns the times of a lease of a length.
func TimingFor(length time.Duration) Timing {
	share := func(s float64) time.Duration { return time.Duration(s * float64(length)) }
	return Timing{Validity: share(holdShare), TakeoverDelay: length, Cooldown: share(restShare), RenewInterval: share(renewShare)}
}
