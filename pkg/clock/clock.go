// Package clock measures elapsed time that goes on while the machine is suspended. The steady
// clock of the runtime stands still meanwhile, so that a lease, a belief or a key would seem
// younger than it is by the whole suspension. No wall clock decides anything: those jump.
//
// Times of this package compare with each other only. Deadlines of contexts and connections are
// the runtime's: they are set by what is left, from Until.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sampleFor is how long a sample of the suspended time is used for Now: a decision made
	// within this time of waking may still take what it knows for younger than it is.
	sampleFor = 5 * time.Millisecond
	// shortest is what counts as a suspension. Less may be the time between the readings of two
	// clocks.
	shortest = 20 * time.Millisecond
	// readingMost bounds the time between the readings of one sample, sampleTries how often a
	// sample is taken that took longer, as the process was not running in between.
	readingMost = time.Millisecond
	sampleTries = 5
)

// suspension follows the time for which the machine was suspended.
type suspension struct {
	read func(clock int32) (time.Duration, bool)
	// base is how far the clocks were apart at the start.
	base time.Duration
	// total is the time suspended since then; sampled is when that was last worked out, on the
	// runtime's clock, in nanoseconds since the start.
	total   atomic.Int64
	sampled atomic.Int64
	start   time.Time
	// simulated is added by tests.
	simulated atomic.Int64
}

var machine = newSuspension(readClock)

func newSuspension(read func(int32) (time.Duration, bool)) *suspension {
	s := &suspension{read: read, start: time.Now()}
	s.base, _ = s.apart()
	return s
}

func readClock(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err == nil
}

// apart is how far the clock that counts suspension is ahead of the one that does not. It returns
// false if that can't be had.
func (s *suspension) apart() (time.Duration, bool) {
	for range sampleTries {
		before, ok1 := s.read(unix.CLOCK_MONOTONIC)
		counting, ok2 := s.read(unix.CLOCK_BOOTTIME)
		after, ok3 := s.read(unix.CLOCK_MONOTONIC)
		if !ok1 || !ok2 || !ok3 {
			return 0, false
		}
		if after-before <= readingMost {
			return counting - before, true
		}
	}
	return 0, false
}

// update works the suspended time out anew. It never shrinks.
func (s *suspension) update() time.Duration {
	apart, ok := s.apart()
	s.sampled.Store(int64(time.Since(s.start)))
	for {
		total := s.total.Load()
		if !ok || int64(apart-s.base)+s.simulated.Load() < total+int64(shortest) {
			return time.Duration(total)
		}
		now := int64(apart-s.base) + s.simulated.Load()
		if s.total.CompareAndSwap(total, now) {
			return time.Duration(now)
		}
	}
}

// recent is the suspended time as it was of late.
func (s *suspension) recent() time.Duration {
	if time.Since(s.start)-time.Duration(s.sampled.Load()) >= sampleFor {
		return s.update()
	}
	return time.Duration(s.total.Load())
}

// Now is the elapsed time at this moment, to within some milliseconds after a suspension.
func Now() time.Time { return time.Now().Add(machine.recent()) }

// NowExact is the elapsed time at this moment, for decisions that may not be taken even just after a
// suspension.
func NowExact() time.Time { return time.Now().Add(machine.update()) }

// Since is the time that has passed since a moment.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time that is left until a moment.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TotalSuspended is for how long the machine has been suspended since the process began.
func TotalSuspended() time.Duration { return machine.update() }

// WallTime is what the wall clock showed at a moment.
func WallTime(t time.Time) time.Time { return t.Add(-time.Duration(machine.total.Load())).Round(0) }

// SimulateSuspend lets the clock go on as if the machine had been suspended for some time. Tests use it.
func SimulateSuspend(d time.Duration) {
	machine.simulated.Add(int64(d))
	machine.update()
}
