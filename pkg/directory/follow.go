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

// Timing bounds how old the belief may grow.
type Timing struct {
	// WatchWait is how long a watch may stay silent.
	WatchWait time.Duration
	// AnswerTimeout is how long the source may take to begin an answer, beyond a watch's wait,
	// and how long an answer may stand still; MaxAnswerTime bounds a whole answer.
	AnswerTimeout time.Duration
	MaxAnswerTime time.Duration
	// MaxLag is how long both parts may take to reach a revision that a check has
	// seen.
	MaxLag time.Duration
	// BatchDelay is how long changes are gathered before the next watch begins, so
	// that many at once do not cost a call each.
	BatchDelay time.Duration
	// InitialBackoff is the first pause after a failure; MaxBackoff bounds its growth.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// limits bounds an answer of the source that begins within a time.
func (t Timing) limits(first time.Duration) stall.Limits {
	return stall.Limits{FirstByte: first, Idle: t.AnswerTimeout, Total: t.MaxAnswerTime}
}

// FollowOptions is what a directory follows.
type FollowOptions struct {
	Source Source
	// Providers are asked before the source by boxes that are no readers.
	Providers Providers
	Timing    Timing
	// Reader tells whether this box reads the source for others.
	Reader func() bool
}

// Follow keeps the belief up to date until ctx ends. Only a reader watches the
// source all the time; other boxes are told of changes, and ask when they are told
// of a revision that they lack.
func (d *Directory) Follow(ctx context.Context, f FollowOptions) {
	t := f.Timing
	var wg conc.WaitGroup
	wg.Go(func() {
		d.table.run(ctx, t, &tablePart{directory: d, source: f.Source, providers: f.Providers, timing: t}, f.Reader)
	})
	wg.Go(func() {
		d.list.run(ctx, t, &serversPart{directory: d, source: f.Source, providers: f.Providers, timing: t}, f.Reader)
	})
	wg.Wait()
}

// errInterrupted ends a watch that is begun anew.
var errInterrupted = errors.New("the watch is begun anew")

// roleCheck is how often a box looks whether it has become a reader.
const roleCheck = 500 * time.Millisecond

// run reads the whole until it succeeds, then follows changes, and begins anew when
// history is lost.
func (f *follower) run(ctx context.Context, t Timing, p part, reader func() bool) {
	defer f.setAsking(false)
	for ctx.Err() == nil {
		if f.watchable() && !f.mustAsk(reader) {
			f.setAsking(false)
			f.rest(ctx)
			continue
		}
		f.setAsking(true)
		err := f.ask(ctx, t, p, reader)
		interrupted := errors.Is(err, errInterrupted)
		if interrupted {
			f.logInterrupted(err)
		} else {
			f.heard(err)
		}
		switch {
		case needsWhole(err):
			f.forget()
		case interrupted:
		case err == nil:
			f.collect(ctx, t)
		default:
			// A watch that broke goes on from its revision: nothing is lost, and
			// lost history is told.
			pause.For(ctx, f.backoff(t))
		}
	}
}

// mustAsk tells whether the source is to be asked now: by a reader always, by
// others until the part is there, and when it is known to lack something.
func (f *follower) mustAsk(reader func() bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open.wanted > 0 || f.failures > 0 || !f.there() || reader()
}

// rest waits until something is to be done.
func (f *follower) rest(ctx context.Context) {
	timer := time.NewTimer(roleCheck)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// ask asks other boxes or the source once.
func (f *follower) ask(ctx context.Context, t Timing, p part, reader func() bool) error {
	target := f.target()
	if f.asksProviders(target, reader) && f.askProviders(ctx, p, target) {
		return nil
	}
	var err error
	if f.watchable() && !f.watchesFail() && !p.readsWhole(target) {
		err = f.watchOnce(ctx, t, p)
		f.notBegun(target, err)
	} else {
		err = f.readOnce(ctx, p)
	}
	if err == nil {
		f.met(target)
	}
	return err
}

func (f *follower) readOnce(ctx context.Context, p part) error {
	k, err := p.read(ctx, clock.Now())
	if err != nil {
		return err
	}
	f.advance(k)
	f.wasRead()
	return nil
}

func (f *follower) watchOnce(ctx context.Context, t Timing, p part) error {
	ctx, wait, end := f.beginWatch(ctx, t)
	defer end()
	k, err := p.watch(ctx, f.known().revision, wait)
	if err != nil {
		return withCause(ctx, err)
	}
	f.advance(k)
	return nil
}

// needsWhole tells whether an error says that the whole has to be read.
func needsWhole(err error) bool {
	return errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrHistoryTooLong)
}

// withCause adds why a context ended to an error that does not tell it.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return errors.Join(err, cause)
	}
	return err
}

// briefly is the wait of a watch that only asks what has changed so far.
const briefly = time.Millisecond

// beginWatch returns the context and the wait of a watch. Only a watch that waits for the
// next change is ended for news; others answer at once, and are let finish.
func (f *follower) beginWatch(ctx context.Context, t Timing) (context.Context, time.Duration, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open.wanted > 0 || f.failures > 0 {
		ctx, end := stall.WithLimits(ctx, t.limits(briefly+t.AnswerTimeout))
		return ctx, briefly, end
	}
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, end := stall.WithLimits(ctx, t.limits(t.WatchWait+t.AnswerTimeout))
	w := &waitingWatch{ctx: ctx, cancel: cancel}
	f.waiting = w
	return ctx, t.WatchWait, func() {
		f.endWaiting(w)
		end()
		cancel(nil)
	}
}

// collect pauses after a change.
func (f *follower) collect(ctx context.Context, t Timing) {
	if changed := f.known().changed; changed != f.collected {
		f.collected = changed
		pause.For(ctx, t.BatchDelay)
	}
}

// heard notes whether the source answered, and logs when it is lost or regained.
func (f *follower) heard(err error) {
	f.mu.Lock()
	before := f.failures
	f.failures++
	if err == nil || needsWhole(err) {
		f.failures = 0
	} else {
		f.misses++
	}
	f.mu.Unlock()
	revision := f.known().revision
	switch {
	case needsWhole(err):
		_ = level.Info(f.logger).Log("msg", "history lost", "part", f.name, "revision", revision, "err", err, "outcome", "reading the whole again")
	case err != nil && before == 0:
		_ = level.Warn(f.logger).Log("msg", "source lost", "part", f.name, "revision", revision, "err", err, "outcome", "the belief stays as it is")
	case err != nil:
		_ = level.Info(f.logger).Log("msg", "source still lost", "part", f.name, "revision", revision, "failures", before+1, "err", err)
	case before > 0:
		_ = level.Info(f.logger).Log("msg", "source regained", "part", f.name, "revision", revision, "failures", before)
	}
}

// logInterrupted tells that a watch was ended because somebody knew of news.
func (f *follower) logInterrupted(err error) {
	_ = level.Info(f.logger).Log("msg", "watch interrupted", "part", f.name, "revision", f.known().revision, "err", err, "outcome", "asked again at once")
}
