package directory

import (
	"context"
	"errors"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

// position is how far a part is synchronised: the source revision, and the last revision at which
// the part changed, zero if no change was seen.
type position struct {
	revision storerev.Revision
	changed  storerev.Revision
}

// follower keeps one part of the directory in sync with the source.
type follower struct {
	name   string
	logger log.Logger
	wake   chan struct{}
	// loaded reports whether the part has been read.
	loaded      func() bool
	lastBatched storerev.Revision

	mu  sync.Mutex
	pos position
	// pending is the revision still to be reached. The source is queried until it is.
	pending             target
	consecutiveFailures int
	// querying is set while a query of peers or of the source is in progress.
	querying bool
	// stalledWatches counts consecutive watches that sent no first byte in time although the source
	// has changes to report.
	stalledWatches int
	// lostHistories counts consecutive watches whose history was lost.
	lostHistories int
	// totalFailures counts the failed requests since the start.
	totalFailures int
	// longPoll is the watch that waits for the next change, or nil.
	longPoll *longPoll
	// fullReadNeeded is set while the changes since the position cannot be fetched.
	fullReadNeeded bool
}

// target is a revision that a follower has to reach.
type target struct {
	// revision is one that the source is known to have reached, changed one at which the part is
	// known to have changed. Zero stands for none.
	revision, changed storerev.Revision
}

// unreached returns the target without the revisions up to the given one.
func (t target) unreached(revision storerev.Revision) target {
	if t.revision <= revision {
		t.revision = 0
	}
	if t.changed <= revision {
		t.changed = 0
	}
	return t
}

// unrequested returns the target without the revisions of a request that was answered.
func (t target) unrequested(requested target) target {
	if t.revision == requested.revision {
		t.revision = 0
	}
	if t.changed == requested.changed {
		t.changed = 0
	}
	return t
}

// longPoll is a watch that waits for the next change.
type longPoll struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// interrupt cancels the watch unless its answer has started: that contains the change.
func (w *longPoll) interrupt() {
	if w != nil && !stall.Started(w.ctx) {
		w.cancel(errInterrupted)
	}
}

func newFollower(name string, logger log.Logger, loaded func() bool) *follower {
	return &follower{name: name, logger: logger, wake: make(chan struct{}, 1), loaded: loaded}
}

// requireRevision triggers a query if the part is behind a revision of the source.
func (f *follower) requireRevision(revision storerev.Revision) {
	f.mu.Lock()
	behind := f.pos.revision < revision
	var w *longPoll
	if behind {
		f.pending.revision = max(f.pending.revision, revision)
		w = f.longPoll
	}
	f.mu.Unlock()
	if !behind {
		return
	}
	w.interrupt()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// observe records that, as of revision, the part last changed at revision changed. A part that was
// not read in the era of the revision counts as changed.
func (f *follower) observe(revision, changed storerev.Revision) {
	f.mu.Lock()
	if start := storerev.StartOf(revision.Era()); f.pos.revision < start {
		changed = max(changed, start)
	}
	behind := f.pos.revision < changed
	switch {
	case behind:
		f.pending.changed = max(f.pending.changed, changed)
	case f.pos.revision > 0:
		f.advanceLocked(position{revision: revision})
	}
	f.mu.Unlock()
	if behind {
		f.requireRevision(changed)
	}
}

// confirmedBy reports whether the part is at or past a revision of the same era.
func (f *follower) confirmedBy(revision storerev.Revision) bool {
	pos := f.position().revision
	return pos >= revision && pos.SameEra(revision)
}

func (f *follower) target() target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending
}

func (f *follower) setQuerying(querying bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.querying = querying
}

// resolve records that a request was answered. A revision that the answer does not reach
// did not come from this source and is not requested again, unlike one observed in the meantime.
func (f *follower) resolve(requested target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = f.pending.unrequested(requested)
	f.stalledWatches = 0
}

func (f *follower) endLongPoll(w *longPoll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.longPoll == w {
		f.longPoll = nil
	}
}

func (f *follower) position() position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pos
}

// canWatch reports whether changes since the current position can be fetched.
func (f *follower) canWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pos.revision > 0 && !f.fullReadNeeded
}

func (f *follower) requireFullRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullReadNeeded = true
}

func (f *follower) recordFullRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullReadNeeded = false
}

func (f *follower) advance(pos position) {
	f.mu.Lock()
	before := f.pos.revision
	f.advanceLocked(pos)
	after := f.pos.revision
	f.mu.Unlock()
	if before > 0 && !before.SameEra(after) {
		_ = level.Info(f.logger).Log("msg", "part is up to date with the restored source", "part", f.name, "revision", after, "before", before)
	}
}

// advanceLocked moves the position forward. The first position in an era counts as a change. The
// caller holds mu.
func (f *follower) advanceLocked(pos position) {
	f.pos.revision = max(f.pos.revision, pos.revision)
	f.pos.changed = max(f.pos.changed, pos.changed, storerev.StartOf(f.pos.revision.Era()))
	f.pending = f.pending.unreached(f.pos.revision)
}

// maxStalledWatches is the number of consecutive stalled watches after which the part is read in
// full: a source that takes long to collect many changes may still serve a full read quickly.
const maxStalledWatches = 2

// recordStall counts a watch that sent no first byte although the source has changes to report. A
// source that is merely unavailable does not count.
func (f *follower) recordStall(requested target, err error) {
	var stalled *stall.Error
	if requested.revision == 0 || !errors.As(err, &stalled) || stalled.Started {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalledWatches++
}

// watchesStall reports whether to read in full because watches stall.
func (f *follower) watchesStall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stalledWatches >= maxStalledWatches
}

// countLostHistory counts a watch that failed because its history was lost, and returns how many did
// in a row.
func (f *follower) countLostHistory(err error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !errors.Is(err, ErrHistoryTooLong) {
		f.lostHistories++
	}
	return f.lostHistories
}

func (f *follower) resetLostHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostHistories = 0
}

// extendedBy reports whether a delta continues the current position without a gap. A delta that leads
// from one era to another does not, as the changes lost in between are not part of it.
func (f *follower) extendedBy(delta Delta) bool {
	pos := f.position()
	return pos.revision > 0 && delta.From <= pos.revision && pos.revision < delta.To && delta.From.SameEra(delta.To)
}
