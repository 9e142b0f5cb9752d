package quarantine

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/quarantine/quarantinepb"
)

func evidenceItem(digest []byte, ended, ages, excused int) *quarantinepb.Item {
	return &quarantinepb.Item{
		Digest: digest, Ended: make([]uint64, ended), Ages: make([]uint32, ages), Excused: make([]uint64, excused),
	}
}

// memoryStore is a store in memory.
type memoryStore struct {
	mu     sync.Mutex
	stored Stored
	reads  int
	writes int
}

func (m *memoryStore) Read(context.Context) (Stored, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	s := m.stored
	s.Record.Held = append([]HeldRequest(nil), s.Record.Held...)
	return s, nil
}

func (m *memoryStore) Write(_ context.Context, r Record, revision uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision != m.stored.Revision {
		return &ConflictError{Revision: revision}
	}
	m.writes++
	m.stored = Stored{Record: r, Revision: revision + 1}
	return nil
}

// calls is how many reads and writes there were.
func (m *memoryStore) calls() (reads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

func (m *memoryStore) held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.stored.Record.Held)
}

// boxes are quarantines that hear each other over datagrams.
type boxes struct {
	t     *testing.T
	store *memoryStore
	list  []*Quarantine
	stop  []func()
	// lost drops a part of the datagrams, as one in lost; zero drops none.
	lost int

	mu    sync.Mutex
	peers []*net.UDPAddr
}

// lossyConn drops one in some of the datagrams that are sent.
type lossyConn struct {
	net.PacketConn
	mu   sync.Mutex
	lost int
	sent int
}

func (c *lossyConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.mu.Lock()
	c.sent++
	drop := c.lost > 0 && c.sent%c.lost == 0
	c.mu.Unlock()
	if drop {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

func startBoxes(t *testing.T, n, lost int) *boxes {
	b := &boxes{t: t, store: &memoryStore{}, lost: lost}
	for range n {
		b.start()
	}
	t.Cleanup(func() {
		for i := range b.list {
			b.kill(i)
		}
	})
	return b
}

func (b *boxes) start() *Quarantine {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b.t, err)
	self := conn.LocalAddr().(*net.UDPAddr)
	port := datagram.NewPort(datagram.Deps{
		Box: fmt.Sprint("box-", len(b.list)), Conn: &lossyConn{PacketConn: conn, lost: b.lost}, Logger: log.NewNopLogger(),
		IsPeer: func(netip.AddrPort) bool { return true },
	})
	q := New(Deps{Port: port, Peers: func() []*net.UDPAddr { return b.others(self) }, Store: b.store, Timeout: time.Second, Logger: log.NewNopLogger()})
	b.mu.Lock()
	b.peers = append(b.peers, self)
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(port.Listen)
	wg.Go(func() { q.Run(ctx) })
	b.list = append(b.list, q)
	b.stop = append(b.stop, sync.OnceFunc(func() {
		cancel()
		conn.Close()
		wg.Wait()
	}))
	return q
}

func (b *boxes) others(self *net.UDPAddr) []*net.UDPAddr {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*net.UDPAddr
	for _, p := range b.peers {
		if p.Port != self.Port {
			list = append(list, p)
		}
	}
	return list
}

func (b *boxes) kill(i int) { b.stop[i]() }

// end lets a box see a server end under a request.
func (b *boxes) end(box int, f Fingerprint, server int) {
	now := time.Now()
	b.list[box].RecordCrash(f, life(server), now)
}

func (b *boxes) allHold(f Fingerprint) bool {
	for _, q := range b.list {
		if !q.Verdict(f).Held {
			return false
		}
	}
	return true
}

// Three boxes each see one server end under the same request; all boxes hold it soon, also where
// a part of the datagrams is lost, and where there are more than are told directly.
func TestAllBoxesHoldWhatThreeOfThemSaw(t *testing.T) {
	for _, c := range []struct{ boxes, lost int }{{4, 0}, {7, 3}, {60, 0}, {60, 10}} {
		t.Run(fmt.Sprintf("%d boxes, one in %d lost", c.boxes, c.lost), func(t *testing.T) {
			b := startBoxes(t, c.boxes, c.lost)
			f := request("deadly")
			for n := range 3 {
				time.Sleep(2 * IncidentWindow)
				b.end(n, f, n)
			}
			third := time.Now()
			require.Eventually(t, func() bool { return b.allHold(f) }, 10*time.Second, 2*time.Millisecond)
			t.Logf("held everywhere %s after the third end", time.Since(third))
			require.Eventually(t, func() bool { return b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
			_, writes := b.store.calls()
			assert.LessOrEqual(t, writes, 3)
		})
	}
}

func TestBoxesThatStartLearnWhatIsHeld(t *testing.T) {
	b := startBoxes(t, 3, 0)
	f := request("deadly")
	for n := range 3 {
		b.end(0, f, n)
		time.Sleep(2 * IncidentWindow)
	}
	require.Eventually(t, func() bool { return b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
	late := b.start()
	require.Eventually(t, func() bool { return late.Verdict(f).Held }, 10*time.Second, 5*time.Millisecond)
	for i := range b.list {
		b.kill(i)
	}
	b.list, b.stop, b.peers = nil, nil, nil
	before, _ := b.store.calls()
	for range 3 {
		b.start()
	}
	require.Eventually(t, func() bool { return b.allHold(f) }, 10*time.Second, 5*time.Millisecond, "the store outlives all boxes")
	reads, _ := b.store.calls()
	assert.LessOrEqual(t, reads-before, 3)
}

func TestReleasedRequestsRunAgainEverywhere(t *testing.T) {
	b := startBoxes(t, 5, 0)
	f := request("harmless")
	for n := range 3 {
		b.end(n, f, n)
		time.Sleep(2 * IncidentWindow)
	}
	require.Eventually(t, func() bool { return b.allHold(f) && b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
	listed := b.list[2].Held(clock.Now())
	require.Len(t, listed, 1)
	assert.Equal(t, f.String(), listed[0].Request)
	assert.Equal(t, 3, listed[0].Crashes)
	assert.InDelta(t, trialFirst.Seconds(), listed[0].NextTrialSeconds, 5)
	var unknown *UnknownRequestError
	require.ErrorAs(t, b.list[4].Release("000000000000"), &unknown)
	require.ErrorAs(t, b.list[4].Release("no name"), &unknown)
	require.NoError(t, b.list[4].Release(f.String()))
	require.Eventually(t, func() bool {
		for _, q := range b.list {
			if q.Verdict(f).Held {
				return false
			}
		}
		return b.store.held() == 0
	}, 10*time.Second, 5*time.Millisecond)
}

// Of all boxes that may try a held request, one does.
func TestOneBoxMakesATrial(t *testing.T) {
	b := startBoxes(t, 4, 0)
	f := request("deadly")
	for n := range 3 {
		b.end(0, f, n)
		time.Sleep(2 * IncidentWindow)
	}
	require.Eventually(t, func() bool { return b.allHold(f) && b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
	now := time.Now()
	assert.False(t, b.list[0].BeginTrial(context.Background(), f, now), "it is too soon")

	due := b.list[0].Verdict(f).NextTrial.Add(time.Second)
	granted := make(chan bool, len(b.list))
	var wg conc.WaitGroup
	for _, q := range b.list {
		wg.Go(func() { granted <- q.BeginTrial(context.Background(), f, due) })
	}
	wg.Wait()
	close(granted)
	n := 0
	for ok := range granted {
		if ok {
			n++
		}
	}
	assert.Equal(t, 1, n)
}
