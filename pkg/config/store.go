package config

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/objlog"
)

const (
	// maxHistoryEntries and maxHistoryBytes limit the recent entries retained for
	// peers and for retried confirmations. A peer that is further behind needs a
	// snapshot.
	maxHistoryEntries = 1024
	maxHistoryBytes   = 2 << 20
	// targetPartBytes is the approximate size of a snapshot part.
	targetPartBytes = 512 << 10
	// logName is the suffix of the log's name, after the prefix.
	logName = "/config"
)

// Entry is a record of the configuration log with its generation.
type Entry struct {
	Generation uint64
	Record     objlog.Record
}

// Store holds the current configuration of a box.
type Store struct {
	logger log.Logger
	log    *objlog.Log

	state atomic.Pointer[State]

	mu           sync.Mutex
	history      []Entry
	historyBytes int
	changed      chan struct{}
	// loaded is set once the platform or a peer has provided a configuration.
	loaded bool
	// staleLogErr is set while the platform's log is behind the current generation.
	staleLogErr error
}

// NewStore returns an empty store that follows the configuration log under prefix.
func NewStore(objects objectstore.Objects, prefix string, logger log.Logger) *Store {
	s := &Store{logger: logger, changed: make(chan struct{})}
	s.state.Store(NewState())
	s.log = objlog.New(objects, prefix+logName, (*logReader)(s))
	return s
}

// Current returns the current configuration.
func (s *Store) Current() *State { return s.state.Load() }

// Loaded reports whether a configuration has been loaded, even an empty one.
func (s *Store) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// StaleLogErr returns an *objlog.StaleLogError if the last read found the platform's
// log behind what was seen before, and nil otherwise.
func (s *Store) StaleLogErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleLogErr
}

// Changed returns a channel that is closed on the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// logReader applies the records of the platform's log to the store.
type logReader Store

// Restore implements objlog.StateMachine.
func (r *logReader) Restore(index uint64, parts [][]byte) error {
	return (*Store)(r).Restore(index, parts)
}

// Apply implements objlog.StateMachine.
func (r *logReader) Apply(index uint64, rec objlog.Record) error {
	return (*Store)(r).ApplyEntry(Entry{Generation: index, Record: rec})
}

// ApplyEntry applies the entry of the next generation. An entry that has been
// applied already is ignored. A gap returns a *ConflictError; a later pull fills it.
func (s *Store) ApplyEntry(e Entry) error {
	var a AcceptedChange
	if err := json.Unmarshal(e.Record.Data, &a); err != nil {
		return &objlog.CorruptError{Key: e.Record.ID, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.state.Load()
	if e.Generation <= current.Generation {
		return nil
	}
	if e.Generation != current.Generation+1 {
		return &ConflictError{Base: current.Generation, Current: e.Generation}
	}
	s.appendHistory(e)
	s.publish(current.Apply(a.Change))
	level.Info(s.logger).Log("msg", "configuration applied", "generation", e.Generation, "operator", a.Operator, "plan", e.Record.ID)
	return nil
}

// appendHistory adds an entry to the history and drops the oldest ones that exceed
// the limits. The newest is always retained. The caller holds s.mu.
func (s *Store) appendHistory(e Entry) {
	s.history = append(s.history, e)
	s.historyBytes += len(e.Record.Data)
	drop := 0
	for len(s.history)-drop > 1 && (len(s.history)-drop > maxHistoryEntries || s.historyBytes > maxHistoryBytes) {
		s.historyBytes -= len(s.history[drop].Record.Data)
		drop++
	}
	if drop > 0 {
		s.history = append([]Entry(nil), s.history[drop:]...)
	}
}

// Restore replaces the configuration with a snapshot. A snapshot that is not newer
// than the current generation is ignored.
func (s *Store) Restore(generation uint64, parts [][]byte) error {
	changes := make([]Change, len(parts))
	for i, p := range parts {
		if err := json.Unmarshal(p, &changes[i]); err != nil {
			return &objlog.CorruptError{Key: "snapshot", Cause: err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation <= s.state.Load().Generation {
		return nil
	}
	s.history, s.historyBytes = nil, 0
	s.publish(stateFromSnapshot(generation, changes))
	level.Info(s.logger).Log("msg", "configuration restored from a snapshot", "generation", generation)
	return nil
}

// publish sets the current state and wakes waiters. The caller holds s.mu.
func (s *Store) publish(st *State) {
	s.state.Store(st)
	s.loaded = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// MarkLoaded records that a source has responded, so that an empty configuration
// counts as loaded.
func (s *Store) MarkLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
}

// Refresh reads and applies new records of the platform's log.
func (s *Store) Refresh(ctx context.Context) error { return s.finishRead(s.log.Refresh(ctx)) }

// Await waits until the platform's log grows, then applies the new records.
func (s *Store) Await(ctx context.Context) error { return s.finishRead(s.log.WaitForChange(ctx)) }

// finishRead records the result of reading the platform's log and returns its
// error, or that of checkStaleLog.
func (s *Store) finishRead(err error) error {
	if err == nil {
		err = s.checkStaleLog()
	}
	s.setStaleLogErr(err)
	if err == nil {
		s.MarkLoaded()
	}
	return err
}

// checkStaleLog returns an error if the platform's log is behind the current
// generation, which may have come from a peer.
func (s *Store) checkStaleLog() error {
	shown, seen := s.log.NextIndex()-1, s.Current().Generation
	if shown < seen {
		return &objlog.StaleLogError{Log: "config", Seen: seen, Shown: shown}
	}
	return nil
}

// setStaleLogErr sets staleLogErr to err if it is an *objlog.StaleLogError and
// clears it otherwise.
func (s *Store) setStaleLogErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleLogErr = nil
	if objlog.IsStaleLog(err) {
		s.staleLogErr = err
		level.Error(s.logger).Log("msg", "platform returned an older configuration; not applied", "err", err)
	}
}

// EntriesSince returns the entries after a generation. If they are no longer
// retained, ok is false and the caller needs a snapshot.
func (s *Store) EntriesSince(generation uint64) (entries []Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation >= s.state.Load().Generation {
		return nil, true
	}
	if len(s.history) == 0 || s.history[0].Generation > generation+1 {
		return nil, false
	}
	first := generation + 1 - s.history[0].Generation
	return append([]Entry(nil), s.history[first:]...), true
}

// SnapshotParts returns a snapshot of the current configuration, in parts small
// enough for objects of the platform and messages between peers.
func (s *Store) SnapshotParts() (generation uint64, parts [][]byte) {
	st := s.Current()
	return st.Generation, encodeSnapshot(st)
}

func encodeSnapshot(st *State) [][]byte {
	rest := st.Export()
	orgs := rest.Organisations
	rest.Organisations = nil
	parts := [][]byte{mustJSON(rest)}
	var batch []Organisation
	size := 0
	for _, o := range orgs {
		batch = append(batch, o)
		size += len(o.Name) + 72*len(o.KeyHashes) + 160
		if size >= targetPartBytes {
			parts = append(parts, mustJSON(Change{Organisations: batch}))
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		parts = append(parts, mustJSON(Change{Organisations: batch}))
	}
	return parts
}

// mustJSON encodes a value of a type for which Marshal cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// confirmTimeout limits the time a confirmation waits for a definite result.
const confirmTimeout = 5 * time.Second

// Confirm appends a change that was planned on generation base to the log, under
// the plan's ID, and returns the generation it became. It is idempotent:
// confirming the same plan again returns the same generation. After an
// UnknownOutcomeError or a PlanExpiredError the change may have been accepted; on
// any other error, this call did not append it.
func (s *Store) Confirm(ctx context.Context, id string, base uint64, a AcceptedChange) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.Refresh(ctx); err != nil {
		return 0, err
	}
	if s.Current().Generation != base {
		return s.findConfirmed(id, base)
	}
	// The plan comes from a client, so validate it again.
	if err := s.Current().Apply(a.Change).Validate(); err != nil {
		return 0, err
	}
	rec := objlog.Record{ID: id, Data: mustJSON(a)}
	err := s.log.Append(ctx, base+1, []objlog.Record{rec})
	switch {
	case err == nil:
		s.compactInBackground()
		return base + 1, nil
	case objlog.IsAppendConflict(err):
		return s.findConfirmed(id, base)
	case objectstore.IsUnknownOutcome(err):
		return 0, &UnknownOutcomeError{Cause: err}
	}
	return 0, err
}

// findConfirmed determines whether a plan was accepted whose base is no longer the
// current generation.
func (s *Store) findConfirmed(id string, base uint64) (uint64, error) {
	entries, ok := s.EntriesSince(base)
	if !ok {
		return 0, &PlanExpiredError{Base: base}
	}
	if len(entries) > 0 && entries[0].Record.ID == id {
		return base + 1, nil
	}
	return 0, &ConflictError{Base: base, Current: s.Current().Generation}
}

// compactInBackground starts compacting the log into a snapshot if it has grown long.
func (s *Store) compactInBackground() {
	if !s.log.CanCompact() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		err := s.log.Compact(ctx, s.snapshotAt)
		if err != nil {
			level.Warn(s.logger).Log("msg", "failed to compact configuration log; retrying after a later confirmation", "err", err)
		}
	}()
}

// snapshotAt returns the snapshot after record index. ok is false if the store is
// at another generation, as entries from peers may have advanced it.
func (s *Store) snapshotAt(index uint64) (parts [][]byte, ok bool) {
	st := s.Current()
	if st.Generation != index {
		return nil, false
	}
	return encodeSnapshot(st), true
}
