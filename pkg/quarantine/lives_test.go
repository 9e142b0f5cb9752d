package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a request, or a part of prompts, that is never held as it crashes a server again before its entry
// tells of its restart.
func TestCrashesOfLivesWithoutAnEntryCount(t *testing.T) {
	boxes := []*Quarantine{{ledger: NewLedger()}, {ledger: NewLedger()}}
	request := Request{Method: "POST", Host: "caller.example", Target: "/a", Service: "s", Parts: []string{"bad"}}
	suspects := []Fingerprint{FingerprintOf(&request), PartFingerprint("s", "bad")}
	crash := func(box, sent, broken int) {
		r := request
		r.SentAt = at(sent)
		boxes[box].RecordCrash(&r, incarnation(1), at(broken))
		for _, f := range suspects {
			item, _ := boxes[box].ledger.Item(f)
			boxes[1-box].ledger.Merge(&item, at(broken+20))
		}
	}
	expect := func(crashes int) {
		for _, b := range boxes {
			found := b.Find(&request)
			assert.Equal(t, crashes, found.Crashes)
			assert.Equal(t, crashes >= holdThreshold, found.Held)
		}
	}
	crash(0, 0, 50)
	crash(1, 40, 60)
	crash(1, 45, 5000) // noticed late, as by a box that was suspended
	expect(1)
	crash(1, 1000, 1050)
	crash(0, 1010, 1070)
	expect(2)
	crash(0, 2000, 2050)
	expect(3)
}

// Guards against an acquittal that covers crashes of later lives.
func TestSuccessExcusesNoCrashOfALaterLife(t *testing.T) {
	q := &Quarantine{ledger: NewLedger()}
	r := Request{Method: "POST", Host: "caller.example", Target: "/a", SentAt: at(0)}
	f := FingerprintOf(&r)
	q.RecordCrash(&r, incarnation(1), at(50))
	q.ledger.RecordSuccess(f)
	assert.Zero(t, q.ledger.Verdict(f).Crashes)
	for n := range holdThreshold {
		assert.False(t, q.ledger.Verdict(f).Held)
		r.SentAt = at(1000 * (n + 1))
		q.RecordCrash(&r, incarnation(1), r.SentAt.Add(50*time.Millisecond))
	}
	assert.True(t, q.ledger.Verdict(f).Held)
}
