package callerconn

import (
	"net"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
)

const (
	// A listener is full once it has accepted no connection for fullDelay, until it has closed none unread for fullRetention.
	fullDelay     = time.Second
	fullRetention = 2 * time.Second
)

// LimitedListener is a TCP listener with a limit on its open connections. At the limit it closes one that is not in use for each new
// one. If all are in use, it closes the new one unread, so that its caller doesn't wait for a place that may not come free.
type LimitedListener struct {
	net.Listener
	slots chan struct{}
	// makeRoom closes a connection that is not in use and reports whether there was one. rejected is called for each new connection that
	// is closed unread.
	makeRoom func() bool
	rejected func()

	mu sync.Mutex
	// rejectingSince is when the first connection was closed unread since one was accepted, zero for none, rejectedAt when the last one
	// was.
	rejectingSince, rejectedAt time.Time
}

// LimitListener returns a listener that has at most n open connections at once.
func LimitListener(l net.Listener, n int, makeRoom func() bool, rejected func()) *LimitedListener {
	return &LimitedListener{Listener: l, slots: make(chan struct{}, n), makeRoom: makeRoom, rejected: rejected}
}

// Accept implements net.Listener. It waits for a connection that has a place.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		taken := l.takeSlot() || l.makeRoom() && l.takeSlot()
		l.record(taken, clock.Now())
		if taken {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
		}
		l.rejected()
		_ = c.Close()
	}
}

func (l *LimitedListener) record(taken bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case taken:
		l.rejectingSince = time.Time{}
		return
	case l.rejectingSince.IsZero():
		l.rejectingSince = now
	}
	l.rejectedAt = now
}

// Full reports whether the listener has closed all connections unread for some time.
func (l *LimitedListener) Full(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.rejectingSince.IsZero() && now.Sub(l.rejectingSince) >= fullDelay && now.Sub(l.rejectedAt) < fullRetention
}

func (l *LimitedListener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// SetLinger is that of net.TCPConn.
func (c *limitedConn) SetLinger(seconds int) error {
	return c.Conn.(*net.TCPConn).SetLinger(seconds)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// GateListener returns a listener that closes new connections unread unless admit returns true.
func GateListener(l net.Listener, admit func() bool) net.Listener {
	return &gateListener{Listener: l, admit: admit}
}

type gateListener struct {
	net.Listener
	admit func() bool
}

// Accept implements net.Listener. It waits for a connection that is admitted.
func (l *gateListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.admit() {
			return c, err
		}
		_ = c.Close()
	}
}
