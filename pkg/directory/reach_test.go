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
	// routeBytes is what a route takes in the store's answers: 4,000 take 1.1 MB.
	routeBytes = 270
	// allBoxesHaveIt is a quarter of the bound that operators set.
	allBoxesHaveIt = applied / 4
	// askedOfTheStore is how many calls a change may cost, however many boxes there are.
	askedOfTheStore = 30
)

// reached is how a change came to all boxes.
type reached struct {
	after time.Duration
	calls int64
	bytes int64
}

// largeChange lets the boxes of a calm fleet load a table, changes it by many routes and
// then by a few, and returns how each change came to all boxes.
func largeChange(t *testing.T, boxes, routes int) (large, small reached) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHistory(ctx, t, 1, boxes, newStore(routeBytes*40), 0)
		time.Sleep(5 * time.Second)
		h.store.resize(routeBytes * routes)
		content := routing.Content{Version: 2}
		for i := range smallDelta + 1 {
			content.Routes = append(content.Routes, routing.Route{Name: fmt.Sprint("r", i), Host: "host"})
		}
		large = h.changeAndAwait(routing.NewTable(content))
		time.Sleep(5 * time.Second)
		next := routing.Content{Version: 3, Routes: append([]routing.Route{{Name: "one more", Host: "host"}}, content.Routes...)}
		small = h.changeAndAwait(routing.NewTable(next))
		cancel()
		h.wg.Wait()
		time.Sleep(10 * time.Second)
	})
	return large, small
}

// changeAndAwait changes the table and waits until all boxes have it.
func (h *history) changeAndAwait(table *routing.Table) reached {
	begun, calls, bytes := time.Now(), h.store.calls.Load(), h.store.bytes.Load()
	h.store.change(table)
	for _, b := range h.boxes {
		for b.directory.View().Table.Version < table.Version {
			time.Sleep(time.Millisecond)
		}
	}
	return reached{after: time.Since(begun), calls: h.store.calls.Load() - calls, bytes: h.store.bytes.Load() - bytes}
}

// How a change comes to all boxes of a calm fleet whose links carry 10 Mbit/s, two of them
// 200, from a store with 1,000 Mbit/s, while no datagram is lost. A box that loses what two
// readers tell knows of a change with the next check. With -v it writes the table of
// docs/CAPACITY.md.
func TestChangeReachesAllBoxes(t *testing.T) {
	for _, boxes := range []int{10, 87, 300} {
		for _, routes := range []int{100, 2000, 4000, 20000} {
			t.Run(fmt.Sprintf("%d boxes, %d routes", boxes, routes), func(t *testing.T) {
				large, small := largeChange(t, boxes, routes)
				t.Logf("| %d | %d | %.2f | %d | %.1f | %.2f | %d | %.1f |", boxes, routes,
					large.after.Seconds(), large.calls, float64(large.bytes)/1e6, small.after.Seconds(), small.calls, float64(small.bytes)/1e6)
				if routes <= 4000 {
					assert.Less(t, large.after, allBoxesHaveIt, "a large change")
					assert.Less(t, large.calls, int64(askedOfTheStore))
				}
				assert.Less(t, small.after, allBoxesHaveIt, "a small change")
			})
		}
	}
}
