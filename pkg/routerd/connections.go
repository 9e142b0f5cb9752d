package routerd

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"headhill.example/headhill/pkg/callerconn"
)

// connTracker tracks the connections of callers so that a planned stop closes only idle ones.
// http.Server.Shutdown may close a connection between reading a request and calling the handler.
type connTracker struct {
	// keep reports whether a connection with a further request should be kept after the response.
	keep func() bool
	mu   sync.Mutex
	open map[net.Conn]*trackedConn
	// resting holds the idle connections over which nothing has been received since, those that have been idle for longest first.
	resting  *list.List
	stopping bool
}

// trackedConn is a connection of a caller. Its state is guarded by connTracker.mu.
type trackedConn struct {
	conn  net.Conn
	state connState
	// resting is the place in connTracker.resting, nil for none.
	resting *list.Element
}

// connState is the state of a connection.
type connState int

const (
	// connNew is the state before the first request. Such connections stay open during a stop,
	// as the caller is about to send a request.
	connNew connState = iota
	connIdle
	connActive
	// connClosed is a connection closed by this box. Requests still read from it are aborted.
	connClosed
)

// trackedConnKey is the context key of the trackedConn of a request.
type trackedConnKey struct{}

// newConnTracker installs a tracker in a server that has not been started.
func newConnTracker(s *http.Server, keep func() bool) *connTracker {
	t := &connTracker{keep: keep, open: make(map[net.Conn]*trackedConn), resting: list.New()}
	s.ConnContext = t.onConnect
	s.ConnState = t.onStateChange
	s.Handler = t.wrapHandler(s.Handler)
	return t
}

// onConnect implements http.Server.ConnContext.
func (t *connTracker) onConnect(ctx context.Context, conn net.Conn) context.Context {
	tc := &trackedConn{conn: conn}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[conn] = tc
	return context.WithValue(callerconn.ConnContext(ctx, conn), trackedConnKey{}, tc)
}

// onStateChange implements http.Server.ConnState. net/http reports a connection as idle only
// after the response has been sent completely.
func (t *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tc := t.open[conn]
	if tc == nil {
		return
	}
	t.endRestLocked(tc)
	switch state {
	case http.StateIdle:
		tc.state = connIdle
		if t.stopping {
			tc.closeLocked()
			return
		}
		tc.resting = t.resting.PushBack(tc)
	case http.StateClosed, http.StateHijacked:
		delete(t.open, conn)
	}
}

func (t *connTracker) endRestLocked(tc *trackedConn) {
	if tc.resting != nil {
		t.resting.Remove(tc.resting)
		tc.resting = nil
	}
}

// closeLongestIdle closes the connection that has been idle for longest. It returns false if none is idle.
func (t *connTracker) closeLongestIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.resting.Front()
	if longest == nil {
		return false
	}
	tc := longest.Value.(*trackedConn)
	t.endRestLocked(tc)
	tc.closeLocked()
	return true
}

// closeLocked closes a connection without a request in flight. connTracker.mu must be held.
func (tc *trackedConn) closeLocked() {
	tc.state = connClosed
	_ = tc.conn.Close()
}

// wrapHandler returns a handler that aborts requests from connections that have been closed, as
// their responses could not be delivered.
func (t *connTracker) wrapHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		further, ok := t.startRequest(r.Context())
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if further && !t.keep() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// startRequest marks the connection of a request as active. It returns false if the connection has
// been closed. further is set if the connection has had a request before.
func (t *connTracker) startRequest(ctx context.Context) (further, ok bool) {
	tc, ok := ctx.Value(trackedConnKey{}).(*trackedConn)
	if !ok {
		return false, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if tc.state == connClosed {
		return false, false
	}
	further = tc.state != connNew
	tc.state = connActive
	return further, true
}

// closeIdle closes idle connections, and from now on each connection that becomes idle.
func (t *connTracker) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	for _, tc := range t.open {
		if tc.state == connIdle {
			tc.closeLocked()
		}
	}
}

// drainAndClose waits until no request is in flight or ctx is done, then closes all connections.
// Requests read after that are aborted.
func (t *connTracker) drainAndClose(ctx context.Context) {
	for ctx.Err() == nil && t.anyActive() {
		time.Sleep(idlePollInterval)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tc := range t.open {
		tc.closeLocked()
	}
}

// anyActive reports whether a request is in flight.
func (t *connTracker) anyActive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tc := range t.open {
		if tc.state == connActive {
			return true
		}
	}
	return false
}
