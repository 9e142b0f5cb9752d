package logflags

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// blockingWriter blocks in Write until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *blockingWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	dst := &blockingWriter{unblock: make(chan struct{})}
	w := NewAsyncWriter(dst)
	line := []byte("level=info msg=" + strings.Repeat("x", 1000) + "\n")
	done := make(chan struct{})
	go func() {
		for range 100000 {
			_, err := w.Write(line)
			assert.NoError(t, err)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocked on a stalled underlying writer")
	}
	w.mu.Lock()
	queued := w.queue.Len()
	w.mu.Unlock()
	assert.LessOrEqual(t, queued, maxQueuedBytes)
	close(dst.unblock)
	w.Close(5 * time.Second)
	assert.LessOrEqual(t, len(dst.String()), 3*maxQueuedBytes)
}

func TestAsyncWriterLimitsRateAndReportsDroppedLines(t *testing.T) {
	var got bytes.Buffer
	w := NewAsyncWriter(&got)
	for range 3 * burstLines {
		_, _ = io.WriteString(w, "line\n")
	}
	time.Sleep(50 * time.Millisecond) // refills the token bucket
	_, _ = io.WriteString(w, "last\n")
	w.Close(5 * time.Second)
	lines := strings.Count(got.String(), "line\n")
	require.GreaterOrEqual(t, lines, burstLines)
	assert.Less(t, lines, 3*burstLines-100)
	assert.Contains(t, got.String(), `msg="log lines dropped" count=`)
	assert.True(t, strings.HasSuffix(got.String(), "last\n"))
}

func TestAsyncWriterCloseWritesQueuedLines(t *testing.T) {
	var got bytes.Buffer
	w := NewAsyncWriter(&got)
	for range 100 {
		_, _ = io.WriteString(w, "line\n")
	}
	w.Close(5 * time.Second)
	assert.Equal(t, 100, strings.Count(got.String(), "line\n"))
	_, err := io.WriteString(w, "late\n")
	assert.NoError(t, err)
	w.Close(time.Second)
}
