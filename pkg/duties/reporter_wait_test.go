package duties

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/metering"
)

// maxReportAge leaves time for the store and the call, which take none here, until a report is due.
const maxReportAge = reportDue - 400*time.Millisecond

// collect lets a box receive the count of a window from another one again and again, first after a delay, until stop is called.
func (b *testBox) collect(w metering.Window, n uint32, after time.Duration) (stop func()) {
	done := make(chan struct{})
	go func() {
		for wait := after; ; wait = 500 * time.Millisecond {
			select {
			case <-done:
				return
			case <-time.After(wait):
				b.countIn(w, n)
				b.collector.Received(clock.Now())
			}
		}
	}()
	return func() { close(done) }
}

// kill ends the lease of a box, which does nothing from then on, and returns what it has stored.
func (b *testBox) kill() []byte {
	b.lease.update(func(l *fakeLease) { l.until = time.Now() })
	state, _ := b.duties.State()
	return state
}

// successor is a holder that acquires the lease some time after the end of the previous one.
type successor struct {
	after   time.Duration
	started bool
}

// Guards against a report that is late, or that lacks counts which arrived in time, because each holder that takes over waits
// for counts and is killed before it has reported. The times are those of a lease of three seconds, or of a restart.
func TestHoldersKilledOneAfterTheOtherReportInTime(t *testing.T) {
	const takeover, restart, countsAfter = 3250 * time.Millisecond, 500 * time.Millisecond, 400 * time.Millisecond
	just, long := successor{after: takeover}, successor{after: takeover, started: true}
	again := successor{after: restart}
	for name, successors := range map[string][]successor{
		"one":                          {just},
		"one, then a box that runs":    {long},
		"two just started":             {just, just},
		"one just started, one not":    {just, long},
		"one not, one just started":    {long, just},
		"two that run":                 {long, long},
		"one, its restart":             {just, again},
		"restarts of one":              {again, again, again},
		"restarts of one, another":     {again, again, just},
		"restarts and a box that runs": {again, again, long},
	} {
		for killAfter := 50 * time.Millisecond; killAfter < catchUpDelay; killAfter += 100 * time.Millisecond {
			t.Run(fmt.Sprint(name, ", each after ", killAfter), func(t *testing.T) {
				runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
					window := metering.WindowAt(time.Now(), windowLength)
					var boxes []*testBox
					for _, s := range successors {
						boxes = append(boxes, nil)
						if s.started {
							boxes[len(boxes)-1] = start()
							defer boxes[len(boxes)-1].collect(window, 3, 0)()
						}
					}
					first := start()
					first.acquireLease(7, time.Hour, nil)
					time.Sleep(windowLength + 1450*time.Millisecond)
					state, acquired := first.kill(), time.Time{}
					for i, s := range successors {
						time.Sleep(s.after)
						acquired = time.Now()
						if boxes[i] == nil {
							boxes[i] = start()
							defer boxes[i].collect(window, 3, countsAfter)()
						}
						boxes[i].acquireLease(uint64(8+i), time.Hour, state)
						if i < len(successors)-1 {
							time.Sleep(killAfter)
							state = boxes[i].kill()
						}
					}
					time.Sleep(2 * windowLength)
					assert.LessOrEqual(t, cloud.reportedAfter(t, window), maxReportAge)
					last := reportDue - reportTime - countsAfter
					if successors[len(successors)-1].started || acquired.Sub(window.End(windowLength)) < last {
						assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
					}
				})
			})
		}
	}
}

// Guards against a wait of a holder that has collected the counts all the time.
func TestHolderThatCollectsClosesAtOnce(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		b := start()
		window := metering.WindowAt(time.Now(), windowLength)
		defer b.collect(window, 3, 0)()
		time.Sleep(windowLength + 2*time.Second)
		b.acquireLease(7, time.Hour, []byte(fmt.Sprintf(`{"metering":{"next":%d}}`, window)))
		time.Sleep(windowLength)
		assert.LessOrEqual(t, cloud.reportedAfter(t, window), 2*time.Second+tickInterval)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
	})
}

// Guards against windows that are reported too low by a holder that has run for long, but was not among the boxes that collect.
func TestHolderThatDidNotCollectWaitsForCounts(t *testing.T) {
	runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
		b := start()
		window := metering.WindowAt(time.Now(), windowLength)
		time.Sleep(windowLength + 4*time.Second)
		b.acquireLease(9, time.Hour, []byte(fmt.Sprintf(`{"metering":{"next":%d}}`, window)))
		defer b.collect(window, 3, time.Second)()
		time.Sleep(windowLength)
		assert.LessOrEqual(t, cloud.reportedAfter(t, window), maxReportAge)
		assert.Equal(t, map[string]int{"alpha": 3}, cloud.countsByWindow(t)[window])
	})
}

// Guards against a report that waits for a box that is cut off: here nobody answers.
func TestBoxThatNeverAnswersDelaysNoReport(t *testing.T) {
	for at := time.Duration(0); at < reportDue-reportTime; at += 250 * time.Millisecond {
		t.Run(fmt.Sprint("acquired after ", at), func(t *testing.T) {
			runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
				window := metering.WindowAt(time.Now(), windowLength)
				time.Sleep(windowLength + at)
				b := start()
				b.countIn(window, 1)
				b.acquireLease(9, time.Hour, []byte(fmt.Sprintf(`{"metering":{"next":%d}}`, window)))
				time.Sleep(2 * windowLength)
				assert.LessOrEqual(t, cloud.reportedAfter(t, window), min(maxReportAge, max(at, 1500*time.Millisecond)+catchUpDelay+tickInterval))
				assert.Equal(t, map[string]int{"alpha": 1}, cloud.countsByWindow(t)[window])
			})
		})
	}
}

// Guards against windows that become late as a holder that has just started waits for the counts of earlier ones: the store
// was silent.
func TestWindowsInTimeStaySoAfterOutage(t *testing.T) {
	const countsAfter = 400 * time.Millisecond
	for at := time.Duration(0); at < windowLength; at += 250 * time.Millisecond {
		t.Run(fmt.Sprint("ended ", at, " after a window"), func(t *testing.T) {
			runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
				first := metering.WindowAt(time.Now(), windowLength)
				time.Sleep(4*windowLength + at)
				acquired := time.Now()
				b := start()
				b.acquireLease(9, time.Hour, []byte(fmt.Sprintf(`{"metering":{"next":%d}}`, first)))
				for w := first; w < first+4; w++ {
					defer b.collect(w, 3, countsAfter)()
				}
				time.Sleep(3 * windowLength)
				counts, inTime := cloud.countsByWindow(t), first
				for ; !inTime.End(windowLength).Add(reportDue - reportTime).After(acquired); inTime++ {
				}
				for w := inTime; w < inTime+3; w++ {
					assert.LessOrEqual(t, cloud.reportedAfter(t, w), reportDue)
				}
				if inTime.End(windowLength).Add(reportDue - reportTime).After(acquired.Add(countsAfter)) {
					assert.Equal(t, map[string]int{"alpha": 3}, counts[first])
				}
			})
		})
	}
}

// Guards against windows that become late behind those that are late already: a call is made at each step.
func TestWindowsInTimeAreReportedBeforeLateOnes(t *testing.T) {
	const windows = 30
	for at := 2 * time.Second; at < reportDue-reportTime; at += time.Second {
		t.Run(fmt.Sprint("ended ", at, " after a window"), func(t *testing.T) {
			runBoxes(t, func(t *testing.T, cloud *fakeCloud, start func() *testBox) {
				first := metering.WindowAt(time.Now(), windowLength)
				b := start()
				defer b.collect(first+windows-1, 3, 0)()
				time.Sleep(windows*windowLength + at)
				b.acquireLease(9, time.Hour, []byte(fmt.Sprintf(`{"metering":{"next":%d}}`, first)))
				time.Sleep(3 * windowLength)
				assert.LessOrEqual(t, cloud.reportedAfter(t, first+windows-1), maxReportAge)
				assert.LessOrEqual(t, cloud.reportedAfter(t, first+windows), maxReportAge)
				for w := first; w < first+windows; w++ {
					assert.LessOrEqual(t, cloud.reportedAfter(t, w), windows*windowLength+at+8*time.Second, "late ones follow")
				}
				assert.Empty(t, b.duties.Reporter.Ledger().Closed)
				assert.Len(t, cloud.reported(), len(cloud.countsByWindow(t)), "each once")
			})
		})
	}
}
