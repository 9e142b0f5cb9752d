package gateway

import (
	"testing"
	"time"

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

func (s *signlessServer) MayHaveRestarted(*routing.Server, bool, time.Time) bool { return false }
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
			x := newSignedExchange(&server.signedServer)
			x.gateway.Incarnations = server
			x.bound.Store(&boundStream{key: x.streamKey(), origin: resumption.Origin{Service: "s", Version: "v1"}})
			assert.ErrorIs(t, x.bindStream(), c.want)
			assert.NotZero(t, server.queries)
		})
	}
}

// Guards against queries for streams that are not interrupted.
func TestNewStreamOfOneVersionAsksNothing(t *testing.T) {
	server := &signlessServer{}
	x := newSignedExchange(&server.signedServer)
	x.gateway.Incarnations = server
	require.NoError(t, x.bindStream())
	assert.False(t, x.bound.Load().resolve(server, clock.Now()).Uncertain)
	assert.Zero(t, server.queries)
}
