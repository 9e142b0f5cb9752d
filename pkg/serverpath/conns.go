package serverpath

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

// awaited tells whether a response is awaited over a connection, and puts the path in doubt if none comes.
type awaited struct {
	path    *Tracker
	address string
	// eachWrite is set if nobody calls BeginRequest, so that each write may begin a request.
	eachWrite bool
	// phase is that of the current request.
	phase atomic.Int32
}

// Phases of a request. Its response may be read before all of it is written.
const (
	unsent int32 = iota
	awaiting
	answered
)

// BeginRequest implements upstream.RequestConn.
func (a *awaited) BeginRequest() { a.phase.Store(unsent) }

// pending reports whether a response is awaited.
func (a *awaited) pending() bool { return a.phase.Load() == awaiting }

// write writes to the connection. The response may be read before the write returns.
func (a *awaited) write(c net.Conn, b []byte) (int, error) {
	if a.eachWrite {
		a.BeginRequest()
	}
	a.phase.CompareAndSwap(unsent, awaiting)
	n, err := c.Write(b)
	a.ended(err)
	return n, err
}

// received is called for each read, and reports whether it brought anything.
func (a *awaited) received(n int, err error) bool {
	if n > 0 {
		a.phase.Store(answered)
		return true
	}
	a.ended(err)
	return false
}

// ended puts the path in doubt if the connection has ended, not by this box, while a response was awaited. The loss of
// the box by way of which it leads says nothing of the path.
func (a *awaited) ended(err error) {
	var lost *upstream.PathLostError
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.As(err, &lost) && a.phase.CompareAndSwap(awaiting, answered) {
		a.path.RecordDoubt(a.address, clock.Now())
	}
}

// directConn is a direct connection to a server.
type directConn struct {
	net.Conn
	awaited
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.received(n, err) {
		c.path.RecordHeard(c.address, clock.Now())
	}
	return n, err
}

// Write implements net.Conn.
func (c *directConn) Write(b []byte) (int, error) {
	return c.write(c.Conn, b)
}

// Reusable implements upstream.ReusableConn.
func (c *directConn) Reusable() bool { return c.path.directFit(c.address) }

// SyscallConn implements syscall.Conn.
func (c *directConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// tunnelConn is a connection that leads through another box.
type tunnelConn struct {
	net.Conn
	dialer *Dialer
	awaited
	serverKey string
	relay     Peer
	released  atomic.Bool
}

// Read implements net.Conn.
func (c *tunnelConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch waited := c.pending(); {
	case c.received(n, err) && waited:
		c.dialer.relays.recordCarried(c.relay.Address, clock.Now())
	case waited && !c.pending():
		c.dialer.relays.recordBroken(c.relay.Address, clock.Now())
	}
	return n, err
}

// Write implements net.Conn. Requests over open tunnels open no connections, so each has the direct path
// tried again.
func (c *tunnelConn) Write(b []byte) (int, error) {
	c.dialer.RetryDirect(c.serverKey, c.address)
	return c.write(c.Conn, b)
}

// Via implements upstream.ViaConn.
func (c *tunnelConn) Via() string { return c.relay.Address }

// Reusable implements upstream.ReusableConn.
func (c *tunnelConn) Reusable() bool {
	inner, ok := c.Conn.(upstream.ReusableConn)
	return c.dialer.Tracker.tunnelFit(c.address) && c.dialer.MayRelay(c.relay.Hall, c.dialer.HallOf(c.address)) && (!ok || inner.Reusable())
}

// SyscallConn implements syscall.Conn.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// Close implements net.Conn.
func (c *tunnelConn) Close() error {
	if !c.released.Swap(true) {
		c.dialer.relays.recordClosed(c.relay.Address)
	}
	return c.Conn.Close()
}

func syscallConn(c net.Conn) (syscall.RawConn, error) {
	if sc, ok := c.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, upstream.ErrNoDescriptor
}
