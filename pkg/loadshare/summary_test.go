package loadshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/balancer"
)

// The interval between summaries grows with the bytes sent and stays within its bounds.
func TestSummaryIntervalFollowsBytesSent(t *testing.T) {
	assert.Equal(t, minSummaryInterval, summaryInterval(0))
	assert.InDelta(t, 20*time.Millisecond, summaryInterval(relayBytesPerSecond/50), float64(time.Millisecond))
	assert.Equal(t, maxSummaryInterval, summaryInterval(10*relayBytesPerSecond))
}

func TestSummaryIsDueAfterInterval(t *testing.T) {
	now := time.Now()
	var a destination
	assert.False(t, a.due(now), "nothing has changed")
	a.addPlacements([]balancer.Placement{{Server: 1}})
	assert.True(t, a.due(now))
	a.markSent(40*time.Millisecond, now)
	assert.Empty(t, a.placements)
	a.dirty = true
	assert.False(t, a.due(now.Add(39*time.Millisecond)))
	assert.True(t, a.due(now.Add(40*time.Millisecond)))
}

// A change made right after a summary to other halls is sent with the next one, even if
// nothing changes afterwards.
func TestChangesBetweenSummariesAreNotLost(t *testing.T) {
	now := time.Now()
	s := &Sharer{boxReports: make(workTable), hallSummaries: make(workTable)}
	s.hall.markSent(minSummaryInterval, now)
	s.otherHalls.markSent(interHallInterval, now)
	_, due := s.nextSummary(now)
	assert.False(t, due)
	s.hall.dirty, s.otherHalls.dirty = true, true
	wait, due := s.nextSummary(now)
	assert.True(t, due)
	assert.Equal(t, minSummaryInterval, wait)
	s.hall.markSent(minSummaryInterval, now.Add(wait))
	wait, due = s.nextSummary(now.Add(wait))
	assert.True(t, due, "summary to other halls is still pending")
	assert.Equal(t, interHallInterval-minSummaryInterval, wait)
}
