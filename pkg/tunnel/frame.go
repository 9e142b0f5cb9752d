package tunnel

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// A frame starts with a header of two bytes: the length of the data that follows, or a notice.
const (
	frameHeaderBytes = 2
	maxFrameBytes    = 8 << 10
)

// Notices.
const (
	// noticeEnd means that the server closed the connection, noticeReset that it reset it, and
	// noticeTimeout that it stopped responding.
	noticeEnd     = 0
	noticeReset   = 0xffff
	noticeTimeout = 0xfffe
	// noticeStopping means that the relay is shutting down: the tunnel carries the exchange in
	// progress to its end, and no further one.
	noticeStopping = 0xfffd
)

// errorOfNotice returns the error that the notice of an end stands for, nil for any other header.
func errorOfNotice(header uint16) error {
	switch header {
	case noticeEnd:
		return io.EOF
	case noticeReset:
		return syscall.ECONNRESET
	case noticeTimeout:
		return syscall.ETIMEDOUT
	}
	return nil
}

// noticeOf returns the notice for the error that ended the connection to the server.
func noticeOf(err error) uint16 {
	switch {
	case err == io.EOF:
		return noticeEnd
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH):
		return noticeTimeout
	}
	return noticeReset
}

// frameWriter writes frames to the box that opened the tunnel.
type frameWriter struct {
	mu   sync.Mutex
	conn net.Conn
}

// start sends the response to the request for the tunnel. Frames may follow.
func (w *frameWriter) start(conn net.Conn) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return err
	}
	w.conn = conn
	return nil
}

// close closes the connection. A write in progress fails.
func (w *frameWriter) close() {
	w.mu.Lock()
	conn := w.conn
	w.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

func (w *frameWriter) notify(notice uint16) error {
	return w.write(binary.BigEndian.AppendUint16(nil, notice))
}

// write writes complete frames. It does nothing before start.
func (w *frameWriter) write(frames []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return nil
	}
	_, err := w.conn.Write(frames)
	return err
}
