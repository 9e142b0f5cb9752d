package snapshot

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
)

// emptyTable is what a box has that has no table yet.
var emptyTable = routing.NewTable(routing.Content{})

// tablesKept is how many earlier tables are kept to tell their holders only what has
// changed since.
const tablesKept = 4

// tableEncoder encodes what leads to the table in force, once for each version from which
// it is asked for.
type tableEncoder struct {
	mu     sync.Mutex
	table  *routing.Table
	before []*routing.Table
	bodies map[uint64][]byte
}

// body returns the encoded delta from a version to a table; from nothing where that version
// is not known any more.
func (e *tableEncoder) body(table *routing.Table, inForce uint64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.take(table)
	from := emptyTable
	if i := slices.IndexFunc(e.before, func(t *routing.Table) bool { return t.Version == inForce }); i >= 0 {
		from = e.before[i]
	}
	if body, ok := e.bodies[from.Version]; ok {
		return body, nil
	}
	body, err := encode(routing.Diff(from, table))
	if err == nil {
		e.bodies[from.Version] = body
	}
	return body, err
}

// take notes the table in force.
func (e *tableEncoder) take(table *routing.Table) {
	if e.table == table {
		return
	}
	if e.table != nil {
		e.before = append(e.before, e.table)
		e.before = e.before[max(0, len(e.before)-tablesKept):]
	}
	e.table, e.bodies = table, make(map[uint64][]byte)
}

// deltasKept bounds the encoded deltas that lead to one revision: boxes that checked the store at
// different times name as many revisions.
const deltasKept = 16

// listEncoder encodes the list of servers once for each revision at which it changed, and what
// leads to the newest revision once for each from which it is asked for.
type listEncoder struct {
	mu       sync.Mutex
	revision uint64
	encoded  []byte
	// newest is the revision to which deltas lead, by the revisions at which they begin.
	newest uint64
	deltas map[uint64][]byte
}

// changes returns an encoded delta.
func (e *listEncoder) changes(d directory.Delta) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest != d.To || len(e.deltas) >= deltasKept {
		e.newest, e.deltas = d.To, make(map[uint64][]byte)
	}
	if body, ok := e.deltas[d.From]; ok {
		return body, nil
	}
	body, err := encode(d.Events)
	if err == nil {
		e.deltas[d.From] = body
	}
	return body, err
}

func (e *listEncoder) body(servers []routing.Server, revision uint64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.encoded != nil && e.revision == revision {
		return e.encoded, nil
	}
	body, err := encode(servers)
	if err == nil {
		e.encoded, e.revision = body, revision
	}
	return body, err
}

// boxEncoder encodes the boxes that there are once for each revision at which they were read.
type boxEncoder struct {
	mu       sync.Mutex
	revision uint64
	boxes    int
	encoded  []byte
}

func (e *boxEncoder) body(c roster.Copy) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.encoded != nil && e.revision == c.Revision && e.boxes == len(c.Entries) {
		return e.encoded, nil
	}
	body, err := encode(c.Entries)
	if err == nil {
		e.encoded, e.revision, e.boxes = body, c.Revision, len(c.Entries)
	}
	return body, err
}

// encode writes a value as JSON, compressed: names of routes and servers have much in
// common, and links between boxes are slow.
func encode(value any) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// decode reads what encode wrote.
func decode(r io.Reader, value any) error {
	z, err := gzip.NewReader(r)
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(z, bodyMost)).Decode(value)
}
