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

// ReporterDeps are what a Reporter is built on.
type ReporterDeps struct {
	// WindowLength is that of a window.
	WindowLength time.Duration
	Clock        func(time.Time) time.Time
	Collector    *metering.Collector
	// OrganisationNames returns the organisations by their keys.
	OrganisationNames func() map[metering.OrganisationHash]string
}

// Reporter closes windows, has them recorded, and reports them.
type Reporter struct {
	ReporterDeps
	calls  *caller
	cloud  Cloud
	logger log.Logger

	ledger guarded[metering.Ledger]
	// recorded is the number of the saving that holds all closed windows.
	recorded atomic.Uint64
	retryAt  time.Time
	status   guarded[ReporterStatus]
}

// ReporterStatus is what was reported, for operators.
type ReporterStatus struct {
	// LastWindow is the last window reported, at a time.
	LastWindow     metering.Window
	LastReportedAt time.Time
	Reported       int
	Failed         int
	Pending        int
}

// NewReporter returns a reporter that has closed nothing yet.
func NewReporter(d ReporterDeps) *Reporter { return &Reporter{ReporterDeps: d} }

func (r *Reporter) attach(calls *caller, cloud Cloud, logger log.Logger) {
	r.calls, r.cloud, r.logger = calls, cloud, logger
}

// Ledger is a copy of what is closed and not reported.
func (r *Reporter) Ledger() *metering.Ledger {
	var c metering.Ledger
	r.ledger.with(func(l *metering.Ledger) { c = metering.Ledger{Next: l.Next, Closed: slices.Clone(l.Closed)} })
	return &c
}

// Status tells what was reported.
func (r *Reporter) Status() ReporterStatus {
	var s ReporterStatus
	r.status.with(func(x *ReporterStatus) { s = *x })
	r.ledger.with(func(l *metering.Ledger) { s.Pending = len(l.Closed) })
	return s
}

// take goes on from the ledger of the holder before. What it closed is recorded.
func (r *Reporter) take(l *metering.Ledger) {
	r.ledger.with(func(own *metering.Ledger) {
		*own = metering.Ledger{}
		if l != nil {
			*own = *l
		}
	})
	r.recorded.Store(0)
}

// step closes what is over and reports what is recorded.
func (r *Reporter) step(ctx context.Context) {
	now := clock.Now()
	if r.close(r.Clock(now)) {
		r.recorded.Store(r.calls.holder.RequestSave())
	}
	if r.calls.holder.LastSaved() < r.recorded.Load() || now.Before(r.retryAt) {
		return
	}
	var due metering.Report
	ok := false
	r.ledger.with(func(l *metering.Ledger) { due, ok = l.NextReport() })
	if ok {
		r.report(ctx, due)
	}
}

// close closes the windows that are over. It returns whether there were any.
func (r *Reporter) close(now time.Time) bool {
	var closed []metering.Report
	skipped := 0
	r.ledger.with(func(l *metering.Ledger) {
		l.StartAt(r.first(now))
		closed, skipped = l.CloseEnded(now, r.WindowLength, r.total)
	})
	if skipped > 0 {
		_ = level.Error(r.logger).Log("msg", "windows not reported", "count", skipped, "reason", "no box held the lease for too long", "outcome", "their usage is in the requests' log lines only")
	}
	return len(closed) > 0
}

// beginBack is how long before the first holding a ledger begins at the least: what other boxes
// counted then is heard within a second.
const beginBack = 3 * time.Second

// first is where a ledger begins: at the first window in which anything was counted, or a
// little back. Boxes serve before one of them holds the lease for the first time.
func (r *Reporter) first(now time.Time) metering.Window {
	first := metering.WindowAt(now.Add(-beginBack), r.WindowLength)
	if counted, ok := r.Collector.FirstWindow(); ok {
		return min(counted, first)
	}
	return first
}

// total is the content of a window.
func (r *Reporter) total(w metering.Window) map[string]int {
	total, boxes := r.Collector.Total(w)
	names := r.OrganisationNames()
	counts := make(map[string]int, len(total))
	for key, n := range total {
		name, ok := names[key]
		if !ok {
			_ = level.Warn(r.logger).Log("msg", "organisation not known", "window", w, "key", key, "requests", n, "outcome", "not reported")
			continue
		}
		counts[name] = n
	}
	_ = level.Info(r.logger).Log("msg", "window closed", "window", w, "boxes", boxes, "organisations", len(counts), "requests", sum(counts))
	return counts
}

// report reports one window.
func (r *Reporter) report(ctx context.Context, due metering.Report) {
	begun := clock.Now()
	by, err := r.calls.call(ctx, func(ctx context.Context, by Caller) error {
		return r.cloud.ReportUsage(ctx, by, due)
	})
	now := clock.Now()
	if err != nil {
		r.retryAt = now.Add(retryAfter)
		r.status.with(func(s *ReporterStatus) { s.Failed++ })
		_ = level.Warn(r.logger).Log("msg", "usage not reported", "window", due.Window, "fence", by.Fence, "after", now.Sub(begun), "err", err, "outcome", "repeated as it is")
		return
	}
	r.ledger.with(func(l *metering.Ledger) { l.MarkReported(due.Window) })
	r.status.with(func(s *ReporterStatus) {
		s.Reported++
		s.LastWindow, s.LastReportedAt = due.Window, now
	})
	_ = level.Info(r.logger).Log("msg", "usage reported", "window", due.Window, "fence", by.Fence, "organisations", len(due.Counts), "requests", sum(due.Counts),
		"late_ms", r.Clock(now).Sub(due.Window.End(r.WindowLength)).Milliseconds(), "after", now.Sub(begun))
}

func sum(counts map[string]int) int {
	n := 0
	for c := range maps.Values(counts) {
		n += c
	}
	return n
}
