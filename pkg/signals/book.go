package signals

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

const (
	// serversMost bounds the servers whose signals are kept.
	serversMost = 1 << 16
	// sweepEvery is how often signals that say nothing any more are looked for.
	sweepEvery = 10 * time.Second
)

// Book keeps the signals of servers, by their lives: what this box has heard in answers, and what other
// boxes have told of theirs. That a server wants to rest is meant for this box alone.
type Book struct {
	logger log.Logger
	// onChange is told when there is something new to tell other boxes.
	onChange func()
	// any says that there are signals. Nearly always there are none, and choices ask for each server.
	any atomic.Bool

	mu    sync.Mutex
	own   Words
	told  Words
	rests rests
	// unreadable are the servers that have had a signal which can't be read.
	unreadable map[Key]bool
	swept      time.Time
}

// NewBook returns a book without signals. onChange must neither block nor call the book.
func NewBook(logger log.Logger, onChange func()) *Book {
	return &Book{logger: logger, onChange: onChange, own: make(Words), told: make(Words), rests: make(rests), unreadable: make(map[Key]bool)}
}

// Note takes in the head of an answer to a request that was sent at a time.
func (b *Book) Note(server routing.Life, s Signals, sent, now time.Time) {
	if s.nothing() && !b.any.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	key := KeyOf(server)
	if s.Unreadable != nil {
		b.noteUnreadable(server, key, s.Unreadable)
	}
	b.noteRest(server, key, s.Rest, sent, now)
	before := b.word(key, now)
	switch {
	case before.Leaving:
	case s.Leaving:
		b.set(server, key, Word{Limit: before.Limit, Leaving: true, Heard: now}, before, now.Sub(sent))
	case !s.Limit.Unclear:
		b.noteLimit(server, key, s.Limit, before, sent, now)
	}
	b.any.Store(len(b.own)+len(b.told)+len(b.rests) > 0)
}

// noteUnreadable logs the first of a server's signals that can't be read. The caller holds mu.
func (b *Book) noteUnreadable(server routing.Life, key Key, err error) {
	if b.unreadable[key] || len(b.unreadable) >= serversMost {
		return
	}
	b.unreadable[key] = true
	_ = level.Warn(b.logger).Log("msg", "server signal not read", "server", server, "err", err, "outcome", "what is believed of the server stays as it is")
}

// noteLimit takes in the limit that an answer names, or that it names none. The caller holds mu.
func (b *Book) noteLimit(server routing.Life, key Key, l Limit, before Word, sent, now time.Time) {
	if !l.Named && !before.Limit.Named {
		return
	}
	if l != before.Limit && before.Limit.Named && !sent.After(before.Heard) && !l.stricter(before.Limit) {
		return
	}
	b.set(server, key, Word{Limit: l, Heard: now}, before, now.Sub(sent))
}

// set takes in a word from an answer to a request of an age. The caller holds mu.
func (b *Book) set(server routing.Life, key Key, w, before Word, age time.Duration) {
	if len(b.own) >= serversMost {
		return
	}
	b.own[key] = w
	if w.Limit == before.Limit && w.Leaving == before.Leaving {
		return
	}
	b.log(server.String(), "answer", w, before, age)
	b.onChange()
}

// noteRest takes in for how long a server wants to rest, or that it has taken a request again. The caller
// holds mu.
func (b *Book) noteRest(server routing.Life, key Key, rest time.Duration, sent, now time.Time) {
	switch {
	case rest > 0 && b.rests.extend(key, rest, now):
		_ = level.Info(b.logger).Log("msg", "server signal", "signal", "rest", "server", server, "source", "answer",
			"rest_ms", rest.Milliseconds(), "until_ms", b.rests[key].Sub(now).Milliseconds(), "age_ms", now.Sub(sent).Milliseconds())
	case rest == 0 && b.rests.end(key, sent):
		_ = level.Info(b.logger).Log("msg", "server signal", "signal", "rest", "server", server, "source", "answer",
			"rest_ms", 0, "age_ms", now.Sub(sent).Milliseconds())
	}
}

// log tells of a word that is believed from now on. Age is that of the request whose answer said so, or of
// the other boxes' word.
func (b *Book) log(server, source string, w, before Word, age time.Duration) {
	if w.Leaving != before.Leaving {
		_ = level.Info(b.logger).Log("msg", "server signal", "signal", "leaving", "server", server, "source", source, "age_ms", age.Milliseconds())
		return
	}
	_ = level.Info(b.logger).Log("msg", "server signal", "signal", "limit", "server", server, "source", source, "named", w.Limit.Named,
		"per_second", w.Limit.PerSecond, "before_named", before.Limit.Named, "before_per_second", before.Limit.PerSecond, "age_ms", age.Milliseconds())
}

// word is the latest word on a server that still says something. The caller holds mu.
func (b *Book) word(key Key, now time.Time) Word {
	if w := b.own[key].Merge(b.told[key]); w.holds(now) {
		return w
	}
	return Word{}
}

// State is what is believed of a server.
type State struct {
	Limit   Limit
	Leaving bool
	Rest    Rest
}

// Closed tells whether anything that the server says keeps requests away.
func (s State) Closed() bool { return s.Leaving || s.Limit.Named || s.Rest == Resting }

// Any tells whether there are any signals.
func (b *Book) Any() bool { return b.any.Load() }

// Of returns what is believed of a server.
func (b *Book) Of(key Key, now time.Time) State {
	if !b.any.Load() {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.word(key, now)
	return State{Limit: w.Limit, Leaving: w.Leaving, Rest: b.rests.of(key, now)}
}

// RestEnds is when a server takes requests again, zero for one that does.
func (b *Book) RestEnds(key Key) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rests[key]
}

// Report returns what this box has heard itself, for the other boxes.
func (b *Book) Report(now time.Time) Words {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	words := maps.Clone(b.own)
	maps.DeleteFunc(words, func(_ Key, w Word) bool { return !w.toldOf(now) })
	return words
}

// SetTold takes in what other boxes have heard.
func (b *Book) SetTold(words Words, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	for key, w := range words {
		known := b.told[key]
		if known.Merge(w) == known || len(b.told) >= serversMost {
			continue
		}
		before := b.word(key, now)
		b.told[key] = known.Merge(w)
		b.any.Store(true)
		if after := b.word(key, now); after.Limit != before.Limit || after.Leaving != before.Leaving {
			b.log(key.String(), "boxes", after, before, now.Sub(w.Heard))
		}
	}
}

// sweep drops signals that say nothing any more, now and then. The caller holds mu.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for _, words := range []Words{b.own, b.told} {
		maps.DeleteFunc(words, func(_ Key, w Word) bool { return !w.holds(now) })
	}
	b.rests.sweep(now)
	b.any.Store(len(b.own)+len(b.told)+len(b.rests) > 0)
}

// Counts returns how many servers are believed to give each signal.
func (b *Book) Counts(now time.Time) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int64{"limit": 0, "leaving": 0, "rest": 0}
	all := maps.Clone(b.own)
	all.Add(b.told)
	for _, w := range all {
		switch {
		case !w.holds(now):
		case w.Leaving:
			counts["leaving"]++
		case w.Limit.Named:
			counts["limit"]++
		}
	}
	for key := range b.rests {
		if b.rests.of(key, now) == Resting {
			counts["rest"]++
		}
	}
	return counts
}
