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
	// historyKept and historyBytes bound the records that peers and repeated
	// confirmations can ask for. Whoever is further behind takes a whole copy.
	historyKept  = 1024
	historyBytes = 2 << 20
	// partBytes is the size aimed at for a part of a snapshot.
	partBytes = 512 << 10
	logName   = "/config"
)

// Entry is a record of the configuration log with its generation.
type Entry struct {
	Generation uint64
	Record     objlog.Record
}

// Store holds the configuration in force on this box.
type Store struct {
	logger log.Logger
	log    *objlog.Log

	state atomic.Pointer[State]

	mu          sync.Mutex
	history     []Entry
	historySize int
	changed     chan struct{}
	// loaded is set once the platform or a peer gave its configuration.
	loaded bool
	// behind is what the platform last showed less than.
	behind error
}

// NewStore returns an empty store of the log under prefix.
func NewStore(objects objectstore.Objects, prefix string, logger log.Logger) *Store {
	s := &Store{logger: logger, changed: make(chan struct{})}
	s.state.Store(NewState())
	s.log = objlog.New(objects, prefix+logName, (*logReader)(s))
	return s
}

// Current returns the configuration in force.
func (s *Store) Current() *State { return s.state.Load() }

// Loaded tells whether the box has read a configuration, if only an empty one.
func (s *Store) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// StaleLogErr returns why the platform's log is not believed, or nil.
func (s *Store) StaleLogErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// logReader applies the platform's log to the store.
type logReader Store

// Restore implements objlog.Reader.
func (r *logReader) Restore(index uint64, parts [][]byte) error {
	return (*Store)(r).Restore(index, parts)
}

// Apply implements objlog.Reader.
func (r *logReader) Apply(index uint64, rec objlog.Record) error {
	return (*Store)(r).ApplyEntry(Entry{Generation: index, Record: rec})
}

// ApplyEntry puts the next generation in force. What is in force already is
// passed over; a gap is refused, for a later pull to fill.
func (s *Store) ApplyEntry(e Entry) error {
	var a AcceptedChange
	if err := json.Unmarshal(e.Record.Data, &a); err != nil {
		return &objlog.CorruptError{Key: e.Record.ID, Cause: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.state.Load()
	if e.Generation <= now.Generation {
		return nil
	}
	if e.Generation != now.Generation+1 {
		return &ConflictError{Base: now.Generation, Current: e.Generation}
	}
	s.remember(e)
	s.publish(now.Apply(a.Change))
	level.Info(s.logger).Log("msg", "configuration in force", "generation", e.Generation, "operator", a.Operator, "plan", e.Record.ID)
	return nil
}

// remember keeps the newest records within the bounds, the very newest always. It
// is called with the lock held.
func (s *Store) remember(e Entry) {
	s.history = append(s.history, e)
	s.historySize += len(e.Record.Data)
	drop := 0
	for len(s.history)-drop > 1 && (len(s.history)-drop > historyKept || s.historySize > historyBytes) {
		s.historySize -= len(s.history[drop].Record.Data)
		drop++
	}
	if drop > 0 {
		s.history = append([]Entry(nil), s.history[drop:]...)
	}
}

// Restore puts a whole copy in force, unless it is older than what is.
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
	s.history, s.historySize = nil, 0
	s.publish(importState(generation, changes))
	level.Info(s.logger).Log("msg", "configuration restored from a whole copy", "generation", generation)
	return nil
}

// publish is called with the lock held.
func (s *Store) publish(st *State) {
	s.state.Store(st)
	s.loaded = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// MarkLoaded says that a source answered, so that an empty configuration counts.
func (s *Store) MarkLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = true
}

// Refresh reads what is new from the platform.
func (s *Store) Refresh(ctx context.Context) error { return s.read(s.log.Refresh(ctx)) }

// Await waits until the platform's log grows and reads what is new.
func (s *Store) Await(ctx context.Context) error { return s.read(s.log.Await(ctx)) }

// read notes what came of reading the platform's log.
func (s *Store) read(err error) error {
	if err == nil {
		err = s.checkBehind()
	}
	s.noteBehind(err)
	if err == nil {
		s.MarkLoaded()
	}
	return err
}

// checkBehind compares the platform's log with the generation in force, which a
// peer may have brought.
func (s *Store) checkBehind() error {
	shown, seen := s.log.Next()-1, s.Current().Generation
	if shown < seen {
		return &objlog.BehindError{Log: "config", Seen: seen, Shown: shown}
	}
	return nil
}

func (s *Store) noteBehind(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind = nil
	if objlog.IsBehind(err) {
		s.behind = err
		level.Error(s.logger).Log("msg", "the platform shows an older configuration; it is not applied", "err", err)
	}
}

// EntriesSince returns the entries after a generation, or ok false when they are not
// kept any more and a whole copy is needed.
func (s *Store) EntriesSince(generation uint64) (entries []Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation >= s.state.Load().Generation {
		return nil, true
	}
	if len(s.history) == 0 || s.history[0].Generation > generation+1 {
		return nil, false
	}
	from := generation + 1 - s.history[0].Generation
	return append([]Entry(nil), s.history[from:]...), true
}

// SnapshotParts returns a whole copy of the configuration in force, in parts that fit
// the platform's values and a peer's messages.
func (s *Store) SnapshotParts() (generation uint64, parts [][]byte) {
	st := s.Current()
	return st.Generation, encodeParts(st)
}

func encodeParts(st *State) [][]byte {
	rest := st.Export()
	orgs := rest.Organisations
	rest.Organisations = nil
	parts := [][]byte{mustJSON(rest)}
	var batch []Organisation
	size := 0
	for _, o := range orgs {
		batch = append(batch, o)
		size += len(o.Name) + 72*len(o.KeyHashes) + 160
		if size >= partBytes {
			parts = append(parts, mustJSON(Change{Organisations: batch}))
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		parts = append(parts, mustJSON(Change{Organisations: batch}))
	}
	return parts
}

// mustJSON encodes plain structs, which can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// confirmTimeout bounds how long a confirmation waits for a definite answer.
const confirmTimeout = 5 * time.Second

// Confirm accepts a change that was planned on generation base under the plan's
// ID, and returns the generation that it became. Confirming again returns the
// same generation. ConflictError, UnknownOutcomeError and objectstore.UnavailableError say
// that, or whether, it was not accepted.
func (s *Store) Confirm(ctx context.Context, id string, base uint64, a AcceptedChange) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.Refresh(ctx); err != nil {
		return 0, err
	}
	if s.Current().Generation != base {
		return s.confirmed(id, base)
	}
	// A plan comes back from outside: what was true when it was made is checked
	// again.
	if err := s.Current().Apply(a.Change).Validate(); err != nil {
		return 0, err
	}
	rec := objlog.Record{ID: id, Data: mustJSON(a)}
	err := s.log.Append(ctx, base+1, []objlog.Record{rec})
	switch {
	case err == nil:
		s.foldLater()
		return base + 1, nil
	case objlog.IsMoved(err):
		return s.confirmed(id, base)
	case objectstore.IsUnknown(err):
		return 0, &UnknownOutcomeError{Cause: err}
	}
	return 0, err
}

// confirmed looks what became of a plan whose base is no longer in force.
func (s *Store) confirmed(id string, base uint64) (uint64, error) {
	entries, ok := s.EntriesSince(base)
	if !ok {
		return 0, &PlanExpiredError{Base: base}
	}
	if len(entries) > 0 && entries[0].Record.ID == id {
		return base + 1, nil
	}
	return 0, &ConflictError{Base: base, Current: s.Current().Generation}
}

// foldLater folds a long log in the background of the confirmation.
func (s *Store) foldLater() {
	if !s.log.Foldable() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		err := s.log.Fold(ctx, s.stateAt)
		if err != nil {
			level.Warn(s.logger).Log("msg", "folding the configuration log failed; it is tried again later", "err", err)
		}
	}()
}

// stateAt returns the state after record index. A peer may have brought the store
// further than the log was read; then there is nothing to fold now.
func (s *Store) stateAt(index uint64) (parts [][]byte, ok bool) {
	st := s.Current()
	if st.Generation != index {
		return nil, false
	}
	return encodeParts(st), true
}
