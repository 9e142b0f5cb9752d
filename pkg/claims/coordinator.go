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

// KeyRetention is how long a claimed key is kept.
const KeyRetention = 24 * time.Hour

const (
	// appendTimeout bounds one append, including loading the log and retries after
	// conflicts.
	appendTimeout = 2 * time.Second
	// maxBatchRecords bounds the records in one append.
	maxBatchRecords = 256
	// failFastPeriod is how long claims fail immediately after a failed append.
	failFastPeriod = 500 * time.Millisecond
)

// UnavailableError reports that a claim could not be recorded, so the call must not run.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the claim can't be recorded: %v: the call was not run; ask again when the platform is back", e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Result is the answer to a claim.
type Result struct {
	State State
	// Fence is the fencing token: it increases with each claim in the shard.
	Fence uint64
}

// Coordinator decides claims and appends them to the log of one claim shard. Any box may
// coordinate any shard, but normally only the owner does, because a conflict costs an
// extra write.
type Coordinator struct {
	log       *objlog.Log
	logger    log.Logger
	retention time.Duration

	mu         sync.Mutex
	pending    []*operation
	committing bool
	// The following fields belong to the committing goroutine.
	index  *index
	loaded bool
	// Until failFastUntil, claims fail with failFastErr instead of waiting for a
	// platform that has just failed.
	failFastUntil time.Time
	failFastErr   error
}

// operation is a record in flight together with the caller that waits for it.
type operation struct {
	ctx  context.Context
	rec  record
	done chan operationResult
}

type operationResult struct {
	Result
	err error
}

// NewCoordinator returns a coordinator of a claim shard whose log is stored under prefix.
func NewCoordinator(objects objectstore.Objects, prefix string, shard int, logger log.Logger) *Coordinator {
	idx := newIndex()
	return &Coordinator{
		log:       objlog.New(objects, fmt.Sprintf("%s/claims/%02d", prefix, shard), idx),
		logger:    logger,
		retention: KeyRetention,
		index:     idx,
	}
}

// Claim records an attempt's claim on a key. It is idempotent per attempt. The error is
// always an *UnavailableError.
func (c *Coordinator) Claim(ctx context.Context, k Key, attempt string) (Result, error) {
	return c.submit(ctx, record{Op: opClaim, Key: k, Attempt: attempt, At: time.Now().UTC()})
}

// End records that an attempt completed or, if notRun is set, was not run, which
// releases the key.
func (c *Coordinator) End(ctx context.Context, k Key, attempt string, notRun bool) error {
	op := opDone
	if notRun {
		op = opFree
	}
	_, err := c.submit(ctx, record{Op: op, Key: k, Attempt: attempt, At: time.Now().UTC()})
	return err
}

// submit queues a record and waits until it is committed. Only one append is in flight
// at a time; records that arrive meanwhile are batched into the next one.
func (c *Coordinator) submit(ctx context.Context, rec record) (Result, error) {
	op := &operation{ctx: ctx, rec: rec, done: make(chan operationResult, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, op)
	if !c.committing {
		c.committing = true
		go c.commit()
	}
	c.mu.Unlock()
	select {
	case r := <-op.done:
		return r.Result, r.err
	case <-ctx.Done():
		return Result{}, &UnavailableError{Cause: ctx.Err()}
	}
}

// commit appends pending records batch by batch until none are left.
func (c *Coordinator) commit() {
	for {
		batch, ok := c.nextBatch()
		if !ok {
			return
		}
		err := c.failFastErr
		if !time.Now().Before(c.failFastUntil) {
			err = c.appendBatch(batch)
		}
		if err != nil {
			c.failBatch(batch, err)
			continue
		}
		c.compact()
	}
}

func (c *Coordinator) nextBatch() (batch []*operation, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.committing = false
		return nil, false
	}
	n := min(len(c.pending), maxBatchRecords)
	batch = c.pending[:n:n]
	c.pending = c.pending[n:]
	return batch, true
}

// failBatch fails a batch whose append failed or has an unknown outcome, and makes the
// following batches fail immediately for failFastPeriod.
func (c *Coordinator) failBatch(batch []*operation, err error) {
	now := time.Now()
	if !now.Before(c.failFastUntil) {
		level.Warn(c.logger).Log("msg", "failed to record claims", "calls", len(batch), "err", err)
		c.failFastUntil, c.failFastErr = now.Add(failFastPeriod), err
	}
	for _, op := range batch {
		op.done <- operationResult{err: &UnavailableError{Cause: err}}
	}
}

// appendBatch decides a batch against the current log and appends the new records. If
// another coordinator has appended meanwhile, it decides again.
func (c *Coordinator) appendBatch(batch []*operation) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	if !c.loaded {
		if err := c.log.Refresh(ctx); err != nil {
			return err
		}
		c.loaded = true
	}
	for {
		next := c.log.NextIndex()
		records, results := c.decideBatch(next, batch)
		err := c.appendRecords(ctx, next, records)
		if objlog.IsAppendConflict(err) {
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

func (c *Coordinator) appendRecords(ctx context.Context, next uint64, records []record) error {
	if len(records) == 0 {
		return nil
	}
	encoded := make([]objlog.Record, 0, len(records))
	for _, r := range records {
		// Marshalling a record can't fail.
		data, _ := json.Marshal(r)
		encoded = append(encoded, objlog.Record{ID: r.Op + "-" + r.Attempt, Data: data})
	}
	return c.log.Append(ctx, next, encoded)
}

// decideBatch returns the records of a batch that must be appended, and the results for
// its callers, provided that the records are appended starting at index next.
func (c *Coordinator) decideBatch(next uint64, batch []*operation) ([]record, []Result) {
	var records []record
	claimed := make(map[Key]entry)
	results := make([]Result, len(batch))
	for i, op := range batch {
		if op.ctx.Err() != nil {
			// submit has already returned an error to the caller.
			continue
		}
		if op.rec.Op != opClaim {
			records = append(records, op.rec)
			continue
		}
		e, exists := c.index.entries[op.rec.Key]
		if !exists {
			e, exists = claimed[op.rec.Key]
		}
		if !exists {
			e = entry{Attempt: op.rec.Attempt, Fence: next + uint64(len(records))}
			claimed[op.rec.Key] = e
			records = append(records, op.rec)
		}
		results[i] = e.resultFor(op.rec.Attempt)
	}
	return records, results
}

// resultFor returns the result of a claim by attempt on the entry's key.
func (e entry) resultFor(attempt string) Result {
	switch {
	case e.Attempt == attempt:
		return Result{State: Granted, Fence: e.Fence}
	case e.Done:
		return Result{State: Done}
	}
	return Result{State: Taken}
}

// compact replaces a long log by a snapshot.
func (c *Coordinator) compact() {
	if !c.log.CanCompact() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := c.log.Compact(ctx, func(uint64) ([][]byte, bool) {
		return c.index.snapshot(time.Now(), c.retention), true
	})
	if err != nil {
		level.Warn(c.logger).Log("msg", "failed to compact claim log; will retry later", "err", err)
	}
}
