package routerd

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/routing"
)

// Guards against counting rate limited servers as free capacity, which would prevent scaling up.
func TestLimitedServersCountAsBusy(t *testing.T) {
	w := balancer.Workload{Running: 4, Slots: 8, PrefillDemand: 30, EngineSpeed: 10}
	assert.InDelta(t, 2, loadFor(routing.Service{}, w, 4, 0).BusyServers, 1e-9)
	assert.InDelta(t, 3, loadFor(routing.Service{}, w, 4, 1).BusyServers, 1e-9)
	assert.InDelta(t, 4, loadFor(routing.Service{Engine: true}, w, 4, 1).BusyServers, 1e-9)
}
