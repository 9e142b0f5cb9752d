package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/stall"
)

const (
	// callTimeout limits the time to the first byte of a response and the time between reads.
	callTimeout  = 3 * time.Second
	watchTimeout = 25 * time.Second
	// watchGrace is added to watchTimeout when waiting for the response to a watch.
	watchGrace = 3 * time.Second
	// maxResponseTime limits the total duration of a response.
	maxResponseTime = 5 * time.Minute
)

// Client speaks the platform's HTTP protocol.
type Client struct {
	base    string
	token   string
	http    *http.Client
	limiter *callrate.Limiter
}

// NewClient returns a client for the platform at the base URL. The token authenticates
// the box and may be empty.
func NewClient(base, token string, budget callrate.Budget) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return NewClientWithTransport(t, base, token, budget)
}

// NewClientWithTransport is like NewClient with the given transport. The transport must
// call httptrace's GotConn hook and must not retry requests.
func NewClientWithTransport(t http.RoundTripper, base, token string, budget callrate.Budget) *Client {
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		token:   token,
		http:    &http.Client{Transport: t},
		limiter: callrate.New(budget),
	}
}

// SetBudget changes the client's rate limits, for example when the number of boxes changes.
func (c *Client) SetBudget(b callrate.Budget) { c.limiter.SetBudget(b) }

// Calls returns the number of calls made so far.
func (c *Client) Calls() callrate.Calls { return c.limiter.Calls() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call describes one request to the platform.
type call struct {
	op     string
	method string
	path   string
	header http.Header
	body   []byte
	write  bool
	// timeout limits the time to the first byte of the response.
	timeout time.Duration
}

// response is a complete response from the platform.
type response struct {
	status  int
	version Version
	body    []byte
	// endUnknown is set if the body may be incomplete.
	endUnknown bool
}

// object returns the object in a response. JSON in a response that was cut off can't be decoded, but a
// value can't be told from a shorter one.
func (r response) object(op, key string) (Object, error) {
	if r.endUnknown {
		return Object{}, &UnavailableError{Op: op, Cause: errEndUnknown}
	}
	return Object{Key: key, Value: r.body, Version: r.version}, nil
}

// do makes a call. For a write, an error after the request may have been sent is
// returned as UnknownOutcomeError.
func (c *Client) do(ctx context.Context, cl call) (response, error) {
	if err := c.limiter.Wait(ctx, cl.write); err != nil {
		return response{}, &UnavailableError{Op: cl.op, Cause: err}
	}
	ctx, cancel := stall.WithLimits(ctx, stall.Limits{FirstByte: cl.timeout, Idle: callTimeout, Total: maxResponseTime})
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.newRequest(ctx, cl)
	if err != nil {
		return response{}, &UnavailableError{Op: cl.op, Cause: err}
	}
	resp, err := c.roundTrip(req)
	if err == nil {
		return resp, c.checkStatus(cl, resp)
	}
	if cl.write && sent.Load() {
		return response{}, &UnknownOutcomeError{Op: cl.op, Cause: err}
	}
	return response{}, &UnavailableError{Op: cl.op, Cause: err}
}

func (c *Client) newRequest(ctx context.Context, cl call) (*http.Request, error) {
	// Use a reader without GetBody, so that the transport cannot retry a write.
	var body io.Reader
	if cl.write {
		body = struct{ io.Reader }{bytes.NewReader(cl.body)}
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, c.base+cl.path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(cl.body))
	for k, v := range cl.header {
		req.Header[k] = v
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func (c *Client) roundTrip(req *http.Request) (response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(stall.NewReader(req.Context(), io.LimitReader(resp.Body, MaxValueBytes*4)))
	if err != nil {
		return response{}, err
	}
	v, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return response{status: resp.StatusCode, version: Version(v), body: body, endUnknown: endsWithConnection(resp)}, nil
}

// endsWithConnection reports whether a response has neither a length nor chunks, so that its body may be
// incomplete.
func endsWithConnection(r *http.Response) bool {
	return r.Close && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}

var errEndUnknown = errors.New("the response ended with its connection and may be incomplete")

var errRateLimited = errors.New("rate limit")

func (c *Client) checkStatus(cl call, resp response) error {
	switch {
	case resp.status < 300:
		return nil
	case resp.status == http.StatusNotFound:
		return &NotFoundError{Key: cl.path}
	case resp.status == http.StatusPreconditionFailed, resp.status == http.StatusConflict:
		return &ConflictError{Key: cl.path}
	case resp.status == http.StatusTooManyRequests:
		return &UnavailableError{Op: cl.op, Cause: errRateLimited}
	case resp.status == http.StatusNotModified:
		return &UnavailableError{Op: cl.op, Cause: errNoChange}
	case resp.status >= 500 && cl.write:
		// Also 503: a proxy may return it for a write that took effect.
		return &UnknownOutcomeError{Op: cl.op, Cause: fmt.Errorf("status %d", resp.status)}
	case resp.status >= 500:
		return &UnavailableError{Op: cl.op, Cause: fmt.Errorf("status %d", resp.status)}
	}
	return &InvalidResponseError{Op: cl.op, Status: resp.status}
}

var errNoChange = errors.New("no change within the wait")

// IsNoChange reports whether err says that a watch ended without a change.
func IsNoChange(err error) bool { return errors.Is(err, errNoChange) }

func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

// Get implements Objects.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.do(ctx, call{op: "get", method: http.MethodGet, path: objectPath(key), timeout: callTimeout})
	if err != nil {
		return Object{}, err
	}
	return resp.object("get", key)
}

// List implements Objects.
func (c *Client) List(ctx context.Context, prefix string) ([]ObjectInfo, error) {
	path := "/v1/objects?prefix=" + url.QueryEscape(prefix)
	resp, err := c.do(ctx, call{op: "list", method: http.MethodGet, path: path, timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	var entries []ObjectInfo
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, &InvalidResponseError{Op: "list", Status: resp.status}
	}
	return entries, nil
}

// Create implements Objects.
func (c *Client) Create(ctx context.Context, key string, value []byte) (Version, error) {
	return c.put(ctx, "create", key, value, http.Header{"If-None-Match": {"*"}})
}

// Update implements Objects.
func (c *Client) Update(ctx context.Context, key string, value []byte, version Version) (Version, error) {
	return c.put(ctx, "update", key, value, ifMatch(version))
}

func ifMatch(v Version) http.Header {
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(v), 10))}}
}

func (c *Client) put(ctx context.Context, op, key string, value []byte, h http.Header) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, &TooLargeError{Key: key, Size: len(value)}
	}
	resp, err := c.do(ctx, call{
		op: op, method: http.MethodPut, path: objectPath(key),
		header: h, body: value, write: true, timeout: callTimeout,
	})
	return resp.version, err
}

// Delete implements Objects.
func (c *Client) Delete(ctx context.Context, key string, version Version) error {
	_, err := c.do(ctx, call{
		op: "delete", method: http.MethodDelete, path: objectPath(key),
		header: ifMatch(version), write: true, timeout: callTimeout,
	})
	return err
}

// Watch implements Objects.
func (c *Client) Watch(ctx context.Context, key string, after Version) (Object, error) {
	path := fmt.Sprintf("%s?watch=1&after=%d&timeout=%s", objectPath(key), after, watchTimeout)
	resp, err := c.do(ctx, call{
		op: "watch", method: http.MethodGet, path: path, timeout: watchTimeout + watchGrace,
	})
	if err != nil {
		return Object{}, err
	}
	return resp.object("watch", key)
}

// Boxes implements Boxes.
func (c *Client) Boxes(ctx context.Context) ([]Box, error) {
	resp, err := c.do(ctx, call{op: "boxes", method: http.MethodGet, path: "/v1/boxes", timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	var boxes []Box
	if err := json.Unmarshal(resp.body, &boxes); err != nil {
		return nil, &InvalidResponseError{Op: "boxes", Status: resp.status}
	}
	return boxes, nil
}
