package routerd

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/snapshot"
	"headhill.example/headhill/pkg/tunnel"
)

const (
	// joinJitter is the upper bound of the random time for which a box that knows no others waits
	// for them to register, so that after a simultaneous start only a few boxes read the store.
	joinJitter = time.Second
	// joinPollInterval is the interval between roster reads during that time.
	joinPollInterval = 150 * time.Millisecond
	// joinTimeout is how long a box retries failed roster reads before it goes on without peers and
	// reads table and servers from the store. Many boxes that do so at once saturate the store's link:
	// with hundreds of boxes and 10,000 servers for twenty seconds.
	joinTimeout = 500 * time.Millisecond
	// snapshotTimeoutShare is the timeout for the first byte of a snapshot from another box, as a
	// fraction of BoundSettings.Apply. The rest of that time must suffice to read a large table from
	// the store instead.
	snapshotTimeoutShare = 0.15
	// maxSnapshotConns limits the connections over which other boxes fetch snapshots. All boxes of a
	// hall may fetch from the same one.
	maxSnapshotConns = 512
	// peerListenAttempts limits the attempts to find a port that is free for both TCP and UDP if the
	// settings allow any port.
	peerListenAttempts = 8
)

// listenPeer opens the peer port for datagrams over UDP and snapshot requests over TCP.
func (d *Daemon) listenPeer(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	for range peerListenAttempts {
		if d.snapshotListener, err = net.Listen("tcp", net.JoinHostPort(host, port)); err != nil {
			return err
		}
		if d.peerConn, err = net.ListenPacket("udp", d.snapshotListener.Addr().String()); err == nil {
			return nil
		}
		_ = d.snapshotListener.Close()
		if port != "0" {
			return err
		}
	}
	return err
}

// servePeers creates the server from which other boxes fetch snapshots and that opens tunnels for them.
func (d *Daemon) servePeers(logger log.Logger) {
	server := snapshot.NewServer(snapshot.ServerDeps{
		Directory: d.directory, IsPeerHost: d.roster.IsPeerHost, OnUnknownHost: d.checker.RequestRosterRefresh, Boxes: d.roster.Snapshot, Logger: logger,
	})
	limits := d.settings.Load().Limits
	d.tunnels = tunnel.NewServer(tunnel.ServerDeps{
		IsPeerHost: d.roster.IsPeerHost, IsServer: d.isServer, Dial: d.serverDialer.DialDirect, ReachesOthers: d.serverDialer.ReachesOthers, Isolated: d.paths.Isolated, RetryDirect: d.retryDirect,
		Busy: d.needsCapacity, MaxTunnels: maxTunnels(limits), Logger: logger,
	})
	d.snapshotListener = netutil.LimitListener(d.snapshotListener, maxSnapshotConns+maxTunnels(limits))
	d.snapshotServer = &http.Server{Handler: d.tunnels.Wrap(server.Handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// joinAndSync joins the fleet and then keeps the directory up to date until the daemon stops. It
// joins first because the roster determines when this box checks the store.
func (d *Daemon) joinAndSync() {
	d.join(d.ctx)
	var wg conc.WaitGroup
	// Table and servers can be fetched with a partial roster, so don't wait for the full one.
	wg.Go(func() { d.completeRoster(d.ctx) })
	wg.Go(func() { d.checker.Run(d.ctx) })
	wg.Go(func() {
		d.directory.Follow(d.ctx, directory.FollowOptions{
			Source: d.source, Providers: d.snapshots, Timing: d.directoryTiming(), Reader: d.roster.IsReader,
		})
	})
	wg.Wait()
}

// join registers this box in the roster and reads the other boxes.
func (d *Daemon) join(ctx context.Context) {
	start := clock.Now()
	wait := rand.N(joinJitter)
	for d.roster.Count() == 1 && ctx.Err() == nil {
		err := d.refreshRoster(ctx)
		if err != nil && clock.Since(start) >= joinTimeout {
			_ = level.Info(d.logger).Log("msg", "failed to read roster", "err", err, "outcome", "reading table and servers from the store")
			return
		}
		if d.roster.Count() > 1 || err == nil && clock.Since(start) >= wait {
			break
		}
		pause.For(ctx, joinPollInterval)
	}
	if d.roster.Count() == 1 {
		d.refreshRosterNow(ctx)
	}
	_ = level.Info(d.logger).Log("msg", "joined", "boxes", d.roster.Count(), "providers", len(d.roster.Providers()), "reader", d.roster.IsReader(), "after", clock.Since(start))
}

// refreshRoster reads a possibly stale roster once.
func (d *Daemon) refreshRoster(ctx context.Context) error {
	_, err := d.roster.RefreshPageStale(ctx)
	return err
}

// refreshRosterNow reads the current roster, as a stale one may lack boxes that have just registered.
func (d *Daemon) refreshRosterNow(ctx context.Context) {
	if err := d.roster.RefreshPage(ctx); err != nil {
		_ = level.Info(d.logger).Log("msg", "failed to read roster", "err", err, "outcome", "reading table and servers from the store")
	}
}

// completeRoster obtains the full roster if this box knows only part of it. Boxes that may become
// readers read it from the store; all others fetch it from another box, so that a simultaneous
// start of many boxes does not saturate the store's link. 985 boxes that each read all entries, 250 kB
// and more than once, filled it.
func (d *Daemon) completeRoster(ctx context.Context) {
	d.readingRoster.Store(true)
	defer d.readingRoster.Store(false)
	var err error
	switch {
	case !d.roster.Complete() && !d.roster.IsReaderCandidate():
		_, err = d.fetchRoster(ctx, true)
	case d.roster.IsReaderCandidate() && !d.roster.IsReader():
		_, err = d.roster.Refresh(ctx)
	}
	if err != nil {
		_ = level.Info(d.logger).Log("msg", "failed to read roster", "err", err, "outcome", "retried with the next check")
	}
}

// fetchRoster fetches the roster from another box, or from the store if that fails. On the first
// fetch it waits for boxes that are still reading the roster themselves. It reports whether new boxes
// were found.
func (d *Daemon) fetchRoster(ctx context.Context, first bool) (bool, error) {
	snap, err := d.snapshots.Boxes(ctx, first)
	if err == nil {
		return d.roster.ApplySnapshot(snap), nil
	}
	_ = level.Info(d.logger).Log("msg", "failed to fetch roster from another box", "err", err, "outcome", "reading it from the store")
	return d.roster.RefreshStale(ctx)
}

// discoverBoxes refreshes the roster and reports whether new boxes were found. It does nothing while
// completeRoster runs: during a simultaneous start, datagrams from boxes not known yet would make
// every box read the roster again and delay the readers: of 985 boxes each read 125 KB twice more,
// which delayed the readers by two seconds.
func (d *Daemon) discoverBoxes(ctx context.Context) bool {
	if d.readingRoster.Load() {
		return false
	}
	found, err := d.refreshOrFetchRoster(ctx)
	if err != nil {
		_ = level.Info(d.logger).Log("msg", "failed to read roster", "err", err, "outcome", "retried on the next datagram from an unknown box")
		return false
	}
	return found
}

// refreshOrFetchRoster reads the roster from the store if that returns all boxes at once, and
// otherwise fetches it from another box. It reports whether new boxes were found.
func (d *Daemon) refreshOrFetchRoster(ctx context.Context) (bool, error) {
	if !d.roster.ListTruncated() {
		found, err := d.roster.RefreshPageStale(ctx)
		if err != nil || !d.roster.ListTruncated() {
			return found, err
		}
	}
	return d.fetchRoster(ctx, false)
}

// providers returns the addresses of the boxes from which this one fetches snapshots. If it knows
// no other box it refreshes the roster first, as earlier reads may have failed.
func (d *Daemon) providers() []string {
	if d.roster.Count() == 1 && !d.roster.IsReader() {
		if err := d.refreshRoster(d.ctx); err != nil {
			_ = level.Info(d.logger).Log("msg", "failed to read roster", "err", err, "outcome", "reading table and servers from the store")
		}
	}
	entries := d.roster.Providers()
	addresses := make([]string, 0, len(entries))
	for _, e := range entries {
		addresses = append(addresses, e.Peer)
	}
	return addresses
}

// snapshotTimeout returns the timeout for the first byte of a snapshot.
func (d *Daemon) snapshotTimeout() time.Duration {
	return time.Duration(snapshotTimeoutShare * float64(d.settings.Load().Bounds.Apply))
}
