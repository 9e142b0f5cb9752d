package balancer

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// Availability counts the candidates of a query by what prevents requests to them. Servers that
// are leaving and those in Query.Exclude are not counted.
type Availability struct {
	// Available is the number of candidates without a constraint.
	Available int
	// Limited is the number of candidates that signal a rate limit. PerSecond is the total rate at
	// which this box may send requests to them, NextToken when it may send the next one; zero if
	// it may send none.
	Limited   int
	PerSecond float64
	NextToken time.Time
	// WarmingUp is the number of candidates that accept only a low rate until they have warmed up.
	WarmingUp int
	// Full is the number of candidates that are brittle and have no room for a request of this box.
	Full int
	// BackingOff is the number of candidates whose Retry-After has not elapsed, BackoffEnd the
	// earliest time at which one does.
	BackingOff int
	BackoffEnd time.Time
}

// Availability counts the candidates of a query by what prevents requests to them.
func (b *Balancer) Availability(q Query, now time.Time) Availability {
	if !b.signals.HasSignals() && !q.WarmUp.Limited() {
		return Availability{Available: len(q.Candidates)}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var a Availability
	for i := range q.Candidates {
		if c := &q.Candidates[i]; !slices.Contains(q.Exclude, c.Incarnation()) {
			b.addCandidate(&a, &q, c, now)
		}
	}
	return a
}

// addCandidate adds one candidate to the counts.
func (b *Balancer) addCandidate(a *Availability, q *Query, c *routing.Server, now time.Time) {
	s := b.lookup(KeyOf(c.Incarnation()))
	state := b.signals.State(s.key, now)
	limit := b.rateLimit(q, c, s, state, b.peerLoad(s.key, now), now)
	switch {
	case state.Leaving:
	case state.Backoff != signals.Accepting:
		a.BackingOff++
		a.BackoffEnd = earlier(a.BackoffEnd, state.BackoffEnd)
	case b.isBrittle(q, state, now) && (q.SkipLimited || !b.hasRoom(q, c, s, state, b.peerLoad(s.key, now), now)):
		a.Full++
	case state.Limit.Set && !limit.IsZero():
		perSecond, next := b.limiter.NextAllowed(c.Incarnation(), limit, now)
		a.Limited++
		a.PerSecond += perSecond
		a.NextToken = earlier(a.NextToken, next)
	case !limit.IsZero():
		a.WarmingUp++
	default:
		a.Available++
	}
}

// earlier returns the earlier of two times; a zero time is ignored.
func earlier(t, other time.Time) time.Time {
	if t.IsZero() || !other.IsZero() && other.Before(t) {
		return other
	}
	return t
}

// Unconstrained returns the servers without a constraining signal; if there are none, those that
// are not leaving.
func (b *Balancer) Unconstrained(servers []routing.Server, now time.Time) []routing.Server {
	if !b.signals.HasSignals() {
		return servers
	}
	leaving := func(s routing.Server) bool { return b.SignalsOf(&s, now).Leaving }
	constrained := func(s routing.Server) bool { return b.SignalsOf(&s, now).Constrained() }
	if !slices.ContainsFunc(servers, constrained) {
		return servers
	}
	if remaining := slices.DeleteFunc(slices.Clone(servers), constrained); len(remaining) > 0 {
		return remaining
	}
	return slices.DeleteFunc(slices.Clone(servers), leaving)
}

// SignalsOf returns the state signalled by a server's responses.
func (b *Balancer) SignalsOf(s *routing.Server, now time.Time) signals.State {
	return b.signals.State(KeyOf(s.Incarnation()), now)
}
