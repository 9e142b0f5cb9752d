package box

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/pause"
)

// Stop ends the box as planned: it hands its shards over, still takes callers
// for a moment while the balancer notices, finishes every request in progress,
// and only then ends. It is bounded by [limits] stop, and by ctx.
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
	if err := b.callers.Shutdown(ctx); err != nil {
		level.Warn(b.logger).Log("msg", "planned stop cut short", "cut", b.entry.InFlight(), "err", err)
		b.callers.Close()
	}
	b.drain(ctx)
	b.cancel()
	b.admins.Close()
	b.peers.Stop()
	b.finish()
	level.Info(b.logger).Log("msg", "stopped")
}

func (b *Box) stopContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if b.settings.Limits.StopTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, b.settings.Limits.StopTimeout)
}

// drain waits until no reservation of this box is left with any owner.
func (b *Box) drain(ctx context.Context) {
	for b.broker.ReservationCount() > 0 && ctx.Err() == nil {
		pause.For(ctx, heldCheck)
	}
}
