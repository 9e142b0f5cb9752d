package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retriesPerSuccess is the budget that each successful request adds.
	retriesPerSuccess = 0.1
	// maxRetryBudget is the maximum budget, which is also the initial one.
	maxRetryBudget = 20
	// maxAttempts bounds the exchanges of one request.
	maxAttempts    = 4
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// retryBudget limits retries to a fraction of the successful requests, so that
// retries don't multiply the load during an outage.
type retryBudget struct {
	mu        sync.Mutex
	available float64
}

func newRetryBudget() *retryBudget { return &retryBudget{available: maxRetryBudget} }

func (b *retryBudget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxRetryBudget, b.available+retriesPerSuccess)
}

// tryTake takes one retry from the budget and reports whether there was one.
func (b *retryBudget) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// backoff waits before a retry, counted from 0, using exponential backoff with full
// jitter.
func backoff(ctx context.Context, attempt int) error {
	d := min(initialBackoff<<attempt, maxBackoff)
	t := time.NewTimer(rand.N(d) + 1)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
