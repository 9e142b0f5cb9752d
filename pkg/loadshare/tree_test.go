package loadshare

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/fairshare"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/loadshare/loadpb"
	"headhill.example/headhill/pkg/roster"
)

// Guards against boxes that compute different trees, against trees with many children or levels, and
// against a tree where none is needed.
func TestTreeFollowsFromRoster(t *testing.T) {
	_, ok := newTree(membersOf(fleetEntries(maxFlatHall, 1)), "hall-0")
	assert.False(t, ok)
	_, ok = newTree(membersOf(fleetEntries(10*maxFlatHall, 10)), "hall-0")
	assert.False(t, ok, "a small hall of a large fleet")
	_, ok = newTree(membersOf(fleetEntries(maxFlatHall+1, 1)), "hall-0")
	assert.True(t, ok)

	entries := fleetEntries(2*243, 2)
	x, _ := newTree(membersOf(entries), "hall-0")
	slices.Reverse(entries)
	y, _ := newTree(membersOf(entries), "hall-0")
	assert.Equal(t, x.boxes, y.boxes)
	require.Len(t, x.boxes, 243)
	assert.Equal(t, 1, x.halls)
	entries[7].Level = forms.LevelEras
	z, _ := newTree(membersOf(entries), entries[7].Hall)
	assert.Len(t, z.boxes, 242, "a box of an earlier build is not in the tree")
	assert.NotContains(t, z.index, entries[7].Box)
	children := make(map[int]int)
	for i := range x.boxes {
		p := position{tree: x, self: i}
		assert.LessOrEqual(t, len(p.ancestors()), 3, "levels of the tree")
		if i > 0 {
			children[p.ancestors()[0]]++
			assert.Equal(t, 0, p.ancestors()[len(p.ancestors())-1], "the root is the relay")
		}
	}
	for i := range x.boxes {
		assert.Equal(t, x.children(i), children[i])
		assert.LessOrEqual(t, children[i], treeChildren)
	}
}

// Guards against a box that reports to nobody, or in a circle, while another box stands in for the root.
func TestRelayStandsInForLostRoot(t *testing.T) {
	x, _ := newTree(membersOf(fleetEntries(243, 1)), "hall-0")
	for relay := range 10 {
		for i := range x.boxes {
			list := position{tree: x, self: i, relay: relay}.ancestors()
			if i == relay {
				assert.Empty(t, list)
				continue
			}
			assert.Equal(t, relay, list[len(list)-1], "box %d, relay %d", i, relay)
			assert.NotContains(t, list, i)
			if relay != 0 {
				assert.NotContains(t, list, 0)
			}
		}
	}
}

// Guards against requests that are counted twice as a box and the sum of one above it both count, and
// against ones that are not counted at all.
func TestReportsThatCount(t *testing.T) {
	x, _ := newTree(membersOf(fleetEntries(243, 1)), "hall-0")
	now := time.Unix(1000, 0)
	// Boxes 1 to 6 are below the root, 7 to 12 below box 1, 43 to 48 below box 7.
	for name, c := range map[string]struct {
		self, relay int
		ages        map[int]time.Duration
		discarded   []int
	}{
		"children":                              {ages: map[int]time.Duration{1: 0, 2: time.Second, 6: 0}},
		"a child that passed a living box":      {ages: map[int]time.Duration{1: time.Second, 8: 0}, discarded: []int{8}},
		"children that passed a lost box":       {ages: map[int]time.Duration{1: 2 * time.Second, 7: 0, 8: 0}, discarded: []int{1}},
		"a report from before the box was lost": {ages: map[int]time.Duration{1: 2 * time.Second, 7: 2 * time.Second, 8: 0}, discarded: []int{1, 7}},
		"one that passed two lost boxes":        {ages: map[int]time.Duration{1: 3 * time.Second, 7: 2 * time.Second, 43: 0}, discarded: []int{1, 7}},
		"one below a box that passed another":   {ages: map[int]time.Duration{7: 0, 43: 0}, discarded: []int{43}},
		"at an inner box":                       {self: 1, ages: map[int]time.Duration{7: 0, 43: 0, 44: 0, 49: 0}, discarded: []int{43, 44}},
		"from elsewhere in the tree":            {self: 1, ages: map[int]time.Duration{2: 0, 13: 0, 0: 0, 7: 0}, discarded: []int{0, 2, 13}},
		"at the box that replaces the root":     {self: 1, relay: 1, ages: map[int]time.Duration{2: 0, 3: 0, 7: 0}},
		"beside a root that others still see":   {self: 1, relay: 1, ages: map[int]time.Duration{0: 0, 2: 0, 7: 0}, discarded: []int{2}},
		"from the relay, formerly below":        {self: 1, relay: 7, ages: map[int]time.Duration{7: 0, 8: 0}, discarded: []int{7}},
	} {
		heard, want := map[string]time.Time{}, []string{}
		for i, age := range c.ages {
			heard[x.boxes[i].box] = now.Add(-age)
		}
		for _, i := range c.discarded {
			want = append(want, x.boxes[i].box)
		}
		moved, superseded := position{tree: x, self: c.self, relay: c.relay}.discarded(heard, now)
		got := slices.Concat(moved, superseded)
		slices.Sort(got)
		assert.ElementsMatch(t, want, slices.Compact(got), name)
	}
	moved, superseded := position{tree: x}.discarded(map[string]time.Time{"gone": now}, now)
	assert.Equal(t, []string{"gone"}, moved, "a box that left the roster")
	assert.Empty(t, superseded)
}

// largeFleet returns a fleet with a hall of the given size, hall-0, and other halls of otherHall boxes, which have a tree as well.
func largeFleet(size, otherHalls int) *simulatedFleet {
	return simulateFleet(largeEntries(size, otherHalls))
}

// otherHall is the size of the other halls of a large fleet.
const otherHall = maxFlatHall + 2

func largeEntries(size, otherHalls int) []roster.Entry {
	var entries []roster.Entry
	for i := range size + otherHall*otherHalls {
		hall := "hall-0"
		if i >= size {
			hall = fmt.Sprintf("hall-%d", 1+i%otherHalls)
		}
		entries = append(entries, entryOf(i, hall))
	}
	return entries
}

// box returns the box of hall-0 at an index of its tree.
func (f *simulatedFleet) box(i int) *Sharer {
	s := f.order[0]
	s.members()
	return f.sharers[s.cachedTree.boxes[i].address.String()]
}

// Guards against boxes of a large hall that are counted twice, not at all, or that count themselves.
func TestTimingsReachAllBoxesOfLargeHall(t *testing.T) {
	f := largeFleet(100, 2)
	for _, s := range f.order {
		f.observe(s, 1)
	}
	for range 8 {
		f.step()
	}
	others := float64(len(f.order)-1) * perObservation * math.Exp(-0.8)
	for _, s := range f.order {
		assert.InDelta(t, others, f.peers(s, 1), 0.02*others, "%s after 8 s", s.Box)
	}
}

// maxStatisticsBytes is what a box may send or get in a second: half of the 18 kB for all control.
const maxStatisticsBytes = 9000

// Guards against a box of a large hall that sends or gets more than its share of control traffic, and
// against a share that grows with the boxes or the servers.
func TestGrowthOfStatisticsInLargeHalls(t *testing.T) {
	for _, c := range []struct{ boxes, servers, otherHalls int }{{maxFlatHall + 1, 400, 6}, {121, 3600, 6}, {121, 7200, 6}, {243, 3600, 6}, {243, 7200, 6}, {243, 7200, 0}} {
		f := largeFleet(c.boxes, c.otherHalls)
		for i, s := range f.order {
			s.Usages = &fakeUsages{own: someUsages(i, fairshare.MaxReported)}
			for j := range min(100, c.servers) {
				f.observe(s, (i*29+j)%c.servers)
			}
		}
		for range 6 {
			clear(f.sent)
			clear(f.received)
			f.step()
		}
		sent, received := f.largestTraffic()
		root := f.relayOf("hall-0").Box
		t.Logf("hall of %d boxes, %d servers, %d other halls: at most %d bytes sent, %d received a second; relay %d, %d", c.boxes, c.servers, c.otherHalls, sent, received, f.sent[root], f.received[root])
		assert.LessOrEqual(t, sent, maxStatisticsBytes)
		assert.LessOrEqual(t, received, maxStatisticsBytes)
		if c.boxes < 100 {
			continue
		}
		// Children of a lost box share what that box had.
		f.stopped[f.box(2)], f.stopped[f.box(8)], f.stopped[f.box(14)] = true, true, true
		for second := range 8 {
			if second == 4 {
				f.loseRoot()
			}
			clear(f.sent)
			clear(f.received)
			f.step()
			sent, received = f.largestTraffic()
			t.Logf("%d s after the loss of inner boxes, from the fifth on of the root: %d, %d", second+1, sent, received)
			assert.LessOrEqual(t, sent, maxStatisticsBytes)
			assert.LessOrEqual(t, received, maxStatisticsBytes)
		}
	}
}

// largestTraffic returns the most bytes that a box of hall-0 has sent, and received.
func (f *simulatedFleet) largestTraffic() (sent, received int) {
	for _, s := range f.order {
		if s.Hall == "hall-0" {
			sent, received = max(sent, f.sent[s.Box]), max(received, f.received[s.Box])
		}
	}
	return sent, received
}

// loseRoot stops the root of the tree, which all boxes notice.
func (f *simulatedFleet) loseRoot() {
	root := f.box(0)
	f.stopped[root] = true
	for _, s := range f.order {
		s.relayHealth.skipUntil[root.Box] = f.now.Add(time.Hour)
	}
}

// someUsages returns usages of which two boxes in a row have half in common.
func someUsages(box, n int) []fairshare.Usage {
	list := make([]fairshare.Usage, n)
	for i := range n {
		list[i] = usage(uint32(1<<31+box*n/2+i), 1e6+float64(i), 1e5)
	}
	return list
}

// Guards against a share that is too small for servers to be known to all boxes before their timings
// expire, at a size that deployments have, beside usages that ask for all the room.
func TestTimingsOfManyServersCrossLargeHall(t *testing.T) {
	const servers = 375
	f := largeFleet(91, 1)
	for i, s := range f.order {
		s.Usages = &fakeUsages{own: someUsages(i, fairshare.MaxReported)}
	}
	for second := range 60 {
		for j := range servers {
			f.observe(f.box(90), j)
		}
		f.step()
		known := 0
		for j := range servers {
			if f.peers(f.box(80), j) > 0 {
				known++
			}
		}
		if second%10 == 9 {
			t.Logf("after %d s, another box knows the timings of %d of %d servers", second+1, known, servers)
		}
		if second >= 40 {
			require.Equal(t, servers, known, "after %d s", second+1)
		}
	}
}

// Guards against usages of a large hall that leave out the largest, that count twice, or that do not say
// that they lack smaller ones.
func TestLargestUsagesCrossLargeHall(t *testing.T) {
	f := largeFleet(243, 6)
	trackers := make(map[*Sharer]*fakeUsages)
	for i, s := range f.order {
		own := append(someUsages(i, fairshare.MaxReported-1), usage(1, 4e6, 1e6))
		trackers[s] = &fakeUsages{own: fairshare.Largest(own, len(own))}
		s.Usages = trackers[s]
	}
	for range 10 {
		f.step()
	}
	others := float64(len(f.order) - 1)
	for _, s := range f.order {
		assert.Equal(t, usage(1, 4e6*others, 1e6*others), trackers[s].peerUsage(1), s.Box)
		assert.True(t, trackers[s].cut || len(trackers[s].peers) == fairshare.MaxSummarised, "the list lacks smaller ones")
	}
}

// Guards against usages that expire on their way between two boxes at the bottom of the trees of large
// halls: the next ones must arrive before.
func TestUsagesCrossLargeHallsInTime(t *testing.T) {
	for i := 43; i < 243; i += 25 {
		f := simulateFleet(fleetEntries(2*243, 2))
		// Each box reports just before those below it, so that a report waits a second at each level.
		f.order = nil
		for _, e := range roster.SortByRank(fleetEntries(2*243, 2)) {
			f.order = append(f.order, f.sharers[e.Peer])
		}
		for _, s := range f.order {
			s.Usages = &fakeUsages{}
		}
		f.box(i).Usages = &fakeUsages{own: []fairshare.Usage{usage(1, 1e6, 1e6)}}
		var oldest time.Duration
		for second := range 9 {
			f.step()
			for _, s := range f.order {
				if tracker := s.Usages.(*fakeUsages); second > 5 && s != f.box(i) {
					require.Equal(t, usage(1, 1e6, 1e6), tracker.peerUsage(1), s.Box)
					oldest = max(oldest, f.now.Sub(tracker.reportedAt))
				}
			}
		}
		t.Logf("of box %d: at most %s old", i, oldest)
		assert.LessOrEqual(t, oldest, usageTTL-time.Second)
	}
}

// Guards against a message that exceeds the bytes allowed, and against usages that take all of them.
func TestPackedStatisticsFit(t *testing.T) {
	usages := receivedUsages{list: someUsages(0, 64), reportedAt: time.Unix(1000, 0)}
	list := make(timings)
	for i := range 7200 {
		list[keyNumber(i)] = balancer.Timing{ElapsedMS: float64(i), ExpectedMS: 1e6}
	}
	var r rotation
	for _, bytes := range []int{0, 50, 100, 300, 666, 1142, 4000, 8000, 100000} {
		m, keys := packStatistics("", usages, list, &r, bytes, time.Unix(1001, 0))
		size := proto.Size(m)
		t.Logf("%d bytes hold %d usages and %d timings", bytes, len(m.GetUsage()), len(keys))
		assert.LessOrEqual(t, size, max(statisticsOverhead/2, bytes-statisticsOverhead/2), "%d bytes", bytes)
		assert.Len(t, m.GetServers(), len(keys))
		assert.LessOrEqual(t, size, datagram.MaxDatagramBytes-statisticsOverhead)
		if bytes > 300 && bytes < 5000 {
			assert.Greater(t, size, bytes-statisticsOverhead-30, "%d bytes are used", bytes)
			assert.Greater(t, len(keys)*9, bytes/5)
			assert.True(t, m.GetUsageCut() || len(m.GetUsage()) == 64)
			assert.Equal(t, uint32(1000), m.GetUsageAgeMs())
		}
	}
	few := timings{keyNumber(1): {ElapsedMS: 1, ExpectedMS: 1}}
	m, _ := packStatistics("", usages, few, &r, 1142, time.Unix(1001, 0))
	assert.Len(t, m.GetServers(), 1)
	assert.Greater(t, len(m.GetUsage()), 40, "usages take what few timings leave")
}

// Guards against the sum of an inner box that the relay keeps after the box has left the roster without
// a withdrawal, beside the reports of the boxes that were below it.
func TestSumOfBoxThatLeftRosterIsDropped(t *testing.T) {
	for name, c := range map[string]struct{ size, left int }{
		"the hall keeps its tree":      {100, 2},
		"the hall needs no tree after": {maxFlatHall + 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			entries := largeEntries(c.size, 0)
			f := simulateFleet(entries)
			left := f.box(c.left)
			leaf, root := f.box(treeChildren*c.left+1), f.box(0)
			for range 30 {
				f.observe(leaf, 1)
				f.step()
			}
			before := f.peers(root, 1)
			later := slices.DeleteFunc(slices.Clone(entries), func(e roster.Entry) bool { return e.Box == left.Box })
			f.stopped[left] = true
			for _, s := range f.order {
				s.Entries = func() []roster.Entry { return later }
			}
			for second := range 20 {
				f.observe(leaf, 1)
				f.step()
				// Timings that pass fewer levels have decayed less.
				require.Less(t, f.peers(root, 1), 1.25*before, "after %d s", second+1)
			}
			assert.Greater(t, f.peers(root, 1), 0.8*before)
		})
	}
}

// Guards against a sum that a box has sent past its parent and does not withdraw when the hall needs no
// tree any more.
func TestReportPastParentIsWithdrawn(t *testing.T) {
	large := largeEntries(100, 0)
	f := simulateFleet(large)
	inner, lost, root := f.box(10), f.box(1), f.box(0)
	leaf := f.box(treeChildren*10 + 1)
	tree := f.order[0].cachedTree
	small := slices.DeleteFunc(slices.Clone(large), func(e roster.Entry) bool { return tree.index[e.Box] > 20 && e.Box != leaf.Box })
	f.copies = func(from, to *Sharer) int {
		if from == inner && to == lost || from == lost && to == inner {
			return 0
		}
		return 1
	}
	learn := func(list ...*Sharer) {
		for _, s := range list {
			s.Entries = func() []roster.Entry { return small }
		}
	}
	for second := range 60 {
		if second == 30 {
			learn(root)
		}
		if second == 35 {
			learn(f.order...)
		}
		f.observe(leaf, 1)
		f.step()
		if second >= 36 {
			require.Less(t, f.peers(root, 1), 1.1*10.5*perObservation, "after %d s", second)
		}
	}
}

// Guards against statistics that boxes exchange while all settings that need them are off.
func TestNoStatisticsWhileSettingsAreOff(t *testing.T) {
	f := largeFleet(100, 1)
	for _, s := range f.order {
		s.Balancer.SetPolicy(balancer.Policy{})
	}
	for range 5 {
		clear(f.sent)
		f.step()
	}
	sent, _ := f.largestTraffic()
	assert.Zero(t, sent)

	// Boxes that use none pass on those of others.
	x, y := f.box(50), f.box(99)
	x.Balancer.SetPolicy(balancer.Policy{ServerTimings: true})
	y.Balancer.SetPolicy(balancer.Policy{ServerTimings: true})
	for range 8 {
		f.observe(x, 1)
		f.step()
	}
	assert.Positive(t, f.peers(y, 1))
}

// Guards against a tree in a hall that needs none, and logs what the relay of the largest such hall
// exchanges.
func TestHallWithoutTree(t *testing.T) {
	for _, servers := range []int{90, 375} {
		f := largeFleet(maxFlatHall, 0)
		for _, s := range f.order {
			for j := range servers {
				f.observe(s, j)
			}
		}
		for range 3 {
			clear(f.sent)
			clear(f.received)
			f.step()
		}
		relay := f.relayOf("hall-0")
		for _, s := range f.order {
			assert.Empty(t, s.links.heard, s.Box)
			assert.False(t, s.links.inTree, s.Box)
			assert.Positive(t, f.peers(s, 1), s.Box)
		}
		t.Logf("hall of %d boxes, %d servers: the relay sent %d bytes and received %d a second", maxFlatHall, servers, f.sent[relay.Box], f.received[relay.Box])
	}
}

// Guards against a lost relay that an idle child does not notice, as it sends it no loads, so that all
// boxes below the child stay without statistics.
func TestIdleBoxNoticesLostRelay(t *testing.T) {
	f := largeFleet(100, 0)
	for range 5 {
		f.step()
	}
	root, idle, busy := f.box(0), f.box(2), f.box(50)
	f.stopped[root] = true
	for _, s := range f.order {
		if s != idle {
			s.relayHealth.skipUntil[root.Box] = f.now.Add(time.Hour)
		}
	}
	for range maxUnanswered + 8 {
		f.observe(busy, 1)
		f.step()
	}
	for _, s := range f.order {
		if s != root && s != busy {
			assert.Positive(t, f.peers(s, 1), s.Box)
		}
	}
}

// Guards against a relay that is skipped as it answers no statistics, although it sends summaries of loads.
func TestRelayThatSendsLoadsIsNotSkipped(t *testing.T) {
	f := largeFleet(100, 0)
	f.step()
	root, child := f.box(0), f.box(2)
	f.stopped[root] = true
	for i := range uint32(3 * maxUnanswered) {
		f.step()
		require.Empty(t, child.relayHealth.skipUntil)
		child.handle(message{kind: kindSummary, from: root.Box, received: f.now, loads: &loadpb.Loads{Hall: root.Hall, Parts: 1, Round: i}})
	}
}
