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
	windowLength time.Duration
	// clock estimates true time.
	clock func(time.Time) time.Time

	mu      sync.Mutex
	windows map[Window]map[OrganisationHash]*requestCount
	// round numbers the calls of Changes.
	round uint64
}

// requestCount is the count of an organisation in a window, and the round in which it last changed.
type requestCount struct {
	requests     uint32
	changedRound uint64
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(windowLength time.Duration, clock func(time.Time) time.Time) *Counter {
	return &Counter{windowLength: windowLength, clock: clock, windows: make(map[Window]map[OrganisationHash]*requestCount)}
}

// RequestStarted counts a request that started to run.
func (c *Counter) RequestStarted(organisation string, at time.Time) {
	w, hash := WindowAt(c.clock(at), c.windowLength), HashOrganisation(organisation)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[w]
	if counts == nil {
		counts = make(map[OrganisationHash]*requestCount)
		c.windows[w] = counts
		evict(c.windows, w)
	}
	n := counts[hash]
	if n == nil {
		n = &requestCount{}
		counts[hash] = n
	}
	n.requests++
	n.changedRound = c.round
}

// evict removes windows that are past their retention.
func evict[T any](windows map[Window]T, now Window) {
	for w := range windows {
		if w <= now-retainedWindows {
			delete(windows, w)
		}
	}
}

// sendsPerChange is the number of messages that include a change, as datagrams may be lost.
const sendsPerChange = 2

// Changes returns the counts that changed recently, and all counts of a window that has just ended.
func (c *Counter) Changes(now time.Time) []*usagepb.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, round := WindowAt(c.clock(now), c.windowLength), c.round
	c.round++
	return c.list(func(w Window, n *requestCount) bool {
		ended := w == current-1 && c.clock(now).Sub(w.End(c.windowLength)) < resendEndedFor
		return ended || n.changedRound+sendsPerChange > round
	})
}

// resendEndedFor is how long after its end all counts of a window are sent.
const resendEndedFor = 1100 * time.Millisecond

// All returns all retained counts.
func (c *Counter) All() []*usagepb.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list(func(Window, *requestCount) bool { return true })
}

// list returns the counts selected by include. The caller must hold c.mu.
func (c *Counter) list(include func(Window, *requestCount) bool) []*usagepb.Window {
	var list []*usagepb.Window
	for _, w := range slices.Sorted(maps.Keys(c.windows)) {
		m := &usagepb.Window{Number: int64(w)}
		for hash, n := range c.windows[w] {
			if include(w, n) {
				m.Organisations = append(m.Organisations, uint64(hash))
				m.Counts = append(m.Counts, n.requests)
			}
		}
		if len(m.Counts) > 0 {
			list = append(list, m)
		}
	}
	return list
}
