package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// budgetShare is the number of retries that each success pays for.
	budgetShare = 0.1
	// budgetMost is the most that can be saved up, and what a box starts with.
	budgetMost = 20
	// attemptsMost bounds the servers that one request is sent to.
	attemptsMost = 4
	pauseFirst   = 20 * time.Millisecond
	pauseMost    = time.Second
)

// retryBudget bounds retries to a share of successes, so that retries can't
// multiply the load when everything fails.
type retryBudget struct {
	mu   sync.Mutex
	left float64
}

func newRetryBudget() *retryBudget { return &retryBudget{left: budgetMost} }

func (b *retryBudget) succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMost, b.left+budgetShare)
}

// spend takes one retry; false means that there is none left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// pause waits before retry n, counted from 0, with full jitter.
func pause(ctx context.Context, n int) error {
	d := min(pauseFirst<<n, pauseMost)
	t := time.NewTimer(rand.N(d) + 1)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
