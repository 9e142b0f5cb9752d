package pause

import (
	"math"
	"math/rand/v2"
	"time"
)

// SuppressionDelay draws the wait of one of n boxes that would all do the same, where the first to do it
// spares the others. The waits are distributed exponentially over a window, as timers of multicast
// feedback are: about one box is done at its begin, ten times as many for each third of it where
// there are a thousand. With even waits n/10 act within a tenth of the window, before they can hear
// of the first one.
func SuppressionDelay(window time.Duration, n int) time.Duration {
	if n < 2 {
		return 0
	}
	share := 1 + math.Log(1-rand.Float64())/math.Log(float64(n))
	return time.Duration(float64(window) * max(0, share))
}
