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
)

// fixedLists is a list at a revision, of which the changes since some revisions are known.
type fixedLists struct {
	revision, from uint64
	servers        []routing.Server
	copies         int
}

func (f *fixedLists) ListSince(since uint64) (directory.ListCopy, bool) {
	if since < f.from {
		return directory.ListCopy{}, false
	}
	d := &directory.Delta{From: since, To: f.revision, Events: []directory.ServerEvent{{Server: routing.Server{ID: "new"}}}}
	return directory.ListCopy{Revision: f.revision, Delta: d}, true
}

func (f *fixedLists) ListCopy() directory.ListCopy {
	f.copies++
	return directory.ListCopy{Revision: f.revision, Servers: f.servers}
}

// What is encoded for many askers that know different revisions is bounded.
func TestEncodedChangesAreBounded(t *testing.T) {
	var e listEncoder
	l := &fixedLists{revision: 1000, from: 1}
	for since := range uint64(10 * listsKept) {
		list, err := e.from(since+1, 1000, l)
		require.NoError(t, err)
		assert.Equal(t, since+1, list.since)
	}
	assert.LessOrEqual(t, len(e.lists), listsKept)
	assert.Zero(t, l.copies)
}

// The whole list is copied and encoded once for all who can't be told what has changed, whatever they
// know, also beside many who can.
func TestWholeListIsEncodedOnce(t *testing.T) {
	var e listEncoder
	l := &fixedLists{revision: 1000, from: 500, servers: listOf(3)}
	for since := range uint64(900) {
		list, err := e.from(since, 1000, l)
		require.NoError(t, err)
		assert.Equal(t, since >= l.from, list.since == since && since > 0)
	}
	for since := range uint64(400) {
		_, err := e.from(since, 1000, l)
		require.NoError(t, err)
	}
	assert.Equal(t, 1, l.copies)
}

// Boxes that ask for the same list at once cost one copy of it, however many they are.
func TestOneCopyForAllThatAsk(t *testing.T) {
	d := loaded(t, &source{table: tableOf(7, 3), servers: listOf(5000), revision: 9})
	allocated := func(askers int) uint64 {
		s := NewServer(ServerDeps{Directory: d, Logger: log.NewNopLogger()})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var wg conc.WaitGroup
		for range askers {
			wg.Go(func() {
				_, err := s.serveList(t.Context(), question{least: 9})
				assert.NoError(t, err)
			})
		}
		wg.Wait()
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	one := allocated(1)
	for _, askers := range []int{50, 100} {
		assert.Less(t, allocated(askers), 2*one, "%d askers", askers)
	}
}

// The newest list is sent, also where an older one is encoded.
func TestNewestListIsSent(t *testing.T) {
	var e listEncoder
	for _, revision := range []uint64{5, 6} {
		list, err := e.from(0, revision, &fixedLists{revision: revision, from: 100})
		require.NoError(t, err)
		assert.Equal(t, revision, list.revision)
	}
	list, err := e.from(0, 5, &fixedLists{revision: 7, from: 100})
	require.NoError(t, err)
	assert.Equal(t, uint64(6), list.revision, "what is encoded is new enough")
}
