package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// BenchmarkPick is the choice of one server among those of a service: 2.3 ms for 9,845 where each was
// looked at, 0.03 ms where a few are.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 90, 512, 2400, 9845, 19690} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balance, now := New(log.NewNopLogger()), time.Now()
			q := query(n, "part")
			if l, ok := balance.Pick(q, now); ok {
				l.Done(ResultAbandoned, now)
			}
			b.ResetTimer()
			for i := range b.N {
				q.Parts[0].ID = fmt.Sprint(i % 1000)
				l, _ := balance.Pick(q, now)
				l.Done(ResultAbandoned, now)
			}
		})
	}
}

// BenchmarkFirstPick is the first choice of a box, which knows nothing of any server: 0.8 s for 9,845
// and 3.6 s for 19,690 where servers to forget were looked for with each new one, 1.2 and 2.6 ms
// where they are now and then.
func BenchmarkFirstPick(b *testing.B) {
	for _, n := range []int{9845, 19690} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			q := query(n, "part")
			for range b.N {
				New(log.NewNopLogger()).Pick(q, time.Now())
			}
		})
	}
}
