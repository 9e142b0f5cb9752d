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
	// maxServers is the maximum number of servers whose signals are kept.
	maxServers = 1 << 16
	// sweepInterval is how often expired signals are evicted.
	sweepInterval = 10 * time.Second
)

// Tracker stores the signals of server incarnations: those in responses to this box and those that other
// boxes share. A Retry-After applies only to the box that received it.
type Tracker struct {
	logger log.Logger
	// onChange is called when there is a change to share with other boxes.
	onChange func()
	// hasSignals allows lookups to skip the lock when there are no signals, which is the common case.
	hasSignals atomic.Bool

	mu       sync.Mutex
	local    Observations
	remote   Observations
	backoffs backoffs
	losses   losses
	// malformed holds the servers for which a malformed signal has been logged.
	malformed map[Key]bool
	lastSweep time.Time
}

// NewTracker returns a tracker without signals. onChange must not block or call the tracker.
func NewTracker(logger log.Logger, onChange func()) *Tracker {
	return &Tracker{
		logger: logger, onChange: onChange, local: make(Observations), remote: make(Observations), backoffs: make(backoffs),
		losses:    make(losses),
		malformed: make(map[Key]bool),
	}
}

// Observe processes the signals of a response to a request that was sent at the given time.
func (t *Tracker) Observe(server routing.Incarnation, s Signals, sent, now time.Time) {
	if s.empty() && !t.hasSignals.Load() {
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
	before := t.current(key, now)
	switch {
	case before.Leaving:
	case s.Leaving:
		next := before
		next.Leaving, next.ReceivedAt = true, now
		t.setLocal(server, key, next, before, now.Sub(sent))
	default:
		t.observeState(server, key, s, before, sent, now)
	}
	t.updateHasSignals()
}

// logMalformed logs the first malformed signal of a server. The caller holds mu.
func (t *Tracker) logMalformed(server routing.Incarnation, key Key, err error) {
	if t.malformed[key] || len(t.malformed) >= maxServers {
		return
	}
	t.malformed[key] = true
	_ = level.Warn(t.logger).Log("msg", "malformed server signal", "server", server, "err", err, "outcome", "keeping the previous state of the server")
}

// observeState processes the limit of a response and whether the server is brittle, or that it is
// neither. The caller holds mu.
func (t *Tracker) observeState(server routing.Incarnation, key Key, s Signals, before Observation, sent, now time.Time) {
	next := before
	if !s.Limit.Unknown && acceptsLimit(s.Limit, before, sent) {
		next.Limit, next.ReceivedAt = s.Limit, now
	}
	if !s.Brittle.Unknown && (s.Brittle.Set || before.Brittle.Set && sent.After(before.ReceivedAt)) {
		next.Brittle, next.ReceivedAt = s.Brittle, now
	}
	unset := !next.Limit.Set && !next.Brittle.Set && !before.Limit.Set && !before.Brittle.Set
	if next.ReceivedAt == before.ReceivedAt || unset {
		return
	}
	t.setLocal(server, key, next, before, now.Sub(sent))
}

// acceptsLimit reports whether the limit of a response replaces the known one. A response to an earlier
// request may not loosen it.
func acceptsLimit(l Limit, before Observation, sent time.Time) bool {
	return l == before.Limit || !before.Limit.Set || sent.After(before.ReceivedAt) || l.stricter(before.Limit)
}

// RecordRejection records that a server rejected a request for lack of capacity. It has no effect
// unless the server is brittle.
func (t *Tracker) RecordRejection(server routing.Incarnation, now time.Time) {
	if !t.hasSignals.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(server)
	o := t.current(key, now)
	if !o.Brittle.Set {
		return
	}
	o.RejectedAt = now
	t.local[key] = o
	t.onChange()
}

// setLocal stores an observation from a response to a request that was sent age ago. The caller holds mu.
func (t *Tracker) setLocal(server routing.Incarnation, key Key, o, before Observation, age time.Duration) {
	if len(t.local) >= maxServers {
		return
	}
	t.local[key] = o
	if o.Limit == before.Limit && o.Brittle == before.Brittle && o.Leaving == before.Leaving {
		return
	}
	t.logChange(server.String(), "answer", o, before, age)
	t.onChange()
}

// observeRetryAfter processes the Retry-After of a response, or that it has none. The caller holds mu.
func (t *Tracker) observeRetryAfter(server routing.Incarnation, key Key, retryAfter time.Duration, sent, now time.Time) {
	switch {
	case retryAfter > 0 && t.backoffs.extend(key, retryAfter, now):
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "retry-after", "server", server, "source", "answer",
			"retry_after_ms", retryAfter.Milliseconds(), "until_ms", t.backoffs[key].end.Sub(now).Milliseconds(), "age_ms", now.Sub(sent).Milliseconds())
	case retryAfter == 0 && t.backoffs.end(key, sent):
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "retry-after", "server", server, "source", "answer",
			"retry_after_ms", 0, "age_ms", now.Sub(sent).Milliseconds())
	}
}

// logChange logs a change in the state of a server. The age is that of the request whose response carried
// the signal, or of the observation received from another box.
func (t *Tracker) logChange(server, source string, o, before Observation, age time.Duration) {
	if o.Leaving != before.Leaving {
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "leaving", "server", server, "source", source, "age_ms", age.Milliseconds())
		return
	}
	if o.Brittle != before.Brittle {
		_ = level.Info(t.logger).Log("msg", "server signal", "signal", "brittle", "server", server, "source", source, "set", o.Brittle.Set,
			"rejections_per_second", o.Brittle.PerSecond, "before_set", before.Brittle.Set, "age_ms", age.Milliseconds())
	}
	if o.Limit == before.Limit {
		return
	}
	_ = level.Info(t.logger).Log("msg", "server signal", "signal", "limit", "server", server, "source", source, "set", o.Limit.Set,
		"per_second", o.Limit.PerSecond, "before_set", before.Limit.Set, "before_per_second", before.Limit.PerSecond, "age_ms", age.Milliseconds())
}

// current returns the merged local and remote observations of a server. The caller holds mu.
func (t *Tracker) current(key Key, now time.Time) Observation {
	if o := t.local[key].Merge(t.remote[key]); o.valid(now) {
		return o
	}
	return Observation{}
}

// State is the current state of a server according to its signals.
type State struct {
	Limit   Limit
	Brittle Brittle
	Leaving bool
	// RejectedAt is when a brittle server last rejected a request, as far as any box knows.
	RejectedAt time.Time
	Backoff    Backoff
	// BackoffEnd is when a server that is not accepting requests may get them again.
	BackoffEnd time.Time
}

// Constrained reports whether any signal restricts requests to the server.
func (s State) Constrained() bool { return s.Leaving || s.Limit.Set || s.Backoff == BackingOff }

// HasSignals reports whether there are signals of any server.
func (t *Tracker) HasSignals() bool { return t.hasSignals.Load() }

// State returns the current state of a server.
func (t *Tracker) State(key Key, now time.Time) State {
	if !t.hasSignals.Load() {
		return State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.current(key, now)
	return State{Limit: o.Limit, Brittle: o.Brittle, RejectedAt: o.RejectedAt, Leaving: o.Leaving, Backoff: t.backoffs.state(key, now), BackoffEnd: t.backoffs[key].end}
}

// Report returns the observations made by this box, for broadcast to the other boxes.
func (t *Tracker) Report(now time.Time) Observations {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := maps.Clone(t.local)
	maps.DeleteFunc(list, func(_ Key, o Observation) bool { return !o.shouldShare(now) })
	return list
}

// MergeRemote merges the observations of other boxes.
func (t *Tracker) MergeRemote(list Observations, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for key, o := range list {
		known := t.remote[key]
		if known.Merge(o) == known || len(t.remote) >= maxServers {
			continue
		}
		before := t.current(key, now)
		t.remote[key] = known.Merge(o)
		if after := t.current(key, now); after.Limit != before.Limit || after.Brittle != before.Brittle || after.Leaving != before.Leaving {
			t.logChange(key.String(), "boxes", after, before, now.Sub(o.ReceivedAt))
		}
	}
	t.updateHasSignals()
}

// sweep evicts expired signals, at most once per sweepInterval. The caller holds mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for _, list := range []Observations{t.local, t.remote} {
		maps.DeleteFunc(list, func(_ Key, o Observation) bool { return !o.valid(now) })
	}
	t.backoffs.sweep(now)
	t.losses.sweep(now)
	t.updateHasSignals()
}

// updateHasSignals recomputes hasSignals. The caller holds mu.
func (t *Tracker) updateHasSignals() {
	t.hasSignals.Store(len(t.local)+len(t.remote)+len(t.backoffs) > 0)
}

// Counts returns the number of servers for each kind of signal.
func (t *Tracker) Counts(now time.Time) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int64{"limit": 0, "leaving": 0, "retry-after": 0, "brittle": 0}
	all := maps.Clone(t.local)
	all.Merge(t.remote)
	for _, o := range all {
		if o.valid(now) && o.Brittle.Set {
			counts["brittle"]++
		}
		switch {
		case !o.valid(now):
		case o.Leaving:
			counts["leaving"]++
		case o.Limit.Set:
			counts["limit"]++
		}
	}
	for key := range t.backoffs {
		if t.backoffs.state(key, now) == BackingOff {
			counts["retry-after"]++
		}
	}
	return counts
}
