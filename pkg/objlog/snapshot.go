package objlog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"

	"headhill.example/headhill/pkg/objectstore"
)

// MinSegmentsToCompact is the number of archived segments that make a snapshot worth while.
const MinSegmentsToCompact = 16

// CanCompact tells whether enough archived segments stand before the head, and
// nobody folds them already.
func (l *Log) CanCompact() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.folding && l.open.Number-l.oldest >= MinSegmentsToCompact
}

// Compact stores the reader's state after the last record read as a snapshot, and
// deletes the archives that it covers. State is called with the log's lock held;
// it returns false when it can't give the state after that record. Folding what
// somebody else folded already has no effect.
func (l *Log) Compact(ctx context.Context, state func(index uint64) (parts [][]byte, ok bool)) error {
	l.mu.Lock()
	index := l.open.next() - 1
	parts, ok := state(index)
	if !ok || l.folding {
		l.mu.Unlock()
		return nil
	}
	// One at a time: each append would begin another, and their writes would
	// take the budget from the appends.
	l.folding = true
	defer l.endFolding()
	m := manifest{
		Index:   index,
		Segment: l.open.Number,
		First:   l.open.First,
		Parts:   len(parts),
		Nonce:   rand.Uint64(),
	}
	l.mu.Unlock()
	if err := l.storeSnapshot(ctx, m, parts); err != nil {
		return err
	}
	return l.dropFolded(ctx, m)
}

func (l *Log) endFolding() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.folding = false
}

func (l *Log) storeSnapshot(ctx context.Context, m manifest, parts [][]byte) error {
	for i, p := range parts {
		if _, err := l.objects.Create(ctx, l.partKey(&m, i), p); err != nil {
			return err
		}
	}
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	// The manifest comes last: without it the parts count for nothing. If
	// somebody else folded at the same record, theirs stands.
	_, err = l.objects.Create(ctx, l.snapshotKey(m.Index), value)
	if objectstore.IsConflict(err) {
		return nil
	}
	return err
}

// dropFolded deletes what a snapshot covers: archives before its segment, older
// snapshots and their parts. What fails is left for the next fold: a leftover
// does no harm.
func (l *Log) dropFolded(ctx context.Context, m manifest) error {
	entries, err := l.objects.List(ctx, l.prefix+"/")
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !l.covered(e.Key, m) {
			continue
		}
		if err := l.objects.Delete(ctx, e.Key, e.Version); err != nil && !objectstore.IsNotFound(err) {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = max(l.oldest, m.Segment)
	return nil
}

func (l *Log) covered(key string, m manifest) bool {
	if n := l.keyNumber(key, segmentDir); n >= 0 {
		return n < int64(m.Segment)
	}
	if n := l.keyNumber(key, snapshotDir); n >= 0 {
		return uint64(n) < m.Index
	}
	n := l.keyNumber(strings.Split(key, partMark)[0], partDir)
	return n >= 0 && uint64(n) < m.Index
}

// restoreNewest loads the newest snapshot if it is ahead of what was read.
func (l *Log) restoreNewest(ctx context.Context) error {
	entries, err := l.objects.List(ctx, l.prefix+snapshotDir)
	if err != nil {
		return err
	}
	newest := int64(-1)
	for _, e := range entries {
		newest = max(newest, l.keyNumber(e.Key, snapshotDir))
	}
	if newest < 0 || uint64(newest)+1 < l.open.next() {
		return &StaleLogError{Log: l.prefix, Seen: l.open.next() - 1, Shown: uint64(max(newest, 0))}
	}
	return l.restore(ctx, uint64(newest))
}

// restore loads the snapshot after record index.
func (l *Log) restore(ctx context.Context, index uint64) error {
	key := l.snapshotKey(index)
	o, err := l.objects.Get(ctx, key)
	if err != nil {
		return err
	}
	var m manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return &CorruptError{Key: key, Cause: err}
	}
	parts := make([][]byte, 0, m.Parts)
	for i := range m.Parts {
		p, err := l.objects.Get(ctx, l.partKey(&m, i))
		if err != nil {
			return err
		}
		parts = append(parts, p.Value)
	}
	if err := l.reader.Restore(m.Index, parts); err != nil {
		return err
	}
	l.oldest = m.Segment
	l.open = segment{Number: m.Segment, First: m.First, Records: make([]Record, m.Index+1-m.First)}
	return nil
}
