package pause

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestForReturnsAfterDurationOrCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		For(t.Context(), time.Second)
		assert.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		For(ctx, time.Hour)
		assert.Equal(t, 2*time.Second, time.Since(start))
	})
}

// The number of boxes that act before they learn of the first one must not grow with the fleet.
func TestSuppressionDelayLimitsDuplicateActions(t *testing.T) {
	const window, latency = time.Second, 200 * time.Millisecond
	assert.Zero(t, SuppressionDelay(window, 1))
	for _, n := range []int{10, 100, 1000, 2000} {
		const rounds = 50
		fired := 0
		for range rounds {
			delays := make([]time.Duration, n)
			for i := range delays {
				delays[i] = SuppressionDelay(window, n)
				assert.LessOrEqual(t, delays[i], window)
			}
			first := slices.Min(delays)
			for _, d := range delays {
				if d <= first+latency {
					fired++
				}
			}
		}
		assert.LessOrEqual(t, fired, 12*rounds, "%d boxes: mean number that act", n)
	}
}
