package serverpath

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/upstream"
)

// Guards against requests that pass through boxes of halls where their data must not go, also through those that opened
// tunnels before.
func TestOnlyBoxesOfAllowedHallsRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRelays("0", func(relayHall, serverHall string) bool { return relayHall == serverHall })
	peers := peersOf(20, 5)
	for _, p := range peers[:10] {
		r.recordOpened(p.Address, now)
	}
	for range 20 {
		for _, hall := range []string{"0", "1", "4"} {
			order := r.order(peers, hall, now)
			assert.Len(t, order, 4)
			for _, p := range order {
				assert.Equal(t, hall, p.Hall)
			}
		}
	}
	assert.Len(t, r.known, 10, "the others are not forgotten")
	assert.Empty(t, r.order(peers, "unknown", now))
}

// Guards against requests that pass through a tunnel opened before its hall was excluded.
func TestTunnelThroughExcludedHallIsNotReused(t *testing.T) {
	var allowed atomic.Bool
	allowed.Store(true)
	d := NewDialer(Deps{
		Tracker: NewTracker(log.NewNopLogger()), Hall: "h", Timeout: time.Second, Logger: log.NewNopLogger(),
		Direct:   func(context.Context, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH },
		Tunnel:   func(context.Context, string, string) (net.Conn, error) { c, _ := net.Pipe(); return c, nil },
		Peers:    func() []Peer { return []Peer{{Address: "r", Hall: "away"}} },
		HallOf:   func(string) string { return "h" },
		MayRelay: func(relayHall, serverHall string) bool { return relayHall == serverHall || allowed.Load() },
		OtherServer: func(string) (string, string, bool) {
			return "", "", false
		},
		AddIdle: func(string, net.Conn) {},
	})
	conn, err := d.Dial(t.Context(), "s", "s")
	require.NoError(t, err)
	defer conn.Close()
	require.Equal(t, "r", conn.(upstream.ViaConn).Via())
	assert.True(t, conn.(upstream.ReusableConn).Reusable())
	allowed.Store(false)
	assert.False(t, conn.(upstream.ReusableConn).Reusable())
	_, err = d.Dial(t.Context(), "s", "s")
	assert.Error(t, err)
}
