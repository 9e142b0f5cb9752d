package fleetlimit

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/routing"
)

const (
	// idleTTL is how long the state of a server is kept after its last use.
	idleTTL = time.Minute
	// sweepAfterAdds is the number of added servers after which idle ones are evicted.
	sweepAfterAdds = 64
)

// Limiter enforces one box's share of the limits of servers.
type Limiter struct {
	box    string
	logger log.Logger

	mu    sync.Mutex
	boxes []string
	ring  *ring
	// boxesKnownSince is when SetBoxes was first called; zero if it has not been.
	boxesKnownSince time.Time
	servers         map[routing.Incarnation]*allowance
	addedSinceSweep int
}

// allowance is what this box may send to one server.
type allowance struct {
	limit  Limit
	bucket *rate.Limiter
	// ring is the ring from which isSender was computed.
	ring     *ring
	isSender bool
	// lastUsed is when the allowance was last looked up.
	lastUsed time.Time
}

// New returns a limiter that does not know the other boxes yet: until SetBoxes is called, nothing is
// sent to limited servers.
func New(box string, logger log.Logger) *Limiter {
	return &Limiter{box: box, logger: logger, ring: newRing(nil), servers: make(map[routing.Incarnation]*allowance)}
}

// SetBoxes sets the boxes of the fleet, including this one.
func (l *Limiter) SetBoxes(boxes []string, now time.Time) {
	boxes = slices.Sorted(slices.Values(boxes))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.boxesKnownSince.IsZero() {
		l.boxesKnownSince = now
	}
	if !slices.Equal(boxes, l.boxes) {
		l.boxes, l.ring = boxes, newRing(boxes)
	}
}

// Allows reports whether this box may send a request to a server with a limit now.
func (l *Limiter) Allows(server routing.Incarnation, limit Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, isSender := l.senderAllowance(server, limit, now)
	return isSender && a.bucket.TokensAt(now) >= 1
}

// Boxes returns the number of boxes, zero until SetBoxes is called.
func (l *Limiter) Boxes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.boxes
}

// Share returns this box's part of places at a server that all boxes share. The parts of all boxes with
// the same list of boxes add up to the total.
func (l *Limiter) Share(server routing.Incarnation, total int) int {
	return l.share(server.Hash(), total)
}

// Turn is like Share for places that are shared anew in each turn: those that are left over when all
// boxes have equal parts go to other boxes each time.
func (l *Limiter) Turn(server routing.Incarnation, total int, turn int64) int {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], server.Hash())
	binary.LittleEndian.PutUint64(key[8:], uint64(turn))
	return l.share(xxhash.Sum64(key[:]), total)
}

// share returns this box's part of a total, with what is left over given to the boxes after a key on the
// ring.
func (l *Limiter) share(key uint64, total int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ring.boxes == 0 || total <= 0 {
		return 0
	}
	share, rest := total/l.ring.boxes, total%l.ring.boxes
	if rest > 0 && l.ring.selects(l.box, key, rest) {
		share++
	}
	return share
}

// Take counts a request sent to a server with a limit.
func (l *Limiter) Take(server routing.Incarnation, limit Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowanceFor(server, limit, now).bucket.AllowN(now, 1)
}

// NextAllowed returns the rate, in requests per second, at which this box may send to a server with a
// limit, and when the next request may be sent. The rate is zero if this box is not a sender.
func (l *Limiter) NextAllowed(server routing.Incarnation, limit Limit, now time.Time) (perSecond float64, next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, isSender := l.senderAllowance(server, limit, now)
	if !isSender || a.bucket.Limit() == 0 {
		return 0, time.Time{}
	}
	perSecond = float64(a.bucket.Limit())
	missing := max(0, 1-a.bucket.TokensAt(now))
	return perSecond, now.Add(time.Duration(missing / perSecond * float64(time.Second)))
}

// senderAllowance returns the allowance of a server, and whether this box is one of its senders. The
// caller holds mu.
func (l *Limiter) senderAllowance(server routing.Incarnation, limit Limit, now time.Time) (*allowance, bool) {
	if l.boxesKnownSince.IsZero() || now.Sub(l.boxesKnownSince) < limit.SettleTime {
		return nil, false
	}
	a := l.allowanceFor(server, limit, now)
	return a, a.isSender
}

// allowanceFor returns the allowance of a server, creating it if needed. The caller holds mu.
func (l *Limiter) allowanceFor(server routing.Incarnation, limit Limit, now time.Time) *allowance {
	a, ok := l.servers[server]
	if !ok {
		l.evictIdle(now)
		a = &allowance{}
		l.servers[server] = a
		l.addedSinceSweep++
	}
	a.lastUsed = now
	if a.bucket == nil || limit.StaggerStart && !a.limit.StaggerStart {
		a.bucket = l.newBucket(limit, now)
	}
	if a.ring != l.ring || a.limit != limit {
		l.update(a, server, limit, now)
	}
	return a
}

// newBucket returns a token bucket for a limit that starts to apply. The caller holds mu.
func (l *Limiter) newBucket(limit Limit, now time.Time) *rate.Limiter {
	perSecond, burst := limit.ratePerSender(l.ring.boxes), limit.burstSize(l.ring.boxes)
	bucket := rate.NewLimiter(rate.Limit(perSecond), burst)
	if limit.StaggerStart && perSecond > 0 {
		accrued := time.Duration(rand.Float64() / perSecond * float64(time.Second))
		bucket.AllowN(now.Add(-accrued), burst)
	}
	return bucket
}

// update recomputes an allowance for a limit and the current boxes. The caller holds mu.
func (l *Limiter) update(a *allowance, server routing.Incarnation, limit Limit, now time.Time) {
	wasSender := a.isSender
	a.ring, a.limit, a.isSender = l.ring, limit, l.ring.selects(l.box, server.Hash(), limit.MaxSenders)
	a.bucket.SetLimitAt(now, rate.Limit(limit.ratePerSender(l.ring.boxes)))
	a.bucket.SetBurstAt(now, limit.burstSize(l.ring.boxes))
	if a.isSender != wasSender {
		_ = level.Info(l.logger).Log("msg", "sender role for limited server changed", "server", server, "keeper", a.isSender, "boxes", l.ring.boxes,
			"keepers", limit.MaxSenders, "per_second", float64(a.bucket.Limit()))
	}
}

// evictIdle evicts servers that have not been used for idleTTL. The caller holds mu.
func (l *Limiter) evictIdle(now time.Time) {
	if l.addedSinceSweep < sweepAfterAdds {
		return
	}
	l.addedSinceSweep = 0
	for server, a := range l.servers {
		if now.Sub(a.lastUsed) > idleTTL {
			delete(l.servers, server)
		}
	}
}
