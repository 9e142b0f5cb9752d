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
func (b *Balancer) limitOf(q *Query, c *routing.Server, s *server, others Load, now time.Time) fleetlimit.Limit {
	limit := fleetlimit.Limit{}
	if b.limiter == nil {
		return limit
	}
	if b.warmingUp(q, c, s, others, now) {
		limit = fleetlimit.WarmUp(q.WarmUp)
	}
	if named := b.stateOf(c, now).Limit; named.Named {
		limit = limit.Stricter(fleetlimit.Named(named.Rate()))
	}
	return limit
}

// LimitedRate is how many requests a second this box may send to the candidates that a choice leaves
// out as they are limited, and how many candidates these are.
func (b *Balancer) LimitedRate(q Query, now time.Time) (perSecond float64, servers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if slices.Contains(q.Avoid, c.Life()) {
			continue
		}
		s := b.server(KeyOf(c.Life()), now)
		limit := b.limitOf(&q, c, s, b.other(s.key, now), now)
		if limit.None() {
			continue
		}
		servers++
		perSecond += b.limiter.Rate(c.Life(), limit, now)
	}
	return perSecond, servers
}

// Unlimited are those of some servers that name no limit; if all do, all of them.
func (b *Balancer) Unlimited(servers []routing.Server, now time.Time) []routing.Server {
	limited := b.CountLimited(servers, now)
	if limited == 0 || limited == len(servers) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s routing.Server) bool { return b.namesLimit(&s, now) })
}

// CountLimited is how many of some servers name a limit.
func (b *Balancer) CountLimited(servers []routing.Server, now time.Time) int {
	n := 0
	for i := range servers {
		if b.namesLimit(&servers[i], now) {
			n++
		}
	}
	return n
}

func (b *Balancer) namesLimit(s *routing.Server, now time.Time) bool {
	return b.stateOf(s, now).Limit.Named
}

// stateOf is what a server says of itself.
func (b *Balancer) stateOf(s *routing.Server, now time.Time) signals.State {
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
