package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against room of brittle servers that nobody uses while requests are refused, for more boxes than a server has slots.
func TestRoomOfBrittleServersIsUsed(t *testing.T) {
	const servers, slots, duration, length = 3, 6, 100 * time.Millisecond, 10 * time.Second
	capacity := servers * slots / duration.Seconds()
	for _, boxes := range []int{3, 12, 100} {
		t.Run(fmt.Sprintf("%d boxes", boxes), func(t *testing.T) {
			f := newBrittleFleet(boxes, servers, slots, true)
			f.run(rand.New(rand.NewPCG(1, 9)), length, 0.6*capacity, duration, false)
			t.Logf("room for all: %d served, %d refused, %d rejections", f.served, f.refused, f.mostRejections())
			assert.Zero(t, f.refused)
			assert.LessOrEqual(t, f.mostRejections(), 3)
			f = newBrittleFleet(boxes, servers, slots, true)
			f.run(rand.New(rand.NewPCG(2, 9)), length, 2*capacity, duration, false)
			used := float64(f.served) / (length.Seconds() * capacity)
			t.Logf("room for half: %.2f used, %d rejections", used, f.mostRejections())
			assert.GreaterOrEqual(t, used, 0.9)
			assert.LessOrEqual(t, f.mostRejections(), 3)
		})
	}
}
