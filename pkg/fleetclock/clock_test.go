package fleetclock

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// tolerance is the accepted error of an estimate.
const tolerance = 50 * time.Millisecond

func TestMedianToleratesClockJumps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		now := time.Now()
		for i := range 9 {
			wall := WallMillis(now)
			if i < 4 {
				wall += 2000
			}
			c.AddReading(fmt.Sprint("box-", i), wall, now)
		}
		assert.WithinDuration(t, now, c.Now(now), tolerance, "estimate with four of ten clocks off by 2 s")
	})
}

func TestOldReadingsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		for i := range 5 {
			c.AddReading(fmt.Sprint("box-", i), WallMillis(time.Now())+5000, time.Now())
		}
		time.Sleep(2 * readingMaxAge)
		assert.WithinDuration(t, time.Now(), c.Now(time.Now()), tolerance)
	})
}

// A box with few readings must use the collector's estimate instead of its own wall clock.
func TestCollectorEstimateIsUsedWithFewReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		c.SetCollectorEstimate(WallMillis(time.Now())+3000, time.Now())
		time.Sleep(time.Minute)
		assert.WithinDuration(t, time.Now().Add(3*time.Second), c.Now(time.Now()), tolerance)
		time.Sleep(2 * collectorEstimateMaxAge)
		assert.WithinDuration(t, time.Now(), c.Now(time.Now()), tolerance, "estimate after the collector's has expired")
	})
}
