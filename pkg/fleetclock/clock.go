// Package fleetclock estimates true time from the wall clocks of all boxes, as the clock
// of one box may jump by seconds. The box that collects hears the wall clock of each box
// and takes the median; it tells the result to the others. Between two messages the
// steady clock counts.
package fleetclock

import (
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
)

const (
	// heardFor is how long a reading of a box counts. Readings come some times a second.
	heardFor = 5 * time.Second
	// readingsLeast is how many boxes must have been heard for their median to be believed
	// over what was told before: among fewer, one clock that jumped may decide.
	readingsLeast = 3
	// estimateFor is how long an estimate is used before it is worked out anew: a wall clock
	// that jumps moves it that much later.
	estimateFor = 100 * time.Millisecond
	// toldFor is how long the word of the collecting box counts; steady clocks drift
	// apart by some milliseconds in that time.
	toldFor = 5 * time.Minute
)

// Clock is one box's estimate.
type Clock struct {
	// base is when the steady clock begins to count.
	base time.Time

	mu sync.Mutex
	// readings are the offsets of other boxes' wall clocks from this box's steady clock.
	readings map[string]reading
	// told is the offset that the collecting box told last, estimate the one in use, worked
	// out at a time.
	told     reading
	estimate reading
}

// reading is an offset, and the steady time at which it was heard.
type reading struct{ offset, heard time.Duration }

// New returns a clock that has heard nobody.
func New() *Clock {
	return &Clock{base: clock.Now(), readings: make(map[string]reading)}
}

// steady is the time of the steady clock since the base.
func (c *Clock) steady(t time.Time) time.Duration { return t.Sub(c.base) }

// wallOffset is the offset of this box's own wall clock from its steady clock.
func (c *Clock) wallOffset(now time.Time) time.Duration {
	return time.Duration(clock.WallTime(now).UnixNano()) - c.steady(now)
}

// WallMillis is the reading of this box's wall clock, to be told to the collecting box.
func WallMillis(now time.Time) int64 { return clock.WallTime(now).UnixMilli() }

// AddReading takes in the wall clock of another box, as it stood when its message came.
func (c *Clock) AddReading(box string, wallMillis int64, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.steady(received)
	c.readings[box] = reading{offset: time.Duration(wallMillis)*time.Millisecond - at, heard: at}
}

// EstimateMillis is this box's estimate, to be told to the others.
func (c *Clock) EstimateMillis(now time.Time) int64 { return c.Now(now).UnixMilli() }

// SetCollectorEstimate takes in the estimate of the collecting box, as it stood when its message came.
func (c *Clock) SetCollectorEstimate(millis int64, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.steady(received)
	c.told = reading{offset: time.Duration(millis)*time.Millisecond - at, heard: at}
}

// Now is the estimate of true time at a moment of the steady clock.
func (c *Clock) Now(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.steady(now)
	if c.estimate.offset == 0 || at-c.estimate.heard > estimateFor {
		c.estimate = reading{offset: c.offset(now, at), heard: at}
	}
	return time.Unix(0, int64(c.estimate.offset+at)).UTC()
}

// offset is the median of the wall clocks heard, this box's own among them; with too few
// of them what was told, if it was of late.
func (c *Clock) offset(now time.Time, at time.Duration) time.Duration {
	offsets := []time.Duration{c.wallOffset(now)}
	for box, r := range c.readings {
		if at-r.heard > heardFor {
			delete(c.readings, box)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	if len(offsets) < readingsLeast && c.told.offset != 0 && at-c.told.heard < toldFor {
		return c.told.offset
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
