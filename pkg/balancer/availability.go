package balancer

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// Availability counts the candidates of a query by what keeps requests from them. Those that leave, and
// those that were tried before, do not count.
type Availability struct {
	// Available is how many nothing keeps requests from.
	Available int
	// Limited is how many signal a rate limit, PerSecond how many requests this box may send them all in
	// a second, NextToken when it may send the next one; zero if it sends them none.
	Limited   int
	PerSecond float64
	NextToken time.Time
	// WarmingUp is how many bear few requests until they have warmed up.
	WarmingUp int
	// BackingOff is how many get nothing until their Retry-After has passed, BackoffEnd when that is for
	// the first of them.
	BackingOff int
	BackoffEnd time.Time
}

// Availability tells what keeps requests from the candidates of a query.
func (b *Balancer) Availability(q Query, now time.Time) Availability {
	if !b.signals.HasSignals() && !q.WarmUp.Limited() {
		return Availability{Available: len(q.Candidates)}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var a Availability
	for i := range q.Candidates {
		if c := &q.Candidates[i]; !slices.Contains(q.Exclude, c.Incarnation()) {
			b.count(&a, &q, c, now)
		}
	}
	return a
}

// count adds one candidate.
func (b *Balancer) count(a *Availability, q *Query, c *routing.Server, now time.Time) {
	s := b.known(KeyOf(c.Incarnation()))
	state := b.signals.State(s.key, now)
	limit := b.limitOf(q, c, s, state, b.other(s.key, now), now)
	switch {
	case state.Leaving:
	case state.Backoff != signals.Accepting:
		a.BackingOff++
		a.BackoffEnd = earlier(a.BackoffEnd, state.BackoffEnd)
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

// earlier is the earlier of two times, of which zero stands for none.
func earlier(t, other time.Time) time.Time {
	if t.IsZero() || !other.IsZero() && other.Before(t) {
		return other
	}
	return t
}

// Unconstrained are those of some servers from which no signal of theirs keeps requests; if there are
// none, those that do not leave.
func (b *Balancer) Unconstrained(servers []routing.Server, now time.Time) []routing.Server {
	if !b.signals.HasSignals() {
		return servers
	}
	leaving := func(s routing.Server) bool { return b.SignalsOf(&s, now).Leaving }
	constrained := func(s routing.Server) bool { return b.SignalsOf(&s, now).Constrained() }
	if !slices.ContainsFunc(servers, constrained) {
		return servers
	}
	if rest := slices.DeleteFunc(slices.Clone(servers), constrained); len(rest) > 0 {
		return rest
	}
	return slices.DeleteFunc(slices.Clone(servers), leaving)
}

// SignalsOf is what a server signals in its answers.
func (b *Balancer) SignalsOf(s *routing.Server, now time.Time) signals.State {
	return b.signals.State(KeyOf(s.Incarnation()), now)
}
