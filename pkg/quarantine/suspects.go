package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// savedIncidents is the number of incidents from which on the evidence about a suspect is saved. A single
	// crash makes suspects of all requests on the server, which would cost calls for each crash.
	savedIncidents = 2
	// maxSavedSuspects bounds the suspects in the record.
	maxSavedSuspects = 100
	// maxRecordedCrashes is one less than the incidents that hold any request: a record alone holds none.
	maxRecordedCrashes = certainThreshold - 1
	// recordedAge is added to the age of crashes that were read from the record, whose times are not known, so that
	// other boxes, also of earlier builds, can tell them from crashes seen since.
	recordedAge = 30 * 24 * time.Hour
	// A box saves evidence saveDelay plus a random part of saveSpread, which grows by saveSpreadPerPeer up to
	// maxSaveSpread, after a crash: most requests that crash servers in quick succession are held by then. It
	// does so again after saveInterval, or saveIntervalPerPeer for each peer, at the earliest.
	saveDelay           = 300 * time.Millisecond
	saveSpread          = 200 * time.Millisecond
	saveSpreadPerPeer   = 5 * time.Millisecond
	maxSaveSpread       = 2 * time.Second
	saveInterval        = 2 * time.Second
	saveIntervalPerPeer = 50 * time.Millisecond
)

// SuspectRequest is the entry of a request in the stored record that is not held yet. Crashed lists one server of
// each incident, in order.
type SuspectRequest struct {
	HeldRequest
	// SavedAt is the time of day in seconds, so that evidence does not count for ever.
	SavedAt int64 `json:"saved_at"`
}

// expired reports whether the entry is too old to count. An entry from further ahead than that was written or is
// read by a box whose time of day is wrong.
func (s *SuspectRequest) expired(timeOfDay time.Time) bool {
	return timeOfDay.Sub(time.Unix(s.SavedAt, 0)).Abs() > suspectTTL
}

// decodeSuspects decodes the suspects of a record. Those that cannot be decoded are counted.
func decodeSuspects(data json.RawMessage) (list []SuspectRequest, malformed int) {
	if len(data) == 0 {
		return nil, 0
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, 1
	}
	for _, raw := range entries {
		var s SuspectRequest
		err := json.Unmarshal(raw, &s)
		if _, ok := s.fingerprint(); err != nil || !ok {
			malformed++
			continue
		}
		list = append(list, s)
	}
	return list[max(0, len(list)-maxSavedSuspects):], malformed
}

// worthSaving reports whether a restart of all boxes must not lose the evidence.
func (i *Item) worthSaving() bool {
	v := i.verdict()
	return !v.Held && v.Incidents >= savedIncidents
}

// replaces reports whether the entry of a suspect in the record has to be removed or written again. Boxes that know less
// than the one that wrote it leave it alone.
func (i *Item) replaces(s *SuspectRequest, changed bool) bool {
	cleared := i.knows(s) && (len(i.Excused) > 0 || !i.SoundAt.IsZero())
	if !i.worthSaving() {
		return changed || cleared || i.verdict().Held
	}
	crashed := suspectRequest(i, time.Time{}).Crashed
	return changed && !slices.Equal(crashed, s.Crashed) && (cleared || len(crashed) >= len(s.Crashed))
}

// knows reports whether all crashes of an entry in the record that count are known, if only as excused.
func (i *Item) knows(s *SuspectRequest) bool {
	for _, incarnation := range s.Crashed[max(0, len(s.Crashed)-maxRecordedCrashes):] {
		if _, known := i.Crashes[IncarnationHash(incarnation)]; !known && !i.Excused[IncarnationHash(incarnation)] {
			return false
		}
	}
	return true
}

// suspectsWorthSaving returns the suspects whose evidence a restart of all boxes must not lose.
func (l *Ledger) suspectsWorthSaving() map[Fingerprint]bool {
	m := make(map[Fingerprint]bool)
	for _, i := range l.Items(savedIncidents, maxSavedSuspects) {
		if i.worthSaving() {
			m[i.Fingerprint] = true
		}
	}
	return m
}

// suspectRequest returns the entry of a suspect.
func suspectRequest(i *Item, timeOfDay time.Time) SuspectRequest {
	crashes := i.unattributed()
	order := slices.SortedFunc(maps.Keys(crashes), func(a, b IncarnationHash) int { return crashes[a].Compare(crashes[b]) })
	s := SuspectRequest{HeldRequest: heldRequest(i, 0), SavedAt: timeOfDay.Unix()}
	s.Crashed = nil
	starts := incidents(i.crashTimes(crashes))
	for _, incarnation := range order {
		if len(starts) > 0 && crashes[incarnation].Equal(starts[0]) {
			s.Crashed, starts = append(s.Crashed, uint64(incarnation)), starts[1:]
		}
	}
	return s
}

// applySuspects merges the suspects of the record into the ledger.
func (p *Persister) applySuspects(r Record, now time.Time) {
	for n := range r.Suspects {
		s := &r.Suspects[n]
		f, ok := s.fingerprint()
		if !ok || s.expired(time.Now()) {
			continue
		}
		i := newItem(f)
		crashed := s.Crashed[max(0, len(s.Crashed)-maxRecordedCrashes):]
		for n, incarnation := range crashed {
			i.Crashes[IncarnationHash(incarnation)] = now.Add(-recordedAge - time.Duration(len(crashed)-n)*2*IncidentWindow)
			i.Recorded[IncarnationHash(incarnation)] = true
		}
		i.describe(s.Part, s.Depth)
		p.mu.Lock()
		p.saved[f] = true
		p.mu.Unlock()
		p.Ledger.Merge(i, now)
	}
}

// forgetRecorded drops the crashes of an entry that were read from the record more than suspectTTL ago. The caller
// holds mu.
func (l *Ledger) forgetRecorded(e *entry, now time.Time) {
	if len(e.Recorded) == 0 {
		return
	}
	before := e.unattributed()
	for incarnation := range e.Recorded {
		if now.Sub(e.Crashes[incarnation]) >= recordedAge+suspectTTL {
			delete(e.Crashes, incarnation)
			delete(e.Recorded, incarnation)
		}
	}
	l.crashes.update(before, e.unattributed())
}

// observeSuspect is called for each suspect whose evidence has changed. The box that saw the crash saves it. The box
// that has saved it removes it, and the box at which it had a sound run, as the former may have ended.
func (p *Persister) observeSuspect(f Fingerprint, worthSaving, clears, local bool) {
	p.mu.Lock()
	relevant := p.saved[f]
	if worthSaving || clears && !relevant {
		relevant = local && len(p.unsaved) < maxSavedSuspects
	}
	if relevant {
		p.unsaved[f] = true
	}
	p.mu.Unlock()
	if relevant {
		p.signal()
	}
}

// scheduleSave sets the time of the next save if evidence has changed.
func (p *Persister) scheduleSave(now time.Time) {
	peers := time.Duration(len(p.Gossiper.Peers()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsaved) == 0 || !p.saveAt.IsZero() {
		return
	}
	p.saveAt = now.Add(saveDelay + rand.N(min(maxSaveSpread, saveSpread+peers*saveSpreadPerPeer)))
	if earliest := p.savedAt.Add(max(saveInterval, peers*saveIntervalPerPeer)); p.saveAt.Before(earliest) {
		p.saveAt = earliest
	}
}

// saveIfDue saves the evidence that has changed if that is due.
func (p *Persister) saveIfDue(ctx context.Context, now time.Time) {
	p.mu.Lock()
	if p.saveAt.IsZero() || now.Before(p.saveAt) {
		p.mu.Unlock()
		return
	}
	changed := p.unsaved
	p.unsaved, p.saveAt = make(map[Fingerprint]bool), time.Time{}
	p.mu.Unlock()
	// The write of a held request removes its entry as a suspect.
	maps.DeleteFunc(changed, func(f Fingerprint, _ bool) bool { return p.Ledger.Verdict(f).Held })
	if len(changed) == 0 {
		return
	}
	err := p.saveSuspects(ctx, changed)
	p.mu.Lock()
	p.savedAt = now
	if err != nil {
		maps.Copy(p.unsaved, changed)
	}
	p.mu.Unlock()
	if err != nil {
		_ = level.Info(p.Logger).Log("msg", "saving suspects failed", "suspects", len(changed), "err", err, "outcome", "retrying")
	}
}

func (p *Persister) saveSuspects(ctx context.Context, changed map[Fingerprint]bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	var conflict *ConflictError
	for range maxConflicts {
		err := p.trySaveSuspects(ctx, changed)
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return conflict
}

func (p *Persister) trySaveSuspects(ctx context.Context, changed map[Fingerprint]bool) error {
	s, err := p.Store.Read(ctx)
	if err != nil {
		return err
	}
	suspects, differs := p.updateSuspects(s.Record.Suspects, changed, time.Now())
	if differs {
		s.Record.Suspects = suspects
		if err := p.Store.Write(ctx, s.Record, s.Revision); err != nil {
			return err
		}
		_ = level.Info(p.Logger).Log("msg", "saved suspects", "changed", len(changed), "of", len(suspects))
	}
	p.markSaved(suspects, changed)
	return nil
}

// markSaved records that this box has written those of the listed suspects that have changed.
func (p *Persister) markSaved(list []SuspectRequest, changed map[Fingerprint]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.saved
	p.saved = make(map[Fingerprint]bool)
	for n := range list {
		if f, _ := list[n].fingerprint(); changed[f] || before[f] {
			p.saved[f] = true
		}
	}
}

// updateSuspects returns the suspects of the record with the evidence of the ledger about those that have changed,
// without those that have expired or that the ledger no longer suspects. It reports whether they differ.
func (p *Persister) updateSuspects(recorded []SuspectRequest, changed map[Fingerprint]bool, timeOfDay time.Time) (list []SuspectRequest, differs bool) {
	upToDate := make(map[Fingerprint]bool)
	for _, s := range recorded {
		f, _ := s.fingerprint()
		item, known := p.Ledger.Item(f)
		switch {
		case s.expired(timeOfDay), known && item.replaces(&s, changed[f]):
			differs = true
			continue
		}
		upToDate[f] = true
		list = append(list, s)
	}
	for f := range changed {
		item, known := p.Ledger.Item(f)
		if !known || upToDate[f] || !item.worthSaving() {
			continue
		}
		differs = true
		list = append(list, suspectRequest(&item, timeOfDay))
	}
	return list[max(0, len(list)-maxSavedSuspects):], differs
}

// untilNextSave returns the time until the next save; false if none is scheduled. The caller holds mu.
func (p *Persister) untilNextSave(now time.Time) (time.Duration, bool) {
	return max(0, p.saveAt.Sub(now)), !p.saveAt.IsZero()
}

// withoutSuspect returns the suspects of the record without one.
func withoutSuspect(list []SuspectRequest, f Fingerprint) []SuspectRequest {
	var others []SuspectRequest
	for _, s := range list {
		if known, _ := s.fingerprint(); known != f {
			others = append(others, s)
		}
	}
	return others
}
