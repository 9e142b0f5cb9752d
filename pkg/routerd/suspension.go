package routerd

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

// awayCheck is how often a box looks whether its machine was suspended. Nothing waits for it: ages
// are judged where they are used.
const awayCheck = 500 * time.Millisecond

// watchAway logs suspensions until ctx ends.
func (d *Daemon) watchAway(ctx context.Context) {
	ticker := time.NewTicker(awayCheck)
	defer ticker.Stop()
	before := clock.TotalSuspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			total := clock.TotalSuspended()
			if total > before {
				_ = level.Warn(d.logger).Log("msg", "the machine was suspended", "for", total-before, "total", total, "outcome", "what is known is as old as it is")
			}
			before = total
		}
	}
}
