package routerd

import (
	"context"
	"errors"
	"iter"
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

	"headhill.example/headhill/pkg/announce"
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/callerconn"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/duties"
	"headhill.example/headhill/pkg/fairshare"
	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/lease"
	"headhill.example/headhill/pkg/loadshare"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/overload"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/readiness"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/retry"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/serverpath"
	"headhill.example/headhill/pkg/snapshot"
	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
	"headhill.example/headhill/pkg/telemetry"
	"headhill.example/headhill/pkg/tunnel"
	"headhill.example/headhill/pkg/upstream"
)

const (
	serverDialTimeout = 300 * time.Millisecond
	// maxHeaderBytes, headerTimeout and idleTimeout apply before a routing table is loaded. They
	// exceed the limits that a table can set.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	// heldMemoryDivisor is the quotient of the memory limit and the limit on buffered requests and
	// responses.
	heldMemoryDivisor = 4
	// callerDescriptorShare is the fraction of the file descriptors available to connections of
	// callers, after reservedDescriptors are set aside for files and listeners.
	callerDescriptorShare = 0.6
	reservedDescriptors   = 200
	// rejectedLogInterval is the least time between two log lines about connections beyond that number.
	rejectedLogInterval = time.Second
	// memoryLimitShare is the runtime's soft memory limit as a fraction of the configured memory.
	memoryLimitShare = 0.8
	// requestsPerMB limits the requests in flight per MiB of configured memory.
	requestsPerMB = 16
)

// Adapter connects the daemon to a platform.
type Adapter struct {
	Protocol gateway.Protocol
	// Source returns the source of routes and servers.
	Source func(StoreAccess) directory.Source
	// Roster returns the store in which boxes register.
	Roster func(StoreAccess) roster.Store
	// Lease returns the store of the lease for fleet duties.
	Lease func(StoreAccess) lease.Store
	// Quarantine returns the store of quarantined requests.
	Quarantine func(StoreAccess) quarantine.Store
	// Versions returns the store of the software versions of services.
	Versions func(StoreAccess) resumption.VersionStore
	// SavedStreams returns the store of where streams began.
	SavedStreams func(StoreAccess) resumption.StreamStore
	// Cloud returns the client for the calls that fleet duties make.
	Cloud func(address func() string) duties.Cloud
	// PathCheck returns the header of a request that a server answers without running it; nil if there is none.
	PathCheck func() http.Header
	// Report is the request for what a server says of itself; the zero value if there is none.
	Report ServerReport
	// DialServer opens a direct connection to a server; nil for a TCP connection.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
}

// Daemon is a routing box.
type Daemon struct {
	settings atomic.Pointer[Settings]
	logger   log.Logger

	directory *directory.Directory
	source    directory.Source
	roster    *roster.Roster
	peers     *datagram.Port
	checker   *announce.Checker
	sharer    *loadshare.Sharer
	// shares tracks what organisations use. It is empty while fair shares are switched off.
	shares    *fairshare.Tracker
	sweeper   *roster.Sweeper
	snapshots *snapshot.Client
	// readingRoster is set while completeRoster reads the full roster.
	readingRoster atomic.Bool
	balancer      *balancer.Balancer
	// paths tells which servers this box reaches, serverDialer opens connections to them.
	paths        *serverpath.Tracker
	serverDialer *serverpath.Dialer
	// tunnels opens connections to servers for other boxes.
	tunnels  *tunnel.Server
	upstream *upstream.Client
	duties   *fleetDuties
	// quarantine holds back requests that crash servers.
	quarantine *quarantine.Quarantine
	streams    *resumption.Exchange
	// incarnations tells which servers may have restarted, restarts informs the other boxes of them.
	incarnations *incarnation.Tracker
	// endChecker checks whether the processes run on that closed connections.
	endChecker *incarnation.EndChecker
	restarts   *incarnation.Exchange
	// queries asks servers when their processes started.
	queries *serverQueries
	// versions knows the software versions that services had before this box started.
	versions *resumption.VersionHistory
	// saver saves where streams began, for the case that all boxes end.
	saver       *resumption.StreamSaver
	retryBudget *retry.Budget
	retryInputs atomic.Pointer[retryInputs]
	// limiter limits the request rate to servers that signal a rate limit.
	limiter    *fleetlimit.Limiter
	storeCalls *storeCalls
	// eras tracks the era of the store.
	eras    *storerev.Tracker
	gateway *gateway.Gateway
	metrics *telemetry.Metrics

	callerServer, readyServer, metricsServer, snapshotServer *http.Server
	conns                                                    *connTracker
	// gate decides which new connections of callers are read.
	gate *overload.Gate
	// rejectedConns counts the connections that were closed as there were too many, of which was last logged at
	// rejectedLoggedAt. reclaimedConns counts the idle ones that were closed to make room for others.
	rejectedConns, reclaimedConns atomic.Int64
	rejectedLoggedAt              time.Time
	// limitedCallers is callerListener with the limits on its connections.
	limitedCallers                                                   *callerconn.LimitedListener
	callerListener, readyListener, metricsListener, snapshotListener net.Listener
	peerConn                                                         net.PacketConn

	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	shutdown atomic.Pointer[gateway.Shutdown]
	// storeCheckFailed is set if the last check of the store failed.
	storeCheckFailed atomic.Bool
}

// New opens the listeners and wires up the components. No goroutine runs before Start.
func New(s Settings, a Adapter, logs *logflags.Loggers) (*Daemon, error) {
	metrics, err := telemetry.New()
	if err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d := &Daemon{logger: logs.For(logflags.Box), metrics: metrics, shares: fairshare.NewTracker()}
	d.gate = overload.NewGate(logs.For(logflags.Box))
	d.openServerPaths(a, s.Box.Hall, logs.For(logflags.Balancer))
	d.settings.Store(&s)
	d.updateFairShares()
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * memoryLimitShare))
	if err := d.listen(s.Listen); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.directory = directory.New(logs.For(logflags.Directory))
	d.queries = &serverQueries{
		report: a.Report, client: d.upstream, service: func(name string) *routing.Service { return d.directory.View().Service(name) }, restricted: d.isRestricted, withoutReports: make(map[routing.Incarnation]time.Time), logger: logs.For(logflags.Peer), counts: newLabelCounter(),
	}
	d.storeCalls = newStoreCalls(s.CallBudget)
	d.eras = storerev.NewTracker(d.onEraRise)
	unusable := newUnusableEntries(logs.For(logflags.Directory))
	if err := metrics.AddGauges(append(directoryGauges(d.directory), d.storeCalls.gauge(), storeEraGauge(d.eras), unusable.gauge())...); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	access := StoreAccess{Address: func() string { return d.settings.Load().Store }, Admit: d.storeCalls.admit, OnUnusableEntry: unusable.record, Eras: d.eras}
	d.source = a.Source(access)
	self := roster.Entry{Box: s.Box.ID, Hall: s.Box.Hall, Peer: d.peerConn.LocalAddr().String(), LinkMbps: s.Limits.LinkMbps, Level: forms.Level}
	d.roster = roster.New(a.Roster(access), self, storeLimits, logs.For(logflags.Directory))
	balance := balancer.New(logs.For(logflags.Balancer))
	balance.SetPolicy(s.Scheduling.balancerPolicy())
	d.balancer = balance
	d.limiter = fleetlimit.New(s.Box.ID, logs.For(logflags.Balancer))
	balance.SetLimiter(d.limiter)
	d.paths.OnChange(balance.SetIsolated)
	peerLogger := logs.For(logflags.Peer)
	d.peers = datagram.NewPort(datagram.Deps{Box: s.Box.ID, Conn: d.peerConn, IsPeer: d.roster.IsPeer, Logger: peerLogger})
	d.checker = announce.New(announce.Deps{
		Port: d.peers, Timing: d.checkTiming, Check: d.checkStore, RefreshRoster: d.discoverBoxes, RosterDigest: d.roster.Digest, Peers: d.roster.Peers, Rank: d.roster.Rank, Directory: d.directory, Eras: d.eras, Logger: peerLogger,
	})
	d.snapshots = snapshot.NewClient(snapshot.ClientDeps{Providers: d.providers, ResponseTimeout: d.snapshotTimeout})
	d.sweeper = roster.NewSweeper(d.roster, d.peers, peerLogger)
	d.sharer = loadshare.New(loadshare.Deps{
		Box: s.Box.ID, Hall: s.Box.Hall, Port: d.peers, Balancer: balance, Entries: d.roster.Entries, Usages: d.shares, Logger: peerLogger,
	})
	d.duties = newFleetDuties(d, a, access, balance, logs.For(logflags.Duties))
	if err := metrics.AddGauges(d.duties.gauges()...); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d.quarantine = quarantine.New(quarantine.Deps{
		Port: d.peers, Peers: d.roster.Peers, Store: a.Quarantine(access), Timeout: storeLimits.FirstByte, Logger: logs.For(logflags.Quarantine),
	})
	if err := metrics.AddGauges(quarantineGauge(d.quarantine), formsGauge(d.roster), signalsGauge(balance.Signals()), slownessGauge(balance), arrivalsGauge(balance), connectionsGauge(d.upstream), responseEndsGauge(d.upstream), responseIdentitiesGauge(d.upstream), endChecksGauge(d), serverQueriesGauge(d.queries), pathsGauge(d.paths), readyGauge(d), relaysGauge(d.serverDialer), retriesGauge(d), callerConnectionsGauge(d)); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d.retryBudget = retry.NewBudget(s.Bounds.retryLimits(), clock.Now())
	d.retryBudget.SetRosterAge(func(now time.Time) time.Duration { return d.directory.View().TableAge(now) })
	d.roster.OnRefresh(d.updateShares)
	d.streams = resumption.New(resumption.Deps{
		Box: s.Box.ID, Port: d.peers, Boxes: d.roster.Entries, BoxesKnown: d.roster.Complete, Versions: d.serverVersions, Logger: peerLogger,
		InProgress: func() iter.Seq2[resumption.Key, resumption.Origin] { return d.gateway.StreamsInProgress() },
	})
	d.versions = resumption.NewVersionHistory(resumption.VersionHistoryDeps{
		Store: a.Versions(access), Listed: d.listedVersions, Rank: d.roster.Rank, Boxes: func() int { return len(d.roster.Entries()) },
		OnLoaded: d.streams.ServersChanged, EarlierBuild: d.hasBoxesWithoutVersionRecord, Timeout: storeLimits.FirstByte, Logger: logs.For(logflags.Directory),
	})
	d.saver = resumption.NewStreamSaver(d.streams, resumption.StreamSaverDeps{
		Store: a.SavedStreams(access), Rank: d.roster.Rank, Timeout: storeLimits.FirstByte, Logger: logs.For(logflags.Directory),
		Several:         func() bool { return d.versions.AnySeveral(clock.Now()) },
		HistoryKnown:    func() bool { return d.versions.Known(clock.Now()) },
		Doubts:          d.versions,
		WritesPerSecond: func() float64 { return d.settings.Load().CallBudget.WritesPerSecond },
	})
	d.directory.OnServersChange(func() {
		d.streams.ServersChanged()
		d.versions.ServersChanged()
		d.saver.ServersChanged()
	})
	d.watchIncarnations(peerLogger)
	d.gateway = gateway.New(gateway.Deps{
		Protocol: a.Protocol, Directory: d.directory, Balancer: balance,
		Budget: d.retryBudget, Upstream: d.upstream, Quarantine: d.quarantine, Recorder: recorder{metrics}, Usage: d.duties, Logger: logs.For(logflags.Gateway),
		Hall: s.Box.Hall, Shutdown: d.shutdown.Load, RegionOf: d.regionOf, Shares: d.shares, Streams: d.streams, Incarnations: d.incarnations, EndChecker: d.endChecker, VersionRecord: versionRecord{d},
		Scheduling: func() gateway.Scheduling { return d.settings.Load().Scheduling.gatewayScheduling() },
		Limits: gateway.Limits{
			MaxRequests:       int64(s.Limits.MemoryMB) * requestsPerMB,
			MaxHeldBytes:      int64(s.Limits.MemoryMB<<20) / heldMemoryDivisor,
			LostServerGrace:   s.Bounds.Drain / 2,
			MaxDenialTableAge: s.Bounds.Apply,
		},
	})
	if err := metrics.AddGauges(append(readAheadGauges(d.gateway.ReadAhead()), heldGauge(d.gateway), fairSharesGauge(d.shares), streamsGauge(d.streams), restartsGauge(d.incarnations))...); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	d.quarantine.OnHeld(d.gateway.CancelQuarantined)
	d.serveHTTP()
	d.servePeers(logs.For(logflags.Peer))
	if err := metrics.AddGauges(tunnelsGauge(d.tunnels)); err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	return d, nil
}

// serverVersions returns what this box knows about the versions of the software of a service's servers.
func (d *Daemon) serverVersions(service string) resumption.ServiceVersions {
	now, v := clock.Now(), d.directory.View()
	return resumption.ServiceVersions{
		Versions: d.versions.With(service, v.Versions(service, now), now), Age: v.ServersAge(now), HistoryKnown: d.versions.Known(now),
	}
}

// versionRecord implements gateway.VersionRecord.
type versionRecord struct{ *Daemon }

// Unrecorded implements gateway.VersionRecord.
func (d versionRecord) Unrecorded(service string) []string {
	now := clock.Now()
	return d.versions.Unrecorded(service, d.directory.View().Versions(service, now), now)
}

// RecordNow implements gateway.VersionRecord.
func (d versionRecord) RecordNow() { d.versions.RecordNow() }

// hasBoxesWithoutVersionRecord reports whether the roster has boxes whose build keeps no record of versions, also such
// as ended without removing their entries.
func (d *Daemon) hasBoxesWithoutVersionRecord() bool {
	return d.roster.LowestLevel() < forms.LevelKeysRequired
}

// listedVersions returns the versions of the software of all services, once a list of servers was read.
func (d *Daemon) listedVersions() (versions map[string][]string, ok bool) {
	v := d.directory.View()
	return v.AllVersions(clock.Now()), !v.ServersConfirmedAt.IsZero()
}

// checkStore reads the roster together with the store's revision and verifies that the directory
// is up to date with that revision.
func (d *Daemon) checkStore(ctx context.Context) (directory.Check, bool) {
	start := clock.Now()
	revision, err := d.roster.RefreshByRank(ctx)
	if isUnanswered(err) && !d.storeCheckFailed.Load() {
		// The connection may have fallen silent while new ones work.
		start = clock.Now()
		revision, err = d.roster.RefreshByRank(ctx)
	}
	if ctx.Err() != nil {
		return directory.Check{}, false
	}
	if failed := err != nil; d.storeCheckFailed.Swap(failed) != failed {
		d.logStoreState(revision, err)
	}
	if err != nil {
		return directory.Check{}, false
	}
	d.sweeper.Sweep(ctx)
	d.readEvacuations(ctx)
	return d.directory.Verify(ctx, revision, start, d.directoryTiming())
}

// isUnanswered reports whether a call failed because its response did not begin in time.
func isUnanswered(err error) bool {
	var stalled *stall.Error
	return errors.As(err, &stalled) && !stalled.Started
}

func (d *Daemon) logStoreState(revision storerev.Revision, err error) {
	if err != nil {
		_ = level.Warn(d.logger).Log("msg", "store unreachable", "err", err, "outcome", "cached routing data stays in use")
		return
	}
	_ = level.Info(d.logger).Log("msg", "store reachable again", "revision", revision)
}

const (
	// evacuationsRefreshShare is the maximum age of the list of evacuated halls as a fraction of
	// BoundSettings.Evacuate. An older list is read again with the next check of the store.
	evacuationsRefreshShare = 0.35
	// defaultEvacuationsRefresh is the maximum age if BoundSettings.Evacuate is zero.
	defaultEvacuationsRefresh = 20 * time.Second
)

// readEvacuations reads the list of evacuated halls from the store if the known one is too old.
func (d *Daemon) readEvacuations(ctx context.Context) {
	start := clock.Now()
	if start.Sub(d.directory.EvacuationsConfirmedAt()) < d.maxEvacuationsAge() {
		return
	}
	ctx, cancel := stall.WithLimits(ctx, storeLimits)
	defer cancel()
	if err := d.directory.ReadEvacuations(ctx, d.source, start); err != nil {
		_ = level.Info(d.logger).Log("msg", "failed to read evacuations", "err", err, "outcome", "retried with the next check")
	}
}

// maxEvacuationsAge returns the age at which the list of evacuated halls is read again.
func (d *Daemon) maxEvacuationsAge() time.Duration {
	bound := d.settings.Load().Bounds.Evacuate
	if bound == 0 {
		return defaultEvacuationsRefresh
	}
	return time.Duration(evacuationsRefreshShare * float64(bound))
}

// checkTiming makes checks frequent enough to detect a dead watch and read the changes that it
// missed within the time allowed for a change to take effect.
func (d *Daemon) checkTiming() announce.Timing {
	apply := d.settings.Load().Bounds.strictest()
	return announce.Timing{Interval: apply * 45 / 100, Stagger: apply * 20 / 100}
}

// directoryTiming bounds the staleness of the directory, together with checkTiming.
func (d *Daemon) directoryTiming() directory.Timing {
	apply := d.settings.Load().Bounds.Apply
	return directory.Timing{
		WatchWait:      watchTimeout,
		AnswerTimeout:  storeLimits.FirstByte,
		MaxAnswerTime:  storeLimits.Total,
		MaxLag:         apply * 50 / 100,
		BatchDelay:     apply * 10 / 100,
		InitialBackoff: apply * 3 / 100,
		MaxBackoff:     apply * 60 / 100,
	}
}

const (
	// watchTimeout is the duration of a long poll. Checks detect dead watches earlier.
	watchTimeout = 20 * time.Second
)

// storeLimits are the timeouts of a call to the store. Total is long, since many boxes that read
// a large table at once share the store's link, and restarting a slow transfer adds to the load.
var storeLimits = stall.Limits{FirstByte: 700 * time.Millisecond, Idle: 700 * time.Millisecond, Total: 5 * time.Minute}

// updateShares recomputes this box's share of the fleet-wide limits after a change of the roster
// or the settings.
func (d *Daemon) updateShares() {
	d.updateRetryLimits()
	d.storeCalls.limiter.SetBudget(d.settings.Load().CallBudget.Share(d.roster.Count()))
	d.duties.rosterChanged()
	d.limiter.SetBoxes(d.roster.Names(), clock.Now())
}

// retryInputs are what this box's share of the retry budget follows from.
type retryInputs struct {
	limits      retry.Limits
	boxes       int
	boxesListed bool
}

// updateRetryLimits applies the settings and the roster to the retry budget, and logs changes.
func (d *Daemon) updateRetryLimits() {
	now := clock.Now()
	in := retryInputs{limits: d.settings.Load().Bounds.retryLimits(), boxes: d.roster.Count(), boxesListed: d.roster.Complete()}
	d.retryBudget.SetLimits(in.limits)
	d.retryBudget.ObserveRoster(in.boxes, in.boxesListed, now)
	if before := d.retryInputs.Swap(&in); before == nil || *before != in {
		_ = level.Info(d.logger).Log("msg", "retry limits changed", "slack", d.retryBudget.Slack(now), "fleet_slack", in.limits.Slack,
			"ratio", in.limits.Ratio, "window", in.limits.Window, "boxes", in.boxes, "roster_complete", in.boxesListed)
	}
}

func (d *Daemon) serveHTTP() {
	d.callerServer = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	d.conns = newConnTracker(d.callerServer, d.keepConnection)
	d.limitedCallers = d.limitCallers(d.settings.Load().Limits)
	readyRouter := httprouter.New()
	readyRouter.GET(readiness.Path, readiness.Handler(d.Ready))
	d.readyServer = &http.Server{Handler: readyRouter, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	metricsRouter := httprouter.New()
	metricsRouter.Handler(http.MethodGet, "/metrics", d.metrics.Handler())
	metricsRouter.GET(pathStatus, d.handleStatus)
	metricsRouter.GET(pathHeld, d.handleHeld)
	metricsRouter.POST(pathRelease, d.handleRelease)
	d.metricsServer = &http.Server{Handler: metricsRouter, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// Start starts the servers and background goroutines.
func (d *Daemon) Start() {
	s := d.settings.Load()
	for _, f := range []func(){
		d.joinAndSync,
		func() { d.sharer.Run(d.ctx) },
		func() { d.duties.run(d.ctx) },
		func() { d.quarantine.Run(d.ctx) },
		func() { d.streams.Run(d.ctx) },
		func() { d.versions.Run(d.ctx) },
		func() { d.restarts.Run(d.ctx) },
		func() { d.saver.Run(d.ctx) },
		func() { d.logSuspensions(d.ctx) },
		d.peers.Listen,
		func() { d.upstream.Run(d.ctx) },
		func() {
			d.logServeError("caller", d.callerServer.Serve(d.limitedCallers))
		},
		func() { d.logServeError("ready", d.readyServer.Serve(d.readyListener)) },
		func() { d.logServeError("metrics", d.metricsServer.Serve(d.metricsListener)) },
		func() { d.logServeError("peer", d.snapshotServer.Serve(d.snapshotListener)) },
	} {
		d.wg.Go(f)
	}
	_ = level.Info(d.logger).Log("msg", "started", "box", s.Box.ID, "hall", s.Box.Hall, "caller", d.CallerAddress(), "store", s.Store)
}

// limitCallers returns the listener for callers with the limits on their connections.
func (d *Daemon) limitCallers(l LimitSettings) *callerconn.LimitedListener {
	listener := d.callerListener
	if l.CloseWhenOverloaded {
		listener = callerconn.GateListener(listener, d.gate.Admit)
	}
	return callerconn.LimitListener(listener, maxCallerConns(l), d.makeRoomForCaller, d.recordRejectedConnection)
}

// makeRoomForCaller closes a connection that a caller keeps without using it.
func (d *Daemon) makeRoomForCaller() bool {
	if !d.conns.closeLongestIdle() {
		return false
	}
	d.reclaimedConns.Add(1)
	return true
}

// recordRejectedConnection counts a connection that was closed as there are too many, and logs the count at most
// once in rejectedLogInterval. Only the goroutine that accepts connections calls it.
func (d *Daemon) recordRejectedConnection() {
	d.rejectedConns.Add(1)
	if now := clock.Now(); now.Sub(d.rejectedLoggedAt) > rejectedLogInterval {
		d.rejectedLoggedAt = now
		_ = level.Warn(d.logger).Log("msg", "too many connections", "limit", maxCallerConns(d.settings.Load().Limits), "closed", d.rejectedConns.Load(),
			"reclaimed", d.reclaimedConns.Load(), "outcome", "further ones are closed unread")
	}
}

// keepConnection reports whether a connection with a further request is kept after the response.
func (d *Daemon) keepConnection() bool {
	return !d.settings.Load().Limits.CloseWhenOverloaded || d.gate.Keep()
}

// regionOf returns the region of a hall, or "" if the settings assign none.
func (d *Daemon) regionOf(hall string) string { return d.settings.Load().Regions[hall] }

// maxCallerConns returns the limit on connections of callers.
func maxCallerConns(l LimitSettings) int {
	return max(1, int(callerDescriptorShare*float64(l.Descriptors-reservedDescriptors)))
}

func (d *Daemon) logServeError(port string, err error) {
	stopping := d.shutdown.Load() != nil && errors.Is(err, net.ErrClosed)
	if d.ctx.Err() == nil && !stopping && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(d.logger).Log("msg", "server stopped unexpectedly", "port", port, "err", err)
	}
}

// Ready reports whether the box should receive requests. One that accepts no connections should not.
func (d *Daemon) Ready() bool {
	return d.shutdown.Load() == nil && d.directory.Loaded() && !d.limitedCallers.Full(clock.Now())
}

// Reload applies changed settings. Changes to the box, the listen addresses and the limits take
// effect only after a restart.
func (d *Daemon) Reload(s Settings) {
	old := *d.settings.Load()
	s.Box, s.Listen, s.Limits = old.Box, old.Listen, old.Limits
	d.settings.Store(&s)
	d.updateShares()
	d.balancer.SetPolicy(s.Scheduling.balancerPolicy())
	d.updateFairShares()
	_ = level.Info(d.logger).Log("msg", "settings reloaded", "store", s.Store, "grace", s.Bounds.Grace, "retry_ratio", s.Bounds.RetryRatio, "retry_slack", s.Bounds.RetrySlack)
}
