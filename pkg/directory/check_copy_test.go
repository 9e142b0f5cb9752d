package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/storerev"
)

// checkOnce starts a box that is no reader, changes a table of a size, and lets the box check the store. provider is the
// box that it copies from. It returns the box, what it announced before it had the table, and the bytes read.
func checkOnce(t *testing.T, tableBytes int, provider *Directory) (d *Directory, announced []Notification, bytes int64) {
	sim := &simulation{t: t, startedAt: time.Now(), store: newStore(tableBytes)}
	sim.store.change(tableOf(1, "first"))
	d = New(sim.logger(0))
	ctx, cancel := context.WithCancel(context.Background())
	d.OnNotification(func(n Notification) {
		if d.View().Table.Version == 1 {
			announced = append(announced, n)
		}
	})
	done := make(chan struct{})
	go func() {
		d.Follow(ctx, FollowOptions{
			Source: &simulatedBox{sim: sim, bytesPerSec: slowLinkBytesPerSec}, Timing: simulationTiming,
			Providers: oneProvider{Directory: provider, timeout: providersWait}, Reader: func() bool { return false },
		})
		close(done)
	}()
	time.Sleep(5 * time.Second)
	require.True(t, d.Loaded())
	bytes = sim.store.bytes.Load()
	sim.store.change(tableOf(2, "first", "second"))
	d.Verify(ctx, sim.store.newest().revision, time.Now(), simulationTiming)
	cancel()
	<-done
	return d, announced, sim.store.bytes.Load() - bytes
}

// Guards against checks that tell the other boxes, the readers too, of a change only after the whole table was read.
func TestCheckAnnouncesLargeChangeAndCopiesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		provider := directoryAt(tableOf(1, "first"), 1)
		time.AfterFunc(5*time.Second+100*time.Millisecond, func() {
			provider.applyTable(TableResult{Table: tableOf(2, "first", "second"), Revision: 2, Changed: 2}, time.Now())
			provider.table.advance(position{revision: 2, changed: 2})
		})
		d, announced, bytes := checkOnce(t, largeTableBytes, provider)
		assert.Equal(t, uint64(2), d.View().Table.Version)
		require.Len(t, announced, 1)
		assert.Equal(t, storerev.Revision(2), announced[0].TableChanged)
		assert.Zero(t, bytes, "bytes read from the store")
	})
}

// A check must read a large change itself if no other box can serve it, and a small one in any case.
func TestCheckReadsChangeThatNoOtherBoxHas(t *testing.T) {
	for _, tableBytes := range []int{maxCheckBytes, largeTableBytes} {
		synctest.Test(t, func(t *testing.T) {
			d, _, bytes := checkOnce(t, tableBytes, New(log.NewNopLogger()))
			assert.Equal(t, uint64(2), d.View().Table.Version)
			assert.Equal(t, int64(tableBytes), bytes)
		})
	}
}
