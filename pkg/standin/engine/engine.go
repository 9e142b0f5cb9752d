// Package engine is a small stand-in for a model engine: chat completions with
// server-sent events, continuous batching with steps that grow with the batch, a
// limited prefix cache, a load report that lags, and faults.
//
// Its answers follow from the prompt alone, so that a test can tell what the
// whole answer is, and any engine can go on where another broke off.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/sse"
)

// Options shape an engine.
type Options struct {
	// Batch is the most sequences in one step; more wait.
	Batch int
	// StepBase and StepEach are the time of a step and what each sequence adds.
	StepBase, StepEach time.Duration
	// PrefillEach is the time that each token of an uncached prompt adds.
	PrefillEach time.Duration
	// Cached is the number of prompts whose prefix stays cached.
	Cached int
	// LoadLag delays the load report.
	LoadLag time.Duration
	// Tokens is the length of answers without a bound; 0 derives it from the
	// prompt, with a long tail.
	Tokens int
}

// DefaultOptions returns an engine of a few milliseconds a step.
func DefaultOptions() Options {
	return Options{
		Batch:       16,
		StepBase:    4 * time.Millisecond,
		StepEach:    200 * time.Microsecond,
		PrefillEach: 10 * time.Microsecond,
		Cached:      64,
		LoadLag:     time.Second,
	}
}

// Faults are the ways in which the stand-in can fail.
type Faults struct {
	// Slow multiplies the time of steps; 0 counts as 1.
	Slow float64 `json:"slow"`
	// CrashAfterBytes breaks each stream off after so many bytes; 0 never.
	CrashAfterBytes int `json:"crash_after_bytes"`
	// Freeze stops all steps.
	Freeze bool `json:"freeze"`
	// Refuse answers 503 before any generation.
	Refuse bool `json:"refuse"`
	// Leaving is reported with the load.
	Leaving bool `json:"leaving"`
	// WrongID names answers by another request.
	WrongID bool `json:"wrong_id"`
}

// Stats count what the engine did.
type Stats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Generated int `json:"generated"`
	Prefilled int `json:"prefilled"`
	Running   int `json:"running"`
}

// Engine is the stand-in. It steps until Close.
type Engine struct {
	opts   Options
	router *httprouter.Router
	stop   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	faults  Faults
	running []*sequence
	waiting []*sequence
	cache   []uint64
	stats   Stats
	loads   []load
	runs    map[string]int
}

// load is the number of running sequences at a time.
type load struct {
	at      time.Time
	running int
}

// sequence is one request being generated.
type sequence struct {
	ctx       context.Context
	prefill   int
	tokens    chan struct{}
	generated int
	length    int
}

// New returns an engine that runs.
func New(o Options) *Engine {
	e := &Engine{opts: o, stop: make(chan struct{}), runs: make(map[string]int)}
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.complete)
	r.GET(backend.LoadPath, e.load)
	r.GET("/stats", e.serveStats)
	r.PUT("/faults", e.putFaults)
	e.router = r
	go e.steps()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close stops the engine.
func (e *Engine) Close() { e.once.Do(func() { close(e.stop) }) }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running = len(e.running) + len(e.waiting)
	return s
}

// Runs returns how many times a request, by its ID, was started.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// steps generates one token for each running sequence at a time.
func (e *Engine) steps() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(e.stepTime()):
			e.step()
		}
	}
}

const idleStep = time.Millisecond

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running)+len(e.waiting) == 0 {
		return idleStep
	}
	e.admit()
	d := e.opts.StepBase + time.Duration(len(e.running))*e.opts.StepEach
	for _, s := range e.running {
		d += time.Duration(s.prefill) * e.opts.PrefillEach
		e.stats.Prefilled += s.prefill
		s.prefill = 0
	}
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	return d
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.Batch {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze {
		return
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if s.ctx.Err() != nil {
			e.stats.Cancelled++
			continue
		}
		s.generated++
		e.stats.Generated++
		s.tokens <- struct{}{}
		if s.generated < s.length {
			kept = append(kept, s)
			continue
		}
		e.stats.Finished++
		close(s.tokens)
	}
	e.running = kept
	e.loads = append(e.loads, load{at: time.Now(), running: len(e.running) + len(e.waiting)})
	if len(e.loads) > loadsKept {
		e.loads = append([]load(nil), e.loads[len(e.loads)/2:]...)
	}
}

const loadsKept = 8192

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
	n := e.opts.Tokens
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
	if len(e.cache) > e.opts.Cached {
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

// load reports the load as it was LoadLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	l := backend.Load{Leaving: e.faults.Leaving}
	limit := time.Now().Add(-e.opts.LoadLag)
	for i := len(e.loads) - 1; i >= 0; i-- {
		if !e.loads[i].at.After(limit) {
			l.Running = e.loads[i].running
			break
		}
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_ = json.NewEncoder(w).Encode(e.Stats())
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}
