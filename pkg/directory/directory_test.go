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
	"headhill.example/headhill/pkg/storerev"
)

// fakeSource is a Source whose history is a list of events.
type fakeSource struct {
	mu        sync.Mutex
	events    []ServerEvent // event i creates revision i+2
	calls     int           // calls that count against the rate limit
	pageReads int           // page reads, including stale ones
	// pageSize limits the servers per page, zero for a single page.
	pageSize int
	// reject reports whether a page read fails.
	reject func(call int) bool
	// staleLag is the number of events by which stale pages lag behind.
	staleLag int
	// compacted is the revision up to which the history has been compacted.
	compacted   storerev.Revision
	evacuations Evacuations
}

func (s *fakeSource) ReadTable(context.Context) (TableResult, error) {
	return TableResult{Table: routing.NewTable(routing.Content{Version: 1}), Revision: s.revision(), Changed: 1}, nil
}

func (s *fakeSource) WatchTable(ctx context.Context, _ storerev.Revision, wait time.Duration, _ int) (TableResult, error) {
	pause.For(ctx, wait)
	return TableResult{Revision: s.revision()}, ctx.Err()
}

func (s *fakeSource) revision() storerev.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storerev.Revision(len(s.events) + 1)
}

func (s *fakeSource) ReadServers(_ context.Context, from string, stale bool) (ServersPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageReads++
	if !stale {
		s.calls++
	}
	if s.reject != nil && s.reject(s.pageReads) {
		return ServersPage{}, errors.New("too many calls")
	}
	events := s.events
	if stale {
		events = events[:max(0, len(events)-s.staleLag)]
	}
	list := replay(events)
	if s.pageSize == 0 || len(list) == 0 {
		return ServersPage{Servers: list, Revision: storerev.Revision(len(events) + 1)}, nil
	}
	begin, _ := strconv.Atoi(from)
	end := min(begin+s.pageSize, len(list))
	page := ServersPage{Servers: list[min(begin, len(list)):max(end, min(begin, len(list)))], Revision: storerev.Revision(len(events) + 1)}
	if end < len(list) {
		page.Next = strconv.Itoa(end)
	}
	return page, nil
}

// A rejected page read must not discard the pages read before.
func TestLongListIsReadDespiteRejectedCalls(t *testing.T) {
	source := &fakeSource{pageSize: 10, reject: func(call int) bool { return call%3 != 0 }}
	for i := range 200 {
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: fmt.Sprint(i), Service: "s"}})
	}
	withFollower(t, source, func(_ context.Context, d *Directory) {
		assert.Len(t, d.listed(), 200)
	})
}

// Pages after the first may be stale; changes since then must be fetched with a watch, or by reading
// the pages again if the history is compacted.
func TestStalePagesAreCompletedByWatch(t *testing.T) {
	source := &fakeSource{pageSize: 10, staleLag: 7}
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
		assert.Equal(t, source.revision(), d.list.position().revision)
	}
	withFollower(t, source, check)
	assert.LessOrEqual(t, source.calls, 3, "only one page and the watch count against the rate limit")
	source.compacted = source.revision()
	withFollower(t, source, check)
}

func (s *fakeSource) ReadEvacuations(ctx context.Context) (Evacuations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations, ctx.Err()
}

func (s *fakeSource) WatchServers(ctx context.Context, after storerev.Revision, wait time.Duration) (ServerChanges, error) {
	pause.For(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if after < s.compacted {
		return ServerChanges{}, ErrHistoryLost
	}
	return ServerChanges{Events: append([]ServerEvent(nil), s.events[after-1:]...), Revision: storerev.Revision(len(s.events) + 1)}, ctx.Err()
}

// replay returns the list after some events.
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

// Deltas may be reordered, repeated or lost; the list must always be that of the source at the
// current position.
func TestOldDeltasDoNotUndoNewerOnes(t *testing.T) {
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
		d.list.advance(position{revision: 1})
		for range rapid.IntRange(0, 40).Draw(t, "deltas") {
			from := rapid.IntRange(0, len(events)).Draw(t, "from")
			to := rapid.IntRange(from, len(events)).Draw(t, "to")
			d.ApplyDelta(Delta{From: storerev.Revision(from + 1), To: storerev.Revision(to + 1), Events: events[from:to]})
			at := int(d.list.position().revision) - 1
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

// withFollower calls f with a directory of a non-reader that has loaded a source.
func withFollower(t *testing.T, source Source, f func(context.Context, *Directory)) {
	t.Helper()
	d := New(log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Follow(ctx, standalone(source, testTiming()))
		close(done)
	}()
	// The position is advanced after the list is published.
	assert.Eventually(t, func() bool { return d.Loaded() && d.list.position().revision > 0 }, 20*time.Second, time.Millisecond)
	f(ctx, d)
	cancel()
	<-done
}

// A box that is no reader must not query the source until it learns of a change.
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
		assert.Equal(t, storerev.Revision(2), d.table.position().revision, "an unchanged part is confirmed without a query")
	})
}

func TestVerifyAdvancesBothParts(t *testing.T) {
	source := &fakeSource{}
	withFollower(t, source, func(ctx context.Context, d *Directory) {
		source.mu.Lock()
		source.events = append(source.events, ServerEvent{Server: routing.Server{ID: "a", Service: "s"}})
		source.mu.Unlock()
		check, ok := d.Verify(ctx, 2, time.Now(), testTiming())
		assert.True(t, ok)
		assert.Equal(t, storerev.Revision(2), check.ServersChanged)
		assert.Equal(t, storerev.Revision(1), check.TableChanged)
		assert.Len(t, d.listed(), 1)
		_, ok = d.Verify(ctx, 99, time.Now(), Timing{MaxLag: 50 * time.Millisecond})
		assert.False(t, ok, "no check is returned for a revision that was not reached")
	})
}

func TestConfirmationTimeIsThatOfTheRequest(t *testing.T) {
	d := New(log.NewNopLogger())
	askedAt := time.Now()
	before := askedAt.Add(-time.Minute)
	d.setTable(routing.NewTable(routing.Content{Version: 1}), before)
	d.setServers(nil, before, false)
	d.list.advance(position{revision: 5})
	d.table.advance(position{revision: 5})
	d.ApplyCheck(Check{AskedAt: askedAt, Revision: 7, TableChanged: 5, ServersChanged: 6})
	v := d.View()
	assert.Equal(t, askedAt, v.TableConfirmedAt)
	assert.Equal(t, before, v.ServersConfirmedAt, "a part that is behind is not confirmed")
	d.ApplyCheck(Check{AskedAt: before, Revision: 7, TableChanged: 5, ServersChanged: 5})
	assert.Equal(t, askedAt, d.View().TableConfirmedAt, "an older check does not move the confirmation time back")
}

// Entries can expire during an outage of the source while their servers are alive. Those servers
// must stay in use until the recovery grace ends.
func TestEntriesExpiredInOutageStayUsableBriefly(t *testing.T) {
	now := time.Now()
	list := []routing.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "leaving", Service: "s", Leaving: true}}
	candidates := func(d *Directory, at time.Time) (ids []string) {
		for _, s := range d.View().Candidates("s", at, 0) {
			ids = append(ids, s.ID)
		}
		return ids
	}
	for name, c := range map[string]struct {
		outage time.Duration
		want   []string
	}{
		"in an outage": {MinOutage + time.Second, []string{"a", "b"}},
		"otherwise":    {time.Second, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(log.NewNopLogger())
			d.setServers(list, now, false)
			recoveredAt := now.Add(c.outage)
			removals := []ServerEvent{{Server: routing.Server{ID: "b"}, Removed: true}, {Server: routing.Server{ID: "leaving"}, Removed: true}}
			d.changeServers(removals, recoveredAt)
			assert.Equal(t, c.want, candidates(d, recoveredAt.Add(recoveryGrace-time.Millisecond)))
			assert.Equal(t, []string{"a"}, candidates(d, recoveredAt.Add(recoveryGrace)))
		})
	}
}
