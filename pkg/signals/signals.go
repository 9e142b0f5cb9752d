package signals

import (
	"strconv"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Signals are what a server says of itself in the head of one answer.
type Signals struct {
	Limit Limit
	// Leaving says that the server drains and ends before long.
	Leaving bool
	// RetryAfter is for how long the server wants nothing from this box, zero if it does not say so.
	RetryAfter time.Duration
	// Err is why a signal can't be read, nil if each can. That signal proves nothing, neither for nor
	// against what is believed.
	Err error
}

// empty tells whether an answer signals nothing.
func (s Signals) empty() bool {
	return !s.Limit.Set && !s.Leaving && s.RetryAfter == 0 && s.Err == nil
}

// Limit is the rate that a server takes from all boxes together.
type Limit struct {
	// PerSecond is in requests.
	PerSecond float64
	// Set is false for a server without a limit.
	Set bool
	// Unknown says that the answer does not tell whether there is a limit.
	Unknown bool
}

// EffectiveRate is the requests a second that may go by the limit.
func (l Limit) EffectiveRate() float64 { return max(l.PerSecond, probeRate) }

// stricter tells whether a limit allows less than another one.
func (l Limit) stricter(other Limit) bool {
	return l.Set && (!other.Set || l.PerSecond < other.PerSecond)
}

// Observation is what answers have last said of a server, but for its Retry-After.
type Observation struct {
	Limit   Limit
	Leaving bool
	// ReceivedAt is when the latest of these answers came in.
	ReceivedAt time.Time
}

const (
	// limitTTL is how long a limit is believed that no answer repeats, beside the time in which
	// limitRequests requests go to the server by it.
	limitTTL      = 15 * time.Second
	limitRequests = 4
	// probeRate is the rate, in requests a second, at which a server is asked whose limit is lower: only
	// its answers tell when the limit ends.
	probeRate = 0.1
	// leavingTTL is how long a server is believed to drain: by then it has ended.
	leavingTTL = time.Hour
	// changeShared is how long boxes tell each other that a limit has ended or that a server drains.
	changeShared = 5 * time.Second
)

// valid tells whether an observation is still believed.
func (o Observation) valid(now time.Time) bool {
	age := now.Sub(o.ReceivedAt)
	switch {
	case o.Leaving:
		return age <= leavingTTL
	case o.Limit.Set:
		return age <= limitTTL+time.Duration(limitRequests/o.Limit.EffectiveRate()*float64(time.Second))
	}
	return age <= changeShared
}

// shared tells whether other boxes should have an observation.
func (o Observation) shared(now time.Time) bool {
	return o.Limit.Set && !o.Leaving && o.valid(now) || now.Sub(o.ReceivedAt) <= changeShared
}

// Merge is what two observations say together: a drain is not taken back, of limits the later counts.
func (o Observation) Merge(other Observation) Observation {
	later := o
	if other.ReceivedAt.After(o.ReceivedAt) {
		later = other
	}
	later.Leaving = o.Leaving || other.Leaving
	return later
}

// Key is a server's life as boxes name it to each other, in short. Two servers may share one: then what is
// believed of either counts for both.
type Key uint32

// String implements fmt.Stringer.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// KeyOf is the key of a server's life.
func KeyOf(l routing.Incarnation) Key { return Key(l.Hash()) }

// Observations are by server.
type Observations map[Key]Observation

// Merge merges other observations into these.
func (o Observations) Merge(more Observations) {
	for key, other := range more {
		o[key] = o[key].Merge(other)
	}
}
