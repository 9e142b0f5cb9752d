package routerd

import (
	"maps"
	"sync"
)

// labelCounter counts events by label for a gauge.
type labelCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func newLabelCounter() *labelCounter { return &labelCounter{counts: make(map[string]int64)} }

func (c *labelCounter) increment(label string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[label]++
}

// snapshot returns a copy of the counts.
func (c *labelCounter) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
