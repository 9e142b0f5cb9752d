package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/objlog"
)

// KeyRetention is how long a key is remembered.
const KeyRetention = 24 * time.Hour

const (
	// appendTimeout bounds how long a claim waits for the platform's definite
	// answer.
	appendTimeout = 2 * time.Second
	// batchMost bounds the records of one append.
	batchMost = 256
	// pauseAfterFailure is how long claims are answered at once, without trying,
	// after the platform failed.
	pauseAfterFailure = 500 * time.Millisecond
)

// UnavailableError says that a claim could not be recorded, so the call must not
// run now.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the claim can't be recorded: %v: the call was not run; ask again when the platform is back", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Result is the answer to a claim.
type Result struct {
	State State
	// Fence grows with each claim of the shard.
	Fence uint64
}

// Coordinator appends to one claim shard's log. Any box may act as a home of any shard;
// normally one does, because each conflict costs a write.
type Coordinator struct {
	log    *objlog.Log
	logger log.Logger
	keep   time.Duration

	mu      sync.Mutex
	waiting []*operation
	running bool
	// index belongs to the committing goroutine.
	index  *index
	loaded bool
	// pausedUntil keeps claims from waiting for a platform that just failed.
	pausedUntil time.Time
	pausedBy    error
}

// operation is one record on its way, with its caller.
type operation struct {
	ctx  context.Context
	rec  record
	done chan operationResult
}

type operationResult struct {
	Result
	err error
}

// NewCoordinator returns a home of claim shard n, whose log stands under prefix.
func NewCoordinator(objects objectstore.Objects, prefix string, n int, logger log.Logger) *Coordinator {
	x := newIndex()
	return &Coordinator{
		log:    objlog.New(objects, fmt.Sprintf("%s/claims/%02d", prefix, n), x),
		logger: logger,
		keep:   KeyRetention,
		index:  x,
	}
}

// Claim records an attempt's claim of a key. Claiming again for the same attempt
// gives the same answer. The error is *UnavailableError.
func (h *Coordinator) Claim(ctx context.Context, k Key, attempt string) (Result, error) {
	return h.submit(ctx, record{Op: opClaim, Key: k, Attempt: attempt, At: time.Now().UTC()})
}

// End records how an attempt ended: run to its end, or not run, which frees the
// key.
func (h *Coordinator) End(ctx context.Context, k Key, attempt string, notRun bool) error {
	op := opDone
	if notRun {
		op = opFree
	}
	_, err := h.submit(ctx, record{Op: op, Key: k, Attempt: attempt, At: time.Now().UTC()})
	return err
}

// submit queues a record and waits for its end. One append is in flight at a
// time; what comes meanwhile goes into the next.
func (h *Coordinator) submit(ctx context.Context, rec record) (Result, error) {
	op := &operation{ctx: ctx, rec: rec, done: make(chan operationResult, 1)}
	h.mu.Lock()
	h.waiting = append(h.waiting, op)
	if !h.running {
		h.running = true
		go h.commit()
	}
	h.mu.Unlock()
	select {
	case r := <-op.done:
		return r.Result, r.err
	case <-ctx.Done():
		return Result{}, &UnavailableError{Cause: ctx.Err()}
	}
}

// commit appends what waits, batch by batch, until nothing does.
func (h *Coordinator) commit() {
	for {
		batch, ok := h.nextBatch()
		if !ok {
			return
		}
		err := h.pausedBy
		if !time.Now().Before(h.pausedUntil) {
			err = h.append(batch)
		}
		if err != nil {
			h.fail(batch, err)
			continue
		}
		h.fold()
	}
}

func (h *Coordinator) nextBatch() (batch []*operation, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.waiting) == 0 {
		h.running = false
		return nil, false
	}
	n := min(len(h.waiting), batchMost)
	batch = h.waiting[:n:n]
	h.waiting = h.waiting[n:]
	return batch, true
}

// fail answers a batch that was not recorded, or not surely. For a moment the
// next ones get the same answer at once.
func (h *Coordinator) fail(batch []*operation, err error) {
	now := time.Now()
	if !now.Before(h.pausedUntil) {
		level.Warn(h.logger).Log("msg", "claims can't be recorded", "calls", len(batch), "err", err)
		h.pausedUntil, h.pausedBy = now.Add(pauseAfterFailure), err
	}
	for _, op := range batch {
		op.done <- operationResult{err: &UnavailableError{Cause: err}}
	}
}

// append decides a batch against the log as it is and records what is new. When
// the log turns out to be further on, it decides again.
func (h *Coordinator) append(batch []*operation) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	if !h.loaded {
		if err := h.log.Refresh(ctx); err != nil {
			return err
		}
		h.loaded = true
	}
	for {
		next := h.log.Next()
		records, results := h.decide(next, batch)
		err := h.store(ctx, next, records)
		if objlog.IsMoved(err) {
			continue
		}
		if err != nil {
			return err
		}
		for i, op := range batch {
			op.done <- operationResult{Result: results[i]}
		}
		return nil
	}
}

func (h *Coordinator) store(ctx context.Context, next uint64, records []record) error {
	if len(records) == 0 {
		return nil
	}
	list := make([]objlog.Record, 0, len(records))
	for _, r := range records {
		// Plain structs always encode.
		data, _ := json.Marshal(r)
		list = append(list, objlog.Record{ID: r.Op + "-" + r.Attempt, Data: data})
	}
	return h.log.Append(ctx, next, list)
}

// decide works out which records of a batch are needed, and what their callers
// are told if these get recorded from index next on.
func (h *Coordinator) decide(next uint64, batch []*operation) ([]record, []Result) {
	var records []record
	claimed := make(map[Key]entry)
	results := make([]Result, len(batch))
	for i, op := range batch {
		if op.ctx.Err() != nil {
			// Its caller was told already.
			continue
		}
		if op.rec.Op != opClaim {
			records = append(records, op.rec)
			continue
		}
		e, held := h.index.entries[op.rec.Key]
		if !held {
			e, held = claimed[op.rec.Key]
		}
		if !held {
			e = entry{Attempt: op.rec.Attempt, Fence: next + uint64(len(records))}
			claimed[op.rec.Key] = e
			records = append(records, op.rec)
		}
		results[i] = e.resultFor(op.rec.Attempt)
	}
	return records, results
}

// resultFor tells an attempt what the entry means for it.
func (e entry) resultFor(attempt string) Result {
	switch {
	case e.Attempt == attempt:
		return Result{State: Granted, Fence: e.Fence}
	case e.Done:
		return Result{State: Done}
	}
	return Result{State: Taken}
}

// fold shortens a long log.
func (h *Coordinator) fold() {
	if !h.log.Foldable() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := h.log.Fold(ctx, func(uint64) ([][]byte, bool) {
		return h.index.snapshot(time.Now(), h.keep), true
	})
	if err != nil {
		level.Warn(h.logger).Log("msg", "folding a claim log failed; it is tried again later", "err", err)
	}
}
