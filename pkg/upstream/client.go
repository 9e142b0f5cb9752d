package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"headhill.example/headhill/pkg/clock"
)

// Request is one request to one server.
type Request struct {
	// ServerKey names the incarnation of the server; connections are kept by it.
	ServerKey string
	Address   string
	Method    string
	// Target is the path with the query, as it is sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchesResponse tells whether an answer belongs to this request; nil takes any.
	MatchesResponse func(http.Header) bool
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Response is an answer whose head has arrived. Close must be called: it keeps the
// connection if the whole answer was read, and else ends the exchange.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the head does not say.
	Length int64
	Body   io.Reader

	exchange *exchange
	raw      *http.Response
}

// straysMost bounds the answers to earlier requests that are left out.
const straysMost = 4

// Client makes exchanges.
type Client struct {
	pool   *pool
	probes *probes
	dial   time.Duration
}

// NewClient returns a client that gives a connection this long to come up.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{pool: newPool(), probes: &probes{list: make(map[string]*Probe)}, dial: dialTimeout}
}

// Do sends a request and returns when the head of its answer is there. The error is
// *NotSentError or *BrokenError. When ctx ends, the connection is closed at once,
// which ends the request at the server.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Address: r.Address, Cause: err}
	}
	x := &exchange{client: c, conn: conn, server: r.ServerKey, written: make(chan error, 1)}
	x.release = context.AfterFunc(ctx, func() { conn.Close() })
	go func() { x.written <- x.write(r) }()
	raw, err := x.readHead(r)
	if err != nil {
		x.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &BrokenError{Address: r.Address, Cause: err}
	}
	return &Response{Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength, Body: raw.Body, exchange: x, raw: raw}, nil
}

func (c *Client) connect(ctx context.Context, r Request) (*conn, error) {
	if !r.NewConnection {
		if kept := c.pool.take(r.ServerKey, clock.Now()); kept != nil {
			return kept, nil
		}
	}
	raw, err := dialer(c.dial).DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	server  string
	written chan error
	release func() bool
	once    sync.Once
}

// write sends the head and the body.
func (x *exchange) write(r Request) error {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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
	b.Write(r.Body)
	_, err := x.conn.Write(b.Bytes())
	return err
}

// readHead reads heads until one belongs to the request.
func (x *exchange) readHead(r Request) (*http.Response, error) {
	for range straysMost {
		raw, err := x.conn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(raw.Header) {
			return raw, nil
		}
		if raw.Close || raw.ContentLength < 0 && len(raw.TransferEncoding) == 0 {
			return nil, &MalformedError{Reason: "an answer to another request ends the connection"}
		}
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, err
		}
	}
	return nil, &MalformedError{Reason: "only answers to other requests came"}
}

// abort closes the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.release()
		x.conn.Close()
	})
}

// Close ends the exchange. Whole says that the body was read to its end.
func (r *Response) Close(whole bool) {
	x := r.exchange
	if !whole || r.raw.Close || !x.release() || !x.sent() {
		x.abort()
		return
	}
	x.once.Do(func() { x.keep(r.Header) })
}

// sentWithin is how long the end of the sending may lag behind the end of the
// answer: the sender may just not have had its turn on a busy processor.
const sentWithin = 50 * time.Millisecond

// sent tells whether the request went out whole. A server may answer before it has
// read all; what follows on such a connection is still part of the request.
func (x *exchange) sent() bool {
	timer := time.NewTimer(sentWithin)
	defer timer.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (x *exchange) keep(h http.Header) {
	x.conn.idleSince = clock.Now()
	x.conn.idleMost = idleBound(h)
	if x.conn.idleMost <= 0 || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.client.pool.put(x.server, x.conn)
}

// idleBound is how long a connection may rest after an answer with this head.
func idleBound(h http.Header) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		for part := range strings.SplitSeq(v, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return idleDefault
}
