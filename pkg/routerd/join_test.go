package routerd

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/roster"
)

// fixedRoster is a roster whose entries are given. Each reading is newer than the last.
type fixedRoster struct {
	entries  []roster.Entry
	revision uint64
	err      error
}

func (r *fixedRoster) Register(context.Context, roster.Entry) error   { return r.err }
func (r *fixedRoster) Deregister(context.Context, roster.Entry) error { return r.err }
func (r *fixedRoster) ListPage(ctx context.Context, stale bool) ([]roster.Entry, bool, uint64, error) {
	entries, revision, err := r.List(ctx, stale)
	return entries, false, revision, err
}

func (r *fixedRoster) List(context.Context, bool) ([]roster.Entry, uint64, error) {
	r.revision++
	return r.entries, r.revision, r.err
}

// daemonIn returns a daemon that is not started, whose roster has some other boxes.
func daemonIn(t *testing.T, others int) (*Daemon, *fixedRoster) {
	r := &fixedRoster{}
	for i := range others {
		r.entries = append(r.entries, roster.Entry{Box: fmt.Sprintf("box-%03d", i), Hall: "hall", Peer: fmt.Sprintf("192.0.2.1:%d", i+1)})
	}
	s := DefaultSettings()
	s.Box = BoxSettings{ID: "self", Hall: "hall"}
	s.Listen = ListenSettings{Caller: "127.0.0.1:0", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	s.Bounds.RetrySlack = 200
	d, err := New(s, Adapter{
		Source:     func(StoreAccess) directory.Source { return nil },
		Roster:     func(StoreAccess) roster.Store { return r },
		Quarantine: func(StoreAccess) quarantine.Store { return nil },
	}, logflags.New(io.Discard, "logfmt", "info", nil))
	require.NoError(t, err)
	t.Cleanup(func() {
		d.closePorts()
		d.Close()
	})
	return d, r
}

// spendable is how many repeats a box may make of requests that were never counted.
func (d *Daemon) spendable() int {
	n := 0
	for d.budget.Spend("calls", time.Now()) {
		n++
	}
	return n
}

// Most boxes never check the store themselves. Their parts of what the fleet may do follow
// from the boxes that they know all the same.
func TestSharesFollowTheRoster(t *testing.T) {
	d, r := daemonIn(t, 99)
	d.join(t.Context())
	assert.Equal(t, 2, d.spendable(), "200 repeats among 100 boxes")
	grown, _ := daemonIn(t, 0)
	assert.Equal(t, 200/fleetLeast, grown.spendable())
	grown, r2 := daemonIn(t, 20)
	grown.join(t.Context())
	r2.entries = r.entries
	assert.True(t, grown.look(t.Context()))
	assert.Equal(t, 2, grown.spendable())
}

// A box that can't see the roster goes on at once: the store may still tell table and
// servers.
func TestJoinDoesNotWaitForTheRoster(t *testing.T) {
	d, r := daemonIn(t, 3)
	r.err = context.DeadlineExceeded
	begun := time.Now()
	d.join(t.Context())
	assert.Less(t, time.Since(begun), joinSpread)
	assert.Equal(t, 1, d.roster.Count())
}
