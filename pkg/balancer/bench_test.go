package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// BenchmarkPick is the choice of one server among those of a service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 90, 2400, 7200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balance, now := New(log.NewNopLogger()), time.Now()
			q := query(n, "part")
			for i := range b.N {
				q.Parts[0].ID = fmt.Sprint(i % 1000)
				l, _ := balance.Pick(q, now)
				l.Done(ResultAbandoned, now)
			}
		})
	}
}
