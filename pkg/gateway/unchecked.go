package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/resumption"
)

const (
	// uncheckedInterval is how often it is checked whether the origins of unchecked streams can be resolved. lateInterval applies to
	// streams that began longer ago than maxAnswerWait.
	uncheckedInterval = 25 * time.Millisecond
	lateInterval      = 500 * time.Millisecond
	// maxUnchecked is the number of streams that are checked. Further ones stay uncertain once they have ended.
	maxUnchecked = 4096
)

// uncheckedStreams holds the streams, in progress or interrupted, whose origin is to be checked: uncertain ones, and those whose server
// was asked and has not answered.
type uncheckedStreams struct {
	mu    sync.Mutex
	byKey map[resumption.Key]*uncheckedStream
}

type uncheckedStream struct {
	*boundStream
	began, checked time.Time
	interrupted    bool
}

// resolution is the origin of a stream as it was found later: certain, or ambiguous. It is set once.
type resolution struct {
	origin atomic.Pointer[resumption.Origin]
}

func (r *resolution) set(o resumption.Origin) { r.origin.CompareAndSwap(nil, &o) }

// hasRoom reports whether another stream can be checked.
func (u *uncheckedStreams) hasRoom() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.byKey) < maxUnchecked
}

// addUnchecked checks a stream that began until its origin is resolved, or stands.
func (g *Gateway) addUnchecked(b *boundStream) {
	u := &g.unchecked
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKey == nil {
		u.byKey = make(map[resumption.Key]*uncheckedStream)
	}
	if len(u.byKey) >= maxUnchecked {
		return
	}
	if len(u.byKey) == 0 {
		time.AfterFunc(uncheckedInterval, g.checkStreams)
	}
	u.byKey[b.key] = &uncheckedStream{boundStream: b, began: clock.Now()}
	g.Incarnations.Query(b.connection)
}

// markInterrupted records that a stream was interrupted.
func (u *uncheckedStreams) markInterrupted(k resumption.Key) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s, ok := u.byKey[k]; ok {
		s.interrupted = true
	}
}

// checkStreams passes on the origins that were resolved, and goes on while there are others.
func (g *Gateway) checkStreams() {
	now := clock.Now()
	u := &g.unchecked
	u.mu.Lock()
	resolved := make(map[resumption.Key]*uncheckedStream)
	for k, s := range u.byKey {
		if now.Sub(s.began) > maxAnswerWait && now.Sub(s.checked) < lateInterval {
			continue
		}
		s.checked = now
		origin, over := g.checkStream(s, now)
		if origin != s.origin {
			resolved[k] = s
		}
		if over || now.Sub(s.began) > resumption.Retention {
			delete(u.byKey, k)
		}
	}
	if len(u.byKey) > 0 {
		time.AfterFunc(uncheckedInterval, g.checkStreams)
	}
	u.mu.Unlock()
	for k, s := range resolved {
		g.passOnResolved(k, s, now)
	}
}

// checkStream returns the origin of a stream, and whether the check is over.
func (g *Gateway) checkStream(s *uncheckedStream, now time.Time) (origin resumption.Origin, over bool) {
	if !s.origin.Uncertain {
		over = s.checkAnswer(g.Incarnations, now)
		return s.known(), over
	}
	origin = s.resolve(g.Incarnations, now)
	if origin.Uncertain {
		g.Incarnations.Query(s.connection)
	}
	return origin, !origin.Uncertain
}

// passOnResolved passes on the origin of a stream that is another one than was recorded when it began.
func (g *Gateway) passOnResolved(k resumption.Key, s *uncheckedStream, now time.Time) {
	origin, msg := s.known(), "version of a stream is certain"
	if origin.Ambiguous {
		msg = "stream began at another version than was recorded"
	}
	_ = level.Info(g.Logger).Log("msg", msg, "server", s.connection.Server.ID, "server_version", origin.Version, "interrupted", s.interrupted, "after_ms", now.Sub(s.began).Milliseconds())
	if s.interrupted {
		g.Streams.Interrupted(k, origin)
		return
	}
	g.Streams.Began(k, origin)
}
