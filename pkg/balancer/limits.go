package balancer

import (
	"time"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// warmUpMargin extends the warm-up time of a server that was seen down, because it stays down for
// a while after it was last observed.
const warmUpMargin = time.Second

// rateLimit returns the fleet-wide rate limit of a server: the stricter of its warm-up limit and
// the one that it signals.
func (b *Balancer) rateLimit(q *Query, c *routing.Server, s *server, state signals.State, peers Load, now time.Time) fleetlimit.Limit {
	limit := fleetlimit.Limit{}
	if b.limiter == nil {
		return limit
	}
	if b.warmingUp(q, c, s, peers, now) {
		limit = fleetlimit.WarmUpLimit(q.WarmUp)
	}
	if state.Limit.Set {
		limit = limit.Stricter(fleetlimit.SignalledLimit(state.Limit.EffectiveRate()))
	}
	return limit
}

// currentRateLimit returns the rate limit of a server from its current state.
func (b *Balancer) currentRateLimit(q *Query, c *routing.Server, now time.Time) fleetlimit.Limit {
	s := b.lookup(KeyOf(c.Incarnation()))
	return b.rateLimit(q, c, s, b.signals.State(s.key, now), b.peerLoad(s.key, now), now)
}

// lookup returns the state of a server without adding a new one.
func (b *Balancer) lookup(key ServerKey) *server {
	if s, ok := b.servers[key]; ok {
		return s
	}
	return &server{key: key}
}

// warmingUp reports whether a server is warming up: according to its start time or, while starts
// may go unnoticed, because it was down recently.
func (b *Balancer) warmingUp(q *Query, c *routing.Server, s *server, peers Load, now time.Time) bool {
	if !q.WarmUp.Limited() {
		return false
	}
	if confirmedDown(s, peers, now) {
		s.lastSeenDown = now
	}
	if q.ListStale && !s.lastSeenDown.IsZero() && now.Sub(s.lastSeenDown) < q.WarmUp.Duration+warmUpMargin {
		return true
	}
	return q.WarmUpEnd != nil && now.Before(q.WarmUpEnd(c))
}

// confirmedDown reports whether more than one box sees the server down. A single box may itself be
// cut off.
func confirmedDown(s *server, peers Load, now time.Time) bool {
	return peers.DownReports >= minDownReports || peers.DownReports > 0 && s.health.down(now)
}
