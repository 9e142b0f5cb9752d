// Package objectstore is a small stand-in for the platform: an object API with
// versions, conditional writes and watches, and a box list that lags. Its faults
// can be switched from a test or over HTTP.
package objectstore

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/objectstore"
)

// Faults are the ways in which the stand-in can fail.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay slows every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseWrites is the number of coming writes that take effect and whose
	// answer is lost.
	LoseWrites int `json:"lose_writes"`
	// Stale makes reads answer with the state as it was when Stale was set.
	Stale bool `json:"stale"`
	// BoxLag delays changes of the box list.
	BoxLag time.Duration `json:"box_lag_ns"`
}

type stored struct {
	value   []byte
	version objectstore.Version
}

// Server is the stand-in. Its zero value is not usable: call New.
type Server struct {
	mu      sync.Mutex
	objects map[string]stored
	frozen  map[string]stored
	version objectstore.Version
	changed chan struct{}
	boxes   map[string]objectstore.Box
	shown   []boxView
	faults  Faults
	reads   *rate.Limiter
	writes  *rate.Limiter

	calls  callrate.Calls
	denied int
	router *httprouter.Router
}

// boxView is the box list from a moment on.
type boxView struct {
	at    time.Time
	boxes []objectstore.Box
}

// New returns a stand-in that takes the platform's usual rates.
func New() *Server {
	s := &Server{
		objects: make(map[string]stored),
		changed: make(chan struct{}),
		boxes:   make(map[string]objectstore.Box),
		reads:   rate.NewLimiter(rate.Limit(callrate.DefaultBudget.ReadsPerSecond), int(callrate.DefaultBudget.ReadsPerSecond)),
		writes:  rate.NewLimiter(rate.Limit(callrate.DefaultBudget.WritesPerSecond), int(callrate.DefaultBudget.WritesPerSecond)),
	}
	r := httprouter.New()
	r.GET("/v1/objects", s.guard(s.reads, s.list))
	r.GET("/v1/objects/*key", s.guard(s.reads, s.get))
	r.PUT("/v1/objects/*key", s.guard(s.writes, s.put))
	r.DELETE("/v1/objects/*key", s.guard(s.writes, s.remove))
	r.GET("/v1/boxes", s.guard(s.reads, s.listBoxes))
	r.PUT("/v1/boxes/:id", s.putBox)
	r.PUT("/faults", s.putFaults)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.frozen = cloneObjects(s.objects)
	}
	s.faults = f
	s.wake()
}

// Restore throws every change after the given snapshot away, as when a backup is
// put back.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = cloneObjects(snapshot.objects)
	s.wake()
}

// Snapshot is a copy of all objects.
type Snapshot struct{ objects map[string]stored }

// Snapshot copies the objects.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: cloneObjects(s.objects)}
}

func cloneObjects(m map[string]stored) map[string]stored {
	c := make(map[string]stored, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// Calls returns the number of calls taken and the number denied by the rates.
func (s *Server) Calls() (taken callrate.Calls, denied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.denied
}

// SetBox adds or changes a box of the box list.
func (s *Server) SetBox(b objectstore.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes[b.ID] = b
	s.publishBoxes()
}

// RemoveBox takes a box off the list.
func (s *Server) RemoveBox(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.boxes, id)
	s.publishBoxes()
}

func (s *Server) publishBoxes() {
	list := make([]objectstore.Box, 0, len(s.boxes))
	for _, b := range s.boxes {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.shown = append(s.shown, boxView{at: time.Now(), boxes: list})
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// guard applies faults and rates before a call.
func (s *Server) guard(l *rate.Limiter, h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.mu.Lock()
		f := s.faults
		if r.Method == http.MethodGet {
			s.calls.Reads++
		} else {
			s.calls.Writes++
		}
		s.mu.Unlock()
		time.Sleep(f.Delay)
		if f.Down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !l.Allow() {
			s.mu.Lock()
			s.denied++
			s.mu.Unlock()
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		h(w, r, p)
	}
}

func key(p httprouter.Params) string { return strings.TrimPrefix(p.ByName("key"), "/") }

// visible returns the objects that reads see.
func (s *Server) visible() map[string]stored {
	if s.faults.Stale {
		return s.frozen
	}
	return s.objects
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	q := r.URL.Query()
	if q.Get("watch") == "" {
		s.mu.Lock()
		o, ok := s.visible()[key(p)]
		s.mu.Unlock()
		writeObject(w, o, ok)
		return
	}
	s.watch(w, r, key(p))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil {
		wait = 30 * time.Second
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		o, ok := s.visible()[key]
		down := s.faults.Down
		changed := s.changed
		s.mu.Unlock()
		if down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if ok && o.version > objectstore.Version(after) {
			writeObject(w, o, true)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeObject(w http.ResponseWriter, o stored, ok bool) {
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeVersion(w, o.version)
	_, _ = w.Write(o.value)
}

func writeVersion(w http.ResponseWriter, v objectstore.Version) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	entries := []objectstore.ObjectInfo{}
	for k, o := range s.visible() {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, objectstore.ObjectInfo{Key: k, Version: o.version})
		}
	}
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	_ = json.NewEncoder(w).Encode(entries)
}

// met tells whether a write's condition holds.
func met(r *http.Request, o stored, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	m := strings.Trim(r.Header.Get("If-Match"), `"`)
	v, err := strconv.ParseUint(m, 10, 64)
	return err == nil && exists && o.version == objectstore.Version(v)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil || len(body) > objectstore.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, key(p), func(k string) {
		s.objects[k] = stored{value: body, version: s.version}
	})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.write(w, r, key(p), func(k string) { delete(s.objects, k) })
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, key string, apply func(string)) {
	s.mu.Lock()
	o, exists := s.objects[key]
	if !met(r, o, exists) {
		s.mu.Unlock()
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	s.version++
	v := s.version
	apply(key)
	lost := s.faults.LoseWrites > 0
	if lost {
		s.faults.LoseWrites--
	}
	s.wake()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeVersion(w, v)
}

func (s *Server) listBoxes(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	list := []objectstore.Box{}
	limit := time.Now().Add(-s.faults.BoxLag)
	for _, v := range s.shown {
		if !v.at.After(limit) {
			list = v.boxes
		}
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) putBox(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var b objectstore.Box
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.ID = p.ByName("id")
	s.SetBox(b)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
