package routerd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the callers' connections, so that a planned stop closes only those
// that rest. What net/http offers for that closes a connection also while a request that
// has been read on it is about to be served.
type connections struct {
	mu       sync.Mutex
	open     map[net.Conn]*connection
	stopping bool
}

// connection is one connection of a caller; its owner's mu guards the state.
type connection struct {
	conn  net.Conn
	state connectionState
}

// connectionState says what a connection is used for.
type connectionState int

const (
	// connectionFresh has served no request yet: its caller is about to send one.
	connectionFresh connectionState = iota
	connectionResting
	connectionServing
	// connectionClosed is closed by this box. A request that comes after all is not served.
	connectionClosed
)

// connectionKey marks the connection in the contexts of its requests.
type connectionKey struct{}

// newConnections returns a tracker of the connections of a server that is not started yet.
func newConnections(s *http.Server) *connections {
	c := &connections{open: make(map[net.Conn]*connection)}
	s.ConnContext = c.begin
	s.ConnState = c.changed
	s.Handler = c.serving(s.Handler)
	return c
}

// begin notes a new connection.
func (c *connections) begin(ctx context.Context, conn net.Conn) context.Context {
	x := &connection{conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = x
	return context.WithValue(ctx, connectionKey{}, x)
}

// changed follows the states that net/http tells. An answer has been sent whole before its
// connection is idle.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		x := c.open[conn]
		x.state = connectionResting
		if c.stopping {
			x.close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// close closes a connection that serves nothing. The caller holds mu.
func (x *connection) close() {
	x.state = connectionClosed
	_ = x.conn.Close()
}

// serving returns a handler that serves nothing on a connection which has been closed: its
// caller could not get the answer.
func (c *connections) serving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.serve(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// serve notes that a request is served. It returns false where its connection is closed.
func (c *connections) serve(ctx context.Context) bool {
	x, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.state == connectionClosed {
		return false
	}
	x.state = connectionServing
	return true
}

// closeResting closes the connections that rest, now and from now on.
func (c *connections) closeResting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for _, x := range c.open {
		if x.state == connectionResting {
			x.close()
		}
	}
}

// closeAll waits until no request is being served, at most until ctx ends, and closes all
// connections. A request that comes later is not served.
func (c *connections) closeAll(ctx context.Context) {
	for ctx.Err() == nil && c.isServing() {
		time.Sleep(stopCheck)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.open {
		x.close()
	}
}

// isServing tells whether any request is being served.
func (c *connections) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.open {
		if x.state == connectionServing {
			return true
		}
	}
	return false
}
