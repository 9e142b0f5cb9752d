package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"headhill.example/headhill/pkg/clock"
)

const (
	// keepAliveIdle and keepAliveInterval are those of the probes that detect an unresponsive peer while
	// a response is awaited. tcpUserTimeout applies while sent data is unacknowledged, and also decides
	// when the probes give up, so that their count has no effect: at the first probe that is due after
	// it. That is the third one, as a single lost probe or a pause of a second is no evidence.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	tcpUserTimeout    = 2500 * time.Millisecond

	readBufferBytes = 4 << 10
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
)

// conn is a connection to a server. It carries one exchange at a time.
type conn struct {
	net.Conn
	// limit caps the bytes read while a response header is parsed.
	limit  *io.LimitedReader
	head   *headRecorder
	reader *bufio.Reader
	// opened is when the connection was established.
	opened time.Time
	// ranAt is how many nanoseconds after opened the process of the server ran at least.
	ranAt atomic.Int64
	// reused is set once the connection was taken from the pool, queried once it has carried a query, served once a caller's request.
	reused, queried, served bool
	// peerClosed is set if the server was found to have closed the connection while it was idle, onIdleClosed is called then;
	// nil for none.
	peerClosed   bool
	onIdleClosed func(opened time.Time)
	// reportOnReuse is as in Request.
	reportOnReuse bool
	// idleSince is the end of the last exchange. idleTimeout is how long the connection may be
	// reused after that.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	timed := &conn{Conn: c, opened: clock.Now()}
	timed.head = &headRecorder{reader: c}
	timed.limit = &io.LimitedReader{R: timed.head, N: math.MaxInt64}
	timed.reader = bufio.NewReaderSize(timed.limit, readBufferBytes)
	return timed
}

// expired reports whether an idle connection has reached its idle timeout.
func (c *conn) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleTimeout }

// readHead reads a response header of up to maxHeaderBytes. It also returns how many bytes were received meanwhile.
func (c *conn) readHead(method string) (resp *http.Response, received int64, err error) {
	c.limit.N = maxHeaderBytes
	defer func() { c.limit.N = math.MaxInt64 }()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.start(buffered)
	defer c.head.stop()
	resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		err = checkStatus(resp)
	}
	if err == nil {
		err = checkFraming(resp, c.head.recorded)
	}
	return resp, maxHeaderBytes - c.limit.N, c.withoutContent(err, "its header can't be parsed")
}

// withoutContent is WithoutContent for errors of parsers that read from the connection.
func (c *conn) withoutContent(err error, reason string) error {
	return WithoutContent(err, c.head.err, reason)
}

// directDialer is the Dialer of a client that has no other box to ask.
type directDialer struct{ timeout time.Duration }

// Dial implements Dialer.
func (d directDialer) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	return DialDirect(ctx, address)
}

// Probe implements Dialer.
func (d directDialer) Probe(ctx context.Context, _, address string) State {
	return StateOf(DialDirect(ctx, address))
}

// AwaitsResponse implements Dialer.
func (d directDialer) AwaitsResponse(string, string, time.Time) {}

// DialDirect opens a TCP connection that detects an unresponsive peer.
func DialDirect(ctx context.Context, address string) (net.Conn, error) {
	c, err := dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: c}, nil
}

// dialer returns a dialer whose connections detect an unresponsive peer.
func dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option an unresponsive peer is only detected later.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
		},
	}
}

// ReusableConn is a connection that may be unfit for a further exchange although it is open.
type ReusableConn interface{ Reusable() bool }

// RequestConn is a connection that tells requests apart, whose parts are written one by one.
type RequestConn interface {
	// BeginRequest is called before each request is written.
	BeginRequest()
}

// beginRequest informs the connection that another request follows.
func (c *conn) beginRequest() {
	if r, ok := c.Conn.(RequestConn); ok {
		r.BeginRequest()
	}
}

// ErrNoDescriptor is returned by SyscallConn of a connection without a file descriptor.
var ErrNoDescriptor = errors.New("the connection has no file descriptor")

// ViaConn is a connection that leads through another box.
type ViaConn interface {
	// Via returns the address of the other box.
	Via() string
}

// via returns the address of the box through which the connection leads, "" for a direct one.
func (c *conn) via() string {
	if v, ok := c.Conn.(ViaConn); ok {
		return v.Via()
	}
	return ""
}

// fit reports whether the connection itself considers a further exchange possible.
func (c *conn) fit() bool {
	r, ok := c.Conn.(ReusableConn)
	return !ok || r.Reusable()
}

// reusable reports whether an idle connection is still open and has received no unsolicited data. It sets peerClosed.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if !c.fit() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, ErrNoDescriptor) {
		return true
	}
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN
		c.peerClosed = !open && (err != nil || n == 0)
		return true
	})
	return err == nil && open
}
