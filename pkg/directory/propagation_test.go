package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

const (
	// routeBytes is the size of a route in the store's answers: 4,000 routes take 1.1 MB.
	routeBytes = 270
	// maxPropagation is a quarter of the bound that operators set.
	maxPropagation = applyBound / 4
	// maxStoreCalls limits the store calls per change, whatever the number of boxes.
	maxStoreCalls = 30
)

// propagation describes how a change reached all boxes.
type propagation struct {
	after time.Duration
	calls int64
	bytes int64
}

// propagateChanges loads a table at all boxes of a fault-free fleet, makes a large and a small
// change, and returns how each reached all boxes.
func propagateChanges(t *testing.T, boxes, routes int) (large, small propagation) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, t, 1, boxes, newStore(routeBytes*40), 0)
		time.Sleep(5 * time.Second)
		sim.store.resize(routeBytes * routes)
		content := routing.Content{Version: 2}
		for i := range smallDeltaRoutes + 1 {
			content.Routes = append(content.Routes, routing.Route{Name: fmt.Sprint("r", i), Host: "host"})
		}
		large = sim.changeAndAwait(routing.NewTable(content))
		time.Sleep(5 * time.Second)
		nextContent := routing.Content{Version: 3, Routes: append([]routing.Route{{Name: "one more", Host: "host"}}, content.Routes...)}
		small = sim.changeAndAwait(routing.NewTable(nextContent))
		cancel()
		sim.wg.Wait()
		time.Sleep(10 * time.Second)
	})
	return large, small
}

// changeAndAwait changes the table and waits until all boxes have it.
func (sim *simulation) changeAndAwait(table *routing.Table) propagation {
	startedAt, calls, bytes := time.Now(), sim.store.calls.Load(), sim.store.bytes.Load()
	sim.store.change(table)
	for _, b := range sim.boxes {
		for b.directory.View().Table.Version < table.Version {
			time.Sleep(time.Millisecond)
		}
	}
	return propagation{after: time.Since(startedAt), calls: sim.store.calls.Load() - calls, bytes: sim.store.bytes.Load() - bytes}
}

// Measures the propagation of a change without message loss, with box links of 10 Mbit/s, a few of
// 200 Mbit/s, and a store link of 1,000 Mbit/s. With -v it prints the table of docs/CAPACITY.md.
func TestChangeReachesAllBoxes(t *testing.T) {
	for _, boxes := range []int{10, 87, 300} {
		for _, routes := range []int{100, 2000, 4000, 20000} {
			t.Run(fmt.Sprintf("%d boxes, %d routes", boxes, routes), func(t *testing.T) {
				large, small := propagateChanges(t, boxes, routes)
				t.Logf("| %d | %d | %.2f | %d | %.1f | %.2f | %d | %.1f |", boxes, routes,
					large.after.Seconds(), large.calls, float64(large.bytes)/1e6, small.after.Seconds(), small.calls, float64(small.bytes)/1e6)
				if routes <= 4000 {
					assert.Less(t, large.after, maxPropagation, "a large change")
					assert.Less(t, large.calls, int64(maxStoreCalls))
				}
				assert.Less(t, small.after, maxPropagation, "a small change")
			})
		}
	}
}
