package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/stall"
)

// gatheringSource begins no answer to a watch that has something to tell. The whole is at
// hand.
type gatheringSource struct{ *simulatedBox }

func (s gatheringSource) WatchTable(ctx context.Context, after uint64, wait time.Duration, most int) (TableResult, error) {
	if s.history.store.newest().revision > after {
		<-ctx.Done()
		return TableResult{}, ctx.Err()
	}
	return s.simulatedBox.WatchTable(ctx, after, wait, most)
}

// A store that is slow to gather what several versions have changed is asked for the whole
// in the end.
func TestWholeIsReadWhereWatchesDoNotBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{t: t, begun: time.Now(), store: newStore(routeBytes)}
		h.store.change(tableOf(1, "first"))
		d := New(h.logger(0))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			d.Follow(ctx, alone(gatheringSource{&simulatedBox{history: h, speed: slowLink}}, historyTiming))
			close(done)
		}()
		time.Sleep(time.Second)
		for version := uint64(2); version <= 5; version++ {
			h.store.change(tableOf(version, "first"))
		}
		begun := time.Now()
		// A check tells the revision, as routerd's does, and not what has changed.
		for d.View().Table.Version < 5 && time.Since(begun) < 10*time.Second {
			d.Verify(ctx, h.store.newest().revision, time.Now(), historyTiming)
		}
		assert.Less(t, time.Since(begun), applied)
		cancel()
		<-done
	})
}

// A silent source says nothing of watches: they are gone on with once it is back.
func TestSilenceDoesNotMakeTheWholeBeRead(t *testing.T) {
	f := newFollower(partTable, log.NewNopLogger(), func() bool { return true })
	f.advance(known{revision: 3})
	for range 2 * unbegunMost {
		f.notBegun(f.target(), stalledError())
	}
	assert.False(t, f.watchesFail(), "nothing is known to lack")
	f.reach(5)
	for range unbegunMost {
		assert.False(t, f.watchesFail())
		f.notBegun(f.target(), stalledError())
	}
	assert.True(t, f.watchesFail())
	f.met(f.target())
	assert.False(t, f.watchesFail())
}

// What is reached is not open any more, however it was reached.
func TestReachedTargetsAreNotOpen(t *testing.T) {
	f := newFollower(partTable, log.NewNopLogger(), func() bool { return true })
	f.advance(known{revision: 3})
	f.heardOf(0, 7)
	assert.Equal(t, target{wanted: 7, missing: 7}, f.target())
	asked := f.target()
	f.advance(known{revision: 7})
	assert.Equal(t, target{}, f.target())
	f.heardOf(0, 9)
	f.met(asked)
	assert.Equal(t, target{wanted: 9, missing: 9}, f.target(), "what was heard of meanwhile stays")
}

// stalledError is how an exchange ends whose answer does not begin.
func stalledError() error { return &stall.Error{Limit: historyTiming.AnswerTimeout} }
