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

// fakeLease is a lease controlled by the test.
type fakeLease struct {
	mu               sync.Mutex
	fence            uint64
	until            time.Time
	requested, saved uint64
	// savesBlocked keeps the state from being stored.
	savesBlocked bool
}

func (l *fakeLease) Holding() (lease.Holding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lease.Holding{Fence: l.fence, Until: l.until}, time.Now().Before(l.until)
}

func (l *fakeLease) RequestSave() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requested++
	if !l.savesBlocked {
		l.saved = l.requested
	}
	return l.requested
}

func (l *fakeLease) LastSaved() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.saved
}

func (l *fakeLease) update(f func(*fakeLease)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// fakeCloud records the calls.
type fakeCloud struct {
	mu      sync.Mutex
	reports []metering.Report
	// reportedAt is when a window was first reported.
	reportedAt map[metering.Window]time.Time
	orders     []autoscale.Order
	callers    []Caller
	err        error
	// hang makes calls block until their context is done.
	hang bool
}

func (c *fakeCloud) answer(ctx context.Context, caller Caller) error {
	c.callers = append(c.callers, caller)
	if c.hang {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return ctx.Err()
	}
	return c.err
}

func (c *fakeCloud) ReportUsage(ctx context.Context, caller Caller, r metering.Report) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, r)
	err := c.answer(ctx, caller)
	if _, ok := c.reportedAt[r.Window]; !ok && err == nil {
		c.reportedAt[r.Window] = time.Now()
	}
	return err
}

func (c *fakeCloud) OrderServers(ctx context.Context, caller Caller, o autoscale.Order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return c.answer(ctx, caller)
}

func (c *fakeCloud) update(f func(*fakeCloud)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

func (c *fakeCloud) reported() []metering.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]metering.Report(nil), c.reports...)
}

// countsByWindow returns the reported counts. It fails if a window was reported with different
// counts.
func (c *fakeCloud) countsByWindow(t *testing.T) map[metering.Window]map[string]int {
	counts := make(map[metering.Window]map[string]int)
	for _, r := range c.reported() {
		if previous, ok := counts[r.Window]; ok {
			require.Equal(t, previous, r.Counts, "window %d", r.Window)
		}
		counts[r.Window] = r.Counts
	}
	return counts
}

// reportedAfter returns how long after its end a window was reported. It fails if it was not.
func (c *fakeCloud) reportedAfter(t *testing.T, w metering.Window) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Contains(t, c.reportedAt, w, "not reported")
	return c.reportedAt[w].Sub(w.End(windowLength))
}

func (c *fakeCloud) calls() []Caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Caller(nil), c.callers...)
}

func (c *fakeCloud) ordered() []autoscale.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]autoscale.Order(nil), c.orders...)
}

const windowLength = 5 * time.Second

func wallTime(t time.Time) time.Time { return t.Round(0).UTC() }

// testBox is a box that performs the duties.
type testBox struct {
	lease     *fakeLease
	cloud     *fakeCloud
	collector *metering.Collector
	duties    *Runner
	servers   []autoscale.Server
}

func newBox(cloud *fakeCloud) *testBox {
	b := &testBox{lease: &fakeLease{}, cloud: cloud, collector: metering.NewCollector()}
	names := map[metering.OrganisationHash]string{metering.HashOrganisation("alpha"): "alpha"}
	b.duties = New(Deps{
		Box: "box", Lease: b.lease, Cloud: cloud, Logger: log.NewNopLogger(),
		Reporter: NewReporter(ReporterDeps{WindowLength: windowLength, Clock: wallTime, Collector: b.collector, OrganisationNames: func() map[metering.OrganisationHash]string { return names }}),
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

// acquireLease gives the lease to the box.
func (b *testBox) acquireLease(fence uint64, d time.Duration, state []byte) {
	b.duties.Restore(state, false)
	b.lease.update(func(l *fakeLease) { l.fence, l.until = fence, time.Now().Add(d) })
}

// countNow counts requests in the current window.
func (b *testBox) countNow(n uint32) { b.countIn(metering.WindowAt(time.Now(), windowLength), n) }

func (b *testBox) countIn(w metering.Window, n uint32) {
	b.collector.Merge("other", &usagepb.Usage{Incarnation: 1, Windows: []*usagepb.Window{
		{Number: int64(w), Organisations: []uint64{uint64(metering.HashOrganisation("alpha"))}, Counts: []uint32{n}},
	}})
}

// runBoxes runs f with boxes that perform their duties, in simulated time.
func runBoxes(t *testing.T, f func(*testing.T, *fakeCloud, func() *testBox)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		cloud := &fakeCloud{reportedAt: make(map[metering.Window]time.Time)}
		f(t, cloud, func() *testBox {
			b := newBox(cloud)
			wg.Go(func() { b.duties.Run(ctx) })
			return b
		})
		cancel()
		wg.Wait()
	})
}

func TestWindowIsReportedAfterItIsStored(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		b := start()
		b.lease.savesBlocked = true
		b.acquireLease(7, time.Hour, nil)
		window := metering.WindowAt(time.Now(), windowLength)
		b.countNow(3)
		time.Sleep(2 * windowLength)
		assert.Empty(t, cloud.reported(), "reported before the window was stored")
		b.lease.update(func(l *fakeLease) { l.savesBlocked, l.saved = false, l.requested })
		time.Sleep(time.Second)
		require.NotEmpty(t, cloud.reported())
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
		assert.Equal(t, Caller{Box: "box", Fence: 7}, cloud.calls()[0])
	})
}

// Requests counted before the first holder acquired the lease must be reported.
func TestWindowsBeforeFirstHolderAreReported(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		b := start()
		window := metering.WindowAt(time.Now(), windowLength)
		b.countNow(3)
		time.Sleep(3 * windowLength)
		b.acquireLease(7, time.Hour, nil)
		time.Sleep(windowLength)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
	})
}

// Counts of other boxes from just before the first acquisition may arrive after it.
func TestLateCountsBeforeFirstHolderAreReported(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		b := start()
		window := metering.WindowAt(time.Now(), windowLength)
		time.Sleep(time.Until(window.End(windowLength)) + 100*time.Millisecond)
		b.acquireLease(7, time.Hour, nil)
		time.Sleep(500 * time.Millisecond)
		b.countIn(window, 3)
		time.Sleep(2 * windowLength)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
	})
}

// A failed report must be retried with identical counts, even by the next holder and after further
// counts have arrived for its window.
func TestReportIsRetriedUnchanged(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		a, b := start(), start()
		cloud.update(func(c *fakeCloud) { c.err = errors.New("unavailable") })
		a.acquireLease(7, time.Hour, nil)
		window := metering.WindowAt(time.Now(), windowLength)
		a.countNow(3)
		b.countNow(8)
		time.Sleep(2 * windowLength)
		require.NotEmpty(t, cloud.reported())
		state, _ := a.duties.State()
		a.lease.update(func(l *fakeLease) { l.until = time.Now() })
		cloud.update(func(c *fakeCloud) { c.err = nil })
		b.acquireLease(9, time.Hour, state)
		time.Sleep(windowLength)
		counts := cloud.countsByWindow(t)
		assert.Equal(t, map[string]int{"alpha": 3}, counts[window], "counts must be those of the first report")
		assert.Contains(t, counts, window+1, "the following window is reported too")
	})
}

// Guards against windows that nobody reports because a holder, killed in an outage of the store that ended
// with a restore, had announced them as closed but could not store and thus not report them.
func TestUnstoredWindowsAreReportedAfterRestore(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		a, b := start(), start()
		a.acquireLease(7, time.Hour, nil)
		a.countNow(1)
		time.Sleep(2 * windowLength)
		state, _ := a.duties.State()
		require.NotEmpty(t, cloud.reported())
		a.lease.update(func(l *fakeLease) { l.savesBlocked = true })
		window := metering.WindowAt(time.Now(), windowLength)
		a.countNow(3)
		b.countNow(3)
		time.Sleep(2 * windowLength)
		b.duties.Reporter.ObserveNext(a.duties.Reporter.NextWindow())
		a.lease.update(func(l *fakeLease) { l.until = time.Now() })
		b.duties.Restore(state, true)
		b.lease.update(func(l *fakeLease) { l.fence, l.until = 9, time.Now().Add(time.Hour) })
		time.Sleep(2 * windowLength)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
	})
}

func TestNoCallsWithoutLease(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		b := start()
		b.countNow(3)
		time.Sleep(3 * windowLength)
		assert.Empty(t, cloud.calls())
		b.acquireLease(7, 3*time.Second, nil)
		time.Sleep(4 * time.Second)
		n := len(cloud.calls())
		time.Sleep(3 * windowLength)
		assert.Len(t, cloud.calls(), n, "calls after the lease has expired")
	})
}

// A call must not outlast the lease, even if the platform does not answer.
func TestCallsEndBeforeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLease{fence: 7, until: time.Now().Add(300 * time.Millisecond)}
		c := &fencedCaller{box: "box", lease: l}
		startedAt := time.Now()
		_, err := c.call(context.Background(), func(ctx context.Context, _ Caller) error {
			<-ctx.Done()
			return ctx.Err()
		})
		require.Error(t, err)
		assert.LessOrEqual(t, time.Since(startedAt), 300*time.Millisecond)
		_, err = c.call(context.Background(), func(context.Context, Caller) error { return nil })
		assert.ErrorIs(t, err, leaseNotHeldError{})
	})
}

// AwaitIdle must not return while a call is in flight, as the lease is released after it.
func TestAwaitIdleWaitsForCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Deps{Box: "box", Lease: &fakeLease{fence: 7, until: time.Now().Add(time.Hour)}, Logger: log.NewNopLogger()})
		assert.True(t, r.AwaitIdle(context.Background()))
		go r.calls.call(context.Background(), func(context.Context, Caller) error {
			time.Sleep(300 * time.Millisecond)
			return nil
		})
		synctest.Wait()
		shortCtx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		assert.False(t, r.AwaitIdle(shortCtx))
		assert.True(t, r.AwaitIdle(context.Background()))
	})
}

func TestOrderedCountsArePassedToNextHolder(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		a, b := start(), start()
		a.acquireLease(7, time.Hour, nil)
		time.Sleep(3 * time.Second)
		require.NotEmpty(t, cloud.ordered())
		ordered := a.duties.Scaler.Ordered()
		a.lease.update(func(l *fakeLease) { l.until = time.Now() })
		state, _ := a.duties.State()
		b.acquireLease(9, time.Hour, state)
		assert.Equal(t, ordered, b.duties.Scaler.Ordered())
	})
}

// Orders refused for lack of capacity must be retried at intervals only.
func TestRefusedOrdersAreNotRetriedAtOnce(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		cloud.err = &NoCapacityError{Hall: "east", Kind: autoscale.Spot}
		b := start()
		b.acquireLease(7, time.Hour, nil)
		time.Sleep(20 * time.Second)
		assert.NotEmpty(t, cloud.ordered())
		assert.Less(t, len(cloud.ordered()), 40)
	})
}

func TestUndecodableStateIsDropped(t *testing.T) {
	b := newBox(&fakeCloud{})
	b.duties.Restore([]byte("{"), false)
	assert.Zero(t, b.duties.Reporter.Ledger().Next)
	assert.Empty(t, b.duties.Scaler.Ordered())
}

// Guards against windows that are reported too low by a holder that has just started: those that nobody closed while the
// store was silent are due at once, and the other boxes send their counts when they learn of the holder.
func TestHolderThatHasJustStartedWaitsForCounts(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		a := start()
		a.acquireLease(7, time.Hour, nil)
		time.Sleep(2 * windowLength)
		state, _ := a.duties.State()
		a.lease.update(func(l *fakeLease) { l.until = time.Now() })
		window := metering.WindowAt(time.Now(), windowLength)
		time.Sleep(4 * windowLength)

		b := start()
		b.acquireLease(9, time.Hour, state)
		time.Sleep(time.Second)
		b.countIn(window, 3)
		time.Sleep(2 * windowLength)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
	})
}

// Guards against a window that is reported twice with different counts, or not at all, after all boxes were killed: the
// counts of those that were not closed end with their processes, and what was closed is reported as it was stored.
func TestClosedWindowsOutliveAllBoxes(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		a := start()
		cloud.update(func(c *fakeCloud) { c.err = errors.New("response lost") })
		a.acquireLease(7, time.Hour, nil)
		window := metering.WindowAt(time.Now(), windowLength)
		a.countNow(3)
		time.Sleep(2 * windowLength)
		require.NotEmpty(t, cloud.reported())
		state, _ := a.duties.State()
		a.lease.update(func(l *fakeLease) { l.until = time.Now() })
		cloud.update(func(c *fakeCloud) { c.err = nil })

		b := start()
		b.countIn(window, 1)
		b.acquireLease(9, time.Hour, state)
		time.Sleep(3 * windowLength)
		counts := cloud.countsByWindow(t)
		assert.Equal(t, map[string]int{"alpha": 3}, counts[window])
		for w := window; w < window+4; w++ {
			assert.Contains(t, counts, w)
		}
	})
}
