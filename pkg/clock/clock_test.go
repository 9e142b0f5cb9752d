package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
)

// fakeClocks simulates the two clocks of a machine that may be suspended.
type fakeClocks struct {
	monotonic, boottime time.Duration
	// processStopped is how long the process is stopped before each reading.
	processStopped time.Duration
}

func (c *fakeClocks) read(clock int32) (time.Duration, bool) {
	c.monotonic += c.processStopped
	c.boottime += c.processStopped
	if clock == unix.CLOCK_BOOTTIME {
		return c.boottime, true
	}
	return c.monotonic, true
}

func (c *fakeClocks) suspend(d time.Duration) { c.boottime += d }

func TestSuspensionIsCounted(t *testing.T) {
	c := &fakeClocks{monotonic: time.Hour, boottime: 3 * time.Hour}
	s := newSuspensionTracker(c.read)
	assert.Zero(t, s.update(), "suspension before the start")

	c.suspend(5 * time.Second)
	assert.Equal(t, 5*time.Second, s.update())
	c.suspend(500 * time.Millisecond)
	assert.Equal(t, 5500*time.Millisecond, s.update())
	c.suspend(minSuspension / 2)
	assert.Equal(t, 5500*time.Millisecond, s.update(), "differences below minSuspension are ignored")
}

// A process that is stopped between two clock readings must not count as suspended.
func TestStoppedProcessIsNotCountedAsSuspended(t *testing.T) {
	c := &fakeClocks{}
	s := newSuspensionTracker(c.read)
	c.processStopped = 10 * time.Second
	assert.Zero(t, s.update())
	c.processStopped = 0
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

func BenchmarkNowExact(b *testing.B) {
	for b.Loop() {
		NowExact()
	}
}

func TestSimulatedSuspension(t *testing.T) {
	before := NowExact()
	SimulateSuspend(time.Hour)
	assert.GreaterOrEqual(t, Since(before), time.Hour)
	assert.GreaterOrEqual(t, NowExact().Sub(before), time.Hour)
	assert.WithinDuration(t, time.Now().Round(0), WallTime(Now()), time.Second, "wall clock must not include the simulated suspension")
}
