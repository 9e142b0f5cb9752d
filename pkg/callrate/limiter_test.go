package callrate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Boxes that call as fast as they can must stay within the budget of the fleet.
func TestFleetStaysWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes, seconds = 20, 30
		fleet := Budget{ReadsPerSecond: 400, WritesPerSecond: 100}
		limiters := make([]*Limiter, boxes)
		ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
		defer cancel()
		for i := range limiters {
			l := New(fleet)
			l.SetBudget(fleet.Share(boxes))
			limiters[i] = l
			for _, write := range []bool{false, true} {
				go func() {
					for l.Wait(ctx, write) == nil {
					}
				}()
			}
		}
		<-ctx.Done()
		synctest.Wait()
		var reads, writes uint64
		for _, l := range limiters {
			reads += l.Calls().Reads
			writes += l.Calls().Writes
		}
		// Each box may start with a burst, and has one pending call of each kind.
		burst := boxes * (float64(burst(fleet.Share(boxes).ReadsPerSecond)) + 1)
		assert.LessOrEqual(t, float64(reads), fleet.ReadsPerSecond*seconds+burst)
		assert.LessOrEqual(t, float64(writes), fleet.WritesPerSecond*seconds+burst)
		assert.Greater(t, float64(reads), 0.9*fleet.ReadsPerSecond*seconds)
	})
}

func TestShareHasMinimum(t *testing.T) {
	share := DefaultBudget.Share(1e6)
	assert.Equal(t, Budget{ReadsPerSecond: minReadsPerSecond, WritesPerSecond: minWritesPerSecond}, share)
	assert.Equal(t, DefaultBudget, DefaultBudget.Share(0))
	l := New(share)
	for range minBurst {
		require.NoError(t, l.Wait(context.Background(), false), "the initial burst is allowed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	assert.Error(t, l.Wait(ctx, false))
}
