package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// maxConcurrentReads is the maximum number of boxes of a large fleet that read the whole table from the
// store at a time: the readers and a few more.
const maxConcurrentReads = simulationReaders + 2

// peakStoreLoad changes the table repeatedly and returns the maximum number of boxes that read from the store at a
// time until all have the last version, which must be within the propagation bound.
func peakStoreLoad(t *testing.T, boxes, changes int, interval time.Duration, fault func(*simulation)) (peak int64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, t, 1, boxes, newStore(routeBytes), 0)
		sim.asksAgain.Store(true)
		time.Sleep(10 * time.Second)
		sim.store.resize(largeTableBytes)
		fault(sim)
		calls, bytes := sim.store.calls.Load(), sim.store.bytes.Load()
		content := routing.Content{Version: 1}
		for range changes {
			content = sim.nextContent(content)
			sim.store.change(routing.NewTable(content))
			peak = max(peak, sim.peakTransfers(interval, func() bool { return false }))
		}
		peak = max(peak, sim.peakTransfers(propagationBound, func() bool { return sim.allAt(content.Version) }))
		t.Logf("after %s: peak of %d transfers, %d calls, %.1f MB", time.Since(sim.startedAt), peak, sim.store.calls.Load()-calls, float64(sim.store.bytes.Load()-bytes)/1e6)
		assert.True(t, sim.allAt(content.Version), "all boxes have the last version")
		cancel()
		sim.wg.Wait()
		time.Sleep(10 * time.Second)
	})
	return peak
}

// peakTransfers returns the maximum number of transfers from the store until done returns true, or for d.
func (sim *simulation) peakTransfers(d time.Duration, done func() bool) (peak int64) {
	for end := time.Now().Add(d); time.Now().Before(end) && !done(); {
		peak = max(peak, sim.store.transfers.Load())
		time.Sleep(2 * time.Millisecond)
	}
	return peak
}

// allAt reports whether all boxes that the store does not reject have a version of the table.
func (sim *simulation) allAt(version uint64) bool {
	for _, b := range sim.boxes {
		b.mu.Lock()
		rejected := b.rejected
		b.mu.Unlock()
		if rejected {
			continue
		}
		if t := b.currentDirectory().View().Table; t == nil || t.Version < version {
			return false
		}
	}
	return true
}

// rejectReaders makes the store reject the calls of the readers.
func rejectReaders(sim *simulation) {
	for _, b := range sim.boxes[:simulationReaders] {
		b.mu.Lock()
		b.rejected = true
		b.mu.Unlock()
	}
}

func assertFewReads(t *testing.T, peak int64) {
	t.Helper()
	assert.LessOrEqual(t, peak, int64(maxConcurrentReads), "boxes that read the whole table at a time")
}

// Guards against a fleet that reads the whole table from the store because its readers cannot.
func TestRejectedReadersDoNotMakeAllBoxesRead(t *testing.T) {
	assertFewReads(t, peakStoreLoad(t, largeFleet, 1, 0, rejectReaders))
}

// Guards against checks in the pause of the readers after a change: all boxes checked, and read the whole table.
func TestChecksInLargeFleetDoNotReadTable(t *testing.T) {
	assertFewReads(t, peakStoreLoad(t, largeFleet, 60, 150*time.Millisecond, func(*simulation) {}))
}
