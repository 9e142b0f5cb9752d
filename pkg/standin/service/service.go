// Package service is a small stand-in for a plain service. It records every run
// by its key, so that tests can count them.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/backend"
)

// Faults are the ways in which the stand-in can fail.
type Faults struct {
	// Delay is the time that a run takes.
	Delay time.Duration `json:"delay_ns"`
	// DropResponse breaks the connection after the run, ResetBeforeRun before it.
	DropResponse   bool `json:"lose_answer"`
	ResetBeforeRun bool `json:"reset_before"`
	// Hang runs the call and never answers.
	Hang bool `json:"hang"`
	// Status is answered after the run instead of 200; 429 is answered instead
	// of it.
	Status int `json:"status"`
	// Leaving is reported with the load.
	Leaving bool `json:"leaving"`
}

// Service is the stand-in.
type Service struct {
	// fences says that the service checks who orders it.
	fences bool

	mu      sync.Mutex
	faults  Faults
	runs    map[string]int
	fence   map[string]uint64
	running int
}

// New returns a service; fences says whether it checks fences.
func New(fences bool) *Service {
	return &Service{fences: fences, runs: make(map[string]int), fence: make(map[string]uint64)}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often the call of a key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns a copy of the counts of all keys.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		m[k] = n
	}
	return m
}

// key is what a call is recorded by: its idempotency key, its X-Call header, or
// the request's ID.
func key(r *http.Request) string {
	for _, h := range []string{api.HeaderIdempotencyKey, "X-Call", backend.HeaderRequestID} {
		if v := r.Header.Get(h); v != "" {
			return v
		}
	}
	return ""
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case backend.LoadPath:
		s.load(w)
	case "/faults":
		s.putFaults(w, r)
	case "/runs":
		_ = json.NewEncoder(w).Encode(s.AllRuns())
	default:
		s.call(w, r)
	}
}

func (s *Service) load(w http.ResponseWriter) {
	s.mu.Lock()
	l := backend.Load{Running: s.running, Leaving: s.faults.Leaving}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

const bodyMost = 64 << 20

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyMost))
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.ResetBeforeRun {
		panic(http.ErrAbortHandler)
	}
	if f.Status == http.StatusTooManyRequests {
		http.Error(w, "not started", f.Status)
		return
	}
	if !s.run(r) {
		http.Error(w, "fenced", http.StatusPreconditionFailed)
		return
	}
	defer s.end()
	time.Sleep(f.Delay)
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// run records a run, or refuses what a fence forbids: a key that ran before, and
// an order older than one seen for the key.
func (s *Service) run(r *http.Request) bool {
	k := key(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := r.Header.Get(backend.HeaderFence); s.fences && f != "" {
		_, number, _ := strings.Cut(f, "/")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil || s.runs[k] > 0 || n < s.fence[k] {
			return false
		}
		s.fence[k] = n
	}
	s.runs[k]++
	s.running++
	return true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
