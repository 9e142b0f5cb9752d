package loadshare

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/loadshare/loadpb"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

const (
	eventTimeout = 10 * time.Second
	pollInterval = 5 * time.Millisecond
	// settleTime is ample time for a change to reach all boxes.
	settleTime = 2 * time.Second
)

// fleet is a group of boxes that share their loads.
type fleet struct {
	boxes []*box
}

type box struct {
	balancer *balancer.Balancer
	conn     *net.UDPConn
	cancel   context.CancelFunc
}

// withFleet runs f with boxes that are assigned to halls round-robin.
func withFleet(t *testing.T, count, halls int, f func(*fleet), options ...func(*Deps)) {
	var entries []roster.Entry
	x := &fleet{}
	known := make(map[netip.AddrPort]bool)
	for i := range count {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		known[conn.LocalAddr().(*net.UDPAddr).AddrPort()] = true
		entries = append(entries, roster.Entry{Box: fmt.Sprintf("box-%02d", i), Hall: fmt.Sprintf("hall-%d", i%halls), Peer: conn.LocalAddr().String(), Level: forms.Level})
		x.boxes = append(x.boxes, &box{conn: conn, balancer: balancer.New(log.NewNopLogger())})
	}
	var wg sync.WaitGroup
	for i, b := range x.boxes {
		port := datagram.NewPort(datagram.Deps{
			Box: entries[i].Box, Conn: b.conn, Logger: log.NewNopLogger(),
			IsPeer: func(a netip.AddrPort) bool { return known[a] },
		})
		deps := Deps{
			Box: entries[i].Box, Hall: entries[i].Hall, Port: port, Balancer: b.balancer, Logger: log.NewNopLogger(),
			Entries: func() []roster.Entry { return entries },
		}
		for _, c := range options {
			c(&deps)
		}
		s := New(deps)
		var ctx context.Context
		ctx, b.cancel = context.WithCancel(context.Background())
		wg.Go(port.Listen)
		wg.Go(func() { s.Run(ctx) })
	}
	f(x)
	for _, b := range x.boxes {
		b.stop()
	}
	wg.Wait()
}

func (b *box) stop() {
	b.cancel()
	b.conn.Close()
}

// promptQuery returns a query for a prompt that starts with a shared prefix.
func promptQuery(servers int, prefix string) balancer.Query {
	q := balancer.Query{
		Engine: true, PromptTokens: 9000, Hall: "hall-0",
		Parts: []balancer.Part{{ID: prefix, Tokens: 8000}, {ID: "own", Tokens: 1000}},
	}
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		q.Candidates = append(q.Candidates, routing.Server{ID: id, Hall: "hall-0", Address: id})
	}
	return q
}

// peerBacklog returns the backlog of the only server that the box attributes to its peers.
func (b *box) peerBacklog() int {
	l, _ := b.balancer.Pick(promptQuery(1, "probe"), time.Now())
	defer l.Done(balancer.ResultAbandoned, time.Now())
	return l.Inputs.PeerBacklog
}

func TestLoadsReachAllBoxes(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		lease, _ := x.boxes[4].balancer.Pick(promptQuery(1, "part"), time.Now())
		for i, b := range x.boxes {
			if i != 4 {
				require.Eventually(t, func() bool { return b.peerBacklog() >= 9000 }, eventTimeout, pollInterval, "box %d", i)
			}
		}
		lease.Done(balancer.ResultDone, time.Now())
		for i, b := range x.boxes {
			require.Eventually(t, func() bool { return b.peerBacklog() == 0 }, eventTimeout, 10*pollInterval, "box %d is notified of the end", i)
		}
	})
}

func TestPlacementsReachAllBoxes(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		for i := range 200 {
			name := fmt.Sprintf("part-%d", i)
			lease, _ := x.boxes[i%12].balancer.Pick(promptQuery(9, name), time.Now())
			lease.PrefillDone(time.Now())
			lease.Done(balancer.ResultDone, time.Now())
		}
		for i, b := range x.boxes {
			require.Eventually(t, func() bool {
				for j := range 200 {
					if !b.knowsPrefix(fmt.Sprintf("part-%d", j)) {
						return false
					}
				}
				return true
			}, eventTimeout, 10*pollInterval, "box %d", i)
		}
	})
}

// knowsPrefix reports whether a box knows a server that has cached a prefix.
func (b *box) knowsPrefix(prefix string) bool {
	q := promptQuery(9, prefix)
	q.Engine = false
	l, _ := b.balancer.Pick(q, time.Now())
	l.Done(balancer.ResultAbandoned, time.Now())
	return l.Inputs.CachedTokens == 8000 && !l.Inputs.Home
}

// A change made right after a summary reaches all boxes of all halls, without further changes
// and without a refresh.
func TestLastChangesReachAllBoxes(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		for i := range 200 {
			lease, _ := x.boxes[i%12].balancer.Pick(promptQuery(9, fmt.Sprintf("part-%d", i)), time.Now())
			lease.PrefillDone(time.Now())
			lease.Done(balancer.ResultDone, time.Now())
		}
		// Querying a box triggers a report, so each box is queried only once, at the end.
		time.Sleep(settleTime)
		for i, b := range x.boxes {
			for j := range 200 {
				require.True(t, b.knowsPrefix(fmt.Sprintf("part-%d", j)), "box %d, part %d", i, j)
			}
		}
	}, func(d *Deps) { d.RefreshInterval = time.Hour })
}

// Boxes with the fastest links are chosen as relays, regardless of their names.
func TestRelaysHaveFastestLinks(t *testing.T) {
	var entries []roster.Entry
	for i := range 30 {
		e := roster.Entry{Box: fmt.Sprintf("box-%02d", i), Hall: "hall-0", Peer: fmt.Sprintf("192.0.2.%d:1", i), LinkMbps: 10}
		if i%10 == 4 {
			e.LinkMbps = 200
		}
		entries = append(entries, e)
	}
	links := make(map[string]float64)
	for _, e := range entries {
		links[e.Box] = e.LinkMbps
	}
	for i, m := range membersOf(entries)[:3] {
		assert.Equal(t, 200.0, links[m.box], "member %d", i)
	}
	relay := newRelayHealth().relays(membersOf(entries), "hall-0", time.Now())[0]
	slices.Reverse(entries)
	assert.Equal(t, relay.box, newRelayHealth().relays(membersOf(entries), "hall-0", time.Now())[0].box, "the choice does not depend on the order of the entries")
}

// Failed relays of a hall are replaced by other boxes.
func TestRelaysAreReplaced(t *testing.T) {
	withFleet(t, 6, 1, func(x *fleet) {
		var entries []roster.Entry
		for i := range x.boxes {
			entries = append(entries, roster.Entry{Box: fmt.Sprintf("box-%02d", i), Hall: "hall-0", Peer: x.boxes[i].conn.LocalAddr().String()})
		}
		lost := make(map[string]bool)
		for _, m := range newRelayHealth().relays(membersOf(entries), "hall-0", time.Now()) {
			lost[m.box] = true
		}
		require.Len(t, lost, relaysPerHall)
		var left []*box
		for i, b := range x.boxes {
			if lost[entries[i].Box] {
				b.stop()
				continue
			}
			left = append(left, b)
		}
		done := make(chan struct{})
		defer close(done)
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
					l, _ := left[0].balancer.Pick(promptQuery(1, "part"), time.Now())
					time.Sleep(50 * time.Millisecond)
					l.Done(balancer.ResultDone, time.Now())
				}
			}
		}()
		require.Eventually(t, func() bool { return left[3].peerBacklog() > 0 }, 2*eventTimeout, pollInterval)
	})
}

func TestRoundsCompleteWithAllParts(t *testing.T) {
	all := make(loads)
	for i := range 2*maxLoadsPerDatagram + 1 {
		all[balancer.ServerKey(i)] = balancer.Load{Backlog: i + 1}
	}
	all[0] = balancer.Load{Backlog: 1, DownReports: 3}
	now := time.Now()
	observations := signals.Observations{
		1: {Limit: signals.Limit{Set: true, PerSecond: 2.3}, ReceivedAt: now.Add(-time.Second)}, 2: {ReceivedAt: now.Add(-2 * time.Second)}, 3: {Leaving: true, ReceivedAt: now},
	}
	parts := splitRound("hall", 7, work{loads: all, demands: demands{9: {Interactive: 5, Bulk: 6}}, signals: observations}, now)
	require.Len(t, parts, 3)
	r := make(rounds)
	_, complete := r.add("box", parts[2], now)
	assert.False(t, complete)
	_, complete = r.add("box", parts[0], now)
	assert.False(t, complete)
	_, complete = r.add("other", parts[1], now)
	assert.False(t, complete, "another sender's round")
	got, complete := r.add("box", parts[1], now)
	assert.True(t, complete)
	assert.Equal(t, work{loads: all, demands: demands{9: {Interactive: 5, Bulk: 6}}, signals: observations}, got)
	for _, m := range []*loadpb.Loads{{Part: 3, Parts: 3}, {}, {Parts: 1, Servers: []uint32{1}}, {Parts: 1, Down: []uint32{1}}} {
		_, complete = r.add("box", m, now)
		assert.False(t, complete, "%v", m)
	}
	assert.Len(t, splitRound("hall", 8, work{}, now), 1, "an empty round is sent as well")
}

// Guards against loads that go back: an older round that arrives after a newer one, and a part of it that displaces one.
func TestOlderRoundsAreIgnored(t *testing.T) {
	now := time.Now()
	round := func(number uint32, parts int) []*loadpb.Loads {
		all := make(loads)
		for i := range (parts-1)*maxLoadsPerDatagram + 1 {
			all[balancer.ServerKey(i)] = balancer.Load{Backlog: 5}
		}
		return splitRound("hall", number, work{loads: all}, now)
	}
	for _, base := range []uint32{100, math.MaxUint32} {
		r := make(rounds)
		_, complete := r.add("box", round(base, 1)[0], now)
		require.True(t, complete)
		_, complete = r.add("box", round(base-1, 1)[0], now)
		assert.False(t, complete, "an older round")
		_, complete = r.add("box", round(base+1, 2)[0], now)
		assert.False(t, complete)
		_, complete = r.add("box", round(base, 2)[1], now)
		assert.False(t, complete, "a part of an older round")
		_, complete = r.add("box", round(base+1, 2)[1], now)
		assert.True(t, complete, "the newer round is complete")
		_, complete = r.add("other", round(base-1, 1)[0], now)
		assert.True(t, complete, "another sender")
		_, complete = r.add("box", round(base-maxReorderedRounds-1, 1)[0], now)
		assert.True(t, complete, "the sender has restarted, and counts from another number")
		_, complete = r.add("box", round(base-maxReorderedRounds-2, 1)[0], now.Add(2*reportTTL))
		assert.True(t, complete, "a number that has expired")
		r.evictStale(now.Add(4 * reportTTL))
		assert.Empty(t, r)
	}
}

func TestSumCountsEachBoxOnce(t *testing.T) {
	now := time.Now()
	table := workTable{
		"a":   {work: work{loads: loads{1: {Backlog: 3, DownReports: 1}}, demands: demands{9: {Interactive: 1, Bulk: 2}}}, receivedAt: now},
		"b":   {work: work{loads: loads{1: {Backlog: 4}, 2: {Backlog: 5}}, demands: demands{9: {Interactive: 10}}}, receivedAt: now},
		"old": {work: work{loads: loads{1: {Backlog: 100}}}, receivedAt: now.Add(-reportTTL - time.Second)},
	}
	total := table.sum(now)
	assert.Equal(t, work{loads: loads{1: {Backlog: 7, DownReports: 1}, 2: {Backlog: 5}}, demands: demands{9: {Interactive: 11, Bulk: 2}}, signals: signals.Observations{}}, total)
	assert.Equal(t, work{loads: loads{1: {Backlog: 3, DownReports: 1}}, demands: demands{9: {Interactive: 1, Bulk: 2}}, signals: signals.Observations{}}, total.without(table["b"].work))
	newer := work{loads: loads{1: {Backlog: 8, DownReports: 2}}}
	assert.Equal(t, loads{2: {Backlog: 5}}, total.without(newer).loads, "the total contains an older report")
	table.evictStale(now)
	assert.Len(t, table, 2)
}

func FuzzMessages(f *testing.F) {
	for _, m := range splitRound("hall", 1, work{loads: loads{1: {Backlog: 5}, 2: {DownReports: 2}}, demands: demands{3: {Interactive: 1}}, signals: signals.Observations{4: {}}}, time.Now()) {
		body, _ := proto.Marshal(m)
		f.Add(body)
	}
	body, _ := proto.Marshal(encodePlacements("hall", []balancer.Placement{{Server: 1, Parts: []uint64{2}, Prefilled: true}}))
	f.Add(body)
	body, _ = proto.Marshal(encodeTimings("hall", []balancer.ServerKey{1}, timings{1: {ElapsedMS: 2, ExpectedMS: 3}})[0])
	f.Add(body)
	for _, recorded := range formstest.Recorded(f, "[lps]*.datagram") {
		f.Add(recorded)
	}
	large := largeFleet(maxFlatHall+1, 0)
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := &Sharer{
			Deps:        Deps{Box: "box", Hall: "hall", Entries: func() []roster.Entry { return nil }, Balancer: balancer.New(log.NewNopLogger())},
			relayHealth: newRelayHealth(), boxReports: make(workTable), hallSummaries: make(workTable), rounds: make(rounds), timings: newTimingExchange(),
			usages: newUsageExchange(), links: newTreeLinks(),
		}
		m, p := &loadpb.Loads{}, &loadpb.Placements{}
		if proto.Unmarshal(data, m) == nil {
			s.handle(message{kind: kindReport, from: "other", loads: m})
			s.handle(message{kind: kindSummary, from: "other", loads: m})
		}
		if proto.Unmarshal(data, p) == nil {
			s.handle(message{kind: kindPlacementReport, from: "other", placements: p})
		}
		if statistics := (&loadpb.Statistics{}); proto.Unmarshal(data, statistics) == nil {
			s.handle(message{kind: kindStatisticsReport, from: "other", statistics: statistics})
			s.handle(message{kind: kindStatisticsSummary, from: "other", statistics: statistics})
			inner := large.box(1)
			statistics.Hall = inner.Hall
			for i, kind := range []string{kindStatisticsReport, kindStatisticsSummary} {
				inner.handle(message{kind: kind, from: large.box(7 - 7*i).Box, received: large.now, statistics: statistics})
			}
			inner.reportStatistics(large.now)
			large.now, large.queue = large.now.Add(time.Second), nil
		}
	})
}

func TestFormOfLoads(t *testing.T) {
	formstest.CheckShape(t, "loadshare", &loadpb.Loads{}, &loadpb.Placements{}, &loadpb.Statistics{})
}

// A signal that one box observes, and its end, reach all boxes.
func TestSignalsReachAllBoxes(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		server := routing.Incarnation{ID: "i-1", Started: 3}
		limit := signals.Limit{Set: true, PerSecond: 2.3}
		all := func(expected signals.Limit) func() bool {
			return func() bool {
				return !slices.ContainsFunc(x.boxes, func(b *box) bool {
					return b.balancer.Signals().State(signals.KeyOf(server), time.Now()).Limit != expected
				})
			}
		}
		now := time.Now()
		x.boxes[4].balancer.Signals().Observe(server, signals.Signals{Limit: limit}, now, now)
		require.Eventually(t, all(limit), eventTimeout, pollInterval)
		now = time.Now()
		x.boxes[5].balancer.Signals().Observe(server, signals.Signals{}, now, now.Add(time.Millisecond))
		require.Eventually(t, all(signals.Limit{}), eventTimeout, pollInterval)
	})
}
