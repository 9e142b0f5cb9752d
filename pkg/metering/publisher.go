package metering

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/fleetclock"
	"headhill.example/headhill/pkg/metering/usagepb"
)

const (
	// kind marks the datagrams of this package.
	kind = "usage"
	// tellEvery is how often changes are told. What a box has counted since is lost where it
	// dies: half of this time on average, a twentieth of a window of five seconds.
	tellEvery = 500 * time.Millisecond
	// tellLeast is how often a box that counts nothing tells its wall clock all the same.
	tellLeast = 2 * time.Second
	// entriesMost bounds the counts in one datagram; each takes up to 11 bytes.
	entriesMost = 500
)

// PublisherDeps are what a Publisher is built on.
type PublisherDeps struct {
	Box         string
	Incarnation uint64
	Port        *datagram.Port
	Counter     *Counter
	Collector   *Collector
	Clock       *fleetclock.Clock
	// CollectorAddrs are the addresses of the boxes that collect, this one left out.
	CollectorAddrs func() []*net.UDPAddr
	Logger         log.Logger
}

// Publisher tells the boxes that collect what this one has counted, and takes in what they
// are told.
type Publisher struct {
	PublisherDeps
	// wake has the publisher look at once who collects.
	wake chan struct{}

	// mu guards what follows: a box that ends tells once more beside Run.
	mu   sync.Mutex
	last time.Time
	// known are the addresses that were told before: one that is new lacks what was told until
	// then.
	known map[netip.AddrPort]bool
}

// NewPublisher returns a publisher that hears the port's messages from now on.
func NewPublisher(d PublisherDeps) *Publisher {
	t := &Publisher{PublisherDeps: d, wake: make(chan struct{}, 1), known: make(map[netip.AddrPort]bool)}
	d.Port.Handle(kind, t.receive)
	return t
}

func (t *Publisher) receive(d datagram.Message) {
	m := &usagepb.Usage{}
	if err := proto.Unmarshal(d.Body, m); err != nil {
		_ = level.Debug(t.Logger).Log("msg", "usage message dropped", "from", d.Box, "err", err)
		return
	}
	t.Clock.AddReading(d.Box, m.GetWallMs(), d.Received)
	t.Collector.Merge(d.Box, m)
}

// Wake has the publisher look at once who collects, as when another box holds the lease.
func (t *Publisher) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run tells what is counted until ctx ends.
func (t *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.tell(t.Counter.Changes(clock.Now()))
		case <-t.wake:
			t.tell(nil)
		}
	}
}

// Flush tells all that was counted, as the box is about to end.
func (t *Publisher) Flush() { t.tell(t.Counter.All()) }

// tell tells counts to the boxes that collect, and all that is remembered to those among them
// that were not told before.
func (t *Publisher) tell(windows []*usagepb.Window) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	t.Collector.Evict(WindowAt(t.Clock.Now(now), t.Counter.length))
	t.Collector.Merge(t.Box, t.message(windows, now))
	known, joined := t.recipients()
	if len(joined) > 0 {
		t.send(t.Counter.All(), now, joined)
	}
	if len(windows) > 0 || now.Sub(t.last) >= tellLeast {
		t.last = now
		t.send(windows, now, known)
	}
}

// recipients are the boxes that collect: those that were told before, and those that were not.
func (t *Publisher) recipients() (known, joined []*net.UDPAddr) {
	addresses := make(map[netip.AddrPort]bool)
	for _, a := range t.CollectorAddrs() {
		address := datagram.CanonicalAddrPort(a)
		addresses[address] = true
		if t.known[address] {
			known = append(known, a)
			continue
		}
		joined = append(joined, a)
	}
	t.known = addresses
	return known, joined
}

func (t *Publisher) message(windows []*usagepb.Window, now time.Time) *usagepb.Usage {
	return &usagepb.Usage{Incarnation: t.Incarnation, WallMs: fleetclock.WallMillis(now), Windows: windows}
}

// send sends counts to some boxes.
func (t *Publisher) send(windows []*usagepb.Window, now time.Time, to []*net.UDPAddr) {
	for _, part := range split(windows) {
		body, err := proto.Marshal(t.message(part, now))
		if err != nil || !t.Port.Send(kind, body, to...) {
			_ = level.Warn(t.Logger).Log("msg", "usage not told", "err", err, "bytes", len(body), "windows", len(part))
		}
	}
}

// split cuts windows into messages that fit a datagram; one at the least.
func split(windows []*usagepb.Window) [][]*usagepb.Window {
	parts := [][]*usagepb.Window{nil}
	left := entriesMost
	for _, w := range windows {
		for len(w.GetCounts()) > 0 {
			if left == 0 {
				parts, left = append(parts, nil), entriesMost
			}
			n := min(left, len(w.GetCounts()))
			last := len(parts) - 1
			parts[last] = append(parts[last], &usagepb.Window{Number: w.GetNumber(), Organisations: w.GetOrganisations()[:n], Counts: w.GetCounts()[:n]})
			w = &usagepb.Window{Number: w.GetNumber(), Organisations: w.GetOrganisations()[n:], Counts: w.GetCounts()[n:]}
			left -= n
		}
	}
	return parts
}
