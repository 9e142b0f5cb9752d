package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/sse"
)

// chatRequest holds the fields of a request body that the stand-in uses.
type chatRequest struct {
	Model                string    `json:"model"`
	Stream               bool      `json:"stream"`
	MaxTokens            int       `json:"max_tokens"`
	Messages             []message `json:"messages"`
	ContinueFinalMessage bool      `json:"continue_final_message"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer returns the tokens of the full answer to a single user message.
func Answer(content string, tokens int) []string {
	list := make([]string, tokens)
	for i := range list {
		list[i] = answerToken([]message{{Role: "user", Content: content}}, i)
	}
	return list
}

// answerToken returns token i of the answer to messages.
func answerToken(messages []message, i int) string {
	last := messages[len(messages)-1].Content
	if len(last) > 24 {
		last = last[:24]
	}
	last = strings.ReplaceAll(last, " ", "_")
	return fmt.Sprintf("%s.%x.%d ", last, hashMessages(messages)&0xffff, i)
}

func hashMessages(messages []message) uint64 {
	h := fnv.New64a()
	for _, m := range messages {
		_, _ = io.WriteString(h, m.Role+"\x00"+m.Content+"\x00")
	}
	return h.Sum64()
}

// splitPartialAnswer returns the messages without a partial answer to continue, and
// the number of tokens of that partial answer.
func (p *chatRequest) splitPartialAnswer() (messages []message, partialTokens int) {
	if !p.ContinueFinalMessage || len(p.Messages) < 2 {
		return p.Messages, 0
	}
	last := len(p.Messages) - 1
	return p.Messages[:last], strings.Count(p.Messages[last].Content, " ")
}

// longTailLength derives an answer length from the prompt, with a long-tailed
// distribution.
func longTailLength(messages []message) int {
	h := hashMessages(messages) % 1000
	switch {
	case h < 600:
		return 4 + int(h%24)
	case h < 950:
		return 30 + int(h%90)
	}
	return 120 + int(h%280)
}

func (e *Engine) answerLength(p *chatRequest, messages []message, partialTokens int) int {
	n := e.opts.AnswerTokens
	if n == 0 {
		n = longTailLength(messages)
	}
	// max_tokens does not include the tokens of a partial answer.
	n -= partialTokens
	if p.MaxTokens > 0 {
		n = min(n, p.MaxTokens)
	}
	return max(0, n)
}

const maxBodyBytes = 64 << 20

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var p chatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&p); err != nil || len(p.Messages) == 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	messages, partialTokens := p.splitPartialAnswer()
	faults, s := e.startSequence(r, &p, messages, partialTokens)
	if s == nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	id := "chatcmpl-" + r.Header.Get(backend.HeaderRequestID)
	if faults.WrongID {
		id = "chatcmpl-somebody-else"
	}
	out := &crashingWriter{w: w, bytesLeft: faults.CrashAfterBytes}
	if p.Stream {
		writeStream(r.Context(), out, id, messages, partialTokens, s)
		return
	}
	writeCompletion(r.Context(), out, id, messages, partialTokens, s)
}

// startSequence queues a sequence, or returns nil if the engine refuses it.
func (e *Engine) startSequence(r *http.Request, p *chatRequest, messages []message, partialTokens int) (Faults, *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse {
		return e.faults, nil
	}
	promptTokens := 0
	for _, m := range p.Messages {
		promptTokens += len(m.Content)/4 + 1
	}
	if e.lookupPrefix(hashMessages(messages[:1])) {
		promptTokens = max(1, promptTokens-len(messages[0].Content)/4)
	}
	n := e.answerLength(p, messages, partialTokens)
	s := &sequence{ctx: r.Context(), prefillTokens: promptTokens, answerTokens: n, tokens: make(chan struct{}, n)}
	if n == 0 {
		// The partial answer is already complete.
		close(s.tokens)
	} else {
		e.waiting = append(e.waiting, s)
	}
	e.stats.Started++
	e.runsByID[r.Header.Get(backend.HeaderRequestID)]++
	return e.faults, s
}

// lookupPrefix reports whether a prefix is cached, and adds it if not.
func (e *Engine) lookupPrefix(h uint64) bool {
	for _, c := range e.prefixCache {
		if c == h {
			return true
		}
	}
	e.prefixCache = append(e.prefixCache, h)
	if len(e.prefixCache) > e.opts.CachedPrefixes {
		e.prefixCache = e.prefixCache[1:]
	}
	return false
}

// chunk is one chunk of a streamed answer.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func writeStream(ctx context.Context, w *crashingWriter, id string, messages []message, partialTokens int, s *sequence) {
	w.w.Header().Set("Content-Type", "text/event-stream")
	w.w.Header().Set(backend.HeaderRequestID, strings.TrimPrefix(id, "chatcmpl-"))
	writeChunk(w, id, delta{Role: "assistant"}, nil)
	for i := partialTokens; ; i++ {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-s.tokens:
			if !ok {
				stop := "stop"
				writeChunk(w, id, delta{}, &stop)
				_ = sse.Write(w, []byte("[DONE]"))
				return
			}
			writeChunk(w, id, delta{Content: answerToken(messages, i)}, nil)
		}
	}
}

func writeChunk(w *crashingWriter, id string, d delta, finishReason *string) {
	c := chunk{ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: d, FinishReason: finishReason}}}
	// Marshalling this struct can't fail.
	b, _ := json.Marshal(c)
	_ = sse.Write(w, b)
	_ = http.NewResponseController(w.w).Flush()
}

func writeCompletion(ctx context.Context, w *crashingWriter, id string, messages []message, partialTokens int, s *sequence) {
	var text strings.Builder
	n := 0
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-s.tokens:
			if ok {
				text.WriteString(answerToken(messages, partialTokens+n))
				n++
				continue
			}
		}
		break
	}
	w.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"id":      id,
		"object":  "chat.completion",
		"choices": []any{map[string]any{"index": 0, "message": message{Role: "assistant", Content: text.String()}, "finish_reason": "stop"}},
		"usage":   map[string]int{"completion_tokens": n},
	})
}

// crashingWriter aborts the connection after bytesLeft bytes; an initial value of 0
// means no limit.
type crashingWriter struct {
	w         http.ResponseWriter
	bytesLeft int
}

func (l *crashingWriter) Write(p []byte) (int, error) {
	if l.bytesLeft == 0 {
		return l.w.Write(p)
	}
	if len(p) < l.bytesLeft {
		l.bytesLeft -= len(p)
		return l.w.Write(p)
	}
	_, _ = l.w.Write(p[:l.bytesLeft])
	_ = http.NewResponseController(l.w).Flush()
	panic(http.ErrAbortHandler)
}
