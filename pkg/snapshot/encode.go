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

// listsKept bounds the encoded lists and changes of one revision: boxes that checked the store at
// different times name as many revisions that they know.
const listsKept = 16

// encodedList is the list of servers as it is sent.
type encodedList struct {
	// revision is up to where it is known, changed where it changed last.
	revision, changed uint64
	// since is the revision from which on the body holds changes; zero where it holds the whole.
	since uint64
	body  []byte
}

// listEncoder encodes the newest list of servers once for each revision from which it is asked for.
type listEncoder struct {
	mu       sync.Mutex
	revision uint64
	lists    map[uint64]encodedList
}

// lists is where the newest list is had from.
type lists interface {
	ListSince(since uint64) (directory.ListCopy, bool)
	ListCopy() directory.ListCopy
}

// from returns the encoded list to who knows it at a revision, zero for not at all: what has changed,
// or the whole where that is not known. It is copied only where the one of this revision is not encoded
// yet, one copy at a time: a copy for each of 984 boxes that asked at once took 2.2 MB each while the
// first one was encoded. The whole is encoded once for all, from whatever revision they ask: encoded for
// each, it took the sender so long that they read the store, 20,900 calls on a day that has 4,700.
func (e *listEncoder) from(since, revision uint64, l lists) (encodedList, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list, ok := e.kept(since, revision); ok {
		return list, nil
	}
	if c, ok := l.ListSince(since); ok {
		body, err := encode(c.Delta.Events)
		return e.keep(encodedList{revision: c.Revision, changed: c.Changed, since: since, body: body}, err)
	}
	if list, ok := e.kept(0, revision); ok {
		return list, nil
	}
	c := l.ListCopy()
	body, err := encode(c.Servers)
	return e.keep(encodedList{revision: c.Revision, changed: c.Changed, body: body}, err)
}

// kept is what is encoded for who knows the list at a revision, if it is new enough.
func (e *listEncoder) kept(since, revision uint64) (encodedList, bool) {
	if e.revision < revision {
		return encodedList{}, false
	}
	list, ok := e.lists[since]
	return list, ok
}

// keep keeps an encoded list as long as it is the newest.
func (e *listEncoder) keep(list encodedList, err error) (encodedList, error) {
	if err != nil {
		return encodedList{}, err
	}
	if e.revision != list.revision || len(e.lists) >= listsKept {
		whole, ok := e.kept(0, list.revision)
		e.revision, e.lists = list.revision, make(map[uint64]encodedList)
		if ok {
			e.lists[0] = whole
		}
	}
	e.lists[list.since] = list
	return list, nil
}

// boxEncoder encodes the boxes that there are once for each revision at which they were read.
type boxEncoder struct {
	mu       sync.Mutex
	revision uint64
	boxes    int
	encoded  []byte
}

func (e *boxEncoder) body(c roster.Snapshot) ([]byte, error) {
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
