package box

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/pause"
)

// Stop shuts the box down gracefully. It hands over its shards, keeps accepting callers for
// the stop notice while the load balancer reacts, finishes the requests in progress, and
// then exits. It is limited by [limits] stop and by ctx.
func (b *Box) Stop(ctx context.Context) {
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	level.Info(b.logger).Log("msg", "stopping", "in_progress", b.entry.InFlight(), "limit", b.settings.Limits.StopTimeout)
	b.tracker.SetServing(time.Now(), false)
	b.links.BroadcastHeartbeat()
	ctx, cancel := b.stopContext(ctx)
	defer cancel()
	pause.For(ctx, b.settings.Limits.StopNotice)
	if err := b.callerServer.Shutdown(ctx); err != nil {
		level.Warn(b.logger).Log("msg", "planned stop cut short", "cut", b.entry.InFlight(), "err", err)
		b.callerServer.Close()
	}
	b.drain(ctx)
	b.cancel()
	b.adminServer.Close()
	b.peerServer.Stop()
	b.waitAndClose()
	level.Info(b.logger).Log("msg", "stopped")
}

func (b *Box) stopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if b.settings.Limits.StopTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, b.settings.Limits.StopTimeout)
}

// drain waits until this box has no reservations left.
func (b *Box) drain(ctx context.Context) {
	for b.broker.ReservationCount() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
}
