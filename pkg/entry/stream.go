package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/sse"
)

const (
	// answerMost bounds an answer that is not streamed, in bytes.
	answerMost = 32 << 20
	// callerTimeout bounds how long a caller may take to read a piece.
	callerTimeout = 30 * time.Second
	streamEnd     = "[DONE]"
)

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request, req *request) error {
	body, err := parseChat(req.body)
	if err != nil {
		return err
	}
	service, ok := h.Store.Current().ServiceByModel(body.model)
	if !ok {
		return &RequestError{Status: http.StatusNotFound, Type: typeNoRoute, Message: fmt.Sprintf("model %q is not served here: check the field %q", body.model, fieldModel)}
	}
	req.service = service
	if err := h.classify(r, req); err != nil {
		return err
	}
	x := &chatExchange{h: h, w: w, req: req, body: body}
	x.answer.id = answerPrefix + req.id
	q := h.query(req, body.promptTokens(), body.prefixes())
	err = h.run(r.Context(), req, q, x.do)
	h.endClaim(r.Context(), req, err)
	return err
}

// chatExchange passes a chat completion from one engine, or from several that go
// on where the one before broke off, to its caller.
type chatExchange struct {
	h      *Handler
	w      http.ResponseWriter
	req    *request
	body   *chatBody
	answer answer
	// chunk is decoded into again and again: an answer has hundreds.
	chunk chunk
}

func (x *chatExchange) do(ctx context.Context, s config.Server) (scheduler.Completion, error) {
	body, err := x.nextBody()
	if err != nil {
		return scheduler.Completion{}, err
	}
	if x.answer.started {
		// The new engine has to read prompt and partial answer again.
		x.req.wasted += x.body.promptTokens()
	}
	started := time.Now()
	resp, err := x.h.Backend.Do(ctx, backend.Call{
		Server:    s,
		Engine:    true,
		Method:    http.MethodPost,
		Path:      pathChat,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Body:      body,
		RequestID: x.req.id,
		Once:      x.req.once,
		Fence:     x.req.fence,
	})
	if err != nil {
		return scheduler.Completion{}, err
	}
	defer resp.Body.Close()
	before := x.answer.tokens
	switch {
	case resp.Status >= 500:
		err = &backend.BrokenError{Server: s.Name, Cause: fmt.Errorf("status %d", resp.Status)}
	case resp.Status != http.StatusOK && !x.answer.started:
		err = x.whole(s, resp)
	case resp.Status != http.StatusOK:
		err = &backend.BrokenError{Server: s.Name, Cause: fmt.Errorf("status %d in the middle of an answer", resp.Status)}
	case x.body.stream:
		err = x.stream(s, resp)
	default:
		err = x.whole(s, resp)
	}
	return x.completion(started, x.answer.tokens-before), err
}

func (x *chatExchange) nextBody() ([]byte, error) {
	if !x.answer.started {
		return x.req.body, nil
	}
	return x.body.continued(x.answer.text.String(), x.answer.tokens)
}

func (x *chatExchange) completion(started time.Time, tokens int) scheduler.Completion {
	c := scheduler.Completion{PromptTokens: x.body.promptTokens(), OutputTokens: tokens}
	if tokens == 0 {
		return c
	}
	c.TimeToFirstToken = x.req.firstToken.Sub(started)
	c.InterTokenLatency = x.req.between()
	return c
}

// between is the mean time between the tokens delivered so far.
func (q *request) between() time.Duration {
	if q.tokens < 2 {
		return 0
	}
	return q.lastToken.Sub(q.firstToken) / time.Duration(q.tokens-1)
}

// stream passes events on until the answer is whole.
func (x *chatExchange) stream(s config.Server, resp *backend.Response) error {
	broken := func(err error) error { return &backend.BrokenError{Server: s.Name, Cause: err} }
	events := sse.NewReader(resp.Body)
	for {
		data, err := events.Next()
		if err != nil && x.answer.finished {
			// Only the closing mark is missing.
			return x.finish()
		}
		if err != nil && x.full() {
			return x.finishFull()
		}
		if err != nil {
			return broken(x.explain(err))
		}
		if string(data) == streamEnd {
			if !x.answer.finished {
				return broken(errors.New("the stream ended before the answer did"))
			}
			return x.finish()
		}
		err = x.event(data, events.HasBuffered())
		if isCaller(err) {
			return err
		}
		if err != nil {
			return broken(err)
		}
	}
}

// full tells whether the caller has as many tokens as it asked for. An event
// carries one token or more, so counting events never counts too many.
func (x *chatExchange) full() bool {
	return x.body.maxTokens > 0 && !x.answer.opaque && x.answer.tokens >= x.body.maxTokens
}

// finishFull ends an answer that is whole but for the engine saying so. Another
// engine would add a token to it.
func (x *chatExchange) finishFull() error {
	last := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`, x.answer.id)
	if err := x.send([]byte(last), false); err != nil {
		return err
	}
	return x.finish()
}

func (x *chatExchange) explain(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// event checks one event and passes it on. More tells that another one is there
// already, so that flushing can wait for it.
func (x *chatExchange) event(data []byte, more bool) error {
	c := &x.chunk
	c.reset()
	if err := json.Unmarshal(data, c); err != nil {
		return fmt.Errorf("event is no JSON: %w", err)
	}
	if c.Error != nil {
		return fmt.Errorf("engine error: %s", c.Error.Message)
	}
	if c.ID != x.answer.id {
		return &backend.MismatchError{Want: x.answer.id, Got: c.ID}
	}
	before := x.answer.tokens
	if !x.answer.take(c) {
		return nil
	}
	x.req.opaque = x.answer.opaque
	if x.answer.tokens > before {
		x.req.token()
	}
	return x.send(data, !more || x.answer.finished)
}

func (q *request) token() {
	q.lastToken = time.Now()
	if q.tokens == 0 {
		q.firstToken = q.lastToken
	}
	q.tokens++
}

// send writes one event to the caller.
func (x *chatExchange) send(data []byte, flush bool) error {
	c := http.NewResponseController(x.w)
	if !x.answer.started {
		x.answer.started = true
		x.req.begun = true
		x.req.status = http.StatusOK
		header := x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		header.Set("Trailer", api.HeaderOutcome)
		x.w.WriteHeader(http.StatusOK)
	}
	x.h.extend(x.w)
	err := sse.Write(x.w, data)
	if err == nil && flush {
		err = c.Flush()
	}
	if err != nil {
		return &callerError{Cause: err}
	}
	return nil
}

// extend gives the caller its time to read the next piece.
func (h *Handler) extend(w http.ResponseWriter) {
	// A writer without deadlines, as in tests, has no slow caller either.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.patience))
}

// finish closes a whole answer.
func (x *chatExchange) finish() error {
	if err := x.send([]byte(streamEnd), true); err != nil {
		return err
	}
	x.w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	return nil
}

// wholeAnswer is the part of an answer in one piece that headhill reads.
type wholeAnswer struct {
	ID    string `json:"id"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// whole passes an answer in one piece on, once all of it is there.
func (x *chatExchange) whole(s config.Server, resp *backend.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerMost+1))
	if err == nil && len(data) > answerMost {
		err = fmt.Errorf("answer longer than %d bytes", answerMost)
	}
	var a wholeAnswer
	if err == nil && resp.Status == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	if err == nil && resp.Status == http.StatusOK && a.ID != x.answer.id {
		err = &backend.MismatchError{Want: x.answer.id, Got: a.ID}
	}
	if err != nil {
		return &backend.BrokenError{Server: s.Name, Cause: err}
	}
	x.req.token()
	x.req.tokens = max(1, a.Usage.CompletionTokens)
	x.req.begun = true
	x.req.status = resp.Status
	h := x.w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	h.Set(api.HeaderOutcome, string(api.OutcomeDone))
	x.h.extend(x.w)
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(data); err != nil {
		return &callerError{Cause: err}
	}
	return nil
}

// breakStream ends a stream that can't be made whole: with an error event, never
// with a clean end.
func breakStream(w http.ResponseWriter, v verdict, id string) {
	_ = sse.Write(w, v.body(id))
	w.Header().Set(api.HeaderOutcome, string(v.outcome))
	_ = http.NewResponseController(w).Flush()
}
