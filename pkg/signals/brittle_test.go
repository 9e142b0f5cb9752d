package signals

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// A server is brittle from the first response that says so until a response to a later request does not.
func TestBrittleUntilALaterResponseDoesNotSaySo(t *testing.T) {
	now := time.Unix(1000, 0)
	server := routing.Incarnation{ID: "i-1", Started: 1}
	tracker := NewTracker(log.NewNopLogger(), func() {})
	state := func() State { return tracker.State(KeyOf(server), now) }
	brittle := Signals{Brittle: Brittle{Set: true, PerSecond: 3}}
	tracker.Observe(server, brittle, now, now)
	assert.Equal(t, 3.0, state().Brittle.PerSecond)
	assert.Equal(t, int64(1), tracker.Counts(now)["brittle"])
	tracker.Observe(server, Signals{}, now.Add(-time.Second), now)
	assert.True(t, state().Brittle.Set, "a response to an earlier request")
	tracker.Observe(server, Signals{Brittle: Brittle{Unknown: true}}, now.Add(time.Millisecond), now)
	assert.True(t, state().Brittle.Set, "an error response without the signal")
	tracker.RecordRejection(server, now)
	assert.Equal(t, now, state().RejectedAt)
	assert.False(t, tracker.State(KeyOf(routing.Incarnation{ID: "i-1", Started: 2}), now).Brittle.Set, "a new incarnation")
	now = now.Add(time.Second)
	tracker.Observe(server, Signals{}, now.Add(-time.Millisecond), now)
	assert.False(t, state().Brittle.Set)
	tracker.RecordRejection(server, now)
	assert.True(t, state().RejectedAt.Before(now), "rejections count only while the server is brittle")
}

// The rejections that other boxes report hold this box back as well.
func TestRejectionsAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	server := routing.Incarnation{ID: "i-1"}
	changes := 0
	a, b := NewTracker(log.NewNopLogger(), func() { changes++ }), NewTracker(log.NewNopLogger(), func() {})
	a.Observe(server, Signals{Brittle: Brittle{Set: true, PerSecond: 3}}, now, now)
	a.RecordRejection(server, now.Add(time.Second))
	assert.Equal(t, 2, changes)
	b.MergeRemote(a.Report(now.Add(time.Second)), now.Add(time.Second))
	assert.Equal(t, now.Add(time.Second), b.State(KeyOf(server), now.Add(time.Second)).RejectedAt)
	assert.True(t, b.State(KeyOf(server), now.Add(time.Second)).Brittle.Set)
}

// A limit and brittleness end independently of each other.
func TestBrittleBesideLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	server := routing.Incarnation{ID: "i-1"}
	tracker := NewTracker(log.NewNopLogger(), func() {})
	limit, brittle := Limit{Set: true, PerSecond: 2}, Brittle{Set: true, PerSecond: 3}
	tracker.Observe(server, Signals{Limit: limit, Brittle: brittle}, now, now)
	now = now.Add(time.Second)
	tracker.Observe(server, Signals{Brittle: brittle}, now, now.Add(time.Millisecond))
	state := tracker.State(KeyOf(server), now)
	assert.False(t, state.Limit.Set)
	assert.True(t, state.Brittle.Set)
}
