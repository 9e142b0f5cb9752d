package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/objectstore"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func roster(n int) []objectstore.Box {
	var list []objectstore.Box
	for i := range n {
		list = append(list, objectstore.Box{ID: fmt.Sprintf("box-%04d", i), Hall: fmt.Sprintf("hall-%d", i%7), Peer: "10.0.0.1:1", State: objectstore.BoxLive})
	}
	return list
}

func newTracker(n int) *Tracker {
	r := roster(n)
	t := NewTracker(r[0])
	t.SetServing(now, true)
	t.SetRoster(now, r)
	return t
}

func TestOwnerPrefersTheHall(t *testing.T) {
	v := newTracker(70).View()
	for h := range 7 {
		hall := fmt.Sprintf("hall-%d", h)
		b, ok := v.Box(v.Owner("shard-"+hall, hall))
		require.True(t, ok)
		require.Equal(t, hall, b.Hall)
	}
}

func TestUnresponsiveAndStoppingBoxesOwnNothing(t *testing.T) {
	tr := newTracker(3)
	owned := func() string { return tr.View().Owner("k", "") }
	first := owned()
	for _, b := range []string{"box-0001", "box-0002"} {
		tr.RecordHeartbeat(now, Heartbeat{Box: b})
	}
	require.Equal(t, first, owned())
	tr.RecordHeartbeat(now.Add(time.Second), Heartbeat{Box: "box-0001", Stopping: true})
	tr.ExpireHeartbeats(now.Add(2 * time.Second))
	require.Equal(t, "box-0000", owned(), "one box is stopping, one is unresponsive")
	tr.RecordHeartbeat(now.Add(3*time.Second), Heartbeat{Box: "box-0001"})
	tr.RecordHeartbeat(now.Add(3*time.Second), Heartbeat{Box: "box-0002"})
	require.Equal(t, first, owned())
	tr.SetServing(now.Add(3*time.Second), false)
	require.NotEqual(t, "box-0000", owned())
}

// A box that is not yet in the box list must own nothing unless it is the only box.
func TestUnlistedBoxOwnsNothingBesideOthers(t *testing.T) {
	tr := NewTracker(objectstore.Box{ID: "new", Peer: "10.0.0.1:1", State: objectstore.BoxLive})
	tr.SetServing(now, true)
	require.Equal(t, "new", tr.View().Owner("k", ""))
	tr.SetRoster(now, roster(3))
	for i := range 100 {
		require.NotEqual(t, "new", tr.View().Owner(fmt.Sprint("k", i), ""))
	}
	tr.SetRoster(now, append(roster(3), objectstore.Box{ID: "new", Peer: "10.0.0.1:1", State: objectstore.BoxLive}))
	owned := 0
	for i := range 100 {
		if tr.View().Owner(fmt.Sprint("k", i), "") == "new" {
			owned++
		}
	}
	require.Positive(t, owned)
}

// A box that is not in the list but sends heartbeats must be in the view, as peers that
// see it in their list rely on it.
func TestUnlistedPeerIsInView(t *testing.T) {
	tr := newTracker(2)
	tr.RecordHeartbeat(now, Heartbeat{Box: "late", Peer: "10.0.0.9:1", Hall: "hall-1"})
	b, ok := tr.View().Box("late")
	require.True(t, ok)
	require.True(t, b.eligible())
	require.Contains(t, tr.View().LinkTargets(nil), "late")
	tr.RecordHeartbeat(now.Add(time.Second), Heartbeat{Box: "late", Peer: "10.0.0.9:1", Stopping: true})
	b, _ = tr.View().Box("late")
	require.False(t, b.eligible())
	tr.ExpireHeartbeats(now.Add(3 * time.Second))
	tr.SetRoster(now.Add(2*unlistedPeerTTL), roster(2))
	_, ok = tr.View().Box("late")
	require.False(t, ok, "box without a list entry or heartbeats is still in the view")
}

func TestLeavingServersAreNotBoxes(t *testing.T) {
	tr := newTracker(2)
	tr.SetRoster(now, append(roster(2), objectstore.Box{ID: "engine-1", State: objectstore.BoxLeaving}))
	require.Len(t, tr.View().Boxes, 2)
	require.True(t, tr.View().ServerLeaving("engine-1"))
}

// Removing a box must not move keys that it did not own.
func TestRemovedBoxMovesOnlyItsOwnKeys(t *testing.T) {
	tr := newTracker(50)
	before := tr.View()
	tr.SetRoster(now, append(roster(50)[:49:49], roster(50)[49])[:49])
	after := tr.View()
	for i := range 500 {
		k := fmt.Sprint("shard-", i)
		if before.Owner(k, "") != "box-0049" {
			require.Equal(t, before.Owner(k, ""), after.Owner(k, ""))
		}
	}
}

func TestLinksAreBoundedInALargeFleet(t *testing.T) {
	v := newTracker(1700).View()
	var keys []Key
	for i := range 32 {
		keys = append(keys, Key{Name: fmt.Sprint("shard-", i), Hall: "hall-0"})
	}
	require.LessOrEqual(t, len(v.LinkTargets(keys)), neighbourLinks+linksPerKey*len(keys))
	require.Len(t, newTracker(8).View().LinkTargets(nil), 7)
}

func BenchmarkViewAt1700(b *testing.B) {
	tr := newTracker(1700)
	for b.Loop() {
		tr.computeView(now)
	}
}

func BenchmarkOwnerAt1700(b *testing.B) {
	v := newTracker(1700).View()
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			v.computeOwner("shard", "hall-1")
		}
	})
	b.Run("again", func(b *testing.B) {
		for b.Loop() {
			v.Owner("shard", "hall-1")
		}
	})
}

func BenchmarkHeartbeatAt1700(b *testing.B) {
	tr := newTracker(1700)
	for b.Loop() {
		tr.RecordHeartbeat(now, Heartbeat{Box: "box-0700", Incarnation: "i"})
	}
}
