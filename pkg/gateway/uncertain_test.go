package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/routing"
)

// certainLater tells the version of connections once that is certain.
type certainLater struct {
	noRestarts
	certain atomic.Bool
}

func (c *certainLater) Version(connection incarnation.Connection, _ time.Time) (string, bool) {
	return connection.Server.Version, c.certain.Load()
}

// registeredStreams keeps streams as a box does.
type registeredStreams struct {
	fakeStreams
	*resumption.Registry
}

func (s registeredStreams) Began(k resumption.Key, o resumption.Origin) {
	s.Put(k, o, true, clock.Now())
}

func (s registeredStreams) Interrupted(k resumption.Key, o resumption.Origin) {
	s.Put(k, o, true, clock.Now())
}

// Guards against a stream that is ambiguous for good since it broke off while its version became certain.
func TestStreamThatBreaksOffAsItBecomesCertainIsKnown(t *testing.T) {
	restarts, streams := &certainLater{}, registeredStreams{Registry: resumption.NewRegistry()}
	g := &Gateway{Deps: Deps{Directory: directory.New(log.NewNopLogger()), Incarnations: restarts, Streams: streams, Logger: log.NewNopLogger()}}
	x := &exchange{gateway: g, service: &routing.Service{Name: "s"}, call: Call{ID: "a"}, firstEventTime: clock.Now()}
	b := &boundStream{
		key: x.streamKey(), certainty: &certainty{}, connection: incarnation.Connection{Server: &routing.Server{ID: "i", Version: "v1"}},
		origin: resumption.Origin{Service: "s", Version: "v1", Uncertain: true},
	}
	x.bound.Store(b)
	streams.Began(b.key, b.origin)
	// The check of uncertain streams has the lock as the stream breaks off.
	g.uncertain.mu.Lock()
	done := make(chan struct{})
	go func() {
		x.keepInterrupted()
		close(done)
	}()
	time.Sleep(50 * time.Millisecond)
	restarts.certain.Store(true)
	require.False(t, b.resolve(restarts, clock.Now()).Uncertain)
	g.uncertain.mu.Unlock()
	g.passOnResolved(b.key, &uncertainStream{boundStream: b, began: clock.Now()}, clock.Now())
	<-done
	origin, ok := streams.Get(b.key, clock.Now())
	assert.True(t, ok)
	assert.Equal(t, resumption.Origin{Service: "s", Version: "v1"}, origin)
}
