package metering

import (
	"context"
	"fmt"
	"net"
	"path"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/datagram/datagrampb"
	"headhill.example/headhill/pkg/fleetclock"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/metering/usagepb"
)

const windowLength = 5 * time.Second

var startTime = time.Unix(1_700_000_000, 0).UTC()

// trueTime is an exact clock.
func trueTime(t time.Time) time.Time { return t }

func usageMessage(incarnation uint64, windows []*usagepb.Window) *usagepb.Usage {
	return &usagepb.Usage{Incarnation: incarnation, Windows: windows}
}

func TestWindowsFollowFleetClock(t *testing.T) {
	w := WindowAt(startTime, windowLength)
	assert.Equal(t, Window(340000000), w)
	assert.Equal(t, startTime.Add(windowLength), w.End(windowLength))
	c := NewCounter(windowLength, func(t time.Time) time.Time { return t.Add(3 * time.Second) })
	c.RequestStarted("a", startTime.Add(2*time.Second))
	require.Len(t, c.All(), 1)
	assert.Equal(t, int64(w+1), c.All()[0].GetNumber(), "window of the fleet clock, not of the box's clock")
}

// Despite lost, duplicated and delayed messages, the collector never exceeds the actual counts, and
// has all of them after a message sent at the end of the window.
func TestCountsSurviveMessageLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector := NewCollector()
		expected := make(map[OrganisationHash]int)
		var inbox []*usagepb.Usage
		var counters []*Counter
		for range rapid.IntRange(1, 4).Draw(t, "boxes") {
			counters = append(counters, NewCounter(windowLength, trueTime))
		}
		window := WindowAt(startTime, windowLength)
		now := startTime
		for ; now.Before(startTime.Add(windowLength)); now = now.Add(publishInterval) {
			for i, c := range counters {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					o := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "organisation"))
					c.RequestStarted(o, now)
					expected[HashOrganisation(o)]++
				}
				if rapid.Bool().Draw(t, "arrives") {
					inbox = append(inbox, usageMessage(uint64(i), c.Changes(now)))
				}
			}
			for len(inbox) > 0 && rapid.Bool().Draw(t, "take") {
				at := rapid.IntRange(0, len(inbox)-1).Draw(t, "which")
				collector.Merge("box", inbox[at])
			}
			total, _ := collector.Total(window)
			for hash, n := range total {
				require.LessOrEqual(t, n, expected[hash])
			}
		}
		for i, c := range counters {
			collector.Merge("box", usageMessage(uint64(i), c.Changes(now)))
		}
		total, _ := collector.Total(window)
		require.Equal(t, expected, total)
	})
}

// The counts of a restarted box must add to those of its previous process.
func TestCountsOfIncarnationsAddUp(t *testing.T) {
	c := NewCollector()
	w := WindowAt(startTime, windowLength)
	for incarnation, n := range []uint32{5, 2} {
		c.Merge("box", usageMessage(uint64(incarnation), []*usagepb.Window{{Number: int64(w), Organisations: []uint64{uint64(HashOrganisation("a"))}, Counts: []uint32{n}}}))
	}
	total, processes := c.Total(w)
	assert.Equal(t, map[OrganisationHash]int{HashOrganisation("a"): 7}, total)
	assert.Equal(t, 2, processes)
}

func TestChangesAreSentTwice(t *testing.T) {
	c := NewCounter(windowLength, trueTime)
	c.RequestStarted("a", startTime)
	for i, want := range []int{1, 1, 0} {
		assert.Len(t, c.Changes(startTime.Add(time.Duration(i)*publishInterval)), want, "message %d", i)
	}
	assert.Len(t, c.Changes(startTime.Add(windowLength)), 1, "all counts of the window that ended")
}

// publishingBox is a box that publishes counts to a collecting one, whose messages a test reads.
type publishingBox struct {
	*Publisher
	conn       *net.UDPConn
	collectors []CollectorBox
}

func newPublishingBox(t *testing.T) *publishingBox {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	b := &publishingBox{conn: conn}
	b.Publisher = NewPublisher(PublisherDeps{
		NextWindow: func() Window { return 0 }, OnNextWindow: func(Window) {},
		Box: "a", Port: datagram.NewPort(datagram.Deps{Box: "a", Conn: conn, Logger: log.NewNopLogger()}), Counter: NewCounter(windowLength, trueTime),
		Collector: NewCollector(), Clock: fleetclock.New(), Logger: log.NewNopLogger(),
		Collectors: func() []CollectorBox { return b.collectors },
	})
	return b
}

// collect publishes once to a process that collects, and returns the number of windows that it receives.
func (b *publishingBox) collect(t *testing.T, incarnation uint64) (windows int) {
	b.collectors = []CollectorBox{{Addr: b.conn.LocalAddr().(*net.UDPAddr), Incarnation: incarnation}}
	b.lastPublished = time.Now()
	b.publish(b.Counter.Changes(time.Now()))
	buffer := make([]byte, datagram.MaxDatagramBytes)
	for {
		require.NoError(t, b.conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			return windows
		}
		var e datagrampb.Envelope
		m := &usagepb.Usage{}
		require.NoError(t, proto.Unmarshal(buffer[:n], &e))
		require.NoError(t, proto.Unmarshal(e.GetBody(), m))
		windows += len(m.GetWindows())
	}
}

// A box that starts to collect must receive the counts published before, also if it collected at this address in an
// earlier life, and if a datagram is lost.
func TestNewCollectorReceivesAllCounts(t *testing.T) {
	b := newPublishingBox(t)
	b.Counter.RequestStarted("alpha", time.Now().Add(-3*windowLength))
	for range 4 {
		b.publish(b.Counter.Changes(time.Now()))
	}
	for _, incarnation := range []uint64{1, 2} {
		for i, want := range []int{1, 1, 0} {
			assert.Equal(t, want, b.collect(t, incarnation), "incarnation %d, message %d", incarnation, i)
		}
	}
}

func TestMessagesFitDatagram(t *testing.T) {
	w := &usagepb.Window{Number: 1}
	for i := range 2*maxEntriesPerDatagram + 1 {
		w.Organisations, w.Counts = append(w.Organisations, uint64(i)), append(w.Counts, maxCount)
	}
	parts := splitWindows([]*usagepb.Window{w, {Number: 2, Organisations: []uint64{7}, Counts: []uint32{1}}})
	require.Len(t, parts, 3)
	c := NewCollector()
	for _, p := range parts {
		m := usageMessage(1, p)
		assert.Less(t, proto.Size(m), 8000)
		c.Merge("box", m)
	}
	total, _ := c.Total(1)
	assert.Len(t, total, 2*maxEntriesPerDatagram+1)
	assert.Len(t, splitWindows(nil), 1, "a message without counts still carries the wall clock")
}

func noCounts(Window) map[string]int { return map[string]int{} }

func TestLedgerClosesEachWindowOnce(t *testing.T) {
	var l Ledger
	first := WindowAt(startTime, windowLength)
	l.StartAt(first)
	closed, skipped := l.CloseEnded(startTime.Add(windowLength+settleTime-time.Millisecond), windowLength, noCounts)
	assert.Empty(t, closed, "counts may still arrive before the settle time")
	assert.Zero(t, skipped)
	closed, _ = l.CloseEnded(startTime.Add(windowLength+settleTime), windowLength, noCounts)
	assert.Len(t, closed, 1)
	closed, _ = l.CloseEnded(startTime.Add(windowLength+settleTime), windowLength, func(Window) map[string]int { panic("window closed twice") })
	assert.Empty(t, closed)
	due, ok := l.NextReport(0)
	require.True(t, ok)
	assert.Equal(t, first, due.Window)
	l.MarkReported(first + 1)
	_, ok = l.NextReport(0)
	assert.True(t, ok, "report of another window must stay pending")
	l.MarkReported(first)
	_, ok = l.NextReport(0)
	assert.False(t, ok)
	l.StartAt(first + 9)
	assert.Equal(t, first+1, l.Next, "StartAt applies once only")
}

// After a gap without a lease holder, retained windows are closed and older ones count as skipped.
func TestLedgerCatchesUpAfterGap(t *testing.T) {
	var l Ledger
	first := WindowAt(startTime, windowLength)
	l.StartAt(first)
	gap := 10 * windowLength
	closed, skipped := l.CloseEnded(startTime.Add(gap+settleTime), windowLength, noCounts)
	assert.Len(t, closed, 10)
	assert.Zero(t, skipped)
	closed, skipped = l.CloseEnded(startTime.Add(gap+100*windowLength+settleTime), windowLength, noCounts)
	assert.Len(t, closed, maxCatchUp)
	assert.Equal(t, 100-maxCatchUp, skipped)
}

func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	l.StartAt(WindowAt(startTime, windowLength))
	totalSkipped := 0
	for i := range 2 * maxClosed {
		_, skipped := l.CloseEnded(startTime.Add(time.Duration(i+1)*windowLength+settleTime), windowLength, noCounts)
		totalSkipped += skipped
	}
	assert.Len(t, l.Closed, maxClosed)
	assert.Equal(t, maxClosed, totalSkipped)
}

func FuzzUsage(f *testing.F) {
	body, _ := proto.Marshal(usageMessage(1, []*usagepb.Window{{Number: 3, Organisations: []uint64{4}, Counts: []uint32{5}}}))
	f.Add(body)
	for _, recorded := range formstest.Recorded(f, "usage-*.datagram") {
		f.Add(recorded)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := &usagepb.Usage{}
		if proto.Unmarshal(data, m) == nil {
			NewCollector().Merge("box", m)
		}
	})
}

func TestUsageWireForm(t *testing.T) { formstest.CheckShape(t, "usage", &usagepb.Usage{}) }

// Guards against windows that are reported again with other counts after a restore lost the last ledger.
func TestLedgerCatchesUpAfterRestore(t *testing.T) {
	report := func(w Window, n int) Report { return Report{Window: w, Counts: map[string]int{"alpha": n}} }
	for name, c := range map[string]struct {
		restored, own, want Ledger
		next                Window
		skipped             int
	}{
		"this box held the lease last": {restored: Ledger{Next: 5}, own: Ledger{Next: 8, Closed: []Report{report(7, 3)}}, next: 5, want: Ledger{Next: 8, Closed: []Report{report(7, 3)}}},
		"another box held it last": {restored: Ledger{Next: 5, Closed: []Report{report(4, 2)}}, own: Ledger{Next: 3, Closed: []Report{report(2, 1)}}, next: 8,
			want: Ledger{Next: 8, Closed: []Report{report(4, 2)}}, skipped: 3},
		"another box may have closed the same windows": {restored: Ledger{Next: 5}, own: Ledger{Next: 8, Closed: []Report{report(7, 3)}}, next: 8, want: Ledger{Next: 8}, skipped: 3},
		"nothing was lost":      {restored: Ledger{Next: 9}, own: Ledger{Next: 3}, next: 8, want: Ledger{Next: 9}},
		"no ledger in the copy": {next: 8, want: Ledger{Next: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			l := c.restored
			assert.Equal(t, c.skipped, l.CatchUp(c.own, c.next))
			assert.Equal(t, c.want, l)
		})
	}
}

// Guards against a box that takes its counts for complete although it collects for a moment only, or did not for a while; one
// lost message of the only other box is not taken for that.
func TestCollectorKnowsForHowLongItCollects(t *testing.T) {
	b := newPublishingBox(t)
	body, err := proto.Marshal(usageMessage(1, nil))
	require.NoError(t, err)
	assert.Zero(t, b.Collector.ReceivingFor(startTime))
	at := startTime
	for _, c := range []struct{ gap, want time.Duration }{{0, 0}, {MaxPublishInterval, MaxPublishInterval}, {2 * MaxPublishInterval, 3 * MaxPublishInterval}, {3 * MaxPublishInterval, 0}} {
		at = at.Add(c.gap)
		b.handleUsage(datagram.Message{Box: "b", Received: at, Body: body})
		assert.Equal(t, c.want, b.Collector.ReceivingFor(at), "after a gap of %s", c.gap)
	}
	assert.Equal(t, time.Second, b.Collector.ReceivingFor(at.Add(time.Second)))
	assert.Zero(t, b.Collector.ReceivingFor(at.Add(3*MaxPublishInterval)))
	b.publish(b.Counter.Changes(time.Now()))
	assert.Zero(t, b.Collector.ReceivingFor(clock.Now()), "counts of the box itself")
}

// Guards against windows that are reported too low by a holder that was cut off while the store was silent: it collected before, so that
// the other boxes take it for informed.
func TestNewHolderReceivesCountsThatItMissed(t *testing.T) {
	b := newPublishingBox(t)
	closed, open := time.Now().Add(-3*windowLength), time.Now().Add(-2*windowLength)
	b.NextWindow = func() Window { return WindowAt(open, windowLength) }
	b.collect(t, 1)
	b.collect(t, 1)
	b.Counter.RequestStarted("alpha", closed)
	b.Counter.RequestStarted("alpha", open)
	for range sendsPerChange {
		b.Counter.Changes(time.Now())
	}
	require.Zero(t, b.collect(t, 1), "the collecting box counts as informed")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	b.Wake()
	go func() { defer close(done); b.Run(ctx) }()
	require.Eventually(t, func() bool { return len(b.wake) == 0 }, 10*time.Second, time.Millisecond)
	cancel()
	<-done
	assert.Equal(t, 2, b.collect(t, 1), "the open window, in two messages")
	assert.Zero(t, b.collect(t, 1))
}

// Guards against counts of boxes of an earlier build that are taken for nothing, or that undo later ones.
func TestCountsOfEarlierBuildsAreSummed(t *testing.T) {
	builds := make(map[string]int)
	for name, recorded := range formstest.Recorded(t, "usage-*.datagram") {
		m := &usagepb.Usage{}
		require.NoError(t, proto.Unmarshal(recorded, m), name)
		c := NewCollector()
		for range 2 {
			c.Merge("earlier", m)
			for _, w := range m.GetWindows() {
				total, processes := c.Total(Window(w.GetNumber()))
				assert.Equal(t, 1, processes, name)
				for i, hash := range w.GetOrganisations() {
					assert.Equal(t, int(w.GetCounts()[i]), total[OrganisationHash(hash)], name)
				}
				builds[path.Dir(name)] += len(w.GetOrganisations())
			}
		}
	}
	t.Logf("counts by build: %v", builds)
	assert.NotEmpty(t, builds)
}
