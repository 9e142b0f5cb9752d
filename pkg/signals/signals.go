package signals

import (
	"strconv"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Signals are what a server says of itself in the head of one answer.
type Signals struct {
	Limit Limit
	// Leaving says that the server ends before long.
	Leaving bool
	// Rest is for how long the server wants nothing from this box, zero if it does not say so.
	Rest time.Duration
	// Unreadable is why a signal of the head can't be read, nil if each can. That signal proves nothing,
	// neither for nor against what is believed.
	Unreadable error
}

// nothing tells whether an answer says nothing of its server.
func (s Signals) nothing() bool {
	return !s.Limit.Named && !s.Leaving && s.Rest == 0 && s.Unreadable == nil
}

// Limit is how many requests a second a server takes from all boxes together.
type Limit struct {
	PerSecond float64
	// Named is false for a server that names no limit.
	Named bool
	// Unclear says that what the head names can't be read.
	Unclear bool
}

// stricter tells whether a limit allows less than another one.
func (l Limit) stricter(other Limit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// Word is the latest word on a server: whether it names a limit, and whether it leaves.
type Word struct {
	Limit   Limit
	Leaving bool
	// Heard is when the answer came in.
	Heard time.Time
}

const (
	// limitBelieved is how long a limit is believed that no answer has named again, beside the time in
	// which limitAnswers requests go to the server by it.
	limitBelieved = 15 * time.Second
	limitAnswers  = 4
	// limitLeast is the rate, in requests a second, at which a server is asked that takes none: only its
	// answers tell when that has ended.
	limitLeast = 0.1
	// leavingBelieved is how long a server is believed to leave. It has left long before.
	leavingBelieved = time.Hour
	// changeTold is how long boxes tell each other that a limit has ended or that a server leaves.
	changeTold = 5 * time.Second
)

// Rate is the requests a second that go by the limit.
func (l Limit) Rate() float64 { return max(l.PerSecond, limitLeast) }

// holds tells whether a word still says something.
func (w Word) holds(now time.Time) bool {
	age := now.Sub(w.Heard)
	switch {
	case w.Leaving:
		return age <= leavingBelieved
	case w.Limit.Named:
		return age <= limitBelieved+time.Duration(limitAnswers/w.Limit.Rate()*float64(time.Second))
	}
	return age <= changeTold
}

// toldOf tells whether a word is one that other boxes should hear.
func (w Word) toldOf(now time.Time) bool {
	return w.Limit.Named && !w.Leaving && w.holds(now) || now.Sub(w.Heard) <= changeTold
}

// Merge is what two words say together: that a server leaves is not taken back, of limits the later counts.
func (w Word) Merge(other Word) Word {
	later := w
	if other.Heard.After(w.Heard) {
		later = other
	}
	later.Leaving = w.Leaving || other.Leaving
	return later
}

// Key is a server's life as boxes name it to each other, in short.
type Key uint32

// String implements fmt.Stringer.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// KeyOf is the key of a server's life.
func KeyOf(l routing.Life) Key { return Key(l.Hash()) }

// Words are the latest on some servers.
type Words map[Key]Word

// Add merges other words into these.
func (w Words) Add(more Words) {
	for key, word := range more {
		w[key] = w[key].Merge(word)
	}
}
