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
	// sweepEvery is how often expired signals are looked for.
	sweepEvery = 10 * time.Second
)

// Tracker keeps the signals of servers, by their lives: those in answers to this box, and those that other
// boxes share. A Retry-After counts for the box that it was sent to alone.
type Tracker struct {
	logger log.Logger
	// onChange is called when there is something new to share.
	onChange func()
	// any says that there are signals. Nearly always there are none, and choices ask for each server.
	any atomic.Bool

	mu       sync.Mutex
	local    Observations
	remote   Observations
	backoffs backoffs
	// malformed are the servers that have sent a signal which can't be read.
	malformed map[Key]bool
	swept     time.Time
}

// NewTracker returns a tracker without signals. onChange must neither block nor call the tracker.
func NewTracker(logger log.Logger, onChange func()) *Tracker {
	return &Tracker{
		logger: logger, onChange: onChange, local: make(Observations), remote: make(Observations), backoffs: make(backoffs),
		malformed: make(map[Key]bool),
	}
}

// Observe takes in the head of an answer to a request that was sent at a time.
func (t *Tracker) Observe(server routing.Incarnation, s Signals, sent, now time.Time) {
	if s.empty() && !t.any.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	key := KeyOf(server)
	if s.Err != nil {
		t.logMalformed(server, key, s.Err)
	}
	t.observeRetryAfter(server, key, s.RetryAfter, sent, now)
	before := t.observed(key, now)
	switch {
	case before.Leaving:
	case s.Leaving:
		t.set(server, key, Observation{Limit: before.Limit, Leaving: true, ReceivedAt: now}, before, now.Sub(sent))
	case !s.Limit.Unknown:
		t.observeLimit(server, key, s.Limit, before, sent, now)
	}
	t.updateAny()
}

// logMalformed logs the first of a server's signals that can't be read. The caller holds mu.
func (t *Tracker) logMalformed(server routing.Incarnation, key Key, err error) {
	if t.malformed[key] || len(t.malformed) >= serversMost {
		return
	}
	t.malformed[key] = true
	_ = level.Warn(t.logger).Log("msg", "server signal not read", "server", server, "err", err, "outcome", "what is believed of the server stays as it is")
}

// observeLimit takes in the limit of an answer, or that it has none. The caller holds mu.
func (t *Tracker) observeLimit(server routing.Incarnation, key Key, l Limit, before Observation, sent, now time.Time) {
	if !l.Set && !before.Limit.Set {
		return
	}
	if l != before.Limit && before.Limit.Set && !sent.After(before.ReceivedAt) && !l.stricter(before.Limit) {
		return
	}
	t.set(server, key, Observation{Limit: l, ReceivedAt: now}, before, now.Sub(sent))
}

// set takes in an observation from an answer to a request of an age. The caller holds mu.
func (t *Tracker) set(server routing.Incarnation, key Key, o, before Observation, age time.Duration) {
	if len(t.local) >= serversMost {
		return
	}
	t.local[key] = o
	if o.Limit == before.Limit && o.Leaving == before.Leaving {
		return
	}
	t.log(server.String(), "answer", o, before, age)
	t.onChange()
}

// observeRetryAfter takes in the Retry-After of an answer, or that it has none. The caller holds mu.
func (t *Tracker) observeRetryAfter(server routing.Incarnation, key Key, retryAfter time.Duration, sent, now time.Time) {
	switch {
	case retryAfter > 0 && t.backoffs.extend(key, retryAfter, now):
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "retry-after", "server", server, "source", "answer",
			"retry_after_ms", retryAfter.Milliseconds(), "until_ms", t.backoffs[key].Sub(now).Milliseconds(), "age_ms", now.Sub(sent).Milliseconds())
	case retryAfter == 0 && t.backoffs.end(key, sent):
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "retry-after", "server", server, "source", "answer",
			"retry_after_ms", 0, "age_ms", now.Sub(sent).Milliseconds())
	}
}

// log tells of a change of what is believed. Age is that of the request whose answer said so, or of the
// observation that another box has shared.
func (t *Tracker) log(server, source string, o, before Observation, age time.Duration) {
	if o.Leaving != before.Leaving {
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "leaving", "server", server, "source", source, "age_ms", age.Milliseconds())
		return
	}
	_ = level.Info(t.logger).Log("msg", "server signal", "signal", "limit", "server", server, "source", source, "set", o.Limit.Set,
		"per_second", o.Limit.PerSecond, "before_set", before.Limit.Set, "before_per_second", before.Limit.PerSecond, "age_ms", age.Milliseconds())
}

// observed is what is believed of a server by all boxes' observations. The caller holds mu.
func (t *Tracker) observed(key Key, now time.Time) Observation {
	if o := t.local[key].Merge(t.remote[key]); o.valid(now) {
		return o
	}
	return Observation{}
}

// State is what is believed of a server.
type State struct {
	Limit   Limit
	Leaving bool
	Backoff Backoff
	// BackoffEnd is when a server that does not accept requests may get them again.
	BackoffEnd time.Time
}

// Constrained tells whether any signal of the server keeps requests from it.
func (s State) Constrained() bool { return s.Leaving || s.Limit.Set || s.Backoff == BackingOff }

// HasSignals tells whether there are any signals.
func (t *Tracker) HasSignals() bool { return t.any.Load() }

// State returns what is believed of a server.
func (t *Tracker) State(key Key, now time.Time) State {
	if !t.any.Load() {
		return State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.observed(key, now)
	return State{Limit: o.Limit, Leaving: o.Leaving, Backoff: t.backoffs.of(key, now), BackoffEnd: t.backoffs[key]}
}

// Report returns what this box has observed itself, for the other boxes.
func (t *Tracker) Report(now time.Time) Observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := maps.Clone(t.local)
	maps.DeleteFunc(list, func(_ Key, o Observation) bool { return !o.shared(now) })
	return list
}

// MergeRemote takes in what other boxes have observed.
func (t *Tracker) MergeRemote(list Observations, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for key, o := range list {
		known := t.remote[key]
		if known.Merge(o) == known || len(t.remote) >= serversMost {
			continue
		}
		before := t.observed(key, now)
		t.remote[key] = known.Merge(o)
		if after := t.observed(key, now); after.Limit != before.Limit || after.Leaving != before.Leaving {
			t.log(key.String(), "boxes", after, before, now.Sub(o.ReceivedAt))
		}
	}
	t.updateAny()
}

// sweep drops expired signals, now and then. The caller holds mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for _, list := range []Observations{t.local, t.remote} {
		maps.DeleteFunc(list, func(_ Key, o Observation) bool { return !o.valid(now) })
	}
	t.backoffs.sweep(now)
	t.updateAny()
}

// updateAny notes whether there are any signals. The caller holds mu.
func (t *Tracker) updateAny() {
	t.any.Store(len(t.local)+len(t.remote)+len(t.backoffs) > 0)
}

// Counts returns the number of servers by the signal that is believed of them.
func (t *Tracker) Counts(now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int64{"limit": 0, "leaving": 0, "retry-after": 0}
	all := maps.Clone(t.local)
	all.Merge(t.remote)
	for _, o := range all {
		switch {
		case !o.valid(now):
		case o.Leaving:
			counts["leaving"]++
		case o.Limit.Set:
			counts["limit"]++
		}
	}
	for key := range t.backoffs {
		if t.backoffs.of(key, now) == BackingOff {
			counts["retry-after"]++
		}
	}
	return counts
}
