package resumption

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
)

// Guards against a stream that waits much longer than its server takes to tell the version.
func TestStreamWaitsShortlyForVersionThatIsSoonCertain(t *testing.T) {
	for _, c := range []struct{ certainAfter, maxWait time.Duration }{
		{30 * time.Millisecond, 100 * time.Millisecond},
		{time.Second, 1250 * time.Millisecond},
	} {
		t.Run(c.certainAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, list, one := newLossless(), boxes(2, 1), ServiceVersions{Versions: []string{"v1"}, HistoryKnown: true}
				began := startAsking(t, n, list, one)
				other := startAsking(t, n, slices.Concat(list[1:], list[:1]), one)
				k, o := KeyOf("a", "b"), Origin{Service: testService, Version: "v1", Uncertain: true}
				began.Interrupted(k, o)
				time.Sleep(20 * time.Millisecond)
				time.AfterFunc(c.certainAfter, func() {
					o.Uncertain = false
					began.Interrupted(k, o)
				})
				start := clock.Now()
				v := other.Find(t.Context(), k, testService)
				assert.True(t, v.Known)
				assert.LessOrEqual(t, clock.Since(start), c.maxWait)
			})
		})
	}
}
