package directory

import (
	"context"
	"errors"
	"sync"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/stall"
)

// known says up to which revision a part is known, and at which it last changed;
// zero for no change that was seen.
type known struct {
	revision uint64
	changed  uint64
}

// follower follows one part of the belief.
type follower struct {
	name   string
	logger log.Logger
	wake   chan struct{}
	// there tells whether the part can be used.
	there     func() bool
	collected uint64

	mu    sync.Mutex
	state known
	// open is what this part has yet to reach. The source is asked until it is met.
	open     target
	failures int
	// asking says that others or the source are being asked.
	asking bool
	// unbegun counts the watches in a row whose answer did not begin in time, though the
	// source is known to have what they ask for.
	unbegun int
	// misses counts the answers that did not come, over all time.
	misses int
	// waiting is the watch that waits for the next change, nil if none does.
	waiting *waitingWatch
	// historyLost says that the whole has to be read again.
	historyLost bool
}

// target is what a follower has to reach.
type target struct {
	// wanted is a revision that the source is known to have reached; missing one at
	// which the part is known to have changed. Zero stands for none.
	wanted, missing uint64
}

// beyond leaves out what a revision has reached.
func (t target) beyond(revision uint64) target {
	if t.wanted <= revision {
		t.wanted = 0
	}
	if t.missing <= revision {
		t.missing = 0
	}
	return t
}

// without leaves out what was asked for.
func (t target) without(asked target) target {
	if t.wanted == asked.wanted {
		t.wanted = 0
	}
	if t.missing == asked.missing {
		t.missing = 0
	}
	return t
}

// waitingWatch is a watch that waits for the next change.
type waitingWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// interrupt ends the watch, unless its answer is coming: that holds the news.
func (w *waitingWatch) interrupt() {
	if w != nil && !stall.Started(w.ctx) {
		w.cancel(errInterrupted)
	}
}

func newFollower(name string, logger log.Logger, there func() bool) *follower {
	return &follower{name: name, logger: logger, wake: make(chan struct{}, 1), there: there}
}

// reach makes the follower ask at once if it knows less than a revision of the source.
func (f *follower) reach(revision uint64) {
	f.mu.Lock()
	lacks := f.state.revision < revision
	var waiting *waitingWatch
	if lacks {
		f.open.wanted = max(f.open.wanted, revision)
		waiting = f.waiting
	}
	f.mu.Unlock()
	if !lacks {
		return
	}
	waiting.interrupt()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// heardOf takes in that the part changed last at one revision, up to another.
func (f *follower) heardOf(revision, changed uint64) {
	f.mu.Lock()
	lacks := f.state.revision < changed
	switch {
	case lacks:
		f.open.missing = max(f.open.missing, changed)
	case f.state.revision > 0:
		f.raise(known{revision: revision})
	}
	f.mu.Unlock()
	if lacks {
		f.reach(changed)
	}
}

// target returns what is to be reached now.
func (f *follower) target() target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// setAsking notes whether others or the source are being asked.
func (f *follower) setAsking(asking bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asking = asking
}

// met notes that the source has answered. A revision that it does not know was never its
// own, and is not asked for again; what was heard of meanwhile is.
func (f *follower) met(asked target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = f.open.without(asked)
	f.unbegun = 0
}

func (f *follower) endWaiting(w *waitingWatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting == w {
		f.waiting = nil
	}
}

func (f *follower) known() known {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// watchable tells whether changes since what is known can be asked for.
func (f *follower) watchable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.revision > 0 && !f.historyLost
}

// forget makes the whole be read again.
func (f *follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyLost = true
}

// wasRead says that the whole has been read.
func (f *follower) wasRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyLost = false
}

func (f *follower) advance(k known) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raise(k)
}

// raise takes in up to where the part is known. The caller holds mu.
func (f *follower) raise(k known) {
	f.state.revision = max(f.state.revision, k.revision)
	f.state.changed = max(f.state.changed, k.changed)
	f.open = f.open.beyond(f.state.revision)
}

// unbegunMost is how many watches in a row may fail to begin before the whole is read in
// their place: a source that is slow to gather many changes may have the whole at hand.
const unbegunMost = 2

// notBegun counts a watch that failed. One counts whose answer did not begin though there
// is something to tell: a silent source is not meant.
func (f *follower) notBegun(asked target, err error) {
	var stalled *stall.Error
	if asked.wanted == 0 || !errors.As(err, &stalled) || stalled.Started {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unbegun++
}

// watchesFail tells whether the whole is to be read, as watches do not begin.
func (f *follower) watchesFail() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unbegun >= unbegunMost
}

// covers tells whether a delta adds to what is known, without a gap.
func (f *follower) covers(delta Delta) bool {
	k := f.known()
	return k.revision > 0 && delta.From <= k.revision && k.revision < delta.To
}
