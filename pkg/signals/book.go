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
	// wordsMost bounds the servers whose signals are kept.
	wordsMost = 1 << 16
	// sweepEvery is how often words that say nothing any more are looked for.
	sweepEvery = 10 * time.Second
)

// Book keeps the signals of servers, by their lives: what this box has heard in answers, and what other
// boxes have told of theirs. Of both the later counts.
type Book struct {
	logger log.Logger
	// onChange is told when there is something new to tell other boxes.
	onChange func()
	// any says that there are words. Nearly always there are none, and choices ask for each server.
	any atomic.Bool

	mu   sync.Mutex
	own  Words
	told Words
	// unreadable are the servers that have had a signal which can't be read.
	unreadable map[Key]bool
	swept      time.Time
}

// NewBook returns a book without signals. onChange must neither block nor call the book.
func NewBook(logger log.Logger, onChange func()) *Book {
	return &Book{logger: logger, onChange: onChange, own: make(Words), told: make(Words), unreadable: make(map[Key]bool)}
}

// Note takes in the head of an answer to a request that was sent at a time.
func (b *Book) Note(server routing.Life, s Signals, sent, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Unreadable != nil {
		b.noteUnreadable(server, s.Unreadable)
		return
	}
	b.noteLimit(server, s.Limit, sent, now)
}

// noteUnreadable logs the first of a server's signals that can't be read. The caller holds mu.
func (b *Book) noteUnreadable(server routing.Life, err error) {
	key := KeyOf(server)
	if b.unreadable[key] || len(b.unreadable) >= wordsMost {
		return
	}
	b.unreadable[key] = true
	_ = level.Warn(b.logger).Log("msg", "server signal not read", "server", server, "err", err, "outcome", "what is believed of the server stays as it is")
}

// noteLimit takes in the limit that an answer names, or that it names none. The caller holds mu.
func (b *Book) noteLimit(server routing.Life, l Limit, sent, now time.Time) {
	key := KeyOf(server)
	before := b.word(key, now)
	if !l.Named && !before.Named {
		return
	}
	if l != before.Limit && before.Named && !sent.After(before.Heard) && !l.stricter(before.Limit) {
		return
	}
	b.sweep(now)
	if len(b.own) >= wordsMost {
		return
	}
	b.own[key] = Word{Limit: l, Heard: now}
	b.any.Store(true)
	if l == before.Limit {
		return
	}
	b.log(server.String(), "answer", l, before.Limit, now.Sub(sent))
	b.onChange()
}

// log tells of a limit that is believed from now on. Age is that of the request whose answer said so, or
// of the other boxes' word.
func (b *Book) log(server, source string, l, before Limit, age time.Duration) {
	_ = level.Info(b.logger).Log("msg", "server signal", "signal", "limit", "server", server, "source", source, "named", l.Named,
		"per_second", l.PerSecond, "before_named", before.Named, "before_per_second", before.PerSecond, "age_ms", age.Milliseconds())
}

// word is the latest word on a server that still says something. The caller holds mu.
func (b *Book) word(key Key, now time.Time) Word {
	if w := b.own[key].Newer(b.told[key]); w.holds(now) {
		return w
	}
	return Word{}
}

// Limit returns the limit that a server is believed to name.
func (b *Book) Limit(server routing.Life, now time.Time) Limit {
	if !b.any.Load() {
		return Limit{}
	}
	return b.LimitOf(KeyOf(server), now)
}

// LimitOf returns the limit that a server is believed to name, by its key.
func (b *Book) LimitOf(key Key, now time.Time) Limit {
	if !b.any.Load() {
		return Limit{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.word(key, now).Limit
}

// Report returns what this box has heard itself, for the other boxes.
func (b *Book) Report(now time.Time) Words {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	return maps.Clone(b.own)
}

// SetTold takes in what other boxes have heard.
func (b *Book) SetTold(words Words, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	for key, w := range words {
		if !w.Heard.After(b.told[key].Heard) || len(b.told) >= wordsMost {
			continue
		}
		before := b.word(key, now)
		b.told[key] = w
		b.any.Store(true)
		if after := b.word(key, now); after.Limit != before.Limit {
			b.log(key.String(), "boxes", after.Limit, before.Limit, now.Sub(w.Heard))
		}
	}
}

// sweep drops words that say nothing any more, now and then. The caller holds mu.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for _, words := range []Words{b.own, b.told} {
		maps.DeleteFunc(words, func(_ Key, w Word) bool { return !w.holds(now) })
	}
	b.any.Store(len(b.own)+len(b.told) > 0)
}

// Counts returns how many servers are believed to name each signal.
func (b *Book) Counts(now time.Time) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := maps.Clone(b.own)
	all.Add(b.told)
	limits := int64(0)
	for _, w := range all {
		if w.Named && w.holds(now) {
			limits++
		}
	}
	return map[string]int64{"limit": limits}
}
