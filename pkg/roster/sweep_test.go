package roster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/stall"
)

// withSweepers runs f with the sweepers of connected boxes. All but the first are listening.
func withSweepers(t *testing.T, n int, f func(*fakeStore, []*Sweeper)) {
	store := &fakeStore{entries: make(map[string]Entry)}
	var sweepers []*Sweeper
	for i := range n {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer conn.Close()
		name := fmt.Sprintf("box-%02d", i)
		r := New(store, Entry{Box: name, Peer: conn.LocalAddr().String()}, stall.Limits{FirstByte: time.Second, Idle: time.Second, Total: time.Second}, log.NewNopLogger())
		port := datagram.NewPort(datagram.Deps{Box: name, Conn: conn, Logger: log.NewNopLogger(), IsPeer: func(netip.AddrPort) bool { return true }})
		sweepers = append(sweepers, NewSweeper(r, port, log.NewNopLogger()))
	}
	for range 2 {
		for _, s := range sweepers {
			_, err := s.roster.Refresh(context.Background())
			require.NoError(t, err)
		}
	}
	for _, s := range sweepers[1:] {
		go s.port.Listen()
	}
	f(store, sweepers)
}

// clock is a clock that a test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// sweepFor sweeps the roster of one box repeatedly for a duration. After each sweep it waits until
// all alive boxes have responded.
func sweepFor(t *testing.T, s *Sweeper, c *clock, d time.Duration, alive ...*Sweeper) {
	for end := c.time().Add(d); c.time().Before(end); c.advance(5 * time.Second) {
		_, _ = s.roster.Refresh(context.Background())
		s.Sweep(context.Background())
		for _, other := range alive {
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return c.time().Sub(s.lastReceived[other.roster.self.Box]) <= pingAfter
			}, 10*time.Second, time.Millisecond)
		}
	}
}

func TestUnresponsiveBoxIsRemoved(t *testing.T) {
	withSweepers(t, 5, func(store *fakeStore, sweepers []*Sweeper) {
		s, c := sweepers[0], &clock{now: time.Now()}
		s.now = c.time
		go s.port.Listen()
		sweepFor(t, s, c, 3*removeAfter, sweepers[1:]...)
		require.Len(t, store.entries, 5, "responding boxes stay")
		sweepers[4].port.Conn.Close()
		sweepFor(t, s, c, pingAfter+removeAfter/2, sweepers[1:4]...)
		require.Len(t, store.entries, 5, "not removed before removeAfter")
		sweepFor(t, s, c, 2*removeAfter, sweepers[1:4]...)
		assert.NotContains(t, store.entries, "box-04")
		assert.Len(t, store.entries, 4)
	})
}

// A box that receives no responses may be partitioned itself and must not remove others.
func TestPartitionedBoxRemovesNoOthers(t *testing.T) {
	withSweepers(t, 5, func(store *fakeStore, sweepers []*Sweeper) {
		s, c := sweepers[0], &clock{now: time.Now()}
		s.now = c.time
		go s.port.Listen()
		for _, other := range sweepers[1:] {
			other.port.Conn.Close()
		}
		sweepFor(t, s, c, 5*removeAfter)
		assert.Len(t, store.entries, 5)
	})
}

func TestRemovedBoxRegistersAgain(t *testing.T) {
	withSweepers(t, 3, func(store *fakeStore, sweepers []*Sweeper) {
		delete(store.entries, "box-01")
		for range 2 {
			_, err := sweepers[1].roster.Refresh(context.Background())
			require.NoError(t, err)
		}
		assert.Contains(t, store.entries, "box-01")
	})
}

func TestUnseenEntriesAreNotPinged(t *testing.T) {
	withSweepers(t, 3, func(_ *fakeStore, sweepers []*Sweeper) {
		s, now := sweepers[0], time.Now()
		toPing, toRemove := s.classify([]Entry{{Box: "new", Peer: "invalid"}}, now)
		assert.Empty(t, toPing, "the entry is new")
		assert.Empty(t, toRemove)
	})
}

// In a large fleet, few boxes send datagrams to the sweeping box on their own. Its pings must
// still reach most of them, so that failed boxes are detected.
func TestUnresponsiveBoxIsDetectedInLargeFleet(t *testing.T) {
	for _, count := range []int{20, 300, 1700} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			entries := fleetOf(count, 5, 20)
			r := New(&fakeStore{}, entries[0], stall.Limits{}, log.NewNopLogger())
			s := &Sweeper{roster: r, lastReceived: make(map[string]time.Time), unanswered: make(map[string]unansweredBox)}
			now := time.Now()
			s.now = func() time.Time { return now }
			const checks = 2 * time.Second
			for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(checks) {
				toPing, toRemove := s.classify(entries, now)
				if len(toRemove) > 0 {
					assert.Equal(t, "box-0007", toRemove[0].Box)
					assert.Len(t, toRemove, 1)
					return
				}
				for _, e := range toPing {
					if e.Box != "box-0007" {
						s.recordReceived(e.Box)
					}
				}
			}
			t.Error("the failed box was not detected")
		})
	}
}
