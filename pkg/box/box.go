// Package box assembles the components of a box into the daemon.
package box

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"headhill.example/headhill/pkg/admin"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/claims"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/entry"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/settings"
	"headhill.example/headhill/pkg/shard"
	"headhill.example/headhill/pkg/telemetry"
)

// Box is a running daemon.
type Box struct {
	settings settings.Settings
	logger   log.Logger

	platform    *objectstore.Client
	store       *config.Store
	tracker     *membership.Tracker
	self        *peer.Self
	credentials *peer.Credentials
	runner      *shard.Runner
	broker      *shard.Broker
	links       *peer.Links
	claims      *claims.Client
	backend     *backend.Client
	metrics     *telemetry.Metrics

	entry        *entry.Handler
	callerServer *http.Server
	adminServer  *http.Server
	peerServer   *grpc.Server
	ports        ports

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	stopping bool
}

// ports holds the open listeners.
type ports struct {
	caller, peer, admin net.Listener
}

// New opens the ports of a box and assembles its components. Nothing runs before Start.
func New(s settings.Settings, logs *logflags.Loggers) (*Box, error) {
	credentials, err := peer.LoadCredentials(s.Peers)
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.New()
	if err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	b := &Box{settings: s, logger: logs.For(logflags.Box), credentials: credentials, metrics: metrics}
	if b.ports, err = openPorts(s.Listen); err != nil {
		return nil, err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.assemble(logs)
	return b, b.addGauges()
}

func openPorts(l settings.Listen) (ports, error) {
	var p ports
	for _, x := range []struct {
		key, address string
		to           *net.Listener
	}{{"caller", l.Caller, &p.caller}, {"peer", l.Peer, &p.peer}, {"admin", l.Admin, &p.admin}} {
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			p.close()
			return ports{}, oops.In("box").With("key", x.key).Wrapf(err, "cannot listen on [listen] %s = %s; free the port or configure another", x.key, x.address)
		}
		*x.to = ln
	}
	return p, nil
}

func (p *ports) close() {
	for _, ln := range []net.Listener{p.caller, p.peer, p.admin} {
		if ln != nil {
			ln.Close()
		}
	}
}

func (b *Box) assemble(logs *logflags.Loggers) {
	s := b.settings
	b.platform = objectstore.NewClient(s.Platform.URL, s.Platform.Token, s.Platform.CallBudget)
	b.store = config.NewStore(b.platform, s.Platform.Prefix, logs.For(logflags.Config))
	b.tracker = membership.NewTracker(objectstore.Box{
		ID: s.Box.ID, Hall: s.Box.Hall, Region: s.Box.Region,
		Peer: b.ports.peer.Addr().String(), State: objectstore.BoxLive,
	})
	b.self = peer.NewSelf(s.Box.ID, b.tracker, func() uint64 { return b.store.Current().Generation })
	b.backend = backend.NewClient(s.Limits.AnswerTimeout)
	b.runner = shard.NewRunner(b.self, b.store, b.tracker, b.backend, logs.For(logflags.Shard))
	b.broker = shard.NewBroker(b.self, b.store, b.tracker, b.runner, logs.For(logflags.Shard))
	b.links = peer.NewLinks(b.ctx, b.self, b.credentials, b.broker, logs.For(logflags.Peer))
	b.broker.SetSender(b.links)
	b.claims = claims.NewClient(b.platform, s.Platform.Prefix, b.tracker, logs.For(logflags.Claims))
	b.claims.SetPeers(b.links)
	b.entry = entry.NewHandler(entry.Deps{
		Limits: s.Limits, Hall: s.Box.Hall, Tracker: b.tracker, Store: b.store, Broker: b.broker, Backend: b.backend,
		Claims: b.claims, Metrics: b.metrics, Logger: logs.For(logflags.Entry), Ready: b.Ready,
	})
	b.callerServer = b.entry.Server()
	b.adminServer = admin.NewHandler(admin.Deps{
		Operators: s.Operators, Store: b.store, Fleet: b, Metrics: b.metrics,
		Logger: logs.For(logflags.Admin), Ready: b.Ready, AwaitReplication: b.awaitReplication,
	}).Server()
	b.peerServer = peer.NewServer(b.credentials, b.self, b.runner, &peerCalls{Box: b}, logs.For(logflags.Peer))
}

// Start starts all components and serves the ports.
func (b *Box) Start() {
	for _, f := range []func(){
		func() { b.store.Follow(b.ctx, config.MaxFollowDelay) },
		b.followRoster,
		b.followPeers,
		b.followView,
		func() { b.runner.Run(b.ctx) },
		func() { b.broker.Run(b.ctx) },
		func() { b.logServeError("peer", b.peerServer.Serve(b.ports.peer)) },
		func() { b.logServeError("caller", b.callerServer.Serve(b.ports.caller)) },
		func() { b.logServeError("admin", b.adminServer.Serve(b.ports.admin)) },
	} {
		b.wg.Go(f)
	}
	level.Info(b.logger).Log("msg", "listening", "box", b.settings.Box.ID, "caller", b.CallerAddr(), "peer", b.PeerAddr(), "admin", b.AdminAddr())
}

func (b *Box) logServeError(port string, err error) {
	if b.ctx.Err() == nil && err != nil && err != http.ErrServerClosed {
		level.Error(b.logger).Log("msg", "server stopped unexpectedly", "port", port, "err", err)
	}
}

// CallerAddr returns the address of the caller port.
func (b *Box) CallerAddr() string { return b.ports.caller.Addr().String() }

// PeerAddr returns the address of the peer port.
func (b *Box) PeerAddr() string { return b.ports.peer.Addr().String() }

// AdminAddr returns the address of the admin port.
func (b *Box) AdminAddr() string { return b.ports.admin.Addr().String() }

// Generation returns the configuration generation in force.
func (b *Box) Generation() uint64 { return b.store.Current().Generation }

// Ready reports whether the box should receive callers: it is not stopping and has the
// highest configuration generation known to the platform or a peer.
func (b *Box) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stopping && b.tracker.Serving()
}

// caughtUp reports whether a starting box has the latest configuration of its peers.
func (b *Box) caughtUp() bool {
	_, highest := b.tracker.HighestGeneration()
	return b.store.Loaded() && b.Generation() >= highest
}

// Kill stops the box immediately, as a crash would.
func (b *Box) Kill() {
	b.cancel()
	b.callerServer.Close()
	b.adminServer.Close()
	b.peerServer.Stop()
	b.waitAndClose()
}

// waitAndClose waits for all goroutines that Start began, then closes the clients.
func (b *Box) waitAndClose() {
	b.wg.Wait()
	b.links.Wait()
	b.backend.Close()
	b.platform.Close()
	_ = b.metrics.Close()
}

const drainPollInterval = 10 * time.Millisecond

// InProgress returns the number of callers' requests in progress.
func (b *Box) InProgress() int { return b.entry.InFlight() }
