package metering

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/datagram/datagrampb"
	"headhill.example/headhill/pkg/fleetclock"
	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/metering/usagepb"
)

const windowLength = 5 * time.Second

var begin = time.Unix(1_700_000_000, 0).UTC()

// trueTime is a clock that needs no estimate.
func trueTime(t time.Time) time.Time { return t }

func message(incarnation uint64, windows []*usagepb.Window) *usagepb.Usage {
	return &usagepb.Usage{Incarnation: incarnation, Windows: windows}
}

func TestWindowsGoByTrueTime(t *testing.T) {
	w := WindowAt(begin, windowLength)
	assert.Equal(t, Window(340000000), w)
	assert.Equal(t, begin.Add(windowLength), w.End(windowLength))
	c := NewCounter(windowLength, func(t time.Time) time.Time { return t.Add(3 * time.Second) })
	c.RequestStarted("a", begin.Add(2*time.Second))
	require.Len(t, c.All(), 1)
	assert.Equal(t, int64(w+1), c.All()[0].GetNumber(), "of the fleet's clock, not of the box's own")
}

// Messages may be lost, doubled and late: the collector never has more than was counted, and
// all of it once a message of the window that ended has come.
func TestCountsSurviveTheNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		collector := NewCollector()
		truth := make(map[OrganisationHash]int)
		var inbox []*usagepb.Usage
		var counters []*Counter
		for range rapid.IntRange(1, 4).Draw(t, "boxes") {
			counters = append(counters, NewCounter(windowLength, trueTime))
		}
		window := WindowAt(begin, windowLength)
		now := begin
		for ; now.Before(begin.Add(windowLength)); now = now.Add(tellEvery) {
			for i, c := range counters {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					o := fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "organisation"))
					c.RequestStarted(o, now)
					truth[HashOrganisation(o)]++
				}
				if rapid.Bool().Draw(t, "arrives") {
					inbox = append(inbox, message(uint64(i), c.Changes(now)))
				}
			}
			for len(inbox) > 0 && rapid.Bool().Draw(t, "take") {
				at := rapid.IntRange(0, len(inbox)-1).Draw(t, "which")
				collector.Merge("box", inbox[at])
			}
			total, _ := collector.Total(window)
			for key, n := range total {
				require.LessOrEqual(t, n, truth[key])
			}
		}
		for i, c := range counters {
			collector.Merge("box", message(uint64(i), c.Changes(now)))
		}
		total, _ := collector.Total(window)
		require.Equal(t, truth, total)
	})
}

// A box that starts anew counts beside its earlier life, not over it.
func TestLivesAddUp(t *testing.T) {
	c := NewCollector()
	w := WindowAt(begin, windowLength)
	for life, n := range []uint32{5, 2} {
		c.Merge("box", message(uint64(life), []*usagepb.Window{{Number: int64(w), Organisations: []uint64{uint64(HashOrganisation("a"))}, Counts: []uint32{n}}}))
	}
	total, lives := c.Total(w)
	assert.Equal(t, map[OrganisationHash]int{HashOrganisation("a"): 7}, total)
	assert.Equal(t, 2, lives)
}

func TestChangesAreToldTwice(t *testing.T) {
	c := NewCounter(windowLength, trueTime)
	c.RequestStarted("a", begin)
	for i, want := range []int{1, 1, 0} {
		assert.Len(t, c.Changes(begin.Add(time.Duration(i)*tellEvery)), want, "message %d", i)
	}
	assert.Len(t, c.Changes(begin.Add(windowLength)), 1, "a window that has ended is told whole")
}

// A box that is known to collect only by now is told what was told to others before.
func TestBoxThatBeginsToCollectIsToldAll(t *testing.T) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	counter := NewCounter(windowLength, trueTime)
	var collecting []*net.UDPAddr
	teller := NewPublisher(PublisherDeps{
		Box: "a", Port: datagram.NewPort(datagram.Deps{Box: "a", Conn: conn, Logger: log.NewNopLogger()}), Counter: counter,
		Collector: NewCollector(), Clock: fleetclock.New(), Logger: log.NewNopLogger(),
		CollectorAddrs: func() []*net.UDPAddr { return collecting },
	})
	counter.RequestStarted("alpha", time.Now())
	for range 4 {
		teller.tell(counter.Changes(time.Now()))
	}
	collecting = []*net.UDPAddr{conn.LocalAddr().(*net.UDPAddr)}
	teller.last = time.Time{}
	teller.tell(counter.Changes(time.Now()))
	buffer := make([]byte, datagram.MaxDatagramBytes)
	counts := 0
	for range 2 {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			break
		}
		var e datagrampb.Envelope
		m := &usagepb.Usage{}
		require.NoError(t, proto.Unmarshal(buffer[:n], &e))
		require.NoError(t, proto.Unmarshal(e.GetBody(), m))
		counts += len(m.GetWindows())
	}
	assert.Equal(t, 1, counts)
}

func TestMessagesFitADatagram(t *testing.T) {
	w := &usagepb.Window{Number: 1}
	for i := range 2*entriesMost + 1 {
		w.Organisations, w.Counts = append(w.Organisations, uint64(i)), append(w.Counts, maxCount)
	}
	parts := split([]*usagepb.Window{w, {Number: 2, Organisations: []uint64{7}, Counts: []uint32{1}}})
	require.Len(t, parts, 3)
	c := NewCollector()
	for _, p := range parts {
		m := message(1, p)
		assert.Less(t, proto.Size(m), 8000)
		c.Merge("box", m)
	}
	total, _ := c.Total(1)
	assert.Len(t, total, 2*entriesMost+1)
	assert.Len(t, split(nil), 1, "the wall clock is told also where nothing was counted")
}

func nothing(Window) map[string]int { return map[string]int{} }

func TestLedgerClosesEachWindowOnce(t *testing.T) {
	var l Ledger
	first := WindowAt(begin, windowLength)
	l.StartAt(first)
	closed, skipped := l.CloseEnded(begin.Add(windowLength+settle-time.Millisecond), windowLength, nothing)
	assert.Empty(t, closed, "boxes may still tell what they counted")
	assert.Zero(t, skipped)
	closed, _ = l.CloseEnded(begin.Add(windowLength+settle), windowLength, nothing)
	assert.Len(t, closed, 1)
	closed, _ = l.CloseEnded(begin.Add(windowLength+settle), windowLength, func(Window) map[string]int { panic("closed twice") })
	assert.Empty(t, closed)
	due, ok := l.NextReport()
	require.True(t, ok)
	assert.Equal(t, first, due.Window)
	l.MarkReported(first + 1)
	_, ok = l.NextReport()
	assert.True(t, ok, "another window was reported")
	l.MarkReported(first)
	_, ok = l.NextReport()
	assert.False(t, ok)
	l.StartAt(first + 9)
	assert.Equal(t, first+1, l.Next, "a ledger begins once")
}

// After a gap in which nobody held the lease, what is remembered is closed; what is not is
// counted as skipped, not made up.
func TestLedgerCatchesUp(t *testing.T) {
	var l Ledger
	first := WindowAt(begin, windowLength)
	l.StartAt(first)
	gap := 10 * windowLength
	closed, skipped := l.CloseEnded(begin.Add(gap+settle), windowLength, nothing)
	assert.Len(t, closed, 10)
	assert.Zero(t, skipped)
	closed, skipped = l.CloseEnded(begin.Add(gap+100*windowLength+settle), windowLength, nothing)
	assert.Len(t, closed, skippedMost)
	assert.Equal(t, 100-skippedMost, skipped)
}

func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	l.StartAt(WindowAt(begin, windowLength))
	lost := 0
	for i := range 2 * closedMost {
		_, skipped := l.CloseEnded(begin.Add(time.Duration(i+1)*windowLength+settle), windowLength, nothing)
		lost += skipped
	}
	assert.Len(t, l.Closed, closedMost)
	assert.Equal(t, closedMost, lost)
}

func FuzzUsage(f *testing.F) {
	body, _ := proto.Marshal(message(1, []*usagepb.Window{{Number: 3, Organisations: []uint64{4}, Counts: []uint32{5}}}))
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

func TestFormOfUsage(t *testing.T) { formstest.CheckShape(t, "usage", &usagepb.Usage{}) }
