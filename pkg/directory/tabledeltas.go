package directory

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
)

// tableDelta leads from one version of the table to the next.
type tableDelta struct {
	routing.Delta
	// changed is the revision of the source at which the table changed.
	changed uint64
}

// deltasKept bounds the deltas that wait for the version that they begin at. Some changes
// may come while a box reads a large table.
const deltasKept = 32

// noticedTable takes in what another box tells of a new table. A delta that does not
// begin at the version in force waits: that version may be on its way.
func (d *Directory) noticedTable(delta tableDelta) {
	if delta.changed <= d.table.known().revision {
		return
	}
	d.applying.Lock()
	defer d.applying.Unlock()
	d.deltas = append(d.deltas, delta)
	if len(d.deltas) > deltasKept {
		d.deltas = d.deltas[1:]
	}
	d.followDeltas()
}

// readTable takes in a table that was read, and then what has been told of newer ones. It
// returns the table that was in force before.
func (d *Directory) readTable(read TableResult, at time.Time) *routing.Table {
	d.applying.Lock()
	defer d.applying.Unlock()
	before := d.View().Table
	d.setTable(read.Table, at)
	d.followDeltas()
	return before
}

// followDeltas applies the deltas that lead on from the table in force, and drops those
// that are passed. The caller holds applying.
func (d *Directory) followDeltas() {
	for {
		t := d.View().Table
		if t == nil {
			return
		}
		d.deltas = slices.DeleteFunc(d.deltas, func(x tableDelta) bool { return x.To <= t.Version })
		i := slices.IndexFunc(d.deltas, func(x tableDelta) bool { return x.From == t.Version })
		if i < 0 {
			return
		}
		delta := d.deltas[i]
		d.deltas = slices.Delete(d.deltas, i, i+1)
		if next, ok := t.Apply(delta.Delta); ok {
			d.setTable(next, clock.Now())
			d.table.advance(known{revision: delta.changed, changed: delta.changed})
		}
	}
}
