package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/upstream"
)

// fakeRestarts is one server that may have restarted, and the version that connections led to, "" for unknown.
type fakeRestarts struct {
	noRestarts
	restarted, version string
}

func (f *fakeRestarts) MayHaveRestarted(s *routing.Server, _ bool, _ time.Time) bool {
	return s.ID == f.restarted
}

func (f *fakeRestarts) Version(incarnation.Connection, time.Time) (string, bool) {
	return f.version, f.version != ""
}

// Guards against streams whose callers don't name their first call and that share a record.
func TestFirstCallOfAStream(t *testing.T) {
	for name, c := range map[string]struct {
		call Call
		want string
	}{
		"new":                         {Call{ID: "a"}, "a"},
		"new, names a call":           {Call{ID: "a", Resumes: "b"}, "a"},
		"taken up":                    {Call{ID: "a", Resumes: "b", LastEventID: "3"}, "b"},
		"taken up, names no call":     {Call{ID: "a", LastEventID: "3"}, "a"},
		"taken up, neither has an ID": {Call{LastEventID: "3"}, ""},
	} {
		x := &exchange{call: c.call}
		assert.Equal(t, c.want, x.firstCall(), name)
	}
}

func TestOnlyServersOfTheBoundVersionAreCandidates(t *testing.T) {
	servers := []routing.Server{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v1"}}
	restarts := &fakeRestarts{}
	x := &exchange{service: &routing.Service{Name: "s"}, gateway: &Gateway{Deps: Deps{Directory: directory.New(log.NewNopLogger()), Incarnations: restarts}}}
	assert.Len(t, x.ofBoundVersion(servers), 3, "not bound")
	b := &boundStream{resolution: &resolution{}}
	b.origin.Version = "v1"
	x.bound.Store(b)
	assert.Equal(t, []routing.Server{servers[0], servers[2]}, x.ofBoundVersion(servers))
	assert.Equal(t, "b", servers[1].ID, "the list is shared and must not change")
	restarts.restarted = "a"
	assert.Equal(t, servers[2:], x.ofBoundVersion(servers), "a may have restarted with another version")
	restarts.restarted = ""
	b.origin.Uncertain = true
	assert.Empty(t, x.ofBoundVersion(servers))
	restarts.version = "v2"
	assert.Equal(t, servers[1:2], x.ofBoundVersion(servers), "the list tells by now where the stream began")
	b.origin.Ambiguous = true
	assert.Empty(t, x.ofBoundVersion(servers))
}

type fakeStreams struct{ Streams }

func (fakeStreams) Began(resumption.Key, resumption.Origin) {}
func (fakeStreams) SeveralVersions(string) bool             { return false }

// Guards against a stream that stays cut because a server was tried that may have another version.
func TestRejectedServerLeavesStreamBound(t *testing.T) {
	restarts := &fakeRestarts{}
	x := &exchange{
		service: &routing.Service{Name: "s"}, route: &routing.Route{Kind: routing.KindStream, Resumable: true},
		gateway:  &Gateway{Deps: Deps{Directory: directory.New(log.NewNopLogger()), Incarnations: restarts, Streams: fakeStreams{}}},
		response: &upstream.Response{}, end: &attemptEnd{lease: &balancer.Lease{Server: routing.Server{ID: "a", Version: "v1"}}},
	}
	v1 := resumption.Origin{Service: "s", Version: "v1"}
	x.bound.Store(&boundStream{origin: v1})
	assert.ErrorIs(t, x.bindStream(), errUncertainVersion)
	x.checkLife()
	assert.Equal(t, v1, x.bound.Load().origin)
	restarts.version = "v2"
	assert.ErrorIs(t, x.bindStream(), errUncertainVersion)
	restarts.version = "v1"
	assert.NoError(t, x.bindStream())
	restarts.version = ""
	x.checkLife()
	assert.True(t, x.bound.Load().origin.Ambiguous, "events of the server were forwarded, and it may have had another version")
}
