package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/callerconn"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/scheduler"
	"headhill.example/headhill/pkg/sse"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 32 << 20
	// callerWriteTimeout is the default of Handler.writeTimeout.
	callerWriteTimeout = 30 * time.Second
	streamEndMarker    = "[DONE]"
)

// serveChat serves POST /v1/chat/completions.
func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request, req *request) error {
	chat, err := parseChatRequest(req.body)
	if err != nil {
		return err
	}
	service, ok := h.Store.Current().ServiceByModel(chat.model)
	if !ok {
		return &RequestError{Status: http.StatusNotFound, Type: typeNoRoute, Message: fmt.Sprintf("model %q is not served here: check the field %q", chat.model, fieldModel)}
	}
	req.service = service
	if err := h.classify(r, req); err != nil {
		return err
	}
	x := &chatExchange{h: h, w: w, r: r, req: req, chat: chat}
	x.answer.id = answerIDPrefix + req.id
	slotReq := h.slotRequest(req, chat.estimatePromptTokens(), chat.prefixHashes())
	err = h.dispatch(r.Context(), req, slotReq, x.do)
	h.endClaim(r.Context(), req, err)
	return err
}

// chatExchange forwards a chat completion to the caller. If an engine fails, another
// one continues the answer.
type chatExchange struct {
	h      *Handler
	w      http.ResponseWriter
	r      *http.Request
	req    *request
	chat   *chatRequest
	answer answer
	// chunk is reused for every event of the answer to save allocations.
	chunk chunk
}

func (x *chatExchange) do(ctx context.Context, s config.Server) (scheduler.Completion, error) {
	body, err := x.requestBody()
	if err != nil {
		return scheduler.Completion{}, err
	}
	if x.answer.responseStarted {
		// The new engine processes the prompt and the partial answer again.
		x.req.wastedTokens += x.chat.estimatePromptTokens()
	}
	started := time.Now()
	resp, err := x.h.Backend.Do(ctx, backend.Call{
		Server:     s,
		Engine:     true,
		Method:     http.MethodPost,
		Path:       pathChat,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
		RequestID:  x.req.id,
		AtMostOnce: x.req.atMostOnce,
		Fence:      x.req.fence,
	})
	if err != nil {
		return scheduler.Completion{}, err
	}
	defer resp.Body.Close()
	before := x.answer.tokenCount
	switch {
	case resp.Status >= 500:
		err = &backend.InterruptedError{Server: s.Name, Cause: fmt.Errorf("status %d", resp.Status)}
	case resp.Status != http.StatusOK && !x.answer.responseStarted:
		err = x.forwardComplete(s, resp)
	case resp.Status != http.StatusOK:
		err = &backend.InterruptedError{Server: s.Name, Cause: fmt.Errorf("status %d in the middle of an answer", resp.Status)}
	case x.chat.stream:
		err = x.forwardStream(s, resp)
	default:
		err = x.forwardComplete(s, resp)
	}
	return x.completion(started, x.answer.tokenCount-before), err
}

func (x *chatExchange) requestBody() ([]byte, error) {
	if !x.answer.responseStarted {
		return x.req.body, nil
	}
	return x.chat.continuationBody(x.answer.text.String(), x.answer.tokenCount)
}

func (x *chatExchange) completion(started time.Time, tokens int) scheduler.Completion {
	c := scheduler.Completion{PromptTokens: x.chat.estimatePromptTokens(), OutputTokens: tokens}
	if tokens == 0 {
		return c
	}
	c.TimeToFirstToken = x.req.firstTokenAt.Sub(started)
	c.InterTokenLatency = x.req.interTokenLatency()
	return c
}

// interTokenLatency returns the mean time between the tokens delivered so far.
func (req *request) interTokenLatency() time.Duration {
	if req.tokenCount < 2 {
		return 0
	}
	return req.lastTokenAt.Sub(req.firstTokenAt) / time.Duration(req.tokenCount-1)
}

// forwardStream forwards events until the answer is complete.
func (x *chatExchange) forwardStream(s config.Server, resp *backend.Response) error {
	interrupted := func(err error) error { return &backend.InterruptedError{Server: s.Name, Cause: err} }
	events := sse.NewReader(resp.Body)
	for {
		data, err := events.Next()
		if err != nil && x.answer.complete {
			// Only the end marker is missing.
			return x.finishStream()
		}
		if err != nil && x.reachedMaxTokens() {
			return x.finishAtMaxTokens()
		}
		if err != nil {
			return interrupted(x.unexpectedEOF(err))
		}
		if string(data) == streamEndMarker {
			if !x.answer.complete {
				return interrupted(errors.New("the stream ended before the answer did"))
			}
			return x.finishStream()
		}
		err = x.forwardEvent(data, events.HasBuffered())
		if isCallerWriteError(err) {
			return err
		}
		if err != nil {
			return interrupted(err)
		}
	}
}

// reachedMaxTokens reports whether the caller has received max_tokens tokens. Each
// event counts as one token but may carry more, so the count is a lower bound.
func (x *chatExchange) reachedMaxTokens() bool {
	return x.chat.maxTokens > 0 && !x.answer.nonResumable && x.answer.tokenCount >= x.chat.maxTokens
}

// finishAtMaxTokens sends the final event of an answer that reached max_tokens before
// its engine failed. Continuing it at another engine would add a token.
func (x *chatExchange) finishAtMaxTokens() error {
	last := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}`, x.answer.id)
	if err := x.sendEvent([]byte(last), false); err != nil {
		return err
	}
	return x.finishStream()
}

func (x *chatExchange) unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// forwardEvent validates an event and forwards it. With more set, another event is
// already buffered, so that flushing can wait.
func (x *chatExchange) forwardEvent(data []byte, more bool) error {
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
	before := x.answer.tokenCount
	if !x.answer.addChunk(c) {
		return nil
	}
	x.req.nonResumable = x.answer.nonResumable
	if x.answer.tokenCount > before {
		x.req.recordToken()
	}
	return x.sendEvent(data, !more || x.answer.complete)
}

func (req *request) recordToken() {
	req.lastTokenAt = time.Now()
	if req.tokenCount == 0 {
		req.firstTokenAt = req.lastTokenAt
	}
	req.tokenCount++
}

// sendEvent writes an event to the caller, after the headers if it is the first.
func (x *chatExchange) sendEvent(data []byte, flush bool) error {
	c := http.NewResponseController(x.w)
	if !x.answer.responseStarted {
		x.answer.responseStarted = true
		x.req.responseStarted = true
		x.req.status = http.StatusOK
		header := x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		header.Set("Trailer", api.HeaderOutcome)
		x.w.WriteHeader(http.StatusOK)
	}
	x.h.extendWriteDeadline(x.w)
	err := sse.Write(x.w, data)
	if err == nil && flush {
		err = c.Flush()
	}
	if err != nil {
		return &callerWriteError{Cause: err}
	}
	return nil
}

// extendWriteDeadline sets the deadline for the next write to the caller.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	// Writers without deadline support occur only in tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout))
}

// finishStream ends a complete streamed answer.
func (x *chatExchange) finishStream() error {
	if err := x.sendEvent([]byte(streamEndMarker), true); err != nil {
		return err
	}
	x.w.Header().Set(api.HeaderOutcome, string(api.OutcomeDone))
	return nil
}

// completeAnswer holds the fields of a non-streamed answer that headhill interprets.
type completeAnswer struct {
	ID    string `json:"id"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// forwardComplete forwards a non-streamed answer after reading all of it.
func (x *chatExchange) forwardComplete(s config.Server, resp *backend.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	closed := upstream.EndOf(err) == upstream.EndClosed
	if closed {
		err = nil
	}
	if err == nil && len(data) > maxAnswerBytes {
		err = fmt.Errorf("answer longer than %d bytes", maxAnswerBytes)
	}
	var a completeAnswer
	if err == nil && resp.Status == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	if err == nil && resp.Status == http.StatusOK && a.ID != x.answer.id {
		err = &backend.MismatchError{Want: x.answer.id, Got: a.ID}
	}
	if err != nil {
		return &backend.InterruptedError{Server: s.Name, Cause: err}
	}
	// A truncated JSON answer was rejected above. Of an error answer nothing is known.
	x.req.endUnknown = closed && resp.Status != http.StatusOK
	if x.req.endUnknown {
		if err := x.h.confirmEnd(x.r.Context(), s, upstream.ErrConnectionEnded); err != nil {
			return err
		}
	}
	x.req.recordToken()
	x.req.tokenCount = max(1, a.Usage.CompletionTokens)
	x.req.responseStarted = true
	x.req.status = resp.Status
	h := x.w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	h.Set(api.HeaderOutcome, string(x.req.answeredOutcome()))
	if x.req.endUnknown {
		callerconn.BeginUntilClose(x.w, x.r)
	} else {
		// Without it a long answer to an HTTP/1.0 caller would end with its connection, also if this box is killed.
		h.Set("Content-Length", strconv.Itoa(len(data)))
	}
	x.h.extendWriteDeadline(x.w)
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(data); err != nil {
		return &callerWriteError{Cause: err}
	}
	if x.req.endUnknown {
		callerconn.EndUntilClose(x.r)
	}
	return nil
}

// sendErrorEvent ends an incomplete stream with an error event instead of the end
// marker.
func sendErrorEvent(w http.ResponseWriter, resp errorResponse, id string) {
	_ = sse.Write(w, resp.body(id))
	w.Header().Set(api.HeaderOutcome, string(resp.outcome))
	_ = http.NewResponseController(w).Flush()
}
