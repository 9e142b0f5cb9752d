package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/callerconn"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/upstream"
)

// maxBufferedBytes is how much of a plain service's answer is buffered before it is
// forwarded. The request can be retried if the exchange is interrupted before that.
const maxBufferedBytes = 256 << 10

// servePlain serves /services/NAME/PATH.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request, req *request) error {
	name := req.params.ByName("service")
	service, ok := h.Store.Current().Service(name)
	if !ok || service.Kind != config.ServiceKindPlain {
		return &RequestError{Status: http.StatusNotFound, Type: typeNoRoute, Message: fmt.Sprintf("no plain service %q: check the path", name)}
	}
	req.service = service
	if err := h.classify(r, req); err != nil {
		return err
	}
	ctx := r.Context()
	if req.atMostOnce {
		// Complete a non-repeatable request even if its caller disconnects, so that
		// its outcome is known.
		ctx = context.WithoutCancel(ctx)
	}
	x := &plainExchange{h: h, w: w, r: r, req: req}
	err := h.dispatch(ctx, req, h.slotRequest(req, len(req.body)/bytesPerToken+1, nil), x.do)
	h.endClaim(ctx, req, err)
	return err
}

// plainExchange forwards the answer of a plain service to the caller.
type plainExchange struct {
	h   *Handler
	w   http.ResponseWriter
	r   *http.Request
	req *request
}

func (x *plainExchange) do(ctx context.Context, s config.Server) (scheduler.Completion, error) {
	started := time.Now()
	resp, err := x.h.Backend.Do(ctx, backend.Call{
		Server:     s,
		Method:     x.r.Method,
		Path:       x.path(),
		Header:     forwardedHeader(x.r.Header),
		Body:       x.req.body,
		RequestID:  x.req.id,
		AtMostOnce: x.req.atMostOnce,
		Fence:      x.req.fence,
	})
	if err != nil {
		return scheduler.Completion{}, err
	}
	defer resp.Body.Close()
	if resp.Status >= 502 && !x.req.atMostOnce {
		return scheduler.Completion{}, &backend.InterruptedError{Server: s.Name, Cause: fmt.Errorf("status %d", resp.Status)}
	}
	c := scheduler.Completion{OutputTokens: 1, TimeToFirstToken: time.Since(started)}
	if err := x.forwardAnswer(s, resp); err != nil {
		return c, err
	}
	x.req.recordToken()
	return c, nil
}

func (x *plainExchange) path() string {
	p := x.r.URL.EscapedPath()
	// The router matched /services/NAME/PATH, which has three slashes.
	parts := strings.SplitN(p, "/", 4)
	path := "/" + parts[len(parts)-1]
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return path
}

// forwardAnswer buffers up to maxBufferedBytes of the answer, then forwards it and
// the rest as it arrives.
func (x *plainExchange) forwardAnswer(s config.Server, resp *backend.Response) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	answer := io.MultiReader(bytes.NewReader(head), resp.Body)
	if upstream.EndOf(err) == upstream.EndClosed {
		answer = bytes.NewReader(head)
	}
	if err := x.h.confirmEnd(x.r.Context(), s, err); err != nil {
		return err
	}
	outcome := api.OutcomeDone
	if resp.Framing == upstream.FramingClose {
		outcome = api.OutcomeUnknown
		x.req.endUnknown = true
	}
	if resp.Status >= 500 && x.req.atMostOnce {
		// An error status does not prove that the request did not run.
		outcome = api.OutcomeUnknown
		x.req.mayHaveRun = true
	}
	h := x.w.Header()
	for k, v := range forwardedHeader(resp.Header) {
		h[k] = v
	}
	h.Set(api.HeaderOutcome, string(outcome))
	x.req.responseStarted = true
	x.req.status = resp.Status
	// There are no chunks in HTTP/1.0.
	untilClose := x.req.endUnknown || len(head) > 0 && !x.r.ProtoAtLeast(1, 1)
	if untilClose {
		callerconn.BeginUntilClose(x.w, x.r)
	}
	x.w.WriteHeader(resp.Status)
	caller := &callerWriter{h: x.h, w: x.w}
	_, err = io.Copy(caller, answer)
	if caller.err != nil {
		return caller.err
	}
	if err := x.h.confirmEnd(x.r.Context(), s, err); err != nil {
		return err
	}
	if untilClose {
		callerconn.EndUntilClose(x.r)
	}
	return nil
}

// callerWriter records errors in writing to the caller, to tell them from read errors.
type callerWriter struct {
	h   *Handler
	w   http.ResponseWriter
	err error
}

func (c *callerWriter) Write(p []byte) (int, error) {
	c.h.extendWriteDeadline(c.w)
	n, err := c.w.Write(p)
	if err != nil {
		c.err = &callerWriteError{Cause: err}
	}
	return n, err
}

const internalHeaderPrefix = "Headhill-"

// forwardedHeader returns the end-to-end headers without headhill's own, which
// neither side may forge, and without the caller's API key.
func forwardedHeader(h http.Header) http.Header {
	out := upstream.EndToEndHeader(h)
	out.Del("Authorization")
	maps.DeleteFunc(out, func(name string, _ []string) bool { return strings.HasPrefix(name, internalHeaderPrefix) })
	return out
}
