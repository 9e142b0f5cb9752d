package loadshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/balancer"
)

// A relay of few boxes sends at once what has changed, one of many keeps to its budget,
// and none lets a change grow old.
func TestSummariesKeepToTheBudget(t *testing.T) {
	assert.Equal(t, summaryPauseLeast, pauseAfter(0))
	assert.InDelta(t, 20*time.Millisecond, pauseAfter(relayBudget/50), float64(time.Millisecond))
	assert.Equal(t, summaryPauseMost, pauseAfter(10*relayBudget))
}

func TestSummaryWaitsForItsTime(t *testing.T) {
	now := time.Now()
	var a audience
	assert.False(t, a.due(now), "nothing has changed")
	a.add([]balancer.Placement{{Server: 1}})
	assert.True(t, a.due(now))
	a.done(40*time.Millisecond, now)
	assert.Empty(t, a.placements)
	a.changed = true
	assert.False(t, a.due(now.Add(39*time.Millisecond)))
	assert.True(t, a.due(now.Add(40*time.Millisecond)))
}

// What changes after other halls were told is told them as soon as they may be told again,
// though nothing changes any more.
func TestChangesBetweenSummariesAreNotLost(t *testing.T) {
	now := time.Now()
	s := &Sharer{boxes: make(workTable), halls: make(workTable)}
	s.hall.done(summaryPauseLeast, now)
	s.otherHalls.done(hallsPause, now)
	_, due := s.nextSummary(now)
	assert.False(t, due)
	s.hall.changed, s.otherHalls.changed = true, true
	wait, due := s.nextSummary(now)
	assert.True(t, due)
	assert.Equal(t, summaryPauseLeast, wait)
	s.hall.done(summaryPauseLeast, now.Add(wait))
	wait, due = s.nextSummary(now.Add(wait))
	assert.True(t, due, "other halls have not been told yet")
	assert.Equal(t, hallsPause-summaryPauseLeast, wait)
}
