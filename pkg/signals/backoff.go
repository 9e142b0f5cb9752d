package signals

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Backoff tells whether this box may send to a server that has asked for a Retry-After.
type Backoff int

const (
	// Accepting servers take requests.
	Accepting Backoff = iota
	// BackingOff servers get none until their Retry-After has passed.
	BackingOff
	// HalfOpen servers have had their time, and have not answered since: one request probes them.
	HalfOpen
)

const (
	// backoffMost bounds a Retry-After that is believed.
	backoffMost = 10 * time.Minute
	// jitterShare is the part of a Retry-After, as a divisor, that is added to it by chance, and
	// jitterMost bounds what is added: boxes that were turned away together come back one by one.
	jitterShare = 8
	jitterMost  = 500 * time.Millisecond
	// halfOpenKept is how long a half-open server is remembered that gets no request.
	halfOpenKept = time.Minute
)

// backoffs holds when each server may get requests again.
type backoffs map[Key]time.Time

// extend keeps requests from a server for a time from now on. It returns false where they are kept from it
// for longer already.
func (b backoffs) extend(key Key, retryAfter time.Duration, now time.Time) bool {
	retryAfter = min(retryAfter, backoffMost)
	if len(b) >= serversMost || !now.Add(retryAfter).After(b[key]) {
		return false
	}
	b[key] = now.Add(retryAfter + rand.N(min(retryAfter/jitterShare, jitterMost)+1))
	return true
}

// end takes in an answer without Retry-After to a request that was sent at a time. It returns whether that
// ends a backoff.
func (b backoffs) end(key Key, sent time.Time) bool {
	until, ok := b[key]
	if !ok || sent.Before(until) {
		return false
	}
	delete(b, key)
	return true
}

func (b backoffs) of(key Key, now time.Time) Backoff {
	until, ok := b[key]
	switch {
	case !ok:
		return Accepting
	case now.Before(until):
		return BackingOff
	}
	return HalfOpen
}

// sweep forgets servers that have been half-open for long.
func (b backoffs) sweep(now time.Time) {
	maps.DeleteFunc(b, func(_ Key, until time.Time) bool { return now.Sub(until) > halfOpenKept })
}
