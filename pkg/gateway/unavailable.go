package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
)

// queueKey names the requests that wait for the same servers.
type queueKey struct {
	service string
	// regions are those that the requests are bound to.
	regions string
}

// queues count the requests that wait for servers which are limited or back off, by rank.
type queues struct {
	mu      sync.Mutex
	waiting map[queueKey]*[routing.MaxRank + 1]int
}

// add counts more requests of a rank, or fewer.
func (q *queues) add(key queueKey, rank, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[queueKey]*[routing.MaxRank + 1]int)
	}
	ranks, ok := q.waiting[key]
	if !ok {
		ranks = new([routing.MaxRank + 1]int)
		q.waiting[key] = ranks
	}
	ranks[rank] += count
	if *ranks == ([routing.MaxRank + 1]int{}) {
		delete(q.waiting, key)
	}
}

// before is how many requests wait whose rank is below a bound.
func (q *queues) before(key queueKey, bound int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	ranks, ok := q.waiting[key]
	if !ok {
		return 0
	}
	sum := 0
	for _, n := range ranks[:bound] {
		sum += n
	}
	return sum
}

func (x *exchange) queueKey() queueKey {
	key := queueKey{service: x.service.Name}
	if x.regions().AllowsAll() {
		return key
	}
	key.regions = strings.Join(x.route.Regions, ",")
	if x.organisation != nil {
		key.regions += ";" + strings.Join(x.organisation.Regions, ",")
	}
	return key
}

// queueBound is the rank from which on waiting requests do not go before this one: of its own rank those
// that wait already do.
func (x *exchange) queueBound() int {
	if x.queueing {
		return x.rank()
	}
	return x.rank() + 1
}

// yields tells whether requests wait which have the rate of limited servers before this one.
func (x *exchange) yields() bool {
	return x.gateway.queues.before(x.queueKey(), x.queueBound()) > 0
}

// awaitAvailable waits a moment for a server that is limited or backs off, or refuses the request at once
// if it would be too late then.
func (x *exchange) awaitAvailable(ctx context.Context, f *failure, a balancer.Availability) error {
	now := clock.Now()
	wait, known := x.untilAvailable(a, now)
	if !known || now.Add(wait).After(x.awaitEnd()) {
		after := x.stayAway(wait, now)
		_ = level.Info(x.gateway.Logger).Log("msg", "no server available", "id", x.call.ID, "service", x.service.Name, "rank", x.rank(),
			"limited", a.Limited, "per_second", a.PerSecond, "backing_off", a.BackingOff, "wait_ms", wait.Milliseconds(), "come_back_ms", after.Milliseconds())
		return &RefusedError{Reason: f.cause.Error(), RetryAfter: after}
	}
	x.queue()
	return x.lookAgain(ctx, f)
}

// untilAvailable estimates when a server may get the request, behind those that wait already; it returns
// false where this box sends them nothing.
func (x *exchange) untilAvailable(a balancer.Availability, now time.Time) (time.Duration, bool) {
	var waits []time.Duration
	if a.PerSecond > 0 {
		before := float64(x.gateway.queues.before(x.queueKey(), x.queueBound()))
		waits = append(waits, a.NextToken.Sub(now)+time.Duration(before/a.PerSecond*float64(time.Second)))
	}
	if a.BackingOff > 0 {
		waits = append(waits, max(0, a.BackoffEnd.Sub(now)))
	}
	if len(waits) == 0 {
		return 0, false
	}
	return slices.Min(waits), true
}

// queue counts the request among those that wait.
func (x *exchange) queue() {
	if x.queueing {
		return
	}
	x.queueing = true
	x.gateway.queues.add(x.queueKey(), x.rank(), 1)
}

// stopQueueing ends the wait of a request that has a server or has ended.
func (x *exchange) stopQueueing() {
	if !x.queueing {
		return
	}
	x.queueing = false
	x.gateway.queues.add(x.queueKey(), x.rank(), -1)
}
