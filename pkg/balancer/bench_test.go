package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// BenchmarkPick measures a choice among the servers of a service.
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

// BenchmarkFirstPick measures the first choice of a box, when all servers are new to it.
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
