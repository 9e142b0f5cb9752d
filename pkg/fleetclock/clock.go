// Package fleetclock estimates true time as the median of the wall clocks of all boxes, as the wall
// clock of a single box may jump by seconds. A collecting box receives the wall clocks of the
// others and announces its estimate to them. Between messages the estimate advances with package
// clock.
package fleetclock

import (
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
)

const (
	// readingMaxAge is how long the reading of a box is used. Boxes send several readings in that
	// time.
	readingMaxAge = 5 * time.Second
	// minClocks is the number of clocks, including that of this box, required to use their median
	// instead of the collector's estimate.
	minClocks = 3
	// estimateMaxAge is how long an estimate is used before it is recomputed.
	estimateMaxAge = 100 * time.Millisecond
	// collectorEstimateMaxAge is how long the collector's estimate is used. Clock drift in that
	// time is some milliseconds.
	collectorEstimateMaxAge = 5 * time.Minute
)

// Clock estimates true time for one box.
type Clock struct {
	// base is the origin of the elapsed times below.
	base time.Time

	mu sync.Mutex
	// readings holds the offsets of the other boxes' wall clocks from this box's elapsed time.
	readings map[string]reading
	// collectorEstimate is the offset last announced by the collector, estimate is the one in use.
	collectorEstimate reading
	estimate          reading
}

// reading is an offset and the elapsed time at which it was taken.
type reading struct{ offset, takenAt time.Duration }

// New returns a clock without any readings.
func New() *Clock {
	return &Clock{base: clock.Now(), readings: make(map[string]reading)}
}

// sinceBase returns the elapsed time since the base.
func (c *Clock) sinceBase(t time.Time) time.Duration { return t.Sub(c.base) }

// wallOffset returns the offset of this box's wall clock from its elapsed time.
func (c *Clock) wallOffset(now time.Time) time.Duration {
	return time.Duration(clock.WallTime(now).UnixNano()) - c.sinceBase(now)
}

// WallMillis returns this box's wall clock in milliseconds, to be sent to the collector.
func WallMillis(now time.Time) int64 { return clock.WallTime(now).UnixMilli() }

// AddReading records the wall clock of another box at the time its message was received.
func (c *Clock) AddReading(box string, wallMillis int64, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	takenAt := c.sinceBase(received)
	c.readings[box] = reading{offset: time.Duration(wallMillis)*time.Millisecond - takenAt, takenAt: takenAt}
}

// EstimateMillis returns this box's estimate in milliseconds, to be announced to the others.
func (c *Clock) EstimateMillis(now time.Time) int64 { return c.Now(now).UnixMilli() }

// SetCollectorEstimate records the estimate of the collector at the time its message was received.
func (c *Clock) SetCollectorEstimate(estimateMillis int64, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	takenAt := c.sinceBase(received)
	c.collectorEstimate = reading{offset: time.Duration(estimateMillis)*time.Millisecond - takenAt, takenAt: takenAt}
}

// Now returns the estimate of true time at the given time of package clock.
func (c *Clock) Now(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.sinceBase(now)
	if c.estimate.offset == 0 || elapsed-c.estimate.takenAt > estimateMaxAge {
		c.estimate = reading{offset: c.offset(now, elapsed), takenAt: elapsed}
	}
	return time.Unix(0, int64(c.estimate.offset+elapsed)).UTC()
}

// offset returns the median offset of the recent wall clocks, or with too few of them the
// collector's offset if it is recent.
func (c *Clock) offset(now time.Time, elapsed time.Duration) time.Duration {
	offsets := []time.Duration{c.wallOffset(now)}
	for box, r := range c.readings {
		if elapsed-r.takenAt > readingMaxAge {
			delete(c.readings, box)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	if len(offsets) < minClocks && c.collectorEstimate.offset != 0 && elapsed-c.collectorEstimate.takenAt < collectorEstimateMaxAge {
		return c.collectorEstimate.offset
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
