package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/lease/leasepb"
	"pgregory.net/rapid"
)

// Whatever happens, in whatever order, the calls keep the rules, and once calm returns some
// box holds the lease.
func TestDrawnHistoriesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "boxes"), TimingFor(length))
		h.play(40*time.Second, h.troubles(rapid.IntRange(20, 300).Draw(t, "every")))
		require.Empty(t, h.broken())
		h.calm, h.lossy, h.storeDown = true, false, h.now
		for _, b := range h.boxes {
			b.frozen, b.cutStore, b.cutPeers, b.cutCloud, b.deadUntil = h.now, h.now, h.now, h.now, h.now
		}
		// A write may be done six seconds late; after it the lease is taken within a length
		// and some places.
		h.play(lateMost+2*takenSoon, nil)
		require.Empty(t, h.broken())
		holding := 0
		for _, b := range h.boxes {
			if _, _, ok := b.elector.Holding(h.now); ok {
				holding++
			}
		}
		require.Equal(t, 1, holding, "one box holds the lease once all is calm")
	})
}

// The same histories break a rule where a mechanism is taken out, so that they would show it.
// A holder whose machine was suspended for 0.5 to 60 s makes no call on a lease that is another
// box's by now, at whichever step it stood still: its clock counts that time. The thaw that
// excuses a call in flight is a tenth of the length.
func TestSuspendedHoldersKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "boxes"), TimingFor(length))
		h.suspends = true
		h.play(3*time.Minute, h.troubles(400))
		assert.Empty(t, h.broken())
	})
}

// By a clock that stands still while the machine is suspended, holders call under old fences.
func TestClockThatStandsStillBreaksTheRules(t *testing.T) {
	broken := 0
	for seed := range uint64(40) {
		h := newHistory(seed, 4, TimingFor(length))
		h.suspends, h.steady = true, true
		h.play(3*time.Minute, h.troubles(400))
		if h.broken() != "" {
			broken++
		}
	}
	t.Logf("%d of 40 histories broken", broken)
	assert.Positive(t, broken)
}

func TestHistoriesShowEachMechanism(t *testing.T) {
	for name, change := range map[string]func(*Timing){
		"a holder trusts its lease too long":     func(x *Timing) { x.Validity = x.TakeoverDelay * 3 / 2 },
		"others take it too soon":                func(x *Timing) { x.TakeoverDelay = x.Validity / 3 },
		"who may have called does not stay away": func(x *Timing) { x.Cooldown = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			timing := TimingFor(length)
			change(&timing)
			for seed := range uint64(400) {
				h := newHistory(seed, 4, timing)
				h.play(40*time.Second, h.troubles(60))
				if h.broken() != "" {
					return
				}
			}
			t.Error("no history broke a rule")
		})
	}
}

// holder is the box that holds the lease, nil if none does.
func (h *history) holder() *playedBox {
	for _, b := range h.boxes {
		if _, _, ok := b.elector.Holding(h.now); ok && !b.dead && !b.stopped {
			return b
		}
	}
	return nil
}

// takenWithin plays until another box than this one holds the lease.
func (h *history) takenWithin(t *testing.T, before *playedBox, most time.Duration) {
	t.Helper()
	begun := h.now
	for h.now.Sub(begun) < most {
		h.play(tickTime, nil)
		if now := h.holder(); now != nil && now != before {
			return
		}
	}
	require.Fail(t, "nobody took the lease", "within %s", most)
}

// takenSoon is the longest time until a lease is taken whose holder is lost: its length, the
// places of the boxes before the taker, and two calls to the store.
const takenSoon = length + time.Second

func TestLostHoldersAreReplaced(t *testing.T) {
	for name, lose := range map[string]func(*history, *playedBox){
		"killed": func(h *history, b *playedBox) { h.kill(b, time.Minute) },
		"frozen": func(h *history, b *playedBox) { b.frozen = h.now.Add(time.Minute) },
		"cut from all": func(h *history, b *playedBox) {
			u := h.now.Add(time.Minute)
			b.cutStore, b.cutPeers, b.cutCloud = u, u, u
		},
		"refused by the store alone": func(h *history, b *playedBox) { b.cutStore = h.now.Add(time.Minute) },
		"killed with half of the rest": func(h *history, b *playedBox) {
			h.kill(b, time.Minute)
			h.kill(h.boxes[1], time.Minute)
			h.kill(h.boxes[2], time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(3, 6, TimingFor(length))
			h.play(2*time.Second, nil)
			before := h.holder()
			require.NotNil(t, before)
			lose(h, before)
			h.takenWithin(t, before, takenSoon)
			h.play(10*time.Second, nil)
			assert.Empty(t, h.broken())
		})
	}
}

func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	h := newHistory(5, 6, TimingFor(length))
	h.play(2*length, nil)
	before := h.holder()
	require.NotNil(t, before)
	h.stop(before)
	h.takenWithin(t, before, 600*time.Millisecond)
	h.play(10*time.Second, nil)
	assert.Empty(t, h.broken())
}

// A box that was frozen or cut finds its lease gone before it calls.
func TestFrozenHolderDoesNotCallAgain(t *testing.T) {
	h := newHistory(6, 4, TimingFor(length))
	h.play(2*time.Second, nil)
	before := h.holder()
	require.NotNil(t, before)
	before.frozen = h.now.Add(8 * time.Second)
	h.play(8*time.Second+50*time.Millisecond, nil)
	_, _, ok := before.elector.Holding(h.now)
	assert.False(t, ok)
	h.play(5*time.Second, nil)
	assert.Empty(t, h.broken())
}

// A renewal that was done and not answered leaves the record as this box's own: it goes on.
func TestRenewalWithoutAnswerIsFoundOut(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := NewElector("a", 1, TimingFor(length), now)
	e.ObserveRead(VersionedRecord{}, now)
	e.Acquired(VersionedRecord{Record: e.AcquireRecord(), Revision: 10}, now, now)
	renewed := VersionedRecord{Record: e.RenewRecord(nil), Revision: 14}
	now = now.Add(2 * length)
	_, _, ok := e.Holding(now)
	require.False(t, ok, "nothing confirmed the lease")
	e.ObserveRead(renewed, now)
	step, _ := e.Next(0, now)
	assert.Equal(t, StepRenew, step)
	e.Renewed(VersionedRecord{Record: e.RenewRecord(nil), Revision: 15}, now, now)
	fence, _, ok := e.Holding(now)
	assert.True(t, ok)
	assert.EqualValues(t, 10, fence, "nobody else had it meanwhile")
}

// A taking that was done and not answered is not used: its revision, the fence, is not known.
func TestTakingWithoutAnswerIsTakenAnew(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := NewElector("a", 1, TimingFor(length), now)
	e.ObserveRead(VersionedRecord{}, now)
	e.ObserveRead(VersionedRecord{Record: e.AcquireRecord(), Revision: 10}, now)
	_, _, ok := e.Holding(now)
	assert.False(t, ok)
	step, _ := e.Next(0, now)
	assert.Equal(t, StepAcquire, step)
}

// What another holder left lasts: the state goes from record to record.
func TestStateIsHandedOn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := NewElector("b", 2, TimingFor(length), now)
	e.ObserveAnnounced(VersionedRecord{Record: Record{Holder: "a", Incarnation: 1}, Revision: 7}, now)
	now = now.Add(2 * length)
	step, _ := e.Next(0, now)
	require.Equal(t, StepRead, step, "a record that was only heard of is read before it is written over")
	e.ObserveRead(VersionedRecord{Record: Record{Holder: "a", Incarnation: 1, State: []byte("left")}, Revision: 7}, now)
	step, _ = e.Next(0, now)
	require.Equal(t, StepAcquire, step)
	assert.Equal(t, "left", string(e.AcquireRecord().State))
}

// Once a store that was away for minutes is back, a box takes the lease.
func TestStoreAwayForMinutes(t *testing.T) {
	h := newHistory(9, 6, TimingFor(length))
	h.play(2*time.Second, nil)
	h.storeDown = h.now.Add(3 * time.Minute)
	h.play(3*time.Minute, nil)
	require.Nil(t, h.holder())
	h.takenWithin(t, nil, takenSoon+retryMost)
	assert.Empty(t, h.broken())
}

func TestFormOfTheLease(t *testing.T) {
	formstest.CheckShape(t, "lease", &leasepb.Lease{}, Record{})
}
