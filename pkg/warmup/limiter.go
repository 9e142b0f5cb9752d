package warmup

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/routing"
)

const (
	// keepers is how many boxes may send to a server that warms up. With two it still gets
	// something where one of them is down.
	keepers = 2
	// keptShare is the part of what a server bears that its keepers send together. The rest is
	// for boxes that do not know yet that it warms up, and for keepers by an older list of boxes.
	keptShare = 0.5
	// burst is how many requests a keeper may send at once.
	burst = 1
	// settleTime is how long a box must have known the other boxes to be a keeper: those that it
	// takes the place of hear of it meanwhile.
	settleTime = 5 * time.Second
	// forgetAfter is how long a server is remembered after its last request.
	forgetAfter = time.Minute
	// sweepEach is after how many new servers those that can be forgotten are looked for.
	sweepEach = 64
)

// Limiter is one box's part of the limits of servers that warm up.
type Limiter struct {
	box    string
	logger log.Logger

	mu    sync.Mutex
	boxes []string
	ring  *ring
	// known is since when other boxes have been known; zero if they are not.
	known   time.Time
	servers map[routing.Life]*allowance
	added   int
}

// allowance is what this box may send to one server.
type allowance struct {
	bucket *rate.Limiter
	ring   *ring
	keeper bool
	used   time.Time
}

// New returns a limiter of a box that knows no others yet: it sends nothing to servers that warm up.
func New(box string, logger log.Logger) *Limiter {
	return &Limiter{box: box, logger: logger, ring: newRing(nil), servers: make(map[routing.Life]*allowance)}
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

// Allows tells whether this box may send a request now to a server that warms up.
func (l *Limiter) Allows(server routing.Life, w routing.WarmUp, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known.IsZero() || now.Sub(l.known) < settleTime {
		return false
	}
	a := l.of(server, w, now)
	return a.keeper && a.bucket.TokensAt(now) >= 1
}

// Take counts a request to a server that warms up.
func (l *Limiter) Take(server routing.Life, w routing.WarmUp, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.of(server, w, now)
	a.used = now
	a.bucket.AllowN(now, 1)
}

// of returns the allowance of a server. The caller holds mu.
func (l *Limiter) of(server routing.Life, w routing.WarmUp, now time.Time) *allowance {
	a, ok := l.servers[server]
	if !ok {
		l.forget(now)
		a = &allowance{used: now, bucket: rate.NewLimiter(rate.Limit(w.PerSecond*keptShare/keepers), burst)}
		l.servers[server] = a
		l.added++
	}
	if a.ring != l.ring {
		before := a.keeper
		a.ring, a.keeper = l.ring, l.ring.has(l.box, server.Hash(), keepers)
		if a.keeper != before {
			_ = level.Info(l.logger).Log("msg", "keeper of a server that warms up", "server", server, "keeper", a.keeper, "boxes", l.ring.boxes, "per_second", float64(a.bucket.Limit()))
		}
	}
	return a
}

// forget drops servers that got nothing for long. The caller holds mu.
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
