package routerd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/julienschmidt/httprouter"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"headhill.example/headhill/pkg/announce"
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/duties"
	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/lease"
	"headhill.example/headhill/pkg/loadshare"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/readiness"
	"headhill.example/headhill/pkg/retry"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/snapshot"
	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/telemetry"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// serverDial is how long a connection to a server may take to come up.
	serverDial = 300 * time.Millisecond
	// headerMost and the timeouts bound callers before any table is known; they
	// stand above what tables allow.
	headerMost    = 64 << 10
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// heldShare is the part of the memory that callers' bodies may take, with answers until they are
	// passed on.
	heldShare = 4
	// callerShare is the part of the descriptors that callers' connections may take;
	// reservedDescriptors are kept for files and ports.
	callerShare         = 0.6
	reservedDescriptors = 200
	// memoryShare is the part of the memory that the runtime aims to stay within.
	memoryShare = 0.8
	// requestsPerMB bounds the requests in progress by the memory.
	requestsPerMB = 16
	// fleetLeast is the number of boxes that share the slack of the retry budget
	// at the least: others may start before this box hears of them.
	fleetLeast = 16
)

// Adapter is what the daemon needs of the platform that it runs on.
type Adapter struct {
	Protocol gateway.Protocol
	// Source returns where routes and servers come from.
	Source func(StoreAccess) directory.Source
	// Roster returns where boxes enter themselves.
	Roster func(StoreAccess) roster.Store
	// Lease returns where the lease of the fleet's duties is kept.
	Lease func(StoreAccess) lease.Store
	// Quarantine returns where the record of held requests is kept.
	Quarantine func(StoreAccess) quarantine.Store
	// Cloud returns where the duties' calls go.
	Cloud func(address func() string) duties.Cloud
}

// Daemon is one routing box.
type Daemon struct {
	settings atomic.Pointer[Settings]
	logger   log.Logger

	directory *directory.Directory
	source    directory.Source
	roster    *roster.Roster
	peers     *datagram.Port
	checker   *announce.Checker
	sharer    *loadshare.Sharer
	sweeper   *roster.Sweeper
	snapshots *snapshot.Client
	// completing says that all boxes are being read.
	completing atomic.Bool
	upstream   *upstream.Client
	duties     *fleetDuties
	// quarantine keeps requests of which servers crash away from them.
	quarantine *quarantine.Quarantine
	budget     *retry.Budget
	// limiter bounds what goes to limited servers.
	limiter *fleetlimit.Limiter
	calls   *storeCalls
	gateway *gateway.Gateway
	metrics *telemetry.Metrics

	callers, ready, metricsServer, snapshotServer    *http.Server
	connections                                      *connections
	callerPort, readyPort, metricsPort, snapshotPort net.Listener
	peerPort                                         net.PacketConn

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	stop   atomic.Pointer[gateway.Shutdown]
	// checkFailed says that the last check of the store failed.
	checkFailed atomic.Bool
}

// New opens the ports and puts the parts together. Nothing runs before Start.
func New(s Settings, a Adapter, logs *logflags.Loggers) (*Daemon, error) {
	metrics, err := telemetry.New()
	if err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d := &Daemon{logger: logs.For(logflags.Box), metrics: metrics, upstream: upstream.NewClient(serverDial)}
	d.settings.Store(&s)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * memoryShare))
	if err := d.open(s.Listen); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.directory = directory.New(logs.For(logflags.Directory))
	d.calls = newStoreCalls(s.CallBudget)
	unusable := newLeftOut(logs.For(logflags.Directory))
	if err := metrics.AddGauges(append(beliefGauges(d.directory), d.calls.gauge(), unusable.gauge())...); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	access := StoreAccess{Address: func() string { return d.settings.Load().Store }, Admit: d.calls.admit, OnUnusableEntry: unusable.note}
	d.source = a.Source(access)
	self := roster.Entry{Box: s.Box.ID, Hall: s.Box.Hall, Peer: d.peerPort.LocalAddr().String(), LinkMbps: s.Limits.LinkMbps, Level: forms.Level}
	d.roster = roster.New(a.Roster(access), self, storeLimits, logs.For(logflags.Directory))
	balance := balancer.New(logs.For(logflags.Balancer))
	d.limiter = fleetlimit.New(s.Box.ID, logs.For(logflags.Balancer))
	balance.SetLimiter(d.limiter)
	peerLogger := logs.For(logflags.Peer)
	d.peers = datagram.NewPort(datagram.Deps{Box: s.Box.ID, Conn: d.peerPort, IsPeer: d.roster.IsPeer, Logger: peerLogger})
	d.checker = announce.New(announce.Deps{
		Port: d.peers, Timing: d.checkTiming, Check: d.checkStore, RefreshRoster: d.look, Peers: d.roster.Peers, Rank: d.roster.Rank, Directory: d.directory, Logger: peerLogger,
	})
	d.snapshots = snapshot.NewClient(snapshot.ClientDeps{Providers: d.providers, ResponseTimeout: d.snapshotWait})
	d.sweeper = roster.NewSweeper(d.roster, d.peers, peerLogger)
	d.sharer = loadshare.New(loadshare.Deps{
		Box: s.Box.ID, Hall: s.Box.Hall, Port: d.peers, Balancer: balance, Entries: d.roster.Entries, Logger: peerLogger,
	})
	d.duties = newFleetDuties(d, a, access, balance, logs.For(logflags.Duties))
	if err := metrics.AddGauges(d.duties.gauges()...); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d.quarantine = quarantine.New(quarantine.Deps{
		Port: d.peers, Peers: d.roster.Peers, Store: a.Quarantine(access), Timeout: storeLimits.FirstByte, Logger: logs.For(logflags.Quarantine),
	})
	if err := metrics.AddGauges(quarantineGauge(d.quarantine), formsGauge(d.roster), signalsGauge(balance.Signals())); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d.budget = retry.NewBudget(d.retryLimits())
	d.roster.OnRefresh(d.setShares)
	d.gateway = gateway.New(gateway.Deps{
		Protocol: a.Protocol, Directory: d.directory, Balancer: balance,
		Budget: d.budget, Upstream: d.upstream, Quarantine: d.quarantine, Recorder: recorder{metrics}, Usage: d.duties, Logger: logs.For(logflags.Gateway),
		Hall: s.Box.Hall, Shutdown: d.stop.Load, RegionOf: d.regionOf,
		Limits: gateway.Limits{
			MaxRequests:       int64(s.Limits.MemoryMB) * requestsPerMB,
			MaxHeldBytes:      int64(s.Limits.MemoryMB<<20) / heldShare,
			LostServerGrace:   s.Bounds.Drain / 2,
			MaxDenialTableAge: s.Bounds.Apply,
		},
	})
	if err := metrics.AddGauges(heldGauge(d.gateway)); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d.quarantine.OnHeld(d.gateway.CancelQuarantined)
	d.serveHTTP()
	d.serveSnapshots(logs.For(logflags.Peer))
	return d, nil
}

// checkStore reads the roster, which tells the store's revision, and brings the
// directory up to it.
func (d *Daemon) checkStore(ctx context.Context) (directory.Check, bool) {
	asked := clock.Now()
	revision, err := d.roster.RefreshByRank(ctx)
	if ctx.Err() != nil {
		return directory.Check{}, false
	}
	if failed := err != nil; d.checkFailed.Swap(failed) != failed {
		d.logStore(revision, err)
	}
	if err != nil {
		return directory.Check{}, false
	}
	d.sweeper.Sweep(ctx)
	d.readEvacuations(ctx)
	return d.directory.Verify(ctx, revision, asked, d.timing())
}

func (d *Daemon) logStore(revision uint64, err error) {
	if err != nil {
		_ = level.Warn(d.logger).Log("msg", "store lost", "err", err, "outcome", "the belief stays as it is")
		return
	}
	_ = level.Info(d.logger).Log("msg", "store regained", "revision", revision)
}

const (
	// evacuationsShare is the part of the time that an evacuation may take to be in force after
	// which the store is asked again which halls are evacuated, with the next check.
	evacuationsShare = 0.35
	// evacuationsRare is how often it is asked where no evacuation is expected.
	evacuationsRare = 20 * time.Second
)

// readEvacuations asks the store which halls are evacuated, if that is not known well enough.
func (d *Daemon) readEvacuations(ctx context.Context) {
	asked := clock.Now()
	if asked.Sub(d.directory.EvacuationsConfirmedAt()) < d.evacuationsAge() {
		return
	}
	ctx, cancel := stall.WithLimits(ctx, storeLimits)
	defer cancel()
	if err := d.directory.ReadEvacuations(ctx, d.source, asked); err != nil {
		_ = level.Info(d.logger).Log("msg", "evacuations not read", "err", err, "outcome", "asked again with the next check")
	}
}

// evacuationsAge is how old what is known of evacuations may grow before the store is asked again.
func (d *Daemon) evacuationsAge() time.Duration {
	bound := d.settings.Load().Bounds.Evacuate
	if bound == 0 {
		return evacuationsRare
	}
	return time.Duration(evacuationsShare * float64(bound))
}

// checkTiming lets a dead watch be found out, and the change that it missed be read,
// within the time that a change may take to be in force.
func (d *Daemon) checkTiming() announce.Timing {
	apply := d.settings.Load().Bounds.soonest()
	return announce.Timing{Interval: apply * 45 / 100, Stagger: apply * 20 / 100}
}

// timing bounds the age of the belief, together with checkTiming.
func (d *Daemon) timing() directory.Timing {
	apply := d.settings.Load().Bounds.Apply
	return directory.Timing{
		WatchWait:      watchWait,
		AnswerTimeout:  storeLimits.FirstByte,
		MaxAnswerTime:  storeLimits.Total,
		MaxLag:         apply * 50 / 100,
		BatchDelay:     apply * 10 / 100,
		InitialBackoff: apply * 3 / 100,
		MaxBackoff:     apply * 60 / 100,
	}
}

const (
	// watchWait is how long a watch waits. Checks find dead ones out long before.
	watchWait = 20 * time.Second
)

// storeLimits bound a call to the store. A calm store begins to answer within some
// milliseconds. The most only ends what would trickle for ever: where many boxes read a
// large table at once, each answer takes as long as the store's link needs for all, and to
// begin anew would make it longer still.
var storeLimits = stall.Limits{FirstByte: 700 * time.Millisecond, Idle: 700 * time.Millisecond, Total: 5 * time.Minute}

// setShares gives this box its parts of what the fleet may do.
func (d *Daemon) setShares() {
	d.budget.SetLimits(d.retryLimits())
	d.calls.rates.SetBudget(d.settings.Load().CallBudget.Share(d.roster.Count()))
	d.duties.orderChanged()
	d.limiter.SetBoxes(d.roster.Names(), clock.Now())
}

// retryLimits gives this box its part of the fleet's slack.
func (d *Daemon) retryLimits() retry.Limits {
	b := d.settings.Load().Bounds
	boxes := max(d.roster.Count(), fleetLeast)
	return retry.Limits{Ratio: b.RetryRatio, Window: b.RetryWindow, Slack: b.RetrySlack / float64(boxes)}
}

func (d *Daemon) open(l ListenSettings) error {
	for _, p := range []struct {
		key, address string
		to           *net.Listener
	}{{"caller", l.Caller, &d.callerPort}, {"ready", l.Ready, &d.readyPort}, {"metrics", l.Metrics, &d.metricsPort}} {
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			d.closePorts()
			return oops.In("routerd").With("key", p.key).Wrapf(err, "port [listen] %s = %s can't be opened: free it or name another", p.key, p.address)
		}
		*p.to = listener
	}
	if err := d.openPeer(l.Peer); err != nil {
		d.closePorts()
		return oops.In("routerd").With("key", "peer").Wrapf(err, "port [listen] peer = %s can't be opened by UDP and TCP: free it or name another", l.Peer)
	}
	return nil
}

func (d *Daemon) closePorts() {
	for _, l := range []net.Listener{d.callerPort, d.readyPort, d.metricsPort, d.snapshotPort} {
		if l != nil {
			l.Close()
		}
	}
}

func (d *Daemon) serveHTTP() {
	d.callers = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMost,
		DisableGeneralOptionsHandler: true,
	}
	d.connections = newConnections(d.callers)
	questions := httprouter.New()
	questions.GET(readiness.Path, readiness.Handler(d.Ready))
	d.ready = &http.Server{Handler: questions, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	figures := httprouter.New()
	figures.Handler(http.MethodGet, "/metrics", d.metrics.Handler())
	figures.GET(pathStatus, d.handleStatus)
	figures.GET(pathHeld, d.handleHeld)
	figures.POST(pathRelease, d.handleRelease)
	d.metricsServer = &http.Server{Handler: figures, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Start begins to serve.
func (d *Daemon) Start() {
	s := d.settings.Load()
	for _, f := range []func(){
		d.follow,
		func() { d.sharer.Run(d.ctx) },
		func() { d.duties.run(d.ctx) },
		func() { d.quarantine.Run(d.ctx) },
		func() { d.watchAway(d.ctx) },
		d.peers.Listen,
		func() { d.upstream.Run(d.ctx) },
		func() {
			d.report("caller", d.callers.Serve(netutil.LimitListener(d.callerPort, callersMost(s.Limits))))
		},
		func() { d.report("ready", d.ready.Serve(d.readyPort)) },
		func() { d.report("metrics", d.metricsServer.Serve(d.metricsPort)) },
		func() { d.report("peer", d.snapshotServer.Serve(d.snapshotPort)) },
	} {
		d.wg.Go(f)
	}
	_ = level.Info(d.logger).Log("msg", "started", "box", s.Box.ID, "hall", s.Box.Hall, "caller", d.CallerAddress(), "store", s.Store)
}

// regionOf is the region of a hall, "" if the settings name none.
func (d *Daemon) regionOf(hall string) string { return d.settings.Load().Regions[hall] }

// callersMost bounds the callers' connections by the descriptors.
func callersMost(l LimitSettings) int {
	return max(1, int(callerShare*float64(l.Descriptors-reservedDescriptors)))
}

func (d *Daemon) report(port string, err error) {
	stopping := d.stop.Load() != nil && errors.Is(err, net.ErrClosed)
	if d.ctx.Err() == nil && !stopping && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(d.logger).Log("msg", "port closed", "port", port, "err", err)
	}
}

// CallerAddress is the address of the callers' port.
func (d *Daemon) CallerAddress() string { return d.callerPort.Addr().String() }

// ReadyAddress is the address of the readiness port.
func (d *Daemon) ReadyAddress() string { return d.readyPort.Addr().String() }

// PeerAddress is where other boxes are heard.
func (d *Daemon) PeerAddress() string { return d.peerPort.LocalAddr().String() }

// MetricsAddress is the address of the metrics port.
func (d *Daemon) MetricsAddress() string { return d.metricsPort.Addr().String() }

// Ready tells whether the box should get callers.
func (d *Daemon) Ready() bool { return d.stop.Load() == nil && d.directory.Loaded() }

// Reload takes changed settings in. Ports and the box's name stay as they are until
// the next start.
func (d *Daemon) Reload(s Settings) {
	old := *d.settings.Load()
	s.Box, s.Listen, s.Limits = old.Box, old.Listen, old.Limits
	d.settings.Store(&s)
	d.setShares()
	_ = level.Info(d.logger).Log("msg", "settings reloaded", "store", s.Store, "grace", s.Bounds.Grace, "retry_ratio", s.Bounds.RetryRatio, "retry_slack", s.Bounds.RetrySlack)
}
