package lease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/lease/leasepb"
	"headhill.example/headhill/pkg/storerev"
	"pgregory.net/rapid"
)

// Under random faults calls are never made with an outdated fence, and once all faults have ended
// exactly one box holds the lease.
func TestRandomFaultsKeepLeaseRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "boxes"), TimingFor(leaseDuration))
		sim.run(40*time.Second, sim.randomFaults(rapid.IntRange(20, 300).Draw(t, "every")))
		require.Empty(t, sim.violation())
		sim.noLostResponses, sim.datagramLoss, sim.storeDownUntil = true, false, sim.now
		for _, b := range sim.boxes {
			b.frozenUntil, b.storeCutUntil, b.peersCutUntil, b.cloudCutUntil, b.deadUntil = sim.now, sim.now, sim.now, sim.now, sim.now
		}
		// An unanswered write may take effect late; after it the lease is taken over once more.
		sim.run(maxWriteDelay+2*maxTakeoverTime, nil)
		require.Empty(t, sim.violation())
		holding := 0
		for _, b := range sim.boxes {
			if _, _, ok := b.elector.Holding(sim.now); ok {
				holding++
			}
		}
		require.Equal(t, 1, holding, "boxes that hold the lease after all faults have ended")
	})
}

// Guards against two holders, a falling fencing token, or no holder at all, after the store was restored.
func TestRestoredStoreKeepsLeaseRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "boxes"), TimingFor(leaseDuration))
		sim.restoreStore = true
		sim.run(time.Minute, sim.randomFaults(rapid.IntRange(20, 300).Draw(t, "every")))
		require.Empty(t, sim.violation())
		sim.noLostResponses, sim.datagramLoss, sim.storeDownUntil = true, false, sim.now
		for _, b := range sim.boxes {
			b.frozenUntil, b.storeCutUntil, b.peersCutUntil, b.cloudCutUntil, b.deadUntil = sim.now, sim.now, sim.now, sim.now, sim.now
		}
		sim.run(maxWriteDelay+2*maxTakeoverTime, nil)
		require.Empty(t, sim.violation())
		require.NotNil(t, sim.holder(), "no box holds the lease after all faults have ended")
	})
}

// If restored records counted as current, the simulation would detect it.
func TestIgnoringRestoresBreaksLeaseRules(t *testing.T) {
	violations := 0
	for seed := range uint64(100) {
		sim := newSimulation(seed, 4, TimingFor(leaseDuration))
		sim.restoreStore, sim.ignoreWrittenEra = true, true
		sim.run(3*time.Minute, sim.randomFaults(100))
		if sim.violation() != "" {
			violations++
		}
	}
	t.Logf("%d of 100 simulations violated a rule", violations)
	assert.Positive(t, violations)
}

// Guards against duties that pause because a valid lease ends when a restore loses its record.
func TestHolderKeepsLeaseAcrossRestore(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(seed, 4, TimingFor(leaseDuration))
		sim.noLostResponses = true
		sim.run(2*leaseDuration, nil)
		holder := sim.holder()
		require.NotNil(t, holder)
		sim.restore()
		sim.storeDownUntil = sim.now.Add(leaseDuration / 10)
		for range 2 * leaseDuration / tickInterval {
			sim.run(tickInterval, nil)
			require.Same(t, holder, sim.holder(), "seed %d", seed)
		}
		require.Empty(t, sim.violation())
	}
}

// A holder whose machine was suspended must not make calls under a lease that another box has
// acquired meanwhile, as its clock includes the suspension.
func TestSuspendedHoldersKeepLeaseRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "boxes"), TimingFor(leaseDuration))
		sim.suspendMachines = true
		sim.run(3*time.Minute, sim.randomFaults(400))
		assert.Empty(t, sim.violation())
	})
}

// With clocks that stop during a suspension, the simulation must detect calls with outdated fences.
func TestMonotonicClockBreaksLeaseRules(t *testing.T) {
	violations := 0
	for seed := range uint64(40) {
		sim := newSimulation(seed, 4, TimingFor(leaseDuration))
		sim.suspendMachines, sim.monotonicClock = true, true
		sim.run(3*time.Minute, sim.randomFaults(400))
		if sim.violation() != "" {
			violations++
		}
	}
	t.Logf("%d of 40 simulations violated a rule", violations)
	assert.Positive(t, violations)
}

func TestSimulationDetectsMissingMechanisms(t *testing.T) {
	for name, change := range map[string]func(*Timing){
		"holder uses its lease beyond the takeover delay": func(x *Timing) { x.Validity = x.TakeoverDelay * 3 / 2 },
		"takeover before the holder has given up":         func(x *Timing) { x.TakeoverDelay = x.Validity / 3 },
		"no cooldown of a previous holder":                func(x *Timing) { x.Cooldown = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			timing := TimingFor(leaseDuration)
			change(&timing)
			for seed := range uint64(400) {
				sim := newSimulation(seed, 4, timing)
				sim.run(40*time.Second, sim.randomFaults(60))
				if sim.violation() != "" {
					return
				}
			}
			t.Error("no simulation violated a rule")
		})
	}
}

// holder returns the box that holds the lease, or nil.
func (sim *simulation) holder() *simulatedBox {
	for _, b := range sim.boxes {
		if _, _, ok := b.elector.Holding(sim.now); ok && !b.dead && !b.stopped {
			return b
		}
	}
	return nil
}

// requireTakeover runs the simulation until a box other than previous holds the lease.
func (sim *simulation) requireTakeover(t *testing.T, previous *simulatedBox, limit time.Duration) {
	t.Helper()
	startedAt := sim.now
	for sim.now.Sub(startedAt) < limit {
		sim.run(tickInterval, nil)
		if now := sim.holder(); now != nil && now != previous {
			return
		}
	}
	require.Fail(t, "no other box acquired the lease", "within %s", limit)
}

// maxTakeoverTime bounds the takeover from a lost holder: the lease duration, the delays of the
// lower ranks and two store calls.
const maxTakeoverTime = leaseDuration + time.Second

func TestLostHoldersAreReplaced(t *testing.T) {
	for name, fail := range map[string]func(*simulation, *simulatedBox){
		"killed": func(sim *simulation, b *simulatedBox) { sim.kill(b, time.Minute) },
		"frozen": func(sim *simulation, b *simulatedBox) { b.frozenUntil = sim.now.Add(time.Minute) },
		"isolated from store, peers and cloud": func(sim *simulation, b *simulatedBox) {
			until := sim.now.Add(time.Minute)
			b.storeCutUntil, b.peersCutUntil, b.cloudCutUntil = until, until, until
		},
		"isolated from the store only": func(sim *simulation, b *simulatedBox) { b.storeCutUntil = sim.now.Add(time.Minute) },
		"killed together with two other boxes": func(sim *simulation, b *simulatedBox) {
			sim.kill(b, time.Minute)
			sim.kill(sim.boxes[1], time.Minute)
			sim.kill(sim.boxes[2], time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(3, 6, TimingFor(leaseDuration))
			sim.run(2*time.Second, nil)
			previous := sim.holder()
			require.NotNil(t, previous)
			fail(sim, previous)
			sim.requireTakeover(t, previous, maxTakeoverTime)
			sim.run(10*time.Second, nil)
			assert.Empty(t, sim.violation())
		})
	}
}

func TestPlannedStopReleasesLease(t *testing.T) {
	sim := newSimulation(5, 6, TimingFor(leaseDuration))
	sim.run(2*leaseDuration, nil)
	previous := sim.holder()
	require.NotNil(t, previous)
	sim.stop(previous)
	sim.requireTakeover(t, previous, 600*time.Millisecond)
	sim.run(10*time.Second, nil)
	assert.Empty(t, sim.violation())
}

// A box that was frozen finds its lease expired before it makes a call.
func TestFrozenHolderLosesLease(t *testing.T) {
	sim := newSimulation(6, 4, TimingFor(leaseDuration))
	sim.run(2*time.Second, nil)
	previous := sim.holder()
	require.NotNil(t, previous)
	previous.frozenUntil = sim.now.Add(8 * time.Second)
	sim.run(8*time.Second+50*time.Millisecond, nil)
	_, _, ok := previous.elector.Holding(sim.now)
	assert.False(t, ok)
	sim.run(5*time.Second, nil)
	assert.Empty(t, sim.violation())
}

// A holder whose renewal took effect without a response keeps its lease and fence.
func TestUnansweredRenewalIsRecovered(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := NewElector("a", 1, TimingFor(leaseDuration), now)
	e.ObserveRead(VersionedRecord{}, now)
	e.Acquired(VersionedRecord{Record: e.AcquireRecord(), Revision: 10}, now, now)
	renewed := VersionedRecord{Record: e.RenewRecord(nil, true), Revision: 14}
	now = now.Add(2 * leaseDuration)
	_, _, ok := e.Holding(now)
	require.False(t, ok, "unconfirmed renewal")
	e.ObserveRead(renewed, now)
	step, _ := e.Next(0, now)
	assert.Equal(t, StepRenew, step)
	e.Renewed(VersionedRecord{Record: e.RenewRecord(nil, true), Revision: 15}, now, now)
	fence, _, ok := e.Holding(now)
	assert.True(t, ok)
	assert.EqualValues(t, 10, fence, "no other box held the lease in between")
}

// A box whose acquisition took effect without a response does not know its fence, so it must acquire
// the lease again.
func TestUnansweredAcquisitionIsRepeated(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := NewElector("a", 1, TimingFor(leaseDuration), now)
	e.ObserveRead(VersionedRecord{}, now)
	e.ObserveRead(VersionedRecord{Record: e.AcquireRecord(), Revision: 10}, now)
	_, _, ok := e.Holding(now)
	assert.False(t, ok)
	step, _ := e.Next(0, now)
	assert.Equal(t, StepAcquire, step)
}

// The state is preserved when another box acquires the lease.
func TestStateIsPassedToNextHolder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	e := NewElector("b", 2, TimingFor(leaseDuration), now)
	e.ObserveAnnounced(VersionedRecord{Record: Record{Holder: "a", Incarnation: 1}, Revision: 7}, now)
	now = now.Add(2 * leaseDuration)
	step, _ := e.Next(0, now)
	require.Equal(t, StepRead, step, "an announced record must be read before it is overwritten")
	e.ObserveRead(VersionedRecord{Record: Record{Holder: "a", Incarnation: 1, State: []byte("left")}, Revision: 7}, now)
	step, _ = e.Next(0, now)
	require.Equal(t, StepAcquire, step)
	assert.Equal(t, "left", string(e.AcquireRecord().State))
}

// After a store outage of minutes a box acquires the lease again.
func TestLeaseIsAcquiredAfterStoreOutage(t *testing.T) {
	sim := newSimulation(9, 6, TimingFor(leaseDuration))
	sim.run(2*time.Second, nil)
	sim.storeDownUntil = sim.now.Add(3 * time.Minute)
	sim.run(3*time.Minute, nil)
	require.Nil(t, sim.holder())
	sim.requireTakeover(t, nil, maxTakeoverTime+maxRetryDelay)
	assert.Empty(t, sim.violation())
}

// Guards against a clock estimate of a former holder that arrives late. How far it got with the duties counts all the same.
func TestLateAnnouncementOfAHolderIsIgnored(t *testing.T) {
	var told []string
	var progress []uint64
	m := NewManager(Deps{
		Box: "a", Timing: TimingFor(leaseDuration), Port: datagram.NewPort(datagram.Deps{Box: "a"}), Logger: log.NewNopLogger(),
		OnAnnouncement: func(payload []byte, _ time.Time) { told = append(told, string(payload)) },
		OnProgress:     func(p uint64) { progress = append(progress, p) },
		OnHolderChange: func(string) {},
	})
	for _, l := range []*leasepb.Lease{
		{Holder: "b", Revision: 5, Told: []byte("b at 5"), Progress: 3},
		{Holder: "c", Revision: 9, Told: []byte("c at 9"), Progress: 4},
		{Holder: "b", Revision: 6, Told: []byte("b at 6"), Progress: 7},
		{Holder: "c", Revision: 2, Era: 1, Told: []byte("c in the next era"), Progress: 8},
		{Holder: "c", Revision: 10, Told: []byte("c at 10"), Progress: 5},
	} {
		body, err := proto.Marshal(l)
		require.NoError(t, err)
		m.handleAnnouncement(datagram.Message{Box: l.GetHolder(), Received: time.Now(), Body: body})
	}
	assert.Equal(t, []string{"b at 5", "c at 9", "c in the next era"}, told)
	assert.Equal(t, []uint64{3, 4, 7, 8, 5}, progress)
	assert.Equal(t, "c", m.Holder())
}

func TestLeaseWireForm(t *testing.T) {
	formstest.CheckShape(t, "lease", &leasepb.Lease{}, Record{})
}

// Guards against the state from an older copy of the store that passes for the latest one once a box has written it again: the box may end, or
// release the lease, before it has found out what was lost.
func TestRestoredStateIsOneUntilItIsUpToDate(t *testing.T) {
	now := time.Unix(100, 0)
	restored := VersionedRecord{Record: Record{Holder: "a", Incarnation: 1, Era: 1, StateEra: 1, State: []byte("old")}, Revision: storerev.StartOf(2) + 7}
	e := NewElector("b", 2, TimingFor(leaseDuration), now)
	write := func(r Record) VersionedRecord {
		restored.Revision++
		return VersionedRecord{Record: r, Revision: restored.Revision}
	}
	require.True(t, restored.stateRestored())
	e.ObserveRead(restored, now)
	acquired := write(e.AcquireRecord())
	assert.False(t, acquired.restored())
	assert.True(t, acquired.stateRestored(), "acquired")
	e.Acquired(acquired, now, now)
	renewed := write(e.RenewRecord([]byte("old"), false))
	assert.True(t, renewed.stateRestored(), "renewed")
	e.Renewed(renewed, now, now)
	assert.True(t, write(e.ReleaseRecord([]byte("old"), false)).stateRestored(), "released")
	next := NewElector("c", 3, TimingFor(leaseDuration), now)
	next.ObserveRead(renewed, now)
	assert.True(t, write(next.AcquireRecord()).stateRestored(), "acquired again")
	assert.False(t, write(e.ReleaseRecord([]byte("new"), true)).stateRestored(), "released up to date")
	renewed = write(e.RenewRecord([]byte("new"), true))
	assert.False(t, renewed.stateRestored(), "renewed up to date")
	renewed.Revision = storerev.StartOf(3) + 7
	assert.True(t, renewed.stateRestored(), "restored once more")
}

// Guards against a state that counts as up to date although the store was restored between the read of the record and the write that
// acquired the lease.
func TestStateIsRestoredIfTheLeaseIsAcquiredInALaterEra(t *testing.T) {
	now := time.Unix(100, 0)
	e := NewElector("b", 2, TimingFor(leaseDuration), now)
	e.ObserveRead(VersionedRecord{Record: Record{Holder: "", Era: 1, StateEra: 1}, Revision: storerev.StartOf(1) + 7}, now)
	assert.True(t, VersionedRecord{Record: e.AcquireRecord(), Revision: storerev.StartOf(2) + 8}.stateRestored())
}

// Guards against a record of a build that does not know StateEra: that of a later era than the first counts as restored, which is safe, and
// such a build reads what this one writes.
func TestRecordsOfEarlierBuildsAreRead(t *testing.T) {
	var r Record
	require.NoError(t, json.Unmarshal([]byte(`{"holder":"a","incarnation":7,"fence":12,"era":3,"renewals":5,"state":"b2xk"}`), &r))
	assert.Equal(t, Record{Holder: "a", Incarnation: 7, Fence: 12, Era: 3, Renewals: 5, State: []byte("old")}, r)
	assert.True(t, VersionedRecord{Record: r, Revision: storerev.StartOf(3) + 9}.stateRestored())
	r.Era = 0
	assert.False(t, VersionedRecord{Record: r, Revision: 9}.stateRestored(), "no store was restored yet")

	var earlier struct {
		Holder      string `json:"holder"`
		Incarnation uint64 `json:"incarnation"`
		Fence       uint64 `json:"fence"`
		Era         uint64 `json:"era,omitempty"`
		Renewals    uint64 `json:"renewals"`
		State       []byte `json:"state,omitempty"`
	}
	data, err := json.Marshal(Record{Holder: "b", Incarnation: 8, Fence: 13, Era: 4, Renewals: 6, State: []byte("new"), StateEra: 4})
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(data, &earlier))
	assert.Equal(t, "b 8 13 4 6 new", fmt.Sprint(earlier.Holder, " ", earlier.Incarnation, " ", earlier.Fence, " ", earlier.Era, " ", earlier.Renewals, " ", string(earlier.State)))
}
