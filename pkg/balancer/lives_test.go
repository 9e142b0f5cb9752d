package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// Guards against requests to a server whose Retry-After is forgotten once its entry tells that it had restarted before.
func TestRetryAfterOfALifeWithoutAnEntryStaysInForce(t *testing.T) {
	for name, lossFirst := range map[string]bool{"signalled after the restart": true, "signalled before it": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			b := New(log.NewNopLogger())
			q := Query{Service: "calls", Candidates: []routing.Server{{ID: "i-1", Started: 1}}}
			pick := func() *Lease {
				l, ok := b.Pick(q, now)
				require.True(t, ok)
				now = now.Add(10 * time.Millisecond)
				return l
			}
			lose := func() { pick().Done(ResultFailed, now) }
			refuse := func() {
				l, sent := pick(), now
				now = now.Add(10 * time.Millisecond)
				b.Signals().Observe(l.Server.Incarnation(), signals.Signals{RetryAfter: 3 * time.Second}, sent, now)
				l.Done(ResultRefused, now)
			}
			other := pick()
			if lossFirst {
				lose()
				refuse()
			} else {
				refuse()
			}
			other.Done(ResultFailed, now)
			q.Candidates = []routing.Server{{ID: "i-1", Started: 2}}
			_, ok := b.Pick(q, now.Add(time.Second))
			assert.Equal(t, !lossFirst, ok)
			_, ok = b.Pick(q, now.Add(4*time.Second))
			assert.True(t, ok, "its time is over")
		})
	}
}

// Guards against a map of servers that only grows.
func TestLatestIncarnationsAreBounded(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	for n := range 100 {
		l, _ := b.Pick(Query{Service: "calls", Candidates: []routing.Server{{ID: "i-1", Started: int64(n)}}}, now)
		l.Done(ResultDone, now)
		l, _ = b.Pick(Query{Service: "calls", Candidates: servers(n + 1)[n:]}, now)
		l.Done(ResultDone, now)
		now = now.Add(sweepInterval)
	}
	assert.Less(t, len(b.latest), 20)
}
