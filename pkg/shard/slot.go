package shard

import (
	"context"
	"time"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
)

// parallelReservations is the number of shards in which a request waits at a time.
const parallelReservations = 2

// Slot is a granted reservation: the right to run one request on Server. Exactly
// one of Finish and Release must be called.
type Slot struct {
	Server      string
	broker      *Broker
	reservation *reservation
}

// Start notifies the owner that the request is being sent.
func (s *Slot) Start() {
	m := &peerpb.UpMessage{Kind: &peerpb.UpMessage_Start{Start: &peerpb.Start{Shard: s.reservation.shard, Seq: s.reservation.seq}}}
	b := s.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	b.send(b.state(s.reservation.shard).owner, m)
}

// Finish releases the slot and reports how the request ended. c.ID is ignored.
func (s *Slot) Finish(c scheduler.Completion) {
	s.broker.release(s.reservation, &peerpb.UpMessage{Kind: &peerpb.UpMessage_Finish{Finish: &peerpb.Finish{
		Shard:           s.reservation.shard,
		Seq:             s.reservation.seq,
		Result:          peerpb.Result(c.Result),
		PromptTokens:    uint32(max(0, c.PromptTokens)),
		OutputTokens:    uint32(max(0, c.OutputTokens)),
		FirstTokenNanos: int64(c.TimeToFirstToken),
		BetweenNanos:    int64(c.InterTokenLatency),
	}}})
}

// Release returns a slot that was not used.
func (s *Slot) Release() { s.broker.cancel(s.reservation) }

// Acquire waits for a slot in one of the shards. It reserves in
// parallelReservations of them at a time, takes the first grant and cancels the
// rest. It tries every shard before it returns a refusal, so that lower-tier
// requests in any shard are evicted first. The error is a *RefusedError or that
// of ctx.
func (b *Broker) Acquire(ctx context.Context, shards []config.Shard, req SlotRequest) (*Slot, error) {
	if len(shards) == 0 {
		return nil, &RefusedError{Reason: scheduler.ReasonNoServer, RetryAfter: defaultRetryAfter}
	}
	a := &acquisition{broker: b, request: req, remaining: shards, outcomes: make(chan outcome, len(shards))}
	defer a.cancelPending()
	for range parallelReservations {
		a.reserveNext()
	}
	timeout, stop := deadlineTimer(req.Deadline)
	defer stop()
	for {
		select {
		case o := <-a.outcomes:
			slot, err := a.handleOutcome(o)
			if slot != nil || err != nil {
				return slot, err
			}
		case <-timeout:
			return nil, &RefusedError{Reason: scheduler.ReasonDeadline, RetryAfter: defaultRetryAfter}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func deadlineTimer(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(deadline) + refusalGrace)
	return t.C, func() { t.Stop() }
}

// acquisition is the state of one call of Acquire.
type acquisition struct {
	broker    *Broker
	request   SlotRequest
	remaining []config.Shard
	pending   []*reservation
	outcomes  chan outcome
	refusal   *RefusedError
}

// reserveNext reserves in the next shard, if any is left.
func (a *acquisition) reserveNext() {
	if len(a.remaining) == 0 {
		return
	}
	sh := a.remaining[0]
	a.remaining = a.remaining[1:]
	a.pending = append(a.pending, a.broker.reserve(sh.ID, a.request, a.outcomes))
}

// handleOutcome returns a slot, a final refusal, or neither while other
// reservations are pending.
func (a *acquisition) handleOutcome(o outcome) (*Slot, error) {
	a.pending = removeReservation(a.pending, o.reservation)
	if o.refusal == nil {
		return &Slot{Server: o.reservation.server, broker: a.broker, reservation: o.reservation}, nil
	}
	if a.refusal == nil || o.refusal.RetryAfter < a.refusal.RetryAfter {
		a.refusal = o.refusal
	}
	a.reserveNext()
	if len(a.pending) == 0 {
		return nil, a.refusal
	}
	return nil, nil
}

// cancelPending cancels the pending reservations. Cancelling also returns a slot
// that was granted in the meantime.
func (a *acquisition) cancelPending() {
	for _, r := range a.pending {
		a.broker.cancel(r)
	}
}

func removeReservation(list []*reservation, r *reservation) []*reservation {
	rest := make([]*reservation, 0, len(list))
	for _, x := range list {
		if x != r {
			rest = append(rest, x)
		}
	}
	return rest
}
