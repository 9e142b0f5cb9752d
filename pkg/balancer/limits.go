package balancer

import (
	"time"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// returnMargin is how long after a server was seen to be down its return is awaited beyond the time
// for which servers warm up: it is down for a while after it was last seen to be.
const returnMargin = time.Second

// limitOf is the rate limit of a server that all boxes keep together, by the stricter of what it bears while
// it warms up and what it signals.
func (b *Balancer) limitOf(q *Query, c *routing.Server, s *server, state signals.State, others Load, now time.Time) fleetlimit.Limit {
	limit := fleetlimit.Limit{}
	if b.limiter == nil {
		return limit
	}
	if b.warmingUp(q, c, s, others, now) {
		limit = fleetlimit.WarmUpLimit(q.WarmUp)
	}
	if state.Limit.Set {
		limit = limit.Stricter(fleetlimit.SignalledLimit(state.Limit.EffectiveRate()))
	}
	return limit
}

// limitNow looks up what limitOf rests on.
func (b *Balancer) limitNow(q *Query, c *routing.Server, now time.Time) fleetlimit.Limit {
	s := b.known(KeyOf(c.Incarnation()))
	return b.limitOf(q, c, s, b.signals.State(s.key, now), b.other(s.key, now), now)
}

// known is what is known of a server, without remembering one that is new.
func (b *Balancer) known(key ServerKey) *server {
	if s, ok := b.servers[key]; ok {
		return s
	}
	return &server{key: key}
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
	if q.ListStale && !s.down.IsZero() && now.Sub(s.down) < q.WarmUp.Duration+returnMargin {
		return true
	}
	return q.WarmUpEnd != nil && now.Before(q.WarmUpEnd(c))
}

// seenDown tells whether boxes agree that a server is down. The word of one box may be due to a cut
// of its own.
func seenDown(s *server, others Load, now time.Time) bool {
	return others.DownReports >= downLeast || others.DownReports > 0 && s.health.down(now)
}
