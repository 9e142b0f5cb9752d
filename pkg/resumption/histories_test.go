package resumption

import (
	"context"
	"flag"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/roster"
)

var (
	historiesFirst = flag.Uint64("resumption.first", 1, "the first seed of drawn histories")
	historiesCount = flag.Int("resumption.seeds", 40, "how many histories are drawn")
)

const (
	historyLength = 20 * time.Second
	// listPeriod is how often a box has its list confirmed, unless it is cut off.
	listPeriod  = 900 * time.Millisecond
	maxLag      = 800 * time.Millisecond
	packetLoss  = 0.02
	maxLatency  = 3 * time.Millisecond
	testService = "s"
	minGoingOn  = 0.9
)

// network carries datagrams between the boxes of a history.
type network struct {
	mu     sync.Mutex
	random *rand.Rand
	conns  map[string]*packetConn
	// cut holds the boxes that nothing reaches.
	cut map[string]bool
	// sent and bytes count datagrams.
	sent, bytes int
}

// packetConn is the end of one box.
type packetConn struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	inbox   chan packet
	closed  chan struct{}
	once    sync.Once
}

type packet struct {
	data []byte
	from *net.UDPAddr
}

func (n *network) listen(address *net.UDPAddr) *packetConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &packetConn{network: n, address: address, inbox: make(chan packet, 10_000), closed: make(chan struct{})}
	n.conns[address.String()] = c
	return c
}

func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	n.bytes += len(b)
	target := n.conns[to.String()]
	if target == nil || n.cut[c.address.String()] || n.cut[to.String()] || n.random.Float64() < packetLoss {
		return len(b), nil
	}
	p := packet{append([]byte(nil), b...), c.address}
	time.AfterFunc(time.Duration(n.random.Int64N(int64(maxLatency))), func() {
		select {
		case target.inbox <- p:
		case <-target.closed:
		}
	})
	return len(b), nil
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.inbox:
		return copy(b, p.data), p.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// simulatedBox is a box of a history. It is replaced when it starts again.
type simulatedBox struct {
	entry    roster.Entry
	exchange *Exchange
	versions *VersionHistory
	saver    *StreamSaver
	conn     *packetConn
	stop     context.CancelFunc
	started  time.Time

	mu sync.Mutex
	// listed are the versions of the servers in the list, removed those that were, with the time of the removal.
	listed     []string
	removed    map[string]time.Time
	confirmed  time.Time
	inProgress map[Key]Origin
	cutUntil   time.Time
	down       bool
}

// history is a drawn sequence of what happens to boxes, versions and streams.
type history struct {
	t       *testing.T
	random  *rand.Rand
	network *network
	roster  []roster.Entry
	// renamed is the roster of boxes that took the place of the first ones.
	renamed atomic.Pointer[[]roster.Entry]

	mu    sync.Mutex
	boxes []*simulatedBox
	// versions are those of the servers in the store.
	versions []string
	store    *versionStore
	// saved is nil if boxes save no streams.
	saved *streamStore
	// mixed, wentOn and refused count streams that were taken up; the latter two at boxes in touch.
	mixed, wentOn, refused int
	// settledTries counts tries to take up a stream at boxes that have been up for some seconds, by whether it went on.
	settledTries map[bool]int
	shape        streamShape
	// readingFleet is the size of a fleet up to which each box reads for itself; zero for that of the product.
	readingFleet int
	delays       []time.Duration
	streams      sync.WaitGroup
}

// entries returns the present boxes.
func (h *history) entries() []roster.Entry {
	if renamed := h.renamed.Load(); renamed != nil {
		return *renamed
	}
	return h.roster
}

func (h *history) start(i int) {
	e := h.entries()[i]
	ctx, stop := context.WithCancel(h.t.Context())
	b := &simulatedBox{entry: e, stop: stop, started: clock.Now(), inProgress: make(map[Key]Origin), removed: make(map[string]time.Time), conn: h.network.listen(e.Address())}
	if !h.store.isSilent() {
		b.learn(h.listedVersions(), clock.Now())
	}
	port := datagram.NewPort(datagram.Deps{Box: e.Box, Conn: b.conn, IsPeer: func(netip.AddrPort) bool { return true }, Logger: log.NewNopLogger()})
	b.exchange = New(Deps{
		Box: e.Box, Port: port, Boxes: h.entries, BoxesKnown: func() bool { return true }, Versions: b.versionsOf, InProgress: b.streams, Logger: log.NewNopLogger(),
	})
	b.versions = NewVersionHistory(VersionHistoryDeps{
		Store: h.store, Listed: b.allListed, Rank: func() int { return i }, Boxes: func() int { return len(h.roster) }, OnLoaded: b.exchange.ServersChanged, EarlierBuild: h.store.hasEarlierBuild,
		Timeout: 700 * time.Millisecond, Logger: log.NewNopLogger(),
	})
	if h.saved != nil {
		b.saver = NewStreamSaver(b.exchange, StreamSaverDeps{
			Store: h.saved, Several: func() bool { return b.versions.AnySeveral(clock.Now()) }, HistoryKnown: func() bool { return b.versions.Known(clock.Now()) }, Doubts: b.versions,
			Rank: func() int { return i }, WritesPerSecond: h.store.allowedWrites, Timeout: 700 * time.Millisecond, Logger: log.NewNopLogger(),
		})
		if h.readingFleet > 0 {
			b.saver.readingFleet = h.readingFleet
		}
		go b.saver.Run(ctx)
	}
	go port.Listen()
	go b.exchange.Run(ctx)
	go b.versions.Run(ctx)
	go h.confirmList(ctx, b)
	h.mu.Lock()
	h.boxes[i] = b
	h.mu.Unlock()
}

// known returns the versions that the list has, or had less than Retention ago.
func (b *simulatedBox) known() (versions []string, confirmed time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions = slices.Clone(b.listed)
	for v, at := range b.removed {
		if clock.Since(at) < Retention {
			versions = append(versions, v)
		}
	}
	return versions, b.confirmed
}

func (b *simulatedBox) allListed() (map[string][]string, bool) {
	versions, confirmed := b.known()
	return map[string][]string{testService: versions}, !confirmed.IsZero()
}

func (b *simulatedBox) versionsOf(service string) ServiceVersions {
	versions, confirmed := b.known()
	now := clock.Now()
	return ServiceVersions{Versions: b.versions.With(service, versions, now), Age: now.Sub(confirmed), HistoryKnown: b.versions.Known(now)}
}

// serving returns the versions at which the box may begin a stream.
func (b *simulatedBox) serving() []string {
	b.mu.Lock()
	listed := slices.Clone(b.listed)
	b.mu.Unlock()
	avoid := b.unrecorded()
	begin := slices.DeleteFunc(slices.Clone(listed), func(v string) bool { return slices.Contains(avoid, v) })
	if len(begin) == 0 {
		return listed
	}
	return begin
}

func (b *simulatedBox) unrecorded() []string {
	known, _ := b.known()
	return b.versions.Unrecorded(testService, known, clock.Now())
}

// begin is called as a stream begins at a version.
func (b *simulatedBox) begin(version string) {
	if slices.Contains(b.unrecorded(), version) {
		b.versions.RecordNow()
	}
}

func (b *simulatedBox) streams() iter.Seq2[Key, Origin] {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.All(maps.Clone(b.inProgress))
}

func (b *simulatedBox) isCut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Now().Before(b.cutUntil)
}

// inTouch reports whether the box has been neither down nor cut off lately.
func (b *simulatedBox) inTouch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.down && clock.Since(b.cutUntil) > 3*time.Second
}

func (b *simulatedBox) close() {
	b.mu.Lock()
	b.down = true
	b.mu.Unlock()
	b.stop()
	b.conn.Close()
}

// confirmList brings the list of a box up to date from time to time.
func (h *history) confirmList(ctx context.Context, b *simulatedBox) {
	for ctx.Err() == nil {
		if !b.isCut() && !h.store.isSilent() {
			b.learn(h.listedVersions(), clock.Now())
		}
		wait(ctx, listPeriod)
	}
}

// listedVersions returns the versions of the servers in the store.
func (h *history) listedVersions() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.versions)
}

// learn replaces the list of a box by one that was read at a time.
func (b *simulatedBox) learn(versions []string, asked time.Time) {
	b.mu.Lock()
	if asked.Before(b.confirmed) {
		b.mu.Unlock()
		return
	}
	changed := !slices.Equal(versions, b.listed)
	for _, v := range b.listed {
		if !slices.Contains(versions, v) {
			b.removed[v] = clock.Now()
		}
	}
	for _, v := range versions {
		delete(b.removed, v)
	}
	b.listed, b.confirmed = versions, asked
	b.mu.Unlock()
	if changed && b.exchange != nil {
		b.exchange.ServersChanged()
		b.versions.ServersChanged()
		if b.saver != nil {
			b.saver.ServersChanged()
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (h *history) intN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) between(from, to time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return from + time.Duration(h.random.Int64N(int64(to-from)))
}

// pick returns a random box that is up.
func (h *history) pick() *simulatedBox {
	for range 100 {
		i := h.intN(len(h.roster))
		h.mu.Lock()
		b := h.boxes[i]
		h.mu.Unlock()
		b.mu.Lock()
		down := b.down
		b.mu.Unlock()
		if !down {
			return b
		}
	}
	return nil
}

// stream is the life of one stream, which its caller takes up when it is interrupted.
func (h *history) stream(n int) {
	b := h.pick()
	if b == nil {
		return
	}
	k := KeyOf("a", fmt.Sprint(n))
	versions := b.serving()
	if len(versions) == 0 {
		return
	}
	origin := Origin{Service: testService, Version: versions[h.intN(len(versions))]}
	b.begin(origin.Version)
	for tries := range 3 {
		b.forward(k, origin, h.between(50*time.Millisecond, 3*time.Second))
		time.Sleep(h.between(3*time.Millisecond, 300*time.Millisecond))
		if b = h.pick(); b == nil || tries == 2 {
			return
		}
		start := clock.Now()
		inTouch := b.inTouch()
		v := b.exchange.Find(h.t.Context(), k, testService)
		if !h.count(v, origin, inTouch && b.inTouch(), clock.Since(start)) {
			return
		}
	}
}

// forward forwards events of a stream for a time, or until the box is down.
func (b *simulatedBox) forward(k Key, o Origin, d time.Duration) {
	b.mu.Lock()
	b.inProgress[k] = o
	b.mu.Unlock()
	b.exchange.Began(k, o)
	time.Sleep(d)
	b.mu.Lock()
	delete(b.inProgress, k)
	down := b.down
	b.mu.Unlock()
	if !down {
		b.exchange.Interrupted(k, o)
	}
}

func (h *history) count(v Verdict, o Origin, inTouch bool, took time.Duration) (known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case v.Known && v.Origin.Version != o.Version:
		h.mixed++
		h.t.Logf("stream of two versions: began at %s, verdict %+v", o.Version, v)
	case v.Known && inTouch:
		h.wentOn++
		h.delays = append(h.delays, took)
	case inTouch:
		h.refused++
	}
	return v.Known
}

// trouble strikes one or more boxes.
func (h *history) trouble() {
	switch h.intN(5) {
	case 0, 1:
		h.restart(1, false)
	case 2:
		h.restart(1+len(h.roster)/2, false)
	case 3:
		h.restart(1, true)
	case 4:
		h.cut(h.between(500*time.Millisecond, 4*time.Second))
	}
}

// restart kills boxes, or stops them in order, and starts them again.
func (h *history) restart(n int, orderly bool) {
	for range n {
		i := h.intN(len(h.roster))
		h.mu.Lock()
		b := h.boxes[i]
		h.mu.Unlock()
		if b.mu.Lock(); b.down {
			b.mu.Unlock()
			continue
		}
		b.mu.Unlock()
		if orderly {
			b.exchange.HandOver()
			time.Sleep(10 * time.Millisecond)
		}
		b.close()
		h.streams.Go(func() {
			time.Sleep(h.between(200*time.Millisecond, 2*time.Second))
			h.start(i)
		})
	}
}

func (h *history) cut(d time.Duration) {
	b := h.pick()
	if b == nil {
		return
	}
	address := b.entry.Peer
	b.mu.Lock()
	b.cutUntil = clock.Now().Add(d)
	b.mu.Unlock()
	h.network.mu.Lock()
	h.network.cut[address] = true
	h.network.mu.Unlock()
	h.streams.Go(func() {
		time.Sleep(d)
		h.network.mu.Lock()
		defer h.network.mu.Unlock()
		delete(h.network.cut, address)
	})
}

// appear adds a version, which the boxes that are not cut off learn of one after the other.
func (h *history) appear(version string) {
	h.mu.Lock()
	h.versions = append(h.versions, version)
	versions := append([]string(nil), h.versions...)
	list := append([]*simulatedBox(nil), h.boxes...)
	h.mu.Unlock()
	changedAt := clock.Now()
	for _, b := range list {
		h.streams.Go(func() {
			time.Sleep(h.between(0, maxLag))
			if !b.isCut() {
				b.learn(versions, changedAt)
			}
		})
	}
}

// play plays a drawn history.
func play(t *testing.T, seed uint64) *history {
	var h *history
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		n := 3 + random.IntN(10)
		h = &history{
			t: t, random: random, roster: boxes(n, 1+random.IntN(3)), versions: []string{"v1"}, boxes: make([]*simulatedBox, n), store: &versionStore{},
			network: &network{random: rand.New(rand.NewPCG(seed, 2)), conns: make(map[string]*packetConn), cut: make(map[string]bool)},
		}
		for i := range n {
			h.start(i)
		}
		end := clock.Now().Add(historyLength)
		nextVersion, appeared := h.between(time.Second, 6*time.Second), clock.Now()
		nextTrouble := clock.Now().Add(2 * time.Second)
		for i := 0; clock.Now().Before(end); i++ {
			h.streams.Go(func() { h.stream(i) })
			if len(h.versions) < 4 && clock.Since(appeared) > nextVersion {
				h.appear(fmt.Sprint("v", len(h.versions)+1))
				appeared = clock.Now()
			}
			if clock.Now().After(nextTrouble) {
				h.trouble()
				nextTrouble = clock.Now().Add(h.between(500*time.Millisecond, 3*time.Second))
			}
			time.Sleep(h.between(10*time.Millisecond, 60*time.Millisecond))
		}
		h.streams.Wait()
		for _, b := range h.boxes {
			b.close()
		}
		synctest.Wait()
	})
	return h
}

// Guards against streams of two versions, and against refusals where the version can be known, while boxes are
// killed, stopped, started and cut off, datagrams are lost, and versions appear at the boxes one after the other.
func TestStreamsStayAtTheirVersionInDrawnHistories(t *testing.T) {
	wentOn, refused, mixed := 0, 0, 0
	for i := range *historiesCount {
		seed := *historiesFirst + uint64(i)
		h := play(t, seed)
		if h.mixed > 0 {
			t.Errorf("seed %d: %d streams of two versions, %d went on, %d refused, %d boxes", seed, h.mixed, h.wentOn, h.refused, len(h.roster))
		}
		wentOn, refused, mixed = wentOn+h.wentOn, refused+h.refused, mixed+h.mixed
	}
	assert.GreaterOrEqual(t, float64(wentOn), minGoingOn*float64(wentOn+refused), "streams taken up at boxes in touch")
	t.Logf("%d histories: %d streams went on, %d were refused, %d of two versions", *historiesCount, wentOn, refused, mixed)
}
