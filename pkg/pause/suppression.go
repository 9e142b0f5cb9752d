package pause

import (
	"math"
	"math/rand/v2"
	"time"
)

// SuppressionDelay returns a random delay for one of n boxes that would all perform the same
// action, where the first to perform it makes the others cancel theirs. As with multicast
// feedback timers, delays are distributed exponentially over the window: about one box fires at
// its start, however large n is. With uniform delays, n/10 boxes would fire within the first
// tenth of the window, before learning that another box has already acted.
func SuppressionDelay(window time.Duration, n int) time.Duration {
	if n < 2 {
		return 0
	}
	fraction := 1 + math.Log(1-rand.Float64())/math.Log(float64(n))
	return time.Duration(float64(window) * max(0, fraction))
}
