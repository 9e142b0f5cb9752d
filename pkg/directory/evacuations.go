package directory

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

// Evacuations are the halls whose servers are to get nothing, as the source had them at a revision.
type Evacuations struct {
	Halls []string `json:"halls"`
	// Revision is that of the source; zero if the halls were never read.
	Revision uint64 `json:"revision"`
}

// set is the halls for looking up.
func (e Evacuations) set() map[string]bool {
	halls := make(map[string]bool, len(e.Halls))
	for _, hall := range e.Halls {
		halls[hall] = true
	}
	return halls
}

// Evacuations are the halls that this box knows to be evacuated. Callers must not change the list.
func (d *Directory) Evacuations() Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}

// EvacuationsConfirmedAt is when the source last confirmed which halls are evacuated.
func (d *Directory) EvacuationsConfirmedAt() time.Time { return d.View().EvacuationsConfirmedAt }

// SetEvacuations takes in which halls are evacuated, as the source said when it was asked. All of
// them are told each time, so that what is lost or comes late does no harm: the highest revision
// holds. It returns whether that changes anything.
func (d *Directory) SetEvacuations(e Evacuations, asked time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Revision == 0 || e.Revision < d.evacuations.Revision {
		return false
	}
	before := d.evacuations
	d.evacuations = e
	v := *d.view.Load()
	v.EvacuationsConfirmedAt = latest(v.EvacuationsConfirmedAt, asked)
	changed := !maps.Equal(before.set(), e.set())
	if changed {
		v.takenBack = takenBack(v.takenBack, before, e, clock.Now())
		d.logEvacuations(before, e, asked)
	}
	d.view.Store(&v)
	if changed && !v.ServersConfirmedAt.IsZero() {
		d.publishServers(v.ServersConfirmedAt)
	}
	return changed
}

func (d *Directory) logEvacuations(before, now Evacuations, asked time.Time) {
	_ = level.Info(d.logger).Log("msg", "halls evacuated", "halls", strings.Join(now.Halls, ","), "before", strings.Join(before.Halls, ","),
		"revision", now.Revision, "age_ms", clock.Since(asked).Milliseconds(), "outcome", "their servers get nothing new")
}

// takenBackKept is how long a hall counts as one that was taken back: longer than any server of it
// warms up.
const takenBackKept = 5 * time.Minute

// takenBack adds to the halls that were taken back, with the times, those that are now.
func takenBack(earlier map[string]time.Time, before, now Evacuations, at time.Time) map[string]time.Time {
	halls := make(map[string]time.Time)
	for hall, since := range earlier {
		if at.Sub(since) < takenBackKept {
			halls[hall] = since
		}
	}
	for _, hall := range before.Halls {
		if !slices.Contains(now.Halls, hall) {
			halls[hall] = at
		}
	}
	return halls
}
