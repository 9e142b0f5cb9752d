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
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/upstream"
)

// bufferMost is how much of a plain service's answer is held back, so that one
// that breaks early can still be asked for elsewhere.
const bufferMost = 256 << 10

// plain serves /services/NAME/PATH.
func (h *Handler) plain(w http.ResponseWriter, r *http.Request, req *request) error {
	name := req.params.ByName("service")
	service, ok := h.Store.Current().Service(name)
	if !ok || service.Kind != config.KindPlain {
		return &RequestError{Status: http.StatusNotFound, Type: typeNoRoute, Message: fmt.Sprintf("no plain service %q: check the path", name)}
	}
	req.service = service
	if err := h.classify(r, req); err != nil {
		return err
	}
	ctx := r.Context()
	if req.once {
		// What may not be repeated is not broken off because its caller left: its
		// end is worth knowing.
		ctx = context.WithoutCancel(ctx)
	}
	x := &plainExchange{h: h, w: w, r: r, req: req}
	err := h.run(ctx, req, h.query(req, len(req.body)/bytesPerToken+1, nil), x.do)
	h.endClaim(ctx, req, err)
	return err
}

// plainExchange passes a plain service's answer to its caller.
type plainExchange struct {
	h   *Handler
	w   http.ResponseWriter
	r   *http.Request
	req *request
}

func (x *plainExchange) do(ctx context.Context, s config.Server) (scheduler.Completion, error) {
	started := time.Now()
	resp, err := x.h.Backend.Do(ctx, backend.Call{
		Server:    s,
		Method:    x.r.Method,
		Path:      x.path(),
		Header:    forwarded(x.r.Header),
		Body:      x.req.body,
		RequestID: x.req.id,
		Once:      x.req.once,
		Fence:     x.req.fence,
	})
	if err != nil {
		return scheduler.Completion{}, err
	}
	defer resp.Body.Close()
	if resp.Status >= 502 && !x.req.once {
		return scheduler.Completion{}, &backend.BrokenError{Server: s.Name, Cause: fmt.Errorf("status %d", resp.Status)}
	}
	c := scheduler.Completion{OutputTokens: 1, TimeToFirstToken: time.Since(started)}
	if err := x.pass(s, resp); err != nil {
		return c, err
	}
	x.req.token()
	return c, nil
}

func (x *plainExchange) path() string {
	p := x.r.URL.EscapedPath()
	// The router matched /services/NAME, so there are three slashes.
	parts := strings.SplitN(p, "/", 4)
	path := "/" + parts[len(parts)-1]
	if x.r.URL.RawQuery != "" {
		path += "?" + x.r.URL.RawQuery
	}
	return path
}

// pass hands the answer on: in one piece if it is short, else as it comes.
func (x *plainExchange) pass(s config.Server, resp *backend.Response) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, bufferMost))
	if err != nil {
		return &backend.BrokenError{Server: s.Name, Cause: err}
	}
	outcome := api.OutcomeDone
	if resp.Status >= 500 && x.req.once {
		// The service's own answer, but it proves nothing.
		outcome = api.OutcomeUnknown
		x.req.maybeRan = true
	}
	h := x.w.Header()
	for k, v := range forwarded(resp.Header) {
		h[k] = v
	}
	h.Set(api.HeaderOutcome, string(outcome))
	x.req.begun = true
	x.req.status = resp.Status
	x.w.WriteHeader(resp.Status)
	caller := &callerWriter{h: x.h, w: x.w}
	_, err = io.Copy(caller, io.MultiReader(bytes.NewReader(head), resp.Body))
	if caller.err != nil {
		return caller.err
	}
	if err != nil {
		return &backend.BrokenError{Server: s.Name, Cause: err}
	}
	return nil
}

// callerWriter tells errors of the caller's side from those of the server's.
type callerWriter struct {
	h   *Handler
	w   http.ResponseWriter
	err error
}

func (c *callerWriter) Write(p []byte) (int, error) {
	c.h.extend(c.w)
	n, err := c.w.Write(p)
	if err != nil {
		c.err = &callerError{Cause: err}
	}
	return n, err
}

const ownHeaders = "Headhill-"

// forwarded copies the headers that go through: not headhill's own, which neither
// side may forge, nor the caller's key, which is for headhill only.
func forwarded(h http.Header) http.Header {
	out := upstream.EndToEndHeader(h)
	out.Del("Authorization")
	maps.DeleteFunc(out, func(name string, _ []string) bool { return strings.HasPrefix(name, ownHeaders) })
	return out
}
