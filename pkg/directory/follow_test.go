package directory

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/storerev"
)

// unresponsiveSource is a Source that does not answer before availableFrom, and then with latency.
type unresponsiveSource struct {
	fakeSource
	availableFrom time.Time
	latency       time.Duration
}

func (s *unresponsiveSource) await(ctx context.Context) error {
	if time.Now().Before(s.availableFrom) {
		<-ctx.Done()
	}
	pause.For(ctx, s.latency)
	return ctx.Err()
}

func (s *unresponsiveSource) ReadTable(ctx context.Context) (TableResult, error) {
	if err := s.await(ctx); err != nil {
		return TableResult{}, err
	}
	return s.fakeSource.ReadTable(ctx)
}

func (s *unresponsiveSource) ReadServers(ctx context.Context, from string, stale bool) (ServersPage, error) {
	if err := s.await(ctx); err != nil {
		return ServersPage{}, err
	}
	return s.fakeSource.ReadServers(ctx, from, stale)
}

// timeToLoad returns how long after the end of an outage a box has loaded that was started during
// it.
func timeToLoad(t *testing.T, outage, latency time.Duration) (after time.Duration) {
	synctest.Test(t, func(*testing.T) {
		source := &unresponsiveSource{availableFrom: time.Now().Add(outage), latency: latency}
		d := New(log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			d.Follow(ctx, standalone(source, Timing{
				WatchWait: 20 * time.Second, AnswerTimeout: 700 * time.Millisecond, MaxLag: 300 * time.Millisecond,
				BatchDelay: 200 * time.Millisecond, InitialBackoff: 60 * time.Millisecond, MaxBackoff: 1200 * time.Millisecond,
			}))
			close(done)
		}()
		for !d.Loaded() {
			time.Sleep(time.Millisecond)
		}
		after = time.Since(source.availableFrom)
		cancel()
		<-done
	})
	return after
}

// A box that starts during an outage must load soon after it. Backoffs are random, so the mean over
// many outages is checked as well as the maximum.
func TestBoxStartedInOutageLoadsSoonAfter(t *testing.T) {
	total, count := time.Duration(0), 0
	for outage := 100 * time.Millisecond; outage < 6*time.Second; outage += 70 * time.Millisecond {
		after := timeToLoad(t, outage, 4*time.Millisecond)
		assert.Less(t, after, 1200*time.Millisecond, "outage of %s", outage)
		total += after
		count++
	}
	mean := total / time.Duration(count)
	t.Logf("mean time to load: %s", mean)
	assert.Less(t, mean, 600*time.Millisecond)
}

// A box must load from a slow source instead of timing out and retrying.
func TestSlowSourceIsRead(t *testing.T) {
	assert.Less(t, timeToLoad(t, time.Second, 500*time.Millisecond), 5*time.Second)
}

// countingSource counts the table requests to a source.
type countingSource struct {
	Source
	calls atomic.Int64
}

func (c *countingSource) ReadTable(ctx context.Context) (TableResult, error) {
	c.calls.Add(1)
	return c.Source.ReadTable(ctx)
}

func (c *countingSource) WatchTable(ctx context.Context, after storerev.Revision, wait time.Duration, maxBytes int) (TableResult, error) {
	c.calls.Add(1)
	return c.Source.WatchTable(ctx, after, wait, maxBytes)
}

// Notifications that arrive during a large transfer must neither cancel it nor trigger more
// requests.
func TestNotificationDoesNotCancelTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{t: t, startedAt: time.Now(), store: newStore(largeTableBytes)}
		sim.store.change(tableOf(1, "first"))
		source := &countingSource{Source: &simulatedBox{sim: sim, bytesPerSec: slowLinkBytesPerSec}}
		d := New(sim.logger(0))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			d.Follow(ctx, standalone(source, simulationTiming))
			close(done)
		}()
		time.Sleep(2 * slowTransfer)
		before := source.calls.Load()
		sim.store.change(tableOf(2, "second"))
		changed := sim.store.newest().revision
		for range 16 {
			d.ApplyNotification(Notification{TableChanged: changed})
			d.ApplyCheck(Check{AskedAt: time.Now(), Revision: changed, TableChanged: changed, ServersChanged: 1})
			time.Sleep(slowTransfer / 10)
		}
		assert.Equal(t, uint64(2), d.View().Table.Version)
		assert.Equal(t, int64(1), source.calls.Load()-before)
		cancel()
		<-done
	})
}
