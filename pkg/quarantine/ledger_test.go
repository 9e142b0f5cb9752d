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

var begin = time.Unix(1_000_000, 0)

// at is a moment some milliseconds after the begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func request(name string) Fingerprint {
	return FingerprintOf(&Request{Organisation: "alpha", Method: "POST", Host: "caller.example", Target: "/" + name})
}

func life(n int) IncarnationHash {
	return IncarnationHash(routing.Incarnation{ID: fmt.Sprint("server-", n), Started: 1}.Hash())
}

func TestRequestIsHeldAfterThreeServersEndedUnderIt(t *testing.T) {
	l, f := NewLedger(), request("a")
	assert.True(t, l.Empty())
	for n := range 3 {
		assert.False(t, l.Verdict(f).Held, "after %d ends", n)
		l.RecordCrash(f, life(n), at(n*200+50))
		l.RecordCrash(f, life(n), at(n*200+60))
	}
	v := l.Verdict(f)
	assert.True(t, v.Held)
	assert.Equal(t, 3, v.Crashes, "an end that is told twice counts once")
	assert.Equal(t, at(450).Add(trialFirst), v.NextTrial)
	assert.False(t, l.Verdict(request("b")).Held)
}

// Where servers end at the same moment, with one request on many of them, the request is not to
// blame for each.
func TestEndsOfOneMomentCountOnce(t *testing.T) {
	l, f := NewLedger(), request("a")
	for n := range 8 {
		l.RecordCrash(f, life(n), at(n*5))
	}
	assert.Equal(t, 1, l.Verdict(f).Incidents)
	assert.Equal(t, 8, l.Verdict(f).Crashes)
}

// Ends that follow each other closely go on counting: each is told from the last that counted.
func TestCloseEndsCountNowAndThen(t *testing.T) {
	l, f := NewLedger(), request("a")
	for n := range 6 {
		l.RecordCrash(f, life(n), at(n*60))
	}
	assert.Equal(t, 3, l.Verdict(f).Incidents)
	assert.True(t, l.Verdict(f).Held)
}

func TestSoundRunExcusesWhatWasBefore(t *testing.T) {
	l, f := NewLedger(), request("a")
	for n := range 3 {
		l.RecordCrash(f, life(n), at(n*200+50))
	}
	l.RecordSuccess(f)
	assert.Zero(t, l.Verdict(f).Crashes)
	assert.False(t, l.Verdict(f).Held)
	l.RecordCrash(f, life(1), at(5050))
	assert.Zero(t, l.Verdict(f).Crashes, "an end that comes late is excused too")
	l.RecordCrash(f, life(9), at(6050))
	assert.Equal(t, 1, l.Verdict(f).Crashes)
}

// A harmless request that is sent all day is on servers that end, now and then. That it ran soundly
// in between is no reason to overlook it once servers crash of it.
func TestManyExcusedEndsLeaveRoomForLaterOnes(t *testing.T) {
	l, f := NewLedger(), request("a")
	for n := range 3 * endsMost {
		l.RecordCrash(f, life(n), at(n*1000+50))
		l.RecordSuccess(f)
	}
	for n := range 3 {
		l.RecordCrash(f, life(1000+n), at(900_050+n*1000))
	}
	assert.True(t, l.Verdict(f).Held)
}

// Boxes that know other lives of one harmless request tell each other all that they know. No end
// that one of them has excused becomes suspicious at another, however many there are.
func TestExcusedEndsOfOtherBoxesStayExcused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := []*Ledger{NewLedger(), NewLedger(), NewLedger()}
		f := request("a")
		for n := range 60 {
			l := boxes[rapid.IntRange(0, 2).Draw(t, "box")]
			l.RecordCrash(f, life(n), at(n*1000))
			l.RecordSuccess(f)
			from, to := boxes[rapid.IntRange(0, 2).Draw(t, "from")], boxes[rapid.IntRange(0, 2).Draw(t, "to")]
			if i, ok := from.Item(f); ok {
				to.Take(&i, at(n*1000))
			}
			for _, l := range boxes {
				assert.Zero(t, l.Verdict(f).Crashes)
			}
		}
	})
}

func TestTrialsComeMoreAndMoreRarely(t *testing.T) {
	l, f := NewLedger(), request("a")
	when := begin
	for n := range 3 {
		when = at(n * 200)
		l.RecordCrash(f, life(n), when)
	}
	wait := trialFirst
	for n := range trialsMost {
		v := l.Verdict(f)
		assert.Equal(t, n, v.Trials)
		assert.Equal(t, when.Add(wait), v.NextTrial)
		when = v.NextTrial
		wait *= trialFactor
		l.RecordCrash(f, life(10+n), when)
	}
	assert.True(t, l.Verdict(f).Held)
	assert.Zero(t, l.Verdict(f).NextTrial, "only an operator releases it")
}

func TestOnlyOutlinesOfSuspectsAreWorthAHash(t *testing.T) {
	l := NewLedger()
	r := Request{Organisation: "alpha", Method: "POST", Target: "/a", Body: []byte("one")}
	other := r
	other.Body = []byte("a longer one")
	l.RecordCrash(FingerprintOf(&r), life(1), begin)
	assert.True(t, l.MaySuspect(OutlineOf(&r)))
	assert.False(t, l.MaySuspect(OutlineOf(&other)))
}

func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	held := request("held")
	for n := range 3 {
		l.RecordCrash(held, life(n), at(n*200))
	}
	for n := range suspectsMost + 500 {
		l.RecordCrash(request(fmt.Sprint(n)), life(n), at(1000+n))
	}
	suspects, h := l.Counts()
	assert.LessOrEqual(t, suspects, suspectsMost)
	assert.Equal(t, 1, h)
	assert.True(t, l.Verdict(held).Held, "what is held is not dropped for suspects")

	l.Forget(at(1000).Add(2 * suspectKept))
	suspects, h = l.Counts()
	assert.Zero(t, suspects)
	assert.Equal(t, 1, h)
}

// Boxes that have heard the same, in any order and however often, judge the same.
func TestOrderAndRepetitionDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := request("a")
		var items []*Item
		for n := range rapid.IntRange(1, 6).Draw(t, "ends") {
			i := newItem(f)
			i.addEnd(life(n), at(n*150+20))
			if rapid.Bool().Draw(t, "excused") {
				i.Excused[life(n)] = true
			}
			i.Trials = rapid.IntRange(0, 2).Draw(t, "trials")
			items = append(items, i)
		}
		a, b := NewLedger(), NewLedger()
		for _, i := range items {
			a.Take(i, begin)
		}
		for _, i := range rapid.Permutation(items).Draw(t, "order") {
			b.Take(i, begin)
		}
		for _, i := range rapid.SliceOf(rapid.SampledFrom(items)).Draw(t, "doubled") {
			b.Take(i, begin)
		}
		assert.Equal(t, a.Verdict(f), b.Verdict(f))
	})
}

// The seconds in which servers die in numbers leave harmless requests unheld, as long as some of
// their runs end soundly: here each is at one server at a time and one server in twelve dies
// every 0.3 s.
func TestHarmlessRequestsAreNotHeldWhileServersDie(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		const servers, requests, step = 12, 5, 50
		place := make([]int, requests)
		for tick := range 20 * 1000 / step {
			dying := -1
			if tick%6 == 0 {
				dying = rapid.IntRange(0, servers-1).Draw(t, "dying")
			}
			for r := range place {
				if place[r] == dying {
					l.RecordCrash(request(fmt.Sprint(r)), IncarnationHash(tick), at(tick*step))
				} else {
					l.RecordSuccess(request(fmt.Sprint(r)))
				}
				place[r] = rapid.IntRange(0, servers-1).Draw(t, "place")
			}
		}
		_, held := l.Counts()
		assert.Zero(t, held)
	})
}

func TestItemsSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := newItem(request("a"))
		for n := range rapid.IntRange(0, endsMost).Draw(t, "ends") {
			i.addEnd(life(n), at(-n))
		}
		i.Trials = rapid.IntRange(0, trialsMost).Draw(t, "trials")
		decoded, err := decodeItem(encodeItem(i, begin), begin)
		assert.NoError(t, err)
		assert.Equal(t, i, decoded)
	})
}

func FuzzDecodeItem(f *testing.F) {
	f.Add([]byte("0123456789abcdef"), 3, 3, 1)
	f.Fuzz(func(t *testing.T, digest []byte, ended, ages, excused int) {
		bounded := func(n int) int { return max(0, min(n, 100)) }
		p := evidenceItem(digest, bounded(ended), bounded(ages), bounded(excused))
		if i, err := decodeItem(p, begin); err == nil {
			NewLedger().Take(i, begin)
		}
	})
}

func BenchmarkCalmDay(b *testing.B) {
	l := NewLedger()
	for b.Loop() {
		if !l.Empty() {
			b.Fatal("nothing is suspected")
		}
	}
}

func BenchmarkManySuspects(b *testing.B) {
	l := NewLedger()
	for n := range suspectsMost {
		l.RecordCrash(request(fmt.Sprint(n)), life(n), at(n))
	}
	r := Request{Organisation: "alpha", Method: "POST", Host: "caller.example", Target: "/stream/1", Body: make([]byte, 16<<10)}
	for b.Loop() {
		if l.MaySuspect(OutlineOf(&r)) {
			b.Fatal("the request is not suspected")
		}
	}
}

func TestFormOfEvidence(t *testing.T) {
	formstest.CheckShape(t, "quarantine", &quarantinepb.Evidence{}, Record{})
}
