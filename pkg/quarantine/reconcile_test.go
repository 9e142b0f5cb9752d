package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/storerev"
)

// restore puts the record of an earlier copy back, in the next era, and informs all boxes.
func (b *testFleet) restore(s Stored) {
	b.store.mu.Lock()
	s.Revision += storerev.StartOf(b.store.stored.Revision.Era() + 1)
	b.store.stored = s
	b.store.mu.Unlock()
	for _, q := range b.boxes {
		q.ObserveEra()
	}
}

func (b *testFleet) stored() Stored {
	s, _ := b.store.Read(b.t.Context())
	return s
}

// Guards against held requests that a restart of all boxes releases because a restore lost them.
func TestHeldRequestsAreWrittenAgainAfterRestore(t *testing.T) {
	b := startFleet(t, 5, 0)
	before := b.stored()
	f := fingerprint("crashing")
	for n := range 3 {
		b.crash(n, f, n)
		time.Sleep(2 * IncidentWindow)
	}
	require.Eventually(t, func() bool { return b.allHold(f) && b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
	_, writes := b.store.calls()
	b.restore(before)
	require.Eventually(t, func() bool { return b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
	time.Sleep(remoteWriteDelay + remoteWriteSpread)
	_, after := b.store.calls()
	assert.Equal(t, 1, after-writes, "one box repairs the record")
}

// Guards against released requests that a restart of all boxes holds again because a restore listed them.
func TestReleasedRequestsAreRemovedAgainAfterRestore(t *testing.T) {
	b := startFleet(t, 3, 0)
	f := fingerprint("harmless")
	for n := range 3 {
		b.crash(n, f, n)
		time.Sleep(2 * IncidentWindow)
	}
	require.Eventually(t, func() bool { return b.allHold(f) && b.store.held() == 1 }, 10*time.Second, 5*time.Millisecond)
	before := b.stored()
	require.NoError(t, b.boxes[0].Release(f.String()))
	require.Eventually(t, func() bool { return b.store.held() == 0 }, 10*time.Second, 5*time.Millisecond)
	b.restore(before)
	require.Equal(t, 1, b.store.held())
	require.Eventually(t, func() bool { return b.store.held() == 0 }, 10*time.Second, 5*time.Millisecond)
}
