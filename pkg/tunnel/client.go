package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"

	"headhill.example/headhill/pkg/upstream"
)

// headerReason is the response header with the Reason of a refusal.
const headerReason = "Headhill-Tunnel-Refused"

// Dial opens a connection to a server by way of a relay. The error is a *RefusedError if the relay
// refuses. Nothing has been sent to the server if an error is returned.
func Dial(ctx context.Context, relay, server string) (net.Conn, error) {
	raw, err := upstream.DialDirect(ctx, relay)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	c := newConn(raw, relay)
	if err := c.connect(server); err != nil {
		stop()
		raw.Close()
		return nil, err
	}
	if !stop() {
		return nil, context.Cause(ctx)
	}
	return c, nil
}

// conn is the near end of a tunnel.
type conn struct {
	net.Conn
	relay  string
	reader *bufio.Reader
	// limit caps what is read of the answer to the request for the tunnel.
	limit    *io.LimitedReader
	received *errorReader
	// remaining is what is left of the current frame.
	remaining int
	// stopping is set once the relay has announced that it is shutting down.
	stopping bool
	// ended is the error that all further reads return.
	ended error
}

// errorReader keeps the error with which a reader ended.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil {
		r.err = err
	}
	return n, err
}

func newConn(raw net.Conn, relay string) *conn {
	received := &errorReader{Reader: raw}
	limit := &io.LimitedReader{R: received, N: maxAnswerBytes}
	return &conn{Conn: raw, relay: relay, limit: limit, received: received, reader: bufio.NewReaderSize(limit, maxFrameBytes+frameHeaderBytes)}
}

// maxAnswerBytes limits what is read of the answer to a request for a tunnel. Another program may have taken the address
// of a box that is gone.
const maxAnswerBytes = 64 << 10

// connect asks the relay for the tunnel and reads its answer.
func (c *conn) connect(server string) error {
	if _, err := io.WriteString(c.Conn, "CONNECT "+server+" HTTP/1.1\r\nHost: "+server+"\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return upstream.WithoutContent(err, c.received.err, "the answer to the request for a tunnel can't be parsed")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		c.limit.N = math.MaxInt64
		return nil
	}
	return &RefusedError{Relay: c.relay, Server: server, Reason: parseReason(resp.Header.Get(headerReason))}
}

// Read implements net.Conn. It returns io.EOF only if the server closed its connection, and a
// *upstream.PathLostError if the connection to the relay ended first.
func (c *conn) Read(b []byte) (int, error) {
	for c.ended == nil && c.remaining == 0 {
		c.readHeader()
	}
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.reader.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	if err != nil {
		c.ended = c.lost(err)
	}
	return n, c.ended
}

// readHeader reads the header of the next frame.
func (c *conn) readHeader() {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		c.ended = c.lost(err)
		return
	}
	switch value := binary.BigEndian.Uint16(header[:]); {
	case value == noticeStopping:
		c.stopping = true
	case value > maxFrameBytes || value == noticeEnd:
		if c.ended = errorOfNotice(value); c.ended == nil {
			c.ended = c.lost(io.ErrUnexpectedEOF)
		}
	default:
		c.remaining = int(value)
	}
}

func (c *conn) lost(err error) error { return &upstream.PathLostError{Relay: c.relay, Cause: err} }

// Reusable implements upstream.ReusableConn.
func (c *conn) Reusable() bool {
	return c.ended == nil && !c.stopping && c.remaining == 0 && c.reader.Buffered() == 0
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
