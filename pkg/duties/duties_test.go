package duties

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/lease"
	"headhill.example/headhill/pkg/metering"
	"headhill.example/headhill/pkg/metering/usagepb"
)

// holder is a lease that the test gives and takes.
type holder struct {
	mu            sync.Mutex
	fence         uint64
	until         time.Time
	wanted, saved uint64
	// stuck keeps states from being saved.
	stuck bool
}

func (h *holder) Holding() (lease.Holding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lease.Holding{Fence: h.fence, Until: h.until}, time.Now().Before(h.until)
}

func (h *holder) RequestSave() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted++
	if !h.stuck {
		h.saved = h.wanted
	}
	return h.wanted
}

func (h *holder) LastSaved() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.saved
}

func (h *holder) set(f func(*holder)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

// cloudFake notes the calls and answers as it is told.
type cloudFake struct {
	mu      sync.Mutex
	reports []metering.Report
	orders  []autoscale.Order
	callers []Caller
	err     error
	// hang makes calls wait until their context ends.
	hang bool
}

func (c *cloudFake) answer(ctx context.Context, by Caller) error {
	c.callers = append(c.callers, by)
	if c.hang {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return ctx.Err()
	}
	return c.err
}

func (c *cloudFake) ReportUsage(ctx context.Context, by Caller, r metering.Report) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, r)
	return c.answer(ctx, by)
}

func (c *cloudFake) OrderServers(ctx context.Context, by Caller, o autoscale.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return c.answer(ctx, by)
}

func (c *cloudFake) set(f func(*cloudFake)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

func (c *cloudFake) reported() []metering.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]metering.Report(nil), c.reports...)
}

// contents are what was reported of each window; a window has one content only.
func (c *cloudFake) contents(t *testing.T) map[metering.Window]map[string]int {
	contents := make(map[metering.Window]map[string]int)
	for _, r := range c.reported() {
		if before, ok := contents[r.Window]; ok {
			require.Equal(t, before, r.Counts, "window %d", r.Window)
		}
		contents[r.Window] = r.Counts
	}
	return contents
}

func (c *cloudFake) calls() []Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Caller(nil), c.callers...)
}

func (c *cloudFake) ordered() []autoscale.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]autoscale.Order(nil), c.orders...)
}

const windowLength = 5 * time.Second

func wall(t time.Time) time.Time { return t.Round(0).UTC() }

// box is one that does the duties.
type box struct {
	holder    *holder
	cloud     *cloudFake
	collector *metering.Collector
	duties    *Runner
	servers   []autoscale.Server
}

func newBox(cloud *cloudFake) *box {
	b := &box{holder: &holder{}, cloud: cloud, collector: metering.NewCollector()}
	names := map[metering.OrganisationHash]string{metering.HashOrganisation("alpha"): "alpha"}
	b.duties = New(Deps{
		Box: "box", Lease: b.holder, Cloud: cloud, Logger: log.NewNopLogger(),
		Reporter: NewReporter(ReporterDeps{WindowLength: windowLength, Clock: wall, Collector: b.collector, OrganisationNames: func() map[metering.OrganisationHash]string { return names }}),
		Scaler: NewScaler(ScalerDeps{Policy: autoscale.ExpectedLoss{WorkValue: 12}, Services: func(time.Time) []Service {
			offer := autoscale.Offer{MinServers: 1, MaxServers: 20, Boot: time.Second, SpotPrice: 0.2, Prices: map[string]float64{"east": 1}}
			return []Service{{Name: "models", Offer: offer, Servers: b.servers, Load: autoscale.Load{BusyServers: 2, Known: true}}}
		}}),
	})
	for range 5 {
		b.servers = append(b.servers, autoscale.Server{Hall: "east"})
	}
	return b
}

// hold gives the box the lease.
func (b *box) hold(fence uint64, d time.Duration, state []byte) {
	b.duties.Restore(state)
	b.holder.set(func(h *holder) { h.fence, h.until = fence, time.Now().Add(d) })
}

// count counts requests in the window of now.
func (b *box) count(n uint32) { b.countIn(metering.WindowAt(time.Now(), windowLength), n) }

func (b *box) countIn(w metering.Window, n uint32) {
	b.collector.Merge("other", &usagepb.Usage{Incarnation: 1, Windows: []*usagepb.Window{
		{Number: int64(w), Organisations: []uint64{uint64(metering.HashOrganisation("alpha"))}, Counts: []uint32{n}},
	}})
}

// play runs f in played time with boxes that do their duties.
func play(t *testing.T, f func(*testing.T, *cloudFake, func() *box)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		cloud := &cloudFake{}
		f(t, cloud, func() *box {
			b := newBox(cloud)
			wg.Go(func() { b.duties.Run(ctx) })
			return b
		})
		cancel()
		wg.Wait()
	})
}

func TestWindowIsReportedOnceItIsRecorded(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		b := start()
		b.holder.stuck = true
		b.hold(7, time.Hour, nil)
		counted := metering.WindowAt(time.Now(), windowLength)
		b.count(3)
		time.Sleep(2 * windowLength)
		assert.Empty(t, cloud.reported(), "not before the store has it")
		b.holder.set(func(h *holder) { h.stuck, h.saved = false, h.wanted })
		time.Sleep(time.Second)
		require.NotEmpty(t, cloud.reported())
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.contents(t)[counted])
		assert.Equal(t, Caller{Box: "box", Fence: 7}, cloud.calls()[0])
	})
}

// What was counted before any box held the lease for the first time is reported too.
func TestWindowsBeforeTheFirstHolderAreReported(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		b := start()
		counted := metering.WindowAt(time.Now(), windowLength)
		b.count(3)
		time.Sleep(3 * windowLength)
		b.hold(7, time.Hour, nil)
		time.Sleep(windowLength)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.contents(t)[counted])
	})
}

// What other roster size changed just before that may be heard only after it.
func TestWindowJustBeforeTheFirstHolderIsReported(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		b := start()
		before := metering.WindowAt(time.Now(), windowLength)
		time.Sleep(time.Until(before.End(windowLength)) + 100*time.Millisecond)
		b.hold(7, time.Hour, nil)
		time.Sleep(500 * time.Millisecond)
		b.countIn(before, 3)
		time.Sleep(2 * windowLength)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.contents(t)[before])
	})
}

// A report that failed is repeated to the letter, also by the next holder, and also if more
// was heard of its window meanwhile.
func TestReportIsRepeatedToTheLetter(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		a, b := start(), start()
		cloud.set(func(c *cloudFake) { c.err = errors.New("busy") })
		a.hold(7, time.Hour, nil)
		counted := metering.WindowAt(time.Now(), windowLength)
		a.count(3)
		b.count(8)
		time.Sleep(2 * windowLength)
		require.NotEmpty(t, cloud.reported())
		state := a.duties.State()
		a.holder.set(func(h *holder) { h.until = time.Now() })
		cloud.set(func(c *cloudFake) { c.err = nil })
		b.hold(9, time.Hour, state)
		time.Sleep(windowLength)
		contents := cloud.contents(t)
		assert.Equal(t, map[string]int{"alpha": 3}, contents[counted], "not what the next holder has heard")
		assert.Contains(t, contents, counted+1, "the next window follows")
	})
}

func TestNothingIsCalledWithoutTheLease(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		b := start()
		b.count(3)
		time.Sleep(3 * windowLength)
		assert.Empty(t, cloud.calls())
		b.hold(7, 3*time.Second, nil)
		time.Sleep(4 * time.Second)
		n := len(cloud.calls())
		time.Sleep(3 * windowLength)
		assert.Len(t, cloud.calls(), n, "the lease is over")
	})
}

// A call ends with the lease, also if the platform says nothing.
func TestCallEndsBeforeTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{fence: 7, until: time.Now().Add(300 * time.Millisecond)}
		c := &caller{box: "box", holder: h}
		begun := time.Now()
		_, err := c.call(context.Background(), func(ctx context.Context, _ Caller) error {
			<-ctx.Done()
			return ctx.Err()
		})
		require.Error(t, err)
		assert.LessOrEqual(t, time.Since(begun), 300*time.Millisecond)
		_, err = c.call(context.Background(), func(context.Context, Caller) error { return nil })
		assert.ErrorIs(t, err, notHeldError{})
	})
}

// A lease is handed over once no call is under way any more.
func TestCallsUnderWayAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Deps{Box: "box", Lease: &holder{fence: 7, until: time.Now().Add(time.Hour)}, Logger: log.NewNopLogger()})
		assert.True(t, d.AwaitIdle(context.Background()))
		go d.calls.call(context.Background(), func(context.Context, Caller) error {
			time.Sleep(300 * time.Millisecond)
			return nil
		})
		synctest.Wait()
		short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		assert.False(t, d.AwaitIdle(short))
		assert.True(t, d.AwaitIdle(context.Background()))
	})
}

func TestOrdersAreHandedOn(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		a, b := start(), start()
		a.hold(7, time.Hour, nil)
		time.Sleep(3 * time.Second)
		require.NotEmpty(t, cloud.ordered())
		books := a.duties.Scaler.Ordered()
		a.holder.set(func(h *holder) { h.until = time.Now() })
		b.hold(9, time.Hour, a.duties.State())
		assert.Equal(t, books, b.duties.Scaler.Ordered())
	})
}

// Servers that can't be had are asked for again now and then, not all the time.
func TestRefusedOrdersAreNotRepeatedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, cloud *cloudFake, start func() *box) {
		cloud.err = &NoCapacityError{Hall: "east", Kind: autoscale.Spot}
		b := start()
		b.hold(7, time.Hour, nil)
		time.Sleep(20 * time.Second)
		assert.NotEmpty(t, cloud.ordered())
		assert.Less(t, len(cloud.ordered()), 40)
	})
}

func TestStateThatCanNotBeReadIsBegunAnew(t *testing.T) {
	b := newBox(&cloudFake{})
	b.duties.Restore([]byte("{"))
	assert.Zero(t, b.duties.Reporter.Ledger().Next)
	assert.Empty(t, b.duties.Scaler.Ordered())
}
