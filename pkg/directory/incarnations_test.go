package directory

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

func TestServerEntriesTellSinceWhen(t *testing.T) {
	d, start := New(log.NewNopLogger()), time.Unix(1000, 0)
	server := func(started int64, version string, slots int) routing.Server {
		return routing.Server{ID: "a", Service: "s", Address: "10.0.0.1:1", Started: started, Version: version, Slots: slots}
	}
	for i, s := range []routing.Server{server(1, "v1", 1), server(1, "v1", 2), server(2, "v1", 2), server(2, "v2", 2)} {
		d.changeServers([]ServerEvent{{Server: s}}, start.Add(time.Duration(i)*time.Second))
		e, ok := d.ServerEntry("a")
		assert.True(t, ok)
		assert.Equal(t, s.Incarnation(), e.Incarnation)
		assert.Equal(t, s.Version, e.Version)
		want := start.Add(time.Duration(max(1, i)) * time.Second)
		if i < 2 {
			want = start
		}
		assert.Equal(t, want, e.ListedAt, "entry %d", i)
		if i < 2 {
			want = time.Time{}
		}
		assert.Equal(t, want, e.RestartedAt, "entry %d", i)
	}
	d.changeServers([]ServerEvent{{Server: routing.Server{ID: "a"}, Removed: true}}, start.Add(5*time.Second))
	_, ok := d.ServerEntry("a")
	assert.False(t, ok)
}

// Guards against the entry of an earlier incarnation, with its version, that comes with an older copy of the source.
func TestRestoredEntriesOfEarlierIncarnationsAreReported(t *testing.T) {
	d, start := New(log.NewNopLogger()), time.Unix(1000, 0)
	var reported []string
	d.OnRestoredEntry(func(id string, _ time.Time) { reported = append(reported, id) })
	list := func(era, revision uint64, at time.Duration, started int64) {
		r, err := storerev.New(era, revision)
		assert.NoError(t, err)
		d.applyList([]routing.Server{{ID: "a", Service: "s", Address: "10.0.0.1:1", Started: started}, {ID: "b", Service: "s", Address: "10.0.0.2:1"}}, r, start.Add(at))
	}
	list(0, 5, 0, 1)
	list(0, 6, time.Second, 2)
	assert.Empty(t, reported, "a server restarts")
	list(1, 3, 2*time.Second, 1)
	assert.Equal(t, []string{"a"}, reported)
	e, _ := d.ServerEntry("a")
	assert.Zero(t, e.ListedAt, "the entry is not newer than what was known")
	e, _ = d.ServerEntry("b")
	assert.Equal(t, start, e.ListedAt)
}
