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

// prompt is the part of a request's body that the stand-in reads.
type prompt struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
	Continue  bool      `json:"continue_final_message"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer returns the whole answer to a prompt of one user message, in tokens.
func Answer(content string, tokens int) []string {
	list := make([]string, tokens)
	for i := range list {
		list[i] = word([]message{{Role: "user", Content: content}}, i)
	}
	return list
}

// word is token i of the answer to messages.
func word(messages []message, i int) string {
	last := messages[len(messages)-1].Content
	if len(last) > 24 {
		last = last[:24]
	}
	last = strings.ReplaceAll(last, " ", "_")
	return fmt.Sprintf("%s.%x.%d ", last, hash(messages)&0xffff, i)
}

func hash(messages []message) uint64 {
	h := fnv.New64a()
	for _, m := range messages {
		_, _ = io.WriteString(h, m.Role+"\x00"+m.Content+"\x00")
	}
	return h.Sum64()
}

// split takes the partial answer off the prompt and counts its tokens.
func (p *prompt) split() (messages []message, done int) {
	if !p.Continue || len(p.Messages) < 2 {
		return p.Messages, 0
	}
	last := len(p.Messages) - 1
	return p.Messages[:last], strings.Count(p.Messages[last].Content, " ")
}

// longTail is a length between 4 and about 400 that follows from the prompt.
func longTail(messages []message) int {
	h := hash(messages) % 1000
	switch {
	case h < 600:
		return 4 + int(h%24)
	case h < 950:
		return 30 + int(h%90)
	}
	return 120 + int(h%280)
}

func (e *Engine) length(p *prompt, messages []message, done int) int {
	n := e.opts.AnswerTokens
	if n == 0 {
		n = longTail(messages)
	}
	// A bound given with a partial answer counts from there.
	n -= done
	if p.MaxTokens > 0 {
		n = min(n, p.MaxTokens)
	}
	return max(0, n)
}

const bodyMost = 64 << 20

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var p prompt
	if err := json.NewDecoder(io.LimitReader(r.Body, bodyMost)).Decode(&p); err != nil || len(p.Messages) == 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	messages, done := p.split()
	f, s := e.begin(r, &p, messages, done)
	if s == nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	id := "chatcmpl-" + r.Header.Get(backend.HeaderRequestID)
	if f.WrongID {
		id = "chatcmpl-somebody-else"
	}
	out := &limitedWriter{w: w, left: f.CrashAfterBytes}
	if p.Stream {
		stream(r.Context(), out, id, messages, done, s)
		return
	}
	whole(r.Context(), out, id, messages, done, s)
}

// begin queues a sequence, or returns nil if the engine refuses.
func (e *Engine) begin(r *http.Request, p *prompt, messages []message, done int) (Faults, *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse {
		return e.faults, nil
	}
	size := 0
	for _, m := range p.Messages {
		size += len(m.Content)/4 + 1
	}
	if e.cached(hash(messages[:1])) {
		size = max(1, size-len(messages[0].Content)/4)
	}
	n := e.length(p, messages, done)
	s := &sequence{ctx: r.Context(), prefill: size, length: n, tokens: make(chan struct{}, n)}
	if n == 0 {
		// The partial answer was whole already.
		close(s.tokens)
	} else {
		e.waiting = append(e.waiting, s)
	}
	e.stats.Started++
	e.runs[r.Header.Get(backend.HeaderRequestID)]++
	return e.faults, s
}

// cached tells whether a prefix is cached, and caches it.
func (e *Engine) cached(h uint64) bool {
	for _, c := range e.cache {
		if c == h {
			return true
		}
	}
	e.cache = append(e.cache, h)
	if len(e.cache) > e.opts.CachedPrefixes {
		e.cache = e.cache[1:]
	}
	return false
}

// event is one streamed chunk.
type event struct {
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

func stream(ctx context.Context, w *limitedWriter, id string, messages []message, done int, s *sequence) {
	w.w.Header().Set("Content-Type", "text/event-stream")
	w.w.Header().Set(backend.HeaderRequestID, strings.TrimPrefix(id, "chatcmpl-"))
	send(w, id, delta{Role: "assistant"}, nil)
	for i := done; ; i++ {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-s.tokens:
			if !ok {
				stop := "stop"
				send(w, id, delta{}, &stop)
				_ = sse.Write(w, []byte("[DONE]"))
				return
			}
			send(w, id, delta{Content: word(messages, i)}, nil)
		}
	}
}

func send(w *limitedWriter, id string, d delta, finish *string) {
	e := event{ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: d, FinishReason: finish}}}
	// A plain struct always encodes.
	b, _ := json.Marshal(e)
	_ = sse.Write(w, b)
	_ = http.NewResponseController(w.w).Flush()
}

func whole(ctx context.Context, w *limitedWriter, id string, messages []message, done int, s *sequence) {
	var text strings.Builder
	n := 0
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-s.tokens:
			if ok {
				text.WriteString(word(messages, done+n))
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

// limitedWriter breaks the connection off after a number of bytes, if left was
// not 0 at first.
type limitedWriter struct {
	w    http.ResponseWriter
	left int
}

func (l *limitedWriter) Write(p []byte) (int, error) {
	if l.left == 0 {
		return l.w.Write(p)
	}
	if len(p) < l.left {
		l.left -= len(p)
		return l.w.Write(p)
	}
	_, _ = l.w.Write(p[:l.left])
	_ = http.NewResponseController(l.w).Flush()
	panic(http.ErrAbortHandler)
}
