package overload

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

const (
	// windowLength is the time between two adjustments of the limit while requests come.
	windowLength = 100 * time.Millisecond
	// logInterval is the least time between two log lines while callers are turned away.
	logInterval = time.Second
)

// Totals are counts since the start.
type Totals struct {
	// Admitted and Closed are the new connections of callers that were read and closed unread.
	Admitted, Closed int64
	// Ended are the kept connections that were closed after a response.
	Ended int64
}

// Gate decides which new connections of callers are read, and which are kept. Its methods are safe for concurrent
// use.
type Gate struct {
	logger log.Logger

	mu        sync.Mutex
	scheduler *Scheduler
	limit     Limit
	// measuring is set while a window is open, which the fields below describe. runnable is the sum over its
	// arrivals, admitted counts its new connections that were read, waits is the state at its start.
	measuring                  bool
	arrivals, beyond, admitted int
	runnable                   int
	waits                      Waits
	totals                     Totals
	// loggedAt is the time of the last log line, loggedTotals the totals then.
	loggedAt     time.Time
	loggedTotals Totals
}

// NewGate returns a gate for the callers of this process.
func NewGate(logger log.Logger) *Gate {
	return &Gate{logger: logger, scheduler: NewScheduler()}
}

// Admit reports whether a new connection should be read. Otherwise it is to be closed. At least one connection in
// a window is admitted, as the load may have another cause than callers.
func (g *Gate) Admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.arrive() && g.admitted > 0 {
		g.totals.Closed++
		return false
	}
	g.admitted++
	g.totals.Admitted++
	return true
}

// Keep reports whether a connection with a further request should be kept after the response.
func (g *Gate) Keep() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arrive() {
		return true
	}
	g.totals.Ended++
	return false
}

// arrive counts an arrival and reports whether it is within the limit. The caller holds mu.
func (g *Gate) arrive() bool {
	if !g.measuring {
		g.measuring, g.arrivals, g.beyond, g.admitted, g.runnable, g.waits = true, 0, 0, 0, 0, g.scheduler.Waits()
		time.AfterFunc(windowLength, g.endWindow)
	}
	runnable := g.scheduler.Runnable()
	g.arrivals++
	g.runnable += runnable
	if g.limit.Allows(runnable) {
		return true
	}
	g.beyond++
	return false
}

// endWindow adjusts the limit to what was measured. The next arrival opens another window.
func (g *Gate) endWindow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	waits := g.scheduler.Waits()
	w := Window{
		Arrivals: g.arrivals, Beyond: g.beyond, Runnable: float64(g.runnable) / float64(g.arrivals), Waits: waits.Count - g.waits.Count,
	}
	if w.Waits > 0 {
		w.Wait = (waits.Total - g.waits.Total) / time.Duration(w.Waits)
	}
	g.measuring = false
	before := g.limit
	g.limit.Update(w)
	g.log(before, w)
}

// log logs when the limit is set and lifted, and in between what it does. The caller holds mu.
func (g *Gate) log(before Limit, w Window) {
	now := clock.Now()
	msg, line := "connections limited", level.Warn(g.logger)
	switch {
	case g.limit.Runnable() == 0 && before.Runnable() == 0:
		return
	case g.limit.Runnable() == 0:
		msg, line = "limit of connections lifted", level.Info(g.logger)
	case before.Runnable() > 0 && (w.Beyond == 0 || now.Sub(g.loggedAt) < logInterval):
		return
	}
	_ = line.Log("msg", msg, "limit", g.limit.Runnable(), "before", before.Runnable(), "runnable", w.Runnable, "wait_us", w.Wait.Microseconds(), "waits", w.Waits,
		"arrivals", w.Arrivals, "admitted", g.totals.Admitted-g.loggedTotals.Admitted, "closed", g.totals.Closed-g.loggedTotals.Closed,
		"ended", g.totals.Ended-g.loggedTotals.Ended, "outcome", "closed connections were not read")
	g.loggedAt, g.loggedTotals = now, g.totals
}

// Totals returns the counts since the start.
func (g *Gate) Totals() Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.totals
}
