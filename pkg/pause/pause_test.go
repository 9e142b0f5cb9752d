package pause

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestForEndsWithTheTimeOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		For(t.Context(), time.Second)
		assert.Equal(t, time.Second, time.Since(begun))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		For(ctx, time.Hour)
		assert.Equal(t, 2*time.Second, time.Since(begun))
	})
}

// Of many boxes few act before the first of them is heard, however many they are; all do in the end.
func TestFewActBeforeTheyAreSpared(t *testing.T) {
	const window, heard = time.Second, 200 * time.Millisecond
	assert.Zero(t, SuppressionDelay(window, 1))
	for _, n := range []int{10, 100, 1000, 2000} {
		const plays = 50
		acted := 0
		for range plays {
			waits := make([]time.Duration, n)
			for i := range waits {
				waits[i] = SuppressionDelay(window, n)
				assert.LessOrEqual(t, waits[i], window)
			}
			first := slices.Min(waits)
			for _, w := range waits {
				if w <= first+heard {
					acted++
				}
			}
		}
		assert.LessOrEqual(t, acted, 12*plays, "%d boxes: mean of those that act", n)
	}
}
