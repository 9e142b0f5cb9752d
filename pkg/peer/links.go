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

// DownHandler takes in what owners decide for this box.
type DownHandler interface {
	// HandleDown takes a decision of the box owner.
	HandleDown(owner string, m *peerpb.DownMessage)
	// HandleLinkUp says that messages can be sent to a box from now on; everything
	// sent before is lost.
	HandleLinkUp(box string)
}

// Links keeps this box's links to others.
type Links struct {
	ctx      context.Context
	self     *Self
	security *Credentials
	holder   DownHandler
	logger   log.Logger

	mu    sync.Mutex
	links map[string]*link
	calls map[string]*callConn
	wg    conc.WaitGroup
}

// link is this box's end of a link to one other.
type link struct {
	box     string
	address string
	conn    *grpc.ClientConn
	cancel  context.CancelFunc
	// queue is nil while the stream is down.
	queue *mailbox.Mailbox[*peerpb.UpMessage]
}

// NewLinks returns links that live until ctx ends.
func NewLinks(ctx context.Context, self *Self, sec *Credentials, holder DownHandler, logger log.Logger) *Links {
	return &Links{ctx: ctx, self: self, security: sec, holder: holder, logger: logger, links: make(map[string]*link), calls: make(map[string]*callConn)}
}

const (
	reconnectFirst = 50 * time.Millisecond
	reconnectMost  = 500 * time.Millisecond
)

// Dial returns a connection to a box at an address.
func (s *Credentials) Dial(box, address string) (*grpc.ClientConn, error) {
	return dial(address, s.client(box))
}

// DialSeed returns a connection to whichever box is at an address.
func (s *Credentials) DialSeed(address string) (*grpc.ClientConn, error) {
	return dial(address, s.seed())
}

func dial(address string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectFirst, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMost},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageMost), grpc.MaxCallSendMsgSize(messageMost)),
		grpc.WithDisableServiceConfig(),
	)
}

// SetTargets makes and drops links so that there is one to each of the boxes.
func (l *Links) SetTargets(boxes map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range boxes {
		l.dropCall(id)
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
	conn, err := l.security.Dial(box, address)
	if err != nil {
		level.Error(l.logger).Log("msg", "bad peer address", "peer", box, "address", address, "err", err)
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

// run keeps the link's stream up until ctx ends.
func (l *Links) run(ctx context.Context, k *link) {
	for ctx.Err() == nil {
		err := l.stream(ctx, k)
		l.self.Tracker.MarkLinkDown(time.Now(), k.box)
		level.Debug(l.logger).Log("msg", "link down", "peer", k.box, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectFirst):
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
	q.Put(l.beatMessage())
	l.setQueue(k, q)
	defer l.setQueue(k, nil)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { sendUp(ctx, cancel, s, q) })
	wg.Go(func() {
		every(ctx, l.self.Tracker.View().HeartbeatInterval(), func() { q.Put(l.beatMessage()) })
	})
	up := false
	for {
		down, err := s.Recv()
		if err != nil {
			return err
		}
		if !up {
			// The first answer proves that the stream stands.
			up = true
			l.holder.HandleLinkUp(k.box)
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
			l.self.heard(h)
			continue
		}
		l.holder.HandleDown(box, m)
	}
}

func (l *Links) beatMessage() *peerpb.UpMessage {
	return &peerpb.UpMessage{Kind: &peerpb.UpMessage_Heartbeat{Heartbeat: l.self.heartbeat()}}
}

func (l *Links) setQueue(k *link, q *mailbox.Mailbox[*peerpb.UpMessage]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.queue = q
}

// Send queues a message to a box. False means that there is no link up; HandleLinkUp
// will tell when there is.
func (l *Links) Send(box string, m *peerpb.UpMessage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.links[box]
	if k == nil || k.queue == nil {
		return false
	}
	return k.queue.Put(m)
}

// BroadcastHeartbeat sends a heartbeat on every link at once, as when this box stops or has a
// new configuration.
func (l *Links) BroadcastHeartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		if k.queue != nil {
			k.queue.Put(l.beatMessage())
		}
	}
}

// Client returns a client for single calls to a box of the roster. A box that
// this one has no link to gets a connection without heartbeats.
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
	if c := l.calls[box]; c != nil && c.address == b.Peer {
		return peerpb.NewPeerClient(c.conn), true
	}
	conn, err := l.security.Dial(box, b.Peer)
	if err != nil {
		return nil, false
	}
	l.dropCall(box)
	l.calls[box] = &callConn{address: b.Peer, conn: conn}
	return peerpb.NewPeerClient(conn), true
}

// callConn is a connection for single calls.
type callConn struct {
	address string
	conn    *grpc.ClientConn
}

// dropCall is called with the lock held.
func (l *Links) dropCall(box string) {
	if c := l.calls[box]; c != nil {
		c.conn.Close()
		delete(l.calls, box)
	}
}

// Wait returns when all links have ended, after ctx has.
func (l *Links) Wait() {
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for box := range l.calls {
		l.dropCall(box)
	}
}
