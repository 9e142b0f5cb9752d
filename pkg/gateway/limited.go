package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
)

// queueKey names the requests that wait for the same limited servers.
type queueKey struct {
	service string
	// regions are those that the requests are bound to.
	regions string
}

// queues count the requests that wait until they may go to a limited server, by rank.
type queues struct {
	mu      sync.Mutex
	waiting map[queueKey]*[routing.RankMost + 1]int
}

// add counts more requests of a rank, or fewer.
func (q *queues) add(key queueKey, rank, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[queueKey]*[routing.RankMost + 1]int)
	}
	ranks, ok := q.waiting[key]
	if !ok {
		ranks = new([routing.RankMost + 1]int)
		q.waiting[key] = ranks
	}
	ranks[rank] += count
	if *ranks == ([routing.RankMost + 1]int{}) {
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
	if x.regions().Any() {
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

// yields tells whether requests wait which are to have what may go to limited servers.
func (x *exchange) yields() bool {
	return x.gateway.queues.before(x.queueKey(), x.queueBound()) > 0
}

// awaitTurn waits a moment until the box may send to a limited server, or refuses a request at once whose
// turn comes too late.
func (x *exchange) awaitTurn(ctx context.Context, f *failure, l *limitedError) error {
	now := clock.Now()
	wait, known := x.untilTurn(l)
	if !known || now.Add(wait).After(x.awaitEnd()) {
		after := x.comeBack(wait)
		_ = level.Info(x.gateway.Logger).Log("msg", "no turn at limited servers", "id", x.call.ID, "service", x.service.Name, "rank", x.rank(),
			"servers", l.Servers, "per_second", l.PerSecond, "wait_ms", wait.Milliseconds(), "come_back_ms", after.Milliseconds())
		return &RefusedError{Reason: f.cause.Error(), After: after}
	}
	x.queue()
	select {
	case <-ctx.Done():
		return x.over(ctx, f)
	case <-time.After(awaitCheck):
	}
	return nil
}

// untilTurn estimates when the request may go to a limited server; it returns false where this box sends
// them nothing.
func (x *exchange) untilTurn(l *limitedError) (time.Duration, bool) {
	if l.PerSecond == 0 {
		return 0, false
	}
	before := x.gateway.queues.before(x.queueKey(), x.queueBound())
	return time.Duration(float64(before) / l.PerSecond * float64(time.Second)), true
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
