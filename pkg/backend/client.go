package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/upstream"
)

// HeaderRequestID names the request towards the server, which names its answer
// by it.
const HeaderRequestID = "X-Request-Id"

// HeaderFence carries a claim's fence to servers that check who orders them.
const HeaderFence = "Headhill-Fence"

const dialTimeout = time.Second

// Call is one call to a backend server.
type Call struct {
	Server    config.Server
	Engine    bool
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
	RequestID string
	// AtMostOnce marks a call that must not be repeated.
	AtMostOnce bool
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
	upstream *upstream.Client
	stop     context.CancelFunc
	// silence bounds how long a server may send nothing.
	silence time.Duration
}

// NewClient returns a client that gives a server up after this much silence.
func NewClient(silence time.Duration) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{upstream: upstream.NewClient(dialTimeout), stop: stop, silence: silence}
	go c.upstream.Run(ctx)
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.stop() }

// Do makes a call and returns when the answer's header is there. The error is
// *NotStartedError or *InterruptedError. Cancelling ctx ends the call at the server.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatchdog(c.silence, cancel)
	resp, err := c.upstream.Do(ctx, outgoing(call))
	if err != nil {
		w.stop()
		cancel(nil)
		if upstream.IsNotSent(err) {
			return nil, &NotStartedError{Server: call.Server.Name, Cause: err}
		}
		return nil, &InterruptedError{Server: call.Server.Name, Cause: err}
	}
	body := &watchedBody{response: resp, watchdog: w, ctx: ctx, cancel: cancel}
	if err := refusal(call, resp); err != nil {
		body.Close()
		return nil, err
	}
	return &Response{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// outgoing is the request as it goes out. One that must not be repeated takes a new
// connection: on a kept one that turns out dead it would be lost.
func outgoing(call Call) upstream.Request {
	h := call.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(HeaderRequestID, call.RequestID)
	if call.Fence != "" && call.Server.Fences {
		h.Set(HeaderFence, call.Fence)
	}
	return upstream.Request{
		ServerKey: call.Server.Address, Address: call.Server.Address, Method: call.Method, Target: call.Path,
		Host: call.Server.Address, Header: h, Body: call.Body, NewConnection: call.AtMostOnce,
	}
}

// refusal tells whether the server said that it did not start the call. 429
// says so by its meaning, 412 is a fence's refusal; an engine's 503 comes before
// any generation. A plain service's 503 proves nothing.
func refusal(call Call, resp *upstream.Response) error {
	started := true
	switch resp.Status {
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
		Cause:      fmt.Errorf("status %d", resp.Status),
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
	t := time.AfterFunc(after, func() { cancel(&AnswerTimeoutError{After: after}) })
	return &watchdog{timer: t, after: after}
}

func (w *watchdog) heard() { w.timer.Reset(w.after) }
func (w *watchdog) stop()  { w.timer.Stop() }

// watchedBody resets the watchdog at each read and ends the call at close.
type watchedBody struct {
	response *upstream.Response
	watchdog *watchdog
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// whole is set once the end was read.
	whole bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if n > 0 {
		b.watchdog.heard()
	}
	if err == io.EOF {
		b.whole = true
	} else if err != nil {
		err = errors.Join(context.Cause(b.ctx), err)
	}
	return n, err
}

func (b *watchedBody) Close() error {
	b.watchdog.stop()
	b.response.Close(b.whole)
	b.cancel(nil)
	return nil
}
