package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
)

// clocks are the two clocks of a machine that may be suspended.
type clocks struct {
	steady, counting time.Duration
	// stopped is for how long the process does not run between two readings.
	stopped time.Duration
}

func (c *clocks) read(clock int32) (time.Duration, bool) {
	c.steady += c.stopped
	c.counting += c.stopped
	if clock == unix.CLOCK_BOOTTIME {
		return c.counting, true
	}
	return c.steady, true
}

func (c *clocks) suspend(d time.Duration) { c.counting += d }

func TestSuspensionIsCounted(t *testing.T) {
	c := &clocks{steady: time.Hour, counting: 3 * time.Hour}
	s := newSuspension(c.read)
	assert.Zero(t, s.update(), "what was before the start does not count")

	c.suspend(5 * time.Second)
	assert.Equal(t, 5*time.Second, s.update())
	c.suspend(500 * time.Millisecond)
	assert.Equal(t, 5500*time.Millisecond, s.update())
	c.suspend(shortest / 2)
	assert.Equal(t, 5500*time.Millisecond, s.update(), "the clocks are not read at the same moment")
}

// A process that is stopped between the readings of two clocks was not suspended.
func TestStoppedProcessIsNotSuspended(t *testing.T) {
	c := &clocks{}
	s := newSuspension(c.read)
	c.stopped = 10 * time.Second
	assert.Zero(t, s.update())
	c.stopped = 0
	c.suspend(time.Second)
	assert.Equal(t, time.Second, s.update())
}

func TestNowAdvancesWithTheRuntime(t *testing.T) {
	a := Now()
	time.Sleep(20 * time.Millisecond)
	assert.GreaterOrEqual(t, Since(a), 20*time.Millisecond)
	assert.Less(t, Until(a), time.Duration(0))
	assert.False(t, NowExact().Before(a))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkExact(b *testing.B) {
	for b.Loop() {
		NowExact()
	}
}

func TestSimulatedSuspension(t *testing.T) {
	before := NowExact()
	SimulateSuspend(time.Hour)
	assert.GreaterOrEqual(t, Since(before), time.Hour)
	assert.GreaterOrEqual(t, NowExact().Sub(before), time.Hour)
	assert.WithinDuration(t, time.Now().Round(0), WallTime(Now()), time.Second, "the wall clock is not moved")
}
