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
)

const (
	// joinSpread bounds the time, drawn by each box, for which one that sees no other waits
	// for others: where all start at once, a few of them read the store for the rest.
	joinSpread = time.Second
	// joinPause is how often such a box looks.
	joinPause = 150 * time.Millisecond
	// joinMost is how long a box tries to see others before it asks the store for table and servers
	// all the same, which it does each time only after it has looked once more. Where hundreds start
	// at once and read the list of 10,000 servers themselves, the store's link is taken for twenty
	// seconds.
	joinMost = 500 * time.Millisecond
	// snapshotShare is the part of the time that a change may take to be in force for which
	// a box waits for others to begin to send it. After it the store is asked, over a link
	// that may need a third of that time for a large table.
	snapshotShare = 0.15
	// snapshotsAtOnce bounds the connections on which other boxes ask this one: a hall asks
	// one box, or a few.
	snapshotsAtOnce = 512
	// peerTries is how often a port is tried that is free for both protocols, where any
	// port will do.
	peerTries = 8
)

// openPeer opens the port at which other boxes are heard, for datagrams and for questions.
func (d *Daemon) openPeer(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	for range peerTries {
		if d.snapshotPort, err = net.Listen("tcp", net.JoinHostPort(host, port)); err != nil {
			return err
		}
		if d.peerPort, err = net.ListenPacket("udp", d.snapshotPort.Addr().String()); err == nil {
			return nil
		}
		_ = d.snapshotPort.Close()
		if port != "0" {
			return err
		}
	}
	return err
}

// serveSnapshots lets other boxes ask for what this one knows.
func (d *Daemon) serveSnapshots(logger log.Logger) {
	server := snapshot.NewServer(snapshot.ServerDeps{
		Directory: d.directory, IsPeerHost: d.roster.IsPeerHost, OnUnknownHost: d.checker.RequestRosterRefresh, Boxes: d.roster.Snapshot, Logger: logger,
	})
	d.snapshotPort = netutil.LimitListener(d.snapshotPort, snapshotsAtOnce)
	d.snapshotServer = &http.Server{Handler: server.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// follow joins the other boxes, and then keeps the belief up to date until the box ends. When
// this box checks the store follows from who else is there.
func (d *Daemon) follow() {
	d.join(d.ctx)
	var wg conc.WaitGroup
	// Some of the others are enough to ask for table and list, also while those that know all of
	// them are away.
	wg.Go(func() { d.completeRoster(d.ctx) })
	wg.Go(func() { d.checker.Run(d.ctx) })
	wg.Go(func() {
		d.directory.Follow(d.ctx, directory.FollowOptions{
			Source: d.source, Providers: d.snapshots, Timing: d.timing(), Reader: d.roster.IsReader,
		})
	})
	wg.Wait()
}

// join enters this box in the roster and looks who else is there.
func (d *Daemon) join(ctx context.Context) {
	begun := clock.Now()
	wait := rand.N(joinSpread)
	for d.roster.Count() == 1 && ctx.Err() == nil {
		err := d.lookOnce(ctx)
		if err != nil && clock.Since(begun) >= joinMost {
			_ = level.Info(d.logger).Log("msg", "others not seen", "err", err, "outcome", "the store is asked")
			return
		}
		if d.roster.Count() > 1 || err == nil && clock.Since(begun) >= wait {
			break
		}
		pause.For(ctx, joinPause)
	}
	if d.roster.Count() == 1 {
		d.lookNow(ctx)
	}
	_ = level.Info(d.logger).Log("msg", "joined", "boxes", d.roster.Count(), "providers", len(d.roster.Providers()), "reader", d.roster.IsReader(), "after", clock.Since(begun))
}

// lookOnce looks once who else is there.
func (d *Daemon) lookOnce(ctx context.Context) error {
	_, err := d.roster.RefreshPageStale(ctx)
	return err
}

// lookNow looks who else is there now: what was seen so far may be from before the others entered.
func (d *Daemon) lookNow(ctx context.Context) {
	if err := d.roster.RefreshPage(ctx); err != nil {
		_ = level.Info(d.logger).Log("msg", "others not seen", "err", err, "outcome", "the store is asked")
	}
}

// completeRoster reads all boxes where this one has seen only some: a box that reads for others by
// what it has seen, as they are now; others ask those. Of 985 boxes that started at once each read
// all entries for itself, 250 kB, again and again, and the store's link was full.
func (d *Daemon) completeRoster(ctx context.Context) {
	d.completing.Store(true)
	defer d.completing.Store(false)
	var err error
	switch {
	case !d.roster.Complete() && !d.roster.IsReaderCandidate():
		_, err = d.fetchRoster(ctx, true)
	case d.roster.IsReaderCandidate() && !d.roster.IsReader():
		_, err = d.roster.Refresh(ctx)
	}
	if err != nil {
		_ = level.Info(d.logger).Log("msg", "others not seen", "err", err, "outcome", "seen with the next check")
	}
}

// fetchRoster asks other boxes who is there, and the store if they do not tell. It returns whether
// that made any box known.
func (d *Daemon) fetchRoster(ctx context.Context, first bool) (bool, error) {
	c, err := d.snapshots.Boxes(ctx, first)
	if err == nil {
		return d.roster.ApplySnapshot(c), nil
	}
	_ = level.Info(d.logger).Log("msg", "boxes not had from another box", "err", err, "outcome", "the store is asked")
	return d.roster.RefreshStale(ctx)
}

// look looks who else is there. It returns whether that made any box known. While all boxes are being
// read anyway it does nothing: of 985 boxes that start, each hears others that it does not know yet,
// and looked twice more for that, 125 KB each time, which kept the boxes that read for all from
// reading for two seconds.
func (d *Daemon) look(ctx context.Context) bool {
	if d.completing.Load() {
		return false
	}
	grown, err := d.lookFurther(ctx)
	if err != nil {
		_ = level.Info(d.logger).Log("msg", "others not seen", "err", err, "outcome", "looked for again when one is heard")
		return false
	}
	return grown
}

// lookFurther looks at as many boxes as the store gives at once, or asks another box for all where
// there are more.
func (d *Daemon) lookFurther(ctx context.Context) (bool, error) {
	if !d.roster.ListTruncated() {
		grown, err := d.roster.RefreshPageStale(ctx)
		if err != nil || !d.roster.ListTruncated() {
			return grown, err
		}
	}
	return d.fetchRoster(ctx, false)
}

// providers are the addresses of the boxes that this one asks for what it lacks. While it sees
// nobody it looks first: a connection to the store may have come up late.
func (d *Daemon) providers() []string {
	if d.roster.Count() == 1 && !d.roster.IsReader() {
		if err := d.lookOnce(d.ctx); err != nil {
			_ = level.Info(d.logger).Log("msg", "others not seen", "err", err, "outcome", "the store is asked")
		}
	}
	entries := d.roster.Providers()
	addresses := make([]string, 0, len(entries))
	for _, e := range entries {
		addresses = append(addresses, e.Peer)
	}
	return addresses
}

func (d *Daemon) snapshotWait() time.Duration {
	return time.Duration(snapshotShare * float64(d.settings.Load().Bounds.Apply))
}
