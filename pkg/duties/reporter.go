package duties

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/metering"
)

// ReporterDeps are the dependencies of a Reporter.
type ReporterDeps struct {
	WindowLength time.Duration
	Clock        func(time.Time) time.Time
	Collector    *metering.Collector
	// OrganisationNames returns the names of the organisations by their hashes.
	OrganisationNames func() map[metering.OrganisationHash]string
}

// Reporter closes windows, has them stored with the lease, and reports them.
type Reporter struct {
	ReporterDeps
	calls  *fencedCaller
	cloud  Cloud
	logger log.Logger

	ledger mutexed[metering.Ledger]
	// catchUp is set while the ledger from an older copy of the store has to be brought up to date, guarded by ledger.
	catchUp *pendingCatchUp
	// requiredSave is the save request whose state includes all closed windows.
	requiredSave atomic.Uint64
	// storedNext is the first window that this box has not closed and stored, guarded by ledger. Only stored
	// windows are reported.
	storedNext metering.Window
	// announcedNext is the first window that no other holder has closed and stored, as far as other boxes know.
	announcedNext atomic.Int64
	// acquiredAt is when this box last acquired the lease.
	acquiredAt mutexed[time.Time]
	retryAt    time.Time
	// createdAt is when this box began to know anything of the windows.
	createdAt time.Time
	status    mutexed[ReporterStatus]
}

// ReporterStatus describes the reports made so far, for operators.
type ReporterStatus struct {
	// LastWindow is the window reported last, at LastReportedAt.
	LastWindow     metering.Window
	LastReportedAt time.Time
	Reported       int
	Failed         int
	Pending        int
}

// NewReporter returns a Reporter without any closed windows.
func NewReporter(d ReporterDeps) *Reporter {
	return &Reporter{ReporterDeps: d, createdAt: clock.Now()}
}

func (r *Reporter) attach(calls *fencedCaller, cloud Cloud, logger log.Logger) {
	r.calls, r.cloud, r.logger = calls, cloud, logger
}

// Ledger returns a copy of the ledger.
func (r *Reporter) Ledger() *metering.Ledger {
	l, _ := r.savedLedger()
	return l
}

// savedLedger returns a copy of the ledger, and whether it is up to date.
func (r *Reporter) savedLedger() (saved *metering.Ledger, upToDate bool) {
	r.ledger.with(func(l *metering.Ledger) {
		saved = &metering.Ledger{Next: l.Next, Closed: slices.Clone(l.Closed)}
		upToDate = r.catchUp == nil
	})
	return saved, upToDate
}

// Status returns the current status.
func (r *Reporter) Status() ReporterStatus {
	var s ReporterStatus
	r.status.with(func(status *ReporterStatus) { s = *status })
	r.ledger.with(func(l *metering.Ledger) { s.Pending = len(l.Closed) })
	return s
}

// pendingCatchUp is a ledger that is brought up to date at a time.
type pendingCatchUp struct {
	// own is the latest ledger of this box that was up to date.
	own metering.Ledger
	at  time.Time
}

// catchUpDelay lets each other box send its counts and what it knows of closed windows, as this box may just have started.
const catchUpDelay = metering.MaxPublishInterval + 500*time.Millisecond

// NextWindow returns the first window that no holder has closed and stored, as far as this box knows. After a
// restore of the store, windows before it may have been reported. A window that is closed but not stored has not
// been: if its holder is lost, the next one has to close it.
func (r *Reporter) NextWindow() metering.Window {
	next := metering.Window(r.announcedNext.Load())
	r.ledger.with(func(l *metering.Ledger) {
		if r.stored() {
			r.storedNext = max(r.storedNext, l.Next)
		}
		next = max(next, r.storedNext)
	})
	return next
}

// stored reports whether the state stored with the lease includes all closed windows.
func (r *Reporter) stored() bool { return r.calls.lease.LastSaved() >= r.requiredSave.Load() }

// ObserveNext records the first window that no holder has closed and stored, as far as another box knows.
func (r *Reporter) ObserveNext(w metering.Window) {
	for {
		known := r.announcedNext.Load()
		if int64(w) <= known || r.announcedNext.CompareAndSwap(known, int64(w)) {
			return
		}
	}
}

// restore loads the ledger of the previous holder. It is stored already. If restored is set, it comes
// from an older copy of the store: a window that was closed since may have been reported, and must not
// be reported again with other counts.
func (r *Reporter) restore(l *metering.Ledger, restored bool) {
	r.ledger.with(func(current *metering.Ledger) {
		own := *current
		if r.catchUp != nil {
			own = r.catchUp.own
		}
		r.catchUp = nil
		if restored {
			r.catchUp = &pendingCatchUp{own: own, at: clock.Now().Add(catchUpDelay)}
		}
		*current = metering.Ledger{}
		if l != nil {
			*current = *l
		}
		r.requiredSave.Store(0)
	})
	r.acquiredAt.with(func(at *time.Time) { *at = clock.Now() })
}

// firstCertainWindow returns the first window that no other holder can have closed: one that is not known to
// be closed and for which a running box has counts. Without any counts, all boxes may have restarted, and what they announce
// may come from the same older copy; a holder before that may have closed any window that ended before this box started.
func (r *Reporter) firstCertainWindow() metering.Window {
	next := metering.Window(r.announcedNext.Load())
	if counted, ok := r.Collector.FirstWindow(); ok {
		return max(next, counted)
	}
	return max(next, metering.WindowAt(r.Clock(r.createdAt), r.WindowLength))
}

// ensureCaughtUp brings a ledger from an older copy of the store up to date when that is due. It reports whether
// the ledger is up to date.
func (r *Reporter) ensureCaughtUp(now time.Time) bool {
	upToDate, skipped := false, 0
	r.ledger.with(func(l *metering.Ledger) {
		upToDate = r.catchUp == nil
		if !upToDate && !now.Before(r.catchUp.at) {
			skipped = l.CatchUp(r.catchUp.own, r.firstCertainWindow())
			r.catchUp, upToDate = nil, true
			r.requiredSave.Store(r.calls.lease.RequestSave())
		}
	})
	if skipped > 0 {
		_ = level.Error(r.logger).Log("msg", "skipped usage windows", "count", skipped, "reason", "the store lost which of them were reported", "outcome", "usage of these windows is only in the request log")
	}
	return upToDate
}

// step closes the windows that have ended and reports the next stored one.
func (r *Reporter) step(ctx context.Context) {
	now := clock.Now()
	if !r.ensureCaughtUp(now) {
		return
	}
	if !r.mustWait(now) {
		r.closeWindows(r.Clock(now))
	}
	if !r.stored() || now.Before(r.retryAt) {
		return
	}
	var report metering.Report
	ok := false
	inTime := metering.WindowAt(r.Clock(now).Add(-reportDue), r.WindowLength)
	r.ledger.with(func(l *metering.Ledger) { report, ok = l.NextReport(inTime) })
	if ok {
		r.report(ctx, report)
	}
}

// mustWait reports whether open windows wait for the counts of other boxes, which send all of them to a box that begins to
// collect, as it starts or acquires the lease.
func (r *Reporter) mustWait(now time.Time) bool {
	var acquiredAt time.Time
	r.acquiredAt.with(func(at *time.Time) { acquiredAt = *at })
	if now.Sub(acquiredAt) >= catchUpDelay || r.Collector.ReceivingFor(now) >= catchUpDelay {
		return false
	}
	return r.Clock(now).Before(r.closeBy(r.Clock(now), r.Clock(acquiredAt)))
}

const (
	// reportDue is how long after its end a window has to be reported.
	reportDue = 10 * time.Second
	// reportTime is what it takes to close, store and report a window.
	reportTime = time.Second
	// takeoverTime is what it takes another box to acquire a lease of three seconds, and to report a window then.
	takeoverTime = 4 * time.Second
	// minCollectTime lets each other box that runs send its counts twice.
	minCollectTime = time.Second
)

// closeBy returns until when open windows may wait, such that the first one that can still be reported in time is.
func (r *Reporter) closeBy(now, acquiredAt time.Time) time.Time {
	var open metering.Ledger
	r.ledger.with(func(l *metering.Ledger) { open.Next = l.Next })
	open.StartAt(r.firstWindow(now))
	due := open.Next.End(r.WindowLength).Add(reportDue)
	if !due.After(acquiredAt) {
		// It is late already, as are those for which no time to report them was left.
		inTime := metering.WindowAt(acquiredAt.Add(reportTime-reportDue), r.WindowLength)
		return inTime.End(r.WindowLength).Add(reportDue - reportTime)
	}
	withTakeover, collected := due.Add(-takeoverTime), acquiredAt.Add(minCollectTime)
	if collected.Before(withTakeover) {
		// This box may be lost meanwhile.
		return withTakeover
	}
	return earlier(collected, due.Add(-reportTime))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// closeWindows closes the windows that have ended and requests that they be stored. The request is made under
// the lock, as NextWindow must not take them for stored.
func (r *Reporter) closeWindows(now time.Time) {
	skipped := 0
	r.ledger.with(func(l *metering.Ledger) {
		var closed []metering.Report
		l.StartAt(r.firstWindow(now))
		closed, skipped = l.CloseEnded(now, r.WindowLength, r.windowTotals)
		if len(closed) > 0 {
			r.requiredSave.Store(r.calls.lease.RequestSave())
		}
	})
	if skipped > 0 {
		_ = level.Error(r.logger).Log("msg", "skipped usage windows", "count", skipped, "reason", "no box held the lease in time to report them", "outcome", "usage of these windows is only in the request log")
	}
}

// initialLookback is the minimum time by which a new ledger starts before the first acquisition of
// the lease, as counts of other boxes arrive with a delay.
const initialLookback = 3 * time.Second

// firstWindow returns the window at which a new ledger starts: the first one with any counts, or
// the one initialLookback ago if that is earlier. Boxes serve requests before any box holds the
// lease.
func (r *Reporter) firstWindow(now time.Time) metering.Window {
	first := metering.WindowAt(now.Add(-initialLookback), r.WindowLength)
	if counted, ok := r.Collector.FirstWindow(); ok {
		return min(counted, first)
	}
	return first
}

// windowTotals returns the counts of a window by organisation name.
func (r *Reporter) windowTotals(w metering.Window) map[string]int {
	totals, boxes := r.Collector.Total(w)
	names := r.OrganisationNames()
	counts := make(map[string]int, len(totals))
	for hash, n := range totals {
		name, ok := names[hash]
		if !ok {
			_ = level.Warn(r.logger).Log("msg", "usage of unknown organisation", "window", w, "key", hash, "requests", n, "outcome", "not reported")
			continue
		}
		counts[name] = n
	}
	_ = level.Info(r.logger).Log("msg", "usage window closed", "window", w, "boxes", boxes, "organisations", len(counts), "requests", totalRequests(counts))
	return counts
}

// report sends the report of one window.
func (r *Reporter) report(ctx context.Context, report metering.Report) {
	startedAt := clock.Now()
	caller, err := r.calls.call(ctx, func(ctx context.Context, caller Caller) error {
		return r.cloud.ReportUsage(ctx, caller, report)
	})
	now := clock.Now()
	if err != nil {
		r.retryAt = now.Add(retryDelay)
		r.status.with(func(s *ReporterStatus) { s.Failed++ })
		_ = level.Warn(r.logger).Log("msg", "could not report usage", "window", report.Window, "fence", caller.Fence, "after", now.Sub(startedAt), "err", err, "outcome", "retrying with the same counts")
		return
	}
	r.ledger.with(func(l *metering.Ledger) { l.MarkReported(report.Window) })
	r.status.with(func(s *ReporterStatus) {
		s.Reported++
		s.LastWindow, s.LastReportedAt = report.Window, now
	})
	_ = level.Info(r.logger).Log("msg", "usage reported", "window", report.Window, "fence", caller.Fence, "organisations", len(report.Counts), "requests", totalRequests(report.Counts),
		"late_ms", r.Clock(now).Sub(report.Window.End(r.WindowLength)).Milliseconds(), "after", now.Sub(startedAt))
}

func totalRequests(counts map[string]int) int {
	n := 0
	for c := range maps.Values(counts) {
		n += c
	}
	return n
}
