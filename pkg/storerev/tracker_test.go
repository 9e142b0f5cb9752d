package storerev

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTrackerRejectsEndedEras(t *testing.T) {
	var rises [][2]uint64
	tracker := NewTracker(func(era, before uint64) { rises = append(rises, [2]uint64{era, before}) })
	for _, era := range []uint64{0, 1, 1, 3} {
		require.NoError(t, tracker.Observe(era))
	}
	var older *OlderEraError
	require.ErrorAs(t, tracker.Observe(2), &older)
	assert.Equal(t, OlderEraError{Era: 2, Latest: 3}, *older)
	var outOfRange *RangeError
	require.ErrorAs(t, tracker.Observe(maxEra+1), &outOfRange)
	assert.Equal(t, uint64(3), tracker.Latest())
	assert.Equal(t, [][2]uint64{{1, 0}, {3, 1}}, rises)
}

func TestNilTrackerAcceptsAllEras(t *testing.T) {
	var tracker *Tracker
	assert.NoError(t, tracker.Observe(1))
	assert.NoError(t, tracker.Observe(0))
	assert.Zero(t, tracker.Latest())
}
