package routerd

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/gateway"
)

const (
	// noticeTime is how long the balancer takes to notice that the box is not
	// ready: two questions a second apart, and what is on its way then.
	noticeTime = 3500 * time.Millisecond
	// killMargin is left between the last answer and the kill.
	killMargin = 600 * time.Millisecond
	stopCheck  = 20 * time.Millisecond
	// streamTime is how long after the signal streams are still begun. The
	// balancer's last callers come until then.
	streamTime = 2500 * time.Millisecond
)

// Stop is a planned stop: the box says that it is not ready, goes on serving until
// the balancer has noticed and no request is in progress, and ends before the
// grace time does.
func (d *Daemon) Stop() {
	begun := clock.Now()
	end := begun.Add(d.settings.Load().Bounds.Grace - killMargin)
	d.stop.Store(&gateway.Shutdown{RefuseStreamsAfter: begun.Add(streamTime), Deadline: end})
	// Kept connections are closed as soon as they rest, so that their callers go
	// elsewhere with the next request.
	d.connections.closeResting()
	_ = level.Info(d.logger).Log("msg", "stopping", "in_progress", d.gateway.InProgress())
	d.duties.handOver()
	d.waitUntilIdle(begun.Add(min(noticeTime, clock.Until(end))), end)
	left := d.gateway.InProgress()
	d.gateway.CancelAll()
	ctx, cancel := context.WithTimeout(context.Background(), killMargin/3)
	defer cancel()
	_ = d.callerPort.Close()
	d.connections.closeAll(ctx)
	d.duties.flush()
	d.roster.Deregister(ctx)
	d.cancel()
	_ = d.callers.Close()
	_ = d.ready.Close()
	_ = d.metricsServer.Close()
	_ = d.snapshotServer.Close()
	_ = d.peerPort.Close()
	_ = level.Info(d.logger).Log("msg", "stopped", "given_up", left, "after", clock.Since(begun))
}

// waitUntilIdle waits until no request is in progress, at least until the earliest
// time and at most until the latest.
func (d *Daemon) waitUntilIdle(earliest, latest time.Time) {
	for now := clock.Now(); now.Before(latest); now = clock.Now() {
		if now.After(earliest) && d.gateway.InProgress() == 0 {
			return
		}
		time.Sleep(stopCheck)
	}
}

// Close ends the daemon at once, as a crash does.
func (d *Daemon) Close() {
	d.cancel()
	_ = d.callers.Close()
	_ = d.ready.Close()
	_ = d.metricsServer.Close()
	_ = d.snapshotServer.Close()
	_ = d.peerPort.Close()
	d.wg.Wait()
	_ = d.metrics.Close()
}
