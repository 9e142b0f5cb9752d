package objlog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"

	"headhill.example/headhill/pkg/objectstore"
)

// MinSegmentsToCompact is the number of archived segments from which the log is compacted.
const MinSegmentsToCompact = 16

// CanCompact reports whether enough archived segments precede the head and no
// compaction is in progress.
func (l *Log) CanCompact() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.compacting && l.head.Number-l.oldestArchive >= MinSegmentsToCompact
}

// Compact stores the state after the last record read as a snapshot and deletes the
// archived segments that it covers. The state callback is called with the log's lock
// held and returns false if the state at that index is not available. Compacting at an
// index that another box has already compacted has no effect.
func (l *Log) Compact(ctx context.Context, state func(index uint64) (parts [][]byte, ok bool)) error {
	l.mu.Lock()
	index := l.head.nextIndex() - 1
	parts, ok := state(index)
	if !ok || l.compacting {
		l.mu.Unlock()
		return nil
	}
	// Only one compaction runs at a time: otherwise each append would start another, and
	// their writes would use up the call budget for appends.
	l.compacting = true
	defer l.finishCompaction()
	m := manifest{
		Index:   index,
		Segment: l.head.Number,
		First:   l.head.First,
		Parts:   len(parts),
		Nonce:   rand.Uint64(),
	}
	l.mu.Unlock()
	if err := l.storeSnapshot(ctx, m, parts); err != nil {
		return err
	}
	return l.deleteCompacted(ctx, m)
}

func (l *Log) finishCompaction() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.compacting = false
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
	// The manifest is written last: parts without a manifest are ignored. If another box
	// compacted at the same record, its snapshot is kept.
	_, err = l.objects.Create(ctx, l.snapshotKey(m.Index), value)
	if objectstore.IsConflict(err) {
		return nil
	}
	return err
}

// deleteCompacted deletes the objects that a snapshot supersedes: archived segments
// before its segment, older snapshots and their parts. Objects that could not be
// deleted are harmless and left to the next compaction.
func (l *Log) deleteCompacted(ctx context.Context, m manifest) error {
	entries, err := l.objects.List(ctx, l.prefix+"/")
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !l.isCompacted(e.Key, m) {
			continue
		}
		if err := l.objects.Delete(ctx, e.Key, e.Version); err != nil && !objectstore.IsNotFound(err) {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldestArchive = max(l.oldestArchive, m.Segment)
	return nil
}

func (l *Log) isCompacted(key string, m manifest) bool {
	if n := l.parseKeyNumber(key, segmentPrefix); n >= 0 {
		return n < int64(m.Segment)
	}
	if n := l.parseKeyNumber(key, snapshotPrefix); n >= 0 {
		return uint64(n) < m.Index
	}
	n := l.parseKeyNumber(strings.Split(key, partSeparator)[0], partPrefix)
	return n >= 0 && uint64(n) < m.Index
}

// restoreLatestSnapshot loads the newest snapshot if it is ahead of the log read so far.
func (l *Log) restoreLatestSnapshot(ctx context.Context) error {
	entries, err := l.objects.List(ctx, l.prefix+snapshotPrefix)
	if err != nil {
		return err
	}
	newest := int64(-1)
	for _, e := range entries {
		newest = max(newest, l.parseKeyNumber(e.Key, snapshotPrefix))
	}
	if newest < 0 || uint64(newest)+1 < l.head.nextIndex() {
		return &StaleLogError{Log: l.prefix, Seen: l.head.nextIndex() - 1, Shown: uint64(max(newest, 0))}
	}
	return l.restore(ctx, uint64(newest))
}

// restore loads the snapshot taken after record index.
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
	if err := l.stateMachine.Restore(m.Index, parts); err != nil {
		return err
	}
	l.oldestArchive = m.Segment
	l.head = segment{Number: m.Segment, First: m.First, Records: make([]Record, m.Index+1-m.First)}
	return nil
}
