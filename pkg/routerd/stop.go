package routerd

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/gateway"
)

const (
	// balancerNoticeTime is how long the load balancer may still send requests after the box has
	// become not ready: two probes one second apart, and the connections already under way.
	balancerNoticeTime = 3500 * time.Millisecond
	// killMargin is reserved for cleanup between the last response and the kill.
	killMargin       = 600 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
	// startTime is how long after the signal streams, and other requests that may outlast the grace period, are sent to
	// servers. The load balancer sends its last requests within this time.
	startTime = 2500 * time.Millisecond
)

// Stop stops the daemon gracefully. The box becomes not ready and serves requests until the load
// balancer has noticed and none is in flight, at most until shortly before the grace period ends.
func (d *Daemon) Stop() {
	start := clock.Now()
	deadline := start.Add(d.settings.Load().Bounds.Grace - killMargin)
	d.shutdown.Store(&gateway.Shutdown{StartUntil: start.Add(startTime), Deadline: deadline})
	// Close keep-alive connections once they are idle, so that callers send their next request to
	// another box.
	d.conns.closeIdle()
	d.tunnels.Stop()
	_ = level.Info(d.logger).Log("msg", "stopping", "in_progress", d.gateway.InProgress(), "tunnels", d.tunnels.Open())
	d.duties.handOver()
	d.streams.HandOver()
	d.waitUntilIdle(start.Add(min(balancerNoticeTime, clock.Until(deadline))), deadline)
	cancelled := d.gateway.InProgress()
	d.gateway.CancelAll()
	ctx, cancel := context.WithTimeout(context.Background(), killMargin/3)
	defer cancel()
	_ = d.callerListener.Close()
	d.conns.drainAndClose(ctx)
	d.duties.flush()
	d.streams.HandOver()
	d.roster.Deregister(ctx)
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.readyServer.Close()
	_ = d.metricsServer.Close()
	_ = d.snapshotServer.Close()
	d.tunnels.Close()
	_ = d.peerConn.Close()
	_ = level.Info(d.logger).Log("msg", "stopped", "given_up", cancelled, "after", clock.Since(start))
}

// waitUntilIdle waits until no request is in flight here or in a tunnel of another box, but at least until earliest and at most until
// latest.
func (d *Daemon) waitUntilIdle(earliest, latest time.Time) {
	for now := clock.Now(); now.Before(latest); now = clock.Now() {
		if now.After(earliest) && d.gateway.InProgress() == 0 && d.tunnels.Open() == 0 {
			return
		}
		time.Sleep(idlePollInterval)
	}
}

// Close stops the daemon immediately, without draining.
func (d *Daemon) Close() {
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.readyServer.Close()
	_ = d.metricsServer.Close()
	_ = d.snapshotServer.Close()
	d.tunnels.Close()
	_ = d.peerConn.Close()
	d.wg.Wait()
	_ = d.metrics.Close()
}
