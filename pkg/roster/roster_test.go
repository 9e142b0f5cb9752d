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
)

// fakeStore keeps entries in memory and fails when told to.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]Entry
	err     error
	entered int
	// revision is what readings tell; zero stands for seven.
	revision uint64
}

func (s *fakeStore) Register(_ context.Context, e Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.entered++
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

func (s *fakeStore) ListPage(ctx context.Context, stale bool) ([]Entry, bool, uint64, error) {
	entries, revision, err := s.List(ctx, stale)
	return entries, false, revision, err
}

func (s *fakeStore) List(_ context.Context, _ bool) ([]Entry, uint64, error) {
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

func TestBoxesFindEachOther(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	boxes := make([]*Roster, 10)
	for i := range boxes {
		boxes[i] = box(store, i)
		_, err := boxes[i].Refresh(context.Background())
		require.NoError(t, err)
	}
	watching := 0
	first := make(map[string]int)
	for _, b := range boxes {
		_, err := b.Refresh(context.Background())
		require.NoError(t, err)
		assert.Equal(t, 10, b.Count())
		require.Len(t, b.Peers(), 9)
		first[b.Peers()[0].String()]++
		if b.IsReader() {
			watching++
		}
	}
	assert.Equal(t, readers, watching, "all agree on who watches")
	assert.Len(t, first, 10, "each tells another one first")
	assert.Equal(t, 10, store.entered, "one write a start")
}

func TestStoreThatFails(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry), err: errors.New("away")}
	b := box(store, 1)
	_, err := b.Refresh(context.Background())
	assert.Error(t, err)
	assert.Equal(t, 1, b.Count())
	assert.False(t, b.IsReader(), "it does not know yet that it is alone")
	store.err = nil
	_, err = b.RefreshPageStale(context.Background())
	require.NoError(t, err)
	assert.False(t, b.IsReader(), "a stale reading does not tell either")
	store.revision = 8
	revision, err := b.Refresh(context.Background())
	require.NoError(t, err)
	assert.Equal(t, uint64(8), revision)
	assert.True(t, b.IsReader(), "alone it watches for itself")
}

// Hundreds of boxes that start at once must not all take themselves for the first one.
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

// A stale reading costs little, and may be older than what is known.
func TestStaleReadingsUndoNothing(t *testing.T) {
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
	assert.False(t, grown, "it was known")
	store.revision = 3
	delete(store.entries, "box-01")
	delete(store.entries, "box-02")
	_, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 2, b.Count(), "older than what is known")
	store.revision = 9
	entered := store.entered
	_, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 1, b.Count())
	_, err = b.RefreshPageStale(t.Context())
	require.NoError(t, err)
	assert.Equal(t, entered, store.entered, "only a fresh reading tells that it was taken out")
	_, err = b.Refresh(t.Context())
	require.NoError(t, err)
	_, err = b.Refresh(t.Context())
	require.NoError(t, err)
	assert.Equal(t, entered+1, store.entered)
}

func TestLaterLifeKeepsItsEntry(t *testing.T) {
	store := &fakeStore{entries: make(map[string]Entry)}
	old, young := box(store, 1), box(store, 1)
	_, _ = old.Refresh(context.Background())
	_, _ = young.Refresh(context.Background())
	old.Deregister(context.Background())
	assert.Len(t, store.entries, 1)
	young.Deregister(context.Background())
	assert.Empty(t, store.entries)
}

// What readers read is news for all others: over a slow link it would be late twice.
func TestBoxesWithTheFastestLinksRead(t *testing.T) {
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
	reading := 0
	for _, b := range boxes {
		if b.IsReader() {
			reading++
			assert.Equal(t, 200.0, b.self.LinkMbps)
		}
	}
	assert.Equal(t, readers, reading)
}

// pagedStore gives so many entries at once.
type pagedStore struct {
	*fakeStore
	page  int
	whole int
}

func (s *pagedStore) ListPage(ctx context.Context, stale bool) ([]Entry, bool, uint64, error) {
	entries, revision, err := s.fakeStore.List(ctx, stale)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Box, b.Box) })
	return entries[:min(s.page, len(entries))], len(entries) > s.page, revision, err
}

func (s *pagedStore) List(ctx context.Context, stale bool) ([]Entry, uint64, error) {
	s.whole++
	return s.fakeStore.List(ctx, stale)
}

// Of many boxes that start at once few read all entries, however many there are.
func TestFewReadAllEntries(t *testing.T) {
	for _, n := range []int{100, 200} {
		store := &pagedStore{fakeStore: &fakeStore{entries: make(map[string]Entry)}, page: 20}
		boxes := make([]*Roster, n)
		for i := range boxes {
			boxes[i] = box(store, i)
			store.entries[boxes[i].self.Box] = boxes[i].self
		}
		may := 0
		for _, b := range boxes {
			_, err := b.RefreshPageStale(t.Context())
			require.NoError(t, err)
			assert.False(t, b.Complete())
			assert.False(t, b.IsReader(), "not by what some entries tell")
			if b.IsReaderCandidate() {
				may++
			}
		}
		assert.Zero(t, store.whole)
		checks := 0
		for _, b := range boxes {
			if b.Rank() >= checkersWhole {
				_, err := b.RefreshByRank(t.Context())
				require.NoError(t, err)
				checks++
			}
		}
		assert.Greater(t, checks, n/2)
		assert.Zero(t, store.whole, "also where they check the store")
		assert.LessOrEqual(t, may, 2*n*readers/store.page, "those that would be readers among the entries seen")
		all, _, err := store.fakeStore.List(t.Context(), false)
		require.NoError(t, err)
		assert.True(t, boxes[n-1].ApplySnapshot(Snapshot{Entries: all, Revision: 7}))
		assert.Equal(t, n, boxes[n-1].Count())
		assert.True(t, boxes[n-1].Complete())
	}
}
