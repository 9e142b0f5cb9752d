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

// HeaderRequestID carries the request ID, which the server includes in its answer.
const HeaderRequestID = "X-Request-Id"

// HeaderFence carries the fencing token of a claim to servers that check it.
const HeaderFence = "Headhill-Fence"

const dialTimeout = time.Second

// Call is a call to a backend server.
type Call struct {
	Server    config.Server
	Engine    bool
	Method    string
	Path      string // including the query
	Header    http.Header
	Body      []byte
	RequestID string
	// AtMostOnce marks a call that must not be repeated.
	AtMostOnce bool
	// Fence is the fencing token of the claim, "" if there is none.
	Fence string
}

// Response is an answer whose headers have been received. Body must be closed.
type Response struct {
	Status  int
	Header  http.Header
	Framing upstream.Framing
	// Body returns io.EOF only at the end of a complete answer, see upstream.EndOf.
	Body io.ReadCloser
}

// Client calls backend servers.
type Client struct {
	upstream *upstream.Client
	stop     context.CancelFunc
	// answerTimeout is how long a server may send nothing before a call is cancelled.
	answerTimeout time.Duration
}

// NewClient returns a client that cancels a call when its server sends nothing for
// answerTimeout.
func NewClient(answerTimeout time.Duration) *Client {
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{upstream: upstream.NewClient(dialTimeout), stop: stop, answerTimeout: answerTimeout}
	go c.upstream.Run(ctx)
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.stop() }

// Do makes a call and returns once the headers of the answer are received. The error
// is a *NotStartedError or an *InterruptedError. Cancelling ctx closes the
// connection, which cancels the call at the server.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := newWatchdog(c.answerTimeout, cancel)
	resp, err := c.upstream.Do(ctx, upstreamRequest(call))
	if err != nil {
		w.stop()
		cancel(nil)
		if upstream.IsNotSent(err) {
			return nil, &NotStartedError{Server: call.Server.Name, Cause: err}
		}
		return nil, &InterruptedError{Server: call.Server.Name, Cause: err}
	}
	body := &watchedBody{response: resp, watchdog: w, ctx: ctx, cancel: cancel}
	if err := checkStarted(call, resp); err != nil {
		body.Close()
		return nil, err
	}
	return &Response{Status: resp.Status, Header: resp.Header, Framing: resp.Framing, Body: body}, nil
}

// upstreamRequest builds the request for a call. An at-most-once call uses a new
// connection, because a reused one may already be closed by the server.
func upstreamRequest(call Call) upstream.Request {
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

// checkStarted returns a *NotStartedError if the status shows that the server did not
// start the call: 429, 412 for a rejected fencing token, or 503 from an engine, which
// precedes any generation. A 503 from a plain service proves nothing.
func checkStarted(call Call, resp *upstream.Response) error {
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

// watchdog cancels a call whose server sends nothing for timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
}

func newWatchdog(timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	t := time.AfterFunc(timeout, func() { cancel(&AnswerTimeoutError{Timeout: timeout}) })
	return &watchdog{timer: t, timeout: timeout}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }
func (w *watchdog) stop()  { w.timer.Stop() }

// watchedBody resets the watchdog on each read and ends the call on Close.
type watchedBody struct {
	response *upstream.Response
	watchdog *watchdog
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if n > 0 {
		b.watchdog.reset()
	}
	if upstream.EndOf(err) == upstream.EndBroken {
		err = errors.Join(context.Cause(b.ctx), err)
	}
	return n, err
}

func (b *watchedBody) Close() error {
	b.watchdog.stop()
	b.response.Close()
	b.cancel(nil)
	return nil
}
