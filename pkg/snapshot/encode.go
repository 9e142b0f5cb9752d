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
	"headhill.example/headhill/pkg/storerev"
)

// emptyTable is the table of a box that has none yet.
var emptyTable = routing.NewTable(routing.Content{})

// maxPreviousTables is how many earlier tables are kept for computing deltas.
const maxPreviousTables = 4

// tableEncoder encodes deltas to the current table and caches them by base version.
type tableEncoder struct {
	mu       sync.Mutex
	table    *routing.Table
	previous []*routing.Table
	bodies   map[uint64][]byte
}

// body returns the encoded delta from a version to a table. If the version is not available, the
// delta starts from the empty table.
func (e *tableEncoder) body(table *routing.Table, version uint64) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setTable(table)
	from := emptyTable
	if i := slices.IndexFunc(e.previous, func(t *routing.Table) bool { return t.Version == version }); i >= 0 {
		from = e.previous[i]
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

// setTable sets the current table.
func (e *tableEncoder) setTable(table *routing.Table) {
	if e.table == table {
		return
	}
	if e.table != nil {
		e.previous = append(e.previous, e.table)
		e.previous = e.previous[max(0, len(e.previous)-maxPreviousTables):]
	}
	e.table, e.bodies = table, make(map[uint64][]byte)
}

// maxEncodedLists limits the cached encodings of one revision. Requesters that checked the store
// at different times ask for changes since different revisions.
const maxEncodedLists = 16

// encodedList is an encoded server list.
type encodedList struct {
	// revision is the revision of the list, changed that of its last change.
	revision, changed storerev.Revision
	// since is the revision from which the body holds changes, or zero for the full list.
	since storerev.Revision
	body  []byte
}

// listEncoder encodes the newest server list and caches the encodings by base revision.
type listEncoder struct {
	mu       sync.Mutex
	revision storerev.Revision
	lists    map[storerev.Revision]encodedList
}

// listSource provides the newest server list.
type listSource interface {
	ListSince(since storerev.Revision) (directory.ListCopy, bool)
	ListCopy() directory.ListCopy
}

// get returns the encoded changes since a revision, or the full list if these are not available or
// since is zero. A cached encoding is used if its revision is at least minRevision. Concurrent requests
// share one copy and one encoding of the list, which bounds memory and time when many boxes ask at once.
func (e *listEncoder) get(since, minRevision storerev.Revision, source listSource) (encodedList, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list, ok := e.lookup(since, minRevision); ok {
		return list, nil
	}
	if c, ok := source.ListSince(since); ok {
		body, err := encode(c.Delta.Events)
		return e.store(encodedList{revision: c.Revision, changed: c.Changed, since: since, body: body}, err)
	}
	if list, ok := e.lookup(0, minRevision); ok {
		return list, nil
	}
	c := source.ListCopy()
	body, err := encode(c.Servers)
	return e.store(encodedList{revision: c.Revision, changed: c.Changed, body: body}, err)
}

// lookup returns the cached encoding for a base revision, if it is recent enough.
func (e *listEncoder) lookup(since, minRevision storerev.Revision) (encodedList, bool) {
	if e.revision < minRevision {
		return encodedList{}, false
	}
	list, ok := e.lists[since]
	return list, ok
}

// store caches an encoded list and drops those of older revisions.
func (e *listEncoder) store(list encodedList, err error) (encodedList, error) {
	if err != nil {
		return encodedList{}, err
	}
	if e.revision != list.revision || len(e.lists) >= maxEncodedLists {
		full, ok := e.lookup(0, list.revision)
		e.revision, e.lists = list.revision, make(map[storerev.Revision]encodedList)
		if ok {
			e.lists[0] = full
		}
	}
	e.lists[list.since] = list
	return list, nil
}

// rosterEncoder encodes the roster and caches the encoding.
type rosterEncoder struct {
	mu       sync.Mutex
	revision storerev.Revision
	boxes    int
	encoded  []byte
}

func (e *rosterEncoder) body(c roster.Snapshot) ([]byte, error) {
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

// encode encodes a value as gzip-compressed JSON.
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

// decode decodes the output of encode.
func decode(r io.Reader, value any) error {
	z, err := gzip.NewReader(r)
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(z, maxBodyBytes)).Decode(value)
}
