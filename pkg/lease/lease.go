// Package lease elects the one box that performs the duties of the fleet. The lease is a record in
// the store that is only written conditionally on the revision last read. The revision at which a
// box acquired the lease, with the era of the store, is the fencing token of its calls; it is unique
// and grows with each acquisition. All times are elapsed times of package clock.
package lease

import (
	"context"
	"fmt"
	"time"

	"headhill.example/headhill/pkg/storerev"
)

// Record is the stored lease.
type Record struct {
	// Holder is the box that holds the lease, or "" after a release.
	Holder string `json:"holder"`
	// Incarnation identifies the process of the holder.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the fencing token of the holder, zero until its first renewal.
	Fence uint64 `json:"fence"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era,omitempty"`
	// Renewals counts the writes, so that each one changes the record.
	Renewals uint64 `json:"renewals"`
	// State is the state of the duties that is passed from holder to holder. StateEra is the last era in which a holder has
	// brought it up to date: its changes since may have been lost by restores of the store.
	State    []byte `json:"state,omitempty"`
	StateEra uint64 `json:"state_era,omitempty"`
}

// VersionedRecord is a record and its revision in the store, which is the start of an era if there is
// no record.
type VersionedRecord struct {
	Record
	Revision storerev.Revision
}

// exists reports whether there is a record.
func (r VersionedRecord) exists() bool { return r.Revision.Number() > 0 }

// restored reports whether the record comes from the copy from which the store was restored, or is
// missing in it. A later record, and with it a later holder, may have been lost.
func (r VersionedRecord) restored() bool { return r.Era < r.Revision.Era() }

// stateRestored reports whether the state comes from an older copy of the store and no holder has brought it up to date since.
func (r VersionedRecord) stateRestored() bool { return r.StateEra < r.Revision.Era() }

// Store stores the record.
type Store interface {
	Read(ctx context.Context) (VersionedRecord, error)
	// Write replaces the record at the given revision, or creates it if the revision is the start of
	// an era. It returns a *ConflictError if the record has another revision. After any other error the
	// write may have taken effect, or may do so seconds later.
	Write(ctx context.Context, r Record, revision storerev.Revision) (VersionedRecord, error)
}

// ConflictError is returned if the record has changed since it was read.
type ConflictError struct{ Revision storerev.Revision }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("lease record is no longer at revision %s: read it again", e.Revision)
}

// Timing holds the durations that govern a lease.
type Timing struct {
	// Validity is how long a holder may use the lease, counted from before it sent the renewal.
	Validity time.Duration
	// TakeoverDelay is how long other boxes wait after the last renewal they observed before one of
	// them acquires the lease.
	TakeoverDelay time.Duration
	// Cooldown is how long a box must not acquire the lease after it may last have made a call as
	// its holder, so that its calls are never interleaved with those of another holder within the
	// duration of the lease.
	Cooldown time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
}

const (
	// validityShare leaves a fifth of the duration between the last call of a holder and the first
	// one of its successor, for calls in flight and clock drift.
	validityShare = 0.8
	// cooldownShare is slightly more than the duration.
	cooldownShare = 1.1
	// renewIntervalShare allows two consecutive renewals to fail.
	renewIntervalShare = 0.26
)

// TimingFor returns the timing of a lease with the given duration.
func TimingFor(duration time.Duration) Timing {
	share := func(s float64) time.Duration { return time.Duration(s * float64(duration)) }
	return Timing{Validity: share(validityShare), TakeoverDelay: duration, Cooldown: share(cooldownShare), RenewInterval: share(renewIntervalShare)}
}
