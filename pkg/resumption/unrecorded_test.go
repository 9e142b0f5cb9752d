package resumption

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
)

// Guards against a version that is not avoided when it comes back, because it was avoided before without being recorded.
func TestVersionThatWasNeverRecordedIsAvoidedAgainWhenItComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{}
		h, listed := newTestHistory(t, store, map[string][]string{"s": {"v1"}})
		show := func(versions ...string) []string {
			listed.Store(&map[string][]string{"s": versions})
			h.ServersChanged()
			return h.Unrecorded("s", versions, clock.Now())
		}
		time.Sleep(time.Second)
		store.setSilent(true)
		assert.Equal(t, []string{"v2"}, show("v1", "v2"))
		time.Sleep(maxRecordWait)
		assert.Empty(t, show("v1"))
		store.setSilent(false)
		time.Sleep(time.Hour)
		assert.Equal(t, []string{"v2"}, show("v1", "v2"), "the record does not hold it")
	})
}

// Guards against a version that counts as recorded after a box that does not list it yet has taken it out of the record.
func TestVersionThatComesBackStaysInTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{record: VersionRecord{Services: map[string][]string{"s": {"v1", "v2"}, "t": {"v1"}}}}
		behind, behindLists := newTestHistory(t, store, map[string][]string{"s": {"v1"}, "t": {"v1"}})
		time.Sleep(Retention + 2*versionCheckInterval)
		h, listed := newTestHistory(t, store, map[string][]string{"s": {"v1"}, "t": {"v1"}})
		time.Sleep(time.Second)
		listed.Store(&map[string][]string{"s": {"v1", "v2"}, "t": {"v1", "v2"}})
		h.ServersChanged()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, []string{"v1", "v2"}, store.services()["s"])
		behindLists.Store(&map[string][]string{"s": {"v1"}, "t": {"v1", "v3"}})
		behind.ServersChanged()
		time.Sleep(100 * time.Millisecond)
		if avoided := h.Unrecorded("s", []string{"v1", "v2"}, clock.Now()); len(avoided) == 0 {
			assert.Equal(t, []string{"v1", "v2"}, store.services()["s"], "the box that lists it sends new streams there")
		}
	})
}

// Guards against a box that removes a version which another box has removed and added again, where it does not list it yet, and against a
// version that stays because its number was lost or never given.
func TestVersionIsRemovedOnlyByABoxThatKnowsOfItsAddition(t *testing.T) {
	for name, c := range map[string]struct {
		// before and after are the numbers of the addition, as this box first saw it and as it finds it later; zero for none.
		before, after uint32
		stays         bool
	}{
		"the same addition":                           {before: 7, after: 7},
		"added again, higher":                         {before: 7, after: 8, stays: true},
		"added again, lower":                          {before: 7, after: 6, stays: true},
		"number lost at an earlier build":             {before: 7, after: 0, stays: true},
		"added by an earlier build, then added again": {before: 0, after: 7, stays: true},
		"added by an earlier build, which gives none": {before: 0, after: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				record := func(addition uint32) VersionRecord {
					r := VersionRecord{Services: map[string][]string{"s": {"v1", "v2"}}}
					r.setAddition(serviceVersion{"s", "v2"}, addition)
					return r
				}
				store := &versionStore{record: record(c.before)}
				h, _ := newTestHistory(t, store, map[string][]string{"s": {"v1"}})
				time.Sleep(time.Second)
				store.setSilent(true)
				time.Sleep(Retention + versionCheckInterval)
				store.replace(record(c.after))
				store.setSilent(false)
				time.Sleep(versionCheckInterval)
				want := []string{"v1"}
				if c.stays {
					want = append(want, "v2")
				}
				assert.Equal(t, want, store.services()["s"])
				assert.Equal(t, want, h.With("s", []string{"v1"}, clock.Now()), "versions that count as present")
				time.Sleep(Retention + versionCheckInterval)
				assert.Equal(t, []string{"v1"}, store.services()["s"], "it is not listed")
			})
		})
	}
}

// Guards against versions that outlive all boxes by their numbers only, or lose them as another service changes.
func TestAdditionsAreKeptWhileOtherServicesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{}
		h, listed := newTestHistory(t, store, map[string][]string{"s": {"v1", "v2"}})
		time.Sleep(time.Second)
		additions := func() map[string]uint32 {
			s, err := store.Read(t.Context())
			assert.NoError(t, err)
			return s.Record.Additions["s"]
		}
		before := additions()
		assert.Len(t, before, 2)
		other, _ := newTestHistory(t, store, map[string][]string{"s": {"v1"}, "t": {"v7"}})
		time.Sleep(time.Second)
		listed.Store(&map[string][]string{"s": {"v1", "v2"}, "t": {"v7", "v8"}})
		h.ServersChanged()
		time.Sleep(time.Second)
		assert.Equal(t, []string{"v7", "v8"}, store.services()["t"])
		assert.Equal(t, before, additions())
		assert.True(t, other.Known(clock.Now()))
	})
}

// Guards against a version that stays in the record for good, because boxes that began to watch at different times each add it again.
func TestVersionLeavesTheRecordWhileOtherServicesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &versionStore{record: VersionRecord{Services: map[string][]string{"s": {"v0", "v1"}}}}
		var histories []*VersionHistory
		var lists []*listing
		for range 3 {
			h, listed := newTestHistory(t, store, map[string][]string{"s": {"v1"}})
			histories, lists = append(histories, h), append(lists, listed)
			time.Sleep(10 * time.Second)
		}
		for i := range 200 {
			for j, h := range histories {
				lists[j].Store(&map[string][]string{"s": {"v1"}, "t": {fmt.Sprint("v", i), fmt.Sprint("v", i+1)}})
				h.ServersChanged()
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, []string{"v1"}, store.services()["s"])
		assert.Equal(t, []string{"v1"}, histories[0].With("s", []string{"v1"}, clock.Now()))
	})
}

// newFleet returns a history of n boxes that run, whose servers have one version.
func newFleet(t *testing.T, n int, seed uint64) *history {
	store := &versionStore{}
	h := &history{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), roster: boxes(n, 2), versions: []string{"v1"}, boxes: make([]*simulatedBox, n), store: store, saved: newStreamStore(store, seed),
		network: &network{random: rand.New(rand.NewPCG(seed, 2)), conns: make(map[string]*packetConn), cut: make(map[string]bool)}, settledTries: make(map[bool]int),
	}
	for i := range n {
		h.start(i)
	}
	time.Sleep(5 * time.Second)
	return h
}

func (h *history) end() {
	for _, b := range h.boxes {
		b.close()
	}
	h.streams.Wait()
	synctest.Wait()
}

// losePower kills all boxes, calls f while none runs, and starts them again.
func (h *history) losePower(f func()) {
	for _, b := range h.boxes {
		b.close()
	}
	time.Sleep(time.Second)
	f()
	for i := range h.boxes {
		h.start(i)
	}
	time.Sleep(5 * time.Second)
}

// Guards against a stream that may not go on while its boxes run, and may once all have ended.
func TestDoubtfulStreamOfOneVersionIsRefusedAfterAllBoxesEnded(t *testing.T) {
	for name, o := range map[string]Origin{
		"uncertain": {Service: testService, Version: "v1", Uncertain: true},
		"ambiguous": {Service: testService, Version: "v1", Ambiguous: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newFleet(t, 7, 1)
				k := KeyOf("a", "1")
				h.boxes[0].exchange.Began(k, o)
				h.boxes[0].exchange.Interrupted(k, o)
				time.Sleep(time.Second)
				assert.False(t, h.boxes[1].exchange.Find(t.Context(), k, testService).Known, "before the boxes ended")
				h.losePower(func() {})
				assert.False(t, h.boxes[1].exchange.Find(t.Context(), k, testService).Known)
				h.end()
			})
		})
	}
}

// Guards against streams of two versions that begin at a version which has replaced the others at once, before its record is written.
func TestStreamOfAVersionThatReplacedAllOthersStaysAtIt(t *testing.T) {
	mixed, wentOn := 0, 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			h := newFleet(t, 7, seed)
			h.replace([]string{"v2"})
			at := -1
			for ; at < 0; time.Sleep(time.Millisecond) {
				at = slices.IndexFunc(h.boxes, func(b *simulatedBox) bool { return b.serving()[0] == "v2" })
			}
			b := h.boxes[at]
			k, o := KeyOf("a", "1"), Origin{Service: testService, Version: b.serving()[0]}
			b.begin(o.Version)
			h.streams.Go(func() { b.forwardUntil(k, o, time.Minute) })
			time.Sleep(h.between(0, 250*time.Millisecond))
			saved := len(h.saved.snapshot()) > 0
			h.losePower(func() { h.versions = []string{"v1"} })
			v := h.boxes[0].exchange.Find(t.Context(), k, testService)
			if v.Known {
				wentOn++
			}
			if v.Known && v.Origin.Version != o.Version {
				mixed++
				t.Logf("seed %d: box %d, began at %s, goes on at %s, in a saved object: %t", seed, at, o.Version, v.Origin.Version, saved)
			}
			h.end()
		})
	}
	assert.Zero(t, mixed, "streams of two versions, of %d that went on", wentOn)
}

// replace replaces the versions of the servers, of which the boxes learn one after the other.
func (h *history) replace(versions []string) {
	h.mu.Lock()
	h.versions = versions[:len(versions)-1]
	h.mu.Unlock()
	h.appear(versions[len(versions)-1])
}
