package quarantine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
)

// HeldRequest is what the store's record tells of one request that is held.
type HeldRequest struct {
	Outline uint64   `json:"outline"`
	Digest  []byte   `json:"digest"`
	Crashed []uint64 `json:"ended"`
	Trials  int      `json:"trials"`
}

func (h *HeldRequest) fingerprint() (Fingerprint, bool) {
	f := Fingerprint{Outline: Outline(h.Outline)}
	return f, copy(f.Digest[:], h.Digest) == digestLength && len(h.Digest) == digestLength
}

// Record is what outlives all boxes: the requests that are held.
type Record struct {
	Held []HeldRequest `json:"held"`
}

func (r *Record) index(f Fingerprint) int {
	return slices.IndexFunc(r.Held, func(h HeldRequest) bool {
		known, ok := h.fingerprint()
		return ok && known == f
	})
}

// Stored is the record as the store has it; revision zero for none.
type Stored struct {
	Record   Record
	Revision uint64
}

// Store keeps the record.
type Store interface {
	Read(ctx context.Context) (Stored, error)
	// Write replaces the record of a revision; zero makes the first one. The error is a
	// *ConflictError if the store has another one by now.
	Write(ctx context.Context, r Record, revision uint64) error
}

// ConflictError says that the record has changed since it was read.
type ConflictError struct{ Revision uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the record of held requests is not at revision %d any more: read it again", e.Revision)
}

const (
	// readSpread bounds the time, drawn by each box, for which one that has just started waits
	// for others to tell what the record holds, and readLeast is the least: where all start at once,
	// a few read it.
	readLeast  = readSpread / 2
	readSpread = time.Second
	// meetMost is how long it waits for others to be known at all.
	meetMost = time.Second
	// readCheck is how often such a box looks whether others have told it.
	readCheck = 50 * time.Millisecond
	// writeOwn is when the box that has found a hold out writes it. Others do so from writeOther
	// on, spread over writeSpread, unless they have heard by then that it has been: of 60 boxes
	// one to three write, where it was four to six with a spread that began at once.
	writeOwn    = 50 * time.Millisecond
	writeOther  = 300 * time.Millisecond
	writeSpread = 5 * time.Second
	// retryPause is the time between two tries to reach the store, before jitter.
	retryPause = 700 * time.Millisecond
	// conflictsMost is how often a record that others write meanwhile is read again.
	conflictsMost = 5
	// trialPause is the least time between two questions of a box whether it may make a trial.
	trialPause = time.Second
)

// KeeperDeps are what a Keeper is built on.
type KeeperDeps struct {
	Store  Store
	Ledger *Ledger
	Sharer *Sharer
	Logger log.Logger
	// OnHeld is told of each request that is held from now on. It must not block, and not call
	// the ledger.
	OnHeld func(Fingerprint)
	// Timeout bounds a call to the store.
	Timeout time.Duration
}

// Keeper lets the store keep what is held, for boxes that start when no other runs.
type Keeper struct {
	KeeperDeps
	// planned is told that a write was planned.
	planned chan struct{}

	mu sync.Mutex
	// due are the requests whose state has to be written.
	due map[Fingerprint]dueWrite
	// askedForTrial is when the store was last asked for a trial.
	askedForTrial time.Time
}

// dueWrite is when a request's state has to be written. A write that others may make too is
// left out once one has.
type dueWrite struct {
	at  time.Time
	own bool
}

// NewKeeper returns a keeper that is told by the ledger from now on.
func NewKeeper(d KeeperDeps) *Keeper {
	k := &Keeper{KeeperDeps: d, planned: make(chan struct{}, 1), due: make(map[Fingerprint]dueWrite)}
	d.Ledger.onHeld = func(f Fingerprint, own bool) {
		wait := writeOwn
		if !own {
			wait = writeOther + rand.N(writeSpread)
		}
		k.plan(f, dueWrite{at: clock.Now().Add(wait), own: own})
		d.OnHeld(f)
	}
	return k
}

// plan lets the state of a request be written at a time.
func (k *Keeper) plan(f Fingerprint, d dueWrite) {
	k.mu.Lock()
	k.due[f] = d
	k.mu.Unlock()
	select {
	case k.planned <- struct{}{}:
	default:
	}
}

// Run reads the record, and then writes what is held until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.load(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.planned:
		case <-timer.C:
		}
		k.writeDue(ctx, clock.Now())
		if wait, more := k.nextDue(clock.Now()); more {
			timer.Reset(wait)
		}
	}
}

// nextDue is the time until the next write is due; false if none is planned.
func (k *Keeper) nextDue(now time.Time) (wait time.Duration, more bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range k.due {
		if left := max(0, d.at.Sub(now)); !more || left < wait {
			wait, more = left, true
		}
	}
	return wait, more
}

// load learns what the record tells, from other boxes or from the store.
func (k *Keeper) load(ctx context.Context) {
	k.await(ctx, meetMost, func() bool { return len(k.Sharer.Peers()) > 0 })
	// Of 985 boxes that drew evenly 700 read the record for themselves.
	k.await(ctx, readLeast+pause.SuppressionDelay(readSpread, len(k.Sharer.Peers())+1), k.Sharer.Informed)
	for !k.Sharer.Informed() && ctx.Err() == nil {
		s, err := k.read(ctx)
		if err != nil {
			_ = level.Info(k.Logger).Log("msg", "held requests not read", "err", err, "outcome", "tried again")
			pause.For(ctx, retryPause+rand.N(retryPause))
			continue
		}
		k.takeRecord(s.Record, clock.Now())
		k.Sharer.SetInformed()
		_ = level.Info(k.Logger).Log("msg", "held requests read", "held", len(s.Record.Held), "revision", s.Revision)
	}
}

// await waits for something, for some time at the most.
func (k *Keeper) await(ctx context.Context, most time.Duration, there func() bool) {
	for end := clock.Now().Add(most); clock.Now().Before(end) && !there() && ctx.Err() == nil; {
		pause.For(ctx, readCheck)
	}
}

func (k *Keeper) read(ctx context.Context) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	return k.Store.Read(ctx)
}

// takeRecord takes the record in. When the servers ended it does not tell: the waits until the
// next trials begin anew.
func (k *Keeper) takeRecord(r Record, now time.Time) {
	for n := range r.Held {
		h := &r.Held[n]
		f, ok := h.fingerprint()
		if !ok {
			_ = level.Warn(k.Logger).Log("msg", "held request of the record left out", "reason", "its digest can't be read")
			continue
		}
		i := newItem(f)
		for n, life := range h.Crashed[:min(len(h.Crashed), endsMost)] {
			i.Ends[IncarnationHash(life)] = now.Add(-time.Duration(n) * IncidentWindow)
		}
		i.Trials, i.Stored = h.Trials, true
		k.Ledger.Take(i, now)
	}
}

// writeDue writes the states that are due.
func (k *Keeper) writeDue(ctx context.Context, now time.Time) {
	for f, d := range k.takeDue(now) {
		if i, ok := k.Ledger.Item(f); ok && i.Stored && !d.own {
			continue
		}
		if err := k.update(ctx, f, false); err != nil {
			_ = level.Info(k.Logger).Log("msg", "held request not written", "request", f, "err", err, "outcome", "tried again")
			d.at = clock.Now().Add(retryPause + rand.N(retryPause))
			k.plan(f, d)
		}
	}
}

func (k *Keeper) takeDue(now time.Time) map[Fingerprint]dueWrite {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := make(map[Fingerprint]dueWrite)
	for f, d := range k.due {
		if !now.Before(d.at) {
			taken[f] = d
			delete(k.due, f)
		}
	}
	return taken
}

// errTrialTaken says that another box has begun the trial.
var errTrialTaken = errors.New("another box has begun the trial")

// update brings the record's word on a request up to what the ledger knows, and counts a trial
// more if one is to begin.
func (k *Keeper) update(ctx context.Context, f Fingerprint, trial bool) error {
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	var conflict *ConflictError
	for range conflictsMost {
		err := k.updateOnce(ctx, f, trial)
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return conflict
}

func (k *Keeper) updateOnce(ctx context.Context, f Fingerprint, trial bool) error {
	s, err := k.Store.Read(ctx)
	if err != nil {
		return err
	}
	item, known := k.Ledger.Item(f)
	if !known {
		return nil
	}
	v := item.verdict()
	at := s.Record.index(f)
	if at >= 0 {
		if taken := s.Record.Held[at].Trials; trial && taken > v.Trials {
			k.Ledger.noteRecord(f, true, taken)
			return errTrialTaken
		}
		s.Record.Held = slices.Delete(s.Record.Held, at, at+1)
	}
	trials := v.Trials
	if trial {
		trials++
	}
	if v.Held {
		s.Record.Held = append(s.Record.Held, heldRequest(&item, trials))
	}
	s.Record.Held = s.Record.Held[max(0, len(s.Record.Held)-heldMost):]
	if err := k.Store.Write(ctx, s.Record, s.Revision); err != nil {
		return err
	}
	k.Ledger.noteRecord(f, v.Held, trials)
	_ = level.Info(k.Logger).Log("msg", "record of held requests written", "request", f, "held", v.Held, "ends", v.Crashes, "trials", trials, "of", len(s.Record.Held))
	return nil
}

func heldRequest(i *Item, trials int) HeldRequest {
	h := HeldRequest{Outline: uint64(i.Fingerprint.Outline), Digest: i.Fingerprint.Digest[:], Trials: trials}
	for life := range i.Ends {
		if !i.Excused[life] {
			h.Crashed = append(h.Crashed, uint64(life))
		}
	}
	return h
}

// BeginTrial asks for the one trial of a held request that is due, and returns whether this box
// may make it: one box of the fleet may, by a condition in the store.
func (k *Keeper) BeginTrial(ctx context.Context, f Fingerprint, now time.Time) bool {
	v := k.Ledger.Verdict(f)
	if !v.Held || v.NextTrial.IsZero() || now.Before(v.NextTrial) || !k.mayAskForTrial(now) {
		return false
	}
	err := k.update(ctx, f, true)
	_ = level.Info(k.Logger).Log("msg", "trial of a held request", "request", f, "ends", v.Crashes, "trials", v.Trials, "granted", err == nil, "err", err)
	return err == nil
}

// mayAskForTrial lets this box ask the store for a trial now and then only: while the store is
// away, each try of each caller would ask it.
func (k *Keeper) mayAskForTrial(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.askedForTrial) < trialPause {
		return false
	}
	k.askedForTrial = now
	return true
}

// RecordSuccess notes that a request was run to its end. One that was held is released everywhere.
func (k *Keeper) RecordSuccess(f Fingerprint) {
	held := k.Ledger.Verdict(f).Held
	k.Ledger.RecordSuccess(f)
	if !held {
		return
	}
	_ = level.Info(k.Logger).Log("msg", "held request released", "request", f)
	k.plan(f, dueWrite{own: true})
}
