package directory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/storerev"
)

// Evacuations is the set of halls whose servers must not get work, at a revision of the source.
type Evacuations struct {
	Halls []string
	// Revision is the revision of the source; zero if the halls were never read.
	Revision storerev.Revision
}

// EvacuationsMessage is the form in which boxes exchange evacuated halls.
type EvacuationsMessage struct {
	Halls    []string `json:"halls"`
	Revision uint64   `json:"revision"`
	Era      uint64   `json:"era,omitempty"`
}

// Message returns the evacuations in the form for other boxes.
func (e Evacuations) Message() EvacuationsMessage {
	return EvacuationsMessage{Halls: e.Halls, Revision: e.Revision.Number(), Era: e.Revision.Era()}
}

// Evacuations returns the evacuations in a message. The error is a *storerev.RangeError.
func (m EvacuationsMessage) Evacuations() (Evacuations, error) {
	revision, err := storerev.New(m.Era, m.Revision)
	return Evacuations{Halls: m.Halls, Revision: revision}, err
}

func (e Evacuations) hallSet() map[string]bool {
	halls := make(map[string]bool, len(e.Halls))
	for _, hall := range e.Halls {
		halls[hall] = true
	}
	return halls
}

// Evacuations returns the evacuated halls. The caller must not modify them.
func (d *Directory) Evacuations() Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}

// EvacuatedHalls returns the names of the halls whose servers get no work, which includes those that
// were evacuated before a restore of the source and may still be.
func (d *Directory) EvacuatedHalls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.effectiveHalls))
}

// EvacuationsConfirmedAt returns when the source last confirmed the evacuated halls.
func (d *Directory) EvacuationsConfirmedAt() time.Time { return d.View().EvacuationsConfirmedAt }

// SetEvacuations replaces the set of evacuated halls, which the source returned at askedAt, and
// reports whether it changed. Sets of an older revision are ignored, so loss and reordering are
// harmless.
func (d *Directory) SetEvacuations(e Evacuations, askedAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Revision == 0 || e.Revision < d.evacuations.Revision {
		return false
	}
	now := clock.Now()
	if !e.Revision.SameEra(d.evacuations.Revision) {
		d.retainEvacuations(now)
	}
	before, after := d.effectiveHalls, d.hallsInEffect(e, now)
	d.evacuations, d.effectiveHalls = e, after
	v := *d.view.Load()
	v.EvacuationsConfirmedAt = laterOf(v.EvacuationsConfirmedAt, askedAt)
	changed := !maps.Equal(before, after)
	if changed {
		v.restored = updateRestored(v.restored, before, after, now)
		d.logEvacuations(before, after, e.Revision, askedAt)
	}
	d.view.Store(&v)
	if changed && !v.ServersConfirmedAt.IsZero() {
		d.rebuildPools(v.ServersConfirmedAt)
	}
	d.flushChanges()
	return changed
}

// evacuationRetention is how long a hall that was evacuated before a restore counts as evacuated, so
// that the evacuation can be written again.
const evacuationRetention = 15 * time.Second

// retainEvacuations keeps the halls that are evacuated in effect when the source is restored. The
// caller holds mu.
func (d *Directory) retainEvacuations(now time.Time) {
	d.retainedHalls = make(map[string]time.Time)
	for hall := range d.effectiveHalls {
		d.retainedHalls[hall] = now.Add(evacuationRetention)
	}
}

// hallsInEffect returns the evacuated halls, with those retained after a restore. The caller holds mu.
func (d *Directory) hallsInEffect(e Evacuations, now time.Time) map[string]bool {
	halls := e.hallSet()
	for hall, until := range d.retainedHalls {
		if now.Before(until) {
			halls[hall] = true
		}
	}
	return halls
}

func (d *Directory) logEvacuations(before, after map[string]bool, revision storerev.Revision, askedAt time.Time) {
	names := func(halls map[string]bool) string { return strings.Join(slices.Sorted(maps.Keys(halls)), ",") }
	d.logChange(level.Info(d.logger), "msg", "evacuated halls changed", "halls", names(after), "before", names(before),
		"revision", revision, "age_ms", clock.Since(askedAt).Milliseconds(), "outcome", "servers in these halls get no new requests")
}

// restoredRetention is how long after the end of its evacuation a hall counts as restored. It
// exceeds the warm-up of any server.
const restoredRetention = 5 * time.Minute

// updateRestored returns the restored halls with the time of their restoration, after a change of
// the evacuated halls.
func updateRestored(earlier map[string]time.Time, before, after map[string]bool, at time.Time) map[string]time.Time {
	halls := make(map[string]time.Time)
	for hall, since := range earlier {
		if at.Sub(since) < restoredRetention {
			halls[hall] = since
		}
	}
	for hall := range before {
		if !after[hall] {
			halls[hall] = at
		}
	}
	return halls
}
