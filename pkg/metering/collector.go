package metering

import (
	"maps"
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/metering/usagepb"
)

// sender identifies a process of a box.
type sender struct {
	box         string
	incarnation uint64
}

// requestCounts holds the number of requests by organisation.
type requestCounts map[OrganisationHash]uint32

// Collector sums up the counts published by boxes. The counts of a process only grow, so the
// highest one received counts.
type Collector struct {
	mu      sync.Mutex
	windows map[Window]map[sender]requestCounts
	// receivingSince is when the first of the messages of other boxes arrived that came without a long gap until lastReceived.
	receivingSince, lastReceived time.Time
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{windows: make(map[Window]map[sender]requestCounts)}
}

// maxReceiveGap allows for the loss of a message of the only other box.
const maxReceiveGap = 2*MaxPublishInterval + 500*time.Millisecond

// Received records that a message of another box arrived. Boxes send to collecting boxes only, and first all that they have counted.
func (c *Collector) Received(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Sub(c.lastReceived) > maxReceiveGap {
		c.receivingSince = at
	}
	c.lastReceived = at
}

// ReceivingFor returns for how long this box has collected the counts of others, zero if it doesn't.
func (c *Collector) ReceivingFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastReceived) > maxReceiveGap {
		return 0
	}
	return now.Sub(c.receivingSince)
}

// maxCount caps received counts.
const maxCount = 1 << 28

// Merge merges the counts published by a box.
func (c *Collector) Merge(box string, m *usagepb.Usage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := sender{box: box, incarnation: m.GetIncarnation()}
	for _, w := range m.GetWindows() {
		if len(w.GetOrganisations()) == len(w.GetCounts()) {
			c.add(Window(w.GetNumber()), from, w)
		}
	}
}

func (c *Collector) add(number Window, from sender, w *usagepb.Window) {
	senders := c.windows[number]
	if senders == nil {
		senders = make(map[sender]requestCounts)
		c.windows[number] = senders
	}
	if senders[from] == nil {
		senders[from] = make(requestCounts)
	}
	for i, key := range w.GetOrganisations() {
		hash := OrganisationHash(key)
		senders[from][hash] = max(senders[from][hash], min(w.GetCounts()[i], maxCount))
	}
}

// Total returns the total counts of a window, and the number of processes that contributed.
func (c *Collector) Total(w Window) (total map[OrganisationHash]int, processes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total = make(map[OrganisationHash]int)
	for _, counts := range c.windows[w] {
		for hash, n := range counts {
			total[hash] += int(n)
		}
	}
	return total, len(c.windows[w])
}

// FirstWindow returns the earliest window with any counts. It returns false if there is none.
func (c *Collector) FirstWindow() (Window, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.windows) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(c.windows))), true
}

// Evict removes the windows that are past their retention.
func (c *Collector) Evict(now Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evict(c.windows, now)
}
