package directory

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Boxes open tunnels to listed servers only, also to those that are leaving.
func TestServerAt(t *testing.T) {
	d := New(log.NewNopLogger())
	ready, leaving := serverIn("east", 0), serverIn("west", 1)
	ready.Address, leaving.Address, leaving.Leaving = "192.0.2.1:80", "192.0.2.2:80", true
	d.applyList([]routing.Server{ready, leaving}, 1, time.Now())
	for address, hall := range map[string]string{ready.Address: "east", leaving.Address: "west", "192.0.2.3:80": ""} {
		s, ok := d.View().ServerAt(address)
		assert.Equal(t, hall != "", ok, address)
		assert.Equal(t, hall, s.Hall, address)
	}
	other, ok := d.View().AnyOther(leaving.Address)
	assert.True(t, ok)
	assert.Equal(t, ready.Address, other.Address)
	_, ok = d.View().AnyOther(ready.Address)
	assert.False(t, ok, "a leaving server gets no further connections")
}

// Guards against a server that has ended and is taken for the one of another service, or for its own later life, that
// has its address now.
func TestServerAtReusedAddress(t *testing.T) {
	now := time.Now()
	const address = "192.0.2.1:80"
	server := func(id, service string) routing.Server {
		return routing.Server{ID: id, Service: service, Address: address, Started: 1}
	}
	leaving := server("c", "third")
	leaving.Leaving = true
	for range 20 {
		d := New(log.NewNopLogger())
		d.applyList([]routing.Server{server("a", "first"), server("b", "second")}, 1, now)
		d.ApplyDelta(Delta{From: 1, To: 2, Events: []ServerEvent{{Server: routing.Server{ID: "a"}, Removed: true}}})
		s, ok := d.View().ServerAt(address)
		assert.True(t, ok)
		assert.Equal(t, "b", s.ID)
		d.ApplyDelta(Delta{From: 2, To: 4, Events: []ServerEvent{{Server: routing.Server{ID: "b"}, Removed: true}, {Server: leaving}}})
		s, _ = d.View().ServerAt(address)
		assert.Equal(t, "c", s.ID)
		time.Sleep(time.Millisecond)
		d.ApplyDelta(Delta{From: 4, To: 5, Events: []ServerEvent{{Server: routing.Server{ID: "c"}, Removed: true}}})
		s, _ = d.View().ServerAt(address)
		assert.Equal(t, "b", s.ID, "the last one that may still be used")
	}
}
