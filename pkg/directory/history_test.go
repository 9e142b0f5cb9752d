package directory

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// listedServers returns the servers that are listed.
func listedServers(d *Directory) map[string]routing.Server {
	list := make(map[string]routing.Server)
	for id, s := range d.servers {
		if s.RemovedAt.IsZero() {
			list[id] = s.Server
		}
	}
	return list
}

// candidatesOf returns the candidates and panics if they are not ordered by ID.
func candidatesOf(d *Directory) []routing.Server {
	list := d.View().Candidates("", time.Now().Add(time.Hour), 0)
	if !slices.IsSortedFunc(list, func(a, b routing.Server) int { return cmp.Compare(a.ID, b.ID) }) {
		panic("candidates are not in order")
	}
	return append([]routing.Server{}, list...)
}

// A box that copies the changes it lacks from another box must end up with the same list, whatever
// the order of deltas and full reads.
func TestCopiedDeltasLeadToSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		first, second := New(log.NewNopLogger()), New(log.NewNopLogger())
		revision := storerev.Revision(1)
		first.applyList(nil, revision, now)
		second.applyList(nil, revision, now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := routing.Server{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				e := ServerEvent{Server: s, Removed: rapid.Bool().Draw(t, "removed")}
				first.ApplyDelta(Delta{From: revision, To: revision + 2, Events: []ServerEvent{e}})
				revision += 2
			case 7:
				revision += 3
				first.applyList([]routing.Server{s}, revision, now)
			case 8, 9:
				since := second.list.position().revision
				c := copySince(first, since)
				if c.Delta != nil {
					second.applyCopiedDelta(*c.Delta)
				} else {
					second.applyList(c.Servers, c.Revision, now)
				}
				assert.Equal(t, listedServers(first), listedServers(second))
				assert.Equal(t, candidatesOf(first), candidatesOf(second))
			}
		}
	})
}

// replica is a box that follows a source by deltas or by full reads.
type replica struct {
	directory *Directory
	events    *[]ServerEvent // event i creates revision i+2
}

// watch applies the changes up to a revision.
func (r replica) watch(to storerev.Revision) {
	from := r.directory.list.position().revision
	if from < to {
		r.directory.ApplyDelta(Delta{From: from, To: to, Events: (*r.events)[from-1 : to-1]})
	}
}

// read applies the whole list at a revision.
func (r replica) read(at storerev.Revision) {
	r.directory.applyList(replay((*r.events)[:at-1]), at, time.Now())
}

// Boxes follow one source by deltas and full reads at any revisions, and copy from each other. Each
// must always have the list that the source had at its position.
func TestCopiedDeltasMatchSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []ServerEvent
		boxes := make([]replica, 3)
		for i := range boxes {
			boxes[i] = replica{directory: New(log.NewNopLogger()), events: &events}
			boxes[i].read(1)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b := boxes[rapid.IntRange(0, 2).Draw(t, "box")]
			newest := storerev.Revision(len(events) + 1)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			default:
				s := routing.Server{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Slots: rapid.IntRange(1, 2).Draw(t, "slots")}
				events = append(events, ServerEvent{Server: s, Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0})
				continue
			case 2:
				b.watch(storerev.Revision(rapid.Uint64Range(1, uint64(newest)).Draw(t, "to")))
			case 3:
				b.read(storerev.Revision(rapid.Uint64Range(1, uint64(newest)).Draw(t, "at")))
			case 4, 5:
				other := boxes[rapid.IntRange(0, 2).Draw(t, "other")].directory
				if !other.list.loaded() {
					continue
				}
				c := copySince(other, b.directory.list.position().revision)
				if c.Revision <= b.directory.list.position().revision {
					continue
				}
				if c.Delta != nil {
					b.directory.applyCopiedDelta(*c.Delta)
				} else {
					b.directory.applyList(c.Servers, c.Revision, time.Now())
				}
			}
			want := make(map[string]routing.Server)
			for _, s := range replay(events[:b.directory.list.position().revision-1]) {
				want[s.ID] = s
			}
			if got := listedServers(b.directory); !assert.ObjectsAreEqual(want, got) {
				t.Fatalf("at revision %d: got %v, want %v", b.directory.list.position().revision, got, want)
			}
		}
	})
}

// A box that had to read the whole list must still serve the changes since its previous list.
func TestHistorySpansFullRead(t *testing.T) {
	d := New(log.NewNopLogger())
	d.applyList([]routing.Server{serverIn("east", 0), serverIn("east", 1)}, 5, time.Now())
	d.applyList([]routing.Server{serverIn("east", 0), serverIn("east", 2)}, 9, time.Now())
	c := copySince(d, 5)
	assert.Len(t, c.Delta.Events, 2)
	c = copySince(d, 7)
	assert.Nil(t, c.Delta, "changes that were reverted between the reads are unknown")
}

// A box that lacks one change must get that alone, however long the list is.
func TestCopyHoldsOnlyMissingChanges(t *testing.T) {
	for _, n := range []int{1000, 2000} {
		d := New(log.NewNopLogger())
		var list []routing.Server
		for i := range n {
			list = append(list, serverIn("east", i))
		}
		d.applyList(list, 5, time.Now())
		d.ApplyDelta(Delta{From: 5, To: 8, Events: []ServerEvent{{Server: serverIn("east", n)}}})
		c := copySince(d, 6)
		assert.Len(t, c.Delta.Events, 1)
		c = copySince(d, 4)
		assert.Nil(t, c.Delta, "the requested revision precedes the first read")
		assert.Len(t, c.Servers, n+1)
	}
}

// The history must be bounded; a box that lacks more gets the whole list.
func TestHistoryIsBounded(t *testing.T) {
	var h listHistory
	h.reset(1)
	for i := range storerev.Revision(maxHistoryEvents + 10) {
		h.add(Delta{From: i + 1, To: i + 2, Events: []ServerEvent{{Server: serverIn("east", int(i))}}})
	}
	assert.Equal(t, maxHistoryEvents, h.events)
	h.add(Delta{From: maxHistoryEvents + 11, To: maxHistoryEvents + 12})
	assert.Len(t, h.entries, maxHistoryEvents, "empty deltas are not kept")
	_, ok := h.since(5)
	assert.False(t, ok)
	events, ok := h.since(maxHistoryEvents + 10)
	assert.True(t, ok)
	assert.Len(t, events, 1)
}

// copySince returns the copy for a box that knows the list at a revision.
func copySince(d *Directory, since storerev.Revision) ListCopy {
	if c, ok := d.ListSince(since); ok {
		return c
	}
	return d.ListCopy()
}
