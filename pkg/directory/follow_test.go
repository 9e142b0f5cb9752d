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
)

// silentSource gives no answer to what is asked before a time. What it answers takes
// a while.
type silentSource struct {
	fakeSource
	silentUntil time.Time
	work        time.Duration
}

func (s *silentSource) await(ctx context.Context) error {
	if time.Now().Before(s.silentUntil) {
		<-ctx.Done()
	}
	pause.For(ctx, s.work)
	return ctx.Err()
}

func (s *silentSource) ReadTable(ctx context.Context) (TableResult, error) {
	if err := s.await(ctx); err != nil {
		return TableResult{}, err
	}
	return s.fakeSource.ReadTable(ctx)
}

func (s *silentSource) ReadServers(ctx context.Context, from string, stale bool) (ServersPage, error) {
	if err := s.await(ctx); err != nil {
		return ServersPage{}, err
	}
	return s.fakeSource.ReadServers(ctx, from, stale)
}

// timeToLoad is how long after a silent source is back a box that started before that
// has everything.
func timeToLoad(t *testing.T, silent, work time.Duration) (after time.Duration) {
	synctest.Test(t, func(*testing.T) {
		source := &silentSource{silentUntil: time.Now().Add(silent), work: work}
		d := New(log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			d.Follow(ctx, alone(source, Timing{
				WatchWait: 20 * time.Second, AnswerTimeout: 700 * time.Millisecond, MaxLag: 300 * time.Millisecond,
				BatchDelay: 200 * time.Millisecond, InitialBackoff: 60 * time.Millisecond, MaxBackoff: 1200 * time.Millisecond,
			}))
			close(done)
		}()
		for !d.Loaded() {
			time.Sleep(time.Millisecond)
		}
		after = time.Since(source.silentUntil)
		cancel()
		<-done
	})
	return after
}

// A box that starts while the store gives no answer serves soon after it is back. Pauses
// are drawn, so the mean over many outages counts beside the longest time.
func TestBoxThatStartsInAnOutageIsLoadedSoonAfter(t *testing.T) {
	total, count := time.Duration(0), 0
	for silent := 100 * time.Millisecond; silent < 6*time.Second; silent += 70 * time.Millisecond {
		after := timeToLoad(t, silent, 4*time.Millisecond)
		assert.Less(t, after, 1200*time.Millisecond, "silent for %s", silent)
		total += after
		count++
	}
	mean := total / time.Duration(count)
	t.Logf("%s on average", mean)
	assert.Less(t, mean, 600*time.Millisecond)
}

// A slow store is waited for.
func TestSlowSourceIsRead(t *testing.T) {
	assert.Less(t, timeToLoad(t, time.Second, 500*time.Millisecond), 5*time.Second)
}

// askCounter counts what is asked of a source.
type askCounter struct {
	Source
	asks atomic.Int64
}

func (c *askCounter) ReadTable(ctx context.Context) (TableResult, error) {
	c.asks.Add(1)
	return c.Source.ReadTable(ctx)
}

func (c *askCounter) WatchTable(ctx context.Context, after uint64, wait time.Duration, most int) (TableResult, error) {
	c.asks.Add(1)
	return c.Source.WatchTable(ctx, after, wait, most)
}

// While a large answer is coming, news of the same change and of later ones must neither
// end it nor cost a call each.
func TestNewsLetsAnAnswerUnderWayFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{t: t, begun: time.Now(), store: newStore(largeTable)}
		h.store.change(tableOf(1, "first"))
		source := &askCounter{Source: &simulatedBox{history: h, speed: slowLink}}
		d := New(h.logger(0))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			d.Follow(ctx, alone(source, historyTiming))
			close(done)
		}()
		time.Sleep(2 * transfer)
		before := source.asks.Load()
		h.store.change(tableOf(2, "second"))
		changed := h.store.newest().revision
		for range 16 {
			d.ApplyNotification(Notification{TableChanged: changed})
			d.ApplyCheck(Check{AskedAt: time.Now(), Revision: changed, TableChanged: changed, ServersChanged: 1})
			time.Sleep(transfer / 10)
		}
		assert.Equal(t, uint64(2), d.View().Table.Version)
		assert.Equal(t, int64(1), source.asks.Load()-before)
		cancel()
		<-done
	})
}
