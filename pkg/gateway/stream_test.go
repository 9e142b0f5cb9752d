package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/upstream"
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

// blankLineEnds returns the offsets after the blank lines of a text, as a parser of the whole text finds them.
func blankLineEnds(text []byte) map[int]bool {
	ends := make(map[int]bool)
	for at := 0; at < len(text); {
		n := bytes.IndexAny(text[at:], "\r\n")
		if n < 0 {
			break
		}
		next := at + n + 1
		if text[next-1] == '\r' && next < len(text) && text[next] == '\n' {
			next++
		}
		if n == 0 {
			ends[next] = true
		}
		at = next
	}
	return ends
}

func TestStreamEndsInsideEvent(t *testing.T) {
	for text, inside := range map[string]bool{
		"": false, "data: x\n\n": false, "data: x\r\n\r\n": false, "data: x\r\r": false, "data: x\r\r\n": false, "data: x\n\n\n": false, "\n": false, "\r": false,
		"data: x\r\rdata: y\r\r": false, "data: x\n\r\n": false,
		"data: x": true, "data: x\n": true, "data: x\r": true, "data: x\r\n": true, "data: x\n\n:": true, "data: x\r\rdata: y\r": true, "data: x\n\n\xef\xbb": true,
	} {
		var s eventSplitter
		_, err := s.add([]byte(text))
		require.NoError(t, err)
		for _, end := range []error{io.EOF, upstream.ErrConnectionEnded} {
			want := end
			if inside {
				want = errInsideEvent
			}
			assert.Equal(t, want, s.endError(end), "%q", text)
		}
		assert.NoError(t, s.endError(nil))
		assert.Equal(t, io.ErrUnexpectedEOF, s.endError(io.ErrUnexpectedEOF))
	}
}

// No data may be lost, added or reordered, and forwarded data must end with a complete event.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\n\r\nrest"), uint8(3))
	f.Add([]byte("id: 1\r\rid: 2\r\r\nid: 3\n\r\n\r"), uint8(0))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		ends := blankLineEnds(text)
		var s eventSplitter
		var got []byte
		for b := text; len(b) > 0; {
			n := min(int(size)+1, len(b))
			events, err := s.add(b[:n])
			if err != nil {
				return
			}
			got = append(got, events...)
			// The \n of a blank line that ends with \r\n may follow later.
			if at := len(got); len(events) > 0 && !ends[at] && !(text[at-1] == '\r' && ends[at+1]) {
				t.Fatalf("forwarded data %q does not end with a complete event", events)
			}
			b = b[n:]
		}
		if output := append(got, s.partial...); !bytes.Equal(output, text) {
			t.Fatalf("events and rest of input %q add up to %q", text, output)
		}
	})
}
