package snapshot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/stall"
)

func tableOf(version uint64, routes int) *routing.Table {
	c := routing.Content{Version: version, Limits: routing.Limits{BodyBytes: 5}}
	for i := range routes {
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "host.example", Prefix: fmt.Sprintf("/%016x/", rand.Uint64()),
			Timeout: 10 * time.Second, FirstEventTarget: time.Second, Priority: 2, MaxAttempts: 2,
			Targets: []routing.Target{{Service: "calls", Weight: 1}},
		})
	}
	c.Organisations = []routing.Organisation{{Name: "alpha", Keys: []string{"key"}}}
	return routing.NewTable(c)
}

func listOf(servers int) []routing.Server {
	var list []routing.Server
	for i := range servers {
		list = append(list, routing.Server{ID: fmt.Sprintf("i-%04d", i), Service: "calls", Address: fmt.Sprintf("192.0.2.1:%d", i), Leaving: i%3 == 0})
	}
	return list
}

// source is what a box that serves others has read of the store.
type source struct {
	table    *routing.Table
	servers  []routing.Server
	revision uint64
	// evacuations are the halls whose servers get nothing.
	evacuations directory.Evacuations
}

func (s *source) ReadTable(context.Context) (directory.TableResult, error) {
	return directory.TableResult{Table: s.table, Revision: s.revision, Changed: s.revision}, nil
}

func (s *source) WatchTable(ctx context.Context, _ uint64, _ time.Duration, _ int) (directory.TableResult, error) {
	<-ctx.Done()
	return directory.TableResult{}, ctx.Err()
}

func (s *source) ReadServers(context.Context, string, bool) (directory.ServersPage, error) {
	return directory.ServersPage{Servers: s.servers, Revision: s.revision}, nil
}

func (s *source) ReadEvacuations(ctx context.Context) (directory.Evacuations, error) {
	return s.evacuations, ctx.Err()
}

func (s *source) WatchServers(ctx context.Context, _ uint64, _ time.Duration) (directory.ServerChanges, error) {
	<-ctx.Done()
	return directory.ServerChanges{}, ctx.Err()
}

// follow runs a directory with a source until the test ends.
func follow(t *testing.T, s directory.Source, n directory.Providers) *directory.Directory {
	d := directory.New(log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Follow(ctx, directory.FollowOptions{
			Source: s, Providers: n, Reader: func() bool { return false },
			Timing: directory.Timing{WatchWait: time.Second, AnswerTimeout: time.Second, MaxLag: time.Second, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond},
		})
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// box serves what a directory knows. It counts who was not known.
type box struct {
	address   string
	strangers atomic.Int32
	known     atomic.Bool
	// partial says that it knows only some boxes.
	partial atomic.Bool
}

func serve(t *testing.T, d *directory.Directory) *box {
	b := &box{}
	b.known.Store(true)
	s := NewServer(ServerDeps{
		Directory: d, Logger: log.NewNopLogger(), OnUnknownHost: func() { b.strangers.Add(1) },
		Boxes:      func() (roster.Snapshot, bool) { return roster.Snapshot{}, !b.partial.Load() },
		IsPeerHost: func(ip netip.Addr) bool { return b.known.Load() && ip.IsLoopback() },
	})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

func client(wait time.Duration, addresses ...string) *Client {
	return NewClient(ClientDeps{Providers: func() []string { return addresses }, ResponseTimeout: func() time.Duration { return wait }})
}

func loaded(t *testing.T, s *source) *directory.Directory {
	d := follow(t, s, client(0))
	require.Eventually(t, d.Loaded, 10*time.Second, time.Millisecond)
	return d
}

func TestBoxHasWhatAnotherHas(t *testing.T) {
	s := &source{table: tableOf(7, 300), servers: listOf(400), revision: 9}
	first := loaded(t, s)
	// The second asks the first, the third the second: none of them asks the source.
	second := follow(t, nil, client(time.Second, serve(t, first).address))
	third := follow(t, nil, client(time.Second, serve(t, second).address))
	require.Eventually(t, third.Loaded, 10*time.Second, time.Millisecond)
	table, err := third.TableCopy(t.Context(), 9)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), table.Table.Version)
	_, found := table.Table.OrganisationByKey("key")
	assert.True(t, found)
	assert.Equal(t, uint64(9), table.Revision)
	_, err = third.ListMetadata(t.Context(), 9)
	require.NoError(t, err)
	list := third.ListCopy()
	assert.Equal(t, s.servers, list.Servers)
	assert.WithinDuration(t, first.View().TableConfirmedAt, table.ConfirmedAt, 5*time.Second)
}

// A box that has an earlier version is told only what has changed since.
func TestChangesAreSentWhereTheyAreKnown(t *testing.T) {
	var e tableEncoder
	old, next := tableOf(1, 2000), tableOf(2, 1)
	whole, err := e.body(old, 0)
	require.NoError(t, err)
	again, err := e.body(old, 0)
	require.NoError(t, err)
	assert.Same(t, &whole[0], &again[0], "encoded once")
	delta, err := e.body(next, 1)
	require.NoError(t, err)
	var d routing.Delta
	require.NoError(t, decode(strings.NewReader(string(delta)), &d))
	assert.Equal(t, uint64(1), d.From)
	got, err := applied(old, d, "box")
	require.NoError(t, err)
	assert.Equal(t, uint64(2), got.Version)
	unknown, err := e.body(next, 99)
	require.NoError(t, err)
	d = routing.Delta{}
	require.NoError(t, decode(strings.NewReader(string(unknown)), &d))
	assert.Zero(t, d.From, "from nothing")
	_, err = applied(old, d, "box")
	assert.NoError(t, err)
	d.Digest++
	_, err = applied(old, d, "box")
	var damaged *DamagedError
	assert.ErrorAs(t, err, &damaged)
}

// Who is no box is told nothing, and may be one that has just been added.
func TestStrangersAreToldNothing(t *testing.T) {
	b := serve(t, loaded(t, &source{table: tableOf(7, 3), servers: listOf(1), revision: 9}))
	b.known.Store(false)
	_, err := client(time.Second, b.address).Table(t.Context(), nil, 0)
	var status *StatusError
	require.ErrorAs(t, err, &status)
	assert.Equal(t, http.StatusForbidden, status.Status)
	assert.Equal(t, int32(1), b.strangers.Load())
}

// Boxes that are gone, silent, behind or damaged are passed over.
func TestNextBoxIsAsked(t *testing.T) {
	good := serve(t, loaded(t, &source{table: tableOf(7, 3), servers: listOf(2), revision: 9}))
	behind := serve(t, directory.New(log.NewNopLogger()))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	garbled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		known{revision: 99, changed: 9}.write(w.Header())
		_, _ = io.WriteString(w, "no part")
	}))
	defer garbled.Close()
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		known{revision: 3, changed: 3}.write(w.Header())
		w.WriteHeader(http.StatusNoContent)
	}))
	defer old.Close()
	killed := halfServed(t, func(w http.ResponseWriter) { panic(http.ErrAbortHandler) })
	for name, address := range map[string]string{
		"killed while it sends": killed,
		"gone":                  "127.0.0.1:1", "behind": behind.address, "silent": silent.Addr().String(),
		"damaged": strings.TrimPrefix(garbled.URL, "http://"), "old": strings.TrimPrefix(old.URL, "http://"),
	} {
		t.Run(name, func(t *testing.T) {
			c := client(300*time.Millisecond, address, good.address)
			list, err := c.Servers(t.Context(), 0, 9)
			require.NoError(t, err)
			assert.Len(t, list.Servers, 2)
			_, err = client(50*time.Millisecond, address).Table(t.Context(), nil, 9)
			assert.Error(t, err)
		})
	}
	_, err = client(0).Table(t.Context(), nil, 0)
	assert.ErrorIs(t, err, directory.ErrNoProvider)
}

// halfServed is a box that sends half of a list and then does something.
func halfServed(t *testing.T, then func(http.ResponseWriter)) string {
	body, err := encode(listOf(400))
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		known{revision: 99, changed: 9}.write(w.Header())
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		then(w)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A box that freezes while it sends is given up soon: the source is to be asked.
func TestBoxThatFreezesWhileItSendsIsGivenUp(t *testing.T) {
	end := make(chan struct{})
	frozen := halfServed(t, func(http.ResponseWriter) { <-end })
	defer close(end)
	begun := time.Now()
	_, err := client(300*time.Millisecond, frozen).Servers(t.Context(), 0, 9)
	var stalled *stall.Error
	require.ErrorAs(t, err, &stalled)
	assert.True(t, stalled.Started)
	assert.Less(t, time.Since(begun), 5*time.Second)
}

// A box that gives no answer is asked last for a while; one that is only behind is not.
func TestSilentBoxesAreAskedLast(t *testing.T) {
	c := client(time.Second, "a", "b", "c")
	c.note("a", io.ErrUnexpectedEOF)
	c.note("b", &StatusError{Address: "b", Status: http.StatusServiceUnavailable})
	assert.Equal(t, []string{"b", "c", "a"}, c.inOrder())
	c.silent["a"] = time.Now().Add(-passedOver)
	assert.Equal(t, []string{"a", "b", "c"}, c.inOrder())
	c.note("b", io.ErrUnexpectedEOF)
	c.note("b", nil)
	assert.Equal(t, []string{"a", "b", "c"}, c.inOrder())
}

func FuzzAnswers(f *testing.F) {
	body, err := encode(routing.Diff(emptyTable, tableOf(3, 2)))
	require.NoError(f, err)
	f.Add(body, "3", "2", "0")
	f.Add([]byte("no part"), "x", "", "-1")
	for _, table := range formstest.Recorded(f, "table.gz") {
		f.Add(table, "3", "2", "0")
	}
	f.Fuzz(func(t *testing.T, body []byte, revision, changed, age string) {
		h := http.Header{headerRevision: {revision}, headerChanged: {changed}, headerAge: {age}}
		if k, ok := readKnown(h); ok {
			assert.LessOrEqual(t, k.changed, k.revision)
			assert.GreaterOrEqual(t, k.age, time.Duration(0))
		}
		var d routing.Delta
		if decode(strings.NewReader(string(body)), &d) == nil {
			_, _ = applied(emptyTable, d, "box")
		}
	})
}

// BenchmarkTableBytes is what a table takes between boxes. A route takes 270 bytes in the
// store's answers.
func BenchmarkTableBytes(b *testing.B) {
	for _, n := range []int{100, 4000, 20000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			table := tableOf(1, n)
			for b.Loop() {
				var e tableEncoder
				body, err := e.body(table, 0)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(body))/float64(n), "B/route")
			}
		})
	}
}

// A box that knows the list at an earlier revision is sent what has changed alone, and which halls
// are evacuated; one of an earlier build, which does not say what it knows, is sent the whole.
func TestChangesOfTheListAreSent(t *testing.T) {
	d := loaded(t, &source{table: tableOf(7, 3), servers: listOf(2000), revision: 9, evacuations: directory.Evacuations{Halls: []string{"hall, 1"}, Revision: 9}})
	changed := routing.Server{ID: "i-0001", Service: "calls", Address: "192.0.2.1:1", Leaving: true}
	d.ApplyDelta(directory.Delta{From: 9, To: 12, Events: []directory.ServerEvent{{Server: changed}}})
	address := serve(t, d).address
	for range 2 {
		list, err := client(time.Second, address).Servers(t.Context(), 9, 12)
		require.NoError(t, err)
		assert.Empty(t, list.Servers)
		assert.Equal(t, &directory.Delta{From: 9, To: 12, Events: []directory.ServerEvent{{Server: changed}}}, list.Delta)
		assert.Equal(t, []string{"hall, 1"}, list.Evacuations.Halls)
	}
	list, err := client(time.Second, address).Servers(t.Context(), 8, 12)
	require.NoError(t, err)
	assert.Len(t, list.Servers, 2000)

	resp, err := http.Get("http://" + address + pathServers + "?least=12&in-force=0&wait-ms=100")
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Empty(t, resp.Header.Get(headerSince))
	var whole []routing.Server
	require.NoError(t, decode(resp.Body, &whole))
	assert.Len(t, whole, 2000)
}

// slowSource takes its time for the first list.
type slowSource struct {
	*source
	after time.Duration
	reads atomic.Int32
}

func (s *slowSource) ReadServers(ctx context.Context, from string, stale bool) (directory.ServersPage, error) {
	s.reads.Add(1)
	time.Sleep(s.after)
	return s.source.ReadServers(ctx, from, stale)
}

// Boxes that start together wait for the first one, which reads a long list, longer than they would
// wait for an answer: they do not read it for themselves.
func TestStartingBoxesWaitForTheOneThatReads(t *testing.T) {
	s := &slowSource{source: &source{table: tableOf(7, 3), servers: listOf(10), revision: 9}, after: 700 * time.Millisecond}
	address := serve(t, follow(t, s, client(0))).address
	for range 8 {
		d := follow(t, s, client(100*time.Millisecond, address))
		defer func() { require.Eventually(t, d.Loaded, 10*time.Second, time.Millisecond) }()
	}
	time.Sleep(2 * s.after)
	assert.Equal(t, int32(1), s.reads.Load())
}

// A box that can't read is not waited for.
func TestBoxThatFailsIsNotWaitedFor(t *testing.T) {
	address := serve(t, follow(t, brokenSource{}, client(0))).address
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	_, err := client(100*time.Millisecond, address).Servers(t.Context(), 0, 0)
	assert.Error(t, err)
	assert.Less(t, time.Since(begun), firstLeast/2)
}

// brokenSource answers nothing well.
type brokenSource struct{ directory.Source }

var errBroken = errors.New("the source is broken")

func (brokenSource) ReadTable(context.Context) (directory.TableResult, error) {
	return directory.TableResult{}, errBroken
}

func (brokenSource) ReadServers(context.Context, string, bool) (directory.ServersPage, error) {
	return directory.ServersPage{}, errBroken
}

func (brokenSource) ReadEvacuations(context.Context) (directory.Evacuations, error) {
	return directory.Evacuations{}, errBroken
}

// A box that knows only some others may hear of the asker yet: it is asked again.
func TestBoxThatIsNotKnownYetAsksAgain(t *testing.T) {
	b := serve(t, loaded(t, &source{table: tableOf(7, 3), servers: listOf(2), revision: 9}))
	b.known.Store(false)
	b.partial.Store(true)
	time.AfterFunc(400*time.Millisecond, func() { b.known.Store(true) })
	list, err := client(100*time.Millisecond, b.address).Servers(t.Context(), 0, 0)
	require.NoError(t, err)
	assert.Len(t, list.Servers, 2)
}

// slowChange tells one change after a while.
type slowChange struct {
	*source
	after time.Duration
	// reads counts how often the table was read.
	reads atomic.Int32
}

func (s *slowChange) WatchServers(context.Context, uint64, time.Duration) (directory.ServerChanges, error) {
	time.Sleep(s.after)
	return directory.ServerChanges{Events: []directory.ServerEvent{{Server: routing.Server{ID: "new"}}}, Revision: 12}, nil
}

func (s *slowChange) ReadTable(ctx context.Context) (directory.TableResult, error) {
	if s.reads.Add(1) == 1 {
		return s.source.ReadTable(ctx)
	}
	time.Sleep(s.after)
	return directory.TableResult{Table: tableOf(8, 3), Revision: 12, Changed: 12}, nil
}

// boxReadingChanges is a box that takes a while to read a change of each part.
func boxReadingChanges(t *testing.T) *directory.Directory {
	d := follow(t, &slowChange{source: &source{table: tableOf(7, 3), servers: listOf(2), revision: 9}, after: 180 * time.Millisecond}, client(0))
	require.Eventually(t, d.Loaded, 10*time.Second, time.Millisecond)
	return d
}

// A box that lacks a new table waits some more for one that is reading it.
func TestTableIsAwaitedWhereItIsBeingRead(t *testing.T) {
	d := boxReadingChanges(t)
	d.ApplyNotification(directory.Notification{TableChanged: 12})
	c, err := client(100*time.Millisecond, serve(t, d).address).Table(t.Context(), tableOf(7, 3), 12)
	require.NoError(t, err)
	assert.Equal(t, uint64(8), c.Table.Version)
}

// A box that lacks a change waits some more for one that is reading it.
func TestChangeIsAwaitedWhereItIsBeingRead(t *testing.T) {
	d := boxReadingChanges(t)
	d.ApplyNotification(directory.Notification{ServersChanged: 12})
	list, err := client(100*time.Millisecond, serve(t, d).address).Servers(t.Context(), 9, 12)
	require.NoError(t, err)
	require.NotNil(t, list.Delta)
	assert.Len(t, list.Delta.Events, 1)
}
