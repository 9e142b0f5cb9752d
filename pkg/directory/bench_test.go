package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// BenchmarkChange measures one change of the list of servers at one box.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{9845, 19690} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := New(log.NewNopLogger())
			var list []routing.Server
			for i := range n {
				list = append(list, serverIn("east", i))
			}
			d.applyList(list, 1, time.Now())
			b.ResetTimer()
			for i := range b.N {
				s := serverIn("east", i%n)
				s.Leaving = i%2 == 0
				d.ApplyDelta(Delta{From: storerev.Revision(i + 1), To: storerev.Revision(i + 2), Events: []ServerEvent{{Server: s}}})
			}
		})
	}
}

// BenchmarkServerAt measures the look-up of a server by its address, which a tunnel needs.
func BenchmarkServerAt(b *testing.B) {
	for _, n := range []int{9845, 19690} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			d := New(log.NewNopLogger())
			list := make([]routing.Server, n)
			for i := range list {
				list[i] = serverIn("east", i)
				list[i].Address = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
			}
			d.applyList(list, 1, time.Now())
			view := d.View()
			for i := 0; b.Loop(); i++ {
				if _, ok := view.ServerAt(list[i%n].Address); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
