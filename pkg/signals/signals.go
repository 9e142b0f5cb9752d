package signals

import (
	"strconv"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Signals is what a server reports in the headers of one response.
type Signals struct {
	Limit   Limit
	Brittle Brittle
	// Leaving is set if the server is draining and will stop.
	Leaving bool
	// RetryAfter is how long this box must not send requests; zero if not set.
	RetryAfter time.Duration
	// Err is set if a signal is malformed. The current state for that signal is then kept.
	Err error
}

// empty reports whether the response carries no signals.
func (s Signals) empty() bool {
	return !s.Limit.Set && !s.Brittle.Set && !s.Leaving && s.RetryAfter == 0 && s.Err == nil
}

// Limit is the request rate that a server accepts from all boxes together.
type Limit struct {
	// PerSecond is in requests per second.
	PerSecond float64
	// Set is false for a server without a limit.
	Set bool
	// Unknown is set if the response does not say whether there is a limit.
	Unknown bool
}

// Brittle is set if a server fails when it has to reject more requests than it names.
type Brittle struct {
	// PerSecond is the number of requests that the server may reject in a second.
	PerSecond float64
	// Set is false for a server that may reject any number.
	Set bool
	// Unknown is set if the response does not say whether the server is brittle.
	Unknown bool
}

// EffectiveRate returns the requests per second that may be sent, at least the probe rate.
func (l Limit) EffectiveRate() float64 { return max(l.PerSecond, probeRequestsPerSecond) }

// stricter reports whether the limit is lower than another one.
func (l Limit) stricter(other Limit) bool {
	return l.Set && (!other.Set || l.PerSecond < other.PerSecond)
}

// Observation is the latest state of a server according to its responses, except for Retry-After.
type Observation struct {
	Limit   Limit
	Brittle Brittle
	Leaving bool
	// RejectedAt is when a brittle server last rejected a request for lack of capacity.
	RejectedAt time.Time
	// ReceivedAt is when the latest of these responses was received.
	ReceivedAt time.Time
}

const (
	// A limit that no response repeats expires after limitTTL plus the time in which limitRequests
	// requests are sent at its rate.
	limitTTL      = 15 * time.Second
	limitRequests = 4
	// probeRequestsPerSecond is the minimum rate at which a limited server gets requests: only its responses
	// show when the limit has ended.
	probeRequestsPerSecond = 0.1
	// leavingTTL is how long a server is considered to be draining; by then it has stopped.
	leavingTTL = time.Hour
	// changeShareTTL is how long boxes share that a limit has ended or that a server is draining.
	changeShareTTL = 5 * time.Second
)

// valid reports whether an observation has not expired.
func (o Observation) valid(now time.Time) bool {
	age := now.Sub(o.ReceivedAt)
	switch {
	case o.Leaving:
		return age <= leavingTTL
	case o.Limit.Set:
		return age <= limitTTL+time.Duration(limitRequests/o.Limit.EffectiveRate()*float64(time.Second))
	case o.Brittle.Set:
		return age <= limitTTL
	}
	return age <= changeShareTTL
}

// shouldShare reports whether an observation is to be sent to other boxes.
func (o Observation) shouldShare(now time.Time) bool {
	return (o.Limit.Set || o.Brittle.Set) && !o.Leaving && o.valid(now) || now.Sub(o.ReceivedAt) <= changeShareTTL
}

// Merge combines two observations: draining is kept if either has it, and the later of all else is used.
func (o Observation) Merge(other Observation) Observation {
	later := o
	if other.ReceivedAt.After(o.ReceivedAt) {
		later = other
	}
	later.Leaving = o.Leaving || other.Leaving
	if later.RejectedAt = o.RejectedAt; other.RejectedAt.After(o.RejectedAt) {
		later.RejectedAt = other.RejectedAt
	}
	return later
}

// Key is a hash of a server incarnation, as sent between boxes. If two servers have the same key, the
// signals of either apply to both.
type Key uint32

// String implements fmt.Stringer.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// KeyOf returns the key of a server incarnation.
func KeyOf(l routing.Incarnation) Key { return Key(l.Hash()) }

// Observations holds observations by server.
type Observations map[Key]Observation

// Merge merges other observations into o.
func (o Observations) Merge(more Observations) {
	for key, other := range more {
		o[key] = o[key].Merge(other)
	}
}
