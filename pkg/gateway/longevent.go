package gateway

import (
	"context"
	"time"

	"headhill.example/headhill/pkg/pause"
)

const (
	// uncountedEventBytes is how much of an incomplete event is not counted against the box's memory.
	// Most events are shorter, and MaxRequests bounds what they use together.
	uncountedEventBytes = 8 << 10
	// eventStep is the memory that is reserved at once for a longer event.
	eventStep = 16 << 10
	// eventRetryInterval is how long a stream waits before it tries again to reserve memory.
	eventRetryInterval = 100 * time.Millisecond
)

// holdEvent waits for memory for an incomplete event of the given size. Without it, the events of up
// to maxEventBytes of many streams could make the box run out of memory. An event is forwarded whole,
// so streams that wait for each other would not go on: one at a time may exceed the limit.
func (x *exchange) holdEvent(ctx context.Context, size int) error {
	for int64(size) > uncountedEventBytes+x.eventBytes {
		if !x.gateway.reserve(eventStep) {
			if !x.mayExceedLimit() {
				pause.For(ctx, eventRetryInterval)
				if ctx.Err() != nil {
					return context.Cause(ctx)
				}
				continue
			}
			x.gateway.heldBytes.Add(eventStep)
		}
		x.eventBytes += eventStep
	}
	return nil
}

// mayExceedLimit reports whether this request is the one that may exceed the limit, until
// releaseEvent.
func (x *exchange) mayExceedLimit() bool {
	p := &x.gateway.overLimit
	return p.CompareAndSwap(nil, x) || p.Load() == x
}

// releaseEvent releases the memory of an event that was forwarded.
func (x *exchange) releaseEvent() {
	if x.eventBytes == 0 {
		return
	}
	x.gateway.heldBytes.Add(-x.eventBytes)
	x.eventBytes = 0
	x.gateway.overLimit.CompareAndSwap(x, nil)
}
