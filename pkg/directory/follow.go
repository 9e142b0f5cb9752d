package directory

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/stall"
)

// Timing bounds the staleness of the directory.
type Timing struct {
	// WatchWait is the longest time a watch waits for a change.
	WatchWait time.Duration
	// AnswerTimeout is how long the source may take to send the first byte, beyond a watch's wait,
	// and how long it may pause between bytes. MaxAnswerTime bounds the whole answer.
	AnswerTimeout time.Duration
	MaxAnswerTime time.Duration
	// MaxLag bounds the time in which both parts have to reach the revision of a check.
	MaxLag time.Duration
	// BatchDelay is the pause after a change before the next watch, so that changes in quick
	// succession share a call.
	BatchDelay time.Duration
	// InitialBackoff is the pause after the first failure; MaxBackoff bounds its growth.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// stallLimits returns the limits of an answer whose first byte is due within a time.
func (t Timing) stallLimits(firstByte time.Duration) stall.Limits {
	return stall.Limits{FirstByte: firstByte, Idle: t.AnswerTimeout, Total: t.MaxAnswerTime}
}

// FollowOptions configures Follow.
type FollowOptions struct {
	Source Source
	// Providers are queried before the source by boxes that are not readers.
	Providers Providers
	Timing    Timing
	// Reader reports whether this box reads the source on behalf of others.
	Reader func() bool
}

// Follow keeps the directory up to date until ctx ends. Only readers watch the source continuously.
// Other boxes receive notifications, and query peers or the source if they miss a revision.
func (d *Directory) Follow(ctx context.Context, opts FollowOptions) {
	t := opts.Timing
	var wg conc.WaitGroup
	wg.Go(func() {
		d.table.run(ctx, t, &tablePart{directory: d, source: opts.Source, providers: opts.Providers, timing: t}, opts.Reader)
	})
	wg.Go(func() {
		d.list.run(ctx, t, &serversPart{directory: d, source: opts.Source, providers: opts.Providers, timing: t}, opts.Reader)
	})
	wg.Wait()
}

// errInterrupted is the cancellation cause of a watch that is restarted to fetch a newer revision.
var errInterrupted = errors.New("watch cancelled: a newer revision is known")

// roleCheckInterval is how often a box checks whether it has become a reader.
const roleCheckInterval = 500 * time.Millisecond

// run reads the whole part, then follows its changes, and reads it again when the changes since its
// position cannot be fetched.
func (f *follower) run(ctx context.Context, t Timing, p part, reader func() bool) {
	defer f.setQuerying(false)
	for ctx.Err() == nil {
		if f.canWatch() && !f.needsQuery(reader) {
			f.setQuerying(false)
			f.waitForWork(ctx)
			continue
		}
		f.setQuerying(true)
		err := f.query(ctx, t, p, reader)
		interrupted := errors.Is(err, errInterrupted)
		if interrupted {
			f.logInterrupted(err)
		} else {
			f.recordResult(err)
		}
		switch {
		case needsFullRead(err):
			f.requireFullRead()
			if n := f.countLostHistory(err); n > 1 {
				pause.For(ctx, backoff(t, n))
			}
		case interrupted:
		case err == nil:
			f.batchChanges(ctx, t)
		default:
			// The watch resumes at its revision; the source reports if that has been compacted.
			pause.For(ctx, f.backoff(t))
		}
	}
}

// needsQuery reports whether to query the source now: always for a reader, for others while the part
// is not loaded, after a failure, or if a newer revision is known to exist.
func (f *follower) needsQuery(reader func() bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending.revision > 0 || f.consecutiveFailures > 0 || !f.loaded() || reader()
}

// waitForWork blocks until the follower is woken or the role has to be checked.
func (f *follower) waitForWork(ctx context.Context) {
	timer := time.NewTimer(roleCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// query makes one request to the providers or to the source.
func (f *follower) query(ctx context.Context, t Timing, p part, reader func() bool) error {
	target := f.target()
	if f.shouldQueryProviders(target, reader) && f.queryProviders(ctx, p, target) {
		return nil
	}
	var err error
	if f.canWatch() && !f.watchesStall() && !p.prefersFullRead(target) {
		err = f.watchOnce(ctx, t, p)
		f.recordStall(target, err)
	} else {
		err = f.readOnce(ctx, p)
	}
	if err == nil {
		f.resolve(target)
	}
	return err
}

func (f *follower) readOnce(ctx context.Context, p part) error {
	pos, err := p.read(ctx, clock.Now())
	if err != nil {
		return err
	}
	f.advance(pos)
	f.recordFullRead()
	return nil
}

func (f *follower) watchOnce(ctx context.Context, t Timing, p part) error {
	ctx, wait, end := f.beginWatch(ctx, t)
	defer end()
	pos, err := p.watch(ctx, f.position().revision, wait)
	if err != nil {
		return withCause(ctx, err)
	}
	f.advance(pos)
	f.resetLostHistory()
	return nil
}

// needsFullRead reports whether an error requires a full read.
func needsFullRead(err error) bool {
	return errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrHistoryTooLong) || errors.Is(err, ErrRestored)
}

// withCause adds the cancellation cause of a context to an error that lacks it.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return errors.Join(err, cause)
	}
	return err
}

// pollWait is the wait of a watch that only fetches the changes made so far.
const pollWait = time.Millisecond

// beginWatch returns the context and the wait of a watch. Only a watch that waits for the next
// change is cancelled when a newer revision becomes known; others return at once.
func (f *follower) beginWatch(ctx context.Context, t Timing) (context.Context, time.Duration, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending.revision > 0 || f.consecutiveFailures > 0 {
		ctx, end := stall.WithLimits(ctx, t.stallLimits(pollWait+t.AnswerTimeout))
		return ctx, pollWait, end
	}
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, end := stall.WithLimits(ctx, t.stallLimits(t.WatchWait+t.AnswerTimeout))
	w := &longPoll{ctx: ctx, cancel: cancel}
	f.longPoll = w
	return ctx, t.WatchWait, func() {
		f.endLongPoll(w)
		end()
		cancel(nil)
	}
}

// batchChanges pauses after a change, so that the next watch returns several at once.
func (f *follower) batchChanges(ctx context.Context, t Timing) {
	if changed := f.position().changed; changed != f.lastBatched {
		f.lastBatched = changed
		pause.For(ctx, t.BatchDelay)
	}
}

// recordResult counts failures and logs when the source becomes unavailable and when it recovers.
func (f *follower) recordResult(err error) {
	f.mu.Lock()
	before := f.consecutiveFailures
	f.consecutiveFailures++
	if err == nil || needsFullRead(err) {
		f.consecutiveFailures = 0
	} else {
		f.totalFailures++
	}
	f.mu.Unlock()
	revision := f.position().revision
	switch {
	case needsFullRead(err):
		_ = level.Info(f.logger).Log("msg", "source history unavailable", "part", f.name, "revision", revision, "err", err, "outcome", "starting a full read")
	case err != nil && before == 0:
		_ = level.Warn(f.logger).Log("msg", "source unavailable", "part", f.name, "revision", revision, "err", err, "outcome", "keeping the last known state")
	case err != nil:
		_ = level.Info(f.logger).Log("msg", "source still unavailable", "part", f.name, "revision", revision, "failures", before+1, "err", err)
	case before > 0:
		_ = level.Info(f.logger).Log("msg", "source recovered", "part", f.name, "revision", revision, "failures", before)
	}
}

// logInterrupted logs that a watch was cancelled because a newer revision is known.
func (f *follower) logInterrupted(err error) {
	_ = level.Info(f.logger).Log("msg", "watch interrupted", "part", f.name, "revision", f.position().revision, "err", err, "outcome", "retrying immediately")
}
