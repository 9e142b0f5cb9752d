package loadshare

import (
	"context"
	"fmt"
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
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/loadshare/loadpb"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

const (
	soon  = 10 * time.Second
	check = 5 * time.Millisecond
	// settled is many times what a change takes to all boxes.
	settled = 2 * time.Second
)

// fleet is some boxes that share their loads, by number.
type fleet struct {
	boxes []*box
}

type box struct {
	balancer *balancer.Balancer
	conn     *net.UDPConn
	cancel   context.CancelFunc
}

// withFleet runs boxes that stand in halls by turns.
func withFleet(t *testing.T, count, halls int, f func(*fleet), change ...func(*Deps)) {
	var entries []roster.Entry
	x := &fleet{}
	known := make(map[netip.AddrPort]bool)
	for i := range count {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		known[conn.LocalAddr().(*net.UDPAddr).AddrPort()] = true
		entries = append(entries, roster.Entry{Box: fmt.Sprintf("box-%02d", i), Hall: fmt.Sprintf("hall-%d", i%halls), Peer: conn.LocalAddr().String()})
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
		for _, c := range change {
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

// prompt asks for a server of the model for a prompt with a shared prefix.
func prompt(servers int, prefix string) balancer.Query {
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

// others is what a box believes that the others have the only server do.
func (b *box) others() int {
	l, _ := b.balancer.Pick(prompt(1, "probe"), time.Now())
	defer l.Done(balancer.ResultAbandoned, time.Now())
	return l.Inputs.PeerBacklog
}

func TestAllBoxesKnowAllLoads(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		lease, _ := x.boxes[4].balancer.Pick(prompt(1, "part"), time.Now())
		for i, b := range x.boxes {
			if i != 4 {
				require.Eventually(t, func() bool { return b.others() >= 9000 }, soon, check, "box %d", i)
			}
		}
		lease.Done(balancer.ResultDone, time.Now())
		for i, b := range x.boxes {
			require.Eventually(t, func() bool { return b.others() == 0 }, soon, 10*check, "box %d hears of the end", i)
		}
	})
}

func TestAllBoxesKnowWherePromptsAre(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		for i := range 200 {
			name := fmt.Sprintf("part-%d", i)
			lease, _ := x.boxes[i%12].balancer.Pick(prompt(9, name), time.Now())
			lease.PrefillDone(time.Now())
			lease.Done(balancer.ResultDone, time.Now())
		}
		for i, b := range x.boxes {
			require.Eventually(t, func() bool {
				for j := range 200 {
					if !b.knows(fmt.Sprintf("part-%d", j)) {
						return false
					}
				}
				return true
			}, soon, 10*check, "box %d", i)
		}
	})
}

// knows tells whether a box knows a server that has cached a prefix. It sends nothing there.
func (b *box) knows(prefix string) bool {
	q := prompt(9, prefix)
	q.Engine = false
	l, _ := b.balancer.Pick(q, time.Now())
	l.Done(balancer.ResultAbandoned, time.Now())
	return l.Inputs.CachedTokens == 8000 && !l.Inputs.Home
}

// What happens just after a summary reaches all boxes, also those of other halls, though
// nothing happens after it and nothing is sent again.
func TestLastChangesReachAllBoxes(t *testing.T) {
	withFleet(t, 12, 3, func(x *fleet) {
		for i := range 200 {
			lease, _ := x.boxes[i%12].balancer.Pick(prompt(9, fmt.Sprintf("part-%d", i)), time.Now())
			lease.PrefillDone(time.Now())
			lease.Done(balancer.ResultDone, time.Now())
		}
		// A look makes a box report, so that there is one only, long after all has arrived.
		time.Sleep(settled)
		for i, b := range x.boxes {
			for j := range 200 {
				require.True(t, b.knows(fmt.Sprintf("part-%d", j)), "box %d, part %d", i, j)
			}
		}
	}, func(d *Deps) { d.RefreshInterval = time.Hour })
}

// Boxes with the fastest links relay, whatever their names.
func TestBoxesWithFastLinksRelay(t *testing.T) {
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
	relay := newSilence().relays(membersOf(entries), "hall-0", time.Now())[0]
	slices.Reverse(entries)
	assert.Equal(t, relay.box, newSilence().relays(membersOf(entries), "hall-0", time.Now())[0].box, "in whatever order they come")
}

// The relays of a hall may be lost: others take their place.
func TestRelaysAreReplaced(t *testing.T) {
	withFleet(t, 6, 1, func(x *fleet) {
		var entries []roster.Entry
		for i := range x.boxes {
			entries = append(entries, roster.Entry{Box: fmt.Sprintf("box-%02d", i), Hall: "hall-0", Peer: x.boxes[i].conn.LocalAddr().String()})
		}
		lost := make(map[string]bool)
		for _, m := range newSilence().relays(membersOf(entries), "hall-0", time.Now()) {
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
					l, _ := left[0].balancer.Pick(prompt(1, "part"), time.Now())
					time.Sleep(50 * time.Millisecond)
					l.Done(balancer.ResultDone, time.Now())
				}
			}
		}()
		require.Eventually(t, func() bool { return left[3].others() > 0 }, 2*soon, check)
	})
}

func TestRoundsCountOnceWhole(t *testing.T) {
	all := make(loads)
	for i := range 2*loadsMost + 1 {
		all[balancer.ServerKey(i)] = balancer.Load{Backlog: i + 1}
	}
	all[0] = balancer.Load{Backlog: 1, DownReports: 3}
	now := time.Now()
	said := signals.Observations{
		1: {Limit: signals.Limit{Set: true, PerSecond: 2.3}, ReceivedAt: now.Add(-time.Second)}, 2: {ReceivedAt: now.Add(-2 * time.Second)}, 3: {Leaving: true, ReceivedAt: now},
	}
	parts := split("hall", 7, work{loads: all, demands: demands{9: {Interactive: 5, Bulk: 6}}, signals: said}, now)
	require.Len(t, parts, 3)
	r := make(rounds)
	_, whole := r.add("box", parts[2], now)
	assert.False(t, whole)
	_, whole = r.add("box", parts[0], now)
	assert.False(t, whole)
	_, whole = r.add("other", parts[1], now)
	assert.False(t, whole, "another sender's round")
	got, whole := r.add("box", parts[1], now)
	assert.True(t, whole)
	assert.Equal(t, work{loads: all, demands: demands{9: {Interactive: 5, Bulk: 6}}, signals: said}, got)
	for _, m := range []*loadpb.Loads{{Part: 3, Parts: 3}, {}, {Parts: 1, Servers: []uint32{1}}, {Parts: 1, Down: []uint32{1}}} {
		_, whole = r.add("box", m, now)
		assert.False(t, whole, "%v", m)
	}
	assert.Len(t, split("hall", 8, work{}, now), 1, "that nothing runs is told too")
}

func TestSumsHoldEachBoxOnce(t *testing.T) {
	now := time.Now()
	table := workTable{
		"a":   {work: work{loads: loads{1: {Backlog: 3, DownReports: 1}}, demands: demands{9: {Interactive: 1, Bulk: 2}}}, heard: now},
		"b":   {work: work{loads: loads{1: {Backlog: 4}, 2: {Backlog: 5}}, demands: demands{9: {Interactive: 10}}}, heard: now},
		"old": {work: work{loads: loads{1: {Backlog: 100}}}, heard: now.Add(-believed - time.Second)},
	}
	total := table.sum(now)
	assert.Equal(t, work{loads: loads{1: {Backlog: 7, DownReports: 1}, 2: {Backlog: 5}}, demands: demands{9: {Interactive: 11, Bulk: 2}}, signals: signals.Observations{}}, total)
	assert.Equal(t, work{loads: loads{1: {Backlog: 3, DownReports: 1}}, demands: demands{9: {Interactive: 1, Bulk: 2}}, signals: signals.Observations{}}, total.without(table["b"].work))
	younger := work{loads: loads{1: {Backlog: 8, DownReports: 2}}}
	assert.Equal(t, loads{2: {Backlog: 5}}, total.without(younger).loads, "the total holds an older word")
	table.forget(now)
	assert.Len(t, table, 2)
}

func FuzzMessages(f *testing.F) {
	for _, m := range split("hall", 1, work{loads: loads{1: {Backlog: 5}, 2: {DownReports: 2}}, demands: demands{3: {Interactive: 1}}, signals: signals.Observations{4: {}}}, time.Now()) {
		body, _ := proto.Marshal(m)
		f.Add(body)
	}
	body, _ := proto.Marshal(placementsMessage("hall", []balancer.Placement{{Server: 1, Parts: []uint64{2}, Prefilled: true}}))
	f.Add(body)
	for _, recorded := range formstest.Recorded(f, "[lp]*.datagram") {
		f.Add(recorded)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := &Sharer{
			Deps:    Deps{Box: "box", Hall: "hall", Balancer: balancer.New(log.NewNopLogger())},
			silence: newSilence(), boxes: make(workTable), halls: make(workTable), rounds: make(rounds),
		}
		m, p := &loadpb.Loads{}, &loadpb.Placements{}
		if proto.Unmarshal(data, m) == nil {
			s.take(message{kind: kindReport, from: "other", loads: m})
			s.take(message{kind: kindSummary, from: "other", loads: m})
		}
		if proto.Unmarshal(data, p) == nil {
			s.take(message{kind: kindPlaced, from: "other", placements: p})
		}
	})
}

func TestFormOfLoads(t *testing.T) {
	formstest.CheckShape(t, "loadshare", &loadpb.Loads{}, &loadpb.Placements{})
}

// What one box observes of a server is known to all, as is that it has ended.
func TestAllBoxesKnowTheSignalsOfServers(t *testing.T) {
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
		require.Eventually(t, all(limit), soon, check)
		now = time.Now()
		x.boxes[5].balancer.Signals().Observe(server, signals.Signals{}, now, now.Add(time.Millisecond))
		require.Eventually(t, all(signals.Limit{}), soon, check)
	})
}
