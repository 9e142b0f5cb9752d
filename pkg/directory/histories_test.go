package directory

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

var (
	historySeed  = flag.Uint64("histories.seed", 1, "first seed of the drawn histories")
	historyCount = flag.Int("histories.count", 40, "number of drawn histories")
	historyLogs  = flag.Bool("histories.logs", false, "write what the boxes of a history log")
)

// judge fails the test where a box went back, or is behind though it is in touch.
func (h *history) judge() {
	due := h.store.due(time.Now().Add(-max(applied, inForceLeast)))
	for _, b := range h.boxes {
		b.mu.Lock()
		inForce := uint64(0)
		if t := b.directory.View().Table; t != nil {
			inForce = t.Version
		}
		touch := !b.inTouch.IsZero() && time.Since(b.inTouch) > contact
		assert.GreaterOrEqual(h.t, inForce, b.seen, "box %d went back", b.number)
		if touch {
			assert.GreaterOrEqual(h.t, inForce, due, "box %d is behind at %s", b.number, time.Since(h.begun))
		}
		b.seen = max(b.seen, inForce)
		b.mu.Unlock()
	}
}

// trouble strikes one box for a while, if none does already.
func (h *history) trouble(b *simulatedBox) {
	b.mu.Lock()
	struck := b.inTouch.IsZero()
	b.mu.Unlock()
	if struck {
		return
	}
	kind := h.rand.IntN(3)
	span := time.Duration(h.rand.IntN(6000)) * time.Millisecond
	_ = h.logger(b.number).Log("msg", "trouble", "kind", kind, "for", span)
	if kind == 2 {
		b.stop()
		b.start(h.ctx, h.wg)
		return
	}
	b.mu.Lock()
	b.inTouch = time.Time{}
	b.refused, b.cut = kind == 0, kind == 1
	b.mu.Unlock()
	time.AfterFunc(span, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.refused, b.cut = false, false
		b.inTouch = time.Now()
	})
}

// play plays a drawn history: changes of some and of many routes, also in quick
// succession, and boxes that are refused, cut off and restarted meanwhile.
func (h *history) play(span time.Duration) {
	content := routing.Content{Version: 1}
	end := time.Now().Add(span)
	nextChange, nextTrouble := time.Now().Add(time.Second), time.Now().Add(2*time.Second)
	for time.Now().Before(end) {
		now := time.Now()
		if now.After(nextChange) {
			content = h.changed(content)
			h.store.change(routing.NewTable(content))
			_ = h.logger(-1).Log("msg", "changed", "version", content.Version)
			nextChange = now.Add(time.Duration(h.rand.IntN(4)*h.rand.IntN(1500)+100) * time.Millisecond)
		}
		if now.After(nextTrouble) {
			h.trouble(h.boxes[h.rand.IntN(len(h.boxes))])
			nextTrouble = now.Add(time.Duration(500+h.rand.IntN(3000)) * time.Millisecond)
		}
		h.judge()
		time.Sleep(20 * time.Millisecond)
	}
}

// changed returns the next content: a few routes or many are added.
func (h *history) changed(c routing.Content) routing.Content {
	c.Version += 1 + uint64(h.rand.IntN(3))
	count := 1
	if h.rand.IntN(3) == 0 {
		count = 2 * smallDelta
	}
	routes := append([]routing.Route(nil), c.Routes...)
	for i := range count {
		routes = append(routes, routing.Route{Name: fmt.Sprintf("r-%d-%d", c.Version, i), Host: "host", Prefix: "/x/"})
	}
	c.Routes = routes
	return c
}

func playHistory(t *testing.T, seed uint64, boxes int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHistory(ctx, t, seed, boxes, newStore(largeTable), lossOfHistories)
		h.play(40 * time.Second)
		cancel()
		h.wg.Wait()
		// Timers of messages and troubles end before the bubble does.
		time.Sleep(10 * time.Second)
	})
}

// The fleet is cut in two again and again, while all boxes reach the store: each half keeps up,
// also the one without a reader, and nobody goes back when the halves meet again.
func TestHalvesKeepUpAndMeetAgain(t *testing.T) {
	for i := range max(2, *historyCount/4) {
		seed := *historySeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				h := newHistory(ctx, t, seed, 2*historyBoxes, newStore(largeTable), lossOfHistories)
				h.wg.Go(func() {
					for ctx.Err() == nil {
						pause.For(ctx, time.Duration(2000+h.seededPause(seed))*time.Millisecond)
						h.halved.Store(!h.halved.Load())
					}
				})
				h.play(40 * time.Second)
				cancel()
				h.wg.Wait()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// seededPause is how long the halves of a history stay as they are beyond two seconds, in
// milliseconds.
func (h *history) seededPause(seed uint64) int { return int(seed*977) % 5000 }

// In whatever order changes, losses, refusals, cuts and restarts come: a box that is in
// touch is no older than the bound, and none goes back.
func TestDrawnHistories(t *testing.T) {
	for i := range *historyCount {
		seed := *historySeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHistory(t, seed, historyBoxes) })
	}
}

// largeFleet is the number of boxes of the large deployment.
const largeFleet = 300

// The same with hundreds of boxes, which learn nearly all from each other.
func TestDrawnHistoriesOfALargeFleet(t *testing.T) {
	for i := range max(1, *historyCount/20) {
		seed := *historySeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playHistory(t, seed, largeFleet) })
	}
}

// A delta may come before the version that it leads on from, which this box is reading.
func TestDeltaWaitsForTheVersionItBeginsAt(t *testing.T) {
	d := knowing(tableOf(3, "a"), 5)
	four, five, six := tableOf(4, "a", "b"), tableOf(5, "a", "b", "c"), tableOf(6, "a", "b", "c", "d")
	second, first := routing.Diff(five, six), routing.Diff(four, five)
	d.ApplyNotification(Notification{TableChanged: 9, TableDelta: &second})
	d.ApplyNotification(Notification{TableChanged: 8, TableDelta: &first})
	d.ApplyNotification(Notification{TableChanged: 8, TableDelta: &first})
	require.Equal(t, uint64(3), d.View().Table.Version)
	require.Equal(t, target{wanted: 9, missing: 9}, d.table.target())
	d.readTable(TableResult{Table: four, Revision: 7, Changed: 7}, time.Now())
	assert.Equal(t, uint64(6), d.View().Table.Version)
	assert.Equal(t, known{revision: 9, changed: 9}, d.table.known())
	assert.Equal(t, target{}, d.table.target(), "nothing is left to ask for")
	assert.Empty(t, d.deltas)
}
