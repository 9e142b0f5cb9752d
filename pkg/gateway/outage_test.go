package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// A box can't see whether a caller was refused before, nor whether it will come back: how
// long its request waits follows from its own time only, not from its route's.
func TestWaitForAServerFollowsFromTheCallersTime(t *testing.T) {
	arrival := time.Now()
	for _, timeout := range []time.Duration{6 * time.Second, 7 * time.Second, time.Minute} {
		x := &exchange{
			arrival: arrival, deadline: arrival.Add(6 * time.Second),
			route: &routing.Route{Timeout: timeout, FirstEventTarget: time.Second},
		}
		assert.Equal(t, arrival.Add(2*time.Second), x.awaitEnd(), "route's time %s", timeout)
	}
}
