package routerd

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

// suspensionCheckInterval only affects logging. Code that depends on the age of data checks it
// when it uses the data.
const suspensionCheckInterval = 500 * time.Millisecond

// logSuspensions logs suspensions of the machine until ctx is done.
func (d *Daemon) logSuspensions(ctx context.Context) {
	ticker := time.NewTicker(suspensionCheckInterval)
	defer ticker.Stop()
	previous := clock.TotalSuspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			total := clock.TotalSuspended()
			if total > previous {
				_ = level.Warn(d.logger).Log("msg", "machine was suspended", "for", total-previous, "total", total, "outcome", "the age of routing data includes the suspension")
			}
			previous = total
		}
	}
}
