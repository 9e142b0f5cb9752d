package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
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
