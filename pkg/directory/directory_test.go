package directory

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

// fakeSource is a source whose whole history is known.
type fakeSource struct {
	mu     sync.Mutex
	events []ServerEvent // event i made revision i+1
	calls  int           // those that count against rates
	asked  int           // all pages
	// pageSize bounds a page, zero for one page; refuse tells which calls fail.
	pageSize int
	refuse   func(call int) bool
	// behind is how many events stale pages lack.
	behind int
	// forgotten is the revision up to which history is gone.
	forgotten uint64
	// evacuations are the halls whose servers get nothing.
	evacuations Evacuations
}

func (s *fakeSource) ReadTable(context.Context) (TableResult, error) {
	return TableResult{Table: routing.NewTable(routing.Content{Version: 1}), Revision: s.revision(), Changed: 1}, nil
}

func (s *fakeSource) WatchTable(ctx context.Context, _ uint64, wait time.Duration, _ int) (TableResult, error) {
	pause.For(ctx, wait)
	return TableResult{Revision: s.revision()}, ctx.Err()
}

func (s *fakeSource) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return uint64(len(s.events) + 1)
}

func (s *fakeSource) ReadServers(_ context.Context, from string, stale bool) (ServersPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if !stale {
		s.calls++
	}
	if s.refuse != nil && s.refuse(s.asked) {
		return ServersPage{}, errors.New("too many calls")
	}
	events := s.events
	if stale {
		events = events[:max(0, len(events)-s.behind)]
	}
	list := replay(events)
	if s.pageSize == 0 || len(list) == 0 {
		return ServersPage{Servers: list, Revision: uint64(len(events) + 1)}, nil
	}
	begin, _ := strconv.Atoi(from)
	end := min(begin+s.pageSize, len(list))
	page := ServersPage{Servers: list[min(begin, len(list)):max(end, min(begin, len(list)))], Revision: uint64(len(events) + 1)}
	if end < len(list) {
		page.Next = strconv.Itoa(end)
	}
	return page, nil
}

// Many boxes that start at once are refused most of their calls: a page that is
// refused must not cost those before it.
func TestLongListIsReadThoughCallsAreRefused(t *testing.T) {
	source := &fakeSource{pageSize: 10, refuse: func(call int) bool { return call%3 != 0 }}
	for i := range 200 {
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: fmt.Sprint(i), Service: "s"}})
	}
	withFollower(t, source, func(_ context.Context, d *Directory) {
		assert.Len(t, d.listed(), 200)
	})
}

// Pages after the first are stale: what happened since is read as changes.
func TestStalePagesAreBroughtUpToDate(t *testing.T) {
	source := &fakeSource{pageSize: 10, behind: 7}
	for i := range 60 {
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: fmt.Sprintf("%03d", i), Service: "s"}})
	}
	for i := range 4 {
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: fmt.Sprintf("%03d", 10*i+15), Service: "s", Leaving: true}})
	}
	for i := range 3 {
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: fmt.Sprintf("%03d", 10*i+20)}, Removed: true})
	}
	check := func(_ context.Context, d *Directory) {
		want := make(map[string]routing.Server)
		for _, s := range replay(source.events) {
			want[s.ID] = s
		}
		assert.Equal(t, want, d.listed())
		assert.Equal(t, source.revision(), d.list.known().revision)
	}
	withFollower(t, source, check)
	assert.LessOrEqual(t, source.calls, 3, "one page and the changes count")
	source.forgotten = source.revision()
	withFollower(t, source, check)
}

func (s *fakeSource) ReadEvacuations(ctx context.Context) (Evacuations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations, ctx.Err()
}

func (s *fakeSource) WatchServers(ctx context.Context, after uint64, wait time.Duration) (ServerChanges, error) {
	pause.For(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if after < s.forgotten {
		return ServerChanges{}, ErrHistoryLost
	}
	return ServerChanges{Events: append([]ServerEvent(nil), s.events[after-1:]...), Revision: uint64(len(s.events) + 1)}, ctx.Err()
}

// replay is the list after some events.
func replay(events []ServerEvent) []routing.Server {
	var list []routing.Server
	for _, e := range events {
		kept := list[:0:0]
		for _, s := range list {
			if s.ID != e.Server.ID {
				kept = append(kept, s)
			}
		}
		if !e.Removed {
			kept = append(kept, e.Server)
		}
		list = kept
	}
	return list
}

func (d *Directory) listed() map[string]routing.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := make(map[string]routing.Server)
	for id, s := range d.servers {
		if s.RemovedAt.IsZero() {
			m[id] = s.Server
		}
	}
	return m
}

// Deltas come in any order, some twice, some never: what is believed is always what
// the list was at the revision that the belief names.
func TestDeltasNeverUndoNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []ServerEvent
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			events = append(events, ServerEvent{
				Server: routing.Server{
					ID: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id")), Service: "s", Address: fmt.Sprint(i),
					Leaving: rapid.Bool().Draw(t, "leaving"),
				},
				Removed: rapid.IntRange(0, 3).Draw(t, "removed") == 0,
			})
		}
		d := New(log.NewNopLogger())
		d.list.advance(known{revision: 1})
		for range rapid.IntRange(0, 40).Draw(t, "deltas") {
			from := rapid.IntRange(0, len(events)).Draw(t, "from")
			to := rapid.IntRange(from, len(events)).Draw(t, "to")
			d.ApplyDelta(Delta{From: uint64(from + 1), To: uint64(to + 1), Events: events[from:to]})
			at := int(d.list.known().revision) - 1
			want := make(map[string]routing.Server)
			for _, s := range replay(events[:at]) {
				want[s.ID] = s
			}
			got := d.listed()
			if len(got) != len(want) {
				t.Fatalf("at %d: %v, want %v", at, got, want)
			}
			for id, s := range want {
				if got[id] != s {
					t.Fatalf("at %d: %v, want %v", at, got[id], s)
				}
			}
		}
	})
}

func testTiming() Timing {
	return Timing{WatchWait: 20 * time.Millisecond, AnswerTimeout: time.Second, MaxLag: 2 * time.Second, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond}
}

// withFollower runs f with a directory that has loaded a source. Its box is no reader.
func withFollower(t *testing.T, source Source, f func(context.Context, *Directory)) {
	t.Helper()
	d := New(log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Follow(ctx, alone(source, testTiming()))
		close(done)
	}()
	assert.Eventually(t, d.Loaded, 20*time.Second, time.Millisecond)
	f(ctx, d)
	cancel()
	<-done
}

// A box that is no reader asks nothing until it hears of a change.
func TestOnlyReadersWatch(t *testing.T) {
	source := &fakeSource{}
	withFollower(t, source, func(_ context.Context, d *Directory) {
		calls := source.calls
		time.Sleep(200 * time.Millisecond)
		source.mu.Lock()
		assert.Equal(t, calls, source.calls)
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: "a", Service: "s"}})
		source.mu.Unlock()
		d.ApplyCheck(Check{AskedAt: time.Now(), Revision: 2, TableChanged: 1, ServersChanged: 2})
		assert.Eventually(t, func() bool { return len(d.listed()) == 1 }, 5*time.Second, time.Millisecond)
		assert.Equal(t, uint64(2), d.table.known().revision, "what has not changed is confirmed without a question")
	})
}

func TestVerifyBringsBothPartsUpToARevision(t *testing.T) {
	source := &fakeSource{}
	withFollower(t, source, func(ctx context.Context, d *Directory) {
		source.mu.Lock()
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: "a", Service: "s"}})
		source.mu.Unlock()
		check, ok := d.Verify(ctx, 2, time.Now(), testTiming())
		assert.True(t, ok)
		assert.Equal(t, uint64(2), check.ServersChanged)
		assert.Equal(t, uint64(1), check.TableChanged)
		assert.Len(t, d.listed(), 1)
		_, ok = d.Verify(ctx, 99, time.Now(), Timing{MaxLag: 50 * time.Millisecond})
		assert.False(t, ok, "others are not told of what was not read")
	})
}

func TestAgesAreThoseOfTheQuestion(t *testing.T) {
	d := New(log.NewNopLogger())
	asked := time.Now()
	before := asked.Add(-time.Minute)
	d.setTable(routing.NewTable(routing.Content{Version: 1}), before)
	d.setServers(nil, before)
	d.list.advance(known{revision: 5})
	d.table.advance(known{revision: 5})
	d.ApplyCheck(Check{AskedAt: asked, Revision: 7, TableChanged: 5, ServersChanged: 6})
	v := d.View()
	assert.Equal(t, asked, v.TableConfirmedAt)
	assert.Equal(t, before, v.ServersConfirmedAt, "a part that lacks a change is not confirmed")
	d.ApplyCheck(Check{AskedAt: before, Revision: 7, TableChanged: 5, ServersChanged: 5})
	assert.Equal(t, asked, d.View().TableConfirmedAt, "an older check makes nothing older")
}

// Entries lapse while the source is away, though their servers are alive: those are
// back soon after, and used meanwhile. One that stays away is gone.
func TestEntriesThatLapsedInAnOutageAreUsedForAMoment(t *testing.T) {
	now := time.Now()
	list := []routing.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "leaving", Service: "s", Leaving: true}}
	candidates := func(d *Directory, at time.Time) (ids []string) {
		for _, s := range d.View().Candidates("s", at, 0) {
			ids = append(ids, s.ID)
		}
		return ids
	}
	for name, c := range map[string]struct {
		away time.Duration
		want []string
	}{
		"in an outage": {MinOutage + time.Second, []string{"a", "b"}},
		"otherwise":    {time.Second, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(log.NewNopLogger())
			d.setServers(list, now)
			back := now.Add(c.away)
			gone := []ServerEvent{{Server: routing.Server{ID: "b"}, Removed: true}, {Server: routing.Server{ID: "leaving"}, Removed: true}}
			d.changeServers(gone, back)
			assert.Equal(t, c.want, candidates(d, back.Add(lapsedFor-time.Millisecond)))
			assert.Equal(t, []string{"a"}, candidates(d, back.Add(lapsedFor)))
		})
	}
}
