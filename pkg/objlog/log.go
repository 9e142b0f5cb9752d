package objlog

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"headhill.example/headhill/pkg/objectstore"
)

// DefaultSegmentBytes is the size at which a segment is sealed. Whoever watches
// the log reads the open segment at every change, so it is kept small.
const DefaultSegmentBytes = 16 << 10

// StateMachine takes a log's content in, in order. Its methods are called with the
// log's lock held: they must not call the log.
type StateMachine interface {
	// Restore replaces the state by a snapshot taken after record index.
	Restore(index uint64, parts [][]byte) error
	// Apply takes the record with the given index in.
	Apply(index uint64, r Record) error
}

// Log is a log on the object API. It is safe for concurrent use.
type Log struct {
	objects objectstore.Objects
	prefix  string
	limit   int
	reader  StateMachine

	mu sync.Mutex
	// open is the head as last seen, version its version; 0 while it does not
	// exist yet.
	open    segment
	version objectstore.Version
	// oldest is the lowest number of an archive that may still exist.
	oldest  int
	folding bool
}

// New returns a log under the key prefix. Its content is read by Refresh.
func New(objects objectstore.Objects, prefix string, reader StateMachine) *Log {
	return &Log{
		objects: objects,
		prefix:  prefix,
		limit:   DefaultSegmentBytes,
		reader:  reader,
		open:    segment{Number: 1, First: 1},
		oldest:  1,
	}
}

// NextIndex returns the index of the next record, as last seen.
func (l *Log) NextIndex() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.next()
}

// Refresh reads what is new.
func (l *Log) Refresh(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refresh(ctx)
}

func (l *Log) refresh(ctx context.Context) error {
	o, err := l.objects.Get(ctx, l.headKey())
	if objectstore.IsNotFound(err) {
		return l.checkAhead(&segment{Number: 1, First: 1})
	}
	if err != nil {
		return err
	}
	return l.take(ctx, o)
}

// take brings the log up to a state of its head.
func (l *Log) take(ctx context.Context, o objectstore.Object) error {
	if o.Version == l.version {
		return nil
	}
	head, err := decodeSegment(l.headKey(), o.Value)
	if err != nil {
		return err
	}
	if err := l.checkAhead(&head); err != nil {
		return err
	}
	if err := l.catchUp(ctx, head.Number); err != nil {
		return err
	}
	return l.adopt(head, o.Version)
}

// checkAhead fails if shown is older than what was read before.
func (l *Log) checkAhead(shown *segment) error {
	if shown.Number < l.open.Number || shown.next() < l.open.next() {
		return &StaleLogError{Log: l.prefix, Seen: l.open.next() - 1, Shown: shown.next() - 1}
	}
	return nil
}

// catchUp reads archives until segment number is the next one to read.
func (l *Log) catchUp(ctx context.Context, number int) error {
	restored := false
	for l.open.Number < number {
		key := l.segmentKey(l.open.Number)
		o, err := l.objects.Get(ctx, key)
		if objectstore.IsNotFound(err) && !restored {
			// Folded into a snapshot.
			restored = true
			if err := l.restoreNewest(ctx); err != nil {
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
		if err := l.adopt(s, l.version); err != nil {
			return err
		}
		l.open = segment{Number: s.Number + 1, First: s.next()}
	}
	return nil
}

// adopt applies what is new in a newer state of the open segment, or of the one
// right after it.
func (l *Log) adopt(s segment, v objectstore.Version) error {
	known := 0
	if s.Number == l.open.Number {
		known = len(l.open.Records)
	}
	for i := known; i < len(s.Records); i++ {
		if err := l.reader.Apply(s.First+uint64(i), s.Records[i]); err != nil {
			return err
		}
	}
	l.open, l.version = s, v
	return nil
}

// Append adds records at index expect, all or none. AppendConflictError says that the log
// is further on; the log has then been refreshed. An UnknownOutcomeError is returned
// only when ctx ended before the platform gave a definite answer.
func (l *Log) Append(ctx context.Context, expect uint64, records []Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next := l.open.next(); next != expect {
		return &AppendConflictError{Log: l.prefix, NextIndex: next}
	}
	if err := l.archive(ctx); err != nil {
		return err
	}
	s := l.open.with(records)
	value, err := l.encode(&s)
	if err != nil {
		return err
	}
	v, err := l.writeUntilDefinite(ctx, value)
	if objectstore.IsConflict(err) {
		return l.settle(ctx, s.Number, expect, records)
	}
	if err != nil {
		return err
	}
	return l.adopt(s, v)
}

// archive stores a sealed head before the head moves on. Whoever does it stores
// the same, so a lost answer or a conflict is no matter.
func (l *Log) archive(ctx context.Context) error {
	if !l.open.Sealed {
		return nil
	}
	value, err := json.Marshal(l.open)
	if err != nil {
		return err
	}
	_, err = l.objects.Create(ctx, l.segmentKey(l.open.Number), value)
	switch {
	case err == nil, objectstore.IsConflict(err):
		return nil
	case objectstore.IsUnknownOutcome(err):
		// Nothing of the append itself was sent.
		return &objectstore.UnavailableError{Op: "archive", Cause: err}
	}
	return err
}

// encode seals the segment if it is full.
func (l *Log) encode(s *segment) ([]byte, error) {
	value, err := json.Marshal(s)
	if err != nil || len(value) < l.limit {
		return value, err
	}
	s.Sealed = true
	return json.Marshal(s)
}

// settle looks whether a conflict was our own earlier write. It was if all records stand
// where it would have put them: some of them may have been written by others, who act
// for the same attempts.
func (l *Log) settle(ctx context.Context, number int, expect uint64, records []Record) error {
	if err := l.refreshPast(ctx, l.version); err != nil {
		return &objectstore.UnknownOutcomeError{Op: "append", Cause: err}
	}
	found, err := l.find(ctx, number, expect, records)
	if err != nil {
		return &objectstore.UnknownOutcomeError{Op: "append", Cause: err}
	}
	if found {
		return nil
	}
	return &AppendConflictError{Log: l.prefix, NextIndex: l.open.next()}
}

// refreshPast refreshes until the head has another version than the one a write
// conflicted on: a stale read shows that very version and settles nothing.
func (l *Log) refreshPast(ctx context.Context, stale objectstore.Version) error {
	pause := newPause()
	for {
		if err := l.refresh(ctx); err != nil {
			return err
		}
		if l.version != stale {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause.NextBackOff()):
		}
	}
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryFirst
	pause.MaxInterval = retryMost
	return pause
}

// find tells whether records stand in segment number from an index on.
func (l *Log) find(ctx context.Context, number int, index uint64, records []Record) (bool, error) {
	if l.open.Number == number {
		return l.open.holdsAt(index, records), nil
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
	return s.holdsAt(index, records), nil
}

const (
	retryFirst = 20 * time.Millisecond
	retryMost  = time.Second
)

// writeUntilDefinite writes the open segment. Once an answer was lost, the same
// conditional write is repeated: whichever of them takes effect, the others
// conflict, so that no late one can surprise us.
func (l *Log) writeUntilDefinite(ctx context.Context, value []byte) (objectstore.Version, error) {
	pause := newPause()
	v, err := l.write(ctx, value)
	if !objectstore.IsUnknownOutcome(err) {
		return v, err
	}
	lost := err
	for {
		select {
		case <-ctx.Done():
			return 0, lost
		case <-time.After(pause.NextBackOff()):
		}
		v, err = l.write(ctx, value)
		if err == nil || objectstore.IsConflict(err) {
			return v, err
		}
	}
}

func (l *Log) write(ctx context.Context, value []byte) (objectstore.Version, error) {
	if l.version == 0 {
		return l.objects.Create(ctx, l.headKey(), value)
	}
	return l.objects.Update(ctx, l.headKey(), value, l.version)
}

// WaitForChange waits until the log has grown since it was last read, and reads what is
// new: one call of the platform, as the answer to a watch is the head itself.
func (l *Log) WaitForChange(ctx context.Context) error {
	l.mu.Lock()
	after := l.version
	l.mu.Unlock()
	o, err := l.objects.Watch(ctx, l.headKey(), after)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(ctx, o)
}
