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

// echoOwner grants every reservation at once.
type echoOwner struct{}

func (echoOwner) HandleUp(c *Conn, m *peerpb.UpMessage) {
	if r := m.GetReserve(); r != nil {
		c.Send(&peerpb.DownMessage{Kind: &peerpb.DownMessage_Grant{Grant: &peerpb.Grant{Shard: r.GetShard(), Seq: r.GetSeq(), Server: "server-0001", Epoch: 1 << 60, EchoNanos: c.EchoNanos()}}})
	}
}

func (echoOwner) HandleLinkDown(*Conn) {}

// holder counts what it is told.
type holder struct {
	up   chan string
	down chan uint64
}

func (h *holder) HandleDown(_ string, m *peerpb.DownMessage) { h.down <- m.GetGrant().GetSeq() }
func (h *holder) HandleLinkUp(box string)                    { h.up <- box }

// withLinks runs fn with a box linked to n others over loopback.
func withLinks(tb testing.TB, n int, fn func(l *Links, h *holder)) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sec := &Credentials{}
	targets := make(map[string]string)
	for i := range n {
		id := fmt.Sprintf("box-%04d", i+1)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		self := NewSelf(id, membership.NewTracker(objectstore.Box{ID: id}), func() uint64 { return 1 })
		g := NewServer(sec, self, echoOwner{}, nil, log.NewNopLogger())
		go func() { _ = g.Serve(ln) }()
		defer g.Stop()
		targets[id] = ln.Addr().String()
	}
	h := &holder{up: make(chan string, n), down: make(chan uint64, 1<<16)}
	self := NewSelf("box-0000", membership.NewTracker(objectstore.Box{ID: "box-0000"}), func() uint64 { return 1 })
	l := NewLinks(ctx, self, sec, h, log.NewNopLogger())
	l.SetTargets(targets)
	for range n {
		<-h.up
	}
	fn(l, h)
	cancel()
	l.Wait()
}

func reserve(seq uint64) *peerpb.UpMessage {
	return &peerpb.UpMessage{Kind: &peerpb.UpMessage_Reserve{Reserve: &peerpb.Reserve{
		Shard: "model-1/hall-3/12", Seq: seq, Class: "class-3", Organisation: "organisation-12345",
		PromptTokens: 700, WaitedNanos: 100000, RemainingNanos: 10_000_000_000, Prefix: []uint64{1, 2, 3, 4},
	}}}
}

func TestMessagesPassAndTargetsChange(t *testing.T) {
	withLinks(t, 3, func(l *Links, h *holder) {
		require.True(t, l.Send("box-0002", reserve(7)))
		require.Equal(t, uint64(7), <-h.down)
		require.False(t, l.Send("box-0099", reserve(8)))
		l.SetTargets(nil)
		require.False(t, l.Send("box-0002", reserve(9)))
	})
}

// cpu is the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	// Getrusage of the process itself does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReservation passes reservations and grants over a link, both ends in
// this process, and reports the processor time and bytes of one request's four
// messages' worth.
func BenchmarkReservation(b *testing.B) {
	withLinks(b, 1, func(l *Links, h *holder) {
		began := cpu()
		sent := 0
		for b.Loop() {
			for range 32 {
				l.Send("box-0001", reserve(1))
			}
			for range 32 {
				<-h.down
			}
			sent += 32
		}
		b.ReportMetric(float64((cpu()-began).Microseconds())/float64(sent), "cpu-µs/reservation")
	})
	bytes := proto.Size(&peerpb.Up{Messages: []*peerpb.UpMessage{
		reserve(1 << 30),
		{Kind: &peerpb.UpMessage_Start{Start: &peerpb.Start{Shard: "model-1/hall-3/12", Seq: 1 << 30}}},
		{Kind: &peerpb.UpMessage_Finish{Finish: &peerpb.Finish{Shard: "model-1/hall-3/12", Seq: 1 << 30, Result: 1, PromptTokens: 700, OutputTokens: 240, FirstTokenNanos: 1 << 29, BetweenNanos: 1 << 24}}},
	}})
	bytes += proto.Size(&peerpb.Down{Messages: []*peerpb.DownMessage{{Kind: &peerpb.DownMessage_Grant{Grant: &peerpb.Grant{Shard: "model-1/hall-3/12", Seq: 1 << 30, Server: "server-0001", Epoch: 1 << 60, EchoNanos: 1 << 50}}}}})
	b.ReportMetric(float64(bytes), "B/request")
}

// BenchmarkIdleLinks reports what a hundred links cost while nothing but
// heartbeats passes, both ends in this process.
func BenchmarkIdleLinks(b *testing.B) {
	const links = 100
	for b.Loop() {
		withLinks(b, links, func(*Links, *holder) {
			time.Sleep(500 * time.Millisecond)
			began, at := cpu(), time.Now()
			time.Sleep(3 * time.Second)
			share := float64(cpu()-began) / float64(time.Since(at))
			b.ReportMetric(share*100/links, "%core/link")
		})
	}
	beat := proto.Size(&peerpb.Up{Messages: []*peerpb.UpMessage{{Kind: &peerpb.UpMessage_Heartbeat{Heartbeat: &peerpb.Heartbeat{Box: "box-0001", Incarnation: "0123456789abcdef", Generation: 40000, SentNanos: 1 << 55}}}}})
	b.ReportMetric(float64(beat), "B/heartbeat")
}
