package metering

import (
	"maps"
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/metering/usagepb"
)

// Counter counts the requests of one box.
type Counter struct {
	length time.Duration
	// clock tells true time.
	clock func(time.Time) time.Time

	mu      sync.Mutex
	windows map[Window]map[OrganisationHash]*count
	// round numbers the messages that were made.
	round uint64
}

// count is that of one organisation in a window, and the round in which it last changed.
type count struct {
	requests uint32
	changed  uint64
}

// NewCounter returns a counter of windows of a length.
func NewCounter(length time.Duration, clock func(time.Time) time.Time) *Counter {
	return &Counter{length: length, clock: clock, windows: make(map[Window]map[OrganisationHash]*count)}
}

// RequestStarted counts a request that began to run.
func (c *Counter) RequestStarted(organisation string, at time.Time) {
	w, key := WindowAt(c.clock(at), c.length), HashOrganisation(organisation)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	if counts == nil {
		counts = make(map[OrganisationHash]*count)
		c.windows[w] = counts
		forget(c.windows, w)
	}
	n := counts[key]
	if n == nil {
		n = &count{}
		counts[key] = n
	}
	n.requests++
	n.changed = c.round
}

// forget drops windows that are long over.
func forget[T any](windows map[Window]T, now Window) {
	for w := range windows {
		if w <= now-windowsKept {
			delete(windows, w)
		}
	}
}

// repeats is in how many messages a change is told, as datagrams are lost.
const repeats = 2

// Changes are the counts that changed since the messages before the last few, and those of
// windows that ended of late, whole.
func (c *Counter) Changes(now time.Time) []*usagepb.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, round := WindowAt(c.clock(now), c.length), c.round
	c.round++
	return c.list(func(w Window, n *count) bool {
		ended := w == current-1 && c.clock(now).Sub(w.End(c.length)) < endedFor
		return ended || n.changed+repeats > round
	})
}

// endedFor is how long after its end a window is told whole.
const endedFor = 1100 * time.Millisecond

// All are the counts of all windows that are remembered.
func (c *Counter) All() []*usagepb.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list(func(Window, *count) bool { return true })
}

// list is the counts that are wanted, as they are told. The caller holds the lock.
func (c *Counter) list(wanted func(Window, *count) bool) []*usagepb.Window {
	var list []*usagepb.Window
	for _, w := range slices.Sorted(maps.Keys(c.windows)) {
		m := &usagepb.Window{Number: int64(w)}
		for key, n := range c.windows[w] {
			if wanted(w, n) {
				m.Organisations = append(m.Organisations, uint64(key))
				m.Counts = append(m.Counts, n.requests)
			}
		}
		if len(m.Counts) > 0 {
			list = append(list, m)
		}
	}
	return list
}
