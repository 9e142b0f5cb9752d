// Package objectstore is a stand-in for the platform: an object API with versions,
// conditional writes and watches, and a box list that can lag. Faults are injected
// from a test or over HTTP.
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

// Faults are the faults that the stand-in can inject.
type Faults struct {
	// Down fails every call with 503.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns"`
	// DropWriteResponses is the number of upcoming writes that take effect but whose
	// response is dropped.
	DropWriteResponses int `json:"lose_writes"`
	// Stale makes reads return the state as of when Stale was set.
	Stale bool `json:"stale"`
	// BoxListLag delays the visibility of box list changes.
	BoxListLag time.Duration `json:"box_lag_ns"`
}

type object struct {
	value   []byte
	version objectstore.Version
}

// Server is the stand-in. Use New to create one.
type Server struct {
	mu           sync.Mutex
	objects      map[string]object
	staleObjects map[string]object
	version      objectstore.Version
	changed      chan struct{}
	boxes        map[string]objectstore.Box
	boxLists     []boxList
	faults       Faults
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	calls       callrate.Calls
	rateLimited int
	router      *httprouter.Router
}

// boxList is a version of the box list, valid from at.
type boxList struct {
	at    time.Time
	boxes []objectstore.Box
}

// New returns a stand-in with the platform's default rate limits.
func New() *Server {
	s := &Server{
		objects:      make(map[string]object),
		changed:      make(chan struct{}),
		boxes:        make(map[string]objectstore.Box),
		readLimiter:  rate.NewLimiter(rate.Limit(callrate.DefaultBudget.ReadsPerSecond), int(callrate.DefaultBudget.ReadsPerSecond)),
		writeLimiter: rate.NewLimiter(rate.Limit(callrate.DefaultBudget.WritesPerSecond), int(callrate.DefaultBudget.WritesPerSecond)),
	}
	r := httprouter.New()
	r.GET("/v1/objects", s.withFaults(s.readLimiter, s.listObjects))
	r.GET("/v1/objects/*key", s.withFaults(s.readLimiter, s.getObject))
	r.PUT("/v1/objects/*key", s.withFaults(s.writeLimiter, s.putObject))
	r.DELETE("/v1/objects/*key", s.withFaults(s.writeLimiter, s.deleteObject))
	r.GET("/v1/boxes", s.withFaults(s.readLimiter, s.listBoxes))
	r.PUT("/v1/boxes/:id", s.putBox)
	r.PUT("/faults", s.putFaults)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Stale && !s.faults.Stale {
		s.staleObjects = cloneObjects(s.objects)
	}
	s.faults = f
	s.notifyWatches()
}

// Restore discards all changes made since the snapshot, like a restored backup. The
// version counter is not reset.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = cloneObjects(snapshot.objects)
	s.notifyWatches()
}

// Snapshot is a copy of all objects.
type Snapshot struct{ objects map[string]object }

// Snapshot copies the objects.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: cloneObjects(s.objects)}
}

func cloneObjects(m map[string]object) map[string]object {
	c := make(map[string]object, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// Calls returns the number of calls received and the number rejected by the rate
// limits.
func (s *Server) Calls() (received callrate.Calls, rateLimited int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.rateLimited
}

// SetBox adds or replaces a box in the box list.
func (s *Server) SetBox(b objectstore.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes[b.ID] = b
	s.publishBoxes()
}

// RemoveBox removes a box from the box list.
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
	s.boxLists = append(s.boxLists, boxList{at: time.Now(), boxes: list})
}

// notifyWatches wakes all pending watches. The caller holds s.mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFaults wraps a handler with call counting, fault injection and a rate limit.
func (s *Server) withFaults(limiter *rate.Limiter, h httprouter.Handle) httprouter.Handle {
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
		if !limiter.Allow() {
			s.mu.Lock()
			s.rateLimited++
			s.mu.Unlock()
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		h(w, r, p)
	}
}

func keyOf(p httprouter.Params) string { return strings.TrimPrefix(p.ByName("key"), "/") }

// visibleObjects returns the objects that reads see, which are old ones under the
// Stale fault.
func (s *Server) visibleObjects() map[string]object {
	if s.faults.Stale {
		return s.staleObjects
	}
	return s.objects
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	q := r.URL.Query()
	if q.Get("watch") == "" {
		s.mu.Lock()
		o, ok := s.visibleObjects()[keyOf(p)]
		s.mu.Unlock()
		writeObject(w, o, ok)
		return
	}
	s.watchObject(w, r, keyOf(p))
}

func (s *Server) watchObject(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil {
		timeout = 30 * time.Second
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		o, ok := s.visibleObjects()[key]
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

func writeObject(w http.ResponseWriter, o object, ok bool) {
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

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	entries := []objectstore.ObjectInfo{}
	for k, o := range s.visibleObjects() {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, objectstore.ObjectInfo{Key: k, Version: o.version})
		}
	}
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	_ = json.NewEncoder(w).Encode(entries)
}

// conditionHolds reports whether the precondition of a write holds.
func conditionHolds(r *http.Request, o object, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	m := strings.Trim(r.Header.Get("If-Match"), `"`)
	v, err := strconv.ParseUint(m, 10, 64)
	return err == nil && exists && o.version == objectstore.Version(v)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil || len(body) > objectstore.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.write(w, r, keyOf(p), func(k string) {
		s.objects[k] = object{value: body, version: s.version}
	})
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.write(w, r, keyOf(p), func(k string) { delete(s.objects, k) })
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, key string, apply func(string)) {
	s.mu.Lock()
	o, exists := s.objects[key]
	if !conditionHolds(r, o, exists) {
		s.mu.Unlock()
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	s.version++
	v := s.version
	apply(key)
	dropResponse := s.faults.DropWriteResponses > 0
	if dropResponse {
		s.faults.DropWriteResponses--
	}
	s.notifyWatches()
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeVersion(w, v)
}

func (s *Server) listBoxes(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	list := []objectstore.Box{}
	cutoff := time.Now().Add(-s.faults.BoxListLag)
	for _, v := range s.boxLists {
		if !v.at.After(cutoff) {
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
