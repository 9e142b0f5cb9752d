package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"headhill.example/headhill/pkg/mailbox"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// messageMost bounds a message between boxes: a registration of some 100,000
// requests, or a part of the configuration.
const messageMost = 16 << 20

// UpHandler takes in what boxes send to the shards owned here.
type UpHandler interface {
	// HandleUp takes a message of a linked box; decisions go back through c.
	HandleUp(c *Conn, m *peerpb.UpMessage)
	// HandleLinkDown says that the link broke.
	HandleLinkDown(c *Conn)
}

// CallHandler answers the single calls of peers.
type CallHandler interface {
	Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	EndClaim(context.Context, *peerpb.EndClaimRequest) (*peerpb.EndClaimReply, error)
	PullConfig(*peerpb.PullConfigRequest, grpc.ServerStreamingServer[peerpb.PullConfigReply]) error
	Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error)
}

// Conn is the owner's end of a link: where decisions for one box go.
type Conn struct {
	Instance
	send func(*peerpb.DownMessage)
	echo atomic.Int64
}

// NewConn returns a link end whose decisions go to send. The link of a box to
// itself is made so.
func NewConn(o Instance, send func(*peerpb.DownMessage)) *Conn {
	return &Conn{Instance: o, send: send}
}

// Send passes a decision on.
func (c *Conn) Send(m *peerpb.DownMessage) { c.send(m) }

// EchoNanos is the last clock value that the box sent.
func (c *Conn) EchoNanos() int64 { return c.echo.Load() }

// Server is the peer port.
type Server struct {
	peerpb.UnimplementedPeerServer
	CallHandler

	self   *Self
	owner  UpHandler
	logger log.Logger
}

// NewServer returns a grpc server for the peer port.
func NewServer(sec *Credentials, self *Self, owner UpHandler, calls CallHandler, logger log.Logger) *grpc.Server {
	g := grpc.NewServer(
		grpc.Creds(sec.server()),
		grpc.MaxRecvMsgSize(messageMost),
		grpc.MaxSendMsgSize(messageMost),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 2 * time.Second, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(g, &Server{CallHandler: calls, self: self, owner: owner, logger: logger})
	return g
}

// Claim, EndClaim, PullConfig and Status resolve to CallHandler, not to the
// unimplemented stubs.

// Claim implements peerpb.PeerServer.
func (s *Server) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.CallHandler.Claim(ctx, r)
}

// EndClaim implements peerpb.PeerServer.
func (s *Server) EndClaim(ctx context.Context, r *peerpb.EndClaimRequest) (*peerpb.EndClaimReply, error) {
	return s.CallHandler.EndClaim(ctx, r)
}

// PullConfig implements peerpb.PeerServer.
func (s *Server) PullConfig(r *peerpb.PullConfigRequest, st grpc.ServerStreamingServer[peerpb.PullConfigReply]) error {
	return s.CallHandler.PullConfig(r, st)
}

// Status implements peerpb.PeerServer.
func (s *Server) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return s.CallHandler.Status(ctx, r)
}

// Link implements peerpb.PeerServer. The first message must be a heartbeat that
// says who calls.
func (s *Server) Link(stream grpc.BidiStreamingServer[peerpb.Up, peerpb.Down]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	origin, err := s.identify(stream.Context(), first)
	if err != nil {
		return err
	}
	q := mailbox.New[*peerpb.DownMessage]()
	c := NewConn(origin, func(m *peerpb.DownMessage) { q.Put(m) })
	level.Debug(s.logger).Log("msg", "link from peer", "peer", origin.Box, "incarnation", origin.Incarnation)
	ctx, cancel := context.WithCancel(stream.Context())
	var wg conc.WaitGroup
	wg.Go(func() { s.sendDown(ctx, cancel, stream, q) })
	wg.Go(func() { s.beat(ctx, q) })
	s.receive(c, first)
	for {
		up, err := stream.Recv()
		if err != nil || ctx.Err() != nil {
			break
		}
		s.receive(c, up)
	}
	s.owner.HandleLinkDown(c)
	cancel()
	wg.Wait()
	return nil
}

func (s *Server) identify(ctx context.Context, first *peerpb.Up) (Instance, error) {
	if len(first.GetMessages()) == 0 || first.Messages[0].GetHeartbeat() == nil {
		return Instance{}, status.Error(codes.InvalidArgument, "a link begins with a heartbeat")
	}
	h := first.Messages[0].GetHeartbeat()
	p, ok := grpcpeer.FromContext(ctx)
	if ok && !names(p.AuthInfo, h.GetBox()) {
		return Instance{}, status.Errorf(codes.PermissionDenied, "the certificate does not name box %q: issue one that does", h.GetBox())
	}
	return Instance{Box: h.GetBox(), Incarnation: h.GetIncarnation()}, nil
}

func (s *Server) receive(c *Conn, up *peerpb.Up) {
	for _, m := range up.GetMessages() {
		if h := m.GetHeartbeat(); h != nil {
			c.SetEchoNanos(h.GetSentNanos())
			s.self.heard(h)
			continue
		}
		s.owner.HandleUp(c, m)
	}
}

// sendDown writes decisions out; when the peer is too slow to take them the
// stream ends.
func (s *Server) sendDown(ctx context.Context, cancel func(), stream grpc.BidiStreamingServer[peerpb.Up, peerpb.Down], q *mailbox.Mailbox[*peerpb.DownMessage]) {
	defer cancel()
	for {
		batch, ok := q.Take(ctx)
		if !ok {
			return
		}
		if err := stream.Send(&peerpb.Down{Messages: batch}); err != nil {
			return
		}
	}
}

func (s *Server) beat(ctx context.Context, q *mailbox.Mailbox[*peerpb.DownMessage]) {
	every(ctx, s.self.Tracker.View().HeartbeatInterval(), func() {
		q.Put(&peerpb.DownMessage{Kind: &peerpb.DownMessage_Heartbeat{Heartbeat: s.self.heartbeat()}})
	})
}

// every calls f now and then at each interval until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// SetEchoNanos notes the clock value that the box sent last.
func (c *Conn) SetEchoNanos(nanos int64) { c.echo.Store(nanos) }
