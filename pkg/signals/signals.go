package signals

import (
	"strconv"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Signals are what a server says of itself in the head of one answer.
type Signals struct {
	Limit Limit
	// Unreadable is why a signal of the head can't be read, nil if each can. It proves nothing, neither
	// for nor against what is believed.
	Unreadable error
}

// Limit is how many requests a second a server takes from all boxes together.
type Limit struct {
	PerSecond float64
	// Named is false for a server that names no limit.
	Named bool
}

// stricter tells whether a limit allows less than another one.
func (l Limit) stricter(other Limit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// Word is the latest word on a server's limit: that it names one, or that it has ceased to.
type Word struct {
	Limit
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
	// endTold is how long it is told that a limit has ended.
	endTold = 10 * time.Second
)

// Rate is the requests a second that go by the limit.
func (l Limit) Rate() float64 { return max(l.PerSecond, limitLeast) }

// holds tells whether a word still says something.
func (w Word) holds(now time.Time) bool {
	age := now.Sub(w.Heard)
	if !w.Named {
		return age <= endTold
	}
	return age <= limitBelieved+time.Duration(limitAnswers/w.Rate()*float64(time.Second))
}

// Newer is the word of two that was heard later.
func (w Word) Newer(other Word) Word {
	if other.Heard.After(w.Heard) {
		return other
	}
	return w
}

// Key is a server's life as boxes name it to each other, in short.
type Key uint32

// String implements fmt.Stringer.
func (k Key) String() string { return strconv.FormatUint(uint64(k), 16) }

// KeyOf is the key of a server's life.
func KeyOf(l routing.Life) Key { return Key(l.Hash()) }

// Words are the latest on some servers.
type Words map[Key]Word

// Add takes in other words where they are newer.
func (w Words) Add(more Words) {
	for key, word := range more {
		w[key] = w[key].Newer(word)
	}
}
