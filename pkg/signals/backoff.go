package signals

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Backoff is the state of a server with respect to its last Retry-After.
type Backoff int

const (
	// Accepting servers take requests.
	Accepting Backoff = iota
	// BackingOff servers get no requests until their Retry-After has passed.
	BackingOff
	// HalfOpen servers are past their Retry-After but have not responded since: one request probes them.
	HalfOpen
)

const (
	// maxBackoff caps the Retry-After that a server can request.
	maxBackoff = 10 * time.Minute
	// Up to 1/jitterDivisor of a Retry-After, at most maxJitter, is added to it at random, so that boxes
	// that were turned away together do not retry at the same time.
	jitterDivisor = 8
	maxJitter     = 500 * time.Millisecond
	// halfOpenTTL is how long the state of a half-open server that gets no requests is kept.
	halfOpenTTL = time.Minute
)

// backoffs holds the servers that have sent a Retry-After.
type backoffs map[Key]backoff

type backoff struct {
	// end is the time from which the server may get requests again.
	end time.Time
	// receivedAt is when the Retry-After was received.
	receivedAt time.Time
}

// extend starts or extends the backoff of a server. It returns false if the current one ends later.
func (b backoffs) extend(key Key, retryAfter time.Duration, now time.Time) bool {
	retryAfter = min(retryAfter, maxBackoff)
	if len(b) >= maxServers || !now.Add(retryAfter).After(b[key].end) {
		return false
	}
	b[key] = backoff{end: now.Add(retryAfter + rand.N(min(retryAfter/jitterDivisor, maxJitter)+1)), receivedAt: now}
	return true
}

// end handles a response without Retry-After to a request that was sent at the given time. It reports
// whether that ends a backoff.
func (b backoffs) end(key Key, sent time.Time) bool {
	last, ok := b[key]
	if !ok || sent.Before(last.end) {
		return false
	}
	delete(b, key)
	return true
}

func (b backoffs) state(key Key, now time.Time) Backoff {
	last, ok := b[key]
	switch {
	case !ok:
		return Accepting
	case now.Before(last.end):
		return BackingOff
	}
	return HalfOpen
}

// sweep evicts servers that have been half-open for longer than halfOpenTTL.
func (b backoffs) sweep(now time.Time) {
	maps.DeleteFunc(b, func(_ Key, last backoff) bool { return now.Sub(last.end) > halfOpenTTL })
}
