package lease

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// length is that of the lease in the histories, thaw how long after its sender woke, or its
// link healed, a call may arrive late.
const (
	length = 3 * time.Second
	thaw   = 300 * time.Millisecond
)

// history plays boxes, a store and a cloud in played time. Each box steps its elector as the
// keeper does, and calls the cloud whenever it holds the lease.
type history struct {
	random *rand.Rand
	now    time.Time
	timing Timing
	boxes  []*playedBox
	store  playedStore
	calls  []cloudCall
	// storeDown is until when the store answers nobody.
	storeDown time.Time
	// calm tells that no answer is lost.
	calm bool
	// lossy tells that a third of all datagrams between boxes is lost.
	lossy bool
	// suspends adds suspended machines to the troubles; steady lets boxes go by a clock that
	// stands still meanwhile.
	suspends bool
	steady   bool
}

type playedStore struct {
	stored VersionedRecord
	// late are writes that are done, if their condition still holds, at a time.
	late []lateWrite
}

type lateWrite struct {
	at       time.Time
	record   Record
	revision uint64
}

// cloudCall is a call as the cloud saw it.
type cloudCall struct {
	at    time.Time
	box   string
	fence uint64
	// excused calls came just after their sender woke or its link healed.
	excused bool
}

type playedBox struct {
	name        string
	incarnation uint64
	elector     *Elector
	dead        bool
	// frozen, cutStore, cutPeers and cutCloud are until when it stands still, or can't reach
	// the store, the other boxes or the cloud.
	frozen, cutStore, cutPeers, cutCloud time.Time
	// lost is how far the box's clock is behind.
	lost time.Duration
	// pending is the call to the store that is under way.
	pending *pendingCall
	// checked is a call whose lease was checked and that is not sent yet.
	checked   uint64
	nextCall  time.Time
	retryAt   time.Time
	stopped   bool
	deadUntil time.Time
}

type pendingCall struct {
	step      Step
	sent      time.Time
	done      time.Time
	answered  bool
	result    VersionedRecord
	conflict  bool
	submitted bool
	record    Record
	revision  uint64
}

func newHistory(seed uint64, boxes int, timing Timing) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_700_000_000, 0), timing: timing}
	for i := range boxes {
		b := &playedBox{name: fmt.Sprintf("box-%d", i)}
		h.boxes = append(h.boxes, b)
		h.startBox(b)
	}
	return h
}

func (h *history) startBox(b *playedBox) {
	b.incarnation = h.random.Uint64()
	b.elector = NewElector(b.name, b.incarnation, h.timing, h.elapsed(b))
	b.dead, b.stopped, b.pending, b.checked = false, false, nil, 0
}

// elapsed is the time by a box's clock.
func (h *history) elapsed(b *playedBox) time.Time { return h.now.Add(-b.lost) }

// suspend lets a box's machine stand still, and its steady clock with it.
func (h *history) suspend(b *playedBox, d time.Duration) {
	if h.now.Before(b.frozen) {
		return
	}
	b.frozen = h.now.Add(d)
	if h.steady {
		b.lost += d
	}
}

// lateMost is how late a write may be done whose answer did not come.
const lateMost = 6 * time.Second

// tickTime is the grain of played time.
const tickTime = 10 * time.Millisecond

func (h *history) play(d time.Duration, trouble func()) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(tickTime) {
		if trouble != nil {
			trouble()
		}
		h.applyLate()
		for i, b := range h.boxes {
			h.step(b, i)
		}
	}
}

func (h *history) applyLate() {
	var left []lateWrite
	for _, w := range h.store.late {
		if h.now.Before(w.at) {
			left = append(left, w)
			continue
		}
		h.write(w.record, w.revision)
	}
	h.store.late = left
}

// write is a conditional write at the store.
func (h *history) write(r Record, revision uint64) bool {
	if h.store.stored.Revision != revision {
		return false
	}
	h.store.stored = VersionedRecord{Record: r, Revision: revision + 1 + uint64(h.random.IntN(5))}
	return true
}

func (h *history) step(b *playedBox, rank int) {
	if b.dead {
		if h.now.After(b.deadUntil) {
			h.startBox(b)
		}
		return
	}
	if h.now.Before(b.frozen) {
		return
	}
	h.callCloud(b)
	if b.pending != nil {
		h.finish(b)
		return
	}
	if b.stopped || h.now.Before(b.retryAt) {
		return
	}
	step, _ := b.elector.Next(rankDelay*time.Duration(rank), h.elapsed(b))
	if step != StepWait {
		h.submit(b, step)
	}
}

// submit sends a call to the store. It is done some milliseconds later, if it gets there.
func (h *history) submit(b *playedBox, step Step) {
	p := &pendingCall{step: step, sent: h.elapsed(b), done: h.now.Add(time.Duration(1+h.random.IntN(5)) * tickTime), revision: b.elector.Latest().Revision}
	switch step {
	case StepAcquire:
		p.record = b.elector.AcquireRecord()
	case StepRenew:
		p.record = b.elector.RenewRecord(nil)
	}
	b.pending = p
}

func (h *history) finish(b *playedBox) {
	p := b.pending
	if !p.submitted && !h.now.Before(p.done) {
		p.submitted = true
		h.serve(b, p)
	}
	if p.submitted && p.answered {
		b.pending = nil
		h.take(b, p)
		return
	}
	if h.elapsed(b).Sub(p.sent) > callMost {
		b.pending = nil
		b.retryAt = h.now.Add(retryLeast)
	}
}

// serve does a call at the store; its answer may be lost, and it may be done late.
func (h *history) serve(b *playedBox, p *pendingCall) {
	if h.now.Before(h.storeDown) || h.now.Before(b.cutStore) {
		if p.step != StepRead && h.random.IntN(3) == 0 {
			late := time.Duration(h.random.Int64N(int64(lateMost)))
			h.store.late = append(h.store.late, lateWrite{at: h.now.Add(late), record: p.record, revision: p.revision})
		}
		return
	}
	lost := !h.calm && h.random.IntN(20) == 0
	if p.step == StepRead {
		p.result, p.answered = h.store.stored, !lost
		return
	}
	if h.write(p.record, p.revision) {
		p.result, p.answered = h.store.stored, !lost
		return
	}
	p.conflict, p.result, p.answered = true, h.store.stored, !lost
}

// take takes the store's answer in, as the keeper does.
func (h *history) take(b *playedBox, p *pendingCall) {
	switch {
	case p.step == StepRead || p.conflict:
		b.elector.ObserveRead(p.result, h.elapsed(b))
	case p.step == StepAcquire:
		b.elector.Acquired(p.result, p.sent, h.elapsed(b))
		h.tell(b, p.result)
	default:
		b.elector.Renewed(p.result, p.sent, h.elapsed(b))
		h.tell(b, p.result)
	}
}

func (h *history) tell(from *playedBox, s VersionedRecord) {
	for _, b := range h.boxes {
		cut := h.now.Before(from.cutPeers) || h.now.Before(b.cutPeers) || h.now.Before(b.frozen)
		if b == from || b.dead || cut || h.lossy && h.random.IntN(3) == 0 {
			continue
		}
		heard := s
		heard.State = nil
		b.elector.ObserveAnnounced(heard, h.elapsed(b))
	}
}

// callCloud checks the lease, and calls on the next tick: a box may freeze in between.
func (h *history) callCloud(b *playedBox) {
	if b.checked > 0 {
		fence := b.checked
		b.checked = 0
		if !h.now.Before(b.cutCloud) {
			excused := h.now.Sub(b.frozen) < thaw || h.now.Sub(b.cutCloud) < thaw
			h.calls = append(h.calls, cloudCall{at: h.now, box: b.name, fence: fence, excused: excused})
		}
	}
	fence, until, ok := b.elector.Holding(h.elapsed(b))
	if ok && !b.stopped && until.Sub(h.elapsed(b)) > 5*tickTime && !h.now.Before(b.nextCall) {
		b.checked = fence
		b.nextCall = h.now.Add(time.Duration(1+h.random.IntN(20)) * tickTime)
	}
}

// stop ends a box as planned: it hands over, and comes back.
func (h *history) stop(b *playedBox) {
	if _, _, ok := b.elector.Holding(h.elapsed(b)); ok && b.pending == nil {
		r, revision := b.elector.ReleaseRecord(nil), b.elector.Latest().Revision
		b.elector.Released(h.elapsed(b))
		if !h.now.Before(b.cutStore) && !h.now.Before(h.storeDown) && h.write(r, revision) {
			h.tell(b, h.store.stored)
		}
	}
	h.kill(b, time.Second)
}

func (h *history) kill(b *playedBox, down time.Duration) {
	b.dead, b.deadUntil = true, h.now.Add(down)
}

// broken returns how the calls break a rule, "" if they do not.
func (h *history) broken() string {
	highest, last := uint64(0), make(map[string]cloudCall)
	holders := make(map[uint64]string)
	var order []cloudCall
	for _, c := range h.calls {
		if c.excused {
			continue
		}
		if other, ok := holders[c.fence]; ok && other != c.box {
			return fmt.Sprintf("%s and %s both have fence %d", other, c.box, c.fence)
		}
		holders[c.fence] = c.box
		if c.fence < highest {
			return fmt.Sprintf("%s calls with fence %d after %d", c.box, c.fence, highest)
		}
		highest = c.fence
		if before, ok := last[c.box]; ok && c.at.Sub(before.at) < length {
			for _, o := range order {
				if o.box != c.box && o.at.After(before.at) {
					return fmt.Sprintf("%s, %s, %s within %s", c.box, o.box, c.box, c.at.Sub(before.at))
				}
			}
		}
		last[c.box] = c
		order = append(order, c)
		for len(order) > 0 && c.at.Sub(order[0].at) > 2*length {
			order = order[1:]
		}
	}
	return ""
}

// troubles draws one trouble now and then.
func (h *history) troubles(every int) func() {
	return func() {
		if h.random.IntN(every) > 0 {
			return
		}
		b := h.boxes[h.random.IntN(len(h.boxes))]
		if h.random.IntN(2) == 0 {
			for _, x := range h.boxes {
				if _, _, ok := x.elector.Holding(h.elapsed(x)); ok && !x.dead {
					b = x
				}
			}
		}
		h.trouble(b)
	}
}

func (h *history) trouble(b *playedBox) {
	d := time.Duration(100+h.random.IntN(6000)) * time.Millisecond
	until := h.now.Add(d)
	if h.suspends && h.random.IntN(3) == 0 {
		h.suspend(b, time.Duration(500+h.random.IntN(59_500))*time.Millisecond)
		return
	}
	switch h.random.IntN(10) {
	case 0:
		h.kill(b, time.Duration(h.random.IntN(3000))*time.Millisecond)
	case 1:
		b.frozen = until
	case 2:
		b.cutStore = until
	case 3:
		b.cutPeers = until
	case 4:
		b.cutStore, b.cutPeers, b.cutCloud = until, until, until
	case 5:
		h.storeDown = until
	case 6:
		h.stop(b)
	case 7:
		h.lossy = !h.lossy
	case 8:
		for _, x := range h.boxes {
			h.kill(x, time.Duration(500+h.random.IntN(1000))*time.Millisecond)
		}
	case 9:
		b.cutCloud = until
	}
}
