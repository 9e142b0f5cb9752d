package roster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

// fakeStore keeps entries in memory. Calls fail with the given error, if any.
type fakeStore struct {
	mu            sync.Mutex
	entries       map[string]Entry
	err           error
	registrations int
	// revision is returned by reads. Zero means 7.
	revision storerev.Revision
}

func (s *fakeStore) Register(_ context.Context, e Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.registrations++
	s.entries[e.Box] = e
	return nil
}

func (s *fakeStore) Deregister(_ context.Context, e Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[e.Box].Incarnation == e.Incarnation {
		delete(s.entries, e.Box)
	}
	return s.err
}

func (s *fakeStore) ListPage(ctx context.Context, stale bool) ([]Entry, bool, storerev.Revision, error) {
	entries, revision, err := s.List(ctx, stale)
	return entries, false, revision, err
}

func (s *fakeStore) List(_ context.Context, _ bool) ([]Entry, storerev.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e)
	}
	return list, cmp.Or(s.revision, 7), s.err
}

func box(store Store, i int) *Roster {
	return New(store, Entry{Box: fmt.Sprintf("box-%02d", i), Peer: fmt.Sprintf("127.0.0.1:%d", 6000+i)}, stall.Limits{FirstByte: time.Second, Idle: time.Second, Total: time.Second}, log.NewNopLogger())
}

func TestBoxesDiscoverEachOther(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	boxes := make([]*Roster, 10)
	for i := range boxes {
		boxes[i] = box(store, i)
		_, err := boxes[i].Refresh(context.Background())
		require.NoError(t, err)
	}
	readers := 0
	first := make(map[string]int)
	for _, b := range boxes {
		_, err := b.Refresh(context.Background())
		require.NoError(t, err)
		assert.Equal(t, 10, b.Count())
		require.Len(t, b.Peers(), 9)
		first[b.Peers()[0].String()]++
		if b.IsReader() {
			readers++
		}
	}
	assert.Equal(t, readerCount, readers, "all boxes agree on the readers")
	assert.Len(t, first, 10, "each box has a different first peer")
	assert.Equal(t, 10, store.registrations, "one write per start")
}

func TestStoreFailure(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry), err: errors.New("store unavailable")}
	b := box(store, 1)
	_, err := b.Refresh(context.Background())
	assert.Error(t, err)
	assert.Equal(t, 1, b.Count())
	assert.False(t, b.IsReader(), "without a successful read it cannot know that it is alone")
	store.err = nil
	_, err = b.RefreshPageStale(context.Background())
	require.NoError(t, err)
	assert.False(t, b.IsReader(), "a stale read is not sufficient")
	store.revision = 8
	revision, err := b.Refresh(context.Background())
	require.NoError(t, err)
	assert.Equal(t, storerev.Revision(8), revision)
	assert.True(t, b.IsReader(), "a single box is a reader")
}

// Boxes that start at once must not all assume the first rank.
func TestRankIsUnknownBeforeTheRosterIsRead(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	var boxes []*Roster
	for i := range 5 {
		b := box(store, i)
		assert.Greater(t, b.Rank(), 1000)
		assert.False(t, b.IsReader())
		boxes = append(boxes, b)
	}
	ranks := make(map[int]bool)
	for range 2 {
		for _, b := range boxes {
			_, err := b.Refresh(t.Context())
			require.NoError(t, err)
			ranks[b.Rank()] = true
		}
	}
	assert.Equal(t, map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true}, ranks)
}

// A stale read that is older than the known entries must not replace them.
func TestStaleReadsDoNotRevertEntries(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry), revision: 7}
	a, b := box(store, 1), box(store, 2)
	_, err := a.Refresh(t.Context())
	require.NoError(t, err)
	grown, err := b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.True(t, grown)
	assert.Equal(t, 2, b.Count())
	grown, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.False(t, grown, "the entries were known already")
	store.revision = 3
	delete(store.entries, "box-01")
	delete(store.entries, "box-02")
	_, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 2, b.Count(), "the read is older than the known entries")
	store.revision = 9
	registrations := store.registrations
	_, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 1, b.Count())
	_, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.Equal(t, registrations, store.registrations, "only a fresh read shows that the entry was removed")
	_, err = b.Refresh(t.Context())
	require.NoError(t, err)
	_, err = b.Refresh(t.Context())
	require.NoError(t, err)
	assert.Equal(t, registrations+1, store.registrations)
}

func TestNewerIncarnationKeepsItsEntry(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	old, newer := box(store, 1), box(store, 1)
	_, _ = old.Refresh(context.Background())
	_, _ = newer.Refresh(context.Background())
	old.Deregister(context.Background())
	assert.Len(t, store.entries, 1)
	newer.Deregister(context.Background())
	assert.Empty(t, store.entries)
}

// Boxes with the fastest links are chosen as readers, since their data is sent to all others.
func TestReadersHaveFastestLinks(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	var boxes []*Roster
	for i := range 20 {
		b := box(store, i)
		b.self.LinkMbps = 10
		if i%7 == 3 {
			b.self.LinkMbps = 200
		}
		boxes = append(boxes, b)
	}
	for range 2 {
		for _, b := range boxes {
			_, err := b.Refresh(context.Background())
			require.NoError(t, err)
		}
	}
	readers := 0
	for _, b := range boxes {
		if b.IsReader() {
			readers++
			assert.Equal(t, 200.0, b.self.LinkMbps)
		}
	}
	assert.Equal(t, readerCount, readers)
}

// pagedStore returns pages of a limited size.
type pagedStore struct {
	*fakeStore
	pageSize  int
	fullReads int
}

func (s *pagedStore) ListPage(ctx context.Context, stale bool) ([]Entry, bool, storerev.Revision, error) {
	entries, revision, err := s.fakeStore.List(ctx, stale)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Box, b.Box) })
	return entries[:min(s.pageSize, len(entries))], len(entries) > s.pageSize, revision, err
}

func (s *pagedStore) List(ctx context.Context, stale bool) ([]Entry, storerev.Revision, error) {
	s.fullReads++
	return s.fakeStore.List(ctx, stale)
}

// Of many boxes that start at once, only a bounded number reads all entries.
func TestFewBoxesReadAllEntries(t *testing.T) {
	for _, n := range []int{100, 200} {
		store := &pagedStore{fakeStore: &fakeStore{entries: make(map[string]Entry)}, pageSize: 20}
		boxes := make([]*Roster, n)
		for i := range boxes {
			boxes[i] = box(store, i)
			store.entries[boxes[i].self.Box] = boxes[i].self
		}
		candidates := 0
		for _, b := range boxes {
			_, err := b.RefreshPageStale(t.Context())
			require.NoError(t, err)
			assert.False(t, b.Complete())
			assert.False(t, b.IsReader(), "a partial list is not sufficient")
			if b.IsReaderCandidate() {
				candidates++
			}
		}
		assert.Zero(t, store.fullReads)
		checks := 0
		for _, b := range boxes {
			if b.Rank() >= fullReadRanks {
				_, err := b.RefreshByRank(t.Context())
				require.NoError(t, err)
				checks++
			}
		}
		assert.Greater(t, checks, n/2)
		assert.Zero(t, store.fullReads, "checks do not read all entries")
		assert.LessOrEqual(t, candidates, 2*n*readerCount/store.pageSize, "number of reader candidates")
		all, _, err := store.fakeStore.List(t.Context(), false)
		require.NoError(t, err)
		assert.True(t, boxes[n-1].ApplySnapshot(Snapshot{Entries: all, Revision: 7}))
		assert.Equal(t, n, boxes[n-1].Count())
		assert.True(t, boxes[n-1].Complete())
	}
}

// Guards against a box that stays unknown to the others because a restore of the store lost its entry.
func TestBoxRegistersAgainAfterRestore(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	b := box(store, 1)
	_, err := b.Refresh(context.Background())
	require.NoError(t, err)
	delete(store.entries, "box-01")
	store.revision = storerev.StartOf(1) + 5
	b.ObserveEra(1)
	_, err = b.RefreshPageStale(context.Background())
	require.NoError(t, err)
	assert.Contains(t, store.entries, "box-01")
}

// Guards against a roster that ignores the boxes of a restored store, as its revisions are lower.
func TestRosterOfLaterEraIsApplied(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry), revision: 40}
	b := box(store, 1)
	_, err := b.Refresh(context.Background())
	require.NoError(t, err)
	store.entries["box-02"] = Entry{Box: "box-02", Peer: "127.0.0.1:6002"}
	store.revision = storerev.StartOf(1) + 5
	_, err = b.Refresh(context.Background())
	require.NoError(t, err)
	assert.Equal(t, 2, b.Count())
	b.ApplySnapshot(Snapshot{Entries: []Entry{{Box: "box-01"}}, Revision: 41})
	assert.Equal(t, 2, b.Count(), "a roster of an earlier era is ignored")
}

// Guards against boxes with different rosters that take them for the same, and against boxes that never agree.
func TestDigestTellsRostersApart(t *testing.T) {
	digest := func(entries ...Entry) uint64 {
		r := New(nil, Entry{Box: "self"}, stall.Limits{}, log.NewNopLogger())
		r.self.Incarnation = 9
		r.setEntries(append(entries, r.self), 1, false)
		d, complete := r.Digest()
		assert.True(t, complete)
		return d
	}
	a, b, again := Entry{Box: "a", Incarnation: 1}, Entry{Box: "b", Incarnation: 2}, Entry{Box: "b", Incarnation: 3}
	assert.Equal(t, digest(a, b), digest(b, a))
	assert.NotEqual(t, digest(a, b), digest(a))
	assert.NotEqual(t, digest(a, b), digest(a, again))
	_, complete := New(nil, Entry{Box: "self"}, stall.Limits{}, log.NewNopLogger()).Digest()
	assert.False(t, complete, "nothing was read")
}
