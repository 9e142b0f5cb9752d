// Package stall bounds an exchange by how long its answer stands still, not by how long
// the whole takes. A large answer over a slow link may take as long as it needs while its
// bytes keep coming.
package stall

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits bound one exchange.
type Limits struct {
	// FirstByte is how long the first byte of the answer may take.
	FirstByte time.Duration
	// Idle is how long the answer may stand still after that.
	Idle time.Duration
	// Total bounds the whole exchange, the wait for the first byte left out.
	Total time.Duration
}

// Error is the cause of a context whose exchange was given up.
type Error struct {
	// Started tells whether a part of the answer had come.
	Started bool
	// Limit is the limit that was passed.
	Limit time.Duration
}

func (e *Error) Error() string {
	if e.Started {
		return fmt.Sprintf("the answer stood still for %s or was not whole in time: ask again", e.Limit)
	}
	return fmt.Sprintf("no answer within %s: ask again", e.Limit)
}

// monitor watches one exchange.
type monitor struct {
	limits Limits
	begun  atomic.Bool
	// silence fires when nothing has come for too long, most when the whole has
	// taken too long. Most is set with the first byte.
	silence *time.Timer
	most    atomic.Pointer[time.Timer]
	cancel  context.CancelCauseFunc
}

type monitorKey struct{}

// WithLimits returns a context that ends when a limit is passed; its cause is then an
// *Error. The function that it returns frees what the context holds.
func WithLimits(ctx context.Context, l Limits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	m := &monitor{limits: l, cancel: cancel}
	m.silence = time.AfterFunc(l.FirstByte, m.stalled)
	return context.WithValue(ctx, monitorKey{}, m), m.end
}

// stalled ends the exchange as nothing has come.
func (m *monitor) stalled() {
	begun := m.begun.Load()
	after := m.limits.FirstByte
	if begun {
		after = m.limits.Idle
	}
	m.cancel(&Error{Started: begun, Limit: after})
}

// progress notes that a part of the answer has come.
func (m *monitor) progress() {
	m.silence.Reset(m.limits.Idle)
	if m.begun.Swap(true) {
		return
	}
	m.most.Store(time.AfterFunc(m.limits.Total, func() {
		m.cancel(&Error{Started: true, Limit: m.limits.Total})
	}))
}

func (m *monitor) end() {
	m.silence.Stop()
	if t := m.most.Load(); t != nil {
		t.Stop()
	}
	m.cancel(context.Canceled)
}

// of returns the monitor of a context, nil if it has none.
func of(ctx context.Context) *monitor {
	m, _ := ctx.Value(monitorKey{}).(*monitor)
	return m
}

// Started tells whether a part of the answer has come.
func Started(ctx context.Context) bool {
	m := of(ctx)
	return m != nil && m.begun.Load()
}

// NewReader returns a reader that notes each byte of an answer as progress of the exchange
// that ctx bounds.
func NewReader(ctx context.Context, r io.Reader) io.Reader {
	m := of(ctx)
	if m == nil {
		return r
	}
	return &reader{Reader: r, monitor: m}
}

type reader struct {
	io.Reader
	monitor *monitor
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.monitor.progress()
	}
	return n, err
}
