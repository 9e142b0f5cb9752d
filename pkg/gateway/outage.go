package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
)

const (
	// awaitCheck is how often a request that waits looks for a server.
	awaitCheck = 40 * time.Millisecond
	// waitShare is the part of its time that a request waits for a server before its
	// caller is told to come back. Whether callers come back at all, a box can't know; with
	// two thirds of its time left an answer is still of use.
	waitShare = 1.0 / 3
	// stayAwayMost is the part of its time that a caller stays away at the most, as a
	// divisor: one that comes back later has hardly time for an answer.
	stayAwayMost = 3
	// afterNoServer is when callers come back at the soonest.
	afterNoServer = 300 * time.Millisecond
)

// outages tells since when services have had no server that could be reached.
type outages struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// age is how long the outage of a service has lasted; it begins one if there is
// none.
func (o *outages) age(service string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == nil {
		o.since = make(map[string]time.Time)
	}
	begun, ok := o.since[service]
	if !ok {
		o.since[service] = now
		return 0
	}
	return now.Sub(begun)
}

// end says that a server of the service was reached.
func (o *outages) end(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, service)
}

// awaitServer waits a moment for a server that can be reached, or gives the request
// up once it has waited for its part of the caller's time.
func (x *exchange) awaitServer(ctx context.Context, f *failure) error {
	var unavailable *unavailableError
	if errors.As(f.cause, &unavailable) {
		return x.awaitAvailable(ctx, f, unavailable.Availability)
	}
	x.stopQueueing()
	now := clock.Now()
	age := x.gateway.outages.age(x.service.Name, now)
	if !now.Before(x.awaitEnd()) {
		return &RefusedError{Reason: f.cause.Error(), RetryAfter: x.stayAway(age, now)}
	}
	return x.lookAgain(ctx, f)
}

// lookAgain waits a moment before the request looks for a server again, also among those that could not be
// reached.
func (x *exchange) lookAgain(ctx context.Context, f *failure) error {
	pause.For(ctx, awaitCheck)
	if ctx.Err() != nil {
		return x.over(ctx, f)
	}
	x.unreachedServers = nil
	return nil
}

func (x *exchange) awaitEnd() time.Time {
	whole := x.deadline.Sub(x.arrival)
	return x.arrival.Add(time.Duration(waitShare * float64(whole)))
}

// stayAway is when to come back in an outage: as long as it has lasted so far, as
// nothing else tells how long it will.
func (x *exchange) stayAway(age time.Duration, now time.Time) time.Duration {
	after := max(age, afterNoServer)
	return min(after+rand.N(after/8+1), x.deadline.Sub(now)/stayAwayMost)
}
