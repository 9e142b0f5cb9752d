package directory

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

func tableOf(version uint64, routes ...string) *routing.Table {
	c := routing.Content{Version: version}
	for _, r := range routes {
		c.Routes = append(c.Routes, routing.Route{Name: r, Host: "host", Prefix: "/" + r + "/"})
	}
	return routing.NewTable(c)
}

// directoryAt returns a directory with a table and an empty list at a revision.
func directoryAt(t *routing.Table, revision storerev.Revision) *Directory {
	d := New(log.NewNopLogger())
	d.setTable(t, time.Now())
	d.setServers(nil, time.Now(), false)
	d.table.advance(position{revision: revision, changed: revision})
	d.list.advance(position{revision: revision, changed: revision})
	return d
}

func (f *follower) hasPendingRevision() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending.revision > 0
}

// A box that verifies the source broadcasts the table's changes, so that others need not query.
func TestTableDeltaIsAppliedFromNotification(t *testing.T) {
	sender, receiver, unrelated := directoryAt(tableOf(3, "a"), 5), directoryAt(tableOf(3, "a"), 5), directoryAt(tableOf(3, "x"), 5)
	var received []Notification
	sender.OnNotification(func(n Notification) { received = append(received, n) })
	before, next := sender.View().Table, tableOf(8, "a", "b")
	sender.setTable(next, time.Now())
	sender.notifyTable(before, TableResult{Table: next, Changed: 9}, pollWait)
	require.Empty(t, received, "a short poll after a notification is not announced")

	sender.verifications.Add(1)
	sender.notifyTable(before, TableResult{Table: next, Changed: 9}, pollWait)
	require.Len(t, received, 1)
	receiver.ApplyNotification(received[0])
	assert.Equal(t, uint64(8), receiver.View().Table.Version)
	assert.Equal(t, position{revision: 9, changed: 9}, receiver.table.position())
	assert.False(t, receiver.table.hasPendingRevision(), "no query is needed")

	unrelated.ApplyNotification(received[0])
	assert.Equal(t, uint64(3), unrelated.View().Table.Version, "the delta has another base table")
	assert.True(t, unrelated.table.hasPendingRevision(), "a query is needed")

	receiver.setTable(tableOf(11, "c"), time.Now())
	receiver.table.advance(position{revision: 12, changed: 12})
	receiver.ApplyNotification(received[0])
	assert.Equal(t, uint64(11), receiver.View().Table.Version, "a late notification must not undo newer changes")
	assert.False(t, receiver.table.hasPendingRevision())
}

// A verifying box that lost the history reads the whole list, and must notify the others of the
// differences.
func TestFullReadIsNotifiedAsDelta(t *testing.T) {
	source := &fakeSource{events: []ServerEvent{
		{Server: routing.Server{ID: "kept", Service: "s"}}, {Server: routing.Server{ID: "gone", Service: "s"}},
	}}
	sender, receiver := New(log.NewNopLogger()), New(log.NewNopLogger())
	for _, d := range []*Directory{sender, receiver} {
		pos, err := (&serversPart{directory: d, source: source, timing: Timing{AnswerTimeout: time.Second}}).read(context.Background(), time.Now())
		require.NoError(t, err)
		d.list.advance(pos)
	}
	source.events = append(source.events, ServerEvent{Server: routing.Server{ID: "gone"}, Removed: true}, ServerEvent{Server: routing.Server{ID: "new", Service: "s"}})
	var received []Notification
	sender.OnNotification(func(n Notification) { received = append(received, n) })
	sender.verifications.Add(1)
	sender.list.requireFullRead()
	require.False(t, sender.list.canWatch())
	_, err := (&serversPart{directory: sender, source: source, timing: Timing{AnswerTimeout: time.Second}}).read(context.Background(), time.Now())
	require.NoError(t, err)
	require.Len(t, received, 1)
	calls := source.calls
	receiver.ApplyNotification(received[0])
	assert.Equal(t, sender.listed(), receiver.listed())
	assert.Equal(t, storerev.Revision(5), receiver.list.position().revision)
	assert.Equal(t, calls, source.calls)
}
