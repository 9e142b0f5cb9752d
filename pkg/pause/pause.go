// Package pause provides interruptible sleeps and randomized delays.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
