package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"headhill.example/headhill/pkg/config"
)

// HeaderRequestID names the request towards the server, which names its answer
// by it.
const HeaderRequestID = "X-Request-Id"

// HeaderFence carries a claim's fence to servers that check who orders them.
const HeaderFence = "Headhill-Fence"

const (
	dialTimeout     = time.Second
	idlePerServer   = 64
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	idleConnections = 4096
)

// Call is one call to a backend server.
type Call struct {
	Server    config.Server
	Engine    bool
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
	RequestID string
	// Once marks a call that must not be repeated.
	Once bool
	// Fence is the claim's fence, "" if there is none.
	Fence string
}

// Response is an answer whose header has arrived. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Client makes calls.
type Client struct {
	// shared keeps connections. once makes a new one for each call: net/http
	// repeats a request by itself when a kept connection turns out dead, and a
	// call that must not be repeated can't be left to that.
	shared *http.Transport
	once   *http.Transport
	// silence bounds how long a server may send nothing.
	silence time.Duration
}

// NewClient returns a client that gives a server up after this much silence.
func NewClient(silence time.Duration) *Client {
	return &Client{shared: newTransport(true), once: newTransport(false), silence: silence}
}

func newTransport(keep bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      !keep,
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// Do makes a call and returns when the answer's header is there. The error is
// *NotStartedError or *BrokenError. Cancelling ctx ends the call at the server.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatchdog(c.silence, cancel)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(traced, call)
	if err != nil {
		cancel(nil)
		return nil, &NotStartedError{Server: call.Server.Name, Cause: err}
	}
	resp, err := c.transport(call).RoundTrip(req)
	if err != nil {
		w.stop()
		err = errors.Join(context.Cause(ctx), err)
		cancel(nil)
		if connected.Load() {
			return nil, &BrokenError{Server: call.Server.Name, Cause: err}
		}
		return nil, &NotStartedError{Server: call.Server.Name, Cause: err}
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, watchdog: w, ctx: ctx, cancel: cancel}
	if err := refusal(call, resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}

func (c *Client) transport(call Call) *http.Transport {
	if call.Once {
		return c.once
	}
	return c.shared
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Server.Address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, nil)
	if err != nil {
		return nil, err
	}
	for k, v := range call.Header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	if call.Fence != "" && call.Server.Fences {
		req.Header.Set(HeaderFence, call.Fence)
	}
	if len(call.Body) > 0 || call.Once {
		// Without GetBody the transport can't rewind the body for a repetition.
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	return req, nil
}

// refusal tells whether the server said that it did not start the call. 429
// says so by its meaning, 412 is a fence's refusal; an engine's 503 comes before
// any generation. A plain service's 503 proves nothing.
func refusal(call Call, resp *http.Response) error {
	started := true
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		started = false
	case http.StatusServiceUnavailable:
		started = !call.Engine
	case http.StatusPreconditionFailed:
		started = call.Fence == "" || !call.Server.Fences
	}
	if started {
		return nil
	}
	return &NotStartedError{
		Server:     call.Server.Name,
		Cause:      fmt.Errorf("status %d", resp.StatusCode),
		RetryAfter: retryAfter(resp.Header),
	}
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// watchdog cancels a call whose server stays silent.
type watchdog struct {
	timer *time.Timer
	after time.Duration
}

func newWatchdog(after time.Duration, cancel context.CancelCauseFunc) *watchdog {
	t := time.AfterFunc(after, func() { cancel(&SilentError{After: after}) })
	return &watchdog{timer: t, after: after}
}

func (w *watchdog) heard() { w.timer.Reset(w.after) }
func (w *watchdog) stop()  { w.timer.Stop() }

// watchedBody resets the watchdog at each read and releases the call at close.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watchdog.heard()
	}
	if err != nil && err != io.EOF {
		err = errors.Join(context.Cause(b.ctx), err)
	}
	return n, err
}

func (b *watchedBody) Close() error {
	b.watchdog.stop()
	b.cancel(nil)
	return b.ReadCloser.Close()
}
