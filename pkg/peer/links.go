package peer

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"headhill.example/headhill/pkg/mailbox"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// DownHandler handles messages from the owners of shards.
type DownHandler interface {
	// HandleDown handles a message sent by the box named owner.
	HandleDown(owner string, m *peerpb.DownMessage)
	// HandleLinkUp is called when messages can be sent to a box. Messages sent earlier are
	// lost.
	HandleLinkUp(box string)
}

// Links maintains the links from this box to others.
type Links struct {
	ctx     context.Context
	self    *Self
	creds   *Credentials
	handler DownHandler
	logger  log.Logger

	mu        sync.Mutex
	links     map[string]*link
	callConns map[string]*callConn
	wg        conc.WaitGroup
}

// link is the client end of a link.
type link struct {
	box     string
	address string
	conn    *grpc.ClientConn
	cancel  context.CancelFunc
	// queue is nil while the stream is down.
	queue *mailbox.Mailbox[*peerpb.UpMessage]
}

// NewLinks returns Links that run until ctx ends.
func NewLinks(ctx context.Context, self *Self, creds *Credentials, handler DownHandler, logger log.Logger) *Links {
	return &Links{ctx: ctx, self: self, creds: creds, handler: handler, logger: logger, links: make(map[string]*link), callConns: make(map[string]*callConn)}
}

const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
)

// Dial returns a connection to the box at address.
func (s *Credentials) Dial(box, address string) (*grpc.ClientConn, error) {
	return dial(address, s.client(box))
}

// DialSeed returns a connection to any box at address.
func (s *Credentials) DialSeed(address string) (*grpc.ClientConn, error) {
	return dial(address, s.seed())
}

func dial(address string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
	)
}

// SetTargets opens and closes links so that there is one to each of the given boxes, a map
// from ID to address.
func (l *Links) SetTargets(boxes map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range boxes {
		l.closeCallConn(id)
	}
	for id, k := range l.links {
		if boxes[id] != k.address {
			k.cancel()
			delete(l.links, id)
		}
	}
	for id, address := range boxes {
		if l.links[id] == nil {
			l.start(id, address)
		}
	}
}

func (l *Links) start(box, address string) {
	conn, err := l.creds.Dial(box, address)
	if err != nil {
		level.Error(l.logger).Log("msg", "invalid peer address", "peer", box, "address", address, "err", err)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{box: box, address: address, conn: conn, cancel: cancel}
	l.links[box] = k
	l.self.Tracker.MarkLinked(box)
	l.wg.Go(func() {
		defer conn.Close()
		l.run(ctx, k)
	})
}

// run keeps the link's stream open until ctx ends.
func (l *Links) run(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		err := l.stream(ctx, k)
		l.self.Tracker.MarkLinkDown(time.Now(), k.box)
		level.Debug(l.logger).Log("msg", "link to peer closed", "peer", k.box, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(minReconnectDelay):
		}
	}
}

func (l *Links) stream(ctx context.Context, k *link) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := peerpb.NewPeerClient(k.conn).Link(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	q := mailbox.New[*peerpb.UpMessage]()
	q.Put(l.heartbeatMessage())
	l.setQueue(k, q)
	defer l.setQueue(k, nil)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { sendUp(ctx, cancel, s, q) })
	wg.Go(func() {
		runPeriodically(ctx, l.self.Tracker.View().HeartbeatInterval(), func() { q.Put(l.heartbeatMessage()) })
	})
	up := false
	for {
		down, err := s.Recv()
		if err != nil {
			return err
		}
		if !up {
			// The first message proves that the stream is established.
			up = true
			l.handler.HandleLinkUp(k.box)
		}
		l.receive(k.box, down)
	}
}

func sendUp(ctx context.Context, cancel func(), s grpc.BidiStreamingClient[peerpb.Up, peerpb.Down], q *mailbox.Mailbox[*peerpb.UpMessage]) {
	defer cancel()
	for {
		batch, ok := q.Take(ctx)
		if !ok {
			return
		}
		if err := s.Send(&peerpb.Up{Messages: batch}); err != nil {
			return
		}
	}
}

func (l *Links) receive(box string, down *peerpb.Down) {
	for _, m := range down.GetMessages() {
		if h := m.GetHeartbeat(); h != nil {
			l.self.recordHeartbeat(h)
			continue
		}
		l.handler.HandleDown(box, m)
	}
}

func (l *Links) heartbeatMessage() *peerpb.UpMessage {
	return &peerpb.UpMessage{Kind: &peerpb.UpMessage_Heartbeat{Heartbeat: l.self.heartbeat()}}
}

func (l *Links) setQueue(k *link, q *mailbox.Mailbox[*peerpb.UpMessage]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.queue = q
}

// Send queues a message to a box. It returns false if the link is down; HandleLinkUp is
// called once it is up.
func (l *Links) Send(box string, m *peerpb.UpMessage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[box]
	if k == nil || k.queue == nil {
		return false
	}
	return k.queue.Put(m)
}

// BroadcastHeartbeat sends a heartbeat on all links immediately, for example when this box
// is stopping or has a new configuration.
func (l *Links) BroadcastHeartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.queue != nil {
			k.queue.Put(l.heartbeatMessage())
		}
	}
}

// Client returns a client for calls to a box of the view. A box without a link gets a
// connection without heartbeats.
func (l *Links) Client(box string) (peerpb.PeerClient, bool) {
	b, known := l.self.Tracker.View().Box(box)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.links[box]; k != nil {
		return peerpb.NewPeerClient(k.conn), true
	}
	if !known || l.ctx.Err() != nil {
		return nil, false
	}
	if c := l.callConns[box]; c != nil && c.address == b.Peer {
		return peerpb.NewPeerClient(c.conn), true
	}
	conn, err := l.creds.Dial(box, b.Peer)
	if err != nil {
		return nil, false
	}
	l.closeCallConn(box)
	l.callConns[box] = &callConn{address: b.Peer, conn: conn}
	return peerpb.NewPeerClient(conn), true
}

// callConn is a connection to a box without a link.
type callConn struct {
	address string
	conn    *grpc.ClientConn
}

// closeCallConn must be called with l.mu held.
func (l *Links) closeCallConn(box string) {
	if c := l.callConns[box]; c != nil {
		c.conn.Close()
		delete(l.callConns, box)
	}
}

// Wait waits until all links are closed. It must be called after ctx has ended.
func (l *Links) Wait() {
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for box := range l.callConns {
		l.closeCallConn(box)
	}
}
