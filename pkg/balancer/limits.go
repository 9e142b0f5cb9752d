package balancer

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// returnMargin is how long after a server was seen to be down its return is awaited beyond the time
// for which servers warm up: it is down for a while after it was last seen to be.
const returnMargin = time.Second

// limitOf is what a server takes from all boxes together.
func (b *Balancer) limitOf(q *Query, c *routing.Server, s *server, said signals.State, others Load, now time.Time) fleetlimit.Limit {
	limit := fleetlimit.Limit{}
	if b.limiter == nil {
		return limit
	}
	if b.warmingUp(q, c, s, others, now) {
		limit = fleetlimit.WarmUp(q.WarmUp)
	}
	if said.Limit.Named {
		limit = limit.Stricter(fleetlimit.Named(said.Limit.Rate()))
	}
	return limit
}

// limitNow is what a server takes from all boxes together.
func (b *Balancer) limitNow(q *Query, c *routing.Server, now time.Time) fleetlimit.Limit {
	s := b.known(KeyOf(c.Life()))
	return b.limitOf(q, c, s, b.signals.Of(signals.Key(s.key), now), b.other(s.key, now), now)
}

// Closed is why the candidates that a choice has not tried get no request now.
type Closed struct {
	// Limited is how many of them name a limit, PerSecond how many requests this box may send them in a
	// second.
	Limited   int
	PerSecond float64
	// Warming is how many warm up, and bear few requests until they have.
	Warming int
	// Resting is how many want nothing for some time, Wakes when the first of them takes a request again.
	Resting int
	Wakes   time.Time
	// Open is how many of them there are beside those.
	Open int
}

// Closed tells why candidates get no request now. Those that leave do not count.
func (b *Balancer) Closed(q Query, now time.Time) Closed {
	if !b.signals.Any() && !q.WarmUp.Limited() {
		return Closed{Open: len(q.Candidates)}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var closed Closed
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if slices.Contains(q.Avoid, c.Life()) {
			continue
		}
		s := b.known(KeyOf(c.Life()))
		said := b.signals.Of(signals.Key(s.key), now)
		limit := b.limitOf(&q, c, s, said, b.other(s.key, now), now)
		switch {
		case said.Leaving:
		case said.Rest != signals.Awake:
			closed.rests(b.signals.RestEnds(signals.Key(s.key)))
		case !limit.None() && !said.Limit.Named:
			closed.Warming++
		case !limit.None():
			closed.Limited++
			closed.PerSecond += b.limiter.Rate(c.Life(), limit, now)
		default:
			closed.Open++
		}
	}
	return closed
}

// known is what is known of a server, without remembering one that is new.
func (b *Balancer) known(key ServerKey) *server {
	if s, ok := b.servers[key]; ok {
		return s
	}
	return &server{key: key}
}

// rests counts a server that rests until a time.
func (c *Closed) rests(until time.Time) {
	if c.Resting == 0 || until.Before(c.Wakes) {
		c.Wakes = until
	}
	c.Resting++
}

// Open are those of some servers that say nothing of themselves which keeps requests away; if none is,
// those that do not leave.
func (b *Balancer) Open(servers []routing.Server, now time.Time) []routing.Server {
	if !b.signals.Any() {
		return servers
	}
	leaves := func(s routing.Server) bool { return b.Said(&s, now).Leaving }
	closed := func(s routing.Server) bool { return b.Said(&s, now).Closed() }
	if !slices.ContainsFunc(servers, closed) {
		return servers
	}
	if open := slices.DeleteFunc(slices.Clone(servers), closed); len(open) > 0 {
		return open
	}
	return slices.DeleteFunc(slices.Clone(servers), leaves)
}

// Said is what a server says of itself in its answers.
func (b *Balancer) Said(s *routing.Server, now time.Time) signals.State {
	return b.signals.Of(signals.KeyOf(s.Life()), now)
}

// warmingUp tells whether a server is taken to warm up: by its own word, or as it was down a short
// while ago while nobody hears of starts.
func (b *Balancer) warmingUp(q *Query, c *routing.Server, s *server, others Load, now time.Time) bool {
	if !q.WarmUp.Limited() {
		return false
	}
	if seenDown(s, others, now) {
		s.down = now
	}
	if q.Unconfirmed && !s.down.IsZero() && now.Sub(s.down) < q.WarmUp.Time+returnMargin {
		return true
	}
	return q.Warm != nil && now.Before(q.Warm(c))
}

// seenDown tells whether boxes agree that a server is down. The word of one box may be due to a cut
// of its own.
func seenDown(s *server, others Load, now time.Time) bool {
	return others.Down >= downLeast || others.Down > 0 && s.health.down(now)
}
