package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// soundTTL is how long a completed request acquits the parts of its prompt of later crashes: whoever begins
	// to respond to a part that crashes servers falls, so that no request with it completes. While servers
	// crash, few requests complete, so those before count too.
	soundTTL = time.Minute
	// maxSoundParts bounds the parts that are remembered as sound in each half of soundTTL.
	maxSoundParts = 10_000
	// maxPartBytes bounds the ID of a part in messages and logs.
	maxPartBytes = 64
)

// soundParts remembers when requests with a part last completed.
type soundParts struct {
	mu                sync.Mutex
	current, previous map[Fingerprint]time.Time
	rotatedAt         time.Time
}

func (s *soundParts) record(f Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || now.Sub(s.rotatedAt) >= soundTTL/2 || len(s.current) >= maxSoundParts {
		s.current, s.previous, s.rotatedAt = make(map[Fingerprint]time.Time), s.current, now
	}
	s.current[f] = now
}

// last returns when a request with a part last completed, or the zero time if that is not known.
func (s *soundParts) last(f Fingerprint) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.current[f]; ok {
		return at
	}
	return s.previous[f]
}

// acquits reports whether a run that completed at a time acquits a part of a crash.
func acquits(sound, crash time.Time) bool {
	return !sound.IsZero() && crash.Before(sound.Add(soundTTL))
}

// RecordPartCrash records that a server crashed while it had a request of this box with a part, which stands
// at a depth of its prompt.
func (l *Ledger) RecordPartCrash(f Fingerprint, part string, depth int, incarnation IncarnationHash, at time.Time) {
	if acquits(l.sound.last(f), at) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.getOrCreate(f, at)
	e.describe(part, depth)
	l.change(e, true, func(i *Item) bool { return i.addCrash(incarnation, at) })
}

// RecordSoundPart records that a request with a part completed.
func (l *Ledger) RecordSoundPart(f Fingerprint, now time.Time) {
	l.sound.record(f, now)
	if l.partCount.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[f]; ok {
		l.change(e, true, func(i *Item) bool { return i.addSound(now) })
	}
}

// HasParts reports whether any part is a suspect.
func (l *Ledger) HasParts() bool { return l.partCount.Load() > 0 }

// describe sets what is known of a part apart from the evidence.
func (i *Item) describe(part string, depth int) {
	if i.Part == "" {
		// Messages can't hold text that is not valid UTF-8.
		i.Part = strings.ToValidUTF8(part[:min(len(part), maxPartBytes)], "?")
	}
	i.Depth = max(i.Depth, depth)
}

// addSound records that a request with the part completed. It reports whether that acquits it of a crash.
func (i *Item) addSound(at time.Time) bool {
	if !at.After(i.SoundAt) {
		return false
	}
	before := len(i.unexcused())
	i.SoundAt = at
	return len(i.unexcused()) != before
}

// comparePartCauses orders parts by how probably they cause the crashes that they have in common: the part that
// was at more crashes first, then the one that stands deeper in the prompts, as it is shared by fewer requests.
func comparePartCauses(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(len(b.unexcused()), len(a.unexcused())), cmp.Compare(b.Depth, a.Depth),
		bytes.Compare(a.Fingerprint.Digest[:], b.Fingerprint.Digest[:]),
	)
}

// attributeCrashes determines which parts are the causes of which crashes. A crash that is explained by one part
// is not counted against other suspects, most of which were there by chance. The result follows from the
// evidence alone, so that boxes agree whichever order they received it in. It reports whether it has changed. The
// caller holds mu.
func (l *Ledger) attributeCrashes() bool {
	var suspects []*entry
	for _, e := range l.entries {
		if e.Fingerprint.IsPart() && len(incidents(e.crashTimes(e.unexcused()))) >= holdThreshold {
			suspects = append(suspects, e)
		}
	}
	slices.SortFunc(suspects, comparePartCauses)
	causes := make(map[IncarnationHash]Fingerprint)
	for _, e := range suspects {
		l.setAttributed(e, causes)
		if !e.verdict().Held {
			continue
		}
		for incarnation := range e.unattributed() {
			causes[incarnation] = e.Fingerprint
		}
	}
	changed := !maps.Equal(causes, l.causes)
	l.causes = causes
	return changed
}

// setAttributed updates the crashes of an entry that other suspects explain. The caller holds mu.
func (l *Ledger) setAttributed(e *entry, causes map[IncarnationHash]Fingerprint) {
	before := e.unattributed()
	clear(e.Attributed)
	for incarnation := range e.Crashes {
		if cause, ok := causes[incarnation]; ok && cause != e.Fingerprint {
			e.Attributed[incarnation] = true
		}
	}
	l.crashes.update(before, e.unattributed())
}

// updateAllHeld updates all entries after the causes of crashes have changed. The caller holds mu.
func (l *Ledger) updateAllHeld(local bool) {
	for _, e := range l.entries {
		l.setAttributed(e, l.causes)
		l.updateHeld(e, local)
	}
}
