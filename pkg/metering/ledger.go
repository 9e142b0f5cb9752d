package metering

import "time"

// Report is the content of a window that is closed. It never changes.
type Report struct {
	Window Window         `json:"window"`
	Counts map[string]int `json:"counts"`
}

// Ledger holds what has been closed and not yet reported. It lasts with the lease.
type Ledger struct {
	// Next is the first window that is not closed; zero before the first one.
	Next Window `json:"next"`
	// Closed are those not reported, in order.
	Closed []Report `json:"closed,omitempty"`
}

const (
	// settle is how long after its end a window is closed: boxes tell a window that has
	// ended whole twice within it, and each box's estimate of true time may be off a little.
	settle = 1500 * time.Millisecond
	// closedMost bounds the windows that wait to be reported: ten minutes of the shortest
	// windows in use. The state that lasts with the lease stays small.
	closedMost = 120
	// skippedMost bounds the windows that are closed at once after a gap in which no box
	// held the lease; of older ones nothing is remembered.
	skippedMost = windowsKept - 2
)

// StartAt sets where a ledger begins that has closed nothing yet.
func (l *Ledger) StartAt(first Window) {
	if l.Next == 0 {
		l.Next = first
	}
}

// CloseEnded closes the windows that are over, with their totals. It returns those that were
// closed, and how many were too long ago to be known.
func (l *Ledger) CloseEnded(now time.Time, length time.Duration, total func(Window) map[string]int) (closed []Report, skipped int) {
	current := WindowAt(now, length)
	if oldest := current - skippedMost; l.Next < oldest {
		skipped = int(oldest - l.Next)
		l.Next = oldest
	}
	for ; now.Sub(l.Next.End(length)) >= settle; l.Next++ {
		closed = append(closed, Report{Window: l.Next, Counts: total(l.Next)})
	}
	l.Closed = append(l.Closed, closed...)
	if over := len(l.Closed) - closedMost; over > 0 {
		skipped += over
		l.Closed = l.Closed[over:]
	}
	return closed, skipped
}

// NextReport is the next window to report, if there is one.
func (l *Ledger) NextReport() (Report, bool) {
	if len(l.Closed) == 0 {
		return Report{}, false
	}
	return l.Closed[0], true
}

// MarkReported drops a window that was reported.
func (l *Ledger) MarkReported(w Window) {
	if len(l.Closed) > 0 && l.Closed[0].Window == w {
		l.Closed = l.Closed[1:]
	}
}
