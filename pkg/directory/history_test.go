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
)

// listedIn is the list that a box has.
func listedIn(d *Directory) map[string]routing.Server {
	list := make(map[string]routing.Server)
	for id, s := range d.servers {
		if s.RemovedAt.IsZero() {
			list[id] = s.Server
		}
	}
	return list
}

// candidatesOf are the candidates by a directory's view, which is changed step by step, in order.
func candidatesOf(d *Directory) []routing.Server {
	list := d.View().Candidates("", time.Now().Add(time.Hour), 0)
	if !slices.IsSortedFunc(list, func(a, b routing.Server) int { return cmp.Compare(a.ID, b.ID) }) {
		panic("candidates are not in order")
	}
	return append([]routing.Server{}, list...)
}

// A box that lacks some changes has, after what another box tells it of them, the same list as that
// one, whatever came in which order; it is told the whole where the changes are not known.
func TestChangesLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		first, second := New(log.NewNopLogger()), New(log.NewNopLogger())
		revision := uint64(1)
		first.takeList(nil, revision, now)
		second.takeList(nil, revision, now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := routing.Server{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				e := ServerEvent{Server: s, Removed: rapid.Bool().Draw(t, "removed")}
				first.ApplyDelta(Delta{From: revision, To: revision + 2, Events: []ServerEvent{e}})
				revision += 2
			case 7:
				revision += 3
				first.takeList([]routing.Server{s}, revision, now)
			case 8, 9:
				since := second.list.known().revision
				c := copySince(first, since)
				if c.Delta != nil {
					second.applyCopied(*c.Delta)
				} else {
					second.takeList(c.Servers, c.Revision, now)
				}
				assert.Equal(t, listedIn(first), listedIn(second))
				assert.Equal(t, candidatesOf(first), candidatesOf(second))
			}
		}
	})
}

// learner is a box that learns the list from a source by changes, or as a whole.
type learner struct {
	directory *Directory
	source    *[]ServerEvent // event i made revision i+2
}

// watch takes in the changes up to a revision, as a watch tells them.
func (l learner) watch(to uint64) {
	known := l.directory.list.known().revision
	if known < to {
		l.directory.ApplyDelta(Delta{From: known, To: to, Events: (*l.source)[known-1 : to-1]})
	}
}

// read takes in the whole list at a revision.
func (l learner) read(at uint64) {
	l.directory.takeList(replay((*l.source)[:at-1]), at, time.Now())
}

// Boxes learn of one source by changes and by whole lists, at any revisions, and of each other:
// whatever a box tells another of the changes since any revision leads to the list as it was.
func TestChangesLeadToTheSourcesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source []ServerEvent
		boxes := make([]learner, 3)
		for i := range boxes {
			boxes[i] = learner{directory: New(log.NewNopLogger()), source: &source}
			boxes[i].read(1)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b := boxes[rapid.IntRange(0, 2).Draw(t, "box")]
			newest := uint64(len(source) + 1)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			default:
				s := routing.Server{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Slots: rapid.IntRange(1, 2).Draw(t, "slots")}
				source = append(source, ServerEvent{Server: s, Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0})
				continue
			case 2:
				b.watch(rapid.Uint64Range(1, newest).Draw(t, "to"))
			case 3:
				b.read(rapid.Uint64Range(1, newest).Draw(t, "at"))
			case 4, 5:
				other := boxes[rapid.IntRange(0, 2).Draw(t, "other")].directory
				if !other.list.there() {
					continue
				}
				c := copySince(other, b.directory.list.known().revision)
				if c.Revision <= b.directory.list.known().revision {
					continue
				}
				if c.Delta != nil {
					b.directory.applyCopied(*c.Delta)
				} else {
					b.directory.takeList(c.Servers, c.Revision, time.Now())
				}
			}
			want := make(map[string]routing.Server)
			for _, s := range replay(source[:b.directory.list.known().revision-1]) {
				want[s.ID] = s
			}
			if got := listedIn(b.directory); !assert.ObjectsAreEqual(want, got) {
				t.Fatalf("at revision %d the box has %v, the source had %v", b.directory.list.known().revision, got, want)
			}
		}
	})
}

// A box whose source has forgotten its history, and that reads the whole list, still tells the
// others what has changed alone.
func TestChangesAreToldAcrossAWholeList(t *testing.T) {
	d := New(log.NewNopLogger())
	d.takeList([]routing.Server{serverIn("east", 0), serverIn("east", 1)}, 5, time.Now())
	d.takeList([]routing.Server{serverIn("east", 0), serverIn("east", 2)}, 9, time.Now())
	c := copySince(d, 5)
	assert.Len(t, c.Delta.Events, 2)
	c = copySince(d, 7)
	assert.Nil(t, c.Delta, "what changed and changed back is not known")
}

// A box that lacks a change asks for that alone, however long the list is.
func TestOneChangeIsTold(t *testing.T) {
	for _, n := range []int{1000, 2000} {
		d := New(log.NewNopLogger())
		var list []routing.Server
		for i := range n {
			list = append(list, serverIn("east", i))
		}
		d.takeList(list, 5, time.Now())
		d.ApplyDelta(Delta{From: 5, To: 8, Events: []ServerEvent{{Server: serverIn("east", n)}}})
		c := copySince(d, 6)
		assert.Len(t, c.Delta.Events, 1)
		c = copySince(d, 4)
		assert.Nil(t, c.Delta, "from before the list was read")
		assert.Len(t, c.Servers, n+1)
	}
}

// What is kept is bounded; a box that lacks more is told the whole.
func TestOldChangesAreForgotten(t *testing.T) {
	var h listHistory
	h.begin(1)
	for i := range uint64(historyEvents + 10) {
		h.add(Delta{From: i + 1, To: i + 2, Events: []ServerEvent{{Server: serverIn("east", int(i))}}})
	}
	assert.Equal(t, historyEvents, h.events)
	h.add(Delta{From: historyEvents + 11, To: historyEvents + 12})
	assert.Len(t, h.deltas, historyEvents, "nothing has changed")
	_, ok := h.since(5)
	assert.False(t, ok)
	events, ok := h.since(historyEvents + 10)
	assert.True(t, ok)
	assert.Len(t, events, 1)
}

// copySince is what a box is told that knows the list at a revision.
func copySince(d *Directory, since uint64) ListCopy {
	if c, ok := d.ListSince(since); ok {
		return c
	}
	return d.ListCopy()
}
