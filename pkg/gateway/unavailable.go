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

// queueKey identifies a queue of requests that wait for the same servers.
type queueKey struct {
	service string
	// regions are the regions that the requests are restricted to.
	regions string
}

// queues counts the requests that wait for servers which are rate limited or back off, by rank.
type queues struct {
	mu      sync.Mutex
	waiting map[queueKey]*[routing.MaxRank + 1]int
}

// add adds count, which may be negative, to the waiting requests of a rank.
func (q *queues) add(key queueKey, rank, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[queueKey]*[routing.MaxRank + 1]int)
	}
	counts, ok := q.waiting[key]
	if !ok {
		counts = new([routing.MaxRank + 1]int)
		q.waiting[key] = counts
	}
	counts[rank] += count
	if *counts == ([routing.MaxRank + 1]int{}) {
		delete(q.waiting, key)
	}
}

// countBelow returns the number of waiting requests whose rank is below a bound.
func (q *queues) countBelow(key queueKey, bound int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts, ok := q.waiting[key]
	if !ok {
		return 0
	}
	total := 0
	for _, n := range counts[:bound] {
		total += n
	}
	return total
}

func (x *exchange) queueKey() queueKey {
	key := queueKey{service: x.service.Name}
	if x.allowedRegions().AllowsAll() {
		return key
	}
	key.regions = strings.Join(x.route.Regions, ",")
	if x.organisation != nil {
		key.regions += ";" + strings.Join(x.organisation.Regions, ",")
	}
	return key
}

// queueBound returns the rank below which waiting requests precede this one. A new request queues
// behind those of its own rank.
func (x *exchange) queueBound() int {
	if x.queued {
		return x.rank()
	}
	return x.rank() + 1
}

// mustYield reports whether waiting requests precede this one at rate limited servers.
func (x *exchange) mustYield() bool {
	return x.gateway.queues.countBelow(x.queueKey(), x.queueBound()) > 0
}

// waitForAvailability waits until the next attempt to find a server that is neither rate limited
// nor backs off, or refuses the request at once if that would be too late.
func (x *exchange) waitForAvailability(ctx context.Context, f *failure, a balancer.Availability) error {
	now := clock.Now()
	wait, known := x.estimateWait(a, now)
	if !known || now.Add(wait).After(x.waitDeadline()) {
		retryAfter := x.outageRetryAfter(wait, now)
		_ = level.Info(x.gateway.Logger).Log("msg", "no server available", "id", x.call.ID, "service", x.service.Name, "rank", x.rank(),
			"limited", a.Limited, "per_second", a.PerSecond, "full", a.Full, "backing_off", a.BackingOff, "wait_ms", wait.Milliseconds(), "come_back_ms", retryAfter.Milliseconds())
		return &RefusedError{Reason: f.cause.Error(), RetryAfter: retryAfter}
	}
	x.enqueue()
	return x.pollAgain(ctx, f)
}

// estimateWait estimates when a server takes the request, behind those that wait already. It
// returns false if this box may send the servers nothing.
func (x *exchange) estimateWait(a balancer.Availability, now time.Time) (time.Duration, bool) {
	var waits []time.Duration
	if a.PerSecond > 0 {
		ahead := float64(x.gateway.queues.countBelow(x.queueKey(), x.queueBound()))
		waits = append(waits, a.NextToken.Sub(now)+time.Duration(ahead/a.PerSecond*float64(time.Second)))
	}
	if a.Full > 0 {
		waits = append(waits, serverPollInterval)
	}
	if a.BackingOff > 0 {
		waits = append(waits, max(0, a.BackoffEnd.Sub(now)))
	}
	if len(waits) == 0 {
		return 0, false
	}
	return slices.Min(waits), true
}

// enqueue counts the request as waiting.
func (x *exchange) enqueue() {
	if x.queued {
		return
	}
	x.queued = true
	x.gateway.queues.add(x.queueKey(), x.rank(), 1)
}

// dequeue ends the wait of a request that got a server or has ended.
func (x *exchange) dequeue() {
	if !x.queued {
		return
	}
	x.queued = false
	x.gateway.queues.add(x.queueKey(), x.rank(), -1)
}
