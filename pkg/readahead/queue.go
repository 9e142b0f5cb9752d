package readahead

import (
	"bytes"
	"context"
	"sync"
	"time"
)

const (
	// chunkBytes is the size up to which small pieces are joined into a chunk. It bounds what is
	// written to a caller at once, as each write has a timeout of its own.
	chunkBytes = 4 << 10
	// retryInterval is how long a stopped stream waits before it tries again to reserve memory that
	// other streams may have released.
	retryInterval = 100 * time.Millisecond
)

// Verdict is what the reading side of a queue does next.
type Verdict int

// Verdicts.
const (
	// Read means that memory is reserved for another read.
	Read Verdict = iota
	// CaughtUp means that the caller has received everything and waits for more. The queue has
	// ended, and the writing side reads the response again by itself.
	CaughtUp
	// Canceled means that the context is done. Abandoned means that the writing side has given up.
	Canceled
	Abandoned

	// stopped means that no memory is left.
	stopped
)

// Stats describe what went through a queue.
type Stats struct {
	// Bytes were read ahead. MaxHeld is the most that was held at once.
	Bytes, MaxHeld int64
	// Stops counts how often the stream was stopped at a bound. Stopped is for how long in total.
	Stops   int
	Stopped time.Duration
}

// Queue passes a response from the goroutine that reads it to the one that writes it to the caller.
// The reading side calls Await, Push and End, the writing side the other methods.
type Queue struct {
	account *Account
	// onStop is called when the stream is stopped for the first time.
	onStop func(Cause, Stats)
	// room wakes up the reading side, ready the writing side.
	room, ready chan struct{}
	done        chan struct{}

	mu     sync.Mutex
	chunks [][]byte
	// idle is set while the writing side waits for the next chunk.
	idle      bool
	ended     bool
	abandoned bool
	held      int64
	stats     Stats
}

// NewQueue returns a queue for a stream with an open account.
func NewQueue(a *Account, onStop func(Cause, Stats)) *Queue {
	return &Queue{account: a, onStop: onStop, room: make(chan struct{}, 1), ready: make(chan struct{}, 1), done: make(chan struct{})}
}

// Await waits until n bytes may be read, and reserves them.
func (q *Queue) Await(ctx context.Context, n int) Verdict {
	verdict, cause := q.tryReserve(n)
	if verdict != stopped {
		return verdict
	}
	start := time.Now()
	q.recordStop(cause)
	for verdict == stopped {
		select {
		case <-ctx.Done():
			verdict = Canceled
		case <-q.room:
			verdict, _ = q.tryReserve(n)
		case <-time.After(retryInterval):
			verdict, _ = q.tryReserve(n)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Stopped += time.Since(start)
	return verdict
}

func (q *Queue) tryReserve(n int) (Verdict, Cause) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.abandoned:
		return Abandoned, CauseNone
	case q.idle && len(q.chunks) == 0:
		return CaughtUp, CauseNone
	}
	if cause := q.account.Reserve(int64(n)); cause != CauseNone {
		return stopped, cause
	}
	return Read, CauseNone
}

func (q *Queue) recordStop(c Cause) {
	q.mu.Lock()
	q.stats.Stops++
	stats := q.stats
	q.mu.Unlock()
	if stats.Stops == 1 {
		q.onStop(c, stats)
	}
}

// Push adds a copy of the data that may be written, which can be empty. unused is how much of the
// last reservation was not read.
func (q *Queue) Push(data []byte, unused int) {
	q.account.Release(int64(unused))
	if len(data) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held += int64(len(data))
	q.stats.Bytes += int64(len(data))
	q.stats.MaxHeld = max(q.stats.MaxHeld, q.held)
	q.idle = false
	// Chunks grow as needed: with a fixed capacity of chunkBytes, streams of events of half that size
	// and more hold twice the bytes that are counted.
	if last := len(q.chunks) - 1; last >= 0 && len(q.chunks[last])+len(data) <= chunkBytes {
		q.chunks[last] = append(q.chunks[last], data...)
	} else {
		q.chunks = append(q.chunks, bytes.Clone(data))
	}
	notify(q.ready)
}

// End states that nothing more is pushed.
func (q *Queue) End() {
	q.account.Resume()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	close(q.done)
	notify(q.ready)
}

// Take waits for the next chunk. It returns false when the queue has ended and is empty.
func (q *Queue) Take() ([]byte, bool) {
	for {
		if chunk, ok, wait := q.next(); !wait {
			return chunk, ok
		}
		// A stopped reading side finds that the caller has caught up.
		notify(q.room)
		<-q.ready
	}
}

func (q *Queue) next() (chunk []byte, ok, wait bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case len(q.chunks) > 0:
		chunk = q.chunks[0]
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
		return chunk, true, false
	case q.ended:
		return nil, false, false
	}
	q.idle = true
	return nil, false, true
}

// Written releases the memory of a chunk after it was written.
func (q *Queue) Written(n int) {
	q.account.Release(int64(n))
	q.mu.Lock()
	q.held -= int64(n)
	q.mu.Unlock()
	notify(q.room)
}

// Ended reports whether nothing more is pushed.
func (q *Queue) Ended() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ended
}

// Abandon states that nothing more is taken.
func (q *Queue) Abandon() {
	q.mu.Lock()
	q.abandoned = true
	q.mu.Unlock()
	notify(q.room)
}

// IsAbandoned reports whether nothing more is taken.
func (q *Queue) IsAbandoned() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.abandoned
}

// Close waits until the reading side has ended, releases all memory and returns the totals.
func (q *Queue) Close() Stats {
	<-q.done
	q.account.Close()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.chunks = nil
	return q.stats
}

// notify wakes up the receiver of a channel of capacity 1.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
