package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

// stallingSource sends no first byte for a watch that has changes to report, but serves full reads.
type stallingSource struct{ *simulatedBox }

func (s stallingSource) WatchTable(ctx context.Context, after storerev.Revision, wait time.Duration, maxBytes int) (TableResult, error) {
	if s.sim.store.newest().revision > after {
		<-ctx.Done()
		return TableResult{}, ctx.Err()
	}
	return s.simulatedBox.WatchTable(ctx, after, wait, maxBytes)
}

// A source that takes too long to collect the changes of several versions must be read in full.
func TestFullReadAfterStalledWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{t: t, startedAt: time.Now(), store: newStore(routeBytes)}
		sim.store.change(tableOf(1, "first"))
		d := New(sim.logger(0))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			d.Follow(ctx, standalone(stallingSource{&simulatedBox{sim: sim, bytesPerSec: slowLinkBytesPerSec}}, simulationTiming))
			close(done)
		}()
		time.Sleep(time.Second)
		for version := uint64(2); version <= 5; version++ {
			sim.store.change(tableOf(version, "first"))
		}
		startedAt := time.Now()
		// Like a check of routerd, this passes only the revision.
		for d.View().Table.Version < 5 && time.Since(startedAt) < 10*time.Second {
			d.Verify(ctx, sim.store.newest().revision, time.Now(), simulationTiming)
		}
		assert.Less(t, time.Since(startedAt), applyBound)
		cancel()
		<-done
	})
}

// Timeouts of an unavailable source must not count as stalled watches.
func TestUnavailableSourceDoesNotForceFullRead(t *testing.T) {
	f := newFollower(PartTable, log.NewNopLogger(), func() bool { return true })
	f.advance(position{revision: 3})
	for range 2 * maxStalledWatches {
		f.recordStall(f.target(), stalledError())
	}
	assert.False(t, f.watchesStall(), "no newer revision is known")
	f.requireRevision(5)
	for range maxStalledWatches {
		assert.False(t, f.watchesStall())
		f.recordStall(f.target(), stalledError())
	}
	assert.True(t, f.watchesStall())
	f.resolve(f.target())
	assert.False(t, f.watchesStall())
}

// A target that is reached, by whatever means, must not be requested again.
func TestReachedTargetsAreCleared(t *testing.T) {
	f := newFollower(PartTable, log.NewNopLogger(), func() bool { return true })
	f.advance(position{revision: 3})
	f.observe(0, 7)
	assert.Equal(t, target{revision: 7, changed: 7}, f.target())
	requested := f.target()
	f.advance(position{revision: 7})
	assert.Equal(t, target{}, f.target())
	f.observe(0, 9)
	f.resolve(requested)
	assert.Equal(t, target{revision: 9, changed: 9}, f.target(), "a revision observed in the meantime stays pending")
}

// stalledError returns the error of an exchange without a first byte.
func stalledError() error { return &stall.Error{Limit: simulationTiming.AnswerTimeout} }
