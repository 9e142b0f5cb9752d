package routerd

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/gateway"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/storerev"
)

// staticRoster is a roster store with fixed entries. Each read returns a higher revision.
type staticRoster struct {
	entries  []roster.Entry
	revision storerev.Revision
	err      error
}

func (r *staticRoster) Register(context.Context, roster.Entry) error   { return r.err }
func (r *staticRoster) Deregister(context.Context, roster.Entry) error { return r.err }
func (r *staticRoster) ListPage(ctx context.Context, stale bool) ([]roster.Entry, bool, storerev.Revision, error) {
	entries, revision, err := r.List(ctx, stale)
	return entries, false, revision, err
}

func (r *staticRoster) List(context.Context, bool) ([]roster.Entry, storerev.Revision, error) {
	r.revision++
	return r.entries, r.revision, r.err
}

// noIDs is a protocol whose requests have no IDs, and which is not used otherwise.
type noIDs struct{ gateway.Protocol }

func (noIDs) IDHeader() string { return "" }

// newTestDaemon returns a daemon that has not been started and whose roster store holds n other
// boxes.
func newTestDaemon(t *testing.T, n int) (*Daemon, *staticRoster) {
	r := &staticRoster{}
	for i := range n {
		r.entries = append(r.entries, roster.Entry{Box: fmt.Sprintf("box-%03d", i), Hall: "hall", Peer: fmt.Sprintf("192.0.2.1:%d", i+1)})
	}
	s := DefaultSettings()
	s.Box = BoxSettings{ID: "self", Hall: "hall"}
	s.Listen = ListenSettings{Caller: "127.0.0.1:0", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	s.Bounds.RetrySlack = 200
	d, err := New(s, Adapter{
		Protocol:     noIDs{},
		Source:       func(StoreAccess) directory.Source { return nil },
		Roster:       func(StoreAccess) roster.Store { return r },
		Quarantine:   func(StoreAccess) quarantine.Store { return nil },
		Versions:     func(StoreAccess) resumption.VersionStore { return nil },
		SavedStreams: func(StoreAccess) resumption.StreamStore { return nil },
	}, logflags.New(io.Discard, "logfmt", "info", nil))
	require.NoError(t, err)
	t.Cleanup(func() {
		d.closeListeners()
		d.Close()
	})
	return d, r
}

// retrySlack returns this box's share of the retry slack once an earlier process no longer counts.
func (d *Daemon) retrySlack() float64 {
	d.retryBudget.SetRosterAge(func(time.Time) time.Duration { return 0 })
	return d.retryBudget.Slack(clock.Now().Add(d.settings.Load().Bounds.RetryWindow))
}

// Guards against shares of the fleet-wide retry budget that ignore the roster on boxes that never
// check the store themselves, and against boxes that take a share before they know the fleet.
func TestRetryShareFollowsRoster(t *testing.T) {
	d, r := newTestDaemon(t, 99)
	d.join(t.Context())
	assert.LessOrEqual(t, d.retrySlack(), 2.0, "retry slack of 200 shared by 100 boxes")
	assert.Greater(t, d.retrySlack(), 1.8)
	other, _ := newTestDaemon(t, 0)
	assert.Zero(t, other.retrySlack())
	other, otherRoster := newTestDaemon(t, 20)
	other.join(t.Context())
	otherRoster.entries = r.entries
	assert.True(t, other.discoverBoxes(t.Context()))
	assert.LessOrEqual(t, other.retrySlack(), 2.0)
	assert.Greater(t, other.retrySlack(), 1.8)
}

// Guards against a box that blocks at startup while the roster can't be read.
func TestJoinDoesNotBlockOnRosterErrors(t *testing.T) {
	d, r := newTestDaemon(t, 3)
	r.err = context.DeadlineExceeded
	start := time.Now()
	d.join(t.Context())
	assert.Less(t, time.Since(start), joinJitter)
	assert.Equal(t, 1, d.roster.Count())
}
