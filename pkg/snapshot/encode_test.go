package snapshot

import (
	"runtime"
	"testing"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// fakeListSource is a server list whose changes are available from some revision on.
type fakeListSource struct {
	revision, from storerev.Revision
	servers        []routing.Server
	copies         int
}

func (f *fakeListSource) ListSince(since storerev.Revision) (directory.ListCopy, bool) {
	if since < f.from {
		return directory.ListCopy{}, false
	}
	d := &directory.Delta{From: since, To: f.revision, Events: []directory.ServerEvent{{Server: routing.Server{ID: "new"}}}}
	return directory.ListCopy{Revision: f.revision, Delta: d}, true
}

func (f *fakeListSource) ListCopy() directory.ListCopy {
	f.copies++
	return directory.ListCopy{Revision: f.revision, Servers: f.servers}
}

// The number of cached encodings is bounded even if many revisions are requested.
func TestEncodedChangesAreBounded(t *testing.T) {
	var e listEncoder
	l := &fakeListSource{revision: 1000, from: 1}
	for since := range storerev.Revision(10 * maxEncodedLists) {
		list, err := e.get(since+1, 1000, l)
		require.NoError(t, err)
		assert.Equal(t, since+1, list.since)
	}
	assert.LessOrEqual(t, len(e.lists), maxEncodedLists)
	assert.Zero(t, l.copies)
}

// The full list is copied and encoded once for all revisions without available changes, also if
// many changes are requested in between.
func TestFullListIsEncodedOnce(t *testing.T) {
	var e listEncoder
	l := &fakeListSource{revision: 1000, from: 500, servers: listOf(3)}
	for since := range storerev.Revision(900) {
		list, err := e.get(since, 1000, l)
		require.NoError(t, err)
		assert.Equal(t, since >= l.from, list.since == since && since > 0)
	}
	for since := range storerev.Revision(400) {
		_, err := e.get(since, 1000, l)
		require.NoError(t, err)
	}
	assert.Equal(t, 1, l.copies)
}

// Concurrent requests for the same list share one copy.
func TestConcurrentRequestsShareOneCopy(t *testing.T) {
	d := loaded(t, &source{table: tableOf(7, 3), servers: listOf(5000), revision: 9})
	allocated := func(requests int) uint64 {
		s := NewServer(ServerDeps{Directory: d, Logger: log.NewNopLogger()})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var wg conc.WaitGroup
		for range requests {
			wg.Go(func() {
				_, err := s.serveList(t.Context(), request{minRevision: 9})
				assert.NoError(t, err)
			})
		}
		wg.Wait()
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	one := allocated(1)
	for _, requests := range []int{50, 100} {
		assert.Less(t, allocated(requests), 2*one, "%d requests", requests)
	}
}

// A cached list is replaced by a newer one.
func TestNewestListIsSent(t *testing.T) {
	var e listEncoder
	for _, revision := range []storerev.Revision{5, 6} {
		list, err := e.get(0, revision, &fakeListSource{revision: revision, from: 100})
		require.NoError(t, err)
		assert.Equal(t, revision, list.revision)
	}
	list, err := e.get(0, 5, &fakeListSource{revision: 7, from: 100})
	require.NoError(t, err)
	assert.Equal(t, storerev.Revision(6), list.revision, "the cached list is recent enough")
}
