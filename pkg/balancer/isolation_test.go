package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against servers that all boxes avoid because one box lost its links to them.
func TestIsolatedBoxReportsNoFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(log.NewNopLogger())
	q := Query{Candidates: servers(2), Service: "calls"}
	fail := func() {
		for _, result := range []Result{ResultUnreached, ResultFailed, ResultFailed, ResultFailed} {
			lease, ok := b.Pick(q, now)
			assert.True(t, ok)
			lease.Done(result, now)
		}
	}
	fail()
	assert.NotEmpty(t, b.Report(now).Loads)
	b.SetIsolated(true)
	assert.Empty(t, b.Report(now).Loads, "what was seen before was due to the links")
	fail()
	assert.Empty(t, b.Report(now).Loads)
	b.SetIsolated(false)
	assert.NotEmpty(t, b.Report(now).Loads)
}

// Guards against servers that all boxes take for slow because the path of one box to them is.
func TestPathsOfABoxAreNoTimingsOfServers(t *testing.T) {
	now := time.Unix(1000, 0)
	relayed := func(_ *Balancer, l *Lease) { l.MarkRelayed() }
	isolated := func(b *Balancer, _ *Lease) { b.SetIsolated(true) }
	for name, c := range map[string]struct {
		mark func(*Balancer, *Lease)
		want float64
	}{"direct": {func(*Balancer, *Lease) {}, 2}, "relayed": {relayed, 1}, "isolated": {isolated, 1}} {
		b, list := newTimedBalancer(now), servers(4)
		for range 20 {
			for i, s := range list {
				l, _ := b.Pick(plainQuery([]routing.Server{s}, 5000), now)
				took := expectedFirstEvent(5000, engineSpeed)
				if i == 0 {
					c.mark(b, l)
					took *= 4
				}
				done := now.Add(took)
				l.PrefillDone(done)
				l.Done(ResultDone, done)
				b.SetIsolated(false)
			}
		}
		slowness := b.slownesses(list, now)[0]
		if c.want == 1 {
			assert.InDelta(t, 1, slowness, 0.05, name)
		} else {
			assert.Greater(t, slowness, c.want, name)
		}
	}
}
