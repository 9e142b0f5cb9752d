package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/quarantine/quarantinepb"
	"headhill.example/headhill/pkg/routing"
)

var start = time.Unix(1_000_000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func fingerprint(name string) Fingerprint {
	return FingerprintOf(&Request{Organisation: "alpha", Method: "POST", Host: "caller.example", Target: "/" + name})
}

func incarnation(n int) IncarnationHash {
	return IncarnationHash(routing.Incarnation{ID: fmt.Sprint("server-", n), Started: 1}.Hash())
}

func TestRequestIsHeldAfterThreeCrashes(t *testing.T) {
	l, f := NewLedger(), fingerprint("a")
	assert.True(t, l.Empty())
	for n := range 3 {
		assert.False(t, l.Verdict(f).Held, "after %d crashes", n)
		l.RecordCrash(f, incarnation(n), at(n*200+50))
		l.RecordCrash(f, incarnation(n), at(n*200+60))
	}
	v := l.Verdict(f)
	assert.True(t, v.Held)
	assert.Equal(t, 3, v.Crashes, "a crash that is reported twice must count once")
	assert.Equal(t, at(450).Add(firstTrialDelay), v.NextTrial)
	assert.False(t, l.Verdict(fingerprint("b")).Held)
}

// Servers that crash at the same moment have a common cause. Their crashes must count as one incident even
// if all of them had the request.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	l, f := NewLedger(), fingerprint("a")
	for n := range 8 {
		l.RecordCrash(f, incarnation(n), at(n*5))
	}
	assert.Equal(t, 1, l.Verdict(f).Incidents)
	assert.Equal(t, 8, l.Verdict(f).Crashes)
}

// Crashes in quick succession must count once per IncidentWindow, measured from the last one counted.
func TestFrequentCrashesCountOncePerWindow(t *testing.T) {
	l, f := NewLedger(), fingerprint("a")
	for n := range 6 {
		l.RecordCrash(f, incarnation(n), at(n*60))
	}
	assert.Equal(t, 3, l.Verdict(f).Incidents)
	assert.True(t, l.Verdict(f).Held)
}

func TestSuccessExcusesEarlierCrashes(t *testing.T) {
	l, f := NewLedger(), fingerprint("a")
	for n := range 3 {
		l.RecordCrash(f, incarnation(n), at(n*200+50))
	}
	l.RecordSuccess(f)
	assert.Zero(t, l.Verdict(f).Crashes)
	assert.False(t, l.Verdict(f).Held)
	l.RecordCrash(f, incarnation(1), at(5050))
	assert.Zero(t, l.Verdict(f).Crashes, "a crash reported after the success must be excused")
	l.RecordCrash(f, incarnation(9), at(6050))
	assert.Equal(t, 1, l.Verdict(f).Crashes)
}

// A request that has been excused many times must still be held once it crashes servers.
func TestExcusedCrashesDoNotCrowdOutLaterOnes(t *testing.T) {
	l, f := NewLedger(), fingerprint("a")
	for n := range 3 * maxCrashes {
		l.RecordCrash(f, incarnation(n), at(n*1000+50))
		l.RecordSuccess(f)
	}
	for n := range 3 {
		l.RecordCrash(f, incarnation(1000+n), at(900_050+n*1000))
	}
	assert.True(t, l.Verdict(f).Held)
}

// When boxes excuse a request from different crashes and merge their items, no excused crash may count
// again.
func TestExcusedCrashesStayExcusedAcrossBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
		f := fingerprint("a")
		for n := range 60 {
			l := boxes[rapid.IntRange(0, 2).Draw(t, "box")]
			l.RecordCrash(f, incarnation(n), at(n*1000))
			l.RecordSuccess(f)
			from, to := boxes[rapid.IntRange(0, 2).Draw(t, "from")], boxes[rapid.IntRange(0, 2).Draw(t, "to")]
			if i, ok := from.Item(f); ok {
				to.Merge(&i, at(n*1000))
			}
			for _, l := range boxes {
				assert.Zero(t, l.Verdict(f).Crashes)
			}
		}
	})
}

func TestTrialsBackOff(t *testing.T) {
	l, f := NewLedger(), fingerprint("a")
	lastCrash := start
	for n := range 3 {
		lastCrash = at(n * 200)
		l.RecordCrash(f, incarnation(n), lastCrash)
	}
	wait := firstTrialDelay
	for n := range maxTrials {
		v := l.Verdict(f)
		assert.Equal(t, n, v.Trials)
		assert.Equal(t, lastCrash.Add(wait), v.NextTrial)
		lastCrash = v.NextTrial
		wait *= trialBackoffFactor
		l.RecordCrash(f, incarnation(10+n), lastCrash)
	}
	assert.True(t, l.Verdict(f).Held)
	assert.Zero(t, l.Verdict(f).NextTrial, "no trial must follow the last one")
}

func TestMaySuspectMatchesOutlines(t *testing.T) {
	l := NewLedger()
	r := Request{Organisation: "alpha", Method: "POST", Target: "/a", Body: []byte("one")}
	other := r
	other.Body = []byte("a longer one")
	l.RecordCrash(FingerprintOf(&r), incarnation(1), start)
	assert.True(t, l.MaySuspect(OutlineOf(&r)))
	assert.False(t, l.MaySuspect(OutlineOf(&other)))
}

func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	held := fingerprint("held")
	for n := range 3 {
		l.RecordCrash(held, incarnation(n), at(n*200))
	}
	for n := range maxSuspects + 500 {
		l.RecordCrash(fingerprint(fmt.Sprint(n)), incarnation(n), at(1000+n))
	}
	suspects, h := l.Counts()
	assert.LessOrEqual(t, suspects, maxSuspects)
	assert.Equal(t, 1, h)
	assert.True(t, l.Verdict(held).Held, "suspects must not evict held requests")

	l.Expire(at(1000).Add(2 * suspectTTL))
	suspects, h = l.Counts()
	assert.Zero(t, suspects)
	assert.Equal(t, 1, h)
}

// Boxes that receive the same items, in any order and repeatedly, must reach the same verdict.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fingerprint("a")
		var items []*Item
		for n := range rapid.IntRange(1, 6).Draw(t, "crashes") {
			i := newItem(f)
			i.addCrash(incarnation(n), at(n*150+20))
			if rapid.Bool().Draw(t, "excused") {
				i.Excused[incarnation(n)] = true
			}
			i.Trials = rapid.IntRange(0, 2).Draw(t, "trials")
			items = append(items, i)
		}
		a, b := NewLedger(), NewLedger()
		for _, i := range items {
			a.Merge(i, start)
		}
		for _, i := range rapid.Permutation(items).Draw(t, "order") {
			b.Merge(i, start)
		}
		for _, i := range rapid.SliceOf(rapid.SampledFrom(items)).Draw(t, "repeated") {
			b.Merge(i, start)
		}
		assert.Equal(t, a.Verdict(f), b.Verdict(f))
	})
}

// Harmless requests must not be held while many servers crash, as long as some of their runs complete:
// each is on one server at a time, and one server of twelve crashes every 300 ms.
func TestHarmlessRequestsAreNotHeldDuringCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		const servers, requests, stepMS = 12, 5, 50
		serverOf := make([]int, requests)
		for tick := range 20 * 1000 / stepMS {
			crashed := -1
			if tick%6 == 0 {
				crashed = rapid.IntRange(0, servers-1).Draw(t, "crashed")
			}
			for r := range serverOf {
				if serverOf[r] == crashed {
					l.RecordCrash(fingerprint(fmt.Sprint(r)), IncarnationHash(tick), at(tick*stepMS))
				} else {
					l.RecordSuccess(fingerprint(fmt.Sprint(r)))
				}
				serverOf[r] = rapid.IntRange(0, servers-1).Draw(t, "server")
			}
		}
		_, held := l.Counts()
		assert.Zero(t, held)
	})
}

func TestItemEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := newItem(fingerprint("a"))
		for n := range rapid.IntRange(0, maxCrashes).Draw(t, "crashes") {
			i.addCrash(incarnation(n), at(-n))
		}
		i.Trials = rapid.IntRange(0, maxTrials).Draw(t, "trials")
		decoded, err := decodeItem(encodeItem(i, start), start)
		assert.NoError(t, err)
		assert.Equal(t, i, decoded)
	})
}

func FuzzDecodeItem(f *testing.F) {
	f.Add([]byte("0123456789abcdef"), 3, 3, 1)
	f.Fuzz(func(t *testing.T, digest []byte, ended, ages, excused int) {
		bounded := func(n int) int { return max(0, min(n, 100)) }
		p := evidenceItem(digest, bounded(ended), bounded(ages), bounded(excused))
		if i, err := decodeItem(p, start); err == nil {
			NewLedger().Merge(i, start)
		}
	})
}

func BenchmarkEmptyLedger(b *testing.B) {
	l := NewLedger()
	for b.Loop() {
		if !l.Empty() {
			b.Fatal("ledger is not empty")
		}
	}
}

func BenchmarkManySuspects(b *testing.B) {
	l := NewLedger()
	for n := range maxSuspects {
		l.RecordCrash(fingerprint(fmt.Sprint(n)), incarnation(n), at(n))
	}
	r := Request{Organisation: "alpha", Method: "POST", Host: "caller.example", Target: "/stream/1", Body: make([]byte, 16<<10)}
	for b.Loop() {
		if l.MaySuspect(OutlineOf(&r)) {
			b.Fatal("unexpected match with a suspect")
		}
	}
}

func TestFormOfEvidence(t *testing.T) {
	formstest.CheckShape(t, "quarantine", &quarantinepb.Evidence{}, Record{})
}
