package metering

import (
	"maps"
	"slices"
	"sync"

	"headhill.example/headhill/pkg/metering/usagepb"
)

// sender is one life of a box.
type sender struct {
	box         string
	incarnation uint64
}

// counts are the requests by organisation.
type counts map[OrganisationHash]uint32

// Collector adds up what boxes have counted. Each count of a life of a box only grows, so
// that the highest one heard stands.
type Collector struct {
	mu      sync.Mutex
	windows map[Window]map[sender]counts
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{windows: make(map[Window]map[sender]counts)}
}

// maxCount bounds a count that is believed.
const maxCount = 1 << 28

// Merge takes in what a box has counted.
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
		senders = make(map[sender]counts)
		c.windows[number] = senders
	}
	if senders[from] == nil {
		senders[from] = make(counts)
	}
	for i, key := range w.GetOrganisations() {
		k := OrganisationHash(key)
		senders[from][k] = max(senders[from][k], min(w.GetCounts()[i], maxCount))
	}
}

// Total adds up a window. Boxes is how many lives of roster size changed in it.
func (c *Collector) Total(w Window) (total map[OrganisationHash]int, boxes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total = make(map[OrganisationHash]int)
	for _, counts := range c.windows[w] {
		for key, n := range counts {
			total[key] += int(n)
		}
	}
	return total, len(c.windows[w])
}

// FirstWindow is the earliest window in which anything was counted, if there is one.
func (c *Collector) FirstWindow() (Window, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.windows) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(c.windows))), true
}

// Evict drops windows that are long over.
func (c *Collector) Evict(now Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	forget(c.windows, now)
}
