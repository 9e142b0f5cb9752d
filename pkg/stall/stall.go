// Package stall limits how long a response may go without progress. Unlike a plain deadline it
// allows a large response over a slow link to finish as long as bytes keep arriving.
package stall

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits are the timeouts of one exchange.
type Limits struct {
	// FirstByte is the timeout for the first byte of the response.
	FirstByte time.Duration
	// Idle is how long a read may wait for further data. The time that the caller takes between two reads
	// of a response does not count.
	Idle time.Duration
	// Total is the timeout for the whole response, counted from its first byte.
	Total time.Duration
}

// Error is the cancellation cause of a context whose exchange exceeded a limit.
type Error struct {
	// Started is set if part of the response had arrived.
	Started bool
	// Limit is the exceeded limit.
	Limit time.Duration
}

func (e *Error) Error() string {
	if e.Started {
		return fmt.Sprintf("the answer stood still for %s or was not whole in time: ask again", e.Limit)
	}
	return fmt.Sprintf("no answer within %s: ask again", e.Limit)
}

// monitor enforces the limits of one exchange.
type monitor struct {
	limits  Limits
	started atomic.Bool
	// idleTimer enforces Limits.FirstByte and then Limits.Idle. totalTimer enforces Limits.Total
	// and is set at the first byte.
	idleTimer  *time.Timer
	totalTimer atomic.Pointer[time.Timer]
	cancel     context.CancelCauseFunc
}

type monitorKey struct{}

// WithLimits returns a context that is canceled when a limit is exceeded; its cause is then an
// *Error. The returned function releases the resources of the context.
func WithLimits(ctx context.Context, l Limits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	m := &monitor{limits: l, cancel: cancel}
	m.idleTimer = time.AfterFunc(l.FirstByte, m.cancelStalled)
	return context.WithValue(ctx, monitorKey{}, m), m.stop
}

// cancelStalled cancels an exchange that has received no data within its limit.
func (m *monitor) cancelStalled() {
	started := m.started.Load()
	limit := m.limits.FirstByte
	if started {
		limit = m.limits.Idle
	}
	m.cancel(&Error{Started: started, Limit: limit})
}

// progress restarts the idle timer, and starts the total timer at the first byte.
func (m *monitor) progress() {
	m.idleTimer.Reset(m.limits.Idle)
	if m.started.Swap(true) {
		return
	}
	m.totalTimer.Store(time.AfterFunc(m.limits.Total, func() {
		m.cancel(&Error{Started: true, Limit: m.limits.Total})
	}))
}

func (m *monitor) stop() {
	m.idleTimer.Stop()
	if t := m.totalTimer.Load(); t != nil {
		t.Stop()
	}
	m.cancel(context.Canceled)
}

// monitorFrom returns the monitor stored in ctx, or nil.
func monitorFrom(ctx context.Context) *monitor {
	m, _ := ctx.Value(monitorKey{}).(*monitor)
	return m
}

// Started reports whether part of the response has arrived.
func Started(ctx context.Context) bool {
	m := monitorFrom(ctx)
	return m != nil && m.started.Load()
}

// NewReader returns a reader of a response body that reports each read as progress to the limits
// of ctx. It returns r itself if ctx has none.
func NewReader(ctx context.Context, r io.Reader) io.Reader {
	m := monitorFrom(ctx)
	if m == nil {
		return r
	}
	return &reader{Reader: r, monitor: m}
}

type reader struct {
	io.Reader
	monitor *monitor
	// paused is set while the idle timer is stopped.
	paused bool
}

// Read implements io.Reader. After the end of the response the idle timer runs on, as a further exchange
// may use the context.
func (r *reader) Read(p []byte) (int, error) {
	if r.paused {
		r.monitor.idleTimer.Reset(r.monitor.limits.Idle)
	}
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.monitor.progress()
	}
	r.paused = n > 0 && err == nil
	if r.paused {
		r.monitor.idleTimer.Stop()
	}
	return n, err
}
