package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// IncarnationHash names one life of a backend server, in short.
type IncarnationHash uint64

const (
	// holdAfter is at how many moments servers end under a request before it is held. One end has a
	// handful of suspects, of which most are harmless; each further one without a sound run
	// in between leaves a harmless request behind with the part of the servers that ended.
	holdAfter = 3
	// IncidentWindow is how close ends count as one moment: servers that end together have a cause in
	// common, which is not one request. Boxes learn of the ends of one moment some tens of
	// milliseconds apart.
	IncidentWindow = 100 * time.Millisecond
	// trialFirst is how long after its last end a held request may be tried again;
	// each failed trial makes it trialFactor times as long. After trialsMost of them only an
	// operator releases it.
	trialFirst  = time.Minute
	trialFactor = 10
	trialsMost  = 3
	// suspectKept is how long an end without any after it is remembered. A request that comes
	// more rarely costs a server an hour at the most.
	suspectKept = time.Hour
	// suspectsMost and heldMost bound what is kept, so that an organisation that sends a new
	// body each time can't use up the memory: about 200 bytes a suspect.
	suspectsMost = 10_000
	heldMost     = 1000
	// endsMost bounds the ends that are kept of one request.
	endsMost = 16
)

// Item is what is known of one request. Ends and sound runs only ever add to it, so that two
// boxes that have heard the same, in any order and however often, know the same.
type Item struct {
	Fingerprint Fingerprint
	// Ends are the lives that ended under the request.
	Ends map[IncarnationHash]time.Time
	// Excused are the lives whose end another cause had, as the request ended soundly later.
	Excused map[IncarnationHash]bool
	// Trials is how many trials of the held request were begun.
	Trials int
	// Stored says that the store's record tells that the request is held.
	Stored bool
}

func newItem(f Fingerprint) *Item {
	return &Item{Fingerprint: f, Ends: make(map[IncarnationHash]time.Time), Excused: make(map[IncarnationHash]bool)}
}

// suspicious lists when servers ended for which the request may be the cause, in order.
func (i *Item) suspicious() []time.Time {
	var list []time.Time
	for life, at := range i.Ends {
		if !i.Excused[life] {
			list = append(list, at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// moments leaves of ends in order those out that came together with an earlier one.
func moments(ends []time.Time) []time.Time {
	var list []time.Time
	for _, at := range ends {
		if len(list) == 0 || at.Sub(list[len(list)-1]) >= IncidentWindow {
			list = append(list, at)
		}
	}
	return list
}

// merge takes in what another box knows. It returns whether that changes what is to be thought of
// the request, which is to be passed on; that more ends are excused is not.
func (i *Item) merge(other *Item) bool {
	changed := false
	for life := range other.Excused {
		changed = i.excuse(life) || changed
	}
	for life, at := range other.Ends {
		if !other.Excused[life] {
			changed = i.addEnd(life, at) && !i.Excused[life] || changed
		}
	}
	changed = changed || other.Trials > i.Trials || other.Stored && !i.Stored
	i.Trials = max(i.Trials, other.Trials)
	i.Stored = i.Stored || other.Stored
	return changed
}

// addEnd notes an end. It returns whether it was new.
func (i *Item) addEnd(life IncarnationHash, at time.Time) bool {
	if _, known := i.Ends[life]; known {
		return false
	}
	if len(i.Ends) >= endsMost && !i.dropExcused(life) {
		return false
	}
	i.Ends[life] = at
	return true
}

// excuse notes that a life ended for another cause, also where its end is not known yet. It
// returns whether that end was suspicious.
func (i *Item) excuse(life IncarnationHash) bool {
	if i.Excused[life] {
		return false
	}
	if len(i.Excused) >= endsMost {
		i.dropExcused(life)
	}
	i.Excused[life] = true
	_, known := i.Ends[life]
	return known
}

// dropExcused makes room by a life that is excused, with its end, but not this one. It returns
// whether that makes room for an end.
func (i *Item) dropExcused(keep IncarnationHash) bool {
	for life := range i.Excused {
		if life == keep {
			continue
		}
		_, known := i.Ends[life]
		delete(i.Ends, life)
		delete(i.Excused, life)
		if known {
			return true
		}
	}
	return false
}

// Verdict says what is to be done with a request.
type Verdict struct {
	// Held requests are not sent to any server.
	Held bool
	// Crashes is how many servers have ended under the request, Incidents at how many moments.
	Crashes   int
	Incidents int
	// Trials is how many trials it has had. Trial is when a held request may be tried again,
	// zero if only an operator releases it.
	Trials    int
	NextTrial time.Time
}

// verdict judges by what is known.
func (i *Item) verdict() Verdict {
	ends := i.suspicious()
	counted := moments(ends)
	v := Verdict{Held: len(counted) >= holdAfter, Crashes: len(ends), Incidents: len(counted)}
	if !v.Held {
		return v
	}
	v.Trials = max(i.Trials, len(counted)-holdAfter)
	if v.Trials >= trialsMost {
		return v
	}
	wait := trialFirst
	for range v.Trials {
		wait *= trialFactor
	}
	v.NextTrial = ends[len(ends)-1].Add(wait)
	return v
}

// entry is an item as a ledger keeps it.
type entry struct {
	*Item
	touched time.Time
	held    bool
}

// Ledger is what a box knows of requests under which servers ended. It decides which of them are
// held, and knows no network.
type Ledger struct {
	// onChange is told of each item that has changed, onHeld of each that is held from now on;
	// own says that this box has found it out. Neither may call the ledger.
	onChange func(f Fingerprint, own bool)
	onHeld   func(f Fingerprint, own bool)

	count atomic.Int64

	mu       sync.Mutex
	entries  map[Fingerprint]*entry
	outlines map[Outline]int
}

// NewLedger returns a ledger that knows of nothing.
func NewLedger() *Ledger {
	return &Ledger{
		entries: make(map[Fingerprint]*entry), outlines: make(map[Outline]int),
		onChange: func(Fingerprint, bool) {}, onHeld: func(Fingerprint, bool) {},
	}
}

// Empty tells whether nothing is suspected at all, in which case no request has to be named.
func (l *Ledger) Empty() bool { return l.count.Load() == 0 }

// MaySuspect tells whether a request with an outline may be known: only then its fingerprint is
// worth the hash of its body.
func (l *Ledger) MaySuspect(o Outline) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outlines[o] > 0
}

// Verdict says what is to be done with a request.
func (l *Ledger) Verdict(f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[f]
	if !ok {
		return Verdict{}
	}
	return e.verdict()
}

// RecordCrash notes that a life of a server ended under a request of this box.
func (l *Ledger) RecordCrash(f Fingerprint, life IncarnationHash, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(f, at)
	if e.addEnd(life, at) {
		l.changed(e, true)
	}
}

// RecordSuccess notes that a request was run to its end: whatever ended servers before was
// something else.
func (l *Ledger) RecordSuccess(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[f]
	if !ok {
		return
	}
	changed := false
	for life := range e.Ends {
		changed = e.excuse(life) || changed
	}
	if changed {
		l.changed(e, true)
	}
}

// Take takes in what another box knows of a request.
func (l *Ledger) Take(i *Item, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(i.Fingerprint, now)
	if e.merge(i) {
		l.changed(e, false)
	}
}

// Items lists what is known, the requests under which most servers ended first, most at the most.
// With atLeast, those with fewer ends are left out.
func (l *Ledger) Items(atLeast, most int) []Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	type counted struct {
		entry *entry
		ends  int
	}
	var list []counted
	for _, e := range l.entries {
		if ends := len(e.suspicious()); ends >= atLeast {
			list = append(list, counted{entry: e, ends: ends})
		}
	}
	slices.SortFunc(list, func(a, b counted) int {
		if a.ends != b.ends {
			return b.ends - a.ends
		}
		return b.entry.touched.Compare(a.entry.touched)
	})
	items := make([]Item, 0, min(most, len(list)))
	for _, c := range list[:min(most, len(list))] {
		items = append(items, c.entry.clone())
	}
	return items
}

// Item returns what is known of a request.
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
	return *i
}

// noteRecord notes what the store's record tells of a request from now on.
func (l *Ledger) noteRecord(f Fingerprint, stored bool, trials int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[f]
	if !ok {
		return
	}
	e.Stored, e.Trials = stored, max(e.Trials, trials)
	l.changed(e, true)
}

// Counts is how many requests are suspected and how many are held.
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

// Forget drops what has been of no use for long.
func (l *Ledger) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if !e.held && now.Sub(e.touched) > suspectKept {
			l.remove(e)
		}
	}
}

// entry returns the entry of a request, a new one if there is none.
func (l *Ledger) entry(f Fingerprint, now time.Time) *entry {
	e, ok := l.entries[f]
	if !ok {
		l.makeRoom(false, suspectsMost)
		e = &entry{Item: newItem(f)}
		l.entries[f] = e
		l.outlines[f.Outline]++
		l.count.Add(1)
	}
	e.touched = now
	return e
}

// changed judges an entry anew.
func (l *Ledger) changed(e *entry, own bool) {
	held := e.verdict().Held
	if held && !e.held {
		l.makeRoom(true, heldMost)
		l.onHeld(e.Fingerprint, own)
	}
	e.held = held
	l.onChange(e.Fingerprint, own)
}

// makeRoom drops the oldest of the suspects, or of the requests that are held, where there are as
// many as there may be.
func (l *Ledger) makeRoom(held bool, most int) {
	if len(l.entries) < most {
		return
	}
	var oldest *entry
	n := 0
	for _, e := range l.entries {
		if e.held != held {
			continue
		}
		n++
		if oldest == nil || e.touched.Before(oldest.touched) {
			oldest = e
		}
	}
	if n >= most {
		l.remove(oldest)
	}
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.Fingerprint)
	l.count.Add(-1)
	if l.outlines[e.Fingerprint.Outline]--; l.outlines[e.Fingerprint.Outline] == 0 {
		delete(l.outlines, e.Fingerprint.Outline)
	}
}
