// Package box puts the duties of one box together: it is the daemon.
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

// Box is one daemon.
type Box struct {
	settings settings.Settings
	logger   log.Logger

	platform *objectstore.Client
	store    *config.Store
	tracker  *membership.Tracker
	self     *peer.Self
	security *peer.Credentials
	runner   *shard.Runner
	broker   *shard.Broker
	links    *peer.Links
	claims   *claims.Client
	backend  *backend.Client
	metrics  *telemetry.Metrics

	entry   *entry.Handler
	callers *http.Server
	admins  *http.Server
	peers   *grpc.Server
	ports   ports

	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	stopping bool
}

// ports are the open listeners.
type ports struct {
	caller, peer, admin net.Listener
}

// New opens a box's ports and puts its parts together. Nothing runs before Start.
func New(s settings.Settings, logs *logflags.Loggers) (*Box, error) {
	security, err := peer.LoadCredentials(s.Peers)
	if err != nil {
		return nil, err
	}
	metrics, err := telemetry.New()
	if err != nil {
		return nil, oops.In("telemetry").Wrap(err)
	}
	b := &Box{settings: s, logger: logs.For(logflags.Box), security: security, metrics: metrics}
	if b.ports, err = open(s.Listen); err != nil {
		return nil, err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.assemble(logs)
	return b, b.gauges()
}

func open(l settings.Listen) (ports, error) {
	var p ports
	for _, x := range []struct {
		key, address string
		to           *net.Listener
	}{{"caller", l.Caller, &p.caller}, {"peer", l.Peer, &p.peer}, {"admin", l.Admin, &p.admin}} {
		ln, err := net.Listen("tcp", x.address)
		if err != nil {
			p.close()
			return ports{}, oops.In("box").With("key", x.key).Wrapf(err, "port [listen] %s = %s can't be opened: free it or name another", x.key, x.address)
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
	b.links = peer.NewLinks(b.ctx, b.self, b.security, b.broker, logs.For(logflags.Peer))
	b.broker.SetSender(b.links)
	b.claims = claims.NewClient(b.platform, s.Platform.Prefix, b.tracker, logs.For(logflags.Claims))
	b.claims.SetPeers(b.links)
	b.entry = entry.NewHandler(entry.Deps{
		Limits: s.Limits, Hall: s.Box.Hall, Tracker: b.tracker, Store: b.store, Broker: b.broker, Backend: b.backend,
		Claims: b.claims, Metrics: b.metrics, Logger: logs.For(logflags.Entry), Ready: b.Ready,
	})
	b.callers = b.entry.Server()
	b.admins = admin.NewHandler(admin.Deps{
		Operators: s.Operators, Store: b.store, Fleet: b, Metrics: b.metrics,
		Logger: logs.For(logflags.Admin), Ready: b.Ready, AwaitReplication: b.spread,
	}).Server()
	b.peers = peer.NewServer(b.security, b.self, b.runner, &peerCalls{Box: b}, logs.For(logflags.Peer))
}

// Start begins to serve.
func (b *Box) Start() {
	for _, f := range []func(){
		func() { b.store.Follow(b.ctx, config.MaxFollowDelay) },
		b.followRoster,
		b.followPeers,
		b.followView,
		func() { b.runner.Run(b.ctx) },
		func() { b.broker.Run(b.ctx) },
		func() { b.report("peer", b.peers.Serve(b.ports.peer)) },
		func() { b.report("caller", b.callers.Serve(b.ports.caller)) },
		func() { b.report("admin", b.admins.Serve(b.ports.admin)) },
	} {
		b.wg.Go(f)
	}
	level.Info(b.logger).Log("msg", "listening", "box", b.settings.Box.ID, "caller", b.CallerAddr(), "peer", b.PeerAddr(), "admin", b.AdminAddr())
}

func (b *Box) report(port string, err error) {
	if b.ctx.Err() == nil && err != nil && err != http.ErrServerClosed {
		level.Error(b.logger).Log("msg", "port closed", "port", port, "err", err)
	}
}

// CallerAddr is the address of the callers' port.
func (b *Box) CallerAddr() string { return b.ports.caller.Addr().String() }

// PeerAddr is the address of the peer port.
func (b *Box) PeerAddr() string { return b.ports.peer.Addr().String() }

// AdminAddr is the address of the operators' port.
func (b *Box) AdminAddr() string { return b.ports.admin.Addr().String() }

// Generation is the configuration generation in force.
func (b *Box) Generation() uint64 { return b.store.Current().Generation }

// Ready tells whether the box should get callers: it has the highest
// configuration that the platform or any peer names, and does not stop.
func (b *Box) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stopping && b.tracker.Serving()
}

// caughtUp tells whether a starting box knows all that its peers know.
func (b *Box) caughtUp() bool {
	_, highest := b.tracker.HighestGeneration()
	return b.store.Loaded() && b.Generation() >= highest
}

// Kill ends the box at once, as a crash does.
func (b *Box) Kill() {
	b.cancel()
	b.callers.Close()
	b.admins.Close()
	b.peers.Stop()
	b.finish()
}

// finish waits for everything that Start began.
func (b *Box) finish() {
	b.wg.Wait()
	b.links.Wait()
	b.backend.Close()
	b.platform.Close()
	_ = b.metrics.Close()
}

const heldCheck = 10 * time.Millisecond

// InProgress returns the number of callers' requests in progress.
func (b *Box) InProgress() int { return b.entry.InFlight() }
