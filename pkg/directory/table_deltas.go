package directory

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// tableDelta leads from one version of the table to another.
type tableDelta struct {
	routing.Delta
	// changed is the source revision at which the table changed.
	changed storerev.Revision
}

// maxPendingDeltas bounds the deltas kept until their base version arrives.
const maxPendingDeltas = 32

// applyTableDelta applies a delta from another box. If its base version is not in force it is kept,
// as that version may still arrive.
func (d *Directory) applyTableDelta(delta tableDelta) {
	if delta.changed <= d.table.position().revision {
		return
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.pendingDeltas = append(d.pendingDeltas, delta)
	if len(d.pendingDeltas) > maxPendingDeltas {
		d.pendingDeltas = d.pendingDeltas[1:]
	}
	d.applyPendingDeltas()
}

// applyTable publishes a table that was read, applies the pending deltas, and returns the previous
// table. It ignores one of an earlier era.
func (d *Directory) applyTable(result TableResult, at time.Time) *routing.Table {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	before := d.View().Table
	if result.Revision < storerev.StartOf(d.table.position().revision.Era()) {
		return before
	}
	d.setTable(result.Table, at)
	d.applyPendingDeltas()
	return before
}

// applyPendingDeltas applies the deltas that continue the table in force and drops outdated ones.
// The caller holds applyMu.
func (d *Directory) applyPendingDeltas() {
	for {
		t := d.View().Table
		if t == nil {
			return
		}
		d.pendingDeltas = slices.DeleteFunc(d.pendingDeltas, func(x tableDelta) bool { return x.To <= t.Version })
		i := slices.IndexFunc(d.pendingDeltas, func(x tableDelta) bool { return x.From == t.Version })
		if i < 0 {
			return
		}
		delta := d.pendingDeltas[i]
		d.pendingDeltas = slices.Delete(d.pendingDeltas, i, i+1)
		if next, ok := t.Apply(delta.Delta); ok {
			d.setTable(next, clock.Now())
			d.table.advance(position{revision: delta.changed, changed: delta.changed})
		}
	}
}
