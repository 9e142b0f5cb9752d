package signals

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

var (
	begin  = time.Now()
	server = routing.Incarnation{ID: "i-1", Started: 7}
	// nextLife is another life under the same ID.
	nextLife = routing.Incarnation{ID: "i-1", Started: 8}
)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

func limitOf(perSecond float64) Signals {
	return Signals{Limit: Limit{Set: true, PerSecond: perSecond}}
}

func retryAfter(seconds float64) Signals {
	return Signals{RetryAfter: time.Duration(seconds * float64(time.Second))}
}

func newTracker() *Tracker { return NewTracker(log.NewNopLogger(), func() {}) }

func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	tracker := newTracker()
	expect := func(s Signals, reason string) {
		t.Helper()
		assert.Equal(t, s.Limit, tracker.State(KeyOf(server), at(5)).Limit, reason)
	}
	tracker.Observe(server, limitOf(2), at(0), at(1))
	expect(limitOf(2), "")
	tracker.Observe(server, Signals{}, at(0.5), at(2))
	expect(limitOf(2), "an answer to an earlier request proves nothing")
	tracker.Observe(server, limitOf(8), at(0.5), at(2))
	expect(limitOf(2), "nor does it raise the limit")
	tracker.Observe(server, limitOf(1), at(0.5), at(2))
	expect(limitOf(1), "a stricter limit is taken from any answer")
	tracker.Observe(server, limitOf(8), at(2.1), at(2.5))
	expect(limitOf(8), "")
	tracker.Observe(server, Signals{Limit: Limit{Unknown: true}, Err: errors.New("malformed")}, at(2.6), at(2.7))
	expect(limitOf(8), "what can't be read changes nothing")
	tracker.Observe(server, Signals{}, at(2.6), at(3))
	expect(Signals{}, "")
}

func TestLimitThatNoAnswerRepeatsExpires(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(server, limitOf(2), at(0), at(0))
	assert.True(t, tracker.State(KeyOf(server), at(16)).Limit.Set)
	assert.False(t, tracker.State(KeyOf(server), at(18)).Limit.Set)
	tracker.Observe(server, limitOf(0), at(18), at(18))
	assert.True(t, tracker.State(KeyOf(server), at(50)).Limit.Set, "the lower it is the fewer answers there are")
}

func TestSignalsHoldForOneLife(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(server, Signals{Limit: limitOf(2).Limit, RetryAfter: time.Second}, at(0), at(1))
	assert.Equal(t, State{}, tracker.State(KeyOf(nextLife), at(1)))
	assert.Equal(t, map[string]int64{"limit": 1, "leaving": 0, "retry-after": 1}, tracker.Counts(at(1)))
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	tracker, other := newTracker(), newTracker()
	tracker.Observe(server, Signals{Leaving: true}, at(0), at(1))
	tracker.Observe(server, Signals{}, at(2), at(3))
	assert.True(t, tracker.State(KeyOf(server), at(3)).Leaving)
	other.Observe(server, limitOf(2), at(2), at(3))
	other.MergeRemote(tracker.Report(at(3)), at(3))
	assert.True(t, other.State(KeyOf(server), at(3)).Leaving, "other boxes share it")
	other.Observe(server, Signals{}, at(4), at(5))
	assert.True(t, other.State(KeyOf(server), at(5)).Leaving)
	assert.Empty(t, tracker.Report(at(30)), "but not for ever")
	assert.True(t, tracker.State(KeyOf(server), at(300)).Leaving)
	assert.False(t, tracker.State(KeyOf(nextLife), at(3)).Leaving)
}

func TestRetryAfterIsNotShortened(t *testing.T) {
	tracker := newTracker()
	of := func(seconds float64) Backoff { return tracker.State(KeyOf(server), at(seconds)).Backoff }
	tracker.Observe(server, retryAfter(3), at(0), at(1))
	tracker.Observe(server, retryAfter(0.1), at(0.5), at(1.1))
	tracker.Observe(server, Signals{}, at(0.5), at(2))
	assert.Equal(t, BackingOff, of(3.9), "neither by a shorter one nor by a call that was under way")
	assert.Equal(t, HalfOpen, of(4.6))
	tracker.Observe(server, Signals{}, at(0.9), at(4.7))
	assert.Equal(t, HalfOpen, of(4.8))
	tracker.Observe(server, Signals{}, at(4.8), at(4.9))
	assert.Equal(t, Accepting, of(5))
	tracker.Observe(server, retryAfter(1e9), at(5), at(5))
	assert.Equal(t, BackingOff, of(5+backoffMost.Seconds()-1))
	assert.Equal(t, HalfOpen, of(5+backoffMost.Seconds()+1), "none lasts for ever")
	assert.Empty(t, tracker.Report(at(5)), "it counts for this box alone")
}
