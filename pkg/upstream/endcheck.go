package upstream

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// checkedConn is a TCP connection whose Read returns io.EOF only if the peer closed it. The kernel reports
// the error that ends a connection once: if a blocked Write gets it, the next read system call returns
// zero bytes, as after an orderly close.
type checkedConn struct {
	net.Conn
	// write is the write in progress or the latest one.
	write atomic.Pointer[pendingWrite]
}

type pendingWrite struct {
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// writeErrorGrace is how long a Read that found the end waits for a Write in progress to report an error.
const writeErrorGrace = 50 * time.Millisecond

// Write implements net.Conn. It must not be called concurrently.
func (c *checkedConn) Write(b []byte) (int, error) {
	w := &pendingWrite{done: make(chan struct{})}
	c.write.Store(w)
	n, err := c.Conn.Write(b)
	w.err = err
	close(w.done)
	return n, err
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if writeErr := c.writeError(); writeErr != nil {
			return n, writeErr
		}
	}
	return n, err
}

// writeError returns the error of the latest write.
func (c *checkedConn) writeError() error {
	w := c.write.Load()
	if w == nil {
		return nil
	}
	select {
	case <-w.done:
		return w.err
	default:
	}
	timer := time.NewTimer(writeErrorGrace)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err
	case <-timer.C:
		return nil
	}
}

// SyscallConn implements syscall.Conn.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
