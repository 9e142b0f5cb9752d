package metering

import (
	"slices"
	"time"
)

// Report holds the final counts of a closed window.
type Report struct {
	Window Window         `json:"window"`
	Counts map[string]int `json:"counts"`
}

// Ledger holds the closed windows that have not been reported yet. It is stored with the lease.
type Ledger struct {
	// Next is the first window that is not closed, or zero if the ledger has not started.
	Next Window `json:"next"`
	// Closed holds the unreported windows in order.
	Closed []Report `json:"closed,omitempty"`
}

const (
	// settleTime is how long after its end a window is closed. Boxes send the counts of an ended
	// window twice in that time; it also covers errors of their clock estimates.
	settleTime = 1500 * time.Millisecond
	// maxClosed limits the number of unreported windows, and thus the size of the stored state.
	maxClosed = 120
	// maxCatchUp limits the number of windows that are closed after a gap in which no box held the
	// lease. The counts of older ones have been evicted.
	maxCatchUp = retainedWindows - 2
)

// StartAt sets the first window of a ledger that has not started.
func (l *Ledger) StartAt(first Window) {
	if l.Next == 0 {
		l.Next = first
	}
}

// CloseEnded closes the windows that ended at least settleTime ago. It returns their reports, and
// the number of windows that were dropped as too old or beyond maxClosed.
func (l *Ledger) CloseEnded(now time.Time, windowLength time.Duration, total func(Window) map[string]int) (closed []Report, skipped int) {
	current := WindowAt(now, windowLength)
	if oldest := current - maxCatchUp; l.Next < oldest {
		skipped = int(oldest - l.Next)
		l.Next = oldest
	}
	for ; now.Sub(l.Next.End(windowLength)) >= settleTime; l.Next++ {
		closed = append(closed, Report{Window: l.Next, Counts: total(l.Next)})
	}
	l.Closed = append(l.Closed, closed...)
	if excess := len(l.Closed) - maxClosed; excess > 0 {
		skipped += excess
		l.Closed = l.Closed[excess:]
	}
	return closed, skipped
}

// CatchUp brings a ledger from an older copy of the store up to date. own is the ledger of this box from
// when it last held the lease, next the first window that no other holder has closed. The later of the
// two ledgers counts. If that is another holder's, which was lost, the windows that it had closed are
// skipped; CatchUp returns their number.
func (l *Ledger) CatchUp(own Ledger, next Window) (skipped int) {
	switch {
	case own.Next > max(l.Next, next):
		*l = own
	case next > l.Next:
		if l.Next > 0 {
			skipped = int(next - l.Next)
		}
		l.Next = next
	}
	return skipped
}

// NextReport returns the unreported window to be reported next: the oldest one from inTime on, or if there is none, the oldest
// one, which is late already. It returns false if there is none.
func (l *Ledger) NextReport(inTime Window) (Report, bool) {
	if len(l.Closed) == 0 {
		return Report{}, false
	}
	i := slices.IndexFunc(l.Closed, func(r Report) bool { return r.Window >= inTime })
	return l.Closed[max(i, 0)], true
}

// MarkReported removes a reported window.
func (l *Ledger) MarkReported(w Window) {
	l.Closed = slices.DeleteFunc(l.Closed, func(r Report) bool { return r.Window == w })
}
