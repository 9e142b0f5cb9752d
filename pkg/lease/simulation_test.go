package lease

import (
	"fmt"
	"math/rand/v2"
	"time"

	"headhill.example/headhill/pkg/storerev"
)

// leaseDuration is the duration of the simulated lease. lateCallAllowance is how long after its
// sender woke, or its link was restored, a call may arrive late.
const (
	leaseDuration     = 3 * time.Second
	lateCallAllowance = 300 * time.Millisecond
)

// simulation simulates boxes, a store and a cloud. Each box drives its elector as Manager does, and
// calls the cloud while it holds the lease.
type simulation struct {
	random *rand.Rand
	now    time.Time
	timing Timing
	boxes  []*simulatedBox
	store  simulatedStore
	calls  []cloudCall
	// storeDownUntil is when a store outage ends.
	storeDownUntil time.Time
	// noLostResponses disables the random loss of store responses.
	noLostResponses bool
	// datagramLoss drops a third of the datagrams between boxes.
	datagramLoss bool
	// suspendMachines adds suspended machines to the faults. With monotonicClock the clocks of
	// boxes do not advance during a suspension.
	suspendMachines bool
	monotonicClock  bool
	// restoreStore adds restores of the store from an older copy to the faults. With ignoreWrittenEra
	// the boxes take each record for one that was written in the current era.
	restoreStore     bool
	ignoreWrittenEra bool
}

type simulatedStore struct {
	stored VersionedRecord
	// delayedWrites are executed later, if the number of the revision still matches.
	delayedWrites []delayedWrite
	// copies holds the records of the last maxCopyAge.
	copies []recordCopy
}

type recordCopy struct {
	at     time.Time
	record VersionedRecord
}

type delayedWrite struct {
	at       time.Time
	record   Record
	revision storerev.Revision
}

// cloudCall is a call received by the cloud.
type cloudCall struct {
	at    time.Time
	box   string
	fence uint64
	// excused calls arrived within lateCallAllowance.
	excused bool
}

type simulatedBox struct {
	name        string
	incarnation uint64
	elector     *Elector
	dead        bool
	// frozenUntil is when the box resumes, the others are when it can reach the store, its peers
	// and the cloud again.
	frozenUntil, storeCutUntil, peersCutUntil, cloudCutUntil time.Time
	// clockLag is how far the clock of the box is behind.
	clockLag time.Duration
	// pending is the store call in flight.
	pending *pendingCall
	// knownEra is the latest era in a response.
	knownEra uint64
	// checkedFence is the fence of a call that is not sent yet though the lease was checked for it.
	checkedFence uint64
	nextCall     time.Time
	retryAt      time.Time
	stopped      bool
	deadUntil    time.Time
}

type pendingCall struct {
	step      Step
	sentAt    time.Time
	doneAt    time.Time
	answered  bool
	result    VersionedRecord
	conflict  bool
	submitted bool
	record    Record
	revision  storerev.Revision
}

func newSimulation(seed uint64, boxes int, timing Timing) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_700_000_000, 0), timing: timing}
	for i := range boxes {
		b := &simulatedBox{name: fmt.Sprintf("box-%d", i)}
		sim.boxes = append(sim.boxes, b)
		sim.startBox(b)
	}
	return sim
}

func (sim *simulation) startBox(b *simulatedBox) {
	b.incarnation = sim.random.Uint64()
	b.elector = NewElector(b.name, b.incarnation, sim.timing, sim.elapsed(b))
	b.dead, b.stopped, b.pending, b.checkedFence, b.knownEra = false, false, nil, 0, 0
}

// elapsed returns the time of the box's clock.
func (sim *simulation) elapsed(b *simulatedBox) time.Time { return sim.now.Add(-b.clockLag) }

// suspend suspends the machine of a box, and with monotonicClock its clock.
func (sim *simulation) suspend(b *simulatedBox, d time.Duration) {
	if sim.now.Before(b.frozenUntil) {
		return
	}
	b.frozenUntil = sim.now.Add(d)
	if sim.monotonicClock {
		b.clockLag += d
	}
}

// maxWriteDelay is how late an unanswered write may take effect.
const maxWriteDelay = 6 * time.Second

const tickInterval = 10 * time.Millisecond

func (sim *simulation) run(d time.Duration, fault func()) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(tickInterval) {
		sim.copyRecord()
		if fault != nil {
			fault()
		}
		sim.applyDelayedWrites()
		for i, b := range sim.boxes {
			sim.step(b, i)
		}
	}
}

func (sim *simulation) applyDelayedWrites() {
	var left []delayedWrite
	for _, w := range sim.store.delayedWrites {
		if sim.now.Before(w.at) {
			left = append(left, w)
			continue
		}
		sim.write(w.record, w.revision)
	}
	sim.store.delayedWrites = left
}

// write performs a conditional write. The store compares only the number of the revision, so the caller
// has to check that it is of the same era.
func (sim *simulation) write(r Record, revision storerev.Revision) (sameEra bool) {
	stored := sim.store.stored.Revision
	if stored.Number() != revision.Number() {
		return false
	}
	sim.store.stored = VersionedRecord{Record: r, Revision: stored + 1 + storerev.Revision(sim.random.IntN(5))}
	return stored.SameEra(revision)
}

// maxCopyAge is the maximum age of the copy from which the store is restored.
const maxCopyAge = 5 * time.Second

// copyRecord copies the record, so that it can be restored.
func (sim *simulation) copyRecord() {
	for len(sim.store.copies) > 0 && sim.now.Sub(sim.store.copies[0].at) > maxCopyAge {
		sim.store.copies = sim.store.copies[1:]
	}
	sim.store.copies = append(sim.store.copies, recordCopy{at: sim.now, record: sim.store.stored})
}

// restore restores the record from a copy and starts the next era.
func (sim *simulation) restore() {
	era := sim.store.stored.Revision.Era() + 1
	restored := sim.store.copies[sim.random.IntN(len(sim.store.copies))].record
	restored.Revision = storerev.StartOf(era) + storerev.Revision(restored.Revision.Number())
	sim.store.stored = restored
	sim.store.copies = []recordCopy{{at: sim.now, record: restored}}
	sim.storeDownUntil = sim.now.Add(time.Duration(sim.random.IntN(2000)) * time.Millisecond)
}

func (sim *simulation) step(b *simulatedBox, rank int) {
	if b.dead {
		if sim.now.After(b.deadUntil) {
			sim.startBox(b)
		}
		return
	}
	if sim.now.Before(b.frozenUntil) {
		return
	}
	sim.callCloud(b)
	if b.pending != nil {
		sim.advancePending(b)
		return
	}
	if b.stopped || sim.now.Before(b.retryAt) {
		return
	}
	step, _ := b.elector.Next(rankDelay*time.Duration(rank), sim.elapsed(b))
	if step != StepWait {
		sim.submit(b, step)
	}
}

// submit sends a call to the store, which executes it some milliseconds later if it is reachable.
func (sim *simulation) submit(b *simulatedBox, step Step) {
	p := &pendingCall{step: step, sentAt: sim.elapsed(b), doneAt: sim.now.Add(time.Duration(1+sim.random.IntN(5)) * tickInterval), revision: b.elector.Latest().Revision}
	switch step {
	case StepAcquire:
		p.record = b.elector.AcquireRecord()
	case StepRenew:
		p.record = b.elector.RenewRecord(nil, true)
	}
	b.pending = p
}

func (sim *simulation) advancePending(b *simulatedBox) {
	p := b.pending
	if !p.submitted && !sim.now.Before(p.doneAt) {
		p.submitted = true
		sim.execute(b, p)
	}
	if p.submitted && p.answered {
		b.pending = nil
		sim.handleResponse(b, p)
		return
	}
	if sim.elapsed(b).Sub(p.sentAt) > storeTimeout {
		b.pending = nil
		b.retryAt = sim.now.Add(minRetryDelay)
	}
}

// execute executes a call at the store. Its response may be lost, and a write may be delayed.
func (sim *simulation) execute(b *simulatedBox, p *pendingCall) {
	if sim.now.Before(sim.storeDownUntil) || sim.now.Before(b.storeCutUntil) {
		if p.step != StepRead && sim.random.IntN(3) == 0 {
			delay := time.Duration(sim.random.Int64N(int64(maxWriteDelay)))
			sim.store.delayedWrites = append(sim.store.delayedWrites, delayedWrite{at: sim.now.Add(delay), record: p.record, revision: p.revision})
		}
		return
	}
	if p.step != StepRead && p.revision.Era() < b.knownEra {
		// The client does not send the write, and the record is read again.
		p.conflict, p.result, p.answered = true, sim.store.stored, true
		return
	}
	responseLost := !sim.noLostResponses && sim.random.IntN(20) == 0
	if p.step == StepRead {
		p.result, p.answered = sim.store.stored, !responseLost
		return
	}
	if sim.write(p.record, p.revision) {
		p.result, p.answered = sim.store.stored, !responseLost
		return
	}
	p.conflict, p.result, p.answered = true, sim.store.stored, !responseLost
}

// handleResponse passes the response of the store to the elector, as Manager does.
func (sim *simulation) handleResponse(b *simulatedBox, p *pendingCall) {
	if era := p.result.Revision.Era(); era < b.knownEra {
		b.retryAt = sim.now.Add(minRetryDelay)
		return
	} else if era > b.knownEra {
		b.knownEra = era
		b.elector.ObserveEra(era, sim.elapsed(b))
	}
	if sim.ignoreWrittenEra {
		p.result.Era = p.result.Revision.Era()
	}
	switch {
	case p.step == StepRead || p.conflict:
		b.elector.ObserveRead(p.result, sim.elapsed(b))
	case p.step == StepAcquire:
		b.elector.Acquired(p.result, p.sentAt, sim.elapsed(b))
		sim.announce(b, p.result)
	default:
		b.elector.Renewed(p.result, p.sentAt, sim.elapsed(b))
		sim.announce(b, p.result)
	}
}

func (sim *simulation) announce(from *simulatedBox, s VersionedRecord) {
	for _, b := range sim.boxes {
		cut := sim.now.Before(from.peersCutUntil) || sim.now.Before(b.peersCutUntil) || sim.now.Before(b.frozenUntil)
		if b == from || b.dead || cut || sim.datagramLoss && sim.random.IntN(3) == 0 {
			continue
		}
		announced := s
		announced.State = nil
		if sim.ignoreWrittenEra {
			announced.Era = announced.Revision.Era()
		}
		b.elector.ObserveAnnounced(announced, sim.elapsed(b))
	}
}

// callCloud checks the lease and sends the call on the next tick, as a box may freeze in between.
func (sim *simulation) callCloud(b *simulatedBox) {
	if b.checkedFence > 0 {
		fence := b.checkedFence
		b.checkedFence = 0
		if !sim.now.Before(b.cloudCutUntil) {
			excused := sim.now.Sub(b.frozenUntil) < lateCallAllowance || sim.now.Sub(b.cloudCutUntil) < lateCallAllowance
			sim.calls = append(sim.calls, cloudCall{at: sim.now, box: b.name, fence: fence, excused: excused})
		}
	}
	fence, until, ok := b.elector.Holding(sim.elapsed(b))
	if ok && !b.stopped && until.Sub(sim.elapsed(b)) > 5*tickInterval && !sim.now.Before(b.nextCall) {
		b.checkedFence = fence
		b.nextCall = sim.now.Add(time.Duration(1+sim.random.IntN(20)) * tickInterval)
	}
}

// stop shuts a box down gracefully: it releases the lease and restarts later.
func (sim *simulation) stop(b *simulatedBox) {
	if _, _, ok := b.elector.Holding(sim.elapsed(b)); ok && b.pending == nil {
		r, revision := b.elector.ReleaseRecord(nil, true), b.elector.Latest().Revision
		b.elector.Released(sim.elapsed(b))
		if !sim.now.Before(b.storeCutUntil) && !sim.now.Before(sim.storeDownUntil) && sim.write(r, revision) {
			sim.announce(b, sim.store.stored)
		}
	}
	sim.kill(b, time.Second)
}

func (sim *simulation) kill(b *simulatedBox, down time.Duration) {
	b.dead, b.deadUntil = true, sim.now.Add(down)
}

// violation describes the first rule that the calls violate, or returns "".
func (sim *simulation) violation() string {
	highest, last := uint64(0), make(map[string]cloudCall)
	holders := make(map[uint64]string)
	var order []cloudCall
	for _, c := range sim.calls {
		if c.excused {
			continue
		}
		if other, ok := holders[c.fence]; ok && other != c.box {
			return fmt.Sprintf("%s and %s both called with fence %d", other, c.box, c.fence)
		}
		holders[c.fence] = c.box
		if c.fence < highest {
			return fmt.Sprintf("%s called with fence %d after %d", c.box, c.fence, highest)
		}
		highest = c.fence
		if previous, ok := last[c.box]; ok && c.at.Sub(previous.at) < leaseDuration {
			for _, o := range order {
				if o.box != c.box && o.at.After(previous.at) {
					return fmt.Sprintf("calls by %s, %s and %s again within %s", c.box, o.box, c.box, c.at.Sub(previous.at))
				}
			}
		}
		last[c.box] = c
		order = append(order, c)
		for len(order) > 0 && c.at.Sub(order[0].at) > 2*leaseDuration {
			order = order[1:]
		}
	}
	return ""
}

// randomFaults returns a function that injects a fault every meanTicks ticks on average.
func (sim *simulation) randomFaults(meanTicks int) func() {
	return func() {
		if sim.random.IntN(meanTicks) > 0 {
			return
		}
		b := sim.boxes[sim.random.IntN(len(sim.boxes))]
		if sim.random.IntN(2) == 0 {
			for _, x := range sim.boxes {
				if _, _, ok := x.elector.Holding(sim.elapsed(x)); ok && !x.dead {
					b = x
				}
			}
		}
		sim.injectFault(b)
	}
}

func (sim *simulation) injectFault(b *simulatedBox) {
	d := time.Duration(100+sim.random.IntN(6000)) * time.Millisecond
	until := sim.now.Add(d)
	if sim.suspendMachines && sim.random.IntN(3) == 0 {
		sim.suspend(b, time.Duration(500+sim.random.IntN(59_500))*time.Millisecond)
		return
	}
	if sim.restoreStore && sim.random.IntN(4) == 0 {
		sim.restore()
		return
	}
	switch sim.random.IntN(10) {
	case 0:
		sim.kill(b, time.Duration(sim.random.IntN(3000))*time.Millisecond)
	case 1:
		b.frozenUntil = until
	case 2:
		b.storeCutUntil = until
	case 3:
		b.peersCutUntil = until
	case 4:
		b.storeCutUntil, b.peersCutUntil, b.cloudCutUntil = until, until, until
	case 5:
		sim.storeDownUntil = until
	case 6:
		sim.stop(b)
	case 7:
		sim.datagramLoss = !sim.datagramLoss
	case 8:
		for _, x := range sim.boxes {
			sim.kill(x, time.Duration(500+sim.random.IntN(1000))*time.Millisecond)
		}
	case 9:
		b.cloudCutUntil = until
	}
}
