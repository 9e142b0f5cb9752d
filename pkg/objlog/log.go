package objlog

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"headhill.example/headhill/pkg/objectstore"
)

// DefaultSegmentBytes is the size at which a segment is sealed. Watchers read the
// whole open segment at every change, so it is kept small.
const DefaultSegmentBytes = 16 << 10

// StateMachine receives a log's content in order. Its methods are called with the
// log's lock held and must not call the log.
type StateMachine interface {
	// Restore replaces the state with a snapshot taken after record index.
	Restore(index uint64, parts [][]byte) error
	// Apply applies the record with the given index.
	Apply(index uint64, r Record) error
}

// Log is an ordered log on the object API. It is safe for concurrent use.
type Log struct {
	objects         objectstore.Objects
	prefix          string
	maxSegmentBytes int
	stateMachine    StateMachine

	mu sync.Mutex
	// head is the open segment as last read, headVersion the version of its object, or 0
	// while the object does not exist.
	head        segment
	headVersion objectstore.Version
	// oldestArchive is the lowest number of an archived segment that may still exist.
	oldestArchive int
	compacting    bool
}

// New returns a log under the key prefix. Call Refresh to read its content.
func New(objects objectstore.Objects, prefix string, sm StateMachine) *Log {
	return &Log{
		objects:         objects,
		prefix:          prefix,
		maxSegmentBytes: DefaultSegmentBytes,
		stateMachine:    sm,
		head:            segment{Number: 1, First: 1},
		oldestArchive:   1,
	}
}

// NextIndex returns the index of the next record, as of the last read.
func (l *Log) NextIndex() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head.nextIndex()
}

// Refresh reads and applies new records.
func (l *Log) Refresh(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refresh(ctx)
}

func (l *Log) refresh(ctx context.Context) error {
	o, err := l.objects.Get(ctx, l.headKey())
	if objectstore.IsNotFound(err) {
		return l.checkNotStale(&segment{Number: 1, First: 1})
	}
	if err != nil {
		return err
	}
	return l.applyHead(ctx, o)
}

// applyHead brings the log up to date with the given head object.
func (l *Log) applyHead(ctx context.Context, o objectstore.Object) error {
	if o.Version == l.headVersion {
		return nil
	}
	head, err := decodeSegment(l.headKey(), o.Value)
	if err != nil {
		return err
	}
	if err := l.checkNotStale(&head); err != nil {
		return err
	}
	if err := l.replayArchives(ctx, head.Number); err != nil {
		return err
	}
	return l.applySegment(head, o.Version)
}

// checkNotStale returns a StaleLogError if shown is older than what was read before.
func (l *Log) checkNotStale(shown *segment) error {
	if shown.Number < l.head.Number || shown.nextIndex() < l.head.nextIndex() {
		return &StaleLogError{Log: l.prefix, Seen: l.head.nextIndex() - 1, Shown: shown.nextIndex() - 1}
	}
	return nil
}

// replayArchives applies archived segments until segment number is the next to read.
func (l *Log) replayArchives(ctx context.Context, number int) error {
	restored := false
	for l.head.Number < number {
		key := l.segmentKey(l.head.Number)
		o, err := l.objects.Get(ctx, key)
		if objectstore.IsNotFound(err) && !restored {
			// The segment was compacted into a snapshot.
			restored = true
			if err := l.restoreLatestSnapshot(ctx); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		s, err := decodeSegment(key, o.Value)
		if err != nil {
			return err
		}
		if err := l.applySegment(s, l.headVersion); err != nil {
			return err
		}
		l.head = segment{Number: s.Number + 1, First: s.nextIndex()}
	}
	return nil
}

// applySegment applies the records that are new in s, which is a newer state of the
// open segment or the segment that follows it.
func (l *Log) applySegment(s segment, v objectstore.Version) error {
	applied := 0
	if s.Number == l.head.Number {
		applied = len(l.head.Records)
	}
	for i := applied; i < len(s.Records); i++ {
		if err := l.stateMachine.Apply(s.First+uint64(i), s.Records[i]); err != nil {
			return err
		}
	}
	l.head, l.headVersion = s, v
	return nil
}

// Append adds records at index expect, atomically. It returns an AppendConflictError
// if the log has grown past expect; the log has then been refreshed. It returns an
// UnknownOutcomeError only if ctx ended before the platform returned a definite result.
func (l *Log) Append(ctx context.Context, expect uint64, records []Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next := l.head.nextIndex(); next != expect {
		return &AppendConflictError{Log: l.prefix, NextIndex: next}
	}
	if err := l.archive(ctx); err != nil {
		return err
	}
	s := l.head.withRecords(records)
	value, err := l.encode(&s)
	if err != nil {
		return err
	}
	v, err := l.writeUntilDefinite(ctx, value)
	if objectstore.IsConflict(err) {
		return l.resolveConflict(ctx, s.Number, expect, records)
	}
	if err != nil {
		return err
	}
	return l.applySegment(s, v)
}

// archive stores a sealed head as an archive object before the head moves to the next
// segment. All writers store the same content, so conflicts can be ignored.
func (l *Log) archive(ctx context.Context) error {
	if !l.head.Sealed {
		return nil
	}
	value, err := json.Marshal(l.head)
	if err != nil {
		return err
	}
	_, err = l.objects.Create(ctx, l.segmentKey(l.head.Number), value)
	switch {
	case err == nil, objectstore.IsConflict(err):
		return nil
	case objectstore.IsUnknownOutcome(err):
		// The append itself has not been sent.
		return &objectstore.UnavailableError{Op: "archive", Cause: err}
	}
	return err
}

// encode marshals the segment, sealing it if it is full.
func (l *Log) encode(s *segment) ([]byte, error) {
	value, err := json.Marshal(s)
	if err != nil || len(value) < l.maxSegmentBytes {
		return value, err
	}
	s.Sealed = true
	return json.Marshal(s)
}

// resolveConflict checks whether a conflict was caused by an earlier attempt of the same
// append. It was if all records are at the expected indices: other writers acting for
// the same attempts may have written some of them.
func (l *Log) resolveConflict(ctx context.Context, number int, expect uint64, records []Record) error {
	if err := l.refreshUntilChanged(ctx, l.headVersion); err != nil {
		return &objectstore.UnknownOutcomeError{Op: "append", Cause: err}
	}
	found, err := l.containsRecords(ctx, number, expect, records)
	if err != nil {
		return &objectstore.UnknownOutcomeError{Op: "append", Cause: err}
	}
	if found {
		return nil
	}
	return &AppendConflictError{Log: l.prefix, NextIndex: l.head.nextIndex()}
}

// refreshUntilChanged refreshes until the version of the head differs from stale, the
// version a write conflicted on: a stale read returns that version again.
func (l *Log) refreshUntilChanged(ctx context.Context, stale objectstore.Version) error {
	retry := newRetryBackoff()
	for {
		if err := l.refresh(ctx); err != nil {
			return err
		}
		if l.headVersion != stale {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retry.NextBackOff()):
		}
	}
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// containsRecords reports whether segment number contains records from index on.
func (l *Log) containsRecords(ctx context.Context, number int, index uint64, records []Record) (bool, error) {
	if l.head.Number == number {
		return l.head.hasRecordsAt(index, records), nil
	}
	key := l.segmentKey(number)
	o, err := l.objects.Get(ctx, key)
	if err != nil {
		return false, err
	}
	s, err := decodeSegment(key, o.Value)
	if err != nil {
		return false, err
	}
	return s.hasRecordsAt(index, records), nil
}

const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// writeUntilDefinite writes the open segment. After a lost response it retries the same
// conditional write: only one attempt can take effect, and late ones conflict.
func (l *Log) writeUntilDefinite(ctx context.Context, value []byte) (objectstore.Version, error) {
	retry := newRetryBackoff()
	v, err := l.write(ctx, value)
	if !objectstore.IsUnknownOutcome(err) {
		return v, err
	}
	firstErr := err
	for {
		select {
		case <-ctx.Done():
			return 0, firstErr
		case <-time.After(retry.NextBackOff()):
		}
		v, err = l.write(ctx, value)
		if err == nil || objectstore.IsConflict(err) {
			return v, err
		}
	}
}

func (l *Log) write(ctx context.Context, value []byte) (objectstore.Version, error) {
	if l.headVersion == 0 {
		return l.objects.Create(ctx, l.headKey(), value)
	}
	return l.objects.Update(ctx, l.headKey(), value, l.headVersion)
}

// WaitForChange waits until the log has grown since the last read and applies the new
// records. It takes one platform call, as the response to a watch is the head itself.
func (l *Log) WaitForChange(ctx context.Context) error {
	l.mu.Lock()
	after := l.headVersion
	l.mu.Unlock()
	o, err := l.objects.Watch(ctx, l.headKey(), after)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applyHead(ctx, o)
}
