package directory

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against a restored entry of an earlier life that is taken for the server's, with its version and state.
func TestRestoredEntriesOfEarlierLivesAreWithheld(t *testing.T) {
	life := func(id string, started int64, version string, leaving bool) routing.Server {
		return routing.Server{ID: id, Service: "calls", Started: started, Version: version, Leaving: leaving}
	}
	// Clocks of servers jump: a later life may have a lower start time.
	before := []routing.Server{life("leaving", 7, "v1", false), life("ready", 7, "v1", false), life("removed", 7, "v1", false), life("same", 7, "v1", false)}
	later := []ServerEvent{
		{Server: life("ready", 3, "v2", false)}, {Server: life("leaving", 9, "v2", true)},
		{Server: life("removed", 9, "v2", false)}, {Server: routing.Server{ID: "removed"}, Removed: true},
	}
	for name, newer := range map[string]ServerEvent{
		"written again":           later[0],
		"removed by its end":      {Server: routing.Server{ID: "ready"}, Removed: true},
		"written by another life": {Server: life("ready", 4, "v2", false)},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			d := New(log.NewNopLogger())
			candidates := func(at time.Time) map[string]int64 {
				started := make(map[string]int64)
				for _, s := range d.View().Candidates("calls", at, 0) {
					assert.NotContains(t, started, s.ID)
					started[s.ID] = s.Started
				}
				return started
			}
			d.applyList(before, revisionIn(t, 0, 10), now)
			d.ApplyDelta(Delta{From: 10, To: 14, Events: later})
			assert.Equal(t, map[string]int64{"ready": 3, "same": 7}, candidates(now))

			for n := range uint64(2) {
				d.applyList(before, revisionIn(t, 1, 8+n), now)
				assert.Equal(t, map[string]int64{"ready": 3, "same": 7}, candidates(now.Add(recoveryGrace-time.Millisecond)))
			}
			assert.Equal(t, map[string]int64{"same": 7}, candidates(now.Add(recoveryGrace)))
			assert.ElementsMatch(t, []string{"v1", "v2"}, d.View().Versions("calls", now))
			late := now.Add(removedEntryRetention)
			assert.Equal(t, map[string]int64{"leaving": 7, "ready": 7, "removed": 7, "same": 7}, candidates(late), "their entries have not expired, so they run")

			d.ApplyDelta(Delta{From: revisionIn(t, 1, 9), To: revisionIn(t, 1, 10), Events: []ServerEvent{newer}})
			want := map[string]int64{"same": 7}
			if !newer.Removed {
				want["ready"] = newer.Server.Started
			}
			assert.Equal(t, want, candidates(now.Add(recoveryGrace)))
		})
	}
}
