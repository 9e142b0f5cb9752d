package logflags

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// linesPerSecond and burstLines are the rate and burst of the token bucket that limits lines.
	linesPerSecond = 400
	burstLines     = 2000
	// maxQueuedBytes bounds the lines queued for the underlying writer.
	maxQueuedBytes = 1 << 20
)

// AsyncWriter queues lines without blocking and writes them to another writer from a separate
// goroutine. Lines above the rate limit or the queue limit are dropped; their number is logged
// as soon as a line is accepted again.
type AsyncWriter struct {
	dst io.Writer

	mu         sync.Mutex
	queue      bytes.Buffer
	dropped    int
	tokens     float64
	lastRefill time.Time
	closed     bool
	wake       chan struct{}
	done       chan struct{}
}

// NewAsyncWriter starts a writer that forwards lines to dst.
func NewAsyncWriter(dst io.Writer) *AsyncWriter {
	w := &AsyncWriter{dst: dst, tokens: burstLines, lastRefill: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues or drops one line. It never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill(time.Now())
	if w.closed || w.tokens < 1 || w.queue.Len()+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	w.tokens--
	if w.dropped > 0 {
		w.queue.WriteString("level=warn msg=\"log lines dropped\" count=" + strconv.Itoa(w.dropped) + "\n")
		w.dropped = 0
	}
	w.queue.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) refill(now time.Time) {
	w.tokens = min(burstLines, w.tokens+now.Sub(w.lastRefill).Seconds()*linesPerSecond)
	w.lastRefill = now
}

// run writes queued lines to the underlying writer until Close.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		lines := bytes.Clone(w.queue.Bytes())
		w.queue.Reset()
		w.mu.Unlock()
		// A failed write can't be reported anywhere.
		_, _ = w.dst.Write(lines)
	}
}

// Close writes the queued lines, waiting at most timeout.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		select {
		case w.wake <- struct{}{}:
		default:
		}
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
