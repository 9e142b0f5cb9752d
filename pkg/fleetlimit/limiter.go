package fleetlimit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/routing"
)

const (
	// forgetAfter is how long a server is remembered that no choice looks at.
	forgetAfter = time.Minute
	// sweepEach is after how many new servers those that can be forgotten are looked for.
	sweepEach = 64
)

// Limiter is one box's part of the limits of servers.
type Limiter struct {
	box    string
	logger log.Logger

	mu    sync.Mutex
	boxes []string
	ring  *ring
	// known is since when other boxes have been known; zero if they are not.
	known   time.Time
	servers map[routing.Incarnation]*allowance
	added   int
}

// allowance is what this box may send to one server.
type allowance struct {
	limit  Limit
	bucket *rate.Limiter
	// ring is the one by which keeper was worked out.
	ring   *ring
	keeper bool
	// used is when a choice last looked at it.
	used time.Time
}

// New returns a limiter of a box that knows no others yet: it sends nothing to limited servers.
func New(box string, logger log.Logger) *Limiter {
	return &Limiter{box: box, logger: logger, ring: newRing(nil), servers: make(map[routing.Incarnation]*allowance)}
}

// SetBoxes sets the boxes of the fleet, this one included.
func (l *Limiter) SetBoxes(boxes []string, now time.Time) {
	boxes = slices.Sorted(slices.Values(boxes))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.IsZero() {
		l.known = now
	}
	if !slices.Equal(boxes, l.boxes) {
		l.boxes, l.ring = boxes, newRing(boxes)
	}
}

// Allows tells whether this box may send a request now to a server with a limit.
func (l *Limiter) Allows(server routing.Incarnation, limit Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, kept := l.kept(server, limit, now)
	return kept && a.bucket.TokensAt(now) >= 1
}

// Take counts a request to a server with a limit.
func (l *Limiter) Take(server routing.Incarnation, limit Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(server, limit, now).bucket.AllowN(now, 1)
}

// NextAllowed is how many requests a second this box may send to a server with a limit, and when the next one
// may go. The rate is zero for a box that sends it none.
func (l *Limiter) NextAllowed(server routing.Incarnation, limit Limit, now time.Time) (perSecond float64, next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, kept := l.kept(server, limit, now)
	if !kept || a.bucket.Limit() == 0 {
		return 0, time.Time{}
	}
	perSecond = float64(a.bucket.Limit())
	missing := max(0, 1-a.bucket.TokensAt(now))
	return perSecond, now.Add(time.Duration(missing / perSecond * float64(time.Second)))
}

// kept returns the allowance of a server, and whether this box is one of its keepers. The caller holds mu.
func (l *Limiter) kept(server routing.Incarnation, limit Limit, now time.Time) (*allowance, bool) {
	if l.known.IsZero() || now.Sub(l.known) < limit.SettleTime {
		return nil, false
	}
	a := l.of(server, limit, now)
	return a, a.keeper
}

// of returns the allowance of a server. The caller holds mu.
func (l *Limiter) of(server routing.Incarnation, limit Limit, now time.Time) *allowance {
	a, ok := l.servers[server]
	if !ok {
		l.forget(now)
		a = &allowance{}
		l.servers[server] = a
		l.added++
	}
	a.used = now
	if a.bucket == nil || limit.StaggerStart && !a.limit.StaggerStart {
		a.bucket = l.newBucket(limit, now)
	}
	if a.ring != l.ring || a.limit != limit {
		l.update(a, server, limit, now)
	}
	return a
}

// newBucket returns the bucket of a limit that begins to hold. The caller holds mu.
func (l *Limiter) newBucket(limit Limit, now time.Time) *rate.Limiter {
	part, burst := limit.part(l.ring.boxes), limit.burst(l.ring.boxes)
	bucket := rate.NewLimiter(rate.Limit(part), burst)
	if limit.StaggerStart && part > 0 {
		saved := time.Duration(rand.Float64() / part * float64(time.Second))
		bucket.AllowN(now.Add(-saved), burst)
	}
	return bucket
}

// update works an allowance out anew for a limit and the boxes of now. The caller holds mu.
func (l *Limiter) update(a *allowance, server routing.Incarnation, limit Limit, now time.Time) {
	before := a.keeper
	a.ring, a.limit, a.keeper = l.ring, limit, l.ring.has(l.box, server.Hash(), limit.MaxSenders)
	a.bucket.SetLimitAt(now, rate.Limit(limit.part(l.ring.boxes)))
	a.bucket.SetBurstAt(now, limit.burst(l.ring.boxes))
	if a.keeper != before {
		_ = level.Info(l.logger).Log("msg", "keeper of a limited server", "server", server, "keeper", a.keeper, "boxes", l.ring.boxes,
			"keepers", limit.MaxSenders, "per_second", float64(a.bucket.Limit()))
	}
}

// forget drops servers that no choice has looked at for long. The caller holds mu.
func (l *Limiter) forget(now time.Time) {
	if l.added < sweepEach {
		return
	}
	l.added = 0
	for server, a := range l.servers {
		if now.Sub(a.used) > forgetAfter {
			delete(l.servers, server)
		}
	}
}
