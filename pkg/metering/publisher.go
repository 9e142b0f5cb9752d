package metering

import (
	"context"
	"net"
	"net/netip"
	"slices"
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
	// datagramKind is the kind of usage messages.
	datagramKind = "usage"
	// publishInterval is the interval at which changed counts are published. Counts since the last
	// message are lost if the box dies: those of half an interval on average, a twentieth of a window
	// of five seconds.
	publishInterval = 500 * time.Millisecond
	// MaxPublishInterval is the interval at which a box without changes publishes its wall clock.
	MaxPublishInterval = 2 * time.Second
	// maxEntriesPerDatagram limits the number of counts per message; each takes up to 11 bytes.
	maxEntriesPerDatagram = 500
)

// CollectorBox is a box that collects counts. Its incarnation identifies the process: one that has restarted at its address
// knows no counts.
type CollectorBox struct {
	Addr        *net.UDPAddr
	Incarnation uint64
}

// collectorKey identifies a process at an address.
type collectorKey struct {
	address     netip.AddrPort
	incarnation uint64
}

// PublisherDeps are the dependencies of a Publisher.
type PublisherDeps struct {
	Box         string
	Incarnation uint64
	Port        *datagram.Port
	Counter     *Counter
	Collector   *Collector
	Clock       *fleetclock.Clock
	// Collectors returns the other boxes that collect counts.
	Collectors func() []CollectorBox
	// NextWindow returns the first window that no lease holder has closed and stored, as far as this box knows.
	// OnNextWindow receives what other boxes know.
	NextWindow   func() Window
	OnNextWindow func(Window)
	Logger       log.Logger
}

// Publisher sends the counts of this box to the collecting boxes, and merges the counts that it
// receives.
type Publisher struct {
	PublisherDeps
	// wake triggers an immediate check for new collecting boxes.
	wake chan struct{}

	// mu guards the fields below, as Flush may run concurrently with Run.
	mu            sync.Mutex
	lastPublished time.Time
	// fullSends is how often each collecting box has been sent all counts, at most sendsPerChange.
	fullSends map[collectorKey]int
	// openSends is how often the counts of open windows have still to be sent after Wake.
	openSends int
}

// NewPublisher returns a publisher that handles usage messages received on the port.
func NewPublisher(d PublisherDeps) *Publisher {
	p := &Publisher{PublisherDeps: d, wake: make(chan struct{}, 1), fullSends: make(map[collectorKey]int)}
	d.Port.Handle(datagramKind, p.handleUsage)
	return p
}

func (p *Publisher) handleUsage(d datagram.Message) {
	m := &usagepb.Usage{}
	if err := proto.Unmarshal(d.Body, m); err != nil {
		_ = level.Debug(p.Logger).Log("msg", "dropped malformed usage message", "from", d.Box, "err", err)
		return
	}
	p.Clock.AddReading(d.Box, m.GetWallMs(), d.Received)
	p.Collector.Merge(d.Box, m)
	p.Collector.Received(d.Received)
	p.OnNextWindow(Window(m.GetNextWindow()))
}

// Wake makes the publisher check for new collecting boxes and send all counts of open windows at once, as after a change of
// the lease holder: it may have been cut off when they were sent.
func (p *Publisher) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run publishes counts until ctx is done.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.publish(p.Counter.Changes(clock.Now()))
		case <-p.wake:
			p.publishOpen()
		}
	}
}

// publishOpen publishes the counts of the windows that no holder has closed, and once more with the next message.
func (p *Publisher) publishOpen() {
	p.mu.Lock()
	p.openSends = sendsPerChange
	p.mu.Unlock()
	p.publish(nil)
}

// withOpen adds the counts of open windows if they have to be sent. The caller must hold p.mu.
func (p *Publisher) withOpen(windows []*usagepb.Window) []*usagepb.Window {
	if p.openSends == 0 {
		return windows
	}
	p.openSends--
	next := int64(p.NextWindow())
	open := p.Counter.All()
	return append(windows, slices.DeleteFunc(open, func(w *usagepb.Window) bool { return w.GetNumber() < next })...)
}

// Flush publishes all retained counts, before the box stops.
func (p *Publisher) Flush() { p.publish(p.Counter.All()) }

// publish sends counts to the collecting boxes, and all retained counts to those among them that
// are new, as often as a change, as datagrams may be lost.
func (p *Publisher) publish(windows []*usagepb.Window) {
	p.mu.Lock()
	defer p.mu.Unlock()
	windows = p.withOpen(windows)
	now := clock.Now()
	p.Collector.Evict(WindowAt(p.Clock.Now(now), p.Counter.windowLength))
	p.Collector.Merge(p.Box, p.message(windows, now))
	informed, uninformed := p.recipients()
	if len(uninformed) > 0 {
		p.send(p.Counter.All(), now, uninformed)
	}
	if len(windows) > 0 || now.Sub(p.lastPublished) >= MaxPublishInterval {
		p.lastPublished = now
		p.send(windows, now, informed)
	}
}

// recipients returns the addresses of the collecting boxes, split into known and new ones.
func (p *Publisher) recipients() (informed, uninformed []*net.UDPAddr) {
	fullSends := make(map[collectorKey]int)
	for _, c := range p.Collectors() {
		key := collectorKey{datagram.CanonicalAddrPort(c.Addr), c.Incarnation}
		fullSends[key] = min(p.fullSends[key]+1, sendsPerChange)
		if p.fullSends[key] == sendsPerChange {
			informed = append(informed, c.Addr)
			continue
		}
		uninformed = append(uninformed, c.Addr)
	}
	p.fullSends = fullSends
	return informed, uninformed
}

func (p *Publisher) message(windows []*usagepb.Window, now time.Time) *usagepb.Usage {
	return &usagepb.Usage{Incarnation: p.Incarnation, WallMs: fleetclock.WallMillis(now), Windows: windows, NextWindow: int64(p.NextWindow())}
}

// send sends counts to the given boxes.
func (p *Publisher) send(windows []*usagepb.Window, now time.Time, to []*net.UDPAddr) {
	for _, part := range splitWindows(windows) {
		body, err := proto.Marshal(p.message(part, now))
		if err != nil || !p.Port.Send(datagramKind, body, to...) {
			_ = level.Warn(p.Logger).Log("msg", "could not send usage", "err", err, "bytes", len(body), "windows", len(part))
		}
	}
}

// splitWindows splits windows into messages that fit a datagram. It returns at least one message.
func splitWindows(windows []*usagepb.Window) [][]*usagepb.Window {
	parts := [][]*usagepb.Window{nil}
	remaining := maxEntriesPerDatagram
	for _, w := range windows {
		for len(w.GetCounts()) > 0 {
			if remaining == 0 {
				parts, remaining = append(parts, nil), maxEntriesPerDatagram
			}
			n := min(remaining, len(w.GetCounts()))
			last := len(parts) - 1
			parts[last] = append(parts[last], &usagepb.Window{Number: w.GetNumber(), Organisations: w.GetOrganisations()[:n], Counts: w.GetCounts()[:n]})
			w = &usagepb.Window{Number: w.GetNumber(), Organisations: w.GetOrganisations()[n:], Counts: w.GetCounts()[n:]}
			remaining -= n
		}
	}
	return parts
}
