// Package retry holds the budget from which every sending of a request beyond its
// first is paid.
package retry

import (
	"sync"
	"time"
)

// Limits are the bounds on the sendings to one service beyond the first, within
// any window: Ratio of the requests, and this box's part of the fleet's slack.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// parts is the number of slots that a window is counted in.
const parts = 10

// Budget counts requests and repeats by service.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[string]*counter
}

// NewBudget returns an empty budget.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, services: make(map[string]*counter)}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		clear(b.services)
	}
	b.limits = l
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counter(service, now).requests[0]++
}

// Spend takes one repeat from the budget, if there is one left.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	if sum(c.repeats[:])+1 > b.limits.Ratio*sum(c.requests[:parts])+b.limits.Slack {
		return false
	}
	c.repeats[0]++
	return true
}

func (b *Budget) counter(service string, now time.Time) *counter {
	c, ok := b.services[service]
	if !ok {
		c = &counter{}
		b.services[service] = c
	}
	c.advance(now, b.limits.Window/parts)
	return c
}

// counter counts in slots of time, the newest first. It holds one slot more than a
// window has, so that any window is covered; requests use only the window itself.
type counter struct {
	start    time.Time
	requests [parts + 1]float64
	repeats  [parts + 1]float64
}

func (c *counter) advance(now time.Time, slot time.Duration) {
	if c.start.IsZero() || slot <= 0 {
		c.start = now
		return
	}
	n := int(now.Sub(c.start) / slot)
	if n <= 0 {
		return
	}
	c.start = c.start.Add(time.Duration(n) * slot)
	shift(&c.requests, n)
	shift(&c.repeats, n)
}

func shift(list *[parts + 1]float64, n int) {
	n = min(n, len(list))
	copy(list[n:], list[:len(list)-n])
	clear(list[:n])
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}
