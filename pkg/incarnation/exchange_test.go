package incarnation

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/incarnation/incarnationpb"
)

func TestFormOfMessages(t *testing.T) {
	formstest.CheckShape(t, "incarnation", &incarnationpb.Restarts{})
}

// peerBox is a box that counts what others tell it.
type peerBox struct {
	exchange *Exchange
	conn     net.PacketConn

	mu       sync.Mutex
	received map[string][]Restart
}

func (b *peerBox) restarts(box string) []Restart {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[box]
}

// startBoxes starts boxes that inform each other. change is called with the dependencies of each.
func startBoxes(t *testing.T, n int, change func(i int, d *ExchangeDeps)) []*peerBox {
	boxes := make([]*peerBox, n)
	for i := range boxes {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		boxes[i] = &peerBox{conn: conn, received: make(map[string][]Restart)}
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i, b := range boxes {
		port := datagram.NewPort(datagram.Deps{Box: fmt.Sprint("box-", i), Conn: b.conn, IsPeer: func(netip.AddrPort) bool { return true }, Logger: log.NewNopLogger()})
		var peers []*net.UDPAddr
		for _, other := range boxes {
			if other != b {
				peers = append(peers, other.conn.LocalAddr().(*net.UDPAddr))
			}
		}
		deps := ExchangeDeps{
			Port: port, Peers: func() []*net.UDPAddr { return peers }, Logger: log.NewNopLogger(),
			Receive: func(box string, r Restart) {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.received[box] = append(b.received[box], r)
			},
		}
		change(i, &deps)
		b.exchange = NewExchange(deps)
		go port.Listen()
		go b.exchange.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, b := range boxes {
			b.conn.Close()
		}
	})
	return boxes
}

func TestRestartsReachAllBoxes(t *testing.T) {
	boxes := startBoxes(t, 5, func(int, *ExchangeDeps) {})
	at := clock.Now().Add(-200 * time.Millisecond)
	opened := at.Add(-time.Second)
	boxes[0].exchange.Announce(Restart{Server: "a", At: at, Opened: opened, Certain: true})
	boxes[0].exchange.Announce(Restart{Server: "a", At: at.Add(50 * time.Millisecond), Opened: opened})
	for _, b := range boxes[1:] {
		require.Eventually(t, func() bool { return len(b.restarts("box-0")) == sends }, 5*time.Second, time.Millisecond)
		r := b.restarts("box-0")[0]
		assert.Equal(t, "a", r.Server)
		assert.True(t, r.Certain)
		assert.WithinDuration(t, at, r.At, 40*time.Millisecond)
		assert.WithinDuration(t, opened, r.Opened, 40*time.Millisecond)
	}
}

// Guards against datagrams that grow with the number of connections that break.
func TestRestartsAreSentTogether(t *testing.T) {
	boxes := startBoxes(t, 2, func(int, *ExchangeDeps) {})
	for round := range 20 {
		for i := range 50 {
			boxes[0].exchange.Announce(Restart{Server: fmt.Sprint(round%2, "-", i), At: clock.Now()})
		}
		time.Sleep(time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(boxes[1].restarts("box-0")) >= 100 }, 5*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	assert.LessOrEqual(t, len(boxes[1].restarts("box-0")), 20*maxRestarts)
}

// Guards against connections of several boxes that break at once and do not count together.
func TestConnectionsOfSeveralBoxesCountTogether(t *testing.T) {
	trackers := make([]*fakeTracker, burstLosses)
	for i := range trackers {
		trackers[i] = newFakeTracker()
	}
	boxes := startBoxes(t, burstLosses, func(i int, d *ExchangeDeps) { d.Receive = trackers[i].RecordRemote })
	now := clock.Now()
	for i, f := range trackers {
		f.RecordLost(Connection{Server: f.server, Opened: now.Add(-time.Second), Broken: now}, true)
		boxes[i].exchange.Announce(f.announced[0])
	}
	for _, f := range trackers {
		require.Eventually(t, func() bool { return f.MayHaveRestarted(f.server, true, clock.Now()) }, 5*time.Second, time.Millisecond)
	}
}

// Guards against restarts that are announced seconds late in a large fleet because others were announced before.
func TestFewRestartsAreAnnouncedWithoutDelay(t *testing.T) {
	boxes := startBoxes(t, 2, func(_ int, d *ExchangeDeps) {
		other := d.Peers()[0]
		d.Peers = func() []*net.UDPAddr { return slices.Repeat([]*net.UDPAddr{other}, 200) }
	})
	boxes[0].exchange.Announce(Restart{Server: "a", At: clock.Now()})
	require.Eventually(t, func() bool { return len(boxes[1].restarts("box-0")) > 0 }, 5*time.Second, time.Millisecond)
	begun := clock.Now()
	boxes[0].exchange.Announce(Restart{Server: "b", At: clock.Now()})
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(boxes[1].restarts("box-0"), func(r Restart) bool { return r.Server == "b" })
	}, 5*time.Second, time.Millisecond)
	assert.Less(t, clock.Since(begun), 500*time.Millisecond)
}
