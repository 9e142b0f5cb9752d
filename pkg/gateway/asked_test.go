package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/routing"
)

// signlessServer is a server of a service with one version, of which there was no sign that it may have restarted. It answers the
// first query with then.
type signlessServer struct {
	signedServer
	then    serverAnswer
	queries int
}

// newEngineExchange returns a request for a stream of engines, which tell when their processes started.
func newEngineExchange(server *signedServer) *exchange {
	x := newSignedExchange(server)
	x.service.Engine = true
	return x
}

func (s *signlessServer) MayHaveRestarted(*routing.Server, bool, time.Time) bool { return false }
func (s *signlessServer) Proved(incarnation.Connection) bool                     { return false }
func (s *signlessServer) Reliable(incarnation.Connection, time.Time) bool        { return !s.current().denied }

func (s *signlessServer) Query(incarnation.Connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries++
	s.answer = s.then
	return s.queries == 1
}

// Guards against events of the first server of a version for a stream that goes on, where nothing but the server tells of its restart.
func TestStreamDoesNotGoOnAtServerThatDeniesItsEntryWithoutSign(t *testing.T) {
	for name, c := range map[string]struct {
		answer serverAnswer
		want   error
	}{
		"confirmed": {serverAnswer{proved: true}, nil},
		"denied":    {serverAnswer{denied: true}, errUncertainVersion},
	} {
		t.Run(name, func(t *testing.T) {
			server := &signlessServer{then: c.answer}
			x := newEngineExchange(&server.signedServer)
			x.gateway.Incarnations = server
			x.bound.Store(&boundStream{key: x.streamKey(), origin: resumption.Origin{Service: "s", Version: "v1"}})
			assert.ErrorIs(t, x.bindStream(), c.want)
			assert.NotZero(t, server.queries)
		})
	}
}

// Guards against queries of servers that don't know them, for each stream that goes on.
func TestServersThatAreNoEnginesAreNotAskedWithoutSign(t *testing.T) {
	server := &signlessServer{}
	x := newSignedExchange(&server.signedServer)
	x.gateway.Incarnations = server
	require.NoError(t, x.bindStream())
	x.checkLife()
	x.end = &attemptEnd{lease: x.end.lease}
	require.NoError(t, x.bindStream())
	assert.Zero(t, server.queries)
}

// Guards against queries for streams that are not interrupted.
func TestNewStreamOfOneVersionAsksNothing(t *testing.T) {
	server := &signlessServer{}
	x := newEngineExchange(&server.signedServer)
	x.gateway.Incarnations = server
	require.NoError(t, x.bindStream())
	assert.False(t, x.bound.Load().resolve(server, clock.Now()).Uncertain)
	assert.Zero(t, server.queries)
}

// laterServer is a server of a service with one version, whose process was not proved as a stream began, and which answers later.
type laterServer struct {
	signedServer
	listProves bool
}

func (s *laterServer) MayHaveRestarted(*routing.Server, bool, time.Time) bool { return false }
func (s *laterServer) Reliable(incarnation.Connection, time.Time) bool        { return true }
func (s *laterServer) Proved(incarnation.Connection) bool                     { return s.listProves }

func (s *laterServer) VersionAsked(c incarnation.Connection) (string, bool) {
	a := s.current()
	switch {
	case a.denied && s.listProves:
		return "v2", true
	case a.denied:
		return "", false
	}
	return c.Server.Version, true
}

// Guards against streams of one version that began at the first server of another one, and that go on at servers of the version in its
// entry, and against those that are refused though their server runs, is gone or can't be asked.
func TestServerOfInterruptedStreamIsAsked(t *testing.T) {
	certain := resumption.Origin{Service: "s", Version: "v1"}
	uncertain, ambiguous := certain, certain
	uncertain.Uncertain, ambiguous.Ambiguous = true, true
	none := func(*laterServer) {}
	for name, c := range map[string]struct {
		before, after func(*laterServer)
		broken, later resumption.Origin
		// wait is how long after the break the origin is looked at.
		wait time.Duration
	}{
		"list proves the connection": {before: func(s *laterServer) { s.listProves = true }, after: none, broken: certain, later: certain},
		"can't be asked":             {before: func(s *laterServer) { s.set(serverAnswer{}) }, after: none, broken: certain, later: certain},
		"no answer yet":              {before: none, after: none, broken: uncertain, later: uncertain},
		"no answer comes":            {before: none, after: none, broken: uncertain, later: certain, wait: maxProofWait + time.Second},
		"its process runs":           {before: none, after: func(s *laterServer) { s.set(serverAnswer{answerable: true, proved: true}) }, broken: uncertain, later: certain},
		"another process":            {before: none, after: func(s *laterServer) { s.set(serverAnswer{denied: true}) }, broken: uncertain, later: uncertain, wait: time.Minute},
		"another process, listed by now": {before: none, after: func(s *laterServer) {
			s.set(serverAnswer{denied: true})
			s.listProves = true
		}, broken: uncertain, later: ambiguous},
	} {
		t.Run(name, func(t *testing.T) {
			server := &laterServer{}
			server.set(serverAnswer{answerable: true})
			streams := &severalStreams{registeredStreams: registeredStreams{Registry: resumption.NewRegistry()}}
			x := newEngineExchange(&server.signedServer)
			x.gateway.Incarnations, x.gateway.Streams, x.firstEventTime = server, streams, clock.Now()
			c.before(server)
			require.NoError(t, x.bindStream())
			_, recorded := streams.Get(x.streamKey(), clock.Now())
			assert.False(t, recorded, "a stream that is not interrupted costs nothing")
			x.checkLife()
			assert.Equal(t, c.broken, x.bound.Load().origin, "as it broke off")
			candidates := x.ofBoundVersion([]routing.Server{{ID: "j", Version: "v1"}})
			assert.Len(t, candidates, 1, "the request is sent on while the answer is awaited")
			c.after(server)
			now := clock.Now().Add(c.wait)
			assert.Equal(t, c.later, x.bound.Load().resolve(server, now))
			x.keepInterrupted()
			origin, _ := streams.Get(x.streamKey(), clock.Now())
			assert.Equal(t, c.later, origin, "as it is passed on")
		})
	}
}

// Guards against events for a stream whose server turned out to run as another process while the stream was sent on.
func TestStreamThatWasSentOnGetsNoEventsOnceItsServerDenies(t *testing.T) {
	server := &laterServer{}
	server.set(serverAnswer{answerable: true})
	x := newEngineExchange(&server.signedServer)
	x.gateway.Incarnations = server
	require.NoError(t, x.bindStream())
	x.checkLife()
	x.end = &attemptEnd{lease: x.end.lease}
	time.AfterFunc(50*time.Millisecond, func() { server.set(serverAnswer{denied: true}) })
	assert.ErrorIs(t, x.bindStream(), errUncertainVersion)
	assert.Empty(t, x.ofBoundVersion([]routing.Server{{ID: "j", Version: "v1"}}))
}

func (s *laterServer) Version(c incarnation.Connection, _ time.Time) (string, bool) {
	return c.Server.Version, !s.current().denied
}

// Guards against streams that go on at the version of an entry which their server denies, where the second version appeared while
// they were in progress.
func TestServerOfInterruptedStreamIsAskedAfterSecondVersionAppeared(t *testing.T) {
	for name, denied := range map[string]bool{"its process runs": false, "another process": true} {
		t.Run(name, func(t *testing.T) {
			server := &laterServer{}
			server.set(serverAnswer{answerable: true})
			streams := &severalStreams{registeredStreams: registeredStreams{Registry: resumption.NewRegistry()}}
			x := newEngineExchange(&server.signedServer)
			x.gateway.Incarnations, x.gateway.Streams, x.firstEventTime = server, streams, clock.Now()
			require.NoError(t, x.bindStream())
			streams.several.Store(true)
			x.keepInterrupted()
			server.set(serverAnswer{denied: denied, proved: !denied})
			x.gateway.checkStreams()
			origin, _ := streams.Get(x.streamKey(), clock.Now())
			assert.Equal(t, resumption.Origin{Service: "s", Version: "v1", Ambiguous: denied}, origin)
		})
	}
}

// Guards against streams that go on at the version of an entry which another process had denied by the time at which they broke off, and
// shortly before.
func TestStreamOfServerThatDeniedItsEntryJustBeforeTheBreak(t *testing.T) {
	uncertain := resumption.Origin{Service: "s", Version: "v1", Uncertain: true}
	for listed, later := range map[string]resumption.Origin{
		"":   uncertain,
		"v1": {Service: "s", Version: "v1"},
		"v2": {Service: "s", Version: "v1", Ambiguous: true},
	} {
		t.Run("listed "+listed, func(t *testing.T) {
			now := clock.Now()
			server := routing.Server{ID: "i", Address: "127.0.0.1:1", Version: "v1", Started: 1}
			list := newRestartedList(incarnation.Entry{Incarnation: server.Incarnation(), Version: "v1", ListedAt: now.Add(-time.Hour)})
			tracker := incarnation.New(incarnation.Deps{
				List: list, Started: now.Add(-time.Hour), Logger: log.NewNopLogger(), Announce: func(incarnation.Restart) {},
				Alive:      func(routing.Incarnation, time.Time, time.Time) bool { return false },
				Lifetime:   func(routing.Incarnation, time.Time) (_, _ time.Time, ok bool) { return },
				LinkFailed: func(string) bool { return false },
				Query:      func(*routing.Server) bool { return true },
			})
			streams := &severalStreams{registeredStreams: registeredStreams{Registry: resumption.NewRegistry()}}
			x := newEngineExchange(&signedServer{})
			x.gateway.Incarnations, x.gateway.Streams = tracker, streams
			x.end.lease.Server, x.response.ConnOpened, x.firstEventTime = server, now, now
			require.NoError(t, x.bindStream())
			tracker.RecordRemote("b", incarnation.Restart{Server: "i", At: now.Add(40 * time.Millisecond), Certain: true})
			tracker.RecordReport(&server, incarnation.Answer{Started: 2, Sent: now.Add(90 * time.Millisecond), Received: now.Add(91 * time.Millisecond)})
			brokenAt := now.Add(120 * time.Millisecond)
			x.end.reportedAt.Store(&brokenAt)
			x.keepInterrupted()
			origin, _ := streams.Get(x.streamKey(), clock.Now())
			assert.Equal(t, uncertain, origin, "as it broke off")
			if listed != "" {
				list.entry.Store(&incarnation.Entry{Incarnation: routing.Incarnation{ID: "i", Started: 2}, Version: listed, ListedAt: now.Add(2 * time.Second)})
			}
			x.gateway.checkStreams()
			origin, _ = streams.Get(x.streamKey(), clock.Now())
			assert.Equal(t, later, origin, "later")
		})
	}
}
