package balancer

import (
	"time"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
)

// returnMargin is how long after a server was seen to be down its return is awaited beyond the time
// for which servers warm up: it is down for a while after it was last seen to be.
const returnMargin = time.Second

// limitOf is what a server takes from all boxes together.
func (b *Balancer) limitOf(q *Query, c *routing.Server, s *server, others Load, now time.Time) fleetlimit.Limit {
	if b.limiter != nil && b.warmingUp(q, c, s, others, now) {
		return fleetlimit.WarmUp(q.WarmUp)
	}
	return fleetlimit.Limit{}
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
