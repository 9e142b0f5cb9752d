package quarantine

import (
	"context"
	"encoding/json"
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
	"headhill.example/headhill/pkg/storerev"
)

// HeldRequest is the entry of a held request in the stored record.
type HeldRequest struct {
	Outline uint64   `json:"outline"`
	Digest  []byte   `json:"digest"`
	Crashed []uint64 `json:"ended"`
	Trials  int      `json:"trials"`
	// Part is the ID of a held part of prompts.
	Part  string `json:"part,omitempty"`
	Depth int    `json:"depth,omitempty"`
}

func (h *HeldRequest) fingerprint() (Fingerprint, bool) {
	f := Fingerprint{Outline: Outline(h.Outline)}
	return f, copy(f.Digest[:], h.Digest) == digestBytes && len(h.Digest) == digestBytes
}

// Record is the persistent state of the quarantine, which survives a restart of all boxes.
type Record struct {
	Held []HeldRequest `json:"held"`
	// Suspects are not held yet. Builds before this field ignore it, and drop it when they write.
	Suspects []SuspectRequest `json:"suspects,omitempty"`
	// malformed is the number of requests that could not be decoded.
	malformed int
}

// UnmarshalJSON implements json.Unmarshaler. It skips held requests that cannot be decoded, and keeps the last maxHeld, as many
// as boxes write.
func (r *Record) UnmarshalJSON(data []byte) error {
	var record struct {
		Held     []json.RawMessage `json:"held"`
		Suspects json.RawMessage   `json:"suspects"`
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return err
	}
	*r = Record{}
	for _, raw := range record.Held {
		var h HeldRequest
		err := json.Unmarshal(raw, &h)
		if _, ok := h.fingerprint(); err != nil || !ok {
			r.malformed++
			continue
		}
		r.Held = append(r.Held, h)
	}
	r.Held = r.Held[max(0, len(r.Held)-maxHeld):]
	suspects, malformed := decodeSuspects(record.Suspects)
	r.Suspects, r.malformed = suspects, r.malformed+malformed
	return nil
}

func (r *Record) index(f Fingerprint) int {
	return slices.IndexFunc(r.Held, func(h HeldRequest) bool {
		known, ok := h.fingerprint()
		return ok && known == f
	})
}

// Stored is the record with its revision in the store, which is the start of an era if there is no
// record.
type Stored struct {
	Record   Record
	Revision storerev.Revision
}

// Store reads and writes the record.
type Store interface {
	Read(ctx context.Context) (Stored, error)
	// Write replaces the record at the given revision; the start of an era creates it. The error is a *ConflictError if
	// the store has another revision.
	Write(ctx context.Context, r Record, revision storerev.Revision) error
}

// ConflictError reports that the record changed since it was read.
type ConflictError struct{ Revision storerev.Revision }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("record of held requests changed since revision %s: read it again", e.Revision)
}

const (
	// A starting box waits minReadDelay plus a random delay of up to readDelaySpread for peers to send it
	// the contents of the record before it reads the store, so that few boxes read when all start at once.
	minReadDelay    = readDelaySpread / 2
	readDelaySpread = time.Second
	// maxPeerWait is how long a starting box waits until it knows any peers.
	maxPeerWait = time.Second
	// syncPollInterval is the poll interval of waitFor.
	syncPollInterval = 50 * time.Millisecond
	// The box that detects that a request is to be held writes it to the store after localWriteDelay. The
	// others do so after remoteWriteDelay plus a random part of remoteWriteSpread, unless they have learned
	// that it is stored.
	localWriteDelay   = 50 * time.Millisecond
	remoteWriteDelay  = 300 * time.Millisecond
	remoteWriteSpread = 5 * time.Second
	// retryDelay is the delay before the next attempt to reach the store, to which jitter is added.
	retryDelay = 700 * time.Millisecond
	// maxConflicts is the number of attempts to update a record that other boxes change concurrently.
	maxConflicts = 5
	// trialRequestInterval is the minimum interval between requests of this box to the store for a trial.
	trialRequestInterval = time.Second
)

// PersisterDeps are the dependencies of a Persister.
type PersisterDeps struct {
	Store    Store
	Ledger   *Ledger
	Gossiper *Gossiper
	Logger   log.Logger
	// OnHeld is called for each request that becomes held. It must not block or call the ledger.
	OnHeld func(Fingerprint)
	// Timeout limits each call to the store.
	Timeout time.Duration
}

// Persister saves the held requests to the store, so that they survive a restart of all boxes.
type Persister struct {
	PersisterDeps
	// wake signals that a write was scheduled.
	wake chan struct{}

	mu sync.Mutex
	// pendingWrites holds the requests whose state has to be written.
	pendingWrites map[Fingerprint]pendingWrite
	// reconcileAt is when to compare the record with the ledger; zero for not at all.
	reconcileAt time.Time
	// lastTrialRequest is when the store was last asked for a trial.
	lastTrialRequest time.Time
	// unsaved holds the suspects whose evidence differs from the record, saved those in the record that this box
	// wrote or read. saveAt is when to save, zero for not at all; savedAt is when that was last done.
	unsaved, saved  map[Fingerprint]bool
	saveAt, savedAt time.Time
}

// pendingWrite is a scheduled write of the state of a request. Unless it is local, it is skipped if another
// box has written the state.
type pendingWrite struct {
	at    time.Time
	local bool
}

// NewPersister returns a persister and registers it with the ledger.
func NewPersister(d PersisterDeps) *Persister {
	p := &Persister{
		PersisterDeps: d, wake: make(chan struct{}, 1), pendingWrites: make(map[Fingerprint]pendingWrite),
		unsaved: make(map[Fingerprint]bool), saved: make(map[Fingerprint]bool),
	}
	d.Ledger.onSuspect = p.observeSuspect
	d.Ledger.onHeld = func(f Fingerprint, local bool) {
		wait := localWriteDelay
		if !local {
			wait = remoteWriteDelay + rand.N(remoteWriteSpread)
		}
		p.scheduleWrite(f, pendingWrite{at: clock.Now().Add(wait), local: local})
		d.OnHeld(f)
	}
	d.Ledger.onReleased = func(f Fingerprint, local bool) {
		if local {
			p.scheduleWrite(f, pendingWrite{at: clock.Now().Add(localWriteDelay), local: true})
		}
	}
	return p
}

// scheduleWrite schedules a write of the state of a request.
func (p *Persister) scheduleWrite(f Fingerprint, w pendingWrite) {
	p.mu.Lock()
	p.pendingWrites[f] = w
	p.mu.Unlock()
	p.signal()
}

// signal wakes Run.
func (p *Persister) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run loads the record and then writes changes to held requests until ctx is done.
func (p *Persister) Run(ctx context.Context) {
	p.load(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		p.reconcileIfDue(ctx, clock.Now())
		p.writePending(ctx, clock.Now())
		p.saveIfDue(ctx, clock.Now())
		p.scheduleSave(clock.Now())
		if wait, more := p.untilNextWrite(clock.Now()); more {
			timer.Reset(wait)
		}
	}
}

// untilNextWrite returns the time until the next scheduled write or comparison; false if there is none.
func (p *Persister) untilNextWrite(now time.Time) (wait time.Duration, more bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reconcileAt.IsZero() {
		wait, more = max(0, p.reconcileAt.Sub(now)), true
	}
	if left, scheduled := p.untilNextSave(now); scheduled && (!more || left < wait) {
		wait, more = left, true
	}
	for _, w := range p.pendingWrites {
		if left := max(0, w.at.Sub(now)); !more || left < wait {
			wait, more = left, true
		}
	}
	return wait, more
}

// load gets the contents of the record from peers or from the store.
func (p *Persister) load(ctx context.Context) {
	p.waitFor(ctx, maxPeerWait, func() bool { return len(p.Gossiper.Peers()) > 0 })
	// With a uniform delay, most boxes of a large fleet would read the store.
	p.waitFor(ctx, minReadDelay+pause.SuppressionDelay(readDelaySpread, len(p.Gossiper.Peers())+1), p.Gossiper.Synced)
	for !p.Gossiper.Synced() && ctx.Err() == nil {
		s, err := p.read(ctx)
		if err != nil {
			_ = level.Info(p.Logger).Log("msg", "reading held requests failed", "err", err, "outcome", "retrying")
			pause.For(ctx, retryDelay+rand.N(retryDelay))
			continue
		}
		p.applyRecord(s.Record, clock.Now())
		p.Gossiper.MarkSynced()
		_ = level.Info(p.Logger).Log("msg", "loaded held requests", "held", len(s.Record.Held), "suspects", len(s.Record.Suspects), "revision", s.Revision)
	}
}

// waitFor polls a condition until it holds, the timeout has passed or ctx is done.
func (p *Persister) waitFor(ctx context.Context, timeout time.Duration, cond func() bool) {
	for end := clock.Now().Add(timeout); clock.Now().Before(end) && !cond() && ctx.Err() == nil; {
		pause.For(ctx, syncPollInterval)
	}
}

func (p *Persister) read(ctx context.Context) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	return p.Store.Read(ctx)
}

// applyRecord merges the record into the ledger. The record has no crash times, so the delays until the
// next trials start anew.
func (p *Persister) applyRecord(r Record, now time.Time) {
	malformed := r.malformed
	for n := range r.Held {
		h := &r.Held[n]
		f, ok := h.fingerprint()
		if !ok {
			malformed++
			continue
		}
		i := newItem(f)
		for n, incarnation := range h.Crashed[:min(len(h.Crashed), maxCrashes)] {
			i.Crashes[IncarnationHash(incarnation)] = now.Add(-time.Duration(n) * IncidentWindow)
		}
		i.Trials, i.Stored = h.Trials, true
		i.describe(h.Part, h.Depth)
		p.Ledger.Merge(i, now)
	}
	p.applySuspects(r, now)
	if malformed > 0 {
		_ = level.Warn(p.Logger).Log("msg", "ignored malformed held requests in the record", "malformed", malformed, "used", len(r.Held))
	}
}

// writePending writes the states that are due.
func (p *Persister) writePending(ctx context.Context, now time.Time) {
	for f, w := range p.takeDueWrites(now) {
		if i, ok := p.Ledger.Item(f); ok && i.Stored && !w.local {
			continue
		}
		if err := p.updateRecord(ctx, f, false); err != nil {
			_ = level.Info(p.Logger).Log("msg", "writing held request failed", "request", f, "err", err, "outcome", "retrying")
			w.at = clock.Now().Add(retryDelay + rand.N(retryDelay))
			p.scheduleWrite(f, w)
		}
	}
}

func (p *Persister) takeDueWrites(now time.Time) map[Fingerprint]pendingWrite {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := make(map[Fingerprint]pendingWrite)
	for f, w := range p.pendingWrites {
		if !now.Before(w.at) {
			due[f] = w
			delete(p.pendingWrites, f)
		}
	}
	return due
}

// errTrialStarted is returned if another box has begun the trial.
var errTrialStarted = errors.New("another box has begun the trial")

// updateRecord writes the state of a request in the ledger to the record. If trial is set, it also counts
// a new trial.
func (p *Persister) updateRecord(ctx context.Context, f Fingerprint, trial bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	var conflict *ConflictError
	for range maxConflicts {
		err := p.tryUpdateRecord(ctx, f, trial)
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return conflict
}

func (p *Persister) tryUpdateRecord(ctx context.Context, f Fingerprint, trial bool) error {
	s, err := p.Store.Read(ctx)
	if err != nil {
		return err
	}
	item, known := p.Ledger.Item(f)
	if !known {
		return nil
	}
	v := item.verdict()
	at := s.Record.index(f)
	if at >= 0 {
		if recorded := s.Record.Held[at].Trials; trial && recorded > v.Trials {
			p.Ledger.setStored(f, true, recorded)
			return errTrialStarted
		}
		s.Record.Held = slices.Delete(s.Record.Held, at, at+1)
	} else if !v.Held {
		p.Ledger.setStored(f, false, v.Trials)
		return nil
	}
	trials := v.Trials
	if trial {
		trials++
	}
	if v.Held {
		s.Record.Held = append(s.Record.Held, heldRequest(&item, trials))
	}
	s.Record.Held = s.Record.Held[max(0, len(s.Record.Held)-maxHeld):]
	s.Record.Suspects = withoutSuspect(s.Record.Suspects, f)
	if err := p.Store.Write(ctx, s.Record, s.Revision); err != nil {
		return err
	}
	p.Ledger.setStored(f, v.Held, trials)
	_ = level.Info(p.Logger).Log("msg", "updated record of held requests", "request", f, "held", v.Held, "ends", v.Crashes, "trials", trials, "of", len(s.Record.Held))
	return nil
}

func heldRequest(i *Item, trials int) HeldRequest {
	h := HeldRequest{Outline: uint64(i.Fingerprint.Outline), Digest: i.Fingerprint.Digest[:], Trials: trials, Part: i.Part, Depth: i.Depth}
	for incarnation := range i.unattributed() {
		h.Crashed = append(h.Crashed, uint64(incarnation))
	}
	return h
}

// BeginTrial reports whether this box may send a held request as a trial now. A conditional write to the
// store ensures that only one box of the fleet runs each trial.
func (p *Persister) BeginTrial(ctx context.Context, f Fingerprint, now time.Time) bool {
	v := p.Ledger.Verdict(f)
	if !v.Held || v.NextTrial.IsZero() || now.Before(v.NextTrial) || !p.allowTrialRequest(now) {
		return false
	}
	err := p.updateRecord(ctx, f, true)
	_ = level.Info(p.Logger).Log("msg", "requested trial of held request", "request", f, "ends", v.Crashes, "trials", v.Trials, "granted", err == nil, "err", err)
	return err == nil
}

// allowTrialRequest limits requests for trials to one per trialRequestInterval, so that retries by callers
// do not reach a store that is down.
func (p *Persister) allowTrialRequest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastTrialRequest) < trialRequestInterval {
		return false
	}
	p.lastTrialRequest = now
	return true
}

// RecordSuccess records that a request completed. If it was held, it is released on all boxes.
func (p *Persister) RecordSuccess(f Fingerprint) {
	held := p.Ledger.Verdict(f).Held
	p.Ledger.RecordSuccess(f)
	if !held {
		return
	}
	_ = level.Info(p.Logger).Log("msg", "held request released", "request", f)
	p.scheduleWrite(f, pendingWrite{local: true})
}

// RecordSoundPart records that a request with a part completed. If the part was held, it is released on all boxes.
func (p *Persister) RecordSoundPart(f Fingerprint, now time.Time) {
	held := p.Ledger.HasParts() && p.Ledger.Verdict(f).Held
	p.Ledger.RecordSoundPart(f, now)
	if held {
		_ = level.Info(p.Logger).Log("msg", "held part released", "part", f)
	}
}
