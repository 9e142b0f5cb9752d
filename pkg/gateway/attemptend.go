package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
)

// attemptEnd reports the end of an attempt to the balancer and the quarantine: when the server is
// done, which may be before the caller has received the response.
type attemptEnd struct {
	exchange *exchange
	// ctx is the context of the request.
	ctx   context.Context
	lease *balancer.Lease
	// bound is set once an event of the attempt was to be forwarded and the stream is bound to a version.
	bound bool
	// asked is set once the server is asked since the stream broke off, see askAfterBreak.
	asked bool

	once   sync.Once
	result balancer.Result
	// reportedAt is when the server was done, nil before.
	reportedAt atomic.Pointer[time.Time]
	// resumes is set if the attempt is to resume an interrupted stream.
	resumes bool
	// closedAt is when the server closed the connection in order during the response, zero if it has not. What reads the response
	// sets it before it reports the end.
	closedAt time.Time
}

// report reports the end of the attempt with a failure or an error, or with neither. Only the first
// call has an effect. All calls return the result that was reported.
func (e *attemptEnd) report(f *failure, err error) balancer.Result {
	e.once.Do(func() {
		now := clock.Now()
		e.reportedAt.Store(&now)
		e.result = attemptResult(e.ctx, f, err)
		e.lease.Done(e.result, now)
		e.exchange.reportToQuarantine(e.lease, e.result, f, err)
	})
	return e.result
}

// doneAt returns when the server was done, zero before.
func (e *attemptEnd) doneAt() time.Time {
	if at := e.reportedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// attemptResult returns the result of an attempt for the balancer.
func attemptResult(ctx context.Context, f *failure, err error) balancer.Result {
	switch {
	case f != nil && ctx.Err() != nil && f.result == balancer.ResultFailed:
		return balancer.ResultAbandoned
	case f != nil:
		return f.result
	case err != nil:
		return balancer.ResultAbandoned
	}
	return balancer.ResultDone
}
