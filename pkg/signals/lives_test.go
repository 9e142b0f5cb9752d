package signals

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a limit that is forgotten once the entry of the server tells that it had restarted before.
func TestSignalsSinceALossHoldForTheNextIncarnation(t *testing.T) {
	signalled := Signals{Limit: limitSignal(2).Limit, Brittle: Brittle{Set: true, PerSecond: 3}, RetryAfter: 5 * time.Second}
	tracker := newTracker()
	tracker.RecordLoss(server, at(0))
	tracker.Observe(server, signalled, at(1), at(2))
	tracker.RecordLoss(server, at(3))
	assert.True(t, tracker.Succeed(server, nextIncarnation, at(3)))
	state := tracker.State(KeyOf(nextIncarnation), at(3))
	assert.Equal(t, signalled.Limit, state.Limit)
	assert.Equal(t, signalled.Brittle, state.Brittle)
	assert.Equal(t, BackingOff, state.Backoff)
	assert.Contains(t, tracker.Report(at(3)), KeyOf(nextIncarnation), "other boxes learn of it")

	tracker.Observe(nextIncarnation, Signals{}, at(8), at(9))
	assert.Equal(t, State{}, tracker.State(KeyOf(nextIncarnation), at(9)), "a response without them ends them")
}

func TestSignalsOfAnEndedLifeEndWithIt(t *testing.T) {
	tracker := newTracker()
	tracker.Observe(server, Signals{Limit: limitSignal(2).Limit, RetryAfter: 5 * time.Second}, at(0), at(1))
	tracker.RecordLoss(server, at(2))
	assert.False(t, tracker.Succeed(server, nextIncarnation, at(3)))
	tracker.Observe(server, Signals{Leaving: true}, at(3), at(4))
	assert.False(t, tracker.Succeed(server, nextIncarnation, at(5)))
	assert.Equal(t, State{}, tracker.State(KeyOf(nextIncarnation), at(5)))
}
