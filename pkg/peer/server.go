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

// maxMessageBytes limits a message between boxes. The largest are registrations of some
// 100,000 requests and parts of the configuration.
const maxMessageBytes = 16 << 20

// UpHandler handles messages from boxes to the shards owned by this box.
type UpHandler interface {
	// HandleUp handles a message from a linked box. Replies are sent through c.
	HandleUp(c *Conn, m *peerpb.UpMessage)
	// HandleLinkDown is called when the link is closed.
	HandleLinkDown(c *Conn)
}

// CallHandler handles the calls of peers other than Link.
type CallHandler interface {
	Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	EndClaim(context.Context, *peerpb.EndClaimRequest) (*peerpb.EndClaimReply, error)
	PullConfig(*peerpb.PullConfigRequest, grpc.ServerStreamingServer[peerpb.PullConfigReply]) error
	Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error)
}

// Conn is the owner's end of a link. It sends messages to one box.
type Conn struct {
	Instance
	send      func(*peerpb.DownMessage)
	echoNanos atomic.Int64
}

// NewConn returns a Conn that passes messages to send. It is also used for the link of a
// box to itself.
func NewConn(o Instance, send func(*peerpb.DownMessage)) *Conn {
	return &Conn{Instance: o, send: send}
}

// Send sends a message to the box.
func (c *Conn) Send(m *peerpb.DownMessage) { c.send(m) }

// EchoNanos returns the last clock value received from the box.
func (c *Conn) EchoNanos() int64 { return c.echoNanos.Load() }

// Server serves the peer port.
type Server struct {
	peerpb.UnimplementedPeerServer
	CallHandler

	self    *Self
	handler UpHandler
	logger  log.Logger
}

// NewServer returns a gRPC server for the peer port.
func NewServer(creds *Credentials, self *Self, handler UpHandler, calls CallHandler, logger log.Logger) *grpc.Server {
	g := grpc.NewServer(
		grpc.Creds(creds.server()),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 2 * time.Second, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(g, &Server{CallHandler: calls, self: self, handler: handler, logger: logger})
	return g
}

// The following methods call CallHandler rather than the embedded unimplemented stubs.

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

// Link implements peerpb.PeerServer. The first message must be a heartbeat, which
// identifies the client.
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
	level.Debug(s.logger).Log("msg", "link opened by peer", "peer", origin.Box, "incarnation", origin.Incarnation)
	ctx, cancel := context.WithCancel(stream.Context())
	var wg conc.WaitGroup
	wg.Go(func() { s.sendDown(ctx, cancel, stream, q) })
	wg.Go(func() { s.sendHeartbeats(ctx, q) })
	s.receive(c, first)
	for {
		up, err := stream.Recv()
		if err != nil || ctx.Err() != nil {
			break
		}
		s.receive(c, up)
	}
	s.handler.HandleLinkDown(c)
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
	if ok && !certificateNames(p.AuthInfo, h.GetBox()) {
		return Instance{}, status.Errorf(codes.PermissionDenied, "the certificate does not name box %q: issue one that does", h.GetBox())
	}
	return Instance{Box: h.GetBox(), Incarnation: h.GetIncarnation()}, nil
}

func (s *Server) receive(c *Conn, up *peerpb.Up) {
	for _, m := range up.GetMessages() {
		if h := m.GetHeartbeat(); h != nil {
			c.SetEchoNanos(h.GetSentNanos())
			s.self.recordHeartbeat(h)
			continue
		}
		s.handler.HandleUp(c, m)
	}
}

// sendDown sends queued messages to the peer. It ends the stream if sending fails.
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

func (s *Server) sendHeartbeats(ctx context.Context, q *mailbox.Mailbox[*peerpb.DownMessage]) {
	runPeriodically(ctx, s.self.Tracker.View().HeartbeatInterval(), func() {
		q.Put(&peerpb.DownMessage{Kind: &peerpb.DownMessage_Heartbeat{Heartbeat: s.self.heartbeat()}})
	})
}

// runPeriodically calls f immediately and then at each interval until ctx ends.
func runPeriodically(ctx context.Context, d time.Duration, f func()) {
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

// SetEchoNanos records the last clock value received from the box.
func (c *Conn) SetEchoNanos(nanos int64) { c.echoNanos.Store(nanos) }
