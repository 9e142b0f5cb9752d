package serverpath

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
)

// A server that is down must not be taken for a lost path, as no other way leads to it.
func TestPlanDependsOnOtherBoxes(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(log.NewNopLogger())
	assert.Equal(t, Plan{Direct: true, RelayAfter: maxHeadStart}, tracker.Plan("a", now))
	tracker.RecordFailed("a", FailureSilent, now, now)
	tracker.RecordRelayed("a", false, now)
	assert.Equal(t, Plan{Direct: true, DirectOnly: true}, tracker.Plan("a", now), "no other box reaches it")
	now = now.Add(minDownTime)
	assert.Equal(t, Plan{Direct: true, RelayAfter: maxHeadStart}, tracker.Plan("a", now), "other boxes are asked again")
	tracker.RecordFailed("a", FailureSilent, now, now)
	tracker.RecordRelayed("a", false, now)
	assert.True(t, tracker.Plan("a", now.Add(minDownTime)).DirectOnly, "twice as long")
	tracker.RecordRelayed("a", true, now)
	assert.Equal(t, Plan{}, tracker.Plan("a", now), "only the other boxes")
	assert.Equal(t, Plan{Direct: true, RelayAfter: maxHeadStart}, tracker.Plan("b", now), "another server")
	assert.Equal(t, Plan{Direct: true}, tracker.Plan("a", now.Add(probeInterval)), "both ways, as the direct one may be back")
	assert.Equal(t, Plan{}, tracker.Plan("a", now.Add(probeInterval)), "one request probes")
	tracker.RecordConnected("a", time.Millisecond, true, now.Add(probeInterval))
	assert.True(t, tracker.Plan("a", now.Add(probeInterval)).Direct)
	assert.Equal(t, minHeadStart, tracker.Plan("a", now.Add(probeInterval)).RelayAfter, "a multiple of the connect time")
}

// An isolated box uses other boxes also for servers that it has not tried, and probes at a bounded rate.
func TestIsolatedBoxAsksOthersAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(log.NewNopLogger())
	var changes []bool
	tracker.OnChange(func(isolated bool) { changes = append(changes, isolated) })
	for _, address := range []string{"a", "b"} {
		tracker.RecordFailed(address, FailureRefused, now, now)
		assert.False(t, tracker.Isolated(), "a server that refuses may have exited")
		tracker.RecordRelayed(address, true, now)
	}
	assert.True(t, tracker.Isolated())
	probes := 0
	for i := range 1000 {
		plan := tracker.Plan(fmt.Sprint(i), now.Add(time.Duration(i)*time.Millisecond))
		assert.Zero(t, plan.RelayAfter)
		if plan.Direct {
			probes++
		}
	}
	assert.Equal(t, int(time.Second/boxProbeInterval), probes)
	tracker.RecordConnected("c", time.Millisecond, true, now.Add(time.Second))
	assert.False(t, tracker.Isolated())
	assert.Equal(t, []bool{true, false}, changes)
}

// Data on an open connection shows that a silent link is back, but not that new connections are accepted.
func TestDataShowsThatLinksAreBack(t *testing.T) {
	for failure, isolated := range map[Failure]bool{FailureSilent: false, FailureRefused: true} {
		now := time.Unix(1000, 0)
		tracker := NewTracker(log.NewNopLogger())
		for _, address := range []string{"a", "b"} {
			tracker.RecordFailed(address, failure, now, now)
			tracker.RecordRelayed(address, true, now)
		}
		assert.True(t, tracker.Isolated())
		assert.Equal(t, failure == FailureRefused, tracker.directFit("c"), "open connections stay usable only if others are refused")
		tracker.RecordHeard("x", now.Add(time.Second))
		assert.Equal(t, isolated, tracker.Isolated(), failure)
	}
}

func TestFailedPathsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(log.NewNopLogger())
	for i := range 1000 {
		tracker.RecordFailed(fmt.Sprint(i), FailureRefused, now.Add(time.Duration(i)*time.Second), now.Add(time.Duration(i)*time.Second))
	}
	assert.LessOrEqual(t, len(tracker.failed), int(pathRetention/time.Second)+2)
}

// A box whose links went silent must notice that before its connections time out, and one whose servers
// are merely slow must not open connections for it.
func TestPathIsCheckedWhileNothingArrives(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(log.NewNopLogger())
	tracker.RecordHeard("x", now)
	assert.False(t, tracker.takeCheck("a", now.Add(-time.Millisecond), now), "another server has sent something since")
	assert.True(t, tracker.takeCheck("a", now.Add(time.Millisecond), now.Add(time.Second)))
	assert.False(t, tracker.takeCheck("b", now.Add(time.Millisecond), now.Add(time.Second)), "at a bounded rate")
	tracker.RecordFailed("a", FailureSilent, now.Add(time.Second), now.Add(time.Second))
	assert.False(t, tracker.takeCheck("a", now.Add(time.Millisecond), now.Add(2*time.Second)), "the path is known to have failed")
	assert.True(t, tracker.takeCheck("b", now.Add(time.Millisecond), now.Add(2*time.Second)))
	tracker.RecordConnected("b", time.Millisecond, true, now.Add(2*time.Second))
	assert.True(t, tracker.takeCheck("c", now.Add(time.Millisecond), now.Add(3*time.Second)), "a connection that is accepted may lead nowhere")
	tracker.RecordHeard("b", now.Add(3*time.Second))
	assert.False(t, tracker.takeCheck("c", now.Add(time.Millisecond), now.Add(4*time.Second)), "the box has its links")
}

// Servers that fall silent while others send are no evidence against the box: it must not forget which
// servers can't be reached.
func TestSilentServersDoNotIsolateWhileOthersSend(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(log.NewNopLogger())
	tracker.OnChange(func(bool) { assert.Fail(t, "isolation changed") })
	tracker.RecordHeard("x", now.Add(100*time.Millisecond))
	for i := range 2 * minUnreached {
		tracker.RecordFailed(fmt.Sprint(i), FailureSilent, now, now.Add(300*time.Millisecond))
	}
	assert.False(t, tracker.Isolated())
}
