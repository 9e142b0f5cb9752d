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

// stuck is a reader that does not read until it is let go.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func TestWriterNeverBlocks(t *testing.T) {
	to := &stuck{release: make(chan struct{})}
	w := NewAsyncWriter(to)
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
		t.Fatal("writing blocked on a reader that does not read")
	}
	w.mu.Lock()
	held := w.queue.Len()
	w.mu.Unlock()
	assert.LessOrEqual(t, held, queuedMost)
	close(to.release)
	w.Close(5 * time.Second)
	assert.LessOrEqual(t, len(to.String()), 3*queuedMost)
}

func TestWriterBoundsAndCountsLines(t *testing.T) {
	var got bytes.Buffer
	w := NewAsyncWriter(&got)
	for range 3 * linesBurst {
		_, _ = io.WriteString(w, "line\n")
	}
	time.Sleep(50 * time.Millisecond) // room for some lines
	_, _ = io.WriteString(w, "last\n")
	w.Close(5 * time.Second)
	lines := strings.Count(got.String(), "line\n")
	require.GreaterOrEqual(t, lines, linesBurst)
	assert.Less(t, lines, 3*linesBurst-100)
	assert.Contains(t, got.String(), `msg="log lines dropped" count=`)
	assert.True(t, strings.HasSuffix(got.String(), "last\n"))
}

func TestWriterWritesAllBeforeItCloses(t *testing.T) {
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
