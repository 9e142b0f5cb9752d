package shard

import (
	"context"
	"time"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
)

// reserveIn is the number of shards that a request waits in at a time.
const reserveIn = 2

// Slot is a grant in this box's hands: the right to run one request on Server.
// It ends with exactly one call of Finish or GiveBack.
type Slot struct {
	Server string
	broker *Broker
	res    *reservation
}

// Start says that the request goes out now.
func (s *Slot) Start() {
	m := &peerpb.UpMessage{Kind: &peerpb.UpMessage_Start{Start: &peerpb.Start{Shard: s.res.shard, Seq: s.res.seq}}}
	b := s.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	b.send(b.view(s.res.shard).owner, m)
}

// Finish ends the use of the slot. The ID in c is not used.
func (s *Slot) Finish(c scheduler.Completion) {
	s.broker.release(s.res, &peerpb.UpMessage{Kind: &peerpb.UpMessage_Finish{Finish: &peerpb.Finish{
		Shard:           s.res.shard,
		Seq:             s.res.seq,
		Result:          peerpb.Result(c.Result),
		PromptTokens:    uint32(max(0, c.PromptTokens)),
		OutputTokens:    uint32(max(0, c.OutputTokens)),
		FirstTokenNanos: int64(c.TimeToFirstToken),
		BetweenNanos:    int64(c.InterTokenLatency),
	}}})
}

// GiveBack returns a slot that was not used.
func (s *Slot) GiveBack() { s.broker.cancel(s.res) }

// Acquire waits for a slot in one of the shards: it reserves in two at a time,
// takes the first grant and releases the rest. It asks every shard before the
// request is refused, so that lower-tier work anywhere gives way first. The
// error is *RefusedError, or ctx's when the caller went away.
func (b *Broker) Acquire(ctx context.Context, shards []config.Shard, q Query) (*Slot, error) {
	if len(shards) == 0 {
		return nil, &RefusedError{Reason: scheduler.ReasonNoServer, RetryAfter: ownRetryAfter}
	}
	a := &acquisition{broker: b, query: q, left: shards, decided: make(chan outcome, len(shards))}
	defer a.cancelRest()
	for range reserveIn {
		a.next()
	}
	timeout, stop := deadlineTimer(q.Deadline)
	defer stop()
	for {
		select {
		case o := <-a.decided:
			slot, err := a.take(o)
			if slot != nil || err != nil {
				return slot, err
			}
		case <-timeout:
			return nil, &RefusedError{Reason: scheduler.ReasonDeadline, RetryAfter: ownRetryAfter}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func deadlineTimer(deadline time.Time) (<-chan time.Time, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(deadline) + deadlineGrace)
	return t.C, func() { t.Stop() }
}

// acquisition is one Acquire under way.
type acquisition struct {
	broker  *Broker
	query   Query
	left    []config.Shard
	waiting []*reservation
	decided chan outcome
	refusal *RefusedError
}

// next reserves in one more shard.
func (a *acquisition) next() {
	if len(a.left) == 0 {
		return
	}
	sh := a.left[0]
	a.left = a.left[1:]
	a.waiting = append(a.waiting, a.broker.reserve(sh.ID, a.query, a.decided))
}

// take handles one outcome: a slot, a final refusal, or neither yet.
func (a *acquisition) take(o outcome) (*Slot, error) {
	a.waiting = without(a.waiting, o.res)
	if o.refusal == nil {
		return &Slot{Server: o.res.server, broker: a.broker, res: o.res}, nil
	}
	if a.refusal == nil || o.refusal.RetryAfter < a.refusal.RetryAfter {
		a.refusal = o.refusal
	}
	a.next()
	if len(a.waiting) == 0 {
		return nil, a.refusal
	}
	return nil, nil
}

// cancelRest releases what still waits. A grant that arrives meanwhile is given
// back by the same call.
func (a *acquisition) cancelRest() {
	for _, r := range a.waiting {
		a.broker.cancel(r)
	}
}

func without(list []*reservation, r *reservation) []*reservation {
	kept := make([]*reservation, 0, len(list))
	for _, x := range list {
		if x != r {
			kept = append(kept, x)
		}
	}
	return kept
}
