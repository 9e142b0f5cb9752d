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

// exchange sends a request to a server and forwards the answer. The error is a
// *backend.NotStartedError if the request did not run there; after any other error
// it may have run.
type exchange func(ctx context.Context, s config.Server) (scheduler.Completion, error)

// dispatch sends a request to servers, one at a time, until an exchange succeeds or
// no retry is allowed.
func (h *Handler) dispatch(ctx context.Context, req *request, slotReq shard.SlotRequest, do exchange) error {
	shards := shard.Eligible(h.Store.Current(), h.Tracker.View(), req.service.Name, h.Hall)
	for attempt := 0; ; attempt++ {
		err := h.dispatchOnce(ctx, req, shards, slotReq, do)
		if err == nil {
			h.budget.recordSuccess()
			return nil
		}
		if !h.shouldRetry(ctx, req, err, attempt) {
			return req.finalError(err)
		}
		slotReq.AvoidServers = req.servers
		if err := backoff(ctx, attempt); err != nil {
			return req.finalError(err)
		}
	}
}

// dispatchOnce waits for a slot and uses it for one exchange.
func (h *Handler) dispatchOnce(ctx context.Context, req *request, shards []config.Shard, slotReq shard.SlotRequest, do exchange) error {
	slot, err := h.Broker.Acquire(ctx, shards, slotReq)
	if err != nil {
		return err
	}
	if req.grantedAt.IsZero() {
		req.grantedAt = time.Now()
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
	c.Result = schedulerResult(ctx, err)
	slot.Finish(c)
	if err != nil && !backend.IsNotStarted(err) {
		req.mayHaveRun = true
	}
	return err
}

func schedulerResult(ctx context.Context, err error) scheduler.Result {
	switch {
	case err == nil:
		return scheduler.ResultDone
	case ctx.Err() != nil, isCallerWriteError(err):
		return scheduler.ResultAbandoned
	}
	return scheduler.ResultFailed
}

// shouldRetry reports whether to send a failed request again. A request that may
// have run is retried only if it is repeatable and the caller can still get a
// complete answer.
func (h *Handler) shouldRetry(ctx context.Context, req *request, err error, attempt int) bool {
	var interrupted *backend.InterruptedError
	switch {
	case ctx.Err() != nil, attempt+1 >= maxAttempts:
		return false
	case backend.IsNotStarted(err):
		return h.budget.tryTake()
	case errors.As(err, &interrupted):
		return !req.atMostOnce && !req.cannotContinue() && h.budget.tryTake()
	}
	return false
}

// cannotContinue reports whether an answer was started that no other server can continue.
func (req *request) cannotContinue() bool {
	return req.responseStarted && (req.nonResumable || req.service.Kind != config.ServiceKindEngine)
}

// finalError returns the error for the caller. Once the request may have run, it is
// an UnknownOutcomeError.
func (req *request) finalError(err error) error {
	if req.mayHaveRun || req.responseStarted {
		return &UnknownOutcomeError{Cause: err}
	}
	return err
}

// claim claims the key of a keyed at-most-once request before its first exchange.
func (h *Handler) claim(ctx context.Context, req *request) error {
	if !req.atMostOnce || req.key == "" || req.claimed {
		return nil
	}
	k := claims.KeyOf(req.org.Name, req.key)
	r, err := h.Claims.Claim(ctx, k, req.attemptID)
	if err != nil {
		h.Claims.Abandon(k, req.attemptID)
		return err
	}
	if r.State != claims.Granted {
		return &KeyTakenError{Done: r.State == claims.Done}
	}
	req.claimed = true
	req.fence = fmt.Sprintf("%d/%d", k.Shard(), r.Fence)
	return nil
}

// endClaim records that a claimed request is done, or abandons the claim if it did
// not run. With an unknown outcome the claim stays open.
func (h *Handler) endClaim(ctx context.Context, req *request, err error) {
	if !req.claimed {
		return
	}
	k := claims.KeyOf(req.org.Name, req.key)
	switch {
	case err == nil:
		// Don't delay the answer: without this record the key stays taken, which is
		// safe.
		go func() { _ = h.Claims.End(context.WithoutCancel(ctx), k, req.attemptID, false) }()
	case !req.mayHaveRun:
		h.Claims.Abandon(k, req.attemptID)
	}
}

// slotRequest returns the slot request of a caller's request.
func (h *Handler) slotRequest(req *request, promptTokens int, prefix []uint64) shard.SlotRequest {
	slotReq := shard.SlotRequest{
		Class:        req.class.Name,
		Organisation: req.org.Name,
		PromptTokens: promptTokens,
		Arrival:      req.arrival,
		PrefixHashes: prefix,
	}
	if req.class.Deadline > 0 {
		slotReq.Deadline = req.arrival.Add(req.class.Deadline)
	}
	return slotReq
}
