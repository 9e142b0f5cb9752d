package signals

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// recordsMost bounds the servers whose signals are kept.
const recordsMost = 1 << 16

// Book keeps the signals of servers, by their lives.
type Book struct {
	logger log.Logger

	mu      sync.Mutex
	servers map[routing.Life]*record
}

// record is what is known of one server.
type record struct {
	limit Limit
	// limitHeard is when the latest answer that named the limit came in, or the one that ended it.
	limitHeard time.Time
	// unreadable is set once an answer had a signal that can't be read.
	unreadable bool
}

// NewBook returns a book without signals.
func NewBook(logger log.Logger) *Book {
	return &Book{logger: logger, servers: make(map[routing.Life]*record)}
}

// Note takes in the head of an answer to a request that was sent at a time.
func (b *Book) Note(server routing.Life, s Signals, sent, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.servers[server]
	if !ok {
		if s == (Signals{}) || len(b.servers) >= recordsMost {
			return
		}
		r = &record{}
		b.servers[server] = r
	}
	if s.Unreadable != nil {
		b.noteUnreadable(server, r, s.Unreadable)
		return
	}
	b.noteLimit(server, r, s.Limit, sent, now)
}

// noteUnreadable logs the first of a server's signals that can't be read.
func (b *Book) noteUnreadable(server routing.Life, r *record, err error) {
	if r.unreadable {
		return
	}
	r.unreadable = true
	_ = level.Warn(b.logger).Log("msg", "server signal not read", "server", server, "err", err, "outcome", "what is believed of the server stays as it is")
}

// noteLimit takes in the limit that an answer names, or that it names none.
func (b *Book) noteLimit(server routing.Life, r *record, l Limit, sent, now time.Time) {
	before := r.limit
	if l != before && before.Named && !sent.After(r.limitHeard) && !stricter(l, before) {
		return
	}
	if l.Named || before.Named {
		r.limit, r.limitHeard = l, now
	}
	if l != before {
		_ = level.Info(b.logger).Log("msg", "server signal", "signal", "limit", "server", server, "named", l.Named, "per_second", l.PerSecond,
			"before_named", before.Named, "before_per_second", before.PerSecond, "request_age_ms", now.Sub(sent).Milliseconds())
	}
}

// stricter tells whether a limit allows less than another one.
func stricter(l, other Limit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// Limit returns the limit that a server names.
func (b *Book) Limit(server routing.Life) Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.servers[server]; ok {
		return r.limit
	}
	return Limit{}
}

// Counts returns how many servers are believed to name each signal.
func (b *Book) Counts() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := int64(0)
	for _, r := range b.servers {
		if r.limit.Named {
			limits++
		}
	}
	return map[string]int64{"limit": limits}
}
