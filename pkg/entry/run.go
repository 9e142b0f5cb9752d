package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/claims"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/shard"
)

// exchange sends a request to one server and passes the answer on. The error is
// *backend.NotStartedError if it did not run there; any other means that it may
// have.
type exchange func(ctx context.Context, s config.Server) (scheduler.Completion, error)

// run dispatches a request until an exchange succeeds or nothing more may be
// tried. A request is in one exchange at a time.
func (h *Handler) run(ctx context.Context, req *request, q shard.SlotRequest, do exchange) error {
	shards := shard.Eligible(h.Store.Current(), h.Tracker.View(), req.service.Name, h.Hall)
	for n := 0; ; n++ {
		err := h.runOnce(ctx, req, shards, q, do)
		if err == nil {
			h.budget.succeed()
			return nil
		}
		if !h.mayRetry(ctx, req, err, n) {
			return req.final(err)
		}
		q.AvoidServers = req.servers
		if err := pause(ctx, n); err != nil {
			return req.final(err)
		}
	}
}

// runOnce waits for a slot and makes one exchange in it.
func (h *Handler) runOnce(ctx context.Context, req *request, shards []config.Shard, q shard.SlotRequest, do exchange) error {
	slot, err := h.Broker.Acquire(ctx, shards, q)
	if err != nil {
		return err
	}
	if req.granted.IsZero() {
		req.granted = time.Now()
	}
	server, ok := h.Store.Current().Server(slot.Server)
	if !ok {
		slot.Release()
		return &backend.NotStartedError{Server: slot.Server, Cause: errors.New("it was just removed")}
	}
	slot.Start()
	if err := h.claim(ctx, req); err != nil {
		slot.Release()
		return err
	}
	req.servers = append(req.servers, server.Name)
	c, err := do(ctx, server)
	c.Result = result(ctx, err)
	slot.Finish(c)
	if err != nil && !backend.IsNotStarted(err) {
		req.maybeRan = true
	}
	return err
}

func result(ctx context.Context, err error) scheduler.Result {
	switch {
	case err == nil:
		return scheduler.ResultDone
	case ctx.Err() != nil, isCaller(err):
		return scheduler.ResultAbandoned
	}
	return scheduler.ResultFailed
}

// mayRetry tells whether a failed request is sent once more. What may have run
// is repeated only if it is repeatable, and only if the caller can still get one
// whole answer.
func (h *Handler) mayRetry(ctx context.Context, req *request, err error, n int) bool {
	var broken *backend.InterruptedError
	switch {
	case ctx.Err() != nil, n+1 >= attemptsMost:
		return false
	case backend.IsNotStarted(err):
		return h.budget.spend()
	case errors.As(err, &broken):
		return !req.once && !req.stuck() && h.budget.spend()
	}
	return false
}

// stuck answers have begun and can't go on at another server.
func (q *request) stuck() bool {
	return q.begun && (q.opaque || q.service.Kind != config.KindEngine)
}

// final is what became of the request: once anything may have run, "not run"
// can't be said any more.
func (q *request) final(err error) error {
	if q.maybeRan || q.begun {
		return &UnknownError{Cause: err}
	}
	return err
}

// claim records the claim of a keyed request that may not be repeated, once.
func (h *Handler) claim(ctx context.Context, req *request) error {
	if !req.once || req.key == "" || req.claimed {
		return nil
	}
	k := claims.KeyOf(req.org.Name, req.key)
	r, err := h.Claims.Claim(ctx, k, req.attempt)
	if err != nil {
		h.Claims.Abandon(k, req.attempt)
		return err
	}
	if r.State != claims.Granted {
		return &TakenError{Done: r.State == claims.Done}
	}
	req.claimed = true
	req.fence = fmt.Sprintf("%d/%d", k.Shard(), r.Fence)
	return nil
}

// endClaim records how a claimed request ended. An unknown end stays unknown.
func (h *Handler) endClaim(ctx context.Context, req *request, err error) {
	if !req.claimed {
		return
	}
	k := claims.KeyOf(req.org.Name, req.key)
	switch {
	case err == nil:
		// The answer need not wait for this: without the record the key stays
		// taken, which is as safe.
		go func() { _ = h.Claims.End(context.WithoutCancel(ctx), k, req.attempt, false) }()
	case !req.maybeRan:
		h.Claims.Abandon(k, req.attempt)
	}
}

// query is the reservation of a request.
func (h *Handler) query(req *request, promptTokens int, prefix []uint64) shard.SlotRequest {
	q := shard.SlotRequest{
		Class:        req.class.Name,
		Organisation: req.org.Name,
		PromptTokens: promptTokens,
		Arrival:      req.arrival,
		PrefixHashes: prefix,
	}
	if req.class.Deadline > 0 {
		q.Deadline = req.arrival.Add(req.class.Deadline)
	}
	return q
}
