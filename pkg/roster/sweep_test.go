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

// withSweepers runs f with boxes whose sweepers hear each other.
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

// clock is a steady clock that a test moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) move(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// sweepFor sweeps one box's roster for a time in steps, each of which ends when the
// boxes that are there have answered.
func sweepFor(t *testing.T, s *Sweeper, c *clock, d time.Duration, alive ...*Sweeper) {
	for end := c.time().Add(d); c.time().Before(end); c.move(5 * time.Second) {
		_, _ = s.roster.Refresh(context.Background())
		s.Sweep(context.Background())
		for _, other := range alive {
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return c.time().Sub(s.heard[other.roster.self.Box]) <= silentAfter
			}, 10*time.Second, time.Millisecond)
		}
	}
}

func TestBoxThatIsGoneIsTakenOut(t *testing.T) {
	withSweepers(t, 5, func(store *fakeStore, sweepers []*Sweeper) {
		s, c := sweepers[0], &clock{now: time.Now()}
		s.now = c.time
		go s.port.Listen()
		sweepFor(t, s, c, 3*goneAfter, sweepers[1:]...)
		require.Len(t, store.entries, 5, "boxes that answer stay")
		sweepers[4].port.Conn.Close()
		sweepFor(t, s, c, silentAfter+goneAfter/2, sweepers[1:4]...)
		require.Len(t, store.entries, 5, "not before it was asked for long")
		sweepFor(t, s, c, 2*goneAfter, sweepers[1:4]...)
		assert.NotContains(t, store.entries, "box-04")
		assert.Len(t, store.entries, 4)
	})
}

// A box that hears nobody is cut off itself: it takes nobody out.
func TestBoxThatIsCutOffTakesNobodyOut(t *testing.T) {
	withSweepers(t, 5, func(store *fakeStore, sweepers []*Sweeper) {
		s, c := sweepers[0], &clock{now: time.Now()}
		s.now = c.time
		go s.port.Listen()
		for _, other := range sweepers[1:] {
			other.port.Conn.Close()
		}
		sweepFor(t, s, c, 5*goneAfter)
		assert.Len(t, store.entries, 5)
	})
}

func TestBoxThatWasTakenOutEntersAgain(t *testing.T) {
	withSweepers(t, 3, func(store *fakeStore, sweepers []*Sweeper) {
		delete(store.entries, "box-01")
		for range 2 {
			_, err := sweepers[1].roster.Refresh(context.Background())
			require.NoError(t, err)
		}
		assert.Contains(t, store.entries, "box-01")
	})
}

func TestStrangeEntriesAreLeftAlone(t *testing.T) {
	withSweepers(t, 3, func(_ *fakeStore, sweepers []*Sweeper) {
		s, now := sweepers[0], time.Now()
		ask, gone := s.look([]Entry{{Box: "new", Peer: "nonsense"}}, now)
		assert.Empty(t, ask, "it has just been seen for the first time")
		assert.Empty(t, gone)
	})
}

// In a fleet of hundreds one box checks for all, and few others send it anything by
// themselves. It asks often enough to hear most of them, and finds those that are gone.
func TestBoxThatIsGoneIsFoundAmongHundreds(t *testing.T) {
	for _, count := range []int{20, 300, 1700} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			entries := fleetOf(count, 5, 20)
			r := New(&fakeStore{}, entries[0], stall.Limits{}, log.NewNopLogger())
			s := &Sweeper{roster: r, heard: make(map[string]time.Time), silent: make(map[string]silentBox)}
			now := time.Now()
			s.now = func() time.Time { return now }
			const checks = 2 * time.Second
			for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(checks) {
				ask, gone := s.look(entries, now)
				if len(gone) > 0 {
					assert.Equal(t, "box-0007", gone[0].Box)
					assert.Len(t, gone, 1)
					return
				}
				for _, e := range ask {
					if e.Box != "box-0007" {
						s.hear(e.Box)
					}
				}
			}
			t.Error("the box that is gone was not found")
		})
	}
}
