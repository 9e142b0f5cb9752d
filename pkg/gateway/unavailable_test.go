package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

func TestQueuesCountWhatGoesBefore(t *testing.T) {
	var q queues
	key, other := queueKey{service: "models"}, queueKey{service: "models", regions: "north"}
	q.add(key, 0, 1)
	q.add(key, 2, 1)
	q.add(key, 2, 1)
	assert.Equal(t, 1, q.before(key, 2), "more urgent ones")
	assert.Equal(t, 3, q.before(key, 3), "and those of its rank")
	assert.Zero(t, q.before(other, 3), "requests that may go elsewhere wait for other servers")
	q.add(key, 0, -1)
	q.add(key, 2, -2)
	assert.Zero(t, q.before(key, 3))
	assert.Empty(t, q.waiting, "nothing is kept of requests that are gone")
}

// What waits already goes first, and of two reasons the one that is over sooner counts.
func TestRequestKnowsWhenAServerIsAvailable(t *testing.T) {
	now := clock.Now()
	x := &exchange{
		gateway: &Gateway{}, service: &routing.Service{Name: "calls"}, route: &routing.Route{}, view: &directory.View{Table: &routing.Table{}},
	}
	limited := balancer.Availability{Limited: 1, PerSecond: 0.5, NextToken: now.Add(time.Second)}
	until := func(a balancer.Availability) time.Duration {
		wait, known := x.untilAvailable(a, now)
		require.True(t, known)
		return wait
	}
	assert.Equal(t, time.Second, until(limited))
	x.gateway.queues.add(x.queueKey(), x.rank(), 2)
	assert.Equal(t, 5*time.Second, until(limited))
	limited.BackingOff, limited.BackoffEnd = 1, now.Add(3*time.Second)
	assert.Equal(t, 3*time.Second, until(limited))
	limited.BackoffEnd = now.Add(-time.Second)
	assert.Zero(t, until(limited), "one that is probed")
	_, known := x.untilAvailable(balancer.Availability{Limited: 1}, now)
	assert.False(t, known, "of no keeper")
}

// Guards against a limit that ends as something answers a failure for its server.
func TestFailureWithoutALimitDoesNotEndOne(t *testing.T) {
	g := &Gateway{Deps: Deps{Balancer: balancer.New(log.NewNopLogger())}}
	server := routing.Incarnation{ID: "i-1"}
	limit := signals.Limit{Set: true, PerSecond: 2}
	believed := func() signals.Limit { return g.Balancer.Signals().State(signals.KeyOf(server), clock.Now()).Limit }
	(&exchange{gateway: g, sent: clock.Now()}).observeSignals(server, http.StatusOK, signals.Signals{Limit: limit})
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable} {
		(&exchange{gateway: g, sent: clock.Now()}).observeSignals(server, status, signals.Signals{})
		assert.Equal(t, limit, believed(), "%d", status)
	}
	(&exchange{gateway: g, sent: clock.Now()}).observeSignals(server, http.StatusOK, signals.Signals{})
	assert.Equal(t, signals.Limit{}, believed())
}
