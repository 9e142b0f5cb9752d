package lease

import (
	"time"

	"headhill.example/headhill/pkg/storerev"
)

// Elector is the state machine that decides when a box reads, acquires and renews the lease. It
// performs no I/O: results of reads and writes and announcements are passed to it with their time.
type Elector struct {
	box         string
	incarnation uint64
	timing      Timing

	// latest is the record with the highest revision known, latestSince is when this box first
	// observed it. stateKnown is false for records that were only announced, as announcements omit
	// the state.
	latest      VersionedRecord
	latestSince time.Time
	stateKnown  bool
	// recordKnown is set once the record, or its absence, is known.
	startedAt   time.Time
	recordKnown bool
	// eraStart is the start of the latest era known of the store, eraSince is when this box learned of
	// it.
	eraStart storerev.Revision
	eraSince time.Time
	// fence is the revision at which this box acquired the lease, or zero; heldUntil is how long it
	// may use the lease. lastHeldAt is when this box may last have made a call as the holder.
	fence      uint64
	heldUntil  time.Time
	lastHeldAt time.Time
}

// NewElector returns the elector of a process that starts now. It assumes that an earlier process
// of the box may have held the lease until now.
func NewElector(box string, incarnation uint64, timing Timing, now time.Time) *Elector {
	return &Elector{box: box, incarnation: incarnation, timing: timing, startedAt: now, lastHeldAt: now}
}

// Latest returns the newest known record.
func (e *Elector) Latest() VersionedRecord { return e.latest }

// Holding returns the fencing token of this box and how long the lease is valid. It returns false
// if this box does not hold the lease.
func (e *Elector) Holding(now time.Time) (fence uint64, until time.Time, ok bool) {
	return e.fence, e.heldUntil, e.fence > 0 && now.Before(e.heldUntil)
}

// ownsLatest reports whether the newest record was written by this process.
func (e *Elector) ownsLatest() bool {
	return e.latest.exists() && e.latest.Holder == e.box && e.latest.Incarnation == e.incarnation
}

// ObserveEra processes an era of the store that was seen in a response. Records of earlier eras are
// read again.
func (e *Elector) ObserveEra(era uint64, now time.Time) {
	if start := storerev.StartOf(era); start > e.eraStart {
		e.eraStart, e.eraSince = start, now
	}
}

// eraUnread reports whether no record of the latest era is known.
func (e *Elector) eraUnread() bool { return e.latest.Revision < e.eraStart }

// ObserveRead processes a record that was read from the store.
func (e *Elector) ObserveRead(s VersionedRecord, now time.Time) {
	if !e.recordKnown {
		e.recordKnown, e.latestSince = true, now
	}
	if s.Revision < e.latest.Revision {
		return
	}
	e.update(s, true, now)
}

// ObserveAnnounced processes a record that was announced by another box. It lacks the state.
func (e *Elector) ObserveAnnounced(s VersionedRecord, now time.Time) {
	if s.Revision <= e.latest.Revision {
		return
	}
	e.recordKnown = true
	e.update(s, false, now)
}

func (e *Elector) update(s VersionedRecord, withState bool, now time.Time) {
	if s.Revision > e.latest.Revision {
		e.latestSince = now
		e.stateKnown = false
	}
	e.latest = s
	e.stateKnown = e.stateKnown || withState
	if e.fence > 0 && !e.ownsLatest() && !e.latest.restored() {
		e.endHolding(now)
	}
}

// holdsAcrossRestore reports whether the lease of this box is valid although the newest record was
// restored. No other box acquires the lease before it has expired. Once it has, a restored record does
// not show whether another box did, even if it names this one.
func (e *Elector) holdsAcrossRestore(now time.Time) bool {
	return e.fence > 0 && e.latest.restored() && now.Before(e.heldUntil)
}

// endHolding records that this box no longer holds the lease.
func (e *Elector) endHolding(now time.Time) {
	e.fence = 0
	e.lastHeldAt = later(e.lastHeldAt, earlier(e.heldUntil, now))
}

// Step is the next action of a box.
type Step int

// Steps.
const (
	// StepWait means to wait until the returned time.
	StepWait Step = iota
	// StepRead means to read the record.
	StepRead
	// StepAcquire means to replace the latest record by one that makes this box the holder.
	StepAcquire
	// StepRenew means to write this box's record again.
	StepRenew
)

// Next returns the next step and, for StepWait, when to ask again. The delay, which differs between
// boxes, is added to the time after which an expired lease is acquired.
func (e *Elector) Next(delay time.Duration, now time.Time) (Step, time.Time) {
	switch {
	case e.fence > 0 && e.eraUnread():
		return StepRead, now
	case e.holdsAcrossRestore(now):
		return StepRenew, now
	case e.fence > 0 && e.ownsLatest() && !e.latest.restored():
		return e.nextRenewal(now)
	}
	if e.fence > 0 {
		// The lease has expired, and a restored record does not show whether another box holds it.
		e.endHolding(now)
	}
	due := e.startedAt.Add(delay)
	switch {
	case e.eraUnread():
		due = e.eraSince.Add(delay)
	case e.recordKnown:
		due = e.takeoverTime(delay)
	}
	switch {
	case now.Before(due):
		return StepWait, due
	case !e.recordKnown || e.eraUnread() || e.latest.exists() && !e.stateKnown:
		return StepRead, now
	}
	return StepAcquire, now
}

func (e *Elector) nextRenewal(now time.Time) (Step, time.Time) {
	due := e.heldUntil.Add(e.timing.RenewInterval - e.timing.Validity)
	if now.Before(due) {
		return StepWait, due
	}
	return StepRenew, now
}

// takeoverTime returns when this box may acquire the lease.
func (e *Elector) takeoverTime(delay time.Duration) time.Time {
	switch {
	case e.latest.restored():
		// A holder whose record was lost may use the lease until it expires.
		return later(e.latestSince.Add(e.timing.TakeoverDelay+delay), e.lastHeldAt.Add(e.timing.Cooldown))
	case !e.latest.exists():
		// The lease has never been held.
		return e.latestSince.Add(delay)
	case e.latest.Holder == e.box:
		// This box was the last holder, so no other box has made calls since.
		return e.latestSince
	case e.latest.Holder == "":
		return later(e.latestSince.Add(delay), e.lastHeldAt.Add(e.timing.Cooldown))
	}
	return later(e.latestSince.Add(e.timing.TakeoverDelay+delay), e.lastHeldAt.Add(e.timing.Cooldown))
}

// AcquireRecord returns the record that acquires the lease. Its state remains that of the previous holder.
func (e *Elector) AcquireRecord() Record {
	r := e.latest.Record
	r.Holder, r.Incarnation, r.Fence, r.Era = e.box, e.incarnation, 0, e.latest.Revision.Era()
	r.Renewals++
	return r
}

// RenewRecord returns the record that renews the lease. upToDate tells whether the state includes all that the duties did in
// earlier eras of the store.
func (e *Elector) RenewRecord(state []byte, upToDate bool) Record {
	r := e.latest.Record
	r.Holder, r.Incarnation, r.Fence, r.Era = e.box, e.incarnation, e.fence, e.latest.Revision.Era()
	r.State = state
	if upToDate {
		r.StateEra = r.Era
	}
	r.Renewals++
	return r
}

// ReleaseRecord returns the record that releases the lease. upToDate is as in RenewRecord.
func (e *Elector) ReleaseRecord(state []byte, upToDate bool) Record {
	r := e.RenewRecord(state, upToDate)
	r.Holder, r.Incarnation, r.Fence = "", 0, 0
	return r
}

// Acquired records that AcquireRecord was written. sent is the time before the write was sent.
func (e *Elector) Acquired(s VersionedRecord, sent, now time.Time) {
	e.update(s, true, now)
	e.fence = uint64(s.Revision)
	e.heldUntil = sent.Add(e.timing.Validity)
}

// Renewed records that RenewRecord was written. sent is the time before the write was sent.
func (e *Elector) Renewed(s VersionedRecord, sent, now time.Time) {
	e.update(s, true, now)
	e.heldUntil = later(e.heldUntil, sent.Add(e.timing.Validity))
}

// Released records that this box has released the lease or is about to.
func (e *Elector) Released(now time.Time) { e.endHolding(now) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
