package directory

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against a version that is forgotten while streams that began at it may be taken up: by the removal of
// its last server, by that of a leaving one, or as a server comes back with another version.
func TestVersionsAreRememberedForAWhile(t *testing.T) {
	start := time.Now()
	server := func(id, version string, started int64, leaving bool) routing.Server {
		return routing.Server{ID: id, Service: "s", Version: version, Started: started, Leaving: leaving}
	}
	for name, change := range map[string][]ServerEvent{
		"removed": {{Server: server("b", "v1", 0, false), Removed: true}},
		"leaving, then removed": {
			{Server: server("b", "v1", 0, true)}, {Server: server("b", "v1", 0, true), Removed: true},
		},
		"back with another version": {{Server: server("b", "v2", 7, false)}},
	} {
		for _, whole := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				changes := 0
				d := New(log.NewNopLogger())
				d.OnServersChange(func() { changes++ })
				d.setServers([]routing.Server{server("a", "v2", 0, false), server("b", "v1", 0, false)}, start, false)
				assert.ElementsMatch(t, []string{"v1", "v2"}, d.View().Versions("s", start))
				assert.Empty(t, d.View().Versions("other", start))
				at := start.Add(time.Second)
				if whole {
					for _, e := range change {
						if !e.Removed {
							d.setServers([]routing.Server{server("a", "v2", 0, false), e.Server}, at, false)
						} else {
							d.setServers([]routing.Server{server("a", "v2", 0, false)}, at, false)
						}
					}
				} else {
					d.changeServers(change, at)
				}
				assert.ElementsMatch(t, []string{"v1", "v2"}, d.View().Versions("s", at.Add(VersionRetention-time.Second)))
				assert.Equal(t, []string{"v2"}, d.View().Versions("s", at.Add(VersionRetention)))
				assert.GreaterOrEqual(t, changes, 2)
			})
		}
	}
}

// Guards against a version of a service that is forgotten as its last server moves to another service under its ID.
func TestVersionOfServerThatMovedIsRemembered(t *testing.T) {
	for _, whole := range []bool{false, true} {
		start := time.Now()
		d := New(log.NewNopLogger())
		server := routing.Server{ID: "a", Service: "s", Version: "v1", Started: 1}
		d.setServers([]routing.Server{server}, start, false)
		server.Service, server.Started = "other", 2
		at := start.Add(time.Second)
		if whole {
			d.setServers([]routing.Server{server}, at, false)
		} else {
			d.changeServers([]ServerEvent{{Server: server}}, at)
		}
		assert.Equal(t, []string{"v1"}, d.View().Versions("s", at.Add(VersionRetention-time.Second)))
		assert.Empty(t, d.View().Versions("s", at.Add(VersionRetention)))
		assert.Equal(t, []string{"v1"}, d.View().Versions("other", at))
	}
}
