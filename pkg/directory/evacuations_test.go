package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

func serverIn(hall string, i int) routing.Server {
	return routing.Server{ID: fmt.Sprintf("%s-%d", hall, i), Service: "models", Hall: hall}
}

func hallsOf(servers []routing.Server) map[string]int {
	halls := make(map[string]int)
	for _, s := range servers {
		halls[s.Hall]++
	}
	return halls
}

// directoryWithHalls returns a directory with two servers in each of three halls.
func directoryWithHalls(now time.Time) *Directory {
	d := New(log.NewNopLogger())
	var list []routing.Server
	for _, hall := range []string{"east", "north", "west"} {
		list = append(list, serverIn(hall, 0), serverIn(hall, 1))
	}
	d.setServers(list, now, false)
	return d
}

func TestEvacuatedHallGetsNothing(t *testing.T) {
	now := time.Now()
	d := directoryWithHalls(now)
	assert.True(t, d.SetEvacuations(Evacuations{Halls: []string{"east"}, Revision: 7}, now))
	assert.Equal(t, map[string]int{"north": 2, "west": 2}, hallsOf(d.View().Candidates("models", now, time.Second)))
	assert.Equal(t, map[string]int{"east": 2}, hallsOf(d.View().Draining("models")), "caches can still be transferred from draining servers")
	assert.Equal(t, map[string]int{"north": 2, "west": 2}, hallsOf(d.View().Listed("models")), "evacuated servers do not count as capacity")

	// A server added during the evacuation, and one removed.
	d.changeServers([]ServerEvent{{Server: serverIn("east", 2)}, {Server: serverIn("east", 0), Removed: true}}, now)
	assert.NotContains(t, hallsOf(d.View().Candidates("models", now, time.Second)), "east")

	// With all halls evacuated there are no candidates, not even removed servers within their grace.
	d.SetEvacuations(Evacuations{Halls: []string{"east", "north", "west"}, Revision: 8}, now)
	d.changeServers([]ServerEvent{{Server: serverIn("west", 0), Removed: true}}, now)
	assert.Empty(t, d.View().Candidates("models", now, time.Second))

	// An older revision is ignored.
	assert.False(t, d.SetEvacuations(Evacuations{Revision: 7}, now))
	assert.Empty(t, d.View().Candidates("models", now, time.Second))

	// Servers of a restored hall may have become cold.
	warmUp := routing.WarmUp{Duration: 3 * time.Second, PerSecond: 8}
	assert.True(t, d.SetEvacuations(Evacuations{Halls: []string{"east"}, Revision: 9}, now))
	for _, s := range d.View().Candidates("models", now, 0) {
		assert.NotEqual(t, "east", s.Hall)
		assert.WithinDuration(t, time.Now().Add(warmUp.Duration), d.View().WarmUpEnd(&s, warmUp), time.Second)
	}
	unaffected := serverIn("east", 1)
	assert.Zero(t, d.View().WarmUpEnd(&unaffected, warmUp))
}

// Whatever the order of evacuations, server changes and full lists, no candidate may be in a hall
// that is evacuated at the highest revision.
func TestEvacuationsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		d := directoryWithHalls(now)
		halls := []string{"east", "north", "west"}
		var highest Evacuations
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			hall := rapid.SampledFrom(halls).Draw(t, "hall")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				e := Evacuations{Halls: rapid.SliceOfNDistinct(rapid.SampledFrom(halls), 0, 3, rapid.ID).Draw(t, "halls"), Revision: storerev.Revision(rapid.Uint64Range(0, 20).Draw(t, "revision"))}
				// A revision has only one set of halls.
				if e.Revision == highest.Revision {
					continue
				}
				if e.Revision > highest.Revision {
					highest = e
				}
				d.SetEvacuations(e, now)
			case 1:
				d.changeServers([]ServerEvent{{Server: serverIn(hall, rapid.IntRange(0, 4).Draw(t, "server"))}}, now)
			case 2:
				d.changeServers([]ServerEvent{{Server: serverIn(hall, rapid.IntRange(0, 4).Draw(t, "server")), Removed: true}}, now)
			case 3:
				d.setServers([]routing.Server{serverIn("east", 0), serverIn("north", 0), serverIn("west", 0)}, now, false)
			}
			for _, grace := range []time.Duration{0, time.Second} {
				for in := range hallsOf(d.View().Candidates("models", now, grace)) {
					if highest.hallSet()[in] {
						t.Fatalf("candidate in evacuated hall %s; evacuated halls: %v", in, highest.Halls)
					}
				}
			}
		}
	})
}

// A box that copies the list from another box must also receive the evacuated halls.
func TestStartingBoxLearnsEvacuations(t *testing.T) {
	source := &fakeSource{evacuations: Evacuations{Halls: []string{"east"}, Revision: 1}}
	for _, hall := range []string{"east", "west"} {
		source.events = append(source.events, ServerEvent{Server: serverIn(hall, 0)})
	}
	withFollower(t, source, func(_ context.Context, first *Directory) {
		followProvider(t, first, func(second *Directory) {
			assert.Eventually(t, func() bool { return !second.View().ServersConfirmedAt.IsZero() }, 20*time.Second, time.Millisecond)
			assert.Equal(t, map[string]int{"west": 1}, hallsOf(second.View().Candidates("models", time.Now(), 0)))
		})
	})
}

// The remaining warm-up of an entry counts from when the entry was read.
func TestWarmUpCountsFromEntryRead(t *testing.T) {
	now := time.Now()
	d := New(log.NewNopLogger())
	cold := serverIn("east", 0)
	cold.WarmUpRemaining = 3 * time.Second
	d.changeServers([]ServerEvent{{Server: cold}, {Server: serverIn("east", 1)}}, now)
	v, w := d.View(), routing.WarmUp{Duration: 3 * time.Second, PerSecond: 8}
	warm := serverIn("east", 1)
	assert.Zero(t, v.WarmUpEnd(&warm, w))
	assert.Equal(t, now.Add(3*time.Second), v.WarmUpEnd(&cold, w))

	// A warm server may report a new warm-up, and later its end.
	warm.WarmUpRemaining = time.Second
	d.changeServers([]ServerEvent{{Server: warm}}, now.Add(time.Minute))
	assert.Equal(t, now.Add(time.Minute+time.Second), d.View().WarmUpEnd(&warm, w))
	warm.WarmUpRemaining = 0
	d.changeServers([]ServerEvent{{Server: warm}}, now.Add(time.Minute))
	assert.Zero(t, d.View().WarmUpEnd(&warm, w))
}
