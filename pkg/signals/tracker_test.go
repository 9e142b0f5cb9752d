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
	start  = time.Now()
	server = routing.Incarnation{ID: "i-1", Started: 7}
	// nextIncarnation has the same ID as server.
	nextIncarnation = routing.Incarnation{ID: "i-1", Started: 8}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func limitSignal(perSecond float64) Signals {
	return Signals{Limit: Limit{Set: true, PerSecond: perSecond}}
}

func retryAfterSignal(seconds float64) Signals {
	return Signals{RetryAfter: time.Duration(seconds * float64(time.Second))}
}

func newTracker() *Tracker { return NewTracker(log.NewNopLogger(), func() {}) }

func TestLimitHoldsUntilLaterAnswerWithoutIt(t *testing.T) {
	tracker := newTracker()
	expect := func(s Signals, reason string) {
		t.Helper()
		assert.Equal(t, s.Limit, tracker.State(KeyOf(server), at(5)).Limit, reason)
	}
	tracker.Observe(server, limitSignal(2), at(0), at(1))
	expect(limitSignal(2), "")
	tracker.Observe(server, Signals{}, at(0.5), at(2))
	expect(limitSignal(2), "a response to an earlier request must not clear the limit")
	tracker.Observe(server, limitSignal(8), at(0.5), at(2))
	expect(limitSignal(2), "a response to an earlier request must not raise the limit")
	tracker.Observe(server, limitSignal(1), at(0.5), at(2))
	expect(limitSignal(1), "a stricter limit must be applied from any response")
	tracker.Observe(server, limitSignal(8), at(2.1), at(2.5))
	expect(limitSignal(8), "")
	tracker.Observe(server, Signals{Limit: Limit{Unknown: true}, Err: errors.New("malformed")}, at(2.6), at(2.7))
	expect(limitSignal(8), "a malformed signal must not change the limit")
	tracker.Observe(server, Signals{}, at(2.6), at(3))
	expect(Signals{}, "")
}

func TestLimitExpiresWhenNotRepeated(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(server, limitSignal(2), at(0), at(0))
	assert.True(t, tracker.State(KeyOf(server), at(16)).Limit.Set)
	assert.False(t, tracker.State(KeyOf(server), at(18)).Limit.Set)
	tracker.Observe(server, limitSignal(0), at(18), at(18))
	assert.True(t, tracker.State(KeyOf(server), at(50)).Limit.Set, "a lower limit must expire later, as there are fewer responses")
}

func TestSignalsHoldForOneIncarnation(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(server, Signals{Limit: limitSignal(2).Limit, RetryAfter: time.Second}, at(0), at(1))
	assert.Equal(t, State{}, tracker.State(KeyOf(nextIncarnation), at(1)))
	assert.Equal(t, map[string]int64{"limit": 1, "leaving": 0, "retry-after": 1, "brittle": 0}, tracker.Counts(at(1)))
}

func TestLeavingIsNotRevoked(t *testing.T) {
	tracker, other := newTracker(), newTracker()
	tracker.Observe(server, Signals{Leaving: true}, at(0), at(1))
	tracker.Observe(server, Signals{}, at(2), at(3))
	assert.True(t, tracker.State(KeyOf(server), at(3)).Leaving)
	other.Observe(server, limitSignal(2), at(2), at(3))
	other.MergeRemote(tracker.Report(at(3)), at(3))
	assert.True(t, other.State(KeyOf(server), at(3)).Leaving, "draining must be shared with other boxes")
	other.Observe(server, Signals{}, at(4), at(5))
	assert.True(t, other.State(KeyOf(server), at(5)).Leaving)
	assert.Empty(t, tracker.Report(at(30)), "draining must not be shared after its share TTL")
	assert.True(t, tracker.State(KeyOf(server), at(300)).Leaving)
	assert.False(t, tracker.State(KeyOf(nextIncarnation), at(3)).Leaving)
}

func TestRetryAfterIsNotShortened(t *testing.T) {
	tracker := newTracker()
	backoffAt := func(seconds float64) Backoff { return tracker.State(KeyOf(server), at(seconds)).Backoff }
	tracker.Observe(server, retryAfterSignal(3), at(0), at(1))
	tracker.Observe(server, retryAfterSignal(0.1), at(0.5), at(1.1))
	tracker.Observe(server, Signals{}, at(0.5), at(2))
	assert.Equal(t, BackingOff, backoffAt(3.9), "must not be shortened by a shorter Retry-After or by a request in flight")
	assert.Equal(t, HalfOpen, backoffAt(4.6))
	tracker.Observe(server, Signals{}, at(0.9), at(4.7))
	assert.Equal(t, HalfOpen, backoffAt(4.8))
	tracker.Observe(server, Signals{}, at(4.8), at(4.9))
	assert.Equal(t, Accepting, backoffAt(5))
	tracker.Observe(server, retryAfterSignal(1e9), at(5), at(5))
	assert.Equal(t, BackingOff, backoffAt(5+maxBackoff.Seconds()-1))
	assert.Equal(t, HalfOpen, backoffAt(5+maxBackoff.Seconds()+1), "Retry-After must be capped")
	assert.Empty(t, tracker.Report(at(5)), "Retry-After must not be shared")
}
