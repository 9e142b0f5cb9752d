package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// IncarnationHash is the hash of a server incarnation.
type IncarnationHash uint64

const (
	// suspectTTL is how long a suspect is kept after its last update.
	suspectTTL = time.Hour
	// maxSuspects and maxHeld bound the memory used, as a caller may send a new body each time. A suspect
	// takes about 200 bytes.
	maxSuspects = 10_000
	maxHeld     = 1000
	// maxCrashes bounds the crashes, and the excused incarnations, kept for one request. maxPartCrashes is for parts,
	// under which many servers may crash before they are held. From maxCrashes on, only crashes that may begin an
	// incident are added.
	maxCrashes     = 16
	maxPartCrashes = 64
)

// Item is the evidence about one suspect. Crashes and excuses are only added and merging items is
// commutative and idempotent, so that boxes which received the same evidence agree.
type Item struct {
	Fingerprint Fingerprint
	// Crashes maps the incarnations that crashed while they had the request to the time of the crash.
	Crashes map[IncarnationHash]time.Time
	// Excused holds the incarnations whose crash had another cause, as the request completed later.
	Excused map[IncarnationHash]bool
	// Trials is the number of trials that were begun.
	Trials int
	// Stored is set if the record in the store lists the request as held.
	Stored bool
	// Unrelated is the number of incidents without the request that raise its threshold. Each box counts
	// them itself, when the evidence about the request changes and it is not held.
	Unrelated int
	// Part and Depth describe a part of prompts: its ID, and its largest position in a prompt that was seen. They
	// are not evidence.
	Part  string
	Depth int
	// SoundAt is when a request with the part last completed, zero if that is not known.
	SoundAt time.Time
	// Recorded holds the crashes that boxes which have ended saved in the store, see certainThreshold.
	Recorded map[IncarnationHash]bool
	// Attributed holds the crashes that a held part explains. Each box determines them itself.
	Attributed map[IncarnationHash]bool
}

func newItem(f Fingerprint) *Item {
	return &Item{
		Fingerprint: f, Crashes: make(map[IncarnationHash]time.Time), Excused: make(map[IncarnationHash]bool), Attributed: make(map[IncarnationHash]bool),
		Recorded: make(map[IncarnationHash]bool),
	}
}

// merge adds the evidence of another box. It reports whether the verdict may change, so that the item has
// to be relayed; excuses for unknown crashes do not count.
func (i *Item) merge(other *Item) bool {
	changed := false
	for incarnation := range other.Excused {
		changed = i.excuse(incarnation) || changed
	}
	for incarnation, at := range other.Crashes {
		if !other.Excused[incarnation] {
			changed = i.mergeCrash(incarnation, at, other.Recorded[incarnation]) && !i.Excused[incarnation] || changed
		}
	}
	changed = i.addSound(other.SoundAt) || changed
	i.describe(other.Part, other.Depth)
	changed = changed || other.Trials > i.Trials || other.Stored && !i.Stored
	i.Trials = max(i.Trials, other.Trials)
	i.Stored = i.Stored || other.Stored
	return changed
}

// mergeCrash adds a crash that another box knows and reports whether it was new or seen rather than read from the record.
func (i *Item) mergeCrash(incarnation IncarnationHash, at time.Time, recorded bool) bool {
	if i.Recorded[incarnation] && !recorded {
		delete(i.Crashes, incarnation)
		delete(i.Recorded, incarnation)
	}
	if !i.addCrash(incarnation, at) {
		return false
	}
	if recorded {
		i.Recorded[incarnation] = true
	}
	return true
}

// addCrash adds a crash and reports whether it was new.
func (i *Item) addCrash(incarnation IncarnationHash, at time.Time) bool {
	if _, known := i.Crashes[incarnation]; known {
		return false
	}
	if !i.hasRoom(at) && !i.evictExcused(incarnation) && !i.evictAcquitted() {
		return false
	}
	i.Crashes[incarnation] = at
	delete(i.Recorded, incarnation)
	return true
}

// excuse marks an incarnation as excused, even if its crash is not known yet. It reports whether the
// crash was known.
func (i *Item) excuse(incarnation IncarnationHash) bool {
	if i.Excused[incarnation] {
		return false
	}
	if len(i.Excused) >= maxCrashes {
		i.evictExcused(incarnation)
	}
	i.Excused[incarnation] = true
	_, known := i.Crashes[incarnation]
	return known
}

// excuseAll marks all incarnations that crashed as excused. It reports whether any was not.
func (i *Item) excuseAll() bool {
	changed := false
	for incarnation := range i.Crashes {
		changed = i.excuse(incarnation) || changed
	}
	return changed
}

// evictExcused removes excused incarnations other than keep until a crash was removed with one. It reports
// whether that made room for a crash.
func (i *Item) evictExcused(keep IncarnationHash) bool {
	for incarnation := range i.Excused {
		if incarnation == keep {
			continue
		}
		_, known := i.Crashes[incarnation]
		delete(i.Crashes, incarnation)
		delete(i.Excused, incarnation)
		if known {
			return true
		}
	}
	return false
}

// hasRoom reports whether a crash at a time may be added.
func (i *Item) hasRoom(at time.Time) bool {
	switch {
	case len(i.Crashes) < maxCrashes:
		return true
	case !i.Fingerprint.IsPart() || len(i.Crashes) >= maxPartCrashes:
		return false
	}
	for _, known := range i.Crashes {
		if at.Sub(known).Abs() < IncidentWindow {
			return false
		}
	}
	return true
}

// evictAcquitted removes the crashes of a part that a completed request acquits it of. It reports whether there
// were any.
func (i *Item) evictAcquitted() bool {
	before := len(i.Crashes)
	maps.DeleteFunc(i.Crashes, func(_ IncarnationHash, at time.Time) bool { return acquits(i.SoundAt, at) })
	return len(i.Crashes) < before
}

// entry is an item with its bookkeeping in a ledger.
type entry struct {
	*Item
	updatedAt time.Time
	held      bool
	// worthSaved is set if the evidence was worth saving when it last changed.
	worthSaved bool
}

// Ledger stores the evidence of a box about requests and parts of prompts, and decides which of them are held.
// It does no I/O.
type Ledger struct {
	// onChange is called for each item that changed, onHeld for each suspect that becomes held, and onReleased
	// for each that no longer is; local is set if the change originates from this box. They must not call
	// the ledger. onSuspect is called for each item that changed and is not held.
	onChange   func(f Fingerprint, local bool)
	onSuspect  func(f Fingerprint, worthSaving, clears, local bool)
	onHeld     func(f Fingerprint, local bool)
	onReleased func(f Fingerprint, local bool)

	count, partCount atomic.Int64
	sound            soundParts

	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	outlines map[Outline]int
	crashes  crashLog
	// causes maps crashes to the held parts that explain them.
	causes map[IncarnationHash]Fingerprint
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		entries: make(map[Fingerprint]*entry), outlines: make(map[Outline]int), crashes: make(crashLog),
		onChange: func(Fingerprint, bool) {}, onSuspect: func(Fingerprint, bool, bool, bool) {}, onHeld: func(Fingerprint, bool) {}, onReleased: func(Fingerprint, bool) {},
	}
}

// Empty reports whether there are no suspects.
func (l *Ledger) Empty() bool { return l.count.Load() == 0 }

// MaySuspect reports whether a request with the outline may be a suspect. If not, its fingerprint is not
// needed.
func (l *Ledger) MaySuspect(o Outline) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outlines[o] > 0
}

// Verdict returns the verdict on a request.
func (l *Ledger) Verdict(f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[f]
	if !ok {
		return Verdict{}
	}
	return e.verdict()
}

// RecordCrash records that a server crashed while it had a request of this box.
func (l *Ledger) RecordCrash(f Fingerprint, incarnation IncarnationHash, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(l.getOrCreate(f, at), true, func(i *Item) bool { return i.addCrash(incarnation, at) })
}

// RecordSuccess records that a request completed, which excuses it from all earlier crashes.
func (l *Ledger) RecordSuccess(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[f]; ok {
		l.change(e, true, (*Item).excuseAll)
	}
}

// Merge merges the evidence of another box about a request.
func (l *Ledger) Merge(i *Item, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.getOrCreate(i.Fingerprint, now)
	l.change(e, false, func(known *Item) bool { return known.merge(i) })
	if i.Fingerprint.IsPart() {
		// A box that has seen the part complete tells those that suspect it.
		l.change(e, true, func(known *Item) bool { return known.addSound(l.sound.last(i.Fingerprint)) })
	}
}

// change changes the evidence about a suspect and updates the verdict if the change reports that it may
// differ. The caller holds mu.
func (l *Ledger) change(e *entry, local bool, change func(*Item) bool) {
	before := e.unattributed()
	changed := change(e.Item)
	l.crashes.update(before, e.unattributed())
	if !changed {
		return
	}
	if e.Fingerprint.IsPart() && (e.held || len(incidents(e.crashTimes(e.unexcused()))) >= holdThreshold) {
		e.Unrelated = l.crashes.unrelatedIncidents(e.Item)
		if l.attributeCrashes() {
			l.updateAllHeld(local)
		}
	}
	l.setAttributed(e, l.causes)
	l.reevaluate(e, local)
}

// Items returns at most limit items with at least minCrashes unexcused crashes, most crashes first.
func (l *Ledger) Items(minCrashes, limit int) []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	type counted struct {
		entry   *entry
		crashes int
	}
	var list []counted
	for _, e := range l.entries {
		if crashes := len(e.unexcusedCrashes()); crashes >= minCrashes {
			list = append(list, counted{entry: e, crashes: crashes})
		}
	}
	slices.SortFunc(list, func(a, b counted) int {
		if a.crashes != b.crashes {
			return b.crashes - a.crashes
		}
		return b.entry.updatedAt.Compare(a.entry.updatedAt)
	})
	items := make([]Item, 0, min(limit, len(list)))
	for _, c := range list[:min(limit, len(list))] {
		items = append(items, c.entry.clone())
	}
	return items
}

// Item returns the evidence about a request.
func (l *Ledger) Item(f Fingerprint) (Item, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[f]
	if !ok {
		return Item{}, false
	}
	return e.clone(), true
}

func (e *entry) clone() Item {
	i := newItem(e.Fingerprint)
	i.merge(e.Item)
	i.Unrelated = e.Unrelated
	maps.Copy(i.Attributed, e.Attributed)
	return *i
}

// setStored records the state of a request in the store.
func (l *Ledger) setStored(f Fingerprint, stored bool, trials int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[f]
	if !ok {
		return
	}
	e.Stored, e.Trials = stored, max(e.Trials, trials)
	l.reevaluate(e, true)
}

// Counts returns the number of suspected and of held requests.
func (l *Ledger) Counts() (suspects, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.held {
			held++
		}
	}
	return len(l.entries) - held, held
}

// Expire drops suspects that have not been updated for suspectTTL, and crashes that were read from the record earlier than that.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.held {
			continue
		}
		if now.Sub(e.updatedAt) > suspectTTL {
			l.remove(e)
		}
		l.forgetRecorded(e, now)
	}
}

// getOrCreate returns the entry of a request. The caller holds mu.
func (l *Ledger) getOrCreate(f Fingerprint, now time.Time) *entry {
	e, ok := l.entries[f]
	if !ok {
		l.evictOldest(false, maxSuspects)
		e = &entry{Item: newItem(f)}
		l.entries[f] = e
		l.outlines[f.Outline]++
		l.count.Add(1)
		if f.IsPart() {
			l.partCount.Add(1)
		}
	}
	e.updatedAt = now
	return e
}

// reevaluate updates the verdict on an entry after a change of its evidence and notifies the listeners. The caller
// holds mu.
func (l *Ledger) reevaluate(e *entry, local bool) {
	l.updateHeld(e, local)
	l.onChange(e.Fingerprint, local)
	before := e.worthSaved
	e.worthSaved = !e.held && e.worthSaving()
	if !e.held {
		// Many boxes see a part complete: those that saved it suffice.
		l.onSuspect(e.Fingerprint, e.worthSaved, before && !e.worthSaved && !e.Fingerprint.IsPart(), local)
	}
}

// updateHeld updates the held state of an entry. The caller holds mu.
func (l *Ledger) updateHeld(e *entry, local bool) {
	if !e.held {
		e.Unrelated = l.crashes.unrelatedIncidents(e.Item)
	}
	held := e.verdict().Held
	switch {
	case held && !e.held:
		l.evictOldest(true, maxHeld)
		l.onHeld(e.Fingerprint, local)
	case e.held && !held:
		l.onReleased(e.Fingerprint, local)
	}
	e.held = held
}

// evictOldest drops the oldest suspect, or the oldest held request, if there are limit of them. The
// caller holds mu.
func (l *Ledger) evictOldest(held bool, limit int) {
	if len(l.entries) < limit {
		return
	}
	var oldest *entry
	n := 0
	for _, e := range l.entries {
		if e.held != held {
			continue
		}
		n++
		if oldest == nil || e.updatedAt.Before(oldest.updatedAt) {
			oldest = e
		}
	}
	if n >= limit {
		l.remove(oldest)
	}
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.Fingerprint)
	l.count.Add(-1)
	if e.Fingerprint.IsPart() {
		l.partCount.Add(-1)
	}
	if l.outlines[e.Fingerprint.Outline]--; l.outlines[e.Fingerprint.Outline] == 0 {
		delete(l.outlines, e.Fingerprint.Outline)
	}
}
