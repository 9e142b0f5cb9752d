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
	// uncertainInterval is how often it is checked whether the versions of uncertain streams are certain by now.
	uncertainInterval = 50 * time.Millisecond
	// maxUncertain is the number of streams that are checked. Further ones stay uncertain once they have ended.
	maxUncertain = 4096
)

// uncertainStreams holds the streams, in progress or interrupted, that began where the version of the server was not certain until it
// is, and those whose server has not answered yet.
type uncertainStreams struct {
	mu    sync.Mutex
	byKey map[resumption.Key]*uncertainStream
}

type uncertainStream struct {
	*boundStream
	began       time.Time
	interrupted bool
}

// certainty is the origin of a stream once it was resolved. It does not change after that.
type certainty struct {
	origin atomic.Pointer[resumption.Origin]
}

// addUncertain checks a stream that began until its origin is certain.
func (g *Gateway) addUncertain(b *boundStream) {
	u := &g.uncertain
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKey == nil {
		u.byKey = make(map[resumption.Key]*uncertainStream)
	}
	if len(u.byKey) >= maxUncertain {
		return
	}
	if len(u.byKey) == 0 {
		time.AfterFunc(uncertainInterval, g.checkUncertain)
	}
	u.byKey[b.key] = &uncertainStream{boundStream: b, began: clock.Now()}
	g.Incarnations.Query(b.connection)
}

// markInterrupted records that a stream was interrupted.
func (u *uncertainStreams) markInterrupted(k resumption.Key) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s, ok := u.byKey[k]; ok {
		s.interrupted = true
	}
}

// checkUncertain passes on the origins that were resolved, and goes on while there are others.
func (g *Gateway) checkUncertain() {
	now := clock.Now()
	u := &g.uncertain
	u.mu.Lock()
	resolved := make(map[resumption.Key]*uncertainStream)
	for k, s := range u.byKey {
		switch {
		case !s.origin.Uncertain:
			if s.verify(g.Incarnations, now) {
				delete(u.byKey, k)
			}
			if s.known().Ambiguous {
				resolved[k] = s
			}
		case !s.resolve(g.Incarnations, now).Uncertain:
			resolved[k] = s
			delete(u.byKey, k)
		case now.Sub(s.began) > resumption.Retention:
			delete(u.byKey, k)
		default:
			g.Incarnations.Query(s.connection)
		}
	}
	if len(u.byKey) > 0 {
		time.AfterFunc(uncertainInterval, g.checkUncertain)
	}
	u.mu.Unlock()
	for k, s := range resolved {
		g.passOnResolved(k, s, now)
	}
}

func (g *Gateway) passOnResolved(k resumption.Key, s *uncertainStream, now time.Time) {
	origin := s.resolve(g.Incarnations, now)
	_ = level.Info(g.Logger).Log("msg", "version of a stream was resolved", "ambiguous", origin.Ambiguous, "server", s.connection.Server.ID, "server_version", origin.Version, "interrupted", s.interrupted, "after_ms", now.Sub(s.began).Milliseconds())
	if s.interrupted {
		g.Streams.Interrupted(k, origin)
		return
	}
	g.Streams.Began(k, origin)
}
