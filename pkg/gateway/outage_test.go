package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// How long a request waits must depend on the caller's timeout only, not on the timeout of the
// route.
func TestWaitDeadlineDependsOnCallerTimeout(t *testing.T) {
	arrival := time.Now()
	for _, timeout := range []time.Duration{6 * time.Second, 7 * time.Second, time.Minute} {
		x := &exchange{
			arrival: arrival, deadline: arrival.Add(6 * time.Second),
			route: &routing.Route{Timeout: timeout, FirstEventTarget: time.Second},
		}
		assert.Equal(t, arrival.Add(2*time.Second), x.waitDeadline(), "route timeout %s", timeout)
	}
}
