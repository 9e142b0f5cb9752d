// Package engine is a stand-in for a model engine: chat completions with
// server-sent events, continuous batching with batch-dependent step times, a bounded
// prefix cache, a delayed load report, and fault injection.
//
// Answers depend on the prompt alone, so that a test can compute the full answer and
// any engine can continue an answer that another one started.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/backend"
)

// Options configure an engine.
type Options struct {
	// MaxBatch is the largest number of sequences in a step; others are queued.
	MaxBatch int
	// The time of a step is StepBase, plus StepPerSequence for each sequence.
	StepBase, StepPerSequence time.Duration
	// PrefillPerToken is the time added for each uncached prompt token.
	PrefillPerToken time.Duration
	// CachedPrefixes is the capacity of the prefix cache.
	CachedPrefixes int
	// LoadLag delays the load report.
	LoadLag time.Duration
	// AnswerTokens is the length of answers not limited by max_tokens; 0 derives it
	// from the prompt, with a long-tailed distribution.
	AnswerTokens int
}

// DefaultOptions returns options for steps of a few milliseconds.
func DefaultOptions() Options {
	return Options{
		MaxBatch:        16,
		StepBase:        4 * time.Millisecond,
		StepPerSequence: 200 * time.Microsecond,
		PrefillPerToken: 10 * time.Microsecond,
		CachedPrefixes:  64,
		LoadLag:         time.Second,
	}
}

// Faults are the faults that the stand-in can inject.
type Faults struct {
	// SlowFactor multiplies the time of steps; 0 means 1.
	SlowFactor float64 `json:"slow"`
	// CrashAfterBytes aborts each answer after this number of bytes; 0 means never.
	CrashAfterBytes int `json:"crash_after_bytes"`
	// Freeze stops all steps.
	Freeze bool `json:"freeze"`
	// Refuse answers requests with 503 without running them.
	Refuse bool `json:"refuse"`
	// Leaving is set in load reports.
	Leaving bool `json:"leaving"`
	// WrongID gives answers the ID of another request.
	WrongID bool `json:"wrong_id"`
}

// Stats counts requests and tokens. Running is the current number of requests,
// including queued ones.
type Stats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Generated int `json:"generated"`
	Prefilled int `json:"prefilled"`
	Running   int `json:"running"`
}

// Engine is the stand-in. It generates tokens until Close is called.
type Engine struct {
	opts      Options
	router    *httprouter.Router
	stop      chan struct{}
	closeOnce sync.Once

	mu          sync.Mutex
	faults      Faults
	running     []*sequence
	waiting     []*sequence
	prefixCache []uint64
	stats       Stats
	loadHistory []loadSample
	runsByID    map[string]int
}

// loadSample is the number of running and queued sequences at a time.
type loadSample struct {
	at      time.Time
	running int
}

// sequence is a queued or running request.
type sequence struct {
	ctx           context.Context
	prefillTokens int
	tokens        chan struct{}
	generated     int
	answerTokens  int
}

// New returns a running engine.
func New(opts Options) *Engine {
	e := &Engine{opts: opts, stop: make(chan struct{}), runsByID: make(map[string]int)}
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.serveCompletion)
	r.GET(backend.LoadPath, e.serveLoad)
	r.GET("/stats", e.serveStats)
	r.PUT("/faults", e.putFaults)
	e.router = r
	go e.runSteps()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Close stops the engine.
func (e *Engine) Close() { e.closeOnce.Do(func() { close(e.stop) }) }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running = len(e.running) + len(e.waiting)
	return s
}

// Runs returns how often the request with the given ID was started.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runsByID[requestID]
}

// runSteps runs steps until the engine is closed. Each step generates one token for
// every running sequence.
func (e *Engine) runSteps() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(e.stepTime()):
			e.step()
		}
	}
}

// idleStepTime is the polling interval of an engine without requests.
const idleStepTime = time.Millisecond

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running)+len(e.waiting) == 0 {
		return idleStepTime
	}
	e.admit()
	d := e.opts.StepBase + time.Duration(len(e.running))*e.opts.StepPerSequence
	for _, s := range e.running {
		d += time.Duration(s.prefillTokens) * e.opts.PrefillPerToken
		e.stats.Prefilled += s.prefillTokens
		s.prefillTokens = 0
	}
	if e.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * e.faults.SlowFactor)
	}
	return d
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
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
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.ctx.Err() != nil {
			e.stats.Cancelled++
			continue
		}
		s.generated++
		e.stats.Generated++
		s.tokens <- struct{}{}
		if s.generated < s.answerTokens {
			remaining = append(remaining, s)
			continue
		}
		e.stats.Finished++
		close(s.tokens)
	}
	e.running = remaining
	e.loadHistory = append(e.loadHistory, loadSample{at: time.Now(), running: len(e.running) + len(e.waiting)})
	if len(e.loadHistory) > maxLoadSamples {
		e.loadHistory = append([]loadSample(nil), e.loadHistory[len(e.loadHistory)/2:]...)
	}
}

// maxLoadSamples is the size at which the older half of loadHistory is dropped.
const maxLoadSamples = 8192

// serveLoad reports the load as of LoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	l := backend.Load{Leaving: e.faults.Leaving}
	cutoff := time.Now().Add(-e.opts.LoadLag)
	for i := len(e.loadHistory) - 1; i >= 0; i-- {
		if !e.loadHistory[i].at.After(cutoff) {
			l.Running = e.loadHistory[i].running
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
