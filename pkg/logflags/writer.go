package logflags

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// linesPerSecond and linesBurst bound the volume of logs.
	linesPerSecond = 400
	linesBurst     = 2000
	// queuedMost bounds the lines that wait for a reader, in bytes.
	queuedMost = 1 << 20
)

// AsyncWriter takes lines without ever blocking, and hands them to another writer from
// a goroutine of its own. What exceeds the bounds on volume is dropped and counted;
// the count is written as a line as soon as there is room.
type AsyncWriter struct {
	to io.Writer

	mu      sync.Mutex
	queue   bytes.Buffer
	dropped int
	tokens  float64
	filled  time.Time
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer that hands lines to another one.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, tokens: linesBurst, filled: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refill(time.Now())
	if w.closed || w.tokens < 1 || w.queue.Len()+len(line) > queuedMost {
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
	w.tokens = min(linesBurst, w.tokens+now.Sub(w.filled).Seconds()*linesPerSecond)
	w.filled = now
}

// run hands over what has gathered.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		lines := bytes.Clone(w.queue.Bytes())
		w.queue.Reset()
		w.mu.Unlock()
		// A reader that is gone takes no logs; there is nobody to tell.
		_, _ = w.to.Write(lines)
	}
}

// Close hands over what is left, for at most this long.
func (w *AsyncWriter) Close(most time.Duration) {
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
	case <-time.After(most):
	}
}
