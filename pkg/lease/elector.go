package lease

import "time"

// Elector decides for one box when to look at the lease, to take it and to renew it. It
// does nothing by itself: what was read, written and heard is told to it with the time.
type Elector struct {
	box         string
	incarnation uint64
	timing      Timing

	// seen is the newest record known, seenAt when this box first knew it. Of a record
	// that was only heard of, state is not known.
	seen      VersionedRecord
	seenAt    time.Time
	stateSeen bool
	// started is when the process started, read tells that the record, or that there is
	// none, is known.
	started time.Time
	read    bool
	// fence is the revision at which this box took the lease, until is how long it may act
	// on it; lost is when it may last have acted.
	fence uint64
	until time.Time
	lost  time.Time
}

// NewElector returns the elector of a process that starts now. Its box may have held the
// lease until a moment ago.
func NewElector(box string, incarnation uint64, timing Timing, now time.Time) *Elector {
	return &Elector{box: box, incarnation: incarnation, timing: timing, started: now, lost: now}
}

// Latest is the newest record known.
func (e *Elector) Latest() VersionedRecord { return e.seen }

// Holding returns this box's fence and how long it may act, if it holds the lease now.
func (e *Elector) Holding(now time.Time) (fence uint64, until time.Time, ok bool) {
	return e.fence, e.until, e.fence > 0 && now.Before(e.until)
}

// mine tells whether the newest record is of this process.
func (e *Elector) mine() bool {
	return e.seen.Revision > 0 && e.seen.Holder == e.box && e.seen.Incarnation == e.incarnation
}

// ObserveRead takes in a record that was read.
func (e *Elector) ObserveRead(s VersionedRecord, now time.Time) {
	if !e.read {
		e.read, e.seenAt = true, now
	}
	if s.Revision < e.seen.Revision {
		return
	}
	e.note(s, true, now)
}

// ObserveAnnounced takes in what another box tells of the record: all but its state.
func (e *Elector) ObserveAnnounced(s VersionedRecord, now time.Time) {
	if s.Revision <= e.seen.Revision {
		return
	}
	e.read = true
	e.note(s, false, now)
}

func (e *Elector) note(s VersionedRecord, whole bool, now time.Time) {
	if s.Revision > e.seen.Revision {
		e.seenAt = now
		e.stateSeen = false
	}
	e.seen = s
	e.stateSeen = e.stateSeen || whole
	if e.fence > 0 && !e.mine() {
		e.lose(now)
	}
}

// lose ends this box's holding.
func (e *Elector) lose(now time.Time) {
	e.fence = 0
	e.lost = later(e.lost, earlier(e.until, now))
}

// Step is what to do next.
type Step int

// Steps.
const (
	// StepWait: nothing until the time given.
	StepWait Step = iota
	// StepRead: read the record.
	StepRead
	// StepAcquire: write a record of this box over the one seen.
	StepAcquire
	// StepRenew: write this box's record again.
	StepRenew
)

// Next returns what to do, or when to ask again. The delay is added to the time after which
// a lease that is not renewed is taken; it differs from box to box.
func (e *Elector) Next(delay time.Duration, now time.Time) (Step, time.Time) {
	if e.fence > 0 && e.mine() {
		return e.nextRenewal(now)
	}
	due := e.started.Add(delay)
	if e.read {
		due = e.takeAt(delay)
	}
	switch {
	case now.Before(due):
		return StepWait, due
	case !e.read || e.seen.Revision > 0 && !e.stateSeen:
		return StepRead, now
	}
	return StepAcquire, now
}

func (e *Elector) nextRenewal(now time.Time) (Step, time.Time) {
	due := e.until.Add(e.timing.RenewInterval - e.timing.Validity)
	if now.Before(due) {
		return StepWait, due
	}
	return StepRenew, now
}

// takeAt is when this box may take the lease.
func (e *Elector) takeAt(delay time.Duration) time.Time {
	switch {
	case e.seen.Revision == 0:
		// No box has ever held it.
		return e.seenAt.Add(delay)
	case e.seen.Holder == e.box:
		// This box held it last, so that no other has called since.
		return e.seenAt
	case e.seen.Holder == "":
		return later(e.seenAt.Add(delay), e.lost.Add(e.timing.Cooldown))
	}
	return later(e.seenAt.Add(e.timing.TakeoverDelay+delay), e.lost.Add(e.timing.Cooldown))
}

// AcquireRecord is the record that this box writes to take the lease.
func (e *Elector) AcquireRecord() Record {
	r := e.seen.Record
	r.Holder, r.Incarnation, r.Fence = e.box, e.incarnation, 0
	r.Renewals++
	return r
}

// RenewRecord is the record that this box writes to keep the lease.
func (e *Elector) RenewRecord(state []byte) Record {
	r := e.seen.Record
	r.Fence, r.State = e.fence, state
	r.Renewals++
	return r
}

// ReleaseRecord is the record that this box writes to give the lease up.
func (e *Elector) ReleaseRecord(state []byte) Record {
	r := e.RenewRecord(state)
	r.Holder, r.Incarnation, r.Fence = "", 0, 0
	return r
}

// Acquired notes that this box's taking was written. The time is from before it was sent.
func (e *Elector) Acquired(s VersionedRecord, sent, now time.Time) {
	e.note(s, true, now)
	e.fence = s.Revision
	e.until = sent.Add(e.timing.Validity)
}

// Renewed notes that this box's renewal was written.
func (e *Elector) Renewed(s VersionedRecord, sent, now time.Time) {
	e.note(s, true, now)
	e.until = later(e.until, sent.Add(e.timing.Validity))
}

// Released notes that this box has given the lease up, or is about to.
func (e *Elector) Released(now time.Time) { e.lose(now) }

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
