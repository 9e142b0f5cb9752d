package duties

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/metering"
	"headhill.example/headhill/pkg/metering/usagepb"
)

// startOfTime is a clock at which no window has ended yet.
func startOfTime(time.Time) time.Time { return time.Unix(0, 0) }

// Guards against windows that a holder closes again because it started after a restore lost the last ledger.
func TestRestoredLedgerWaitsForOtherBoxes(t *testing.T) {
	r := NewReporter(ReporterDeps{Collector: metering.NewCollector(), WindowLength: time.Second, Clock: startOfTime})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	now := clock.Now()
	r.restore(&metering.Ledger{Next: 5}, true)
	assert.False(t, r.ensureCaughtUp(now))
	r.ObserveNext(8)
	assert.False(t, r.ensureCaughtUp(now))
	assert.True(t, r.ensureCaughtUp(now.Add(2*catchUpDelay)))
	assert.Equal(t, metering.Window(8), r.Ledger().Next)
	assert.True(t, r.ensureCaughtUp(now), "the ledger is brought up to date once")
}

func TestLedgerOfPreviousHolderIsUsedAtOnce(t *testing.T) {
	r := NewReporter(ReporterDeps{Collector: metering.NewCollector(), WindowLength: time.Second, Clock: startOfTime})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	r.ObserveNext(8)
	r.restore(&metering.Ledger{Next: 5}, false)
	assert.True(t, r.ensureCaughtUp(clock.Now()))
	assert.Equal(t, metering.Window(5), r.Ledger().Next)
}

// Guards against empty reports of windows that a holder reported before all boxes restarted.
func TestWindowsWithoutCountsAreSkippedAfterRestore(t *testing.T) {
	c := metering.NewCollector()
	r := NewReporter(ReporterDeps{Collector: c})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	r.restore(&metering.Ledger{Next: 5}, true)
	c.Merge("a", &usagepb.Usage{Windows: []*usagepb.Window{{Number: 7, Organisations: []uint64{1}, Counts: []uint32{2}}}})
	assert.True(t, r.ensureCaughtUp(clock.Now().Add(2*catchUpDelay)))
	assert.Equal(t, metering.Window(7), r.Ledger().Next)
}

// Guards against windows that a holder closes again, empty, after a restore in a quiet hour, as no box that runs knows of
// them: all have restarted.
func TestWindowsBeforeTheStartAreSkippedIfNobodyKnowsOfThem(t *testing.T) {
	const length = time.Second
	wall := func(at time.Time) time.Time { return time.Unix(100, 0).Add(at.Sub(clock.Now()).Round(time.Second)) }
	r := NewReporter(ReporterDeps{Collector: metering.NewCollector(), WindowLength: length, Clock: wall})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	r.restore(&metering.Ledger{Next: 5}, true)
	r.ObserveNext(6)
	assert.True(t, r.ensureCaughtUp(clock.Now().Add(2*catchUpDelay)))
	assert.Equal(t, metering.Window(100), r.Ledger().Next)
}

// Guards against a first open window that goes back: messages may be late, from a box that knows less, or from a build that
// sends none.
func TestNextWindowDoesNotGoBack(t *testing.T) {
	r := NewReporter(ReporterDeps{Collector: metering.NewCollector(), WindowLength: time.Second, Clock: startOfTime})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	for _, c := range []struct{ observed, want metering.Window }{{0, 0}, {8, 8}, {8, 8}, {5, 8}, {0, 8}, {9, 9}} {
		r.ObserveNext(c.observed)
		assert.Equal(t, c.want, r.NextWindow(), "after %d", c.observed)
	}
}

// Guards against a ledger from an older copy of the store that is saved as if it were the latest one.
func TestLedgerIsNotUpToDateBeforeItHasCaughtUp(t *testing.T) {
	r := NewReporter(ReporterDeps{Collector: metering.NewCollector(), WindowLength: time.Second, Clock: startOfTime})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	runner := &Runner{Deps: Deps{Reporter: r}}
	_, upToDate := runner.State()
	assert.True(t, upToDate, "without a lease")
	r.restore(&metering.Ledger{Next: 5}, true)
	r.ObserveNext(8)
	_, upToDate = runner.State()
	assert.False(t, upToDate, "restored")
	r.ensureCaughtUp(clock.Now().Add(2 * catchUpDelay))
	state, upToDate := runner.State()
	assert.True(t, upToDate, "caught up")
	assert.JSONEq(t, `{"metering":{"next":8}}`, string(state))
}

// Guards against windows that a box closes again which acquires the lease twice after a restore, and knows best itself what was closed.
func TestOwnLedgerIsKeptUntilItHasCaughtUp(t *testing.T) {
	r := NewReporter(ReporterDeps{Collector: metering.NewCollector(), WindowLength: time.Second, Clock: startOfTime})
	r.attach(&fencedCaller{lease: &fakeLease{}}, nil, log.NewNopLogger())
	r.restore(&metering.Ledger{Next: 9, Closed: []metering.Report{{Window: 8}}}, false)
	r.restore(&metering.Ledger{Next: 5}, true)
	r.restore(&metering.Ledger{Next: 5}, true)
	assert.True(t, r.ensureCaughtUp(clock.Now().Add(2*catchUpDelay)))
	assert.Equal(t, &metering.Ledger{Next: 9, Closed: []metering.Report{{Window: 8}}}, r.Ledger())
}
