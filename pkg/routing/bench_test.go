package routing

import (
	"fmt"
	"testing"
)

// BenchmarkApplyDelta applies a delta that changes the API key of one organisation.
func BenchmarkApplyDelta(b *testing.B) {
	for _, n := range []int{24, 41000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			c := Content{Version: 1}
			for i := range n {
				c.Organisations = append(c.Organisations, Organisation{Name: fmt.Sprint("o", i), Keys: []string{fmt.Sprint("key-", i)}})
			}
			from := NewTable(c)
			changed := Content{Version: 2, Organisations: append([]Organisation(nil), c.Organisations...)}
			changed.Organisations[0].Keys = []string{"another"}
			d := Diff(from, NewTable(changed))
			for b.Loop() {
				if _, ok := from.Apply(d); !ok {
					b.Fatal("not applied")
				}
			}
		})
	}
}
