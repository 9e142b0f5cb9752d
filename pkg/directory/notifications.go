package directory

import (
	"context"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// Check is the result of a verification: the source's revision, and the revision at which each part
// had last changed.
type Check struct {
	// AskedAt is when the source was queried, so its answer is at least as recent.
	AskedAt        time.Time
	Revision       storerev.Revision
	TableChanged   storerev.Revision
	ServersChanged storerev.Revision
}

// Delta holds the changes of the list of servers between two revisions.
type Delta struct {
	From, To storerev.Revision
	Events   []ServerEvent
}

// Verify brings both parts up to a revision that the source had at askedAt, and notifies the other
// boxes of changes. It returns the check to broadcast, or false if the parts did not get there
// within MaxLag.
func (d *Directory) Verify(ctx context.Context, revision storerev.Revision, askedAt time.Time, t Timing) (Check, bool) {
	d.verifications.Add(1)
	defer d.verifications.Add(-1)
	for _, f := range []*follower{d.table, d.list} {
		f.requireRevision(revision)
	}
	end := clock.Now().Add(t.MaxLag)
	for d.table.position().revision < revision || d.list.position().revision < revision {
		if ctx.Err() != nil || clock.Now().After(end) {
			return Check{}, false
		}
		pause.For(ctx, verifyPollInterval)
	}
	d.confirm(revision, askedAt)
	return Check{
		AskedAt: askedAt, Revision: revision,
		TableChanged: d.table.position().changed, ServersChanged: d.list.position().changed,
	}, true
}

// verifyPollInterval is how often Verify checks the positions.
const verifyPollInterval = 5 * time.Millisecond

// ApplyCheck applies the check of another box: it confirms a part that has not changed and queries
// one that has.
func (d *Directory) ApplyCheck(c Check) {
	d.outdated.check(d.table, c.Revision)
	d.outdated.check(d.list, c.Revision)
	d.table.observe(c.Revision, c.TableChanged)
	d.list.observe(c.Revision, c.ServersChanged)
	d.confirm(c.Revision, c.AskedAt)
}

// ApplyDelta applies a delta if it continues the current position. Deltas come from this box's
// watch and from other boxes, in any order, so older ones are ignored.
func (d *Directory) ApplyDelta(delta Delta) { d.apply(delta, d.history.add) }

// applyCopiedDelta applies a delta copied from another box, which may span a full read.
func (d *Directory) applyCopiedDelta(delta Delta) { d.apply(delta, d.history.addFullRead) }

// apply applies a delta and records it in the history.
func (d *Directory) apply(delta Delta, record func(Delta)) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if !d.list.extendedBy(delta) {
		return
	}
	d.changeServers(delta.Events, clock.Now())
	record(delta)
	pos := position{revision: delta.To}
	if len(delta.Events) > 0 {
		pos.changed = delta.To
	}
	d.list.advance(pos)
}

// Notification announces a change of the table or of the list to the other boxes.
type Notification struct {
	// TableChanged is the revision of the new table, zero for none.
	TableChanged storerev.Revision
	// TableDelta leads from the previous table to the new one; nil if there was none.
	TableDelta *routing.Delta
	// ServersDelta holds the changes of the list. If it is nil, ServersChanged may still name the
	// revision at which the list changed.
	ServersDelta   *Delta
	ServersChanged storerev.Revision
	// Evacuations is the whole set of evacuated halls as of EvacuationsAskedAt; nil for no
	// information.
	Evacuations        *Evacuations
	EvacuationsAskedAt time.Time
}

// Era returns the era of the source in which the changes were made.
func (n Notification) Era() uint64 {
	latest := max(n.TableChanged, n.ServersChanged)
	if n.ServersDelta != nil {
		latest = max(latest, n.ServersDelta.To)
	}
	if n.Evacuations != nil {
		latest = max(latest, n.Evacuations.Revision)
	}
	return latest.Era()
}

// OnNotification sets the function that broadcasts the changes this box sees first.
func (d *Directory) OnNotification(f func(Notification)) { d.onNotification = f }

// notifyTable announces a new table that the other boxes may not know yet.
func (d *Directory) notifyTable(before *routing.Table, result TableResult, wait time.Duration) {
	if result.Table == nil || !d.shouldNotify(wait) {
		return
	}
	n := Notification{TableChanged: max(result.Changed, storerev.StartOf(result.Revision.Era()))}
	if before != nil && before.Version < result.Table.Version {
		delta := routing.Diff(before, result.Table)
		n.TableDelta = &delta
	}
	d.onNotification(n)
}

// notifyEra announces that this box has read a part in a later era than before, so that the other
// boxes copy it.
func (d *Directory) notifyEra(n Notification, before, revision storerev.Revision) {
	if d.onNotification != nil && before > 0 && before < storerev.StartOf(revision.Era()) {
		d.onNotification(n)
	}
}

// notifyServers announces changes of the list that the other boxes may not know yet.
func (d *Directory) notifyServers(delta Delta, wait time.Duration) {
	if len(delta.Events) > 0 && d.shouldNotify(wait) {
		d.onNotification(Notification{ServersDelta: &delta})
	}
}

// ObserveEra brings the parts that were read in an earlier era to one that was seen in a response of the
// source.
func (d *Directory) ObserveEra(era uint64) {
	d.recordEra(era, clock.Now())
	for _, f := range []*follower{d.table, d.list} {
		// A part that is not loaded yet is read anyway. A target would limit the retries at other boxes.
		if f.position().revision > 0 {
			f.observe(0, storerev.StartOf(era))
		}
	}
}

// ReadEvacuations reads the evacuated halls from a source and notifies the other boxes if they
// changed.
func (d *Directory) ReadEvacuations(ctx context.Context, source Source, askedAt time.Time) error {
	evacuations, err := source.ReadEvacuations(ctx)
	if err != nil {
		return err
	}
	if d.SetEvacuations(evacuations, askedAt) && d.onNotification != nil {
		d.onNotification(Notification{Evacuations: &evacuations, EvacuationsAskedAt: askedAt})
	}
	return nil
}

// shouldNotify reports whether the other boxes may not know yet what was read: that holds for a
// watch that waits, and during Verify. Other short polls follow a notification.
func (d *Directory) shouldNotify(wait time.Duration) bool {
	return d.onNotification != nil && (wait > pollWait || d.verifications.Load() > 0)
}

// ApplyNotification applies a notification from another box.
func (d *Directory) ApplyNotification(n Notification) {
	if n.Evacuations != nil {
		d.SetEvacuations(*n.Evacuations, n.EvacuationsAskedAt)
	}
	if n.ServersDelta != nil {
		d.outdated.check(d.list, n.ServersDelta.To)
		d.ApplyDelta(*n.ServersDelta)
	}
	d.outdated.check(d.table, n.TableChanged)
	d.outdated.check(d.list, n.ServersChanged)
	if n.TableDelta != nil {
		d.applyTableDelta(tableDelta{Delta: *n.TableDelta, changed: n.TableChanged})
	}
	if n.TableChanged > 0 {
		d.table.observe(0, n.TableChanged)
	}
	if n.ServersChanged > 0 {
		d.list.observe(0, n.ServersChanged)
	}
}
