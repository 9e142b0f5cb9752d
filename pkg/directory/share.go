package directory

import (
	"context"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

// Check is what is known of the source at a moment: its revision, and at which
// revision each part changed last, up to that one.
type Check struct {
	// AskedAt is when the source was asked: what it said is no older.
	AskedAt        time.Time
	Revision       uint64
	TableChanged   uint64
	ServersChanged uint64
}

// Delta is what changed in the list of servers between two revisions.
type Delta struct {
	From, To uint64
	Events   []ServerEvent
}

// Verify brings both parts up to a revision that the source had when it was asked.
// What it finds changed is told to the other boxes. It returns what they may rely on;
// false if the source did not answer in time.
func (d *Directory) Verify(ctx context.Context, revision uint64, asked time.Time, t Timing) (Check, bool) {
	d.verifying.Add(1)
	defer d.verifying.Add(-1)
	for _, f := range []*follower{d.table, d.list} {
		f.reach(revision)
	}
	end := clock.Now().Add(t.MaxLag)
	for d.table.known().revision < revision || d.list.known().revision < revision {
		if ctx.Err() != nil || clock.Now().After(end) {
			return Check{}, false
		}
		pause.For(ctx, verifyStep)
	}
	d.confirm(revision, asked)
	return Check{
		AskedAt: asked, Revision: revision,
		TableChanged: d.table.known().changed, ServersChanged: d.list.known().changed,
	}, true
}

// verifyStep is how often Verify looks.
const verifyStep = 5 * time.Millisecond

// ApplyCheck takes in what another box has verified. A part that has not changed since
// this box knew it is confirmed, another one is asked for.
func (d *Directory) ApplyCheck(c Check) {
	d.table.heardOf(c.Revision, c.TableChanged)
	d.list.heardOf(c.Revision, c.ServersChanged)
	d.confirm(c.Revision, c.AskedAt)
}

// ApplyDelta takes a delta in if it follows on what this box knows. Deltas come from this
// box's own watch and from others: an older one must not undo a newer.
func (d *Directory) ApplyDelta(delta Delta) { d.apply(delta, d.history.add) }

// applyCopied is Apply for what another box tells of the changes since a revision. It may have read
// the whole list meanwhile.
func (d *Directory) applyCopied(delta Delta) { d.apply(delta, d.history.jump) }

// apply takes a delta in, and keeps it.
func (d *Directory) apply(delta Delta, keep func(Delta)) {
	d.applying.Lock()
	defer d.applying.Unlock()
	if !d.list.covers(delta) {
		return
	}
	d.changeServers(delta.Events, clock.Now())
	keep(delta)
	k := known{revision: delta.To}
	if len(delta.Events) > 0 {
		k.changed = delta.To
	}
	d.list.advance(k)
}

// Notification is what a box has seen before the others: a change of the table, or of the
// list.
type Notification struct {
	// TableChanged is the revision of the new table, zero for none.
	TableChanged uint64
	// TableDelta leads to the new table from the one before; nil if there was none.
	TableDelta *routing.Delta
	// ServersDelta is what has changed in the list; nil where nothing has, or where only the
	// revision is told at which it has.
	ServersDelta   *Delta
	ServersChanged uint64
	// Evacuations are all halls that are evacuated, as the source said when it was asked; nil where
	// nothing is told of them.
	Evacuations        *Evacuations
	EvacuationsAskedAt time.Time
}

// OnNotification sets who is told of changes that this box sees first.
func (d *Directory) OnNotification(f func(Notification)) { d.onNotice = f }

// tellTable tells of a new table if this box is ahead of the others.
func (d *Directory) tellTable(before *routing.Table, read TableResult, wait time.Duration) {
	if read.Table == nil || !d.ahead(wait) {
		return
	}
	n := Notification{TableChanged: read.Changed}
	if before != nil && before.Version < read.Table.Version {
		delta := routing.Diff(before, read.Table)
		n.TableDelta = &delta
	}
	d.onNotice(n)
}

// tellServers tells of a change of the list if this box is ahead of the others.
func (d *Directory) tellServers(delta Delta, wait time.Duration) {
	if len(delta.Events) > 0 && d.ahead(wait) {
		d.onNotice(Notification{ServersDelta: &delta})
	}
}

// ReadEvacuations asks a source which halls are evacuated, and tells the other boxes what has
// changed.
func (d *Directory) ReadEvacuations(ctx context.Context, source Source, asked time.Time) error {
	evacuations, err := source.ReadEvacuations(ctx)
	if err != nil {
		return err
	}
	if d.SetEvacuations(evacuations, asked) && d.onNotice != nil {
		d.onNotice(Notification{Evacuations: &evacuations, EvacuationsAskedAt: asked})
	}
	return nil
}

// ahead tells whether what is read now is news for the others: it is for a watch that
// waits, and while this box checks the source for all. Who asks briefly otherwise was
// told by somebody.
func (d *Directory) ahead(wait time.Duration) bool {
	return d.onNotice != nil && (wait > briefly || d.verifying.Load() > 0)
}

// ApplyNotification takes in what another box has seen.
func (d *Directory) ApplyNotification(n Notification) {
	if n.Evacuations != nil {
		d.SetEvacuations(*n.Evacuations, n.EvacuationsAskedAt)
	}
	if n.ServersDelta != nil {
		d.ApplyDelta(*n.ServersDelta)
	}
	if n.TableDelta != nil {
		d.noticedTable(tableDelta{Delta: *n.TableDelta, changed: n.TableChanged})
	}
	if n.TableChanged > 0 {
		d.table.heardOf(0, n.TableChanged)
	}
	if n.ServersChanged > 0 {
		d.list.heardOf(0, n.ServersChanged)
	}
}
