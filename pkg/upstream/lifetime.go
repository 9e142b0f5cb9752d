package upstream

import (
	"sync"
	"time"
)

const (
	// spanRetention is how long after its end a span is kept, maxSpans how many of a server.
	spanRetention = time.Minute
	maxSpans      = 8
)

// span is a time during which one process of a server ran without a restart.
type span struct{ from, until time.Time }

// lifetimes holds the spans that closed and idle connections prove, by server key.
type lifetimes struct {
	mu      sync.Mutex
	byKey   map[string][]span
	sweptAt time.Time
}

// add adds what a connection proves that does not carry an exchange any longer.
func (l *lifetimes) add(key string, s span) {
	if !s.until.After(s.from) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(s.until)
	if l.byKey == nil {
		l.byKey = make(map[string][]span)
	}
	spans := merge(l.byKey[key], s)
	l.byKey[key] = spans[max(0, len(spans)-maxSpans):]
}

// sweep removes the servers to which no connection has led lately. The caller holds mu.
func (l *lifetimes) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < spanRetention {
		return
	}
	l.sweptAt = now
	for key, spans := range l.byKey {
		if now.Sub(spans[len(spans)-1].until) > spanRetention {
			delete(l.byKey, key)
		}
	}
}

func (l *lifetimes) of(key string) []span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]span(nil), l.byKey[key]...)
}

// merge adds a span. Spans that share an instant are of one process.
func merge(spans []span, s span) []span {
	merged := make([]span, 0, len(spans)+1)
	for _, other := range spans {
		if other.until.Before(s.from) || s.until.Before(other.from) {
			merged = append(merged, other)
			continue
		}
		if other.from.Before(s.from) {
			s.from = other.from
		}
		if other.until.After(s.until) {
			s.until = other.until
		}
	}
	return append(merged, s)
}

// Lifetime returns a time during which the process ran to which a connection led that was opened at a time, as far as the
// connections to the server prove. It returns false if they prove nothing.
func (c *Client) Lifetime(serverKey string, opened time.Time) (from, until time.Time, ok bool) {
	spans := c.lifetimes.of(serverKey)
	for _, s := range c.busy.spans(serverKey) {
		spans = merge(spans, s)
	}
	for _, s := range spans {
		if !opened.Before(s.from) && !opened.After(s.until) {
			return s.from, s.until, true
		}
	}
	return time.Time{}, time.Time{}, false
}

// spans returns what the connections to a server prove that carry an exchange.
func (b *busyConns) spans(key string) []span {
	b.mu.Lock()
	defer b.mu.Unlock()
	spans := make([]span, 0, len(b.byKey[key]))
	for open := range b.byKey[key] {
		spans = append(spans, open.span())
	}
	return spans
}

// span returns the time during which the process ran to which the connection leads.
func (c *conn) span() span { return span{c.opened, c.opened.Add(time.Duration(c.ranAt.Load()))} }

// recordRan records that the process to which the connection leads ran at a time: when a request was sent that it has answered. Bytes
// of a body prove no more, as the kernel of a server's machine sends what a process wrote after its end as well.
func (c *conn) recordRan(at time.Time) {
	if after := int64(at.Sub(c.opened)); after > c.ranAt.Load() {
		c.ranAt.Store(after)
	}
}
