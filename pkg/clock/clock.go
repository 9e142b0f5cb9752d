// Package clock measures elapsed time including suspensions of the machine. The monotonic clock of
// the runtime stops during a suspension, so that leases and cached state would seem younger than
// they are. The wall clock is not used, as it may be set.
//
// Times returned by this package are only comparable with each other. Deadlines of contexts and
// connections use the clock of the runtime; derive them with Until.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sampleMaxAge is how long Now reuses a sample of the suspended time. Just after a resume, Now
	// may lack the suspension for this long.
	sampleMaxAge = 5 * time.Millisecond
	// minSuspension is the smallest clock difference that counts as a suspension, as the two clocks
	// are not read at the same instant.
	minSuspension = 20 * time.Millisecond
	// maxReadTime bounds the time between the clock readings of a sample. A sample that took
	// longer, as the process was preempted, is repeated up to maxSampleAttempts times in total.
	maxReadTime       = time.Millisecond
	maxSampleAttempts = 5
)

// suspensionTracker tracks the time for which the machine has been suspended.
type suspensionTracker struct {
	read func(clock int32) (time.Duration, bool)
	// baseOffset is the clock offset at the start.
	baseOffset time.Duration
	// suspended is the time suspended since the start. sampledAt is when it was last updated, in
	// nanoseconds of the runtime's clock since the start.
	suspended atomic.Int64
	sampledAt atomic.Int64
	start     time.Time
	// simulated is the suspended time added by tests.
	simulated atomic.Int64
}

var machine = newSuspensionTracker(readClock)

func newSuspensionTracker(read func(int32) (time.Duration, bool)) *suspensionTracker {
	s := &suspensionTracker{read: read, start: time.Now()}
	s.baseOffset, _ = s.clockOffset()
	return s
}

func readClock(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err == nil
}

// clockOffset returns by how much the boot-time clock, which includes suspensions, is ahead of the
// monotonic clock. It returns false if the clocks cannot be read.
func (s *suspensionTracker) clockOffset() (time.Duration, bool) {
	for range maxSampleAttempts {
		monotonic, ok1 := s.read(unix.CLOCK_MONOTONIC)
		boottime, ok2 := s.read(unix.CLOCK_BOOTTIME)
		monotonicAfter, ok3 := s.read(unix.CLOCK_MONOTONIC)
		if !ok1 || !ok2 || !ok3 {
			return 0, false
		}
		if monotonicAfter-monotonic <= maxReadTime {
			return boottime - monotonic, true
		}
	}
	return 0, false
}

// update updates and returns the suspended time, which never decreases.
func (s *suspensionTracker) update() time.Duration {
	offset, ok := s.clockOffset()
	s.sampledAt.Store(int64(time.Since(s.start)))
	for {
		suspended := s.suspended.Load()
		if !ok || int64(offset-s.baseOffset)+s.simulated.Load() < suspended+int64(minSuspension) {
			return time.Duration(suspended)
		}
		updated := int64(offset-s.baseOffset) + s.simulated.Load()
		if s.suspended.CompareAndSwap(suspended, updated) {
			return time.Duration(updated)
		}
	}
}

// cached returns the suspended time, which is at most sampleMaxAge old.
func (s *suspensionTracker) cached() time.Duration {
	if time.Since(s.start)-time.Duration(s.sampledAt.Load()) >= sampleMaxAge {
		return s.update()
	}
	return time.Duration(s.suspended.Load())
}

// Now returns the elapsed time. Up to sampleMaxAge after a resume, it may lack the suspension.
func Now() time.Time { return time.Now().Add(machine.cached()) }

// NowExact returns the elapsed time with an up-to-date suspended time, for decisions that must be
// correct right after a suspension.
func NowExact() time.Time { return time.Now().Add(machine.update()) }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time remaining until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TotalSuspended returns how long the machine has been suspended since the process started.
func TotalSuspended() time.Duration { return machine.update() }

// WallTime returns the wall clock time that corresponds to t.
func WallTime(t time.Time) time.Time { return t.Add(-time.Duration(machine.suspended.Load())).Round(0) }

// SimulateSuspend advances the clock as if the machine had been suspended for d. It is meant for
// tests.
func SimulateSuspend(d time.Duration) {
	machine.simulated.Add(int64(d))
	machine.update()
}
