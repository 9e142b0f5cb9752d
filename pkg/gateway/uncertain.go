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
	uncertainInterval = 100 * time.Millisecond
	// maxUncertain is the number of streams that are checked. Further ones stay uncertain once they have ended.
	maxUncertain = 4096
)

// uncertainStreams holds the streams that began where the version of the server was not certain, in progress or interrupted,
// until it is.
type uncertainStreams struct {
	mu    sync.Mutex
	byKey map[resumption.Key]*uncertainStream
}

type uncertainStream struct {
	*boundStream
	began       time.Time
	interrupted bool
}

// certainty is the origin of an uncertain stream once it is known. It does not change after that.
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

// checkUncertain passes on the origins that are certain by now, and goes on while there are others.
func (g *Gateway) checkUncertain() {
	now := clock.Now()
	u := &g.uncertain
	u.mu.Lock()
	certain := make(map[resumption.Key]*uncertainStream)
	for k, s := range u.byKey {
		switch {
		case !s.resolve(g.Incarnations, now).Uncertain:
			certain[k] = s
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
	for k, s := range certain {
		g.passOnCertain(k, s, now)
	}
}

func (g *Gateway) passOnCertain(k resumption.Key, s *uncertainStream, now time.Time) {
	origin := s.resolve(g.Incarnations, now)
	_ = level.Info(g.Logger).Log("msg", "version of a stream is certain", "server", s.connection.Server.ID, "server_version", origin.Version, "interrupted", s.interrupted, "after_ms", now.Sub(s.began).Milliseconds())
	if s.interrupted {
		g.Streams.Interrupted(k, origin)
		return
	}
	g.Streams.Began(k, origin)
}
