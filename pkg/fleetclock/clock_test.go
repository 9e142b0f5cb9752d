package fleetclock

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// near is how far an estimate may be off.
const near = 50 * time.Millisecond

func TestMedianOutlivesClocksThatJump(t *testing.T) {
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
		assert.WithinDuration(t, now, c.Now(now), near, "four of ten boxes' clocks have jumped")
	})
}

func TestOldReadingsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		for i := range 5 {
			c.AddReading(fmt.Sprint("box-", i), WallMillis(time.Now())+5000, time.Now())
		}
		time.Sleep(2 * heardFor)
		assert.WithinDuration(t, time.Now(), c.Now(time.Now()), near)
	})
}

// A box that hears few others believes the one that collects, not its own wall clock.
func TestWordOfTheCollectorCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		c.SetCollectorEstimate(WallMillis(time.Now())+3000, time.Now())
		time.Sleep(time.Minute)
		assert.WithinDuration(t, time.Now().Add(3*time.Second), c.Now(time.Now()), near)
		time.Sleep(2 * toldFor)
		assert.WithinDuration(t, time.Now(), c.Now(time.Now()), near, "until it is too old")
	})
}
