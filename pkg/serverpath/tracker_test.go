package serverpath

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
)

// A few servers that fail are no evidence against the box.
func TestIsolationNeedsSeveralServers(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(log.NewNopLogger())
	for range 10 {
		tracker.RecordFailed("a", FailureSilent, now, now)
		tracker.RecordFailed("b", FailureRefused, now, now)
	}
	assert.False(t, tracker.Isolated())
	tracker.RecordConnected("c", time.Millisecond, true, now)
	now = now.Add(time.Second)
	tracker.RecordFailed("d", FailureSilent, now, now)
	assert.False(t, tracker.Isolated(), "a success in between shows that the box has its links")
	for i := range minUnreached {
		tracker.RecordFailed(fmt.Sprint(i), FailureSilent, now, now)
	}
	assert.True(t, tracker.Isolated())
	tracker.RecordConnected("a", time.Millisecond, true, now.Add(time.Second))
	assert.False(t, tracker.Isolated())
	assert.Equal(t, map[string]int64{"connected": 2, "silent": 14, "refused": 10, "checked": 0, "check failed": 0}, tracker.Dials())
}

func TestFailureOf(t *testing.T) {
	assert.Equal(t, FailureRefused, FailureOf(fmt.Errorf("dial: %w", syscall.ECONNREFUSED)))
	assert.Equal(t, FailureRefused, FailureOf(syscall.ECONNRESET))
	assert.Equal(t, FailureSilent, FailureOf(context.DeadlineExceeded))
	assert.Equal(t, FailureSilent, FailureOf(syscall.EHOSTUNREACH))
}

// The state of a box that has lost its links to a fleet of 7,200 servers.
func BenchmarkIsolatedFromManyServers(b *testing.B) {
	for _, failure := range []Failure{FailureSilent, FailureRefused} {
		b.Run(failure.String(), func(b *testing.B) {
			tracker, now := NewTracker(log.NewNopLogger()), time.Unix(1000, 0)
			for i := range 7200 {
				address := fmt.Sprint("s", i)
				tracker.RecordFailed(address, failure, now, now)
				tracker.RecordRelayed(address, true, now)
			}
			for b.Loop() {
				tracker.takeRetry("s1", now)
				tracker.directFit("s2")
			}
		})
	}
}
