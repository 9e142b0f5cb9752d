package resumption

import (
	"sync"
	"time"
)

const (
	// Retention is how long a record is kept at least, unless there are too many. Streams in progress are
	// recorded again before it ends.
	Retention = time.Minute
	// maxGeneration is the number of records that are kept per generation. If more streams begin within
	// Retention, the oldest records are dropped, and their streams can't be taken up.
	maxGeneration = 16 << 10
)

// Registry holds the origins of streams in two generations: the older one is dropped when the newer one is
// as old as the retention, or full.
type Registry struct {
	mu             sync.Mutex
	newer, older   map[Key]record
	newerBegan     time.Time
	maxGeneration  int
	retention      time.Duration
	droppedEarlier int64
}

type record struct {
	Origin
	// own is set if this box began the stream.
	own bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{newer: make(map[Key]record), older: make(map[Key]record), maxGeneration: maxGeneration, retention: Retention}
}

// setRetention changes how long a record is kept at least.
func (r *Registry) setRetention(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retention = d
}

// Put records the origin of a stream; own is set if this box began it. A stream with two origins of one
// service has an ambiguous one from then on, unless the first one was uncertain.
func (r *Registry) Put(k Key, o Origin, own bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	r.put(k, o, own)
}

// put implements Put. The caller holds mu.
func (r *Registry) put(k Key, o Origin, own bool) {
	if known, ok := r.get(k); ok {
		own = own || known.own
		if known.Service == o.Service {
			differs := !known.Uncertain && (known.Version != o.Version || o.Uncertain)
			o.Ambiguous = o.Ambiguous || known.Ambiguous || differs
			o.Uncertain = o.Uncertain && !o.Ambiguous
		}
	}
	r.newer[k] = record{o, own}
}

// Renew records the origin of a stream again that this box forwards, as it was a moment ago, and returns the one that is kept: it may have
// become certain or uncertain since.
func (r *Registry) Renew(k Key, o Origin, now time.Time) Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if known, ok := r.get(k); ok && o.Uncertain != known.Uncertain {
		o = known.Origin
	}
	r.put(k, o, true)
	return o
}

// Get returns the origin of a stream, if there is a record.
func (r *Registry) Get(k Key, now time.Time) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	known, ok := r.get(k)
	return known.Origin, ok
}

// isOfOther reports whether there is a record of a stream that another box began.
func (r *Registry) isOfOther(k Key, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	known, ok := r.get(k)
	return ok && !known.own
}

func (r *Registry) get(k Key) (record, bool) {
	if known, ok := r.newer[k]; ok {
		return known, true
	}
	known, ok := r.older[k]
	return known, ok
}

// All returns the origins of all streams, or of those that this box began.
func (r *Registry) All(ownOnly bool, now time.Time) map[Key]Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	all := make(map[Key]Origin, len(r.newer)+len(r.older))
	for _, generation := range []map[Key]record{r.older, r.newer} {
		for k, known := range generation {
			if known.own || !ownOnly {
				all[k] = known.Origin
			}
		}
	}
	return all
}

// Len returns the number of records.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.newer) + len(r.older)
}

// rotate begins a new generation if the newer one is full or has lasted for the retention.
func (r *Registry) rotate(now time.Time) {
	full := len(r.newer) >= r.maxGeneration
	if r.newerBegan.IsZero() {
		r.newerBegan = now
	}
	age := now.Sub(r.newerBegan)
	if !full && age < r.retention {
		return
	}
	if age < r.retention {
		r.droppedEarlier += int64(len(r.older))
	}
	r.older, r.newer, r.newerBegan = r.newer, make(map[Key]record), now
	if age >= 2*r.retention {
		r.older = make(map[Key]record)
	}
}
