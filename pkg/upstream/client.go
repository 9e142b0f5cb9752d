package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"headhill.example/headhill/pkg/clock"
)

// Request is an HTTP request to one server.
type Request struct {
	// ServerKey identifies the incarnation of the server. Connections are pooled by it.
	ServerKey string
	Address   string
	Method    string
	// Target is the request target: the path with the query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection bypasses the connection pool.
	NewConnection bool
	// Query is set for a request of the box itself. It has no ID, so that no server can take it for one to be run.
	Query bool
	// OnSend is called once a connection is open, just before the first byte is written; nil for none. If it
	// returns an error, nothing is written.
	OnSend func() error
	// OnIdleClosed is called if the server closes the connection, which was established at a time, while it is idle after the
	// response; nil for none. It must not block.
	OnIdleClosed func(opened time.Time)
	// ReportOnReuse has OnIdleClosed called only once the connection is to carry another request, which needs no checks of idle
	// connections.
	ReportOnReuse bool
}

// Response is a response whose header has been read. Close must be called to release its
// connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the header does not declare it.
	Length  int64
	Framing Framing
	// Identity is IdentityOwn or IdentityMissing.
	Identity Identity
	// Body returns io.EOF only at the end of a complete response, see EndOf.
	Body io.Reader
	// Via is the address of the box by way of which the connection leads, "" for a direct one.
	Via string
	// ConnOpened is when the connection was established.
	ConnOpened time.Time

	exchange *exchange
	raw      *http.Response
	countEnd sync.Once
}

const (
	// maxStaleResponses is the maximum number of responses read for one request. Responses to earlier
	// requests are skipped.
	maxStaleResponses = 4
	// maxInterimBytes limits what is read of interim responses, which are skipped too.
	maxInterimBytes = 64 << 10
)

// Dialer opens connections to servers.
type Dialer interface {
	// Dial opens a connection to a server. The key identifies the incarnation of the server.
	Dial(ctx context.Context, serverKey, address string) (net.Conn, error)
	// Probe checks whether the process of a server still runs, by opening a connection.
	Probe(ctx context.Context, serverKey, address string) State
	// AwaitsResponse is called when a request was sent over a direct connection pathCheckDelay ago, or over a new one
	// newPathCheckDelay ago, and nothing of its response has arrived. It must not block.
	AwaitsResponse(serverKey, address string, sent time.Time)
}

// pathCheckDelay is the time without a response after which the path to a server may be checked. A connection that has
// just been opened is less likely to be lost.
const (
	pathCheckDelay    = 250 * time.Millisecond
	newPathCheckDelay = 600 * time.Millisecond
)

// Client sends requests to servers over pooled connections.
type Client struct {
	pool *pool
	busy busyConns
	// lifetimes is what connections prove that carry no exchange.
	lifetimes lifetimes
	breaks    breaks
	probes    *probes
	dialer    Dialer
	// reused and dialed count the connections over which requests were sent.
	reused, dialed atomic.Int64
	ends           endCounts
	// idHeader is the header that carries the ID of a request, "" if the protocol has none.
	idHeader   string
	identities [identities]atomic.Int64
}

// ConnectionCounts returns how many requests were sent over an idle connection and over a new one.
func (c *Client) ConnectionCounts() map[string]int64 {
	return map[string]int64{"idle": c.reused.Load(), "new": c.dialed.Load()}
}

// NewClient returns a client that opens all connections directly, with the given timeout, for a protocol without IDs.
func NewClient(dialTimeout time.Duration) *Client {
	return NewClientWithDialer(directDialer{timeout: dialTimeout}, "")
}

// NewClientWithDialer returns a client that opens connections with a dialer. Servers repeat the idHeader of a request in its
// response; "" if the protocol has no such header.
func NewClientWithDialer(d Dialer, idHeader string) *Client {
	return &Client{pool: newPool(), probes: &probes{byServer: make(map[string]*Probe)}, dialer: d, idHeader: idHeader}
}

// Do sends a request and returns once the response header has been read. The error is a
// *NotSentError or an *InterruptedError. Canceling ctx closes the connection, which cancels the
// request at the server.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	conn, err := c.acquireConn(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Cause: err}
	}
	if conn.via() == "" {
		sent, delay := clock.Now(), newPathCheckDelay
		if conn.reused {
			delay = pathCheckDelay
		}
		check := time.AfterFunc(delay, func() { c.dialer.AwaitsResponse(r.ServerKey, r.Address, sent) })
		defer check.Stop()
	}
	if r.OnSend != nil {
		if err := r.OnSend(); err != nil {
			c.returnUnused(r.ServerKey, conn)
			return nil, &NotSentError{Address: r.Address, Cause: err}
		}
	}
	x := &exchange{client: c, conn: conn, serverKey: r.ServerKey, onIdleClosed: r.OnIdleClosed, reportOnReuse: r.ReportOnReuse, query: r.Query, writeResult: make(chan error, 1)}
	x.stopAbort = context.AfterFunc(ctx, func() { conn.Close() })
	c.busy.add(r.ServerKey, conn)
	sent := clock.Now()
	conn.beginRequest()
	conn.queried, conn.served = conn.queried || r.Query, conn.served || !r.Query
	go func() { x.writeResult <- x.write(r) }()
	raw, err := x.readHead(r)
	if err != nil {
		x.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &InterruptedError{Address: r.Address, Via: conn.via(), ConnOpened: conn.opened, Cause: err}
	}
	conn.recordRan(sent)
	framing := framingOf(raw)
	return &Response{
		Via: conn.via(), ConnOpened: conn.opened, Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength, Framing: framing, Identity: x.identity,
		Body: &body{reader: raw.Body, framing: framing, conn: conn, onBreak: x.recordBreak}, exchange: x, raw: raw,
	}, nil
}

func (c *Client) acquireConn(ctx context.Context, r Request) (*conn, error) {
	if !r.NewConnection {
		pooled, closed := c.pool.take(r.ServerKey, clock.Now(), r.Query)
		for _, found := range closed {
			if found.onIdleClosed == nil {
				found.onIdleClosed = r.OnIdleClosed
			}
		}
		reportClosed(closed)
		if pooled != nil {
			c.reused.Add(1)
			pooled.reused = true
			return pooled, nil
		}
	}
	raw, err := c.dialer.Dial(ctx, r.ServerKey, r.Address)
	if err != nil {
		return nil, err
	}
	c.dialed.Add(1)
	return newConn(raw), nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	client    *Client
	conn      *conn
	serverKey string
	// onIdleClosed and reportOnReuse are as in Request.
	onIdleClosed  func(opened time.Time)
	reportOnReuse bool
	writeResult   chan error
	// query is as in Request.
	query bool
	// identity is that of the response.
	identity Identity
	// stopAbort cancels the closing of the connection at the end of the context. It returns false
	// if that has already begun.
	stopAbort func() bool
	once      sync.Once
}

// write sends the request header and body. It skips invalid header fields, which could smuggle
// another request.
func (x *exchange) write(r Request) error {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			if httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(v) {
				b.WriteString(name + ": " + v + "\r\n")
			}
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxCopiedBody {
		b.Write(r.Body)
		_, err := x.conn.Conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Conn.Write(b.Bytes()); err != nil {
		return err
	}
	_, err := x.conn.Conn.Write(r.Body)
	return err
}

// maxCopiedBody is the size up to which a body is copied to be sent together with the header. A server
// that reads slowly would make the box hold a longer one twice.
const maxCopiedBody = 4 << 10

// readHead reads response headers until one belongs to the request, and discards the bodies of the
// others.
func (x *exchange) readHead(r Request) (*http.Response, error) {
	interim := int64(0)
	for read := 0; read < maxStaleResponses; {
		raw, received, err := x.conn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if raw.StatusCode < http.StatusOK {
			if interim += received; interim > maxInterimBytes {
				return nil, &MalformedResponseError{Reason: "too many interim responses came"}
			}
			continue
		}
		read++
		identity := x.client.identify(r, raw, x.conn.queried)
		x.client.identities[identity].Add(1)
		if identity != IdentityOther {
			x.identity = identity
			return raw, nil
		}
		if raw.Close || raw.ContentLength < 0 && len(raw.TransferEncoding) == 0 {
			return nil, &MalformedResponseError{Reason: "an answer to another request ends the connection"}
		}
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, x.conn.withoutContent(err, "the body of an answer to another request can't be parsed")
		}
	}
	return nil, &MalformedResponseError{Reason: "only answers to other requests came"}
}

// release records that the connection carries the exchange no longer, and what it proves of the server. One that has carried only a query
// proves no more than the answer.
func (x *exchange) release() {
	x.client.busy.remove(x.serverKey, x.conn)
	if x.conn.served {
		x.client.lifetimes.add(x.serverKey, x.conn.span())
	}
}

func (x *exchange) abort() {
	x.once.Do(func() {
		x.stopAbort()
		x.release()
		x.conn.Close()
	})
}

// Close returns the connection to the pool if the response is complete and the connection is reusable. It
// closes the connection otherwise. That of a response whose second copy, sent late, would pass for the response to the next
// request is not reusable.
func (r *Response) Close() {
	x := r.exchange
	r.countEnd.Do(func() { x.client.ends[r.Framing][r.End()].Add(1) })
	if r.End() != EndWhole || r.raw.Close || !r.copyIsTold() || !x.stopAbort() || !x.writeCompleted() {
		x.abort()
		return
	}
	x.once.Do(func() { x.returnToPool(r.Header) })
}

// writeGrace is how long Close waits for the writing goroutine, which may not have been scheduled
// yet on a busy machine although the response is complete.
const writeGrace = 50 * time.Millisecond

// writeCompleted reports whether the whole request was written. A server may respond before it has
// read the request; the connection can't be reused then, as the rest of the request is still due.
func (x *exchange) writeCompleted() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-x.writeResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (x *exchange) returnToPool(h http.Header) {
	x.release()
	x.conn.idleSince = clock.Now()
	x.conn.idleTimeout = idleTimeout(h)
	if x.conn.idleTimeout <= 0 || x.conn.reader.Buffered() > 0 || !x.conn.fit() {
		x.conn.Close()
		return
	}
	// A request that asks for no report leaves that of the one before in place.
	if x.onIdleClosed != nil {
		x.conn.onIdleClosed, x.conn.reportOnReuse = x.onIdleClosed, x.reportOnReuse
	}
	x.client.pool.put(x.serverKey, x.conn)
}

// returnUnused returns a connection over which nothing was sent to the pool.
func (c *Client) returnUnused(serverKey string, conn *conn) {
	if !conn.reused {
		conn.idleSince, conn.idleTimeout = clock.Now(), defaultIdleTimeout
	}
	c.pool.put(serverKey, conn)
}

// AddIdle adds an open connection to a server, over which nothing was sent, to the pool.
func (c *Client) AddIdle(serverKey string, raw net.Conn) {
	idle := newConn(raw)
	idle.idleSince, idle.idleTimeout = clock.Now(), defaultIdleTimeout
	c.pool.put(serverKey, idle)
}

// idleTimeout returns how long a connection may stay idle after a response with header h.
func idleTimeout(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for part := range strings.SplitSeq(v, ",") {
			value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTimeout
}
