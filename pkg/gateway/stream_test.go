package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEventSplitterReturnsCompleteEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: half"
	for size := 1; size < len(text); size++ {
		var s eventSplitter
		var got []byte
		for b := []byte(text); len(b) > 0; {
			n := min(size, len(b))
			events, err := s.add(b[:n])
			require.NoError(t, err)
			got = append(got, events...)
			b = b[n:]
		}
		assert.Equal(t, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", string(got), "chunks of %d bytes", size)
		assert.Equal(t, "id: 3\ndata: half", string(s.partial))
	}
}

func TestEventSplitterLimitsEventSize(t *testing.T) {
	var s eventSplitter
	chunk := []byte(strings.Repeat("x", 64<<10))
	for range 16 {
		_, err := s.add(chunk)
		require.NoError(t, err)
	}
	_, err := s.add(chunk)
	assert.ErrorIs(t, err, errEventTooLong)
}

// No data may be lost, added or reordered, and forwarded data must end with a complete event.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\n\r\nrest"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var s eventSplitter
		var got []byte
		for b := text; len(b) > 0; {
			n := min(int(size)+1, len(b))
			events, err := s.add(b[:n])
			if err != nil {
				return
			}
			if len(events) > 0 && !bytes.HasSuffix(events, []byte("\n\n")) && !bytes.HasSuffix(events, []byte("\n\r\n")) {
				t.Fatalf("forwarded data %q does not end with a complete event", events)
			}
			got = append(got, events...)
			b = b[n:]
		}
		if output := append(got, s.partial...); !bytes.Equal(output, text) {
			t.Fatalf("events and rest of input %q add up to %q", text, output)
		}
	})
}
