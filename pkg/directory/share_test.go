package directory

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

func tableOf(version uint64, routes ...string) *routing.Table {
	c := routing.Content{Version: version}
	for _, r := range routes {
		c.Routes = append(c.Routes, routing.Route{Name: r, Host: "host", Prefix: "/" + r + "/"})
	}
	return routing.NewTable(c)
}

// knowing returns a directory that knows a table and the list at a revision.
func knowing(t *routing.Table, revision uint64) *Directory {
	d := New(log.NewNopLogger())
	d.setTable(t, time.Now())
	d.setServers(nil, time.Now())
	d.table.advance(known{revision: revision, changed: revision})
	d.list.advance(known{revision: revision, changed: revision})
	return d
}

func (f *follower) isHurried() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open.wanted > 0
}

// A box that checks the source tells the others what has changed, so that they need
// not ask.
func TestNewTableIsTakenFromAnothersWord(t *testing.T) {
	one, two, other := knowing(tableOf(3, "a"), 5), knowing(tableOf(3, "a"), 5), knowing(tableOf(3, "x"), 5)
	var told []Notification
	one.OnNotification(func(n Notification) { told = append(told, n) })
	before, next := one.View().Table, tableOf(8, "a", "b")
	one.setTable(next, time.Now())
	one.tellTable(before, TableResult{Table: next, Changed: 9}, briefly)
	require.Empty(t, told, "who only asks what he was told of tells nobody")

	one.verifying.Add(1)
	one.tellTable(before, TableResult{Table: next, Changed: 9}, briefly)
	require.Len(t, told, 1)
	two.ApplyNotification(told[0])
	assert.Equal(t, uint64(8), two.View().Table.Version)
	assert.Equal(t, known{revision: 9, changed: 9}, two.table.known())
	assert.False(t, two.table.isHurried(), "it need not ask")

	other.ApplyNotification(told[0])
	assert.Equal(t, uint64(3), other.View().Table.Version, "it leads from another table")
	assert.True(t, other.table.isHurried(), "it has to ask")

	two.setTable(tableOf(11, "c"), time.Now())
	two.table.advance(known{revision: 12, changed: 12})
	two.ApplyNotification(told[0])
	assert.Equal(t, uint64(11), two.View().Table.Version, "a late word undoes nothing")
	assert.False(t, two.table.isHurried())
}

// Where history is lost the checker reads the whole list. What differs is told.
func TestListReadAgainIsToldAsADelta(t *testing.T) {
	source := &fakeSource{events: []ServerEvent{
		{Server: routing.Server{ID: "kept", Service: "s"}}, {Server: routing.Server{ID: "gone", Service: "s"}},
	}}
	one, two := New(log.NewNopLogger()), New(log.NewNopLogger())
	for _, d := range []*Directory{one, two} {
		k, err := (&serversPart{directory: d, source: source, timing: Timing{AnswerTimeout: time.Second}}).read(context.Background(), time.Now())
		require.NoError(t, err)
		d.list.advance(k)
	}
	source.events = append(source.events, ServerEvent{Server: routing.Server{ID: "gone"}, Removed: true}, ServerEvent{Server: routing.Server{ID: "new", Service: "s"}})
	var told []Notification
	one.OnNotification(func(n Notification) { told = append(told, n) })
	one.verifying.Add(1)
	one.list.forget()
	require.False(t, one.list.watchable())
	_, err := (&serversPart{directory: one, source: source, timing: Timing{AnswerTimeout: time.Second}}).read(context.Background(), time.Now())
	require.NoError(t, err)
	require.Len(t, told, 1)
	calls := source.calls
	two.ApplyNotification(told[0])
	assert.Equal(t, one.listed(), two.listed())
	assert.Equal(t, uint64(5), two.list.known().revision)
	assert.Equal(t, calls, source.calls)
}
