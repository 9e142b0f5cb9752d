package peer

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// grantingHandler grants every reservation immediately.
type grantingHandler struct{}

func (grantingHandler) HandleUp(c *Conn, m *peerpb.UpMessage) {
	if r := m.GetReserve(); r != nil {
		c.Send(&peerpb.DownMessage{Kind: &peerpb.DownMessage_Grant{Grant: &peerpb.Grant{Shard: r.GetShard(), Seq: r.GetSeq(), Server: "server-0001", Epoch: 1 << 60, EchoNanos: c.EchoNanos()}}})
	}
}

func (grantingHandler) HandleLinkDown(*Conn) {}

// recordingHandler forwards all events to channels.
type recordingHandler struct {
	up   chan string
	down chan uint64
}

func (h *recordingHandler) HandleDown(_ string, m *peerpb.DownMessage) {
	h.down <- m.GetGrant().GetSeq()
}
func (h *recordingHandler) HandleLinkUp(box string) { h.up <- box }

// withLinks runs fn with a box that is linked to n others over loopback.
func withLinks(tb testing.TB, n int, fn func(l *Links, h *recordingHandler)) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	creds := &Credentials{}
	targets := make(map[string]string)
	for i := range n {
		id := fmt.Sprintf("box-%04d", i+1)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		self := NewSelf(id, membership.NewTracker(objectstore.Box{ID: id}), func() uint64 { return 1 })
		g := NewServer(creds, self, grantingHandler{}, nil, log.NewNopLogger())
		go func() { _ = g.Serve(ln) }()
		defer g.Stop()
		targets[id] = ln.Addr().String()
	}
	h := &recordingHandler{up: make(chan string, n), down: make(chan uint64, 1<<16)}
	self := NewSelf("box-0000", membership.NewTracker(objectstore.Box{ID: "box-0000"}), func() uint64 { return 1 })
	l := NewLinks(ctx, self, creds, h, log.NewNopLogger())
	l.SetTargets(targets)
	for range n {
		<-h.up
	}
	fn(l, h)
	cancel()
	l.Wait()
}

func reserveMessage(seq uint64) *peerpb.UpMessage {
	return &peerpb.UpMessage{Kind: &peerpb.UpMessage_Reserve{Reserve: &peerpb.Reserve{
		Shard: "model-1/hall-3/12", Seq: seq, Class: "class-3", Organisation: "organisation-12345",
		PromptTokens: 700, WaitedNanos: 100000, RemainingNanos: 10_000_000_000, Prefix: []uint64{1, 2, 3, 4},
	}}}
}

func TestSendReachesOnlyCurrentTargets(t *testing.T) {
	withLinks(t, 3, func(l *Links, h *recordingHandler) {
		require.True(t, l.Send("box-0002", reserveMessage(7)))
		require.Equal(t, uint64(7), <-h.down)
		require.False(t, l.Send("box-0099", reserveMessage(8)))
		l.SetTargets(nil)
		require.False(t, l.Send("box-0002", reserveMessage(9)))
	})
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// Getrusage does not fail for RUSAGE_SELF.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReservation sends reservations and grants over a link, with both ends in this
// process. It reports the CPU time per reservation and the size of the four messages of
// one request.
func BenchmarkReservation(b *testing.B) {
	withLinks(b, 1, func(l *Links, h *recordingHandler) {
		start := cpuTime()
		sent := 0
		for b.Loop() {
			for range 32 {
				l.Send("box-0001", reserveMessage(1))
			}
			for range 32 {
				<-h.down
			}
			sent += 32
		}
		b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(sent), "cpu-µs/reservation")
	})
	bytes := proto.Size(&peerpb.Up{Messages: []*peerpb.UpMessage{
		reserveMessage(1 << 30),
		{Kind: &peerpb.UpMessage_Start{Start: &peerpb.Start{Shard: "model-1/hall-3/12", Seq: 1 << 30}}},
		{Kind: &peerpb.UpMessage_Finish{Finish: &peerpb.Finish{Shard: "model-1/hall-3/12", Seq: 1 << 30, Result: 1, PromptTokens: 700, OutputTokens: 240, FirstTokenNanos: 1 << 29, BetweenNanos: 1 << 24}}},
	}})
	bytes += proto.Size(&peerpb.Down{Messages: []*peerpb.DownMessage{{Kind: &peerpb.DownMessage_Grant{Grant: &peerpb.Grant{Shard: "model-1/hall-3/12", Seq: 1 << 30, Server: "server-0001", Epoch: 1 << 60, EchoNanos: 1 << 50}}}}})
	b.ReportMetric(float64(bytes), "B/request")
}

// BenchmarkIdleLinks reports the CPU time of 100 links that carry only heartbeats, with
// both ends in this process.
func BenchmarkIdleLinks(b *testing.B) {
	const links = 100
	for b.Loop() {
		withLinks(b, links, func(*Links, *recordingHandler) {
			time.Sleep(500 * time.Millisecond)
			cpuStart, start := cpuTime(), time.Now()
			time.Sleep(3 * time.Second)
			share := float64(cpuTime()-cpuStart) / float64(time.Since(start))
			b.ReportMetric(share*100/links, "%core/link")
		})
	}
	beat := proto.Size(&peerpb.Up{Messages: []*peerpb.UpMessage{{Kind: &peerpb.UpMessage_Heartbeat{Heartbeat: &peerpb.Heartbeat{Box: "box-0001", Incarnation: "0123456789abcdef", Generation: 40000, SentNanos: 1 << 55}}}}})
	b.ReportMetric(float64(beat), "B/heartbeat")
}
