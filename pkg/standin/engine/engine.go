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
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"headhill.example/headhill/pkg/backend"
)

// Options shape an engine.
type Options struct {
	// MaxBatch is the most sequences in one step; more wait.
	MaxBatch int
	// StepBase and StepPerSequence are the time of a step and what each sequence adds.
	StepBase, StepPerSequence time.Duration
	// PrefillPerToken is the time that each token of an uncached prompt adds.
	PrefillPerToken time.Duration
	// CachedPrefixes is the number of prompts whose prefix stays cached.
	CachedPrefixes int
	// LoadLag delays the load report.
	LoadLag time.Duration
	// AnswerTokens is the length of answers without a bound; 0 derives it from the
	// prompt, with a long tail.
	AnswerTokens int
}

// DefaultOptions returns an engine of a few milliseconds a step.
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

// Faults are the ways in which the stand-in can fail.
type Faults struct {
	// SlowFactor multiplies the time of steps; 0 counts as 1.
	SlowFactor float64 `json:"slow"`
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
	d := e.opts.StepBase + time.Duration(len(e.running))*e.opts.StepPerSequence
	for _, s := range e.running {
		d += time.Duration(s.prefill) * e.opts.PrefillPerToken
		e.stats.Prefilled += s.prefill
		s.prefill = 0
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
