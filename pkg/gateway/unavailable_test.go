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

func TestQueuesCountBelowRank(t *testing.T) {
	var q queues
	key, other := queueKey{service: "models"}, queueKey{service: "models", regions: "north"}
	q.add(key, 0, 1)
	q.add(key, 2, 1)
	q.add(key, 2, 1)
	assert.Equal(t, 1, q.countBelow(key, 2), "requests of more urgent ranks")
	assert.Equal(t, 3, q.countBelow(key, 3), "requests of the same or more urgent ranks")
	assert.Zero(t, q.countBelow(other, 3), "requests restricted to other regions use another queue")
	q.add(key, 0, -1)
	q.add(key, 2, -2)
	assert.Zero(t, q.countBelow(key, 3))
	assert.Empty(t, q.waiting, "empty queues must be removed")
}

// The estimate must include the requests ahead, and use the earlier of two available servers.
func TestEstimateWait(t *testing.T) {
	now := clock.Now()
	x := &exchange{
		gateway: &Gateway{}, service: &routing.Service{Name: "calls"}, route: &routing.Route{}, view: &directory.View{Table: &routing.Table{}},
	}
	limited := balancer.Availability{Limited: 1, PerSecond: 0.5, NextToken: now.Add(time.Second)}
	estimate := func(a balancer.Availability) time.Duration {
		wait, known := x.estimateWait(a, now)
		require.True(t, known)
		return wait
	}
	assert.Equal(t, time.Second, estimate(limited))
	x.gateway.queues.add(x.queueKey(), x.rank(), 2)
	assert.Equal(t, 5*time.Second, estimate(limited))
	limited.BackingOff, limited.BackoffEnd = 1, now.Add(3*time.Second)
	assert.Equal(t, 3*time.Second, estimate(limited))
	limited.BackoffEnd = now.Add(-time.Second)
	assert.Zero(t, estimate(limited), "the back-off has ended")
	_, known := x.estimateWait(balancer.Availability{Limited: 1}, now)
	assert.False(t, known, "this box may send no requests")
}

// An error response without a rate limit must not clear the limit of its server.
func TestErrorResponseDoesNotClearLimit(t *testing.T) {
	g := &Gateway{Deps: Deps{Balancer: balancer.New(log.NewNopLogger())}}
	server := routing.Incarnation{ID: "i-1"}
	limit := signals.Limit{Set: true, PerSecond: 2}
	currentLimit := func() signals.Limit { return g.Balancer.Signals().State(signals.KeyOf(server), clock.Now()).Limit }
	(&exchange{gateway: g, attemptStart: clock.Now()}).observeSignals(server, http.StatusOK, signals.Signals{Limit: limit})
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable} {
		(&exchange{gateway: g, attemptStart: clock.Now()}).observeSignals(server, status, signals.Signals{})
		assert.Equal(t, limit, currentLimit(), "%d", status)
	}
	(&exchange{gateway: g, attemptStart: clock.Now()}).observeSignals(server, http.StatusOK, signals.Signals{})
	assert.Equal(t, signals.Limit{}, currentLimit())
}
