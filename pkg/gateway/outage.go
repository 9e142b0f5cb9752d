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
	// serverPollInterval is how often a waiting request looks for a server.
	serverPollInterval = 40 * time.Millisecond
	// serverWaitShare is the share of its total time that a request waits for a server before it is
	// refused. The box can't know whether callers retry, and the rest of the time still allows a
	// useful response.
	serverWaitShare = 1.0 / 3
	// retryAfterDivisor limits Retry-After to this fraction of the request's time, so that a retry
	// has time for a response.
	retryAfterDivisor   = 3
	minOutageRetryAfter = 300 * time.Millisecond
)

// outages records the start of the current outage of each service, in which no server could be
// reached.
type outages struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// age returns how long the outage of a service has lasted, and records its start if there is none.
func (o *outages) age(service string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == nil {
		o.since = make(map[string]time.Time)
	}
	start, ok := o.since[service]
	if !ok {
		o.since[service] = now
		return 0
	}
	return now.Sub(start)
}

// resolve ends the outage of a service, as one of its servers was reached.
func (o *outages) resolve(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, service)
}

// waitForServer waits before the next attempt to find a server, or refuses the request once it has
// waited for its share of the caller's time.
func (x *exchange) waitForServer(ctx context.Context, f *failure) error {
	var unavailable *unavailableError
	if errors.As(f.cause, &unavailable) {
		return x.waitForAvailability(ctx, f, unavailable.Availability)
	}
	x.dequeue()
	now := clock.Now()
	age := x.gateway.outages.age(x.service.Name, now)
	if !now.Before(x.waitDeadline()) {
		return &RefusedError{Reason: f.cause.Error(), RetryAfter: x.outageRetryAfter(age, now)}
	}
	return x.pollAgain(ctx, f)
}

// pollAgain sleeps until the next attempt to find a server, which may again try those that could
// not be reached.
func (x *exchange) pollAgain(ctx context.Context, f *failure) error {
	pause.For(ctx, serverPollInterval)
	if ctx.Err() != nil {
		return x.contextError(ctx, f)
	}
	x.unreachable = nil
	return nil
}

func (x *exchange) waitDeadline() time.Time {
	total := x.deadline.Sub(x.arrival)
	return x.arrival.Add(time.Duration(serverWaitShare * float64(total)))
}

// outageRetryAfter returns the Retry-After in an outage: its age so far, so that callers retry less
// often the longer it lasts, within bounds and with jitter.
func (x *exchange) outageRetryAfter(age time.Duration, now time.Time) time.Duration {
	retryAfter := max(age, minOutageRetryAfter)
	return min(retryAfter+rand.N(retryAfter/8+1), x.deadline.Sub(now)/retryAfterDivisor)
}
