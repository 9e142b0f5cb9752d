package balancer

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

// beginLife handles a server that is a candidate for the first time. If it has restarted under its ID, what it has
// signalled since stays in force.
func (b *Balancer) beginLife(s *server, life routing.Incarnation, now time.Time) {
	s.id = life.ID
	before, known := b.latest[life.ID]
	b.latest[life.ID] = life
	if !known || !b.signals.Succeed(before, life, now) {
		return
	}
	if earlier, ok := b.servers[KeyOf(before)]; ok {
		s.rejectedUntil = earlier.rejectedUntil
	}
}
