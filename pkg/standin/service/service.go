// Package service is a stand-in for a plain service. It counts the runs of each key
// for tests to check.
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

// Faults are the faults that the stand-in can inject.
type Faults struct {
	// Delay is the duration of a run.
	Delay time.Duration `json:"delay_ns"`
	// DropResponse closes the connection after the run, ResetBeforeRun before it.
	DropResponse   bool `json:"lose_answer"`
	ResetBeforeRun bool `json:"reset_before"`
	// Hang runs the call and never responds.
	Hang bool `json:"hang"`
	// Status is the response status after the run, 200 if 0. With 429 the call is
	// rejected without a run.
	Status int `json:"status"`
	// Leaving is set in load reports.
	Leaving bool `json:"leaving"`
}

// Service is the stand-in.
type Service struct {
	// checkFences makes the service reject calls by their fence.
	checkFences bool

	mu        sync.Mutex
	faults    Faults
	runs      map[string]int
	lastFence map[string]uint64 // highest fence number by key
	running   int
}

// New returns a service, which rejects calls by their fence if checkFences is set.
func New(checkFences bool) *Service {
	return &Service{checkFences: checkFences, runs: make(map[string]int), lastFence: make(map[string]uint64)}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often the call with the given key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns the run counts by key.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		m[k] = n
	}
	return m
}

// callKey returns the key under which a call is counted: its idempotency key, its
// X-Call header, or its request ID.
func callKey(r *http.Request) string {
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
		s.serveLoad(w)
	case "/faults":
		s.putFaults(w, r)
	case "/runs":
		_ = json.NewEncoder(w).Encode(s.AllRuns())
	default:
		s.serveCall(w, r)
	}
}

func (s *Service) serveLoad(w http.ResponseWriter) {
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

const maxBodyBytes = 64 << 20

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	if !s.startRun(r) {
		http.Error(w, "fenced", http.StatusPreconditionFailed)
		return
	}
	defer s.endRun()
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

// startRun counts a run. It returns false for a fenced call whose key has already run
// or whose fence is older than the last one seen for the key.
func (s *Service) startRun(r *http.Request) bool {
	k := callKey(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := r.Header.Get(backend.HeaderFence); s.checkFences && f != "" {
		_, number, _ := strings.Cut(f, "/")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil || s.runs[k] > 0 || n < s.lastFence[k] {
			return false
		}
		s.lastFence[k] = n
	}
	s.runs[k]++
	s.running++
	return true
}

func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
